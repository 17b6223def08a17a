package relaysim

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
)

// Bounds of the scenario orders.
const (
	// stormLength is how long orders are handed over.
	stormLength = 300 * time.Second
	// stormOperators send up to two orders each at a time.
	stormOperators = 4
	// stormPatience is short, as most answers get lost.
	stormPatience = 800 * time.Millisecond
	// returnsLost is the part of the answers of cores that get lost besides.
	returnsLost = 0.4
	// leaderEvery is how often the owner of the configuration changes.
	leaderEvery = 15 * time.Second
)

func ordersParams(seed uint64) Params {
	p := Defaults(seed)
	p.Cores, p.Desks, p.Nodes = 3+int(seed%3), 3, 1
	p.Faults, p.Closing = false, ""
	return p
}

// orderStorm has many orders under way whose answers mostly get lost, and hands
// every one that was acknowledged over again, at once and long after, while
// owners change and when all disks have lost power.
type orderStorm struct {
	world *World
	book  *orderBook
	over  bool
}

func playOrders(w *World) *Findings {
	s := newOrderStorm(w)
	return s.play(stormLength)
}

func newOrderStorm(w *World) *orderStorm {
	f := newFindings(w)
	b := newOrderBook(w, f)
	f.Later = b.later
	return &orderStorm{world: w, book: b}
}

func (s *orderStorm) play(length time.Duration) *Findings {
	w, b := s.world, s.book
	w.Record.End = time.Hour
	w.start(b)
	b.lost = 0.7 + 0.05*float64(w.Params.Seed%5)
	b.patience = stormPatience
	if w.Params.Seed%2 == 1 {
		w.loses = func(body any) bool { _, ok := body.(core.CommandResult); return ok && w.chance(returnsLost) }
	}
	for range stormOperators {
		o := &orderer{book: b, rivals: 0.8, amends: 0.5, over: func() bool { return s.over }, pause: func() time.Duration { return w.between(20*time.Millisecond, 200*time.Millisecond) }}
		w.after(w.between(0, time.Second), o.run)
	}
	w.after(time.Second, s.resendAny)
	w.after(leaderEvery, s.changeLeader)
	w.Pass(length / 2)
	s.losePower()
	w.Pass(length / 2)
	s.over = true
	w.Pass(time.Second)
	s.losePower()
	w.Pass(catchUp)
	b.lost, b.patience, w.loses = 0, patience, nil
	s.resendAll()
	w.finish(b)
	return b.findings
}

// resendAny hands an acknowledged order over again: mostly any, sometimes one of
// the last.
func (s *orderStorm) resendAny() {
	w := s.world
	if s.over {
		return
	}
	memory := 0
	if w.chance(0.3) {
		memory = recentOrders
	}
	s.book.resend(w.anyDesk(), memory)
	w.after(w.between(50*time.Millisecond, 200*time.Millisecond), s.resendAny)
}

// resendAll hands every acknowledged order over again until the answer is clear.
func (s *orderStorm) resendAll() {
	w := s.world
	waiting := len(s.book.acked)
	for _, o := range append([]*order(nil), s.book.acked...) {
		w.after(w.between(0, 5*time.Second), func() { s.insist(o, func() { waiting-- }) })
	}
	w.Pass(20 * time.Second)
	if waiting > 0 {
		s.book.findings.breach(RuleTaken, "%d orders that had been acknowledged got no clear answer again within 20s", waiting)
	}
}

func (s *orderStorm) insist(o *order, done func()) {
	s.book.send(o, s.world.anyDesk(), func(h desk.OrderResult) {
		if h.Uncertain {
			s.insist(o, done)
			return
		}
		done()
	})
}

// changeLeader harms the owner of the configuration for a while.
func (s *orderStorm) changeLeader() {
	w := s.world
	if s.over {
		return
	}
	w.after(leaderEvery, s.changeLeader)
	owner := w.coreOf(0)
	if owner == nil {
		return
	}
	p, length := owner.core, w.between(600*time.Millisecond, 4*time.Second)
	switch w.random.IntN(3) {
	case 0:
		w.outage(p, Stores, "owner killed", length, p.kill, p.boot)
	case 1:
		w.outage(p, Stores, "owner frozen", length, func() { p.frozen = true }, p.wake)
	case 2:
		w.power(owner, false, length)
	}
}

// losePower takes the power from all machines with a disk at once.
func (s *orderStorm) losePower() {
	w := s.world
	w.logf("all disks lose power")
	w.Counts["fault: all disks lost power"]++
	for _, one := range w.present() {
		for _, p := range one.processes() {
			p.powerOff()
			w.after(w.between(500*time.Millisecond, 1500*time.Millisecond), p.boot)
		}
	}
}
