package node

import (
	"sort"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/breaker"
	"saffronfall/rule/configuration"
	"saffronfall/rule/partition"
	"saffronfall/rule/program"
	"saffronfall/rule/rehearsal"
	"saffronfall/rule/slab"
	"saffronfall/rule/verdict"
)

// Options make a machine.
type Options struct {
	Params      Params
	ID          string
	Incarnation string
	Zone        string
	Address     string
	HTTP        string
	// Host names what only one process at a time can hold, such as an address
	// bound on a running machine; empty: nothing.
	Host   string
	Seeds  []string
	Now    time.Duration
	Random func() float64
}

type identity struct {
	Params
	ID, Zone, Address, HTTP, Host string
	Seeds                         []string
}

// Machine is one node.
type Machine struct {
	Counters Counters

	params      identity
	now         time.Duration
	out         *Output
	random      func() float64
	incarnation string
	births      int
	former      []string
	buried      map[string]bool
	caller      *core.Caller

	topology core.Topology
	versions map[int]partition.Version
	freshAt  time.Duration
	bornAt   time.Duration
	entries  map[int]map[string]partition.Entry
	pullAt   time.Duration
	pulls    int

	description  *configuration.Description
	version      uint64
	tenants      []string
	members      map[string]core.Member
	replicas     map[string]map[string]announced
	cores        map[string]core.Core
	conditions   map[string]*condition
	breakerState breaker.State
	openUntil    time.Duration

	termUntil time.Duration
	joined    bool
	joinedAt  time.Duration
	renewAt   time.Duration
	renewing  bool
	leaving   bool
	left      bool

	handed, handing int
	givingBack      bool

	programs map[string]*held
	mirrors  map[string]*mirrored
	owners   map[string]core.Member
	paces    map[string]*pace
	days     map[string]*share
	money    *share
	rooms    map[string]*room
	buffered int
	running  int

	ways     slab.Slab[*way]
	waiting  map[uint64]slab.Ticket
	shots    slab.Slab[*shot]
	live     map[slab.Ticket]*shot
	asked    slab.Slab[*asked]
	open     map[slab.Ticket]*asked
	served   map[string]*servedWay
	passed   slab.Slab[*passed]
	passing  []slab.Ticket
	later    core.Timers
	nextID   uint64
	samples  []rehearsal.Sample
	nextSamp int
}

type held struct {
	record  program.Record
	turns   map[string][]program.Turn
	offset  time.Duration
	saved   uint64
	unsaved []program.Turn
	saving  bool
	// unsavedAt is since when the cores lack something; named and covered are
	// what the record that they have says; copied is the version that all
	// mirrors hold.
	unsavedAt time.Duration
	named     []program.Mirror
	covered   int64
	// dayCovered is up to where the user's day is charged beforehand.
	dayCovered int64
	copied     uint64
	acked      map[string]uint64
	copyAt     time.Duration
	consulting *consulting
	waiters    []saver
	lost       bool
	usedAt     time.Duration
}

// New makes a node.
func New(o Options) *Machine {
	m := &Machine{params: identity{Params: o.Params, ID: o.ID, Zone: o.Zone, Address: o.Address, HTTP: o.HTTP, Host: o.Host, Seeds: o.Seeds},
		random: o.Random, incarnation: o.Incarnation, buried: map[string]bool{}, now: o.Now,
		versions: map[int]partition.Version{}, freshAt: -1, bornAt: o.Now, entries: map[int]map[string]partition.Entry{},
		members: map[string]core.Member{}, replicas: map[string]map[string]announced{}, cores: map[string]core.Core{},
		conditions: map[string]*condition{}, waiting: map[uint64]slab.Ticket{}, live: map[slab.Ticket]*shot{},
		open: map[slab.Ticket]*asked{}, served: map[string]*servedWay{}, mirrors: map[string]*mirrored{}, rooms: map[string]*room{}, breakerState: breaker.Closed}
	m.Counters.Refusals = map[string]int64{}
	m.caller = &core.Caller{Retry: o.Params.Core.AttemptTimeout, Random: o.Random,
		Send:       func(to string, body any) { m.send(to, body) },
		Partitions: func() int { return len(m.topology.Leaders) },
		Cores:      func() []string { return m.coreAddresses() },
		Forwarders: func() []string { return m.others() }}
	m.clear()
	return m
}

