// Package simulator runs the state machines of cores and nodes in simulated time under
// seeded faults, and judges each run by what requesters and replicas observed.
//
// A run depends on its seed alone: all events pass through one queue, and all random numbers come
// from one generator. Start reading at World and Run.
package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/eventqueue"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/message"
	"saffronfall/rule/partition"
)

// Params are the size, load and faults of a run.
type Params struct {
	Seed  uint64
	Cores int
	Nodes int
	Zones int
	// Replicas counts the model service's replicas, Alerts the alert service's.
	Replicas   int
	Alerts     int
	Users      int
	Partitions int
	// LoadTime is how long load and faults last; SettleTime follows it.
	LoadTime   time.Duration
	SettleTime time.Duration
	Faults     bool
	Operators  int
	// MessageLoss is a probability.
	MessageLoss float64
	// Configuration, unless nil, replaces the default configuration; key is its probe key.
	Configuration func(key string) []byte
	// Rate is each tenant's quota in requests per second.
	Rate  float64
	Burst int64
	// MinuteCost trips the breaker, in dollars per minute.
	MinuteCost float64
	// DayTokens is the daily allowance of tenant t2.
	DayTokens          int64
	AnnouncementMaxAge time.Duration
	MemberLease        time.Duration
	// MaxSync bounds a disk sync that does not stall.
	MaxSync time.Duration
	Logf    func(format string, args ...any)
}

// Defaults returns a small fleet under all faults. The seed varies some limits and rates, and one
// seed in ten has the size of a deployment.
func Defaults(seed uint64) Params {
	p := defaults(seed)
	switch seed % 4 {
	case 0:
		p.MinuteCost = 0.9
	case 1:
		p.DayTokens = 15_000
	case 2:
		p.MemberLease, p.SettleTime = 5*time.Second, p.SettleTime+6*time.Second
	case 3:
		p.Rate, p.Burst = 6, 8
	}
	switch seed % 20 {
	case 7:
		p.Cores, p.Nodes, p.Zones, p.Replicas, p.Alerts, p.Users, p.Partitions = 6, 13, 3, 11, 5, 30, 16
	case 17:
		p.Cores, p.Nodes, p.Zones, p.Replicas, p.Alerts, p.Users, p.Partitions = 8, 15, 4, 9, 4, 30, 16
	}
	return p
}

func defaults(seed uint64) Params {
	return Params{
		Seed:               seed,
		Cores:              5,
		Nodes:              4,
		Zones:              3,
		Replicas:           4,
		Alerts:             2,
		Users:              12,
		Partitions:         6,
		LoadTime:           24 * time.Second,
		SettleTime:         8 * time.Second,
		Faults:             true,
		Operators:          2,
		MessageLoss:        0.005,
		Rate:               20,
		Burst:              16,
		MinuteCost:         50,
		DayTokens:          100_000_000,
		AnnouncementMaxAge: 1700 * time.Millisecond,
		MemberLease:        2 * time.Second,
		MaxSync:            4 * time.Millisecond,
	}
}

// Delays of messages and attempts; maxRequesterDelay is for requests and their responses.
const (
	minDelay          = 200 * time.Microsecond
	maxDelay          = 3 * time.Millisecond
	maxRequesterDelay = 2 * time.Millisecond

	slowMessageProbability = 0.01
	maxSlowMessageDelay    = 60 * time.Millisecond

	// clockRateSpread is the width of the range of local clock rates around 1.
	clockRateSpread = 0.08
	// maxBacklog bounds the steps that a frozen process keeps.
	maxBacklog = 4096
)

// World is the state of one run. It is not safe for concurrent use.
type World struct {
	Params Params
	Record judge.Record
	// Counts is keyed by label.
	Counts map[string]int64

	now       time.Duration
	events    eventqueue.Queue
	random    *rand.Rand
	processes map[string]*process
	cores     []*process
	nodes     []*process
	spare     *process
	// readdressed and allKilled mark faults that happen at most once.
	readdressed bool
	allKilled   bool
	// cutUntil is when the last fault ends that can cut cores from nodes.
	cutUntil time.Duration
	backends []*backend
	// cutLinks and lastDelivery are keyed by sender and receiver address.
	cutLinks         map[[2]string]bool
	lastDelivery     map[[2]string]time.Duration
	tickets          uint64
	pendingResponses map[uint64]*pendingResponse
	lastID           int
	// version is the newest known version of the configuration.
	version uint64
	// versionKeys are the probe keys of decided configurations. pendingKeys maps those without
	// a known outcome to the version that they would get.
	versionKeys map[uint64]string
	pendingKeys map[string]uint64
	// atMessage and atSync, unless nil, are called at crash points.
	atMessage func(from, to *process, body any)
	atSync    func(p *process, what string)
}

type pendingResponse struct {
	node         *process
	nextDelivery time.Duration
	deliver      func(frame node.Frame)
}

