package relaysim

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
)

type disk struct {
	stored  core.Stored
	pending [][]core.Change
	issued  uint64
	synced  uint64
	held    []held
	busy    bool
}

type held struct {
	after uint64
	send  core.Send
}

func (w *World) emptyDisk(id string) *disk {
	return &disk{stored: core.Stored{Incarnation: fmt.Sprintf("%s-%d", id, w.random.Uint32())}}
}

func (p *process) takeCore(o core.Output) {
	d := p.disk
	if len(o.Changes) > 0 {
		d.pending = append(d.pending, o.Changes)
		d.issued++
	}
	for _, s := range o.Sends {
		if s.Synced && d.issued > d.synced {
			d.held = append(d.held, held{after: d.issued, send: s})
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
		p.takeCore(p.core.Receive(p.now(), p.address, value))
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
	count, upto, life := len(d.pending), d.issued, p.life
	w.Counts["syncs"]++
	w.after(w.between(300*time.Microsecond, 3*time.Millisecond), func() {
		if p.life != life {
			return
		}
		p.do(func() {
			if seen := w.watch.synced; seen != nil {
				if seen(p, d.pending[:count]); p.life != life {
					return
				}
			}
			for _, batch := range d.pending[:count] {
				for _, c := range batch {
					d.stored.Apply(reopenChange(c))
				}
			}
			d.pending = d.pending[count:]
			d.busy, d.synced = false, upto
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
