package relaysim

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
	"saffronfall/peer/relay"
	"saffronfall/rule/invariant"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
)

// process is one process of the fleet: a core, a desk, a node, or a client that
// stands outside of it.
type process struct {
	world   *World
	id      string
	zone    string
	address string
	// seeds takes the place of the fleet's seeds where it is set.
	seeds []string

	running
	coreProcess
	deskProcess
	nodeProcess
	client *client
}

// running is the life of a process.
type running struct {
	life    int
	alive   bool
	frozen  bool
	backlog []func()
	rate    float64
	started time.Duration
}

// coreProcess is what a process has that is a core.
type coreProcess struct {
	core *core.Machine
	disk *disk
}

// deskProcess is what a process has that is a desk.
type deskProcess struct {
	isDesk bool
	desk   Desk
	known  map[string]desk.ReplicaEntry
	calls  map[uint64]func(body any)
	next   uint64
	founds bool
}

// nodeProcess is what a process has that is a node.
type nodeProcess struct {
	node Node
	ways map[uint64]*way
}

func (p *process) now() time.Duration {
	return time.Duration(float64(p.world.now-p.started) * p.rate)
}

// seedList is where this process looks for the fleet.
func (p *process) seedList() []string {
	if p.seeds != nil {
		return p.seeds
	}
	return p.world.seeds()
}

// violated notes an invariant that a machine found violated.
func (w *World) violated(v invariant.Violation) {
	w.Record.Violations = append(w.Record.Violations, v)
}

// boot starts a process from what its disk holds.
func (p *process) boot() {
	w := p.world
	if p.alive {
		return
	}
	p.life++
	p.alive, p.frozen, p.backlog, p.started = true, false, nil, w.now
	p.rate = 1 + (w.random.Float64()-0.5)*0.002
	switch {
	case p.disk != nil:
		p.disk.pending, p.disk.held, p.disk.busy, p.disk.issued, p.disk.synced = nil, nil, false, 0, 0
		var image core.Stored
		image.CopyFrom(p.disk.stored)
		p.core = core.New(core.Options{Params: coreParams(), ID: p.id, Zone: p.zone, Address: p.address, Seeds: p.seedList(), Stored: image, Now: p.now(), Random: w.random.Float64, Violated: w.violated})
		p.tick(p.life, coreParams().Partition.LeaseDuration/40)
	case p.isDesk:
		var known []desk.ReplicaEntry
		for _, id := range ordered.Keys(p.known) {
			known = append(known, p.known[id])
		}
		p.calls = map[uint64]func(any){}
		p.desk = desk.New(desk.Options{Params: w.deskParams(), ID: p.id, Incarnation: fmt.Sprintf("%s.%d", p.id, p.life), Address: p.address, Seeds: p.seedList(), FoundsFleet: p.founds, KnownReplicas: known, Now: p.now(), Random: w.random.Float64})
		if w.Params.WrapDesk != nil {
			p.desk = w.Params.WrapDesk(p.desk)
		}
		p.tick(p.life, coreParams().PullInterval/3)
	case p.client != nil:
		p.tick(p.life, coreParams().PullInterval/3)
	default:
		p.node = relay.New(relay.Options{Params: w.nodeParams(), ID: p.id, Incarnation: fmt.Sprintf("%s.%d", p.id, p.life), Zone: p.zone, Address: p.address, Seeds: p.seedList(), Now: p.now(), Random: w.random.Float64, Violated: w.violated})
		if w.Params.WrapNode != nil {
			p.node = w.Params.WrapNode(p.node)
		}
		p.tick(p.life, coreParams().PullInterval/3)
	}
}

func (p *process) tick(life int, every time.Duration) {
	if p.life != life || !p.alive {
		return
	}
	if !p.frozen {
		switch {
		case p.disk != nil:
			p.takeCore(p.core.Tick(p.now()))
		case p.isDesk:
			p.takeDesk(p.desk.Tick(p.now()))
		case p.client != nil:
			p.client.tick(p.now())
		default:
			p.takeNode(p.node.Tick(p.now()))
		}
	}
	p.world.after(every, func() { p.tick(life, every) })
}

// do runs a step now, or when a frozen process wakes.
func (p *process) do(step func()) {
	switch {
	case !p.alive:
	case p.frozen:
		if len(p.backlog) < 4096 {
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
	p.life++
	if p.disk != nil {
		// What was under way to the disk may or may not have got there.
		for _, batch := range p.disk.pending {
			if p.world.chance(0.5) {
				break
			}
			for _, c := range batch {
				p.disk.stored.Apply(reopenChange(c))
			}
		}
	}
	for _, ticket := range ordered.Keys(p.ways) {
		p.ways[ticket].lost()
	}
	if p.ways != nil {
		p.ways = map[uint64]*way{}
	}
}

// powerOff loses all that was not synced.
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

// wipe empties the folder of a process that does not run.
func (p *process) wipe() {
	if p.disk != nil {
		p.disk = p.world.emptyDisk(p.id)
	}
	if p.isDesk {
		p.known = map[string]desk.ReplicaEntry{}
	}
}

func (p *process) receive(from string, raw []byte) {
	value, err := message.Open(raw)
	if err != nil {
		panic(err)
	}
	if seen := p.world.watch.delivered; seen != nil {
		if seen(from, p, value); !p.alive {
			return
		}
	}
	switch {
	case p.disk != nil:
		p.takeCore(p.core.Receive(p.now(), from, value))
	case p.isDesk:
		p.takeDesk(p.desk.Receive(p.now(), from, value))
	case p.client != nil:
		p.client.receive(p.now(), from, value)
	default:
		p.takeNode(p.node.Receive(p.now(), from, value))
	}
}

// announce hands a replica's word to a desk, and tells whether it is known beyond it.
func (p *process) announce(step func(ticket uint64) desk.Output, then func(reached bool)) {
	p.next++
	p.calls[p.next] = func(body any) {
		h, _ := body.(desk.Acknowledgment)
		then(h.Accepted)
	}
	p.takeDesk(step(p.next))
}

// takeDesk carries out what a desk wants done. Changes of its list are on its
// disk before anybody hears of them.
func (p *process) takeDesk(o desk.Output) {
	for _, l := range o.ChangedReplicas {
		p.known[l.Replica.ID] = l
	}
	for _, s := range o.Sends {
		p.world.send(p, s.To, s.Body)
	}
	for _, a := range o.Answers {
		if call, ok := p.calls[a.Ticket]; ok {
			delete(p.calls, a.Ticket)
			call(a.Body)
		}
	}
}

func (p *process) takeNode(o relay.Output) {
	for _, s := range o.Sends {
		p.world.send(p, s.To, s.Body)
	}
	for _, r := range o.Steps {
		if at, ok := p.ways[r.Ticket]; ok {
			at.step(r.Step)
		}
	}
}
