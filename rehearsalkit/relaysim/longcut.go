package relaysim

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
)

// Ways of cutting a machine off.
const (
	cutBoth    = "both ways"
	cutSilent  = "only what it says is lost"
	cutDeaf    = "only what it should hear is lost"
	cutPeers   = "only from its own kind"
	cutRestart = "both ways, others start again and know only it"
)

var cutWays = []string{cutBoth, cutSilent, cutDeaf, cutPeers, cutRestart}

// cutLength is how long a cut lasts.
const cutLength = 20 * time.Second

func longcutParams(seed uint64) Params {
	p := Defaults(seed)
	p.Cores, p.Desks, p.Nodes = 3+int(seed/5%2), 3, 2
	p.Faults, p.Closing = false, ""
	p.Loss = 0.002
	return p
}

// longcut cuts each machine of the control side off in turn, twice in a row,
// with orders and read-backs all through.
type longcut struct {
	world    *World
	book     *orderBook
	health   *health
	findings *Findings
	way      string
	over     bool
	fresh    int
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
	f := newFindings(w)
	b := newOrderBook(w, f)
	return &longcut{world: w, book: b, health: w.watchHealth(b), findings: f, way: cutWays[w.Params.Seed%uint64(len(cutWays))]}
}

// targets are all machines of the control side.
func (l *longcut) targets() (list []*process) {
	for _, s := range l.world.stores {
		list = append(list, s.processes()...)
	}
	return list
}

// play cuts machines off one after the other, and judges the run.
func (l *longcut) play(targets []*process) *Findings {
	w := l.world
	w.Record.End = time.Hour
	w.start(l.book)
	l.load()
	for _, target := range targets {
		l.cut(target)
	}
	l.over = true
	w.Pass(patience + time.Second)
	w.finish(l.book)
	return l.findings
}

// load begins orders, races, read-backs and all other calls.
func (l *longcut) load() {
	w := l.world
	for range 2 {
		o := &orderer{book: l.book, rivals: 0.4, amends: 0.5, over: func() bool { return l.over }, pause: func() time.Duration { return w.between(500*time.Millisecond, 1500*time.Millisecond) }}
		w.after(w.between(0, time.Second), o.run)
	}
	for _, s := range w.stores {
		if s.desk != nil {
			for _, kind := range []string{callHeartbeat, callLeave, callOrderAgain, callRead, callRetire, callStatus} {
				w.after(w.between(0, time.Second), func() { l.callOver(kind, s.desk) })
			}
		}
	}
	w.probe()
}

// recentOrders is how many orders back those are that are handed over again.
const recentOrders = 10

// callOver makes one kind of call at a desk again and again.
func (l *longcut) callOver(kind string, at *process) {
	w := l.world
	if l.over {
		return
	}
	w.after(w.between(500*time.Millisecond, 1100*time.Millisecond), func() { l.callOver(kind, at) })
	ignore := func(body any) {}
	known := func(body any) bool { e, ok := body.(desk.RetirementStatus); return ok && !e.Uncertain }
	switch kind {
	case callHeartbeat, callLeave:
		l.announce(kind, at)
	case callOrderAgain:
		l.book.resend(at, recentOrders)
	case callRead:
		l.book.read(at, func(t core.CurrentTable, ok bool) {})
	case callRetire:
		l.book.call(kind, at, func(d Desk, now time.Duration, ticket uint64) desk.Output { return d.Retire(now, ticket, "nobody") }, known, ignore)
	case callStatus:
		id := w.anyStore().core.id
		l.book.call(kind, at, func(d Desk, now time.Duration, ticket uint64) desk.Output { return d.RetirementStatus(now, ticket, id) }, known, ignore)
	}
}

// announce is a heartbeat of a replica, or its leave. A desk confirms neither where it
// could pass nothing on.
func (l *longcut) announce(kind string, at *process) {
	w := l.world
	id := "idle-" + at.id
	w.after(w.delay(), func() {
		at.do(func() {
			c := l.book.begin(kind, at)
			say := func(ticket uint64) desk.Output { return at.desk.Leave(at.now(), ticket, w.mark("left")) }
			if kind == callHeartbeat {
				w.marks++
				word := desk.Replica{ID: id, Service: "idle", Address: "10.0.4.1:1", Sequence: int64(w.marks)}
				say = func(ticket uint64) desk.Output { return at.desk.Heartbeat(at.now(), ticket, word) }
			}
			at.announce(say, func(reached bool) { l.book.end(c, reached) })
		})
	})
}

// cut cuts a machine off, heals it, and lets a little time pass.
func (l *longcut) cut(target *process) {
	w, f := l.world, l.findings
	group := fmt.Sprintf("%s, %s", map[bool]string{true: "desk", false: "core"}[target.isDesk], l.way)
	w.logf("%s cut off: %s", target.id, l.way)
	w.Counts["cuts: "+group]++
	began, first, acked := w.now, len(l.book.calls), len(l.book.acked)
	end := w.trouble(Stores)
	w.barrier = l.barrier(target)
	l.during(target)
	w.Pass(cutLength)
	w.barrier = nil
	healed := w.now
	w.logf("%s healed", target.id)
	for _, p := range w.processes {
		p.seeds = nil
	}
	whole := time.Duration(-1)
	l.health.untilWhole(healed, func(took time.Duration) { whole = took })
	w.Pass(catchUp)
	if whole < 0 {
		f.breach(RuleWholeAgain, "%v after %s was cut off (%s) from %v to %v: %s", catchUp, target.id, l.way, began, healed, l.health.lacks())
	} else {
		f.span("whole again after a cut of a "+group, whole)
	}
	end()
	w.Pass(patience)
	l.tabulate(group, target, began, first)
	w.Counts["orders acknowledged in cuts: "+group] += int64(len(l.book.acked) - acked)
}

