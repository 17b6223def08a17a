package registry

import (
	"slices"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// Options configure New.
type Options struct {
	Params      Params
	ID          string
	Zone        string
	Incarnation string
	Address     string
	Seeds       []string
	// FoundingDuty is what the one registry that may found a fleet has stored of it.
	FoundingDuty FoundingDuty
	// KnownReplicas is the list that an earlier incarnation of this registry saved. It serves
	// nodes after a restart; entries without a new heartbeat soon expire.
	KnownReplicas []ReplicaEntry
	// KnownPeers are the addresses that it saved; nil if there are none.
	KnownPeers *Peers
	Now        time.Duration
	Random     func() float64
}

// Machine is the state machine of one registry. It is not safe for concurrent use.
type Machine struct {
	Counters Counters

	params                  Params
	registryID, incarnation string
	zone                    string
	address                 string
	seeds                   []string
	random                  func() float64
	out                     *Output
	caller                  *core.Caller
	version                 uint64 // of the replica list
	replicas                map[string]*trackedReplica
	subscribers             map[string]*subscriber
	registries              map[string]time.Duration
	registryCursors         map[string]registryCursor // by address
	topologyLog
	repair     core.TopologyRepair
	notifier   notifier
	founding   founding
	startedAt  time.Duration
	table      *currentTable
	tableReads tableReads
	confirmation
	timers
	reachability
	loads    loadState
	tickedAt time.Duration
	saved    savedPeers
}

// confirmation is what the cores last said of the table.
type confirmation struct {
	pulledUpTo    partition.Version
	lastConfirmed time.Duration // negative before the first confirmation
	lastFreshness core.Freshness
}

// timers are when the regular work is next due.
type timers struct {
	pullAt, subscribeAt, expireAt time.Duration
}

// New returns a registry without subscriptions to other registries.
func New(o Options) *Machine {
	m := &Machine{
		params:          o.Params,
		registryID:      o.ID,
		incarnation:     o.Incarnation,
		zone:            o.Zone,
		address:         o.Address,
		seeds:           o.Seeds,
		random:          o.Random,
		registryCursors: map[string]registryCursor{},
		replicas:        map[string]*trackedReplica{},
		subscribers:     map[string]*subscriber{},
		reachability:    reachability{pending: map[uint64]pendingCall{}},
		registries:      map[string]time.Duration{o.Address: o.Now},
		loads:           loadState{reports: map[string]nodeReport{}, histories: map[string]*replicaHistory{}},
		founding:        founding{duty: o.FoundingDuty, unfounded: map[string]unfoundedCore{}},
		startedAt:       o.Now,
		confirmation:    confirmation{lastConfirmed: -1},
		topologyLog:     newTopologyLog(),
		notifier:        notifier{lastSent: -1},
	}
	for _, entry := range o.KnownReplicas {
		m.version++
		entry.Version = m.version
		m.replicas[entry.Replica.ID] = &trackedReplica{
			ReplicaEntry: entry,
			lastSeen:     o.Now - (missedHeartbeats-restoredRetention)*o.Params.HeartbeatInterval,
		}
	}
	if o.KnownPeers != nil {
		m.restorePeers(*o.KnownPeers)
	}
	m.caller = &core.Caller{
		Retry:      o.Params.Core.AttemptTimeout,
		Random:     o.Random,
		Send:       func(to string, body any) { m.addSend(to, body) },
		Partitions: func() int { return len(m.topology.Leaders) },
		Cores:      func() []string { return m.topology.CoreAddresses() },
		Forwarders: m.forwarders,
	}
	return m
}

func (m *Machine) addSend(to string, body any) {
	if to != "" && to != m.address {
		m.out.Sends = append(m.out.Sends, Send{To: to, Body: body})
	}
}

func (m *Machine) addAnswer(ticket uint64, body any) {
	m.out.Answers = append(m.out.Answers, Answer{Ticket: ticket, Body: body})
}

// Receive handles a message from the process at an address.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.out = &Output{}
	m.Counters.Messages++
	switch message := body.(type) {
	case Subscribe:
		m.onSubscribe(now, from, message)
	case Update:
		m.onUpdate(now, from, message)
	case LoadReport:
		m.onLoadReport(now, from, message)
	case core.AnnounceCore:
		m.onAnnounceCore(now, from, message)
	case core.Topology:
		m.mergeTopology(now, message.Changes())
	case core.TopologyChanges:
		m.mergeTopology(now, message)
	case core.Update:
		m.onConfigurationUpdate(now, message)
	case core.Freshness:
		m.caller.SetLeader(core.ConfigurationPartition, from) // only the leader sends it
		m.lastFreshness = message
		m.updateConfirmation(now)
	case core.CommandResult:
		m.caller.Receive(now, from, message)
	default:
		m.Counters.BadMessages++
	}
	return *m.out
}

