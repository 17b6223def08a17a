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
	Messages, Commands, Moved, Unsure, Pulls, BadMessages, Returns, Stalled int64
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

	params   Params
	self     Core
	founding Founding
	parts    map[int]*partition.Machine
	cores    map[string]Core
	owners   []partition.Term
	groups   []partition.Group
	caller   *Caller
	tickets  slab.Slab[commandOrigin]
	outlets
	random   func() float64
	sweepAt  time.Duration
	leaving  bool
	stalled  bool
	later    Timers
	seeds    []string
	lookAt   time.Duration
	mending  bool
	unknown  bool
	gathered uint64
	samples  map[string][]rehearsal.Sample
	bornAt   time.Duration
	tickedAt time.Duration
	placed   [][]string
	// placedFor and placedSilent are what the placement was made for.
	placedFor    []Core
	placedSilent map[string]bool
	heard        map[string]heard
	changed      bool
	gossiping
	// outlived says that the fleet knows a later incarnation of this core; refused
	// is how many claims to its entry lost a race.
	outlived bool
	refused  uint64
	movedAt  map[int]time.Duration
	moveAt   time.Duration
}

// outlets are where a core's words go: what a step wants done, and violated
// invariants.
type outlets struct {
	out      *Output
	violated invariant.Reporter
}

// New makes a core from what its disk holds.
func New(o Options) *Machine {
	m := &Machine{params: o.Params, random: o.Random, outlets: outlets{violated: o.Violated}, seeds: o.Seeds, parts: map[int]*partition.Machine{}, cores: map[string]Core{},
		self: Core{ID: o.ID, Incarnation: o.Stored.Incarnation, Zone: o.Zone, Peer: o.Address, Operator: o.Operator}}
	m.caller = &Caller{Retry: o.Params.AttemptTimeout, Random: o.Random,
		Send:  func(to string, body any) { m.send(to, body, false) },
		Parts: func() int { return m.founding.Parts },
		Anyone: func() []string {
			var all []string
			for _, c := range m.cores {
				if !c.Retired {
					all = append(all, c.Peer)
				}
			}
			sort.Strings(all)
			return all
		}}
	if o.Stored.Founding.Parts > 0 {
		m.begin(o.Now, o.Stored)
	}
	return m
}

func (m *Machine) begin(now time.Duration, s Stored) {
	m.founding = s.Founding
	m.owners, m.groups = make([]partition.Term, s.Founding.Parts), make([]partition.Group, s.Founding.Parts)
	for id, c := range s.Founding.Cores {
		m.cores[id] = c
	}
	m.learnCoresOf(s.Replicas[ConfigurationPartition])
	m.assert()
	m.unknown = true
	m.toldAt = map[string]time.Duration{}
	m.heard, m.movedAt, m.bornAt, m.tickedAt = map[string]heard{}, map[int]time.Duration{}, now, now
	for _, n := range ordered.Keys(s.Replicas) {
		m.seat(now, n, s.Replicas[n])
	}
}

func (m *Machine) seat(now time.Duration, n int, c partition.State) *partition.Machine {
	m.parts[n] = partition.New(partition.Options{Params: m.params.Partition, Member: m.self.MemberID(), Partition: n, Rules: &rules{params: m.params, fleet: m.fleet, violated: m.violated}, State: c, Now: now,
		Random: m.random, Violated: m.violated})
	return m.parts[n]
}

func (m *Machine) send(to string, body any, synced bool) {
	m.out.Sends = append(m.out.Sends, Send{To: to, Body: body, Synced: synced})
}

// Founded reports whether this core belongs to a fleet.
func (m *Machine) Founded() bool { return m.founding.Parts > 0 }

// Self is this core's own entry.
func (m *Machine) Self() Core { return m.self }

// Founding is what the fleet was founded with.
func (m *Machine) Founding() Founding { return m.founding }

// Tick lets time pass.
func (m *Machine) Tick(now time.Duration) Output {
	m.out = &Output{}
	if !m.Founded() {
		if now >= m.lookAt {
			m.lookAt = now + max(50*time.Millisecond, m.params.MemberLease/20)
			m.greet()
		}
		return *m.out
	}
	m.notice(now)
	for n := 0; n < m.founding.Parts; n++ {
		p := m.parts[n]
		if p == nil {
			continue
		}
		if m.leaving || m.stalled {
			m.handleOutput(now, n, p.ReleaseLeadership(now))
			if _, owns := p.LeadingTerm(now); !owns {
				continue
			}
		}
		m.handleOutput(now, n, p.Tick(now))
	}
	if now >= m.gossipAt {
		m.gossipAt = now + m.params.PullInterval
		m.learn()
		m.gossip(now)
	}
	if now >= m.moveAt {
		m.moveAt = now + m.params.Partition.LeaseDuration/4
		m.place(now)
	}
	if now >= m.sweepAt {
		m.sweepAt = now + m.params.MemberLease/4
		for n := 0; n < m.founding.Parts; n++ {
			if p := m.parts[n]; p != nil {
				if _, ok := p.LeadingTerm(now); ok {
					m.propose(now, n, Sweep{}, commandOrigin{})
				}
			}
		}
	}
	if now >= m.lookAt {
		m.lookAt = now + m.params.MemberLease/4
		m.greet()
		m.mend(now)
	}
	m.caller.Tick(now)
	m.later.Tick(now)
	return *m.out
}

// Leave begins to hand all parts over; Owned says how many are left.
func (m *Machine) Leave() { m.leaving = true }

// Owned lists the parts that this core owns now.
func (m *Machine) Owned(now time.Duration) []int {
	var list []int
	for n, p := range m.parts {
		if _, ok := p.LeadingTerm(now); ok {
			list = append(list, n)
		}
	}
	sort.Ints(list)
	return list
}

// PartCounters sums the counters of all parts.
func (m *Machine) PartCounters() partition.Counters {
	var sum partition.Counters
	for _, p := range m.parts {
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
func (m *Machine) Part(n int) *partition.Machine { return m.parts[n] }

// Receive takes a message from the process at an address.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.out = &Output{}
	m.Counters.Messages++
	if !m.Founded() {
		switch b := body.(type) {
		case Topology:
			m.returnTo(now, b)
		case FoundFleet:
			if m.params.ColdStart {
				m.found(now, b.Founding)
			}
		}
		return *m.out
	}
	m.notice(now)
	switch b := body.(type) {
	case ReplicaMessage:
		m.onReplicaMessage(now, b)
	case Command:
		m.Counters.Commands++
		command, err := message.Open(b.Raw)
		if err != nil || b.Partition < 0 || b.Partition >= m.founding.Parts {
			m.Counters.BadMessages++
			return *m.out
		}
		m.propose(now, b.Partition, command, commandOrigin{from: from, id: b.ID, partition: b.Partition})
	case CommandResult:
		m.caller.Receive(now, from, b)
	case PullUpdates:
		m.Counters.Pulls++
		m.onPullUpdates(now, from, b)
	case Topology:
		m.adopt(b)
	case AnnounceCore:
		m.onPresent(now, from, b)
	case Samples:
		if b.ID == m.gathered && m.samples != nil {
			m.samples[from] = b.List
		}
	}
	return *m.out
}

// Stall tells the machine whether its disk hangs. A core with a hanging disk
// gives its parts to others and stands for none.
func (m *Machine) Stall(stalled bool) { m.stalled = stalled }
