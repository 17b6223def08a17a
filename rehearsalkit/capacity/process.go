package capacity

import (
	"fmt"
	"strings"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/peer/relay"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
)

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

	node *relay.Machine
	nodeState
}

// nodeState is what a node is at work on, and the newest table that it had in force.
type nodeState struct {
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
			Address: p.address, Seeds: w.seeds(), FoundingDuty: registry.FoundingDuty{MayFound: p == w.registries[0] && p.incarnation == 1},
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

// kindOf returns the outer name of a message, and that of the packed message in it.
func kindOf(body any) string {
	name := strings.TrimPrefix(message.NameOf(body), "core.")
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
		case b.Table != nil || b.CompressedTable != nil:
			return name + " with table"
		case len(b.Replicas) > 0:
			return name + " with list"
		case b.Topology != nil || b.NewTopology != nil:
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