// Tick runs the timers that are due.
func (m *Machine) Tick(now time.Duration) Output {
	m.out = &Output{}
	m.tickedAt = now
	m.caller.Tick(now)
	m.expireCalls(now)
	m.answerDepartures(now)
	m.probeReachability(now)
	m.sendLoads(now)
	if now >= m.subscribeAt {
		m.subscribeAt = now + renewalPulls*m.params.Core.PullInterval
		targets := ordered.Keys(m.registries)
		for _, seed := range m.seeds {
			if _, ok := m.registries[seed]; !ok {
				targets = append(targets, seed)
			}
		}
		for _, to := range targets {
			m.subscribeTo(to)
		}
	}
	if now >= m.pullAt {
		m.pullAt = now + m.pullInterval(now)
		m.pull(now)
	}
	m.notifyDue(now)
	if now >= m.expireAt {
		m.expireAt = now + m.params.HeartbeatInterval/expiriesPerHeartbeat
		m.expireReplicas(now)
		m.dropUnlistedHistories()
	}
	m.sendFounding(now)
	m.savePeers()
	return *m.out
}

// Times in heartbeat intervals.
const (
	// missedHeartbeats is the time without a heartbeat after which a replica is removed.
	missedHeartbeats = 4
	// restoredRetention is how long a restored replica stays listed without a heartbeat.
	restoredRetention = 2
	// removedRetention is how long a removed replica stays listed after its last heartbeat.
	removedRetention = 20 * missedHeartbeats
	// registryRetention is how long a silent registry is remembered.
	registryRetention = 10 * missedHeartbeats
)

// expiriesPerHeartbeat is how often expired entries are looked for in a heartbeat interval.
const expiriesPerHeartbeat = 4

// renewalPulls is how often subscriptions to registries are renewed, in pull intervals.
const renewalPulls = 2

// expireReplicas removes silent replicas, and drops expired entries, subscribers and registries.
func (m *Machine) expireReplicas(now time.Duration) {
	for _, id := range ordered.Keys(m.replicas) {
		entry := m.replicas[id]
		switch {
		case !entry.Removed && now > entry.lastSeen+missedHeartbeats*m.params.HeartbeatInterval:
			entry.Removed = true
			m.recordChange(now, entry)
		case entry.Removed && now > entry.lastSeen+removedRetention*m.params.HeartbeatInterval:
			delete(m.replicas, id)
		}
	}
	for address, s := range m.subscribers {
		if now > s.lastSeen+nodeRetention*m.params.HeartbeatInterval {
			delete(m.subscribers, address)
		}
	}
	for address, lastSeen := range m.registries {
		if address != m.address && now > lastSeen+registryRetention*m.params.HeartbeatInterval {
			delete(m.registries, address)
			delete(m.registryCursors, address)
		}
	}
}

// TableNumber returns the number of the newest known accepted table; zero if there is none.
func (m *Machine) TableNumber() uint64 { return m.table.number() }

// Ready reports whether this registry knows leaders of a founded fleet.
func (m *Machine) Ready() bool {
	return slices.ContainsFunc(m.topology.Leaders, func(term partition.Term) bool { return term != partition.Term{} })
}

// Status returns counters and sizes by metric name: "beats" are heartbeats, "bulletins" updates
// sent, "followers" subscribers.
func (m *Machine) Status(now time.Duration) map[string]int64 {
	return map[string]int64{
		"messages":          m.Counters.Messages,
		"beats":             m.Counters.Heartbeats,
		"bulletins":         m.Counters.Updates,
		"changes":           m.Counters.Changes,
		"tables_applied":    m.Counters.TablesApplied,
		"tables_refused":    m.Counters.TablesRefused,
		"bad_messages":      m.Counters.BadMessages,
		"tables_unreadable": m.Counters.TablesUnreadable,
		"replicas":          int64(len(m.replicas)),
		"followers":         int64(len(m.subscribers)),
		"desks":             int64(len(m.registries)),
		"table":             int64(m.table.number()),
		"cores":             int64(len(m.topology.Cores)),
	}
}
