package node

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/breaker"
	"saffronfall/rule/configuration"
	"saffronfall/rule/partition"
	"saffronfall/rule/program"
	"saffronfall/rule/replay"
	"saffronfall/rule/slab"
	"saffronfall/rule/verdict"
)

// Options configures a machine.
type Options struct {
	Params      Params
	ID          string
	Incarnation string
	Zone        string
	Address     string // for other processes of the fleet
	HTTP        string // address for requesters
	// Host names a resource that only one process at a time can hold, such as a bound address.
	// It may be empty.
	Host   string
	Seeds  []string
	Now    time.Duration
	Random func() float64
}

type settings struct {
	Params
	ID, Zone, Address, HTTP, Host string
	Seeds                         []string
}

// Machine is the state machine of one node. It is not safe for concurrent use.
type Machine struct {
	Counters Counters

	params             settings
	now                time.Duration
	out                *Output
	random             func() float64
	incarnation        string
	formerCount        int
	formerIncarnations []string
	endedIncarnations  map[string]bool
	caller             *core.Caller

	topology core.Topology
	// versions and entries are keyed by partition.
	versions map[int]partition.Version
	// freshAt is when the configuration was last known to be current, or -1.
	freshAt   time.Duration
	startedAt time.Duration
	entries   map[int]map[string]partition.Entry
	pullAt    time.Duration
	pullCount int

	description          *configuration.Description
	configurationVersion uint64
	tenants              []string
	members              map[string]core.Member
	replicas             map[string]map[string]knownReplica
	cores                map[string]core.Core
	health               map[string]*replicaHealth
	breakerState         breaker.State
	breakerOpenUntil     time.Duration

	leaseExpiresAt time.Duration
	joined         bool
	joinedAt       time.Duration
	renewAt        time.Duration
	renewing       bool
	leaving        bool
	left           bool

	nextSuccessor, pendingHandovers int
	returningShares                 bool

	// programs, mirrors and owners are keyed by tenant/program.
	programs   map[string]*ownedProgram
	mirrors    map[string]*mirrorCopy
	owners     map[string]core.Member
	rateShares map[string]*rateShare
	dayShares  map[string]*share
	spendShare *share
	queues     map[string]*replicaQueue
	queued     int // attempts waiting for a rate or a replica
	running    int

	requests     slab.Slab[*requestState]
	byTicket     map[uint64]slab.Ticket
	attempts     slab.Slab[*attempt]
	liveAttempts map[slab.Ticket]*attempt
	forwards     slab.Slab[*forwardState]
	openForwards map[slab.Ticket]*forwardState
	served       map[string]*servedRequest
	relayed      slab.Slab[*relayedCommand]
	relayOrder   []slab.Ticket
	timers       core.Timers
	nextID       uint64
	samples      []replay.Sample
	nextSample   int
}

// ownedProgram is a program that this node owns, with its turns by conversation.
type ownedProgram struct {
	record       program.Record
	turns        map[string][]program.Turn
	clockOffset  time.Duration // the partition's time minus the node's
	savedVersion uint64
	unsavedTurns []program.Turn
	saving       bool
	// unsavedSince is the time of the oldest change that the cores have not stored, savedMirrors
	// and savedPrecharged are from their record. mirroredVersion is what all mirrors have.
	unsavedSince    time.Duration
	savedMirrors    []program.Mirror
	savedPrecharged int64
	// dayPrecharged is the total, in tokens, charged to the user's day in advance.
	dayPrecharged   int64
	mirroredVersion uint64
	acked           map[string]uint64
	nextCopyAt      time.Duration
	recovery        *mirrorRecovery
	waiters         []saveWaiter
	lost            bool
	lastUsed        time.Duration
}

// New returns a machine that has not joined the fleet yet.
func New(options Options) *Machine {
	m := &Machine{
		params: settings{
			Params:  options.Params,
			ID:      options.ID,
			Zone:    options.Zone,
			Address: options.Address,
			HTTP:    options.HTTP,
			Host:    options.Host,
			Seeds:   options.Seeds,
		},
		random:            options.Random,
		incarnation:       options.Incarnation,
		endedIncarnations: map[string]bool{},
		now:               options.Now,
		versions:          map[int]partition.Version{},
		freshAt:           -1,
		startedAt:         options.Now,
		entries:           map[int]map[string]partition.Entry{},
		members:           map[string]core.Member{},
		replicas:          map[string]map[string]knownReplica{},
		cores:             map[string]core.Core{},
		health:            map[string]*replicaHealth{},
		byTicket:          map[uint64]slab.Ticket{},
		liveAttempts:      map[slab.Ticket]*attempt{},
		openForwards:      map[slab.Ticket]*forwardState{},
		served:            map[string]*servedRequest{},
		mirrors:           map[string]*mirrorCopy{},
		queues:            map[string]*replicaQueue{},
		breakerState:      breaker.Closed,
	}
	m.Counters.Refusals = map[string]int64{}
	m.caller = &core.Caller{
		Retry:      options.Params.Core.AttemptTimeout,
		Random:     options.Random,
		Send:       func(to string, body any) { m.send(to, body) },
		Partitions: func() int { return len(m.topology.Leaders) },
		Cores:      func() []string { return m.topology.CoreAddresses() },
		Forwarders: func() []string { return m.otherAddresses() },
	}
	m.clearOwned()
	return m
}

