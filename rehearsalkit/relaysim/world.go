// Package relaysim simulates the relay tier in virtual time. It runs the production state machines
// of nodes, registries and cores with simulated requesters, replicas, operators, network and disks,
// injects seeded faults, and judges each run by what requesters, replicas and operators saw.
//
// All randomness comes from one seeded generator, so Params determine a run: the order and number
// of random draws is part of what a seed means. Start reading at Run, Scenario and Record.Judge.
package relaysim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"saffronfall/peer/registry"
	"saffronfall/peer/relay"
	"saffronfall/rehearsalkit/eventqueue"
	"saffronfall/rule/ordered"
)

// Node is the part of relay.Machine that the simulator calls.
type Node interface {
	HandleRequest(now time.Duration, ticket uint64, a relay.Request) relay.Output
	HandleOutcome(now time.Duration, ticket uint64, o relay.Outcome) relay.Output
	Cancel(now time.Duration, ticket uint64) relay.Output
	Receive(now time.Duration, from string, body any) relay.Output
	Tick(now time.Duration) relay.Output
	Ready(now time.Duration) bool
}

// Registry is the part of registry.Machine that the simulator calls.
type Registry interface {
	Heartbeat(now time.Duration, ticket uint64, r registry.Replica) registry.Output
	Leave(now time.Duration, ticket uint64, id string) registry.Output
	Receive(now time.Duration, from string, body any) registry.Output
	Tick(now time.Duration) registry.Output
	Apply(now time.Duration, ticket uint64, base uint64, text []byte, digest string) registry.Output
	Amend(now time.Duration, ticket uint64, a registry.Amendment) registry.Output
	Read(now time.Duration, ticket uint64) registry.Output
	Retire(now time.Duration, ticket uint64, id string) registry.Output
	RetirementStatus(now time.Duration, ticket uint64, id string) registry.Output
}

// World is the state of one run.
type World struct {
	Params Params
	Record Record
	// Counts is keyed by printed label.
	Counts map[string]int64

	schedule
	network
	fleet
	faultState
	lastID      int
	newestAcked uint64
	keptTurns   []keptTurn
	operations  []*operation
}

type schedule struct {
	now    time.Duration
	events eventqueue.Queue
	random *rand.Rand
}

// fleet holds all processes and stores, past ones included, and the running replicas.
type fleet struct {
	processes map[string]*process
	stores    []*store
	nodes     []*process
	replicas  map[string]*replica
	// keyRecords are the records of services that keep one, by operation.
	keyRecords map[recordedKey]*keyRecord
}

type faultState struct {
	// noLossUntil is the time before which no further store fault may begin.
	noLossUntil time.Duration
	// faultsUntil is the time until which faults are injected and tables applied.
	faultsUntil time.Duration
	closing     bool
	// storeChanged is set once a store was replaced, or added and retired.
	storeChanged bool
}

// store is a machine with a disk: a core and usually a registry.
type store struct {
	core, registry *process
	removed        bool
}

// New creates a world with its processes not yet started.
func New(p Params) *World {
	w := &World{
		Params:   p,
		Counts:   map[string]int64{},
		schedule: schedule{random: rand.New(rand.NewPCG(p.Seed, 0x5affe1))},
		network:  network{cut: map[[2]string]int{}, lastArrival: map[[2]string]time.Duration{}},
		fleet:    fleet{processes: map[string]*process{}, replicas: map[string]*replica{}, keyRecords: map[recordedKey]*keyRecord{}},
	}
	for i := 0; i < p.Cores; i++ {
		w.addStore(i < p.Registries)
	}
	for i := 0; i < p.Nodes; i++ {
		n := w.add(fmt.Sprintf("node%d", i+1), i, fmt.Sprintf("10.0.1.%d:1", i+1))
		n.requests = map[uint64]*activeRequest{}
		w.nodes = append(w.nodes, n)
		w.Record.Nodes = append(w.Record.Nodes, n.id)
	}
	w.Record.Limits = Limits{
		Apply:              2 * time.Second,
		Contact:            contactTimeout,
		ApplyWithoutStores: 5 * time.Second,
		Revert:             250 * time.Millisecond,
		Drain:              2 * time.Second,
		Settlement:         time.Second,
		Window:             rateWindow,
		Overshoot:          p.Overshoot,
		Slack:              float64(p.Slack),
		Retention:          keepDuration,
		Recovery:           recoveryTime,
		KeyWindow:          keyWindow,
		FinalStep:          10 * time.Second,
	}
	return w
}

