package relaysim

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/peer/relay"
	"saffronfall/rule/invariant"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
)

// process is a core, a registry or a node of the fleet, or a client outside of it.
type process struct {
	world   *World
	id      string
	zone    string
	address string
	// seeds overrides the fleet's seed addresses if set.
	seeds []string

	processState
	coreProcess
	registryProcess
	nodeProcess
	client *client
}

// processState is the run state of a process; incarnation increases with each start and stop.
type processState struct {
	incarnation int
	alive       bool
	frozen      bool
	backlog     []func()
	clockRate   float64
	started     time.Duration
}

type coreProcess struct {
	core *core.Machine
	disk *disk
}

type registryProcess struct {
	isRegistry    bool
	registry      Registry
	knownReplicas map[string]registry.ReplicaEntry
	pendingCalls  map[uint64]func(body any)
	lastTicket    uint64
	// foundingDuty is on the registry's disk.
	foundingDuty registry.FoundingDuty
}

type nodeProcess struct {
	node     Node
	requests map[uint64]*activeRequest
}

const (
	// clockRateSpread is the width of the range of clock rates around 1.
	clockRateSpread = 0.002
	// A frozen process drops steps beyond maxBacklog.
	maxBacklog = 4096
)

func (p *process) now() time.Duration {
	return time.Duration(float64(p.world.now-p.started) * p.clockRate)
}

func (p *process) seedList() []string {
	if p.seeds != nil {
		return p.seeds
	}
	return p.world.seeds()
}

func (w *World) recordViolation(v invariant.Violation) {
	w.Record.Violations = append(w.Record.Violations, v)
}

// boot starts a process from the contents of its disk.
func (p *process) boot() {
	w := p.world
	if p.alive {
		return
	}
	p.incarnation++
	p.alive, p.frozen, p.backlog, p.started = true, false, nil, w.now
	p.clockRate = 1 + (w.random.Float64()-0.5)*clockRateSpread
	switch {
	case p.disk != nil:
		p.disk.pending, p.disk.held, p.disk.busy, p.disk.issued, p.disk.synced = nil, nil, false, 0, 0
		var image core.Stored
		image.CopyFrom(p.disk.stored)
		p.core = core.New(core.Options{
			Params: coreParams(), ID: p.id, Zone: p.zone, Address: p.address,
			Seeds: p.seedList(), Stored: image,
			Now: p.now(), Random: w.random.Float64, Violated: w.recordViolation,
		})
		p.tick(p.incarnation, coreParams().Partition.LeaseDuration/40)
	case p.isRegistry:
		var known []registry.ReplicaEntry
		for _, id := range ordered.Keys(p.knownReplicas) {
			known = append(known, p.knownReplicas[id])
		}
		p.pendingCalls = map[uint64]func(any){}
		p.registry = registry.New(registry.Options{
			Params: w.registryParams(), ID: p.id, Incarnation: fmt.Sprintf("%s.%d", p.id, p.incarnation),
			Address: p.address, Seeds: p.seedList(), FoundingDuty: p.foundingDuty,
			KnownReplicas: known, Now: p.now(), Random: w.random.Float64,
		})
		if w.Params.WrapRegistry != nil {
			p.registry = w.Params.WrapRegistry(p.registry)
		}
		p.tick(p.incarnation, coreParams().PullInterval/3)
	case p.client != nil:
		p.tick(p.incarnation, coreParams().PullInterval/3)
	default:
		p.node = relay.New(relay.Options{
			Params: w.nodeParams(), ID: p.id, Incarnation: fmt.Sprintf("%s.%d", p.id, p.incarnation),
			Zone: p.zone, Address: p.address, Seeds: p.seedList(),
			Now: p.now(), Random: w.random.Float64, Violated: w.recordViolation,
		})
		if w.Params.WrapNode != nil {
			p.node = w.Params.WrapNode(p.node)
		}
		p.tick(p.incarnation, coreParams().PullInterval/3)
	}
}

