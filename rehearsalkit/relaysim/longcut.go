package relaysim

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
)

const (
	cutBoth     = "both ways"
	cutOutbound = "only what it says is lost"
	cutInbound  = "only what it should hear is lost"
	cutPeers    = "only from its own kind"
	cutRestart  = "both ways, others start again and know only it"
)

var cutModes = []string{cutBoth, cutOutbound, cutInbound, cutPeers, cutRestart}

const cutLength = 20 * time.Second

func longcutParams(seed uint64) Params {
	p := Defaults(seed)
	p.Cores, p.Registries, p.Nodes = 3+int(seed/5%2), 3, 2
	p.Faults, p.Closing = false, ""
	p.Loss = 0.002
	return p
}

// longcut cuts off each machine of the control side twice in a row, under continuous orders and
// reads.
type longcut struct {
	world    *World
	history  *orderHistory
	health   *health
	findings *Findings
	mode     string
	stopped  bool
	newNodes int
}

func playLongcut(w *World) *Findings {
	l := newLongcut(w)
	var targets []*process
	for _, target := range l.targets() {
		targets = append(targets, target, target)
	}
	return l.play(targets)
}

func newLongcut(w *World) *longcut {
	findings := newFindings(w)
	history := newOrderHistory(w, findings)
	return &longcut{
		world:    w,
		history:  history,
		health:   w.watchHealth(history),
		findings: findings,
		mode:     cutModes[w.Params.Seed%uint64(len(cutModes))],
	}
}

func (l *longcut) targets() (list []*process) {
	for _, s := range l.world.stores {
		list = append(list, s.processes()...)
	}
	return list
}

func (l *longcut) play(targets []*process) *Findings {
	w := l.world
	w.Record.End = time.Hour
	w.startScenario(l.history)
	l.startLoad()
	for _, target := range targets {
		l.cut(target)
	}
	l.stopped = true
	w.Advance(answerTimeout + time.Second)
	w.finishScenario(l.history)
	return l.findings
}

func (l *longcut) startLoad() {
	w := l.world
	for range 2 {
		o := &orderGenerator{
			history:       l.history,
			rivalRate:     0.4,
			amendmentRate: 0.5,
			stopped:       func() bool { return l.stopped },
			pause:         func() time.Duration { return w.between(500*time.Millisecond, 1500*time.Millisecond) },
		}
		w.after(w.between(0, time.Second), o.run)
	}
	for _, s := range w.stores {
		if s.registry != nil {
			for _, kind := range []string{callHeartbeat, callLeave, callResend, callRead, callRetire, callStatus} {
				w.after(w.between(0, time.Second), func() { l.callRepeatedly(kind, s.registry) })
			}
		}
	}
	w.runProbe()
}

// recentOrders is how many of the newest orders are candidates for sending again.
const recentOrders = 10

func (l *longcut) callRepeatedly(kind string, at *process) {
	w := l.world
	if l.stopped {
		return
	}
	w.after(w.between(500*time.Millisecond, 1100*time.Millisecond), func() { l.callRepeatedly(kind, at) })
	ignore := func(body any) {}
	known := func(body any) bool { status, ok := body.(registry.RetirementStatus); return ok && !status.Uncertain }
	switch kind {
	case callHeartbeat, callLeave:
		l.announce(kind, at)
	case callResend:
		l.history.resend(at, recentOrders)
	case callRead:
		l.history.read(at, func(t core.CurrentTable, ok bool) {})
	case callRetire:
		l.history.call(kind, at, func(reg Registry, now time.Duration, ticket uint64) registry.Output {
			return reg.Retire(now, ticket, "nobody")
		}, known, ignore)
	case callStatus:
		id := w.anyStore().core.id
		l.history.call(kind, at, func(reg Registry, now time.Duration, ticket uint64) registry.Output {
			return reg.RetirementStatus(now, ticket, id)
		}, known, ignore)
	}
}

func (l *longcut) announce(kind string, at *process) {
	w := l.world
	id := "idle-" + at.id
	w.after(w.delay(), func() {
		at.do(func() {
			c := l.history.beginCall(kind, at)
			step := func(ticket uint64) registry.Output { return at.registry.Leave(at.now(), ticket, w.uniqueID("left")) }
			if kind == callHeartbeat {
				w.lastID++
				announcement := registry.Replica{ID: id, Service: "idle", Address: "10.0.4.1:1", Sequence: int64(w.lastID)}
				step = func(ticket uint64) registry.Output { return at.registry.Heartbeat(at.now(), ticket, announcement) }
			}
			at.announce(step, func(accepted bool) { l.history.endCall(c, accepted) })
		})
	})
}

func (l *longcut) cut(target *process) {
	w, f := l.world, l.findings
	group := fmt.Sprintf("%s, %s", map[bool]string{true: "desk", false: "core"}[target.isRegistry], l.mode)
	w.logf("%s cut off: %s", target.id, l.mode)
	w.Counts["cuts: "+group]++
	started, first, acked := w.now, len(l.history.calls), len(l.history.acked)
	end := w.beginDisruption(AnyStore)
	w.blocked = l.blockedLinks(target)
	l.injectDuringCut(target)
	w.Advance(cutLength)
	w.blocked = nil
	healed := w.now
	w.logf("%s healed", target.id)
	for _, p := range w.processes {
		p.seeds = nil
	}
	recovery := time.Duration(-1)
	l.health.awaitHealthy(healed, func(took time.Duration) { recovery = took })
	w.Advance(catchUpTime)
	if recovery < 0 {
		f.breach(RuleFleetRecovery,
			"%v after %s was cut off (%s) from %v to %v: %s",
			catchUpTime, target.id, l.mode, started, healed, l.health.problem())
	} else {
		f.recordDuration("whole again after a cut of a "+group, recovery)
	}
	end()
	w.Advance(answerTimeout)
	l.tabulate(group, target, started, first)
	w.Counts["orders acknowledged in cuts: "+group] += int64(len(l.history.acked) - acked)
}

