package core

import (
	"sort"
	"time"

	"saffronfall/rule/invariant"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
	"saffronfall/rule/replay"
	"saffronfall/rule/slab"
)

// Send is a message to an address. A Synced one may be sent only after all changes up to it are on
// disk, because it may acknowledge them.
type Send struct {
	To     string
	Body   any
	Synced bool
}

// Answer is the result of the operator's call with the ticket.
type Answer struct {
	Ticket uint64
	Body   any
}

// Output lists the effects of a step. The caller must write the changes, then send the messages,
// then return the answers.
type Output struct {
	Changes []Change
	Sends   []Send
	Answers []Answer
}

// Counters are a core's event counts since it started.
type Counters struct {
	Messages, Commands, Redirected, Uncertain, Pulls, BadMessages, Rejoins, RefusedWhileStalled int64
	// RetirementsRefused would have left too few cores; RetirementsUndecided depended on cores that
	// were not heard.
	RetirementsRefused, RetirementsUndecided int64
}

// Options configure a Machine.
type Options struct {
	Params   Params
	ID, Zone string
	Address  string
	// Operator is the address of the operator API; Seeds get this core's announcements.
	Operator string
	Seeds    []string
	Stored   Stored
	Now      time.Duration
	Random   func() float64
	// Violated receives violated invariants. If nil, a violation panics.
	Violated invariant.Reporter
}

// Machine is the state machine of one core process. It does no I/O and has no clock: the caller
// passes in messages and times and carries out each Output.
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
	tickets    slab.Slab[commandOrigin]
	outputs
	unfoundedState
	registrationState
	random      func() float64
	sweepAt     time.Duration
	draining    bool
	stalled     bool
	timers      Timers
	seeds       []string
	announceAt  time.Duration
	sampleRound uint64
	samples     map[string][]replay.Sample
	// Silence of other cores counts from observedSince on. activeAt is when this core last ran.
	observedSince time.Duration
	activeAt      time.Duration
	placement     [][]string
	// placementCores and placementSilent are the inputs of placement.
	placementCores  []Core
	placementSilent map[string]bool
	contacts        map[string]contact
	gossipState
	// nextChangeAt is a partition's earliest next group change after a failed one.
	nextChangeAt map[int]time.Duration
	rebalanceAt  time.Duration
}

// unfoundedState is what a core needs until it belongs to a fleet.
type unfoundedState struct {
	mayFound bool // as stored, see Stored
	// foundedCores are the addresses of a fleet's cores whose FoundFleet this core has missed.
	foundedCores []string
}

// registrationState is the state of this core's own entry in the fleet.
type registrationState struct {
	// registering is set while a registration of this core is pending; unregistered is set while
	// the fleet may have a different entry of this core.
	registering  bool
	unregistered bool
	// superseded is set when the fleet knows a later incarnation of this core. claimIncrement
	// raises the version of the next claim to its entry, because earlier claims lost a race.
	superseded     bool
	claimIncrement uint64
}

type outputs struct {
	out      *Output
	violated invariant.Reporter
}

// New returns a machine in the state stored on disk.
func New(options Options) *Machine {
	machine := &Machine{
		params:         options.Params,
		random:         options.Random,
		unfoundedState: unfoundedState{mayFound: options.Stored.MayFound},
		outputs:        outputs{violated: options.Violated},
		seeds:          options.Seeds,
		partitions:     map[int]*partition.Machine{},
		cores:          map[string]Core{},
		self: Core{
			ID:          options.ID,
			Incarnation: options.Stored.Incarnation,
			Zone:        options.Zone,
			Peer:        options.Address,
			Operator:    options.Operator,
		},
	}
	machine.caller = &Caller{Retry: options.Params.AttemptTimeout, Random: options.Random,
		Send:       func(to string, body any) { machine.send(to, body, false) },
		Partitions: func() int { return machine.founding.Partitions },
		Cores: func() []string {
			return Topology{Cores: machine.cores, Leaders: machine.terms, Groups: machine.groups}.CoreAddresses()
		}}
	if options.Stored.Founding.Partitions > 0 {
		machine.start(options.Now, options.Stored)
	}
	return machine
}

func (m *Machine) start(now time.Duration, stored Stored) {
	m.founding = stored.Founding
	m.terms, m.groups = make([]partition.Term, stored.Founding.Partitions), make([]partition.Group, stored.Founding.Partitions)
	for id, c := range stored.Founding.Cores {
		m.cores[id] = c
	}
	m.mergeCoresOf(stored.Replicas[ConfigurationPartition])
	m.changes, m.announced = TopologyChanges{}, map[int]announcedPartition{} // what was stored is not news
	m.refreshSelf()
	m.unregistered = true
	m.contacts, m.nextChangeAt, m.observedSince, m.activeAt = map[string]contact{}, map[int]time.Duration{}, now, now
	for _, n := range ordered.Keys(stored.Replicas) {
		m.addReplica(now, n, stored.Replicas[n])
	}
}