func (m *Machine) clear() {
	m.programs, m.owners = map[string]*held{}, map[string]core.Member{}
	m.paces, m.days, m.money = map[string]*pace{}, map[string]*share{}, &share{}
}

func (m *Machine) send(to string, body any) {
	if to != "" {
		m.out.Sends = append(m.out.Sends, Send{To: to, Body: body})
	}
}

func (m *Machine) coreAddresses() []string {
	var list []string
	for _, c := range m.topology.Cores {
		if !c.Retired {
			list = append(list, c.Peer)
		}
	}
	sort.Strings(list)
	return list
}

func (m *Machine) step(now time.Duration) {
	m.now, m.out = now, &Output{}
}

// Ready reports whether requesters should be sent here.
func (m *Machine) Ready(now time.Duration) bool {
	if !m.termed(now) || m.leaving {
		return false
	}
	for _, tenant := range m.tenants {
		p := m.paces[tenant+"/rate"]
		if (p == nil || p.filled < 1) && now < m.joinedAt+m.params.Core.MemberLease/2 {
			return false
		}
	}
	return true
}

// Version is the configuration that is in force here.
func (m *Machine) Version() uint64 { return m.version }

// Breaker is the breaker's position as this node knows it.
func (m *Machine) Breaker() string { return string(m.breakerState) }

// Incarnation tells this life of the node from its earlier ones.
func (m *Machine) Incarnation() string { return m.incarnation }

// Tick lets time pass.
func (m *Machine) Tick(now time.Duration) Output {
	m.step(now)
	m.pull(now)
	m.forget(now)
	m.forgetMirrored(now)
	m.renew(now)
	m.caller.Tick(now)
	m.report(now)
	m.tickWays(now)
	m.freeRoom(now)
	m.tickPrograms(now)
	m.later.Tick(now)
	m.tickPassed(now)
	m.drain(now)
	return *m.out
}

// Receive takes a message from the process at an address.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.step(now)
	switch b := body.(type) {
	case core.CommandResult:
		if b.ID&passedOn == 0 {
			m.caller.Receive(now, from, b)
		} else {
			m.passBack(now, b)
		}
	case core.Command:
		m.passOn(now, from, b)
	case core.Topology:
		m.onTopology(b)
	case core.Update:
		m.onNews(now, b)
	case core.PullUpdates:
		m.onPull(now, from, b)
	case core.Freshness:
		m.onFresh(b)
	case Announced:
		m.onAnnounced(now, b)
	case Forward:
		m.onForward(now, from, b)
	case Withdraw:
		m.onWithdraw(now, from, b)
	case Pieced:
		m.onPieced(now, from, b)
	case Copy:
		m.onCopy(now, from, b)
	case Copied:
		m.onCopied(now, from, b)
	case AskCopy:
		m.onAskCopy(now, from, b)
	case CopyHeld:
		m.onCopyHeld(now, b)
	case core.ReadSamples:
		list := append([]rehearsal.Sample(nil), m.samples...)
		for i := range list {
			list[i].Age = now - list[i].Age
		}
		m.send(from, core.Samples{ID: b.ID, List: list})
	default:
		m.Counters.BadMessages++
	}
	return *m.out
}

// Samples are the recent inquiries that rehearsal works on.
func (m *Machine) sample(s rehearsal.Sample) {
	const most = 256
	s.Age = m.now
	if len(m.samples) < most {
		m.samples = append(m.samples, s)
		return
	}
	m.samples[m.nextSamp%most] = s
	m.nextSamp++
}

func unsure(reason string) verdict.Verdict {
	return verdict.RetryLater("unsure", reason, time.Second)
}

// Adopt takes those bounds that may change while the node runs.
func (m *Machine) Adopt(p Params) Output {
	m.step(m.now)
	m.params.Buffer, m.params.Patience, m.params.Newest, m.params.UrgentRatio, m.params.Budget = p.Buffer, p.Patience, p.Newest, p.UrgentRatio, p.Budget
	return *m.out
}
