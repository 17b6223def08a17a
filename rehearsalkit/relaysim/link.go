package relaysim

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
)

// network is the links between processes.
type network struct {
	// cut counts the cuts of each link, by the addresses from and to.
	cut map[[2]string]int
	// last is when the newest message of each stream arrives.
	last map[[2]string]time.Duration
	// barrier tells which links are cut besides; nil: none.
	barrier func(from, to string) bool
	// loses tells which messages get lost besides; nil: none.
	loses func(body any) bool
	// watch is told of each message that arrives, and of each that is sent.
	watch watch
}

// watch is what a scenario sees of the network and the disks. Any may be nil.
type watch struct {
	sent      func(from *process, to string, body any)
	delivered func(from string, to *process, body any)
	synced    func(p *process, batches [][]core.Change)
}

func (w *World) isCut(from, to string) bool {
	return w.cut[[2]string{from, to}] > 0 || w.barrier != nil && w.barrier(from, to)
}

// send carries a message. Streams keep their order for each pair, unless the
// connection is lost: then what follows may be faster.
func (w *World) send(from *process, to string, body any) {
	w.Counts["messages"]++
	if w.Params.Alter != nil {
		var pass bool
		if body, pass = w.Params.Alter(from.id, w.idOf(to), body); !pass {
			return
		}
	}
	if w.watch.sent != nil {
		w.watch.sent(from, to, body)
	}
	raw := message.Pack(body)
	pair := [2]string{from.address, to}
	if w.isCut(from.address, to) {
		return
	}
	if w.chance(w.Params.Loss) || w.loses != nil && w.loses(body) {
		delete(w.last, pair)
		return
	}
	delay := w.delay()
	if w.chance(0.005) {
		delay += w.between(0, 60*time.Millisecond)
	}
	at := max(w.now+delay, w.last[pair])
	w.last[pair] = at
	w.after(at-w.now, func() {
		target := w.processes[to]
		if target == nil || !target.alive {
			return
		}
		target.do(func() { target.receive(from.address, raw) })
	})
}

func (w *World) idOf(address string) string {
	if p := w.processes[address]; p != nil {
		return p.id
	}
	return ""
}
