package relaysim

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
)

const (
	minMessageDelay = 200 * time.Microsecond
	maxMessageDelay = 2 * time.Millisecond
	// slowMessageRate is the fraction of messages with an extra delay.
	slowMessageRate = 0.005
	maxExtraDelay   = 60 * time.Millisecond
)

type network struct {
	// cut counts the active cuts of each link, by source and destination address.
	cut map[[2]string]int
	// lastArrival is the arrival time of the newest message on each link.
	lastArrival map[[2]string]time.Duration
	// blocked reports further cut links; may be nil.
	blocked func(from, to string) bool
	// dropMessage selects messages to lose in addition to random loss; may be nil.
	dropMessage func(body any) bool
	observers   observers
}

// observers are a scenario's callbacks, called for each message sent or delivered, each disk sync
// and each moment of an operation with a key. Each may be nil.
type observers struct {
	sent      func(from *process, to string, body any)
	delivered func(from string, to *process, body any)
	synced    func(p *process, batches [][]core.Change)
	operation func(moment string, request *activeRequest)
}

func (w *World) isCut(from, to string) bool {
	return w.cut[[2]string{from, to}] > 0 || w.blocked != nil && w.blocked(from, to)
}

// send delivers a message after a random delay. Messages on a link stay in order unless the
// connection is lost; later ones may then overtake earlier ones.
func (w *World) send(from *process, to string, body any) {
	w.Counts["messages"]++
	if w.Params.Alter != nil {
		var pass bool
		if body, pass = w.Params.Alter(from.id, w.idOf(to), body); !pass {
			return
		}
	}
	if w.observers.sent != nil {
		w.observers.sent(from, to, body)
	}
	raw := message.Pack(body)
	pair := [2]string{from.address, to}
	if w.isCut(from.address, to) {
		return
	}
	if w.chance(w.Params.Loss) || w.dropMessage != nil && w.dropMessage(body) {
		delete(w.lastArrival, pair)
		return
	}
	delay := w.delay()
	if w.chance(slowMessageRate) {
		delay += w.between(0, maxExtraDelay)
	}
	at := max(w.now+delay, w.lastArrival[pair])
	w.lastArrival[pair] = at
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