func (m *Machine) addReplica(now time.Duration, n int, state partition.State) *partition.Machine {
	m.partitions[n] = partition.New(partition.Options{
		Params:    m.params.Partition,
		Member:    m.self.MemberID(),
		Partition: n,
		Rules:     &rules{params: m.params, fleet: m.fleet, violated: m.violated},
		State:     state,
		Now:       now,
		Random:    m.random,
		Violated:  m.violated,
	})
	return m.partitions[n]
}

func (m *Machine) send(to string, body any, synced bool) {
	m.out.Sends = append(m.out.Sends, Send{To: to, Body: body, Synced: synced})
}

// Founded reports whether this core belongs to a fleet.
func (m *Machine) Founded() bool { return m.founding.Partitions > 0 }

// Self returns this core's entry.
func (m *Machine) Self() Core { return m.self }

// Founding returns the fleet's initial configuration.
func (m *Machine) Founding() Founding { return m.founding }

const (
	// The interval of announcements of a core without a fleet.
	joinAnnouncementsPerLease = 20
	minJoinAnnounceInterval   = 50 * time.Millisecond
	// Per member lease; rebalances are per partition lease.
	announcementsPerLease = 4
	sweepsPerLease        = 4
	rebalancesPerLease    = 4
)

// Tick runs what is due at now.
func (m *Machine) Tick(now time.Duration) Output {
	m.out = &Output{}
	if !m.Founded() {
		if now >= m.announceAt {
			m.announceAt = now + max(minJoinAnnounceInterval, m.params.MemberLease/joinAnnouncementsPerLease)
			m.announce()
		}
		return *m.out
	}
	m.detectPause(now)
	for n := 0; n < m.founding.Partitions; n++ {
		replica := m.partitions[n]
		if replica == nil {
			continue
		}
		if m.draining || m.stalled {
			m.handleOutput(now, n, replica.ReleaseLeadership(now))
			if _, leads := replica.LeadingTerm(now); !leads {
				continue
			}
		}
		m.handleOutput(now, n, replica.Tick(now))
	}
	if now >= m.gossipAt {
		m.gossipAt = now + m.params.PullInterval
		m.refreshTopology()
		m.gossip(now)
	}
	if now >= m.rebalanceAt {
		m.rebalanceAt = now + m.params.Partition.LeaseDuration/rebalancesPerLease
		m.rebalance(now)
	}
	if now >= m.sweepAt {
		m.sweepAt = now + m.params.MemberLease/sweepsPerLease
		for n := 0; n < m.founding.Partitions; n++ {
			if p := m.partitions[n]; p != nil {
				if _, ok := p.LeadingTerm(now); ok {
					m.propose(now, n, Sweep{}, commandOrigin{})
				}
			}
		}
	}
	if now >= m.announceAt {
		m.announceAt = now + m.params.MemberLease/announcementsPerLease
		m.announce()
		m.register(now)
	}
	m.caller.Tick(now)
	m.timers.Tick(now)
	return *m.out
}

// Drain starts to transfer leadership of all partitions. LeadingPartitions lists those that remain.
func (m *Machine) Drain() { m.draining = true }

// LeadingPartitions lists the partitions that this core leads, in ascending order.
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

// PartitionCounters returns the sums over all replicas.
func (m *Machine) PartitionCounters() partition.Counters {
	var sum partition.Counters
	for _, p := range m.partitions {
		counters := p.Counters
		sum.Elections += counters.Elections
		sum.Elected += counters.Elected
		sum.Writes += counters.Writes
		sum.Entries += counters.Entries
		sum.SnapshotsSent += counters.SnapshotsSent
		sum.Sweeps += counters.Sweeps
		sum.TombstonesPurged += counters.TombstonesPurged
	}
	return sum
}

// Partition returns this core's replica of partition n, or nil if it has none.
func (m *Machine) Partition(n int) *partition.Machine { return m.partitions[n] }

// Receive handles a message from an address.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.out = &Output{}
	m.Counters.Messages++
	if !m.Founded() {
		switch b := body.(type) {
		case Topology:
			m.rejoin(now, b)
		case FoundFleet:
			if m.mayFound {
				m.joinNewFleet(now, b.Founding)
			}
		}
		return *m.out
	}
	m.detectPause(now)
	switch msg := body.(type) {
	case ReplicaMessage:
		m.onReplicaMessage(now, msg)
	case Command:
		m.Counters.Commands++
		command, err := message.Open(msg.Raw)
		if err != nil || msg.Partition < 0 || msg.Partition >= m.founding.Partitions {
			m.Counters.BadMessages++
			return *m.out
		}
		m.propose(now, msg.Partition, command, commandOrigin{from: from, id: msg.ID, partition: msg.Partition})
	case CommandResult:
		m.caller.Receive(now, from, msg)
	case PullUpdates:
		m.Counters.Pulls++
		m.onPullUpdates(now, from, msg)
	case Topology:
		m.mergeTopology(msg)
	case TopologyChanges:
		m.mergeChanges(msg)
	case AnnounceCore:
		m.onAnnounceCore(now, from, msg)
	case Samples:
		if msg.ID == m.sampleRound && m.samples != nil {
			m.samples[from] = msg.List
		}
	}
	return *m.out
}

// SetStalled sets whether the disk is stalled. A stalled core gives up leadership and is not
// elected.
func (m *Machine) SetStalled(stalled bool) { m.stalled = stalled }
