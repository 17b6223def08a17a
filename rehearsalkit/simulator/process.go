package simulator

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
)

// process is a simulated core or node.
type process struct {
	world       *World
	id          string
	zone        string
	address     string
	incarnation int
	// powerCycles tells the machine's boots apart.
	powerCycles int
	alive       bool
	frozen      bool
	// backlog holds the steps that arrived during a freeze.
	backlog []func()
	// rate is the local clock's speed relative to simulated time.
	rate    float64
	started time.Duration

	// coreMachine, disk and syncs belong to cores, nodeMachine and attempts to nodes.
	coreMachine *core.Machine
	disk        *simulatedDisk
	syncs       int

	nodeMachine *node.Machine
	attempts    map[uint64]*simAttempt
}

// simulatedDisk is a core's storage, with writes and messages that await a sync.
type simulatedDisk struct {
	stored  core.Stored
	pending [][]core.Change
	// issued and synced count the batches of changes; operators' calls are keyed by ticket.
	issued       uint64
	synced       uint64
	held         []heldSend
	syncing      bool
	stalledUntil time.Duration
	calls        map[uint64]func(any)
	lastTicket   uint64
}

// heldSend is a message that may leave only once the batch number after is synced.
type heldSend struct {
	after uint64
	send  core.Send
}

func (p *process) now() time.Duration {
	return time.Duration(float64(p.world.now-p.started) * p.rate)
}

// boot starts a new incarnation from the disk.
func (p *process) boot() {
	w := p.world
	p.incarnation++
	p.alive, p.frozen, p.backlog, p.started = true, false, nil, w.now
	if p.incarnation > 1 {
		w.Record.Restarts = append(w.Record.Restarts, judge.Restart{At: w.now, Process: p.id})
	}
	p.rate = 1 + (w.random.Float64()-0.5)*clockRateSpread
	if p.disk != nil {
		p.disk.pending, p.disk.held, p.disk.syncing, p.disk.issued, p.disk.synced = nil, nil, false, 0, 0
		p.disk.calls = map[uint64]func(any){}
		var image core.Stored
		image.CopyFrom(p.disk.stored)
		p.coreMachine = core.New(core.Options{
			Params:  w.coreParams(),
			ID:      p.id,
			Zone:    p.zone,
			Address: p.address,
			Seeds:   w.seeds(),
			Stored:  image,
			Now:     p.now(),
			Random:  w.random.Float64,
		})
		p.tick(p.incarnation, 15*time.Millisecond)
		return
	}
	p.attempts = map[uint64]*simAttempt{}
	p.nodeMachine = node.New(node.Options{
		Params:      w.nodeParams(),
		ID:          p.id,
		Incarnation: fmt.Sprintf("%s.%d", p.id, p.incarnation),
		Zone:        p.zone,
		Address:     p.address,
		HTTP:        p.address,
		Host:        fmt.Sprint(p.address, " run ", p.powerCycles),
		Seeds:       w.seeds(),
		Now:         p.now(),
		Random:      w.random.Float64,
	})
	p.tick(p.incarnation, 10*time.Millisecond)
}

func (p *process) tick(incarnation int, every time.Duration) {
	if p.incarnation != incarnation || !p.alive {
		return
	}
	p.do(func() {
		if p.coreMachine != nil {
			p.handleCoreOutput(p.coreMachine.Tick(p.now()))
			p.coreMachine.SetStalled(p.disk.stalledUntil > p.world.now)
		} else {
			p.handleNodeOutput(p.nodeMachine.Tick(p.now()))
		}
	})
	p.world.after(every, func() { p.tick(incarnation, every) })
}

// do executes a step now, or after a freeze.
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
	p.alive = false
	p.incarnation++
	if p.disk != nil {
		// Writes in progress may or may not have reached the disk.
		for _, batch := range p.disk.pending {
			if p.world.chance(0.5) {
				break
			}
			for _, c := range batch {
				p.disk.stored.Apply(c)
			}
		}
	}
	for _, ticket := range ordered.Keys(p.world.pendingResponses) {
		if at := p.world.pendingResponses[ticket]; at.node == p {
			delete(p.world.pendingResponses, ticket)
			p.world.after(p.world.between(time.Millisecond, 3*time.Millisecond), func() { at.deliver(node.Frame{Kind: node.FrameAbort}) })
		}
	}
}

