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

type proc struct {
	world   *World
	id      string
	zone    string
	address string
	life    int
	// runs counts how often the machine was switched on.
	runs    int
	alive   bool
	frozen  bool
	backlog []func()
	rate    float64
	started time.Duration

	coreM *core.Machine
	disk  *simDisk
	syncs int

	nodeM *node.Machine
	shots map[uint64]*simShot
}

type simDisk struct {
	stored  core.Stored
	pending [][]core.Change
	issued  uint64
	synced  uint64
	held    []simHeld
	busy    bool
	stall   time.Duration
	calls   map[uint64]func(any)
	next    uint64
}

type simHeld struct {
	after uint64
	send  core.Send
}

func (p *proc) now() time.Duration {
	return time.Duration(float64(p.world.now-p.started) * p.rate)
}

// boot starts a process from what its disk holds.
func (p *proc) boot() {
	w := p.world
	p.life++
	p.alive, p.frozen, p.backlog, p.started = true, false, nil, w.now
	if p.life > 1 {
		w.Record.Restarts = append(w.Record.Restarts, judge.Restart{At: w.now, Process: p.id})
	}
	p.rate = 1 + (w.random.Float64()-0.5)*0.08
	if p.disk != nil {
		p.disk.pending, p.disk.held, p.disk.busy, p.disk.issued, p.disk.synced = nil, nil, false, 0, 0
		p.disk.calls = map[uint64]func(any){}
		var image core.Stored
		image.CopyFrom(p.disk.stored)
		p.coreM = core.New(core.Options{Params: w.coreParams(), ID: p.id, Zone: p.zone, Address: p.address, Seeds: w.seeds(), Stored: image, Now: p.now(), Random: w.random.Float64})
		p.tick(p.life, 15*time.Millisecond)
		return
	}
	p.shots = map[uint64]*simShot{}
	p.nodeM = node.New(node.Options{Params: w.nodeParams(), ID: p.id, Incarnation: fmt.Sprintf("%s.%d", p.id, p.life), Zone: p.zone, Address: p.address, HTTP: p.address, Host: fmt.Sprint(p.address, " run ", p.runs), Seeds: w.seeds(), Now: p.now(), Random: w.random.Float64})
	p.tick(p.life, 10*time.Millisecond)
}

func (p *proc) tick(life int, every time.Duration) {
	if p.life != life || !p.alive {
		return
	}
	p.do(func() {
		if p.coreM != nil {
			p.takeCore(p.coreM.Tick(p.now()))
			p.coreM.SetStalled(p.disk.stall > p.world.now)
		} else {
			p.takeNode(p.nodeM.Tick(p.now()))
		}
	})
	p.world.after(every, func() { p.tick(life, every) })
}

// do runs a step now, or when a frozen process wakes.
func (p *proc) do(step func()) {
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

func (p *proc) kill() {
	if !p.alive {
		return
	}
	p.alive = false
	p.life++
	if p.disk != nil {
		// What was under way to the disk may or may not have got there.
		for _, batch := range p.disk.pending {
			if p.world.chance(0.5) {
				break
			}
			for _, c := range batch {
				p.disk.stored.Apply(c)
			}
		}
	}
	for _, ticket := range ordered.Keys(p.world.returns) {
		if at := p.world.returns[ticket]; at.node == p {
			delete(p.world.returns, ticket)
			p.world.after(p.world.between(time.Millisecond, 3*time.Millisecond), func() { at.piece(node.Frame{Kind: node.FrameAbort}) })
		}
	}
}

// powerOff loses all that was not synced.
func (p *proc) powerOff() {
	if p.disk != nil {
		p.disk.pending = nil
	}
	p.runs++
	p.kill()
}

func (p *proc) freeze() {
	if p.alive {
		p.frozen = true
	}
}

func (p *proc) wake() {
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

// loseDisk empties a core's folder: what boots next is a new incarnation.
func (p *proc) loseDisk() {
	p.disk = &simDisk{stored: core.Stored{Incarnation: fmt.Sprintf("%s-%d", p.id, p.world.random.Uint32())}}
}

func (p *proc) takeCore(o core.Output) {
	d := p.disk
	if len(o.Changes) > 0 {
		d.pending = append(d.pending, o.Changes)
		d.issued++
	}
	for _, s := range o.Sends {
		if s.Synced && d.issued > d.synced {
			d.held = append(d.held, simHeld{after: d.issued, send: s})
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

func (p *proc) sendCore(s core.Send) {
	if s.To == p.address {
		p.takeCore(p.coreM.Receive(p.now(), p.address, reopen(s.Body)))
		return
	}
	p.world.send(p, s.To, s.Body)
}

func reopen(body any) any {
	value, err := message.Open(message.Pack(body))
	if err != nil {
		panic(err)
	}
	return value
}

func (p *proc) sync() {
	d := p.disk
	if d.busy || len(d.pending) == 0 {
		return
	}
	d.busy = true
	count, upto, life := len(d.pending), d.issued, p.life
	delay := p.world.between(p.world.Params.Sync/12, p.world.Params.Sync)
	if d.stall > p.world.now {
		delay += d.stall - p.world.now
	}
	p.world.Counts["syncs"]++
	p.syncs++
	if p.world.atSync != nil {
		p.world.atSync(p, "before a sync")
	}
	p.world.after(delay, func() {
		if p.life != life {
			return
		}
		p.do(func() {
			for _, batch := range d.pending[:count] {
				for _, c := range batch {
					d.stored.Apply(reopenChange(c))
				}
			}
			d.pending = d.pending[count:]
			d.busy, d.synced = false, upto
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

func reopenChange(c core.Change) core.Change {
	var fresh core.Change
	if err := message.Unmarshal(message.Marshal(c), &fresh); err != nil {
		panic(err)
	}
	return fresh
}

func (p *proc) takeNode(o node.Output) {
	for _, s := range o.Sends {
		if s.To == p.address {
			p.takeNode(p.nodeM.Receive(p.now(), p.address, reopen(s.Body)))
			continue
		}
		p.world.send(p, s.To, s.Body)
	}
	for _, r := range o.Responses {
		at, ok := p.world.returns[r.Ticket]
		if !ok || at.node != p {
			continue
		}
		if r.Frame.Last() {
			delete(p.world.returns, r.Ticket)
		}
		piece := r.Frame
		at.next = max(at.next, p.world.now+p.world.between(200*time.Microsecond, 2*time.Millisecond))
		p.world.after(at.next-p.world.now, func() { at.piece(piece) })
	}
	for _, s := range o.Attempts {
		p.world.shoot(p, s)
	}
	for _, shot := range o.Cancels {
		if s, ok := p.shots[shot]; ok {
			s.cancelled = true
			delete(p.shots, shot)
		}
	}
}
