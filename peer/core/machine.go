package core

import (
	"sort"
	"time"

	"saffronfall/rule/invariant"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
	"saffronfall/rule/rehearsal"
	"saffronfall/rule/slab"
)

// Send is a message for the process at an address. A synced one goes out when
// all changes so far are on disk.
type Send struct {
	To     string
	Body   any
	Synced bool
}

// Answer goes to an operator's waiting call.
type Answer struct {
	Ticket uint64
	Body   any
}

// Output is what a step wants done: changes, then sends, then answers.
type Output struct {
	Changes []Change
	Sends   []Send
	Answers []Answer
}

// Counters are what a core counts.
type Counters struct {
	Messages, Commands, Redirected, Uncertain, Pulls, BadMessages, Rejoins, RefusedWhileStalled int64
}

// Options make a machine.
type Options struct {
	Params   Params
	ID, Zone string
	Address  string
	Operator string
	Seeds    []string
	Stored   Stored
	Now      time.Duration
	Random   func() float64
	// Violated takes violated invariants; without it they panic.
	Violated invariant.Reporter
}

// Machine is one core.
type Machine struct {
	Counters Counters

	params     Params
	self       Core
	founding   Founding
	partitions map[int]*partition.Machine
	cores      map[string]Core
	terms      []partition.Term
	groups     []partition.Group
	caller     *Caller
	tickets    slab.Slab[origin]
	outputs
	random        func() float64
	sweepAt       time.Duration
	leaving       bool
	stalled       bool
	later         Later
	seeds         []string
	announceAt    time.Duration
	registering   bool
	unregistered  bool
	sampleRound   uint64
	samples       map[string][]rehearsal.Sample
	observedSince time.Duration
	activeAt      time.Duration
	placement     [][]string
	// placedFor and placedSilent are what the placement was made for.
	placementCores  []Core
	placementSilent map[string]bool
	contacts        map[string]contact
	topologyChanged bool
	gossipState
	// outlived says that the fleet knows a later incarnation of this core; refused
	// is how many claims to its entry lost a race.
	superseded     bool
	rejectedClaims uint64
	nextChangeAt   map[int]time.Duration
	rebalanceAt    time.Duration
}

// outlets are where a core's words go: what a step wants done, and violated
// invariants.
type outputs struct {
	out      *Output
	violated invariant.Reporter
}

// New makes a core from what its disk holds.
func New(o Options) *Machine {
	m := &Machine{params: o.Params, random: o.Random, outputs: outputs{violated: o.Violated}, seeds: o.Seeds, partitions: map[int]*partition.Machine{}, cores: map[string]Core{},
		self: Core{ID: o.ID, Incarnation: o.Stored.Incarnation, Zone: o.Zone, Peer: o.Address, Operator: o.Operator}}
	m.caller = &Caller{Retry: o.Params.Retry, Random: o.Random,
		Send:       func(to string, body any) { m.send(to, body, false) },
		Partitions: func() int { return m.founding.Partitions },
		Cores: func() []string {
			var all []string
			for _, c := range m.cores {
				if !c.Retired {
					all = append(all, c.Peer)
				}
			}
			sort.Strings(all)
			return all
		}}
	if o.Stored.Founding.Partitions > 0 {
		m.start(o.Now, o.Stored)
	}
	return m
}

func (m *Machine) start(now time.Duration, s Stored) {
	m.founding = s.Founding
	m.terms, m.groups = make([]partition.Term, s.Founding.Partitions), make([]partition.Group, s.Founding.Partitions)
	for id, c := range s.Founding.Cores {
		m.cores[id] = c
	}
	m.mergeCoresOf(s.Copies[ConfigurationPart])
	m.refreshSelf()
	m.unregistered = true
	m.topologySentAt = map[string]time.Duration{}
	m.contacts, m.nextChangeAt, m.observedSince, m.activeAt = map[string]contact{}, map[int]time.Duration{}, now, now
	for _, n := range ordered.Keys(s.Copies) {
		m.addReplica(now, n, s.Copies[n])
	}
}

func (m *Machine) addReplica(now time.Duration, n int, state partition.State) *partition.Machine {
	m.partitions[n] = partition.New(partition.Options{Params: m.params.Part, Member: m.self.Seat(), Partition: n, Rules: &rules{params: m.params, fleet: m.fleet, violated: m.violated}, State: state, Now: now,
		Random: m.random, Violated: m.violated})
	return m.partitions[n]
}