// powerOff kills the process and loses unsynced writes.
func (p *process) powerOff() {
	if p.disk != nil {
		p.disk.pending = nil
	}
	p.powerCycles++
	p.kill()
}

func (p *process) freeze() {
	if p.alive {
		p.frozen = true
	}
}

func (p *process) resume() {
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

// loseDisk installs an empty disk with a new storage incarnation.
func (p *process) loseDisk() {
	p.disk = &simulatedDisk{stored: core.Stored{Incarnation: fmt.Sprintf("%s-%d", p.id, p.world.random.Uint32())}}
}

func (p *process) handleCoreOutput(o core.Output) {
	d := p.disk
	if len(o.Changes) > 0 {
		d.pending = append(d.pending, o.Changes)
		d.issued++
	}
	for _, s := range o.Sends {
		if s.Synced && d.issued > d.synced {
			d.held = append(d.held, heldSend{after: d.issued, send: s})
			continue
		}
		p.sendCore(s)
	}
	for _, a := range o.Answers {
		if call, ok := d.calls[a.Ticket]; ok {
			delete(d.calls, a.Ticket)
			call(a.Body)
		}
	}
	p.sync()
}

func (p *process) sendCore(s core.Send) {
	if s.To == p.address {
		p.handleCoreOutput(p.coreMachine.Receive(p.now(), p.address, recode(s.Body)))
		return
	}
	p.world.send(p, s.To, s.Body)
}

// recode encodes and decodes a message as the network would.
func recode(body any) any {
	value, err := message.Open(message.Pack(body))
	if err != nil {
		panic(err)
	}
	return value
}

// sync writes the pending changes, then releases the messages that depend on them.
func (p *process) sync() {
	d := p.disk
	if d.syncing || len(d.pending) == 0 {
		return
	}
	d.syncing = true
	count, upto, incarnation := len(d.pending), d.issued, p.incarnation
	delay := p.world.between(p.world.Params.MaxSync/12, p.world.Params.MaxSync)
	if d.stalledUntil > p.world.now {
		delay += d.stalledUntil - p.world.now
	}
	p.world.Counts["syncs"]++
	p.syncs++
	if p.world.atSync != nil {
		p.world.atSync(p, "before a sync")
	}
	p.world.after(delay, func() {
		if p.incarnation != incarnation {
			return
		}
		p.do(func() {
			for _, batch := range d.pending[:count] {
				for _, c := range batch {
					d.stored.Apply(recodeChange(c))
				}
			}
			d.pending = d.pending[count:]
			d.syncing, d.synced = false, upto
			if p.world.atSync != nil {
				p.world.atSync(p, "after a sync")
			}
			ready := d.held
			d.held = nil
			for _, h := range ready {
				if h.after <= d.synced {
					p.sendCore(h.send)
				} else {
					d.held = append(d.held, h)
				}
			}
			p.sync()
		})
	})
}

func recodeChange(c core.Change) core.Change {
	var fresh core.Change
	if err := message.Unmarshal(message.Marshal(c), &fresh); err != nil {
		panic(err)
	}
	return fresh
}

func (p *process) handleNodeOutput(o node.Output) {
	for _, s := range o.Sends {
		if s.To == p.address {
			p.handleNodeOutput(p.nodeMachine.Receive(p.now(), p.address, recode(s.Body)))
			continue
		}
		p.world.send(p, s.To, s.Body)
	}
	for _, r := range o.Responses {
		at, ok := p.world.pendingResponses[r.Ticket]
		if !ok || at.node != p {
			continue
		}
		if r.Frame.Last() {
			delete(p.world.pendingResponses, r.Ticket)
		}
		frame := r.Frame
		at.nextDelivery = max(at.nextDelivery, p.world.now+p.world.between(minDelay, maxRequesterDelay))
		p.world.after(at.nextDelivery-p.world.now, func() { at.deliver(frame) })
	}
	for _, s := range o.Attempts {
		p.world.startAttempt(p, s)
	}
	for _, attempt := range o.Cancels {
		if s, ok := p.attempts[attempt]; ok {
			s.cancelled = true
			delete(p.attempts, attempt)
		}
	}
}