func (w *World) addStore(withRegistry bool) *store {
	n := len(w.stores) + 1
	s := &store{core: w.add(fmt.Sprintf("core%d", n), n, fmt.Sprintf("10.0.0.%d:2", n))}
	s.core.disk = w.emptyDisk(s.core.id)
	if withRegistry {
		s.registry = w.add(fmt.Sprintf("desk%d", n), n, fmt.Sprintf("10.0.0.%d:0", n))
		s.registry.isRegistry, s.registry.knownReplicas = true, map[string]registry.ReplicaEntry{}
		s.registry.foundingDuty.MayFound = n == 1
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
	if s.registry == nil {
		return []*process{s.core}
	}
	return []*process{s.core, s.registry}
}

// Now is the time since the run began.
func (w *World) Now() time.Duration { return w.now }

func (w *World) after(d time.Duration, f func()) {
	w.events.Add(w.now+d, f)
}

func (w *World) runUntil(until time.Duration) { w.events.Run(until, &w.now) }

func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.random.Int64N(int64(b-a)+1))
}

func (w *World) chance(p float64) bool { return w.random.Float64() < p }

func (w *World) delay() time.Duration { return w.between(minMessageDelay, maxMessageDelay) }

func (w *World) uniqueID(kind string) string {
	w.lastID++
	return fmt.Sprintf("%s-%d", kind, w.lastID)
}

func (w *World) logf(format string, args ...any) {
	if w.Params.Logf != nil {
		w.Params.Logf("%8.3fs "+format, append([]any{w.now.Seconds()}, args...)...)
	}
}

func (w *World) seeds() []string {
	var list []string
	for _, s := range w.stores {
		if s.registry != nil && !s.removed && len(list) < 3 {
			list = append(list, s.registry.address)
		}
	}
	return list
}

// callRegistry makes a call whose answer may never arrive.
func (w *World) callRegistry(at *process, step func(reg Registry, now time.Duration, ticket uint64) registry.Output, done func(body any)) {
	w.after(w.delay(), func() {
		at.do(func() {
			at.lastTicket++
			at.pendingCalls[at.lastTicket] = func(body any) { w.after(w.delay(), func() { done(body) }) }
			at.applyRegistryOutput(step(at.registry, at.now(), at.lastTicket))
		})
	})
}

func (w *World) anyRegistry() *process {
	var list []*process
	for _, s := range w.stores {
		if s.registry != nil && !s.removed {
			list = append(list, s.registry)
		}
	}
	return list[w.random.IntN(len(list))]
}

// beginDisruption records that a machine is disturbed until end is called. Time bounds don't apply
// to disrupted machines.
func (w *World) beginDisruption(machine string) (end func()) {
	w.Record.Disruptions = append(w.Record.Disruptions, Disruption{Machine: machine, From: w.now, Until: -1})
	at, finished := len(w.Record.Disruptions)-1, false
	return func() {
		if !finished {
			finished = true
			w.Record.Disruptions[at].Until = w.now
		}
	}
}

// Advance runs the simulation for the given time.
func (w *World) Advance(d time.Duration) { w.runUntil(w.now + d) }

// Summary lists all counts, ordered by name.
func (w *World) Summary() []string {
	var lines []string
	for _, name := range ordered.Keys(w.Counts) {
		lines = append(lines, fmt.Sprintf("%s: %d", name, w.Counts[name]))
	}
	return lines
}

// anyNodeRate is the fraction of requests that go to any node.
const anyNodeRate = 0.05

func (w *World) readyNode() *process {
	var ready []*process
	for _, n := range w.nodes {
		if n.alive && !n.frozen && n.node.Ready(n.now()) {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 || w.chance(anyNodeRate) {
		return w.nodes[w.random.IntN(len(w.nodes))]
	}
	return ready[w.random.IntN(len(ready))]
}

func (w *World) leaderOf(partition int) *store {
	for _, s := range w.stores {
		if s.core.alive && !s.core.frozen && s.core.core.Founded() &&
			slices.Contains(s.core.core.LeadingPartitions(s.core.now()), partition) {
			return s
		}
	}
	return nil
}