func (m *Machine) send(to string, body any, synced bool) {
	m.out.Sends = append(m.out.Sends, Send{To: to, Body: body, Synced: synced})
}

// Founded reports whether this core belongs to a fleet.
func (m *Machine) Founded() bool { return m.founding.Partitions > 0 }

// Self is this core's own entry.
func (m *Machine) Self() Core { return m.self }

// Founding is what the fleet was founded with.
func (m *Machine) Founding() Founding { return m.founding }

// Tick lets time pass.
func (m *Machine) Tick(now time.Duration) Output {
	m.out = &Output{}
	if !m.Founded() {
		if now >= m.announceAt {
			m.announceAt = now + max(50*time.Millisecond, m.params.MemberTerm/20)
			m.announce()
		}
		return *m.out
	}
	m.detectPause(now)
	for n := 0; n < m.founding.Partitions; n++ {
		p := m.partitions[n]
		if p == nil {
			continue
		}
		if m.leaving || m.stalled {
			m.take(now, n, p.ReleaseLeadership(now))
			if _, owns := p.LeadingTerm(now); !owns {
				continue
			}
		}
		m.take(now, n, p.Tick(now))
	}
	if now >= m.gossipAt {
		m.gossipAt = now + m.params.Pull
		m.refreshTopology()
		m.gossip(now)
	}
	if now >= m.rebalanceAt {
		m.rebalanceAt = now + m.params.Part.LeaseDuration/4
		m.rebalance(now)
	}
	if now >= m.sweepAt {
		m.sweepAt = now + m.params.MemberTerm/4
		for n := 0; n < m.founding.Partitions; n++ {
			if p := m.partitions[n]; p != nil {
				if _, ok := p.LeadingTerm(now); ok {
					m.propose(now, n, Sweep{}, origin{})
				}
			}
		}
	}
	if now >= m.announceAt {
		m.announceAt = now + m.params.MemberTerm/4
		m.announce()
		m.register(now)
	}
	m.caller.Tick(now)
	m.later.Tick(now)
	return *m.out
}

// Leave begins to hand all parts over; Owned says how many are left.
func (m *Machine) Drain() { m.leaving = true }

// Owned lists the parts that this core owns now.
func (m *Machine) LeadingPartitions(now time.Duration) []int {
	var list []int
	for n, p := range m.partitions {
		if _, ok := p.LeadingTerm(now); ok {
			list = append(list, n)
		}
	}
	sort.Ints(list)
	return list
}

// PartCounters sums the counters of all parts.
func (m *Machine) PartitionCounters() partition.Counters {
	var sum partition.Counters
	for _, p := range m.partitions {
		c := p.Counters
		sum.Elections += c.Elections
		sum.Elected += c.Elected
		sum.Writes += c.Writes
		sum.Entries += c.Entries
		sum.SnapshotsSent += c.SnapshotsSent
		sum.Sweeps += c.Sweeps
		sum.TombstonesPurged += c.TombstonesPurged
	}
	return sum
}

// Part is one part's machine, for tests and status.
func (m *Machine) Partition(n int) *partition.Machine { return m.partitions[n] }

// Receive takes a message from the process at an address.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.out = &Output{}
	m.Counters.Messages++
	if !m.Founded() {
		switch b := body.(type) {
		case Topology:
			m.rejoin(now, b)
		case FoundFleet:
			if m.params.ColdStart {
				m.createFleet(now, b.Founding)
			}
		}
		return *m.out
	}
	m.detectPause(now)
	switch b := body.(type) {
	case PartMessage:
		m.onPart(now, b)
	case Command:
		m.Counters.Commands++
		command, err := message.Open(b.Raw)
		if err != nil || b.Part < 0 || b.Part >= m.founding.Partitions {
			m.Counters.BadMessages++
			return *m.out
		}
		m.propose(now, b.Part, command, origin{from: from, id: b.ID, part: b.Part})
	case CommandReturn:
		m.caller.Receive(now, from, b)
	case Pull:
		m.Counters.Pulls++
		m.onPull(now, from, b)
	case Topology:
		m.mergeTopology(b)
	case Present:
		m.onPresence(now, from, b)
	case Samples:
		if b.ID == m.sampleRound && m.samples != nil {
			m.samples[from] = b.List
		}
	}
	return *m.out
}

// Stall tells the machine whether its disk hangs. A core with a hanging disk
// gives its parts to others and stands for none.
func (m *Machine) SetStalled(stalled bool) { m.stalled = stalled }
