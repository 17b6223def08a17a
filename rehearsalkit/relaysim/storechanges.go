package relaysim

import (
	"time"

	"saffronfall/peer/registry"
)

// storeChange is a kind of change of the set of store machines.
type storeChange string

const (
	// storeLost is a machine that is gone for good, with an empty successor at another address.
	storeLost storeChange = "lost for good"
	// storeSucceeded is the same as planned work: the successor comes first.
	storeSucceeded storeChange = "succeeded"
	storeAdded     storeChange = "added"
	storeRetired   storeChange = "retired"
	storeRestarted storeChange = "restarted"
)

// drawnStoreChanges are the changes of random runs, repeated by weight.
var drawnStoreChanges = []storeChange{
	storeLost, storeLost, storeLost, storeSucceeded, storeSucceeded, storeAdded,
	storeRetired, storeRetired, storeRetired, storeRestarted,
}

const (
	minDrawnStoreChanges = 2
	maxDrawnStoreChanges = 6
	// storeLossGap is the shortest time from one loss of a machine to the next.
	storeLossGap = 2*catchUpTime + 200*time.Millisecond
	// storeTurnInterval is the time between two stored turns.
	storeTurnInterval = 100 * time.Millisecond
	// retireAnswerTimeout is how long an order to retire may stay without a conclusive answer.
	retireAnswerTimeout = 12 * time.Second
)

func storeChangesParams(seed uint64) Params {
	p := Defaults(seed)
	p.GroupSize, p.Cores, p.Registries, p.Nodes = 3, 3+int(seed%2), 3, 1
	if seed%4 == 3 {
		p.GroupSize, p.Cores = 5, 5+int(seed/4%2)
	}
	p.Faults = false
	return p
}

// storeChanges applies a series of changes of the store machines under orders and stored turns,
// never with more than one machine lost, and then a closing fault.
type storeChanges struct {
	world    *World
	findings *Findings
	history  *orderHistory
	health   *health
	turnLog  *turnLog
	stopped  bool
}

func playStoreChanges(w *World) *Findings {
	count := minDrawnStoreChanges + w.random.IntN(maxDrawnStoreChanges-minDrawnStoreChanges+1)
	var changes []storeChange
	for range count {
		changes = append(changes, drawnStoreChanges[w.random.IntN(len(drawnStoreChanges))])
	}
	return newStoreChanges(w).play(changes)
}

func newStoreChanges(w *World) *storeChanges {
	findings := newFindings(w)
	history := newOrderHistory(w, findings)
	return &storeChanges{world: w, findings: findings, history: history, health: w.watchHealth(history)}
}

func (c *storeChanges) play(changes []storeChange) *Findings {
	c.start()
	for _, change := range changes {
		c.apply(change)
	}
	c.world.Advance(catchUpTime)
	c.stop()
	c.world.Advance(answerTimeout)
	c.close()
	return c.findings
}

// start starts the fleet, and its orders and turns.
func (c *storeChanges) start() {
	w := c.world
	w.Record.End = time.Hour
	w.startScenario(c.history)
	c.turnLog = newTurnLog(w, c.findings)
	c.turnLog.storeTurns(storeTurnInterval)
	orders := &orderGenerator{
		history:       c.history,
		amendmentRate: 0.5,
		stopped:       func() bool { return c.stopped },
		pause:         func() time.Duration { return w.between(300*time.Millisecond, time.Second) },
	}
	orders.run()
}

func (c *storeChanges) stop() { c.stopped, c.turnLog.stopped = true, true }

func (c *storeChanges) apply(change storeChange) {
	w := c.world
	present := w.presentStores()
	chosen := present[w.random.IntN(len(present))]
	w.logf("%s: %s", change, chosen.core.id)
	w.Counts["stores "+string(change)]++
	switch change {
	case storeLost:
		c.remove(chosen)
		w.Advance(w.between(200*time.Millisecond, 2*time.Second))
		c.add()
		w.Advance(storeLossGap)
	case storeSucceeded:
		c.add()
		w.Advance(catchUpTime)
		c.remove(chosen)
		w.Advance(storeLossGap)
	case storeAdded:
		c.add()
		w.Advance(w.between(100*time.Millisecond, catchUpTime))
	case storeRetired:
		c.retire(chosen)
		w.Advance(w.between(100*time.Millisecond, 2*catchUpTime))
	case storeRestarted:
		end := w.beginDisruption(AnyStore)
		chosen.core.kill()
		w.Advance(w.between(100*time.Millisecond, 2*time.Second))
		chosen.core.boot()
		end()
		w.Advance(storeLossGap)
	}
}

