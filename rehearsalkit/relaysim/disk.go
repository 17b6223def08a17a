package relaysim

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
)

// Range of the duration of a disk sync.
const (
	minSync = 300 * time.Microsecond
	maxSync = 3 * time.Millisecond
)

type disk struct {
	stored  core.Stored
	pending [][]core.Change
	issued  uint64
	synced  uint64
	held    []heldSend
	busy    bool
}

type heldSend struct {
	afterBatch uint64
	send       core.Send
}

func (w *World) emptyDisk(id string) *disk {
	return &disk{stored: core.Stored{
		Incarnation: fmt.Sprintf("%s-%d", id, w.random.Uint32()),
		MayFound:    w.now == 0, // the first start of the fleet
	}}
}

func (p *process) applyCoreOutput(o core.Output) {
	d := p.disk
	if len(o.Changes) > 0 {
		d.pending = append(d.pending, o.Changes)
		d.issued++
	}
	for _, s := range o.Sends {
		if s.Synced && d.issued > d.synced {
			d.held = append(d.held, heldSend{afterBatch: d.issued, send: s})
			continue
		}
		p.sendCore(s)
	}
	p.sync()
}

func (p *process) sendCore(s core.Send) {
	if s.To == p.address {
		value, err := message.Open(message.Pack(s.Body))
		if err != nil {
			panic(err)
		}
		p.applyCoreOutput(p.core.Receive(p.now(), p.address, value))
		return
	}
	p.world.send(p, s.To, s.Body)
}

func (p *process) sync() {
	d, w := p.disk, p.world
	if d.busy || len(d.pending) == 0 {
		return
	}
	d.busy = true
	count, lastBatch, incarnation := len(d.pending), d.issued, p.incarnation
	w.Counts["syncs"]++
	w.after(w.between(minSync, maxSync), func() {
		if p.incarnation != incarnation {
			return
		}
		p.do(func() {
			if seen := w.observers.synced; seen != nil {
				if seen(p, d.pending[:count]); p.incarnation != incarnation {
					return
				}
			}
			for _, batch := range d.pending[:count] {
				for _, c := range batch {
					d.stored.Apply(copyChange(c))
				}
			}
			d.pending = d.pending[count:]
			d.busy, d.synced = false, lastBatch
			ready := d.held
			d.held = nil
			for _, h := range ready {
				if h.afterBatch <= d.synced {
					p.sendCore(h.send)
				} else {
					d.held = append(d.held, h)
				}
			}
			p.sync()
		})
	})
}

func copyChange(c core.Change) core.Change {
	var fresh core.Change
	if err := message.Unmarshal(message.Marshal(c), &fresh); err != nil {
		panic(err)
	}
	return fresh
}
