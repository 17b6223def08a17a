package relaysim

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
)

const (
	stormLength = 300 * time.Second
	// stormOperators is the number of operators, each with up to two orders at a time.
	stormOperators = 4
	// stormAnswerTimeout is short because most answers are lost.
	stormAnswerTimeout = 800 * time.Millisecond
	// resultLoss is the additional loss rate of results from cores, on odd seeds.
	resultLoss = 0.4
	// leaderChangeInterval separates faults of the configuration partition's leader.
	leaderChangeInterval = 15 * time.Second
)

func ordersParams(seed uint64) Params {
	p := Defaults(seed)
	p.Cores, p.Registries, p.Nodes = 3+int(seed%3), 3, 1
	p.Faults, p.Closing = false, ""
	return p
}

// orderStorm sends concurrent orders whose answers are mostly lost, and repeats acknowledged ones
// at once and much later, across leader changes and power loss of all disks.
type orderStorm struct {
	world   *World
	history *orderHistory
	stopped bool
}

func playOrders(w *World) *Findings {
	s := newOrderStorm(w)
	return s.play(stormLength)
}

func newOrderStorm(w *World) *orderStorm {
	findings := newFindings(w)
	history := newOrderHistory(w, findings)
	findings.Resends = history.resends
	return &orderStorm{world: w, history: history}
}

func (s *orderStorm) play(length time.Duration) *Findings {
	w, b := s.world, s.history
	w.Record.End = time.Hour
	w.startScenario(b)
	b.answerLoss = 0.7 + 0.05*float64(w.Params.Seed%5)
	b.answerTimeout = stormAnswerTimeout
	if w.Params.Seed%2 == 1 {
		w.dropMessage = func(body any) bool { _, ok := body.(core.CommandResult); return ok && w.chance(resultLoss) }
	}
	for range stormOperators {
		o := &orderGenerator{
			history:       b,
			rivalRate:     0.8,
			amendmentRate: 0.5,
			stopped:       func() bool { return s.stopped },
			pause:         func() time.Duration { return w.between(20*time.Millisecond, 200*time.Millisecond) },
		}
		w.after(w.between(0, time.Second), o.run)
	}
	w.after(time.Second, s.resendAny)
	w.after(leaderChangeInterval, s.changeLeader)
	w.Advance(length / 2)
	s.losePower()
	w.Advance(length / 2)
	s.stopped = true
	w.Advance(time.Second)
	s.losePower()
	w.Advance(catchUpTime)
	b.answerLoss, b.answerTimeout, w.dropMessage = 0, answerTimeout, nil
	s.resendAll()
	w.finishScenario(b)
	return b.findings
}

func (s *orderStorm) resendAny() {
	w := s.world
	if s.stopped {
		return
	}
	memory := 0
	if w.chance(0.3) {
		memory = recentOrders
	}
	s.history.resend(w.anyRegistry(), memory)
	w.after(w.between(50*time.Millisecond, 200*time.Millisecond), s.resendAny)
}

func (s *orderStorm) resendAll() {
	w := s.world
	waiting := len(s.history.acked)
	for _, o := range append([]*order(nil), s.history.acked...) {
		w.after(w.between(0, 5*time.Second), func() { s.sendUntilAnswered(o, func() { waiting-- }) })
	}
	w.Advance(20 * time.Second)
	if waiting > 0 {
		s.history.findings.breach(RuleAcceptedNotRefused,
			"%d orders that had been acknowledged got no clear answer again within 20s",
			waiting)
	}
}

func (s *orderStorm) sendUntilAnswered(o *order, done func()) {
	s.history.send(o, s.world.anyRegistry(), func(result registry.OrderResult) {
		if result.Uncertain {
			s.sendUntilAnswered(o, done)
			return
		}
		done()
	})
}

func (s *orderStorm) changeLeader() {
	w := s.world
	if s.stopped {
		return
	}
	w.after(leaderChangeInterval, s.changeLeader)
	leader := w.leaderOf(0)
	if leader == nil {
		return
	}
	p, length := leader.core, w.between(600*time.Millisecond, 4*time.Second)
	switch w.random.IntN(3) {
	case 0:
		w.outage(p, AnyStore, "owner killed", length, p.kill, p.boot)
	case 1:
		w.outage(p, AnyStore, "owner frozen", length, func() { p.frozen = true }, p.wake)
	case 2:
		w.losePower(leader, false, length)
	}
}

func (s *orderStorm) losePower() {
	w := s.world
	w.logf("all disks lose power")
	w.Counts["fault: all disks lost power"]++
	for _, target := range w.presentStores() {
		for _, p := range target.processes() {
			p.powerOff()
			w.after(w.between(minRestart, maxRestart), p.boot)
		}
	}
}
