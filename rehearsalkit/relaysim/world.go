// Package relaysim runs the relaying tier's own machines in simulated time, with
// seeded faults, and judges each run by what requesters, replicas and operators
// saw.
package relaysim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"saffronfall/peer/desk"
	"saffronfall/peer/relay"
	"saffronfall/rehearsalkit/agenda"
	"saffronfall/rule/ordered"
)

// Node is the relaying node's machine as the simulator drives it.
type Node interface {
	HandleRequest(now time.Duration, ticket uint64, a relay.Request) relay.Output
	HandleOutcome(now time.Duration, ticket uint64, o relay.Outcome) relay.Output
	Cancel(now time.Duration, ticket uint64) relay.Output
	Receive(now time.Duration, from string, body any) relay.Output
	Tick(now time.Duration) relay.Output
	Ready(now time.Duration) bool
}

// Desk is the desk's machine as the simulator drives it.
type Desk interface {
	Heartbeat(now time.Duration, ticket uint64, r desk.Replica) desk.Output
	Leave(now time.Duration, ticket uint64, id string) desk.Output
	Receive(now time.Duration, from string, body any) desk.Output
	Tick(now time.Duration) desk.Output
	Apply(now time.Duration, ticket uint64, base uint64, text []byte, digest string) desk.Output
	Amend(now time.Duration, ticket uint64, a desk.Amendment) desk.Output
	Read(now time.Duration, ticket uint64) desk.Output
	Retire(now time.Duration, ticket uint64, id string) desk.Output
	RetirementStatus(now time.Duration, ticket uint64, id string) desk.Output
}

// World is one run.
type World struct {
	Params Params
	Record Record
	Counts map[string]int64

	schedule
	network
	fleet
	upheaval
	marks int
	acked uint64
	kept  []keptAttempt
}

// schedule is the simulated clock and the seeded randomness.
type schedule struct {
	now    time.Duration
	agenda agenda.Agenda
	random *rand.Rand
}

// fleet is all processes that there are or were.
type fleet struct {
	processes map[string]*process
	stores    []*store
	nodes     []*process
	replicas  map[string]*replica
}

// upheaval is what faults are brought about.
type upheaval struct {
	// busyUntil is until when no other loss of a store may come about.
	busyUntil time.Duration
	// faultsUntil is until when faults are brought about and tables handed over.
	faultsUntil time.Duration
	closing     bool
	// changed is set once a store was replaced, or added and retired.
	changed bool
}

// store is a machine with a disk: a core, and mostly a desk.
type store struct {
	core, desk *process
	gone       bool
}

// New lays out a world.
func New(p Params) *World {
	w := &World{
		Params:   p,
		Counts:   map[string]int64{},
		schedule: schedule{random: rand.New(rand.NewPCG(p.Seed, 0x5affe1))},
		network:  network{cut: map[[2]string]int{}, last: map[[2]string]time.Duration{}},
		fleet:    fleet{processes: map[string]*process{}, replicas: map[string]*replica{}},
	}
	for i := 0; i < p.Cores; i++ {
		w.addStore(i < p.Desks)
	}
	for i := 0; i < p.Nodes; i++ {
		n := w.add(fmt.Sprintf("node%d", i+1), i, fmt.Sprintf("10.0.1.%d:1", i+1))
		n.ways = map[uint64]*way{}
		w.nodes = append(w.nodes, n)
		w.Record.Nodes = append(w.Record.Nodes, n.id)
	}
	w.Record.Limits = Limits{Apply: 2 * time.Second, Contact: contact, Outer: 5 * time.Second, Revert: 250 * time.Millisecond, Drain: 2 * time.Second, Settling: time.Second,
		Window: window, Overshoot: p.Overshoot, Slack: float64(p.Slack), Keep: keepFor, Recovery: recovery, Longest: 10 * time.Second}
	return w
}

