package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/peer/relay"
	"saffronfall/rehearsalkit/eventqueue"
	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
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
		SilenceTimeout: 2200 * time.Millisecond, ColdStart: true}
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

type meter struct {
	Sent, Received, SentBytes, ReceivedBytes int64
	Syncs, Written                           int64
	Step, Pack                               time.Duration
	kinds                                    map[string]*kind
}

type kind struct{ count, bytes int64 }

func (m *meter) countKind(name string, bytes int) {
	k := m.kinds[name]
	if k == nil {
		k = &kind{}
		m.kinds[name] = k
	}
	k.count++
	k.bytes += int64(bytes)
}

// process is a simulated core, registry or node; only the fields of its role are set.
type process struct {
	world       *world
	id          string
	zone        int
	address     string
	incarnation int
	alive       bool
	meter       meter
	resources   resources

	core *core.Machine
	coreDisk

	registry     *registry.Machine
	registryDisk registryDisk
	pendingCalls map[uint64]func(body any)

	node        *relay.Machine
	requests    map[uint64]*turn
	tableNumber uint64
}

// coreDisk is a core's stored state, with the changes and messages that wait for its writes.
type coreDisk struct {
	stored   core.Stored
	pending  [][]core.Change
	issued   uint64
	synced   uint64
	deferred []deferred
	syncing  bool
}

// registryDisk is what a registry has stored.
type registryDisk struct {
	replicas map[string]registry.ReplicaEntry
	peers    *registry.Peers
}

func (d *registryDisk) apply(o registry.Output) {
	for _, entry := range o.ChangedReplicas {
		if d.replicas == nil {
			d.replicas = map[string]registry.ReplicaEntry{}
		}
		d.replicas[entry.Replica.ID] = entry
	}
	if o.Peers != nil {
		d.peers = o.Peers
	}
}

func (d *registryDisk) knownReplicas() []registry.ReplicaEntry {
	var entries []registry.ReplicaEntry
	for _, id := range ordered.Keys(d.replicas) {
		entries = append(entries, d.replicas[id])
	}
	return entries
}