func (p *process) tick(incarnation int, every time.Duration) {
	if p.incarnation != incarnation || !p.alive {
		return
	}
	if !p.frozen {
		switch {
		case p.disk != nil:
			p.applyCoreOutput(p.core.Tick(p.now()))
		case p.isRegistry:
			p.applyRegistryOutput(p.registry.Tick(p.now()))
		case p.client != nil:
			p.client.tick(p.now())
		default:
			p.applyNodeOutput(p.node.Tick(p.now()))
		}
	}
	p.world.after(every, func() { p.tick(incarnation, every) })
}

// do runs a step now, or when a frozen process resumes.
func (p *process) do(step func()) {
	switch {
	case !p.alive:
	case p.frozen:
		if len(p.backlog) < maxBacklog {
			p.backlog = append(p.backlog, step)
		}
	default:
		step()
	}
}

func (p *process) kill() {
	if !p.alive {
		return
	}
	p.alive, p.frozen, p.backlog = false, false, nil
	p.incarnation++
	if p.disk != nil {
		// Pending writes may or may not have reached the disk.
		for _, batch := range p.disk.pending {
			if p.world.chance(0.5) {
				break
			}
			for _, c := range batch {
				p.disk.stored.Apply(copyChange(c))
			}
		}
	}
	for _, ticket := range ordered.Keys(p.requests) {
		p.requests[ticket].connectionLost()
	}
	if p.requests != nil {
		p.requests = map[uint64]*activeRequest{}
	}
}

// powerOff stops a process and loses all unsynced writes.
func (p *process) powerOff() {
	if p.disk != nil {
		p.disk.pending = nil
	}
	p.kill()
}

func (p *process) wake() {
	if !p.alive || !p.frozen {
		return
	}
	p.frozen = false
	backlog := p.backlog
	p.backlog = nil
	for _, step := range backlog {
		p.do(step)
	}
}

// wipe erases the data directory of a stopped process.
func (p *process) wipe() {
	if p.disk != nil {
		p.disk = p.world.emptyDisk(p.id)
	}
	if p.isRegistry {
		p.knownReplicas, p.foundingDuty = map[string]registry.ReplicaEntry{}, registry.FoundingDuty{}
	}
}

func (p *process) receive(from string, raw []byte) {
	value, err := message.Open(raw)
	if err != nil {
		panic(err)
	}
	if seen := p.world.observers.delivered; seen != nil {
		if seen(from, p, value); !p.alive {
			return
		}
	}
	switch {
	case p.disk != nil:
		p.applyCoreOutput(p.core.Receive(p.now(), from, value))
	case p.isRegistry:
		p.applyRegistryOutput(p.registry.Receive(p.now(), from, value))
	case p.client != nil:
		p.client.receive(p.now(), from, value)
	default:
		p.applyNodeOutput(p.node.Receive(p.now(), from, value))
	}
}

// announce passes on a replica's announcement. Accepted means known beyond this registry.
func (p *process) announce(step func(ticket uint64) registry.Output, then func(accepted bool)) {
	p.lastTicket++
	p.pendingCalls[p.lastTicket] = func(body any) {
		ack, _ := body.(registry.Acknowledgment)
		then(ack.Accepted)
	}
	p.applyRegistryOutput(step(p.lastTicket))
}

// applyRegistryOutput stores changed replicas and the founding before any message or answer leaves.
func (p *process) applyRegistryOutput(o registry.Output) {
	for _, l := range o.ChangedReplicas {
		p.knownReplicas[l.Replica.ID] = l
	}
	if o.FoundingDuty != nil {
		p.foundingDuty = *o.FoundingDuty
	}
	for _, s := range o.Sends {
		p.world.send(p, s.To, s.Body)
	}
	for _, a := range o.Answers {
		if call, ok := p.pendingCalls[a.Ticket]; ok {
			delete(p.pendingCalls, a.Ticket)
			call(a.Body)
		}
	}
}

func (p *process) applyNodeOutput(o relay.Output) {
	for _, s := range o.Sends {
		p.world.send(p, s.To, s.Body)
	}
	for _, step := range o.Steps {
		if active, ok := p.requests[step.Ticket]; ok {
			active.applyStep(step.Step)
		}
	}
}