// remove takes a machine away with its disk, for good.
func (c *storeChanges) remove(s *store) {
	end := c.world.beginDisruption(AnyStore)
	for _, p := range s.processes() {
		p.powerOff()
		p.wipe()
	}
	s.removed = true
	c.world.after(storeLossGap, end)
}

func (c *storeChanges) add() {
	w := c.world
	end := w.beginDisruption(AnyStore)
	added := w.addStore(true)
	for _, p := range added.processes() {
		p.boot()
	}
	w.after(catchUpTime, end)
}

// retire orders a retirement, and fails the run if no registry gives a conclusive answer in time.
func (c *storeChanges) retire(s *store) {
	w := c.world
	ordered := w.now
	var status registry.RetirementStatus
	answered := false
	var ask func()
	ask = func() {
		at := w.anyRegistry()
		if !at.alive {
			w.after(50*time.Millisecond, ask)
			return
		}
		step := func(reg Registry, now time.Duration, ticket uint64) registry.Output {
			return reg.Retire(now, ticket, s.core.id)
		}
		known := func(body any) bool { status, ok := body.(registry.RetirementStatus); return ok && !status.Uncertain }
		c.history.call(callRetire, at, step, known, func(body any) {
			answer, ok := body.(registry.RetirementStatus)
			if !ok || answer.Uncertain {
				w.after(100*time.Millisecond, ask)
				return
			}
			status, answered = answer, true
		})
	}
	ask()
	for !answered && w.now < ordered+retireAnswerTimeout {
		w.Advance(50 * time.Millisecond)
	}
	switch {
	case !answered:
		c.findings.breach(RuleRetirement, "the order to retire %s, given at %v, has no answer after %v", s.core.id, ordered, retireAnswerTimeout)
	case !status.EnoughCores:
		w.Counts["retirements refused"]++
		c.judgeRefusal(s)
	default:
		w.Counts["retirements accepted"]++
		c.judgeAcceptance(s)
		c.awaitRetired(s)
	}
}

// remaining counts the present machines that are neither retired nor s.
func (c *storeChanges) remaining(s *store) (count int) {
	for _, other := range c.world.presentStores() {
		if other == s || !other.core.alive {
			continue
		}
		if self := other.core.core.Self(); !self.Retired {
			count++
		}
	}
	return count
}

func (c *storeChanges) judgeAcceptance(s *store) {
	if left, needed := c.remaining(s), c.world.registryParams().GroupSize; left < needed {
		c.findings.breach(RuleRetirement, "the order to retire %s was accepted at %v with %d machines left for groups of %d", s.core.id, c.world.now, left, needed)
	}
}

func (c *storeChanges) judgeRefusal(s *store) {
	if left, needed := c.remaining(s), c.world.registryParams().GroupSize; left >= needed {
		c.findings.breach(RuleRetirement, "the order to retire %s was refused at %v with %d machines left for groups of %d", s.core.id, c.world.now, left, needed)
	}
}

// awaitRetired removes a machine once its retirement is reported as done, while changes go on.
func (c *storeChanges) awaitRetired(s *store) {
	w := c.world
	if c.stopped || s.removed {
		return
	}
	at := w.anyRegistry()
	again := func() { w.after(200*time.Millisecond, func() { c.awaitRetired(s) }) }
	if !at.alive {
		again()
		return
	}
	step := func(reg Registry, now time.Duration, ticket uint64) registry.Output {
		return reg.RetirementStatus(now, ticket, s.core.id)
	}
	known := func(body any) bool { status, ok := body.(registry.RetirementStatus); return ok && !status.Uncertain }
	c.history.call(callStatus, at, step, known, func(body any) {
		status, _ := body.(registry.RetirementStatus)
		if !status.Done || c.stopped || s.removed {
			again()
			return
		}
		w.logf("%s is empty and is removed", s.core.id)
		w.Counts["stores emptied"]++
		for _, p := range s.processes() {
			p.powerOff()
			p.wipe()
		}
		s.removed = true
	})
}

// close injects the closing fault, and requires that the fleet is whole and serves all it
// acknowledged within the recovery time.
func (c *storeChanges) close() {
	c.health.judgeClosingFault(c.findings)
	c.turnLog.readAll(answerTimeout)
	c.world.finishScenario(c.history)
}