// tabulate sorts the calls of a cut by second and kind: those at the desk that
// was cut off, or at all desks where a core was.
func (l *longcut) tabulate(group string, target *process, began time.Duration, first int) {
	for _, c := range l.book.calls[first:] {
		l.judgeKnowing(target, began, c)
		if c.ended < 0 || target.isDesk && c.desk != target {
			continue
		}
		l.findings.Answers.add(group, int((c.at-began)/time.Second), c)
		if during := c.at-began < cutLength; during {
			l.findings.span(fmt.Sprintf("answer in a cut: %s, %s", group, c.kind), c.ended-c.at)
		}
	}
}

const (
	// knowsAfter is after what time a desk that reaches no core must know it.
	knowsAfter = time.Second
	// unheardAfter is after what time a desk that no node hears must know it.
	unheardAfter = 5 * time.Second
)

// judgeKnowing wants a desk that must know that it reaches no core to keep no call
// waiting, and one that no node hears to take nothing from replicas.
func (l *longcut) judgeKnowing(target *process, began time.Duration, c *deskCall) {
	since := c.at - began
	if c.desk != target || l.way == cutPeers || since < knowsAfter || since > cutLength-answerBound || c.lost() {
		return
	}
	if took := c.ended - c.at; c.ended < 0 || took > answerBound {
		l.findings.breach(RuleAnswered, "%s at %s, which had been cut off (%s) for %v, took %v", c.kind, c.desk.id, l.way, since, took)
	}
	if c.clear && since > unheardAfter && (c.kind == callHeartbeat || c.kind == callLeave) {
		l.findings.breach(RuleUnheard, "%s was acknowledged by %s, which had been cut off (%s) for %v", c.kind, c.desk.id, l.way, since)
	}
}

// barrier tells which links a cut of a machine takes.
func (l *longcut) barrier(target *process) func(from, to string) bool {
	w := l.world
	mine := map[string]bool{target.address: true}
	if l.way == cutRestart && target.disk != nil {
		// The desk beside a core is what others would look for the fleet at.
		for _, s := range w.stores {
			if s.core == target && s.desk != nil {
				mine[s.desk.address] = true
			}
		}
	}
	inFleet := func(address string) bool { return w.processes[address] != nil }
	kindred := func(address string) bool {
		p := w.processes[address]
		return p != nil && p.isDesk == target.isDesk && (p.disk != nil) == (target.disk != nil)
	}
	return func(from, to string) bool {
		if mine[from] == mine[to] || !inFleet(from) || !inFleet(to) {
			return false
		}
		switch l.way {
		case cutSilent:
			return mine[from]
		case cutDeaf:
			return mine[to]
		case cutPeers:
			return kindred(from) && kindred(to)
		}
		return true
	}
}

// during brings about what happens while a machine is cut off: a new node comes,
// whose first question goes to it, and in one way others start again.
func (l *longcut) during(target *process) {
	w := l.world
	seeds := w.seeds()
	if target.isDesk {
		seeds = []string{target.address}
	}
	w.after(5*time.Second, func() { l.newNode(seeds) })
	if l.way != cutRestart {
		return
	}
	var others []*process
	for _, s := range w.stores {
		if s.core == target && s.desk != nil {
			seeds = []string{s.desk.address}
		}
		if s.core != target && s.desk != target && len(others) == 0 {
			others = s.processes()
		}
	}
	others = append(others, w.nodes[0])
	w.after(2*time.Second, func() {
		for _, p := range others {
			w.logf("%s starts again and knows only %v", p.id, seeds)
			p.powerOff()
			p.seeds = seeds
			w.after(w.between(100*time.Millisecond, 500*time.Millisecond), p.boot)
		}
	})
}

// newNode starts a node that knows only some seeds, and ends it once it was
// ready, or when it has not become so until the fleet was whole for a while.
func (l *longcut) newNode(seeds []string) {
	w := l.world
	l.fresh++
	n := w.add(fmt.Sprintf("fresh%d", l.fresh), l.fresh, fmt.Sprintf("10.0.5.%d:1", l.fresh))
	n.ways, n.seeds = map[uint64]*way{}, seeds
	n.boot()
	began := w.now
	var look func()
	look = func() {
		switch {
		case n.node.Ready(n.now()):
			l.findings.span("a new node is ready, "+l.way, w.now-began)
			w.after(time.Second, func() { n.kill() })
		case w.now > began+cutLength+catchUp:
			l.findings.breach(RuleWholeAgain, "%s, which came at %v, is not ready at %v", n.id, began, w.now)
			n.kill()
		default:
			w.after(20*time.Millisecond, look)
		}
	}
	look()
}