// clearOwned drops everything that is held under a membership lease.
func (m *Machine) clearOwned() {
	m.programs, m.owners = map[string]*ownedProgram{}, map[string]core.Member{}
	m.rateShares, m.dayShares, m.spendShare = map[string]*rateShare{}, map[string]*share{}, &share{}
}

func (m *Machine) send(to string, body any) {
	if to != "" {
		m.out.Sends = append(m.out.Sends, Send{To: to, Body: body})
	}
}

func (m *Machine) beginStep(now time.Duration) {
	m.now, m.out = now, &Output{}
}

// Ready reports whether this node should receive requests.
func (m *Machine) Ready(now time.Duration) bool {
	if !m.hasLease(now) || m.leaving {
		return false
	}
	for _, tenant := range m.tenants {
		rs := m.rateShares[tenant+"/rate"]
		if (rs == nil || rs.tokens < 1) && now < m.joinedAt+m.params.Core.MemberLease/2 {
			return false
		}
	}
	return true
}

// ConfigurationVersion returns the version of the configuration in force on this node.
func (m *Machine) ConfigurationVersion() uint64 { return m.configurationVersion }

// BreakerState returns the spending breaker's state as this node knows it.
func (m *Machine) BreakerState() string { return string(m.breakerState) }

// Incarnation returns this node's current membership incarnation.
func (m *Machine) Incarnation() string { return m.incarnation }

// Tick expires what is overdue and sends what is due.
func (m *Machine) Tick(now time.Duration) Output {
	m.beginStep(now)
	m.pull(now)
	m.expireReplicas(now)
	m.expireMirrorCopies(now)
	m.renew(now)
	m.caller.Tick(now)
	m.reportShares(now)
	m.expireRequests(now)
	m.drainQueues(now)
	m.tickPrograms(now)
	m.timers.Tick(now)
	m.expireRelayed(now)
	m.continueDrain(now)
	return *m.out
}

// Receive handles a message from the process at an address.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.beginStep(now)
	switch msg := body.(type) {
	case core.CommandResult:
		if msg.ID&relayedBit == 0 {
			m.caller.Receive(now, from, msg)
		} else {
			m.relayResult(now, msg)
		}
	case core.Command:
		m.relayCommand(now, from, msg)
	case core.Topology:
		m.onTopology(msg)
	case core.Update:
		m.onUpdate(now, msg)
	case core.PullUpdates:
		m.onPullUpdates(now, from, msg)
	case core.Freshness:
		m.onFreshness(msg)
	case Announcements:
		m.onAnnouncements(now, msg)
	case ForwardRequest:
		m.onForward(now, from, msg)
	case CancelForward:
		m.onCancelForward(now, from, msg)
	case ForwardedFrame:
		m.onForwardedFrame(now, from, msg)
	case CopyProgram:
		m.onCopy(now, from, msg)
	case CopyAck:
		m.onCopyAck(now, from, msg)
	case CopyQuery:
		m.onCopyQuery(now, from, msg)
	case CopyAnswer:
		m.onCopyAnswer(now, msg)
	case core.ReadSamples:
		list := append([]replay.Sample(nil), m.samples...)
		for i := range list {
			list[i].Age = now - list[i].Age
		}
		m.send(from, core.Samples{ID: msg.ID, List: list})
	default:
		m.Counters.BadMessages++
	}
	return *m.out
}

// recordSample keeps a request for replays under changed configurations. Until it is read, its Age
// is the time of the request.
func (m *Machine) recordSample(sample replay.Sample) {
	const maxSamples = 256
	sample.Age = m.now
	if len(m.samples) < maxSamples {
		m.samples = append(m.samples, sample)
		return
	}
	m.samples[m.nextSample%maxSamples] = sample
	m.nextSample++
}

func retryLater(reason string) verdict.Verdict {
	return verdict.RetryLater("unsure", reason, time.Second)
}

// UpdateParams applies those bounds that may change while the node runs.
func (m *Machine) UpdateParams(params Params) Output {
	m.beginStep(m.now)
	m.params.QueueLimit, m.params.MaxQueueWait, m.params.AnnouncementMaxAge, m.params.UrgentRatio, m.params.DefaultTimeout =
		params.QueueLimit, params.MaxQueueWait, params.AnnouncementMaxAge, params.UrgentRatio, params.DefaultTimeout
	return *m.out
}