// deferred is a message that must not be sent before the write numbered after is synced.
type deferred struct {
	after uint64
	send  core.Send
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
		c.stored = core.Stored{Incarnation: fmt.Sprintf("%s-%d", c.id, w.random.Uint32())}
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

// boot starts an incarnation. A core starts from what it has stored.
func (p *process) boot() {
	w := p.world
	if p.alive {
		return
	}
	p.incarnation++
	p.alive = true
	zone := fmt.Sprintf("zone-%d", p.zone)
	interval := coreParams().PullInterval / 3
	switch p.id[:4] {
	case coreRole:
		p.pending, p.deferred, p.syncing, p.issued, p.synced = nil, nil, false, 0, 0
		var image core.Stored
		image.CopyFrom(p.stored)
		p.core = core.New(core.Options{Params: coreParams(), ID: p.id, Zone: zone, Address: p.address, Seeds: w.seeds(),
			Stored: image, Now: w.now, Random: w.random.Float64})
		interval = coreParams().Partition.LeaseDuration / 20
	case registryRole:
		p.pendingCalls = map[uint64]func(any){}
		p.registry = registry.New(registry.Options{Params: registryParams(w.point.GroupSize), ID: p.id, Incarnation: fmt.Sprintf("%s.%d", p.id, p.incarnation),
			Address: p.address, Seeds: w.seeds(), FoundsFleet: p == w.registries[0] && p.incarnation == 1,
			KnownReplicas: p.registryDisk.knownReplicas(), KnownPeers: p.registryDisk.peers,
			Now: w.now, Random: w.random.Float64})
	default:
		p.requests = map[uint64]*turn{}
		p.node = relay.New(relay.Options{Params: nodeParams(), ID: p.id, Incarnation: fmt.Sprintf("%s.%d", p.id, p.incarnation),
			Zone: zone, Address: p.address, Seeds: w.seeds(), Now: w.now, Random: w.random.Float64})
	}
	p.tick(p.incarnation, interval)
}

func (p *process) tick(incarnation int, interval time.Duration) {
	if p.incarnation != incarnation || !p.alive {
		return
	}
	w := p.world
	if busyUntil := p.resources.processorFreeAt; busyUntil > w.now {
		w.after(busyUntil-w.now, func() { p.tick(incarnation, interval) })
		return
	}
	p.resources.process(w.now, 0)
	switch {
	case p.core != nil:
		p.handleCoreOutput(timed(p, func() core.Output { return p.core.Tick(w.now) }))
	case p.registry != nil:
		p.handleRegistryOutput(timed(p, func() registry.Output { return p.registry.Tick(w.now) }))
	default:
		p.handleNodeOutput(timed(p, func() relay.Output { return p.node.Tick(w.now) }))
	}
	w.after(interval, func() { p.tick(incarnation, interval) })
}

func (p *process) kill() {
	if !p.alive {
		return
	}
	p.alive = false
	p.incarnation++
	p.pending = nil
	p.resources.restart()
	for _, t := range ordered.Keys(p.requests) {
		p.requests[t].end("closed")
	}
}

func timed[T any](p *process, step func() T) T {
	began := cpu()
	out := step()
	p.meter.Step += cpu() - began
	return out
}

// pack encodes a message as on the wire, and counts the CPU time.
func (p *process) pack(body any) []byte {
	began := cpu()
	raw := message.Pack(body)
	p.meter.Pack += cpu() - began
	return raw
}

func (p *process) send(to string, body any) {
	w := p.world
	raw := p.pack(body)
	name := kindOf(body)
	p.meter.Sent++
	p.meter.SentBytes += int64(len(raw) + frameHeaderBytes)
	p.meter.countKind("sent "+name, len(raw)+frameHeaderBytes)
	target := w.processes[to]
	if target == nil || w.disconnected(p.zone, target.zone) {
		return
	}
	from, incarnation := p.address, target.incarnation
	sentAt := p.resources.send(w.now, len(raw)+frameHeaderBytes)
	w.after(sentAt-w.now+w.delay(p.zone, target.zone), func() {
		if target.incarnation == incarnation {
			target.arrive(from, raw)
		}
	})
}

// arrive delivers a message once it has passed the link and the processor has decoded it.
func (p *process) arrive(from string, raw []byte) {
	bytes := len(raw) + frameHeaderBytes
	p.at(p.resources.receive(p.world.now, bytes), func() {
		p.at(p.resources.process(p.world.now, bytes), func() {
			p.meter.Received++
			p.meter.ReceivedBytes += int64(bytes)
			p.receive(from, raw)
		})
	})
}

// at runs an event of this incarnation, at once if it is due.
func (p *process) at(when time.Duration, event func()) {
	w, incarnation := p.world, p.incarnation
	if when == w.now {
		if p.alive {
			event()
		}
		return
	}
	w.after(when-w.now, func() {
		if p.alive && p.incarnation == incarnation {
			event()
		}
	})
}

func kindOf(body any) string {
	// Registry messages are reported under the role's name.
	name := strings.Replace(strings.TrimPrefix(fmt.Sprintf("%T", body), "core."), "registry.", "desk.", 1)
	var raw []byte
	switch b := body.(type) {
	case core.Command:
		raw = b.Raw
	case core.CommandResult:
		raw = b.Raw
	case core.ReplicaMessage:
		raw = b.Raw
	case registry.Update:
		switch {
		case b.Table != nil:
			return name + " with table"
		case len(b.Replicas) > 0:
			return name + " with list"
		case b.Topology != nil:
			return name + " with topology"
		}
	}
	if len(raw) > 1 {
		// The type name is a msgpack string; the low five bits of its first byte are its length.
		if n := int(raw[0] & 31); n < len(raw) {
			return name + " " + strings.TrimPrefix(string(raw[1:1+n]), "core.")
		}
	}
	return name
}

func (p *process) receive(from string, raw []byte) {
	w := p.world
	began := cpu()
	value, err := message.Open(raw)
	p.meter.Pack += cpu() - began
	if err != nil {
		panic(err)
	}
	switch {
	case p.core != nil:
		p.handleCoreOutput(timed(p, func() core.Output { return p.core.Receive(w.now, from, value) }))
	case p.registry != nil:
		p.handleRegistryOutput(timed(p, func() registry.Output { return p.registry.Receive(w.now, from, value) }))
	default:
		p.handleNodeOutput(timed(p, func() relay.Output { return p.node.Receive(w.now, from, value) }))
	}
}

func (p *process) handleCoreOutput(o core.Output) {
	if len(o.Changes) > 0 {
		p.pending = append(p.pending, o.Changes)
		p.issued++
	}
	for _, s := range o.Sends {
		if s.Synced && p.issued > p.synced {
			p.deferred = append(p.deferred, deferred{after: p.issued, send: s})
			continue
		}
		p.sendCore(s)
	}
	p.sync()
}

func (p *process) sendCore(s core.Send) {
	if s.To == p.address {
		// As in a real process, messages to itself are not encoded.
		p.handleCoreOutput(timed(p, func() core.Output { return p.core.Receive(p.world.now, p.address, s.Body) }))
		return
	}
	p.send(s.To, s.Body)
}

// sync writes all pending changes in one frame, then releases the sends that wait for them.
func (p *process) sync() {
	if p.syncing || len(p.pending) == 0 {
		return
	}
	p.syncing = true
	var all []core.Change
	for _, batch := range p.pending {
		all = append(all, batch...)
	}
	p.pending = nil
	began := cpu()
	raw := message.Marshal(all)
	p.meter.Pack += cpu() - began
	p.meter.Syncs++
	p.meter.Written += int64(len(raw) + writeHeaderBytes)
	lastSynced, incarnation := p.issued, p.incarnation
	p.world.after(p.world.point.syncDuration(), func() {
		if p.incarnation != incarnation {
			return
		}
		for _, c := range all {
			p.stored.Apply(c)
		}
		p.syncing, p.synced = false, lastSynced
		ready := p.deferred
		p.deferred = nil
		for _, d := range ready {
			if d.after <= p.synced {
				p.sendCore(d.send)
			} else {
				p.deferred = append(p.deferred, d)
			}
		}
		p.sync()
	})
}

func (p *process) handleRegistryOutput(o registry.Output) {
	p.registryDisk.apply(o)
	for _, s := range o.Sends {
		p.send(s.To, s.Body)
	}
	for _, a := range o.Answers {
		if call, ok := p.pendingCalls[a.Ticket]; ok {
			delete(p.pendingCalls, a.Ticket)
			call(a.Body)
		}
	}
}

func (p *process) handleNodeOutput(o relay.Output) {
	for _, s := range o.Sends {
		p.send(s.To, s.Body)
	}
	for _, r := range o.Steps {
		if t, ok := p.requests[r.Ticket]; ok {
			t.step(r.Step)
		}
	}
	if number := p.node.TableNumber(); number > p.tableNumber {
		p.tableNumber = number
		p.world.maxTableLag = max(p.world.maxTableLag, p.world.now-p.world.appliedAt[number])
	}
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
