package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"golang.org/x/sys/unix"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/peer/relay"
	"saffronfall/rehearsalkit/eventqueue"
	"saffronfall/rule/configuration"
	"saffronfall/rule/partition"
	"saffronfall/rule/placement"
	"saffronfall/rule/route"
)

// Times and sizes, in the ratios of platform/settings.go.
const (
	contactTimeout    = 3 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
	updateInterval    = 500 * time.Millisecond
	rateWindow        = 5 * time.Second
	nodeCacheBytes    = 16 << 20
	// retentionPerThink is retention over think time: 60 s for turns 41 s apart.
	retentionPerThink = 60.0 / 41
	serviceTime       = 150 * time.Millisecond
	replicaSlots      = 16
	zoneDelay         = 200 * time.Microsecond
	regionDelay       = 500 * time.Microsecond
	interRegionDelay  = 12 * time.Millisecond
	frameHeaderBytes  = 4
	writeHeaderBytes  = 12
)

func coreParams() core.Params {
	return core.Params{Partition: partition.Params{LeaseDuration: contactTimeout / 6, Drift: 0.1, RenewalsPerLease: 5, LeasesPerSweep: 40,
		LeasesBeforeTransfer: 20}, MemberLease: contactTimeout / 2, AttemptTimeout: contactTimeout / 24, PullInterval: contactTimeout / 20,
		SilenceTimeout: 2200 * time.Millisecond}
}

func registryParams(groupSize int) registry.Params {
	return registry.Params{Core: coreParams(), HeartbeatInterval: heartbeatInterval, GroupSize: groupSize, PartitionsPerCore: 2, OperationTimeout: 3 * time.Second}
}

func nodeParams() relay.Params {
	return relay.Params{Core: coreParams(), HeartbeatInterval: heartbeatInterval, UpdateInterval: updateInterval, RateWindow: rateWindow,
		RateOvershoot: 0.1, RateSlack: 4, Placement: placement.Settings{SampleSize: 2, HomeReplicas: true, UnitTimes: true, PromptCache: true,
			LocalZone: true, FailureRates: true, PromptTokensPerMillisecond: 80, HeartbeatInterval: heartbeatInterval},
		LoadReportInterval: heartbeatInterval / 12, ResendUnrun: true, ShedOverload: true, MaxRequests: 2000, CacheBytes: nodeCacheBytes, BudgetRetention: 10 * time.Minute}
}

// cpu returns this thread's CPU time, which other processes do not affect.
func cpu() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

// world is a simulated deployment, used by one goroutine.
type world struct {
	point      Point
	now        time.Duration
	events     eventqueue.Queue
	random     *rand.Rand
	cores      []*process
	registries []*process
	nodes      []*process
	processes  map[string]*process
	replicas   []*replica
	programs   []*program
	services   map[string]*replica
	shares     []float64
	tickets    uint64
	attempts   int
	split      bool
	counts     map[string]int64
	table      uint64
	// appliedAt is when each table was first sent, maxTableLag the longest time to a node's use.
	appliedAt   map[uint64]time.Duration
	maxTableLag time.Duration
}

func newWorld(p Point, seed uint64) *world {
	w := &world{point: p, random: rand.New(rand.NewPCG(seed, 0xca9ac)), processes: map[string]*process{}, services: map[string]*replica{}, counts: map[string]int64{}, appliedAt: map[uint64]time.Duration{}}
	for i := 0; i < p.Cores; i++ {
		c := w.add(coreRole, 2, i)
		c.stored = core.Stored{Incarnation: fmt.Sprintf("%s-%d", c.id, w.random.Uint32()), MayFound: true}
		w.cores = append(w.cores, c)
	}
	for i := 0; i < p.Registries; i++ {
		w.registries = append(w.registries, w.add(registryRole, 0, i))
	}
	for i := 0; i < p.Nodes; i++ {
		w.nodes = append(w.nodes, w.add(nodeRole, 1, i))
	}
	for i := 0; i < p.Replicas; i++ {
		r := &replica{address: fmt.Sprintf("10.3.%d.%d:80", i/250, i%250), service: fmt.Sprintf("model-%d", i%p.Models), zone: i % p.Zones, id: fmt.Sprintf("replica-%d", i)}
		w.replicas, w.services[r.address] = append(w.replicas, r), r
	}
	var sum float64
	for i := 0; i < p.Tenants; i++ {
		sum += 1 / math.Sqrt(float64(i+1))
	}
	for i := 0; i < p.Tenants; i++ {
		w.shares = append(w.shares, 1/math.Sqrt(float64(i+1))/sum)
	}
	for _, list := range [][]*process{w.cores, w.registries, w.nodes} {
		for _, x := range list {
			w.after(w.between(0, 50*time.Millisecond), x.boot)
		}
	}
	for _, r := range w.replicas {
		w.after(w.between(0, heartbeatInterval), func() { w.heartbeat(r) })
	}
	return w
}

