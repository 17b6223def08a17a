package desk

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// Options make a machine.
type Options struct {
	Params  Params
	ID      string
	Life    string
	Address string
	Seeds   []string
	// Founds is set at the one desk that founds a fleet which was never founded.
	Founds bool
	// Known is the list that an earlier life of this desk kept. It saves nodes
	// the wait for the next beats, and is believed only that long.
	Known []Listed
	// Peers are the addresses that it kept.
	Peers  *Peers
	Now    time.Duration
	Random func() float64
}

// Machine is one desk.
type Machine struct {
	Counters Counters

	params      Params
	id, life    string
	address     string
	seeds       []string
	founds      bool
	random      func() float64
	out         *Output
	caller      *core.Caller
	version     uint64
	list        map[string]*listed
	subscribers map[string]*subscriber
	desks       map[string]time.Duration
	// otherDesks is what this desk has heard of the others, by address.
	otherDesks      map[string]deskHeard
	topology        core.Topology
	topologyVersion uint64
	foundingCores   map[string]core.Core
	foundingCoresAt time.Duration
	startedAt       time.Duration
	table           *currentTable
	pulledUpTo      partition.Version
	confirmed       time.Duration
	fresh           core.Freshness
	pullAt          time.Duration
	followAt        time.Duration
	sweepAt         time.Duration
	foundAt         time.Duration
	founding        *core.Founding
	reach
	loads    loads
	tickedAt time.Duration
	// saved are the addresses that were written down last.
	saved savedPeers
}

// New makes a desk.
func New(o Options) *Machine {
	m := &Machine{params: o.Params, id: o.ID, life: o.Life, address: o.Address, seeds: o.Seeds, founds: o.Founds, random: o.Random,
		otherDesks: map[string]deskHeard{}, list: map[string]*listed{}, subscribers: map[string]*subscriber{}, reach: reach{pending: map[uint64]pendingCall{}}, desks: map[string]time.Duration{o.Address: o.Now},
		loads: loads{nodes: map[string]nodeLoad{}, records: map[string]*replicaRecord{}}, foundingCores: map[string]core.Core{}, startedAt: o.Now, confirmed: -1}
	m.topology.Cores = map[string]core.Core{}
	for _, l := range o.Known {
		m.version++
		l.Version = m.version
		m.list[l.Replica.ID] = &listed{Listed: l, heard: o.Now - (lost-2)*o.Params.Beat}
	}
	if o.Peers != nil {
		m.recall(*o.Peers)
	}
	m.caller = &core.Caller{Retry: o.Params.Core.AttemptTimeout, Random: o.Random,
		Send:       func(to string, body any) { m.send(to, body) },
		Partitions: func() int { return len(m.topology.Leaders) },
		Cores:      m.coreAddresses,
		Forwarders: m.others}
	return m
}

func (m *Machine) send(to string, body any) {
	if to != "" && to != m.address {
		m.out.Sends = append(m.out.Sends, Send{To: to, Body: body})
	}
}

func (m *Machine) answer(ticket uint64, body any) {
	m.out.Answers = append(m.out.Answers, Answer{Ticket: ticket, Body: body})
}

// Receive takes a message from the process at an address.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.out = &Output{}
	m.Counters.Messages++
	switch b := body.(type) {
	case Follow:
		m.onFollow(now, from, b)
	case Bulletin:
		m.onBulletin(now, from, b)
	case LoadReport:
		m.onLoadReport(now, from, b)
	case core.AnnounceCore:
		m.onPresent(now, from, b)
	case core.Topology:
		m.adopt(now, b)
	case core.Update:
		m.onNews(now, b)
	case core.Freshness:
		m.fresh = b
		m.confirm(now)
	case core.CommandResult:
		m.caller.Receive(now, from, b)
	default:
		m.Counters.BadMessages++
	}
	return *m.out
}

// Tick lets time pass.
func (m *Machine) Tick(now time.Duration) Output {
	m.out = &Output{}
	m.tickedAt = now
	m.caller.Tick(now)
	m.giveUpCalls(now)
	m.answerDepartures(now)
	m.listenForEcho(now)
	m.tellLoads(now)
	if now >= m.followAt {
		m.followAt = now + m.params.Core.PullInterval*2
		targets := ordered.Keys(m.desks)
		for _, seed := range m.seeds {
			if _, ok := m.desks[seed]; !ok {
				targets = append(targets, seed)
			}
		}
		for _, to := range targets {
			m.follow(to)
		}
	}
	if now >= m.pullAt {
		m.pullAt = now + m.params.Core.PullInterval
		m.pull(now)
	}
	if now >= m.sweepAt {
		m.sweepAt = now + m.params.Beat/4
		m.sweep(now)
		m.forgetRecords()
	}
	m.found(now)
	m.savePeers()
	return *m.out
}

// lost is after how many beats without a word a replica is taken off the list.
const lost = 4

func (m *Machine) sweep(now time.Duration) {
	for _, id := range ordered.Keys(m.list) {
		l := m.list[id]
		switch {
		case !l.Gone && now > l.heard+lost*m.params.Beat:
			l.Gone = true
			m.change(now, l)
		case l.Gone && now > l.heard+20*lost*m.params.Beat:
			delete(m.list, id)
		}
	}
	for address, f := range m.subscribers {
		if now > f.heard+nodeMemory*m.params.Beat {
			delete(m.subscribers, address)
		}
	}
	for address, heard := range m.desks {
		if address != m.address && now > heard+10*lost*m.params.Beat {
			delete(m.desks, address)
			delete(m.otherDesks, address)
		}
	}
}

// Number is the newest table that this desk knows to be agreed.
func (m *Machine) Number() uint64 { return m.table.number() }

// Ready reports whether this desk has a table and cores to ask.
func (m *Machine) Ready() bool { return len(m.topology.Leaders) > 0 }

// Status is what this desk counts and holds.
func (m *Machine) Status(now time.Duration) map[string]int64 {
	return map[string]int64{"messages": m.Counters.Messages, "beats": m.Counters.Beats, "bulletins": m.Counters.Bulletins, "changes": m.Counters.Changes,
		"tables_applied": m.Counters.Applied, "tables_refused": m.Counters.Refused, "bad_messages": m.Counters.BadMessages,
		"replicas": int64(len(m.list)), "followers": int64(len(m.subscribers)), "desks": int64(len(m.desks)), "table": int64(m.table.number()), "cores": int64(len(m.topology.Cores))}
}