func (w *World) addStore(withDesk bool) *store {
	n := len(w.stores) + 1
	s := &store{core: w.add(fmt.Sprintf("core%d", n), n, fmt.Sprintf("10.0.0.%d:2", n))}
	s.core.disk = w.emptyDisk(s.core.id)
	if withDesk {
		s.desk = w.add(fmt.Sprintf("desk%d", n), n, fmt.Sprintf("10.0.0.%d:0", n))
		s.desk.isDesk, s.desk.known, s.desk.founds = true, map[string]desk.ReplicaEntry{}, n == 1
	}
	w.stores = append(w.stores, s)
	return s
}

func (w *World) add(id string, n int, address string) *process {
	p := &process{world: w, id: id, zone: fmt.Sprintf("zone-%d", n%w.Params.Zones+1), address: address}
	w.processes[address] = p
	return p
}

func (s *store) processes() []*process {
	if s.desk == nil {
		return []*process{s.core}
	}
	return []*process{s.core, s.desk}
}

// Now is the simulated time.
func (w *World) Now() time.Duration { return w.now }

func (w *World) after(d time.Duration, what func()) {
	w.agenda.Add(w.now+d, what)
}

func (w *World) run(until time.Duration) { w.agenda.Run(until, &w.now) }

func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.random.Int64N(int64(b-a)+1))
}

func (w *World) chance(p float64) bool { return w.random.Float64() < p }

func (w *World) delay() time.Duration { return w.between(200*time.Microsecond, 2*time.Millisecond) }

func (w *World) mark(kind string) string {
	w.marks++
	return fmt.Sprintf("%s-%d", kind, w.marks)
}

func (w *World) logf(format string, args ...any) {
	if w.Params.Logf != nil {
		w.Params.Logf("%8.3fs "+format, append([]any{w.now.Seconds()}, args...)...)
	}
}

func (w *World) seeds() []string {
	var list []string
	for _, s := range w.stores {
		if s.desk != nil && !s.gone && len(list) < 3 {
			list = append(list, s.desk.address)
		}
	}
	return list
}

// operate runs a call at a desk. Its answer may never come.
func (w *World) operate(at *process, step func(d Desk, now time.Duration, ticket uint64) desk.Output, done func(body any)) {
	w.after(w.delay(), func() {
		at.do(func() {
			at.next++
			at.calls[at.next] = func(body any) { w.after(w.delay(), func() { done(body) }) }
			at.takeDesk(step(at.desk, at.now(), at.next))
		})
	})
}

func (w *World) anyDesk() *process {
	var list []*process
	for _, s := range w.stores {
		if s.desk != nil && !s.gone {
			list = append(list, s.desk)
		}
	}
	return list[w.random.IntN(len(list))]
}

// trouble notes that a machine is harmed; the returned end is called when it no
// longer is. Whoever is in trouble is not judged by bounds in time.
func (w *World) trouble(who string) (end func()) {
	w.Record.Troubles = append(w.Record.Troubles, Trouble{Who: who, From: w.now, Until: -1})
	at, over := len(w.Record.Troubles)-1, false
	return func() {
		if !over {
			over = true
			w.Record.Troubles[at].Until = w.now
		}
	}
}

// Pass lets time pass.
func (w *World) Pass(d time.Duration) { w.run(w.now + d) }

// Summary lists what was counted, in order.
func (w *World) Summary() []string {
	var lines []string
	for _, name := range ordered.Keys(w.Counts) {
		lines = append(lines, fmt.Sprintf("%s: %d", name, w.Counts[name]))
	}
	return lines
}

func (w *World) readyNode() *process {
	var ready []*process
	for _, n := range w.nodes {
		if n.alive && !n.frozen && n.node.Ready(n.now()) {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 || w.chance(0.05) {
		return w.nodes[w.random.IntN(len(w.nodes))]
	}
	return ready[w.random.IntN(len(ready))]
}

func (w *World) coreOf(owned int) *store {
	for _, s := range w.stores {
		if s.core.alive && !s.core.frozen && s.core.core.Founded() && slices.Contains(s.core.core.LeadingPartitions(s.core.now()), owned) {
			return s
		}
	}
	return nil
}