// tabulate records the calls during a cut: those to the registry that was cut off or, for a core,
// those to all registries.
func (l *longcut) tabulate(group string, target *process, started time.Duration, first int) {
	for _, c := range l.history.calls[first:] {
		l.judgeIsolatedRegistry(target, started, c)
		if c.ended < 0 || target.isRegistry && c.registry != target {
			continue
		}
		l.findings.Answers.add(group, int((c.started-started)/time.Second), c)
		if during := c.started-started < cutLength; during {
			l.findings.recordDuration(fmt.Sprintf("answer in a cut: %s, %s", group, c.kind), c.ended-c.started)
		}
	}
}

const (
	// detectsCoresAfter is when a registry must notice that it reaches no core.
	detectsCoresAfter = time.Second
	// detectsNodesAfter is when a registry must notice that no node reaches it.
	detectsNodesAfter = 5 * time.Second
)

// judgeIsolatedRegistry checks that a registry without contact to cores answers promptly, and that
// one without contact to nodes accepts no announcements, as it could not pass them on.
func (l *longcut) judgeIsolatedRegistry(target *process, started time.Duration, c *registryCall) {
	since := c.started - started
	if c.registry != target || l.mode == cutPeers ||
		since < detectsCoresAfter || since > cutLength-answerBound || c.interrupted() {
		return
	}
	if took := c.ended - c.started; c.ended < 0 || took > answerBound {
		l.findings.breach(RuleCallBound, "%s at %s, which had been cut off (%s) for %v, took %v", c.kind, c.registry.id, l.mode, since, took)
	}
	if c.conclusive && since > detectsNodesAfter && (c.kind == callHeartbeat || c.kind == callLeave) {
		l.findings.breach(RuleIsolatedRegistry,
			"%s was acknowledged by %s, which had been cut off (%s) for %v",
			c.kind, c.registry.id, l.mode, since)
	}
}

func (l *longcut) blockedLinks(target *process) func(from, to string) bool {
	w := l.world
	cutOff := map[string]bool{target.address: true}
	if l.mode == cutRestart && target.disk != nil {
		// Restarted machines would find the fleet through the registry beside the core.
		for _, s := range w.stores {
			if s.core == target && s.registry != nil {
				cutOff[s.registry.address] = true
			}
		}
	}
	inFleet := func(address string) bool { return w.processes[address] != nil }
	sameKind := func(address string) bool {
		p := w.processes[address]
		return p != nil && p.isRegistry == target.isRegistry && (p.disk != nil) == (target.disk != nil)
	}
	return func(from, to string) bool {
		if cutOff[from] == cutOff[to] || !inFleet(from) || !inFleet(to) {
			return false
		}
		switch l.mode {
		case cutOutbound:
			return cutOff[from]
		case cutInbound:
			return cutOff[to]
		case cutPeers:
			return sameKind(from) && sameKind(to)
		}
		return true
	}
}

// injectDuringCut starts a node, with a cut-off registry, if any, as its only seed, and in
// the mode cutRestart restarts other machines.
func (l *longcut) injectDuringCut(target *process) {
	w := l.world
	seeds := w.seeds()
	if target.isRegistry {
		seeds = []string{target.address}
	}
	w.after(5*time.Second, func() { l.newNode(seeds) })
	if l.mode != cutRestart {
		return
	}
	var others []*process
	for _, s := range w.stores {
		if s.core == target && s.registry != nil {
			seeds = []string{s.registry.address}
		}
		if s.core != target && s.registry != target && len(others) == 0 {
			others = s.processes()
		}
	}
	others = append(others, w.nodes[0])
	w.after(2*time.Second, func() {
		for _, p := range others {
			w.logf("%s restarts with the seeds %v only", p.id, seeds)
			p.powerOff()
			p.seeds = seeds
			w.after(w.between(100*time.Millisecond, 500*time.Millisecond), p.boot)
		}
	})
}

// newNode starts a node and stops it once it is ready. Not being ready some time after the cut is
// a breach.
func (l *longcut) newNode(seeds []string) {
	w := l.world
	l.newNodes++
	n := w.add(fmt.Sprintf("fresh%d", l.newNodes), l.newNodes, fmt.Sprintf("10.0.5.%d:1", l.newNodes))
	n.requests, n.seeds = map[uint64]*activeRequest{}, seeds
	n.boot()
	started := w.now
	var poll func()
	poll = func() {
		switch {
		case n.node.Ready(n.now()):
			l.findings.recordDuration("a new node is ready, "+l.mode, w.now-started)
			w.after(time.Second, func() { n.kill() })
		case w.now > started+cutLength+catchUpTime:
			l.findings.breach(RuleFleetRecovery, "%s, which came at %v, is not ready at %v", n.id, started, w.now)
			n.kill()
		default:
			w.after(20*time.Millisecond, poll)
		}
	}
	poll()
}