func (w *world) add(role string, net, n int) *process {
	p := &process{world: w, id: fmt.Sprintf("%s-%d", role, n), zone: n % w.point.Zones, address: fmt.Sprintf("10.%d.%d.%d:7000", net, n/250, n%250+1)}
	p.meter.kinds = map[string]*kind{}
	p.resources.class = w.point.Machines[role]
	w.processes[p.address] = p
	return p
}

func (w *world) after(d time.Duration, what func()) {
	w.events.Add(w.now+d, what)
}

func (w *world) run(until time.Duration) { w.events.Run(until, &w.now) }

func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.random.Int64N(int64(b-a)+1))
}

func (w *world) region(zone int) int { return zone * w.point.Regions / w.point.Zones }

// delay returns the one-way network delay.
func (w *world) delay(a, b int) time.Duration {
	switch {
	case a == b:
		return zoneDelay
	case w.region(a) == w.region(b):
		return regionDelay
	}
	return interRegionDelay
}

func (w *world) disconnected(a, b int) bool { return w.split && w.region(a) != w.region(b) }

func (w *world) seeds() []string {
	var list []string
	for _, d := range w.registries {
		if len(list) < 3 {
			list = append(list, d.address)
		}
	}
	return list
}

// tableText encodes a routing table, whose Source is about as long as the rest.
func (w *world) tableText(number uint64) []byte {
	t := route.Table{Number: number, KeyRequired: true, Limits: route.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20}}
	for i := 0; i < w.point.Models; i++ {
		name := fmt.Sprintf("model-%d", i)
		t.Services = append(t.Services, route.Service{Name: name, Connections: 100_000, TokensPerEvent: 1, Slots: replicaSlots, CacheTokens: 186629})
		t.Routes = append(t.Routes, route.Route{Name: "chat-" + name, Host: "tier", Prefix: "/" + name + "/", Mode: route.Stream,
			KeepHistory: true, KeepSeconds: w.point.thinkTime().Seconds() * retentionPerThink, TimeoutMS: 4000, MaxAttempts: 2, Targets: []route.Target{{Service: name, Weight: 1}}})
	}
	for i, share := range w.shares {
		t.Tenants = append(t.Tenants, route.Tenant{Name: fmt.Sprintf("tenant-%d", i), Keys: []string{configuration.KeyDigest(fmt.Sprintf("key-%d", i))},
			Rate: share*float64(w.point.Rate)*3 + 5, Burst: 10})
	}
	bare, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	t.Source = string(bare)
	whole, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	return whole
}

func (w *world) applyTable(then func(ok bool)) {
	d := w.registries[w.random.IntN(len(w.registries))]
	if !d.alive {
		then(false)
		return
	}
	number := w.table + 1
	text := w.tableText(number)
	w.tickets++
	if _, ok := w.appliedAt[number]; !ok {
		w.appliedAt[number] = w.now
	}
	d.pendingCalls[w.tickets] = func(body any) {
		result := body.(registry.OrderResult)
		if result.Accepted {
			w.table = number
		}
		then(result.Accepted)
	}
	d.handleRegistryOutput(timed(d, func() registry.Output { return d.registry.Apply(w.now, w.tickets, w.table, text, fmt.Sprint(number)) }))
}