// New creates a world whose processes are not started.
func New(p Params) *World {
	w := &World{
		Params:           p,
		random:           rand.New(rand.NewPCG(p.Seed, 0x5affe0)),
		processes:        map[string]*process{},
		cutLinks:         map[[2]string]bool{},
		lastDelivery:     map[[2]string]time.Duration{},
		pendingResponses: map[uint64]*pendingResponse{},
		Counts:           map[string]int64{},
		versionKeys:      map[uint64]string{},
		pendingKeys:      map[string]uint64{},
	}
	zone := func(i int) string { return fmt.Sprintf("zone-%d", i%p.Zones+1) }
	for i := 0; i < p.Cores; i++ {
		w.cores = append(w.cores, w.add(fmt.Sprintf("core%d", i+1), zone(i), fmt.Sprintf("10.0.0.%d:7000", i+1)))
	}
	for i := 0; i < p.Nodes; i++ {
		w.nodes = append(w.nodes, w.add(fmt.Sprintf("node%d", i+1), zone(i), fmt.Sprintf("10.0.1.%d:7000", i+1)))
	}
	for i := 0; i < p.Replicas; i++ {
		w.backends = append(w.backends, &backend{world: w, service: "model", id: fmt.Sprintf("m%d", i+1), zone: zone(i), alive: true})
	}
	for i := 0; i < p.Alerts; i++ {
		w.backends = append(w.backends, &backend{world: w, service: "alert", id: fmt.Sprintf("a%d", i+1), zone: zone(i), alive: true})
	}
	// The spare belongs to no fleet yet.
	w.spare = w.add("core-spare", zone(0), "10.0.2.1:7000")
	w.backends = append(w.backends, &backend{world: w, service: "search", id: "t1", zone: zone(0), alive: true})
	return w
}

func (w *World) add(id, zone, address string) *process {
	p := &process{world: w, id: id, zone: zone, address: address}
	w.processes[address] = p
	return p
}

// Now returns the simulated time.
func (w *World) Now() time.Duration { return w.now }

func (w *World) after(d time.Duration, what func()) {
	w.events.Add(w.now+d, what)
}

func (w *World) runUntil(until time.Duration) { w.events.Run(until, &w.now) }

// between draws from [a, b].
func (w *World) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.random.Int64N(int64(b-a)+1))
}

func (w *World) chance(p float64) bool { return w.random.Float64() < p }

func (w *World) logf(format string, args ...any) {
	if w.Params.Logf != nil {
		w.Params.Logf("%8.3fs "+format, append([]any{w.now.Seconds()}, args...)...)
	}
}

func (w *World) coreParams() core.Params {
	return core.Params{
		Partition: partition.Params{
			LeaseDuration:        600 * time.Millisecond,
			Drift:                0.1,
			RenewalsPerLease:     5,
			LeasesPerSweep:       8,
			LeasesBeforeTransfer: 20,
		},
		MemberLease:    w.Params.MemberLease,
		AttemptTimeout: 150 * time.Millisecond,
		PullInterval:   150 * time.Millisecond,
	}
}

func (w *World) nodeParams() node.Params {
	return node.Params{
		Core:               w.coreParams(),
		QueueLimit:         64,
		MaxQueueWait:       time.Second,
		AnnouncementMaxAge: w.Params.AnnouncementMaxAge,
		ReportInterval:     300 * time.Millisecond,
		UrgentRatio:        0.25,
		DefaultTimeout:     10 * time.Second,
	}
}

func (w *World) seeds() []string {
	return []string{w.cores[0].address, w.cores[1].address, w.cores[2].address}
}

// send delivers a message after a random delay, unless it is cut off or lost.
func (w *World) send(from *process, to string, body any) {
	raw := message.Pack(body)
	w.Counts["messages"]++
	if w.cutLinks[[2]string{from.address, to}] || w.chance(w.Params.MessageLoss) {
		return
	}
	delay := w.between(minDelay, maxDelay)
	if w.chance(slowMessageProbability) {
		delay += w.between(0, maxSlowMessageDelay)
	}
	// Messages between two processes keep their order.
	pair := [2]string{from.address, to}
	at := max(w.now+delay, w.lastDelivery[pair])
	w.lastDelivery[pair] = at
	w.after(at-w.now, func() {
		target := w.processes[to]
		if target == nil || !target.alive {
			return
		}
		target.do(func() {
			value, err := message.Open(raw)
			if err != nil {
				panic(err)
			}
			if target.coreMachine != nil {
				target.handleCoreOutput(target.coreMachine.Receive(target.now(), from.address, value))
			} else {
				target.handleNodeOutput(target.nodeMachine.Receive(target.now(), from.address, value))
			}
			if w.atMessage != nil {
				w.atMessage(from, target, value)
			}
		})
	})
}

// Found creates the fleet on all cores and starts every process.
func (w *World) Found() {
	var list []core.Core
	for _, p := range w.cores {
		p.loseDisk()
		p.boot()
		list = append(list, p.coreMachine.Self())
	}
	f := core.FailureDomains{}.PlanFleet("simulated", w.Params.Partitions, 3, list)
	for _, p := range w.cores {
		out, ok := p.coreMachine.AcceptFounding(p.now(), f)
		if !ok {
			panic("a core refused to found the fleet")
		}
		p.handleCoreOutput(out)
	}
	for _, p := range w.nodes {
		p.boot()
	}
}

// Operate executes an operator's call at a core and passes the answer to done.
func (w *World) Operate(at *process, step func(m *core.Machine, now time.Duration, ticket uint64) core.Output, done func(body any)) {
	at.do(func() {
		d := at.disk
		d.lastTicket++
		d.calls[d.lastTicket] = done
		at.handleCoreOutput(step(at.coreMachine, at.now(), d.lastTicket))
	})
}
