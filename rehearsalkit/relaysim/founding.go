package relaysim

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
)

// foundingFault is what happens to processes while a fleet is founded.
type foundingFault string

const (
	foundingKill   foundingFault = "killed"
	foundingPower  foundingFault = "without power"
	foundingFreeze foundingFault = "frozen"
	// foundingLate is a process that starts only after the others have founded the fleet, and is
	// killed at one point of its start.
	foundingLate foundingFault = "late, and killed"
	// foundingAll is a loss of power of all processes.
	foundingAll foundingFault = "all without power"
)

var foundingFaults = []foundingFault{foundingKill, foundingPower, foundingFreeze, foundingLate, foundingAll}

const (
	// foundingWatched is the time from the start in which faults are injected at each message and sync.
	foundingWatched = 4 * time.Second
	// foundingLateness is when a late process starts.
	foundingLateness = 8 * time.Second
	// foundingLimit is the time for a founded and whole fleet, from the end of the fault.
	foundingLimit  = 10 * time.Second
	foundingStride = 60
)

type foundingCase struct {
	fault     foundingFault
	groupSize int
}

func (c foundingCase) String() string {
	return fmt.Sprintf("%s while a fleet with groups of %d is founded", c.fault, c.groupSize)
}

func foundingCases() (list []foundingCase) {
	for _, fault := range foundingFaults {
		for _, size := range []int{3, 5} {
			list = append(list, foundingCase{fault: fault, groupSize: size})
		}
	}
	return list
}

func foundingParams(seed uint64) Params {
	p := Defaults(seed)
	p.Registries, p.Nodes = 2, 1
	p.Faults, p.Closing = false, ClosingWipe
	return p
}

// playFounding plays the case that the seed selects, with the fault at every foundingStride-th point.
// As many seeds as there are cases times foundingStride cover all points.
func playFounding(w *World) *Findings {
	cases := foundingCases()
	seed := int(w.Params.Seed)
	return sweepFoundings(w.Params, cases[seed%len(cases)], seed/len(cases)%foundingStride, foundingStride)
}

// sweepFoundings counts the points in a run without a fault, then runs the case once for each
// selected point, all with one seed so that the points are the same.
func sweepFoundings(p Params, c foundingCase, offset, stride int) *Findings {
	sum := newFindings(New(p))
	p.Seed = uint64(c.groupSize)
	p.Cores, p.GroupSize = c.groupSize, c.groupSize
	first := newFoundingRun(p, c, 0)
	first.play()
	first.collect(sum)
	for at := 1 + offset; at <= first.points; at += stride {
		run := newFoundingRun(p, c, at)
		run.play()
		run.collect(sum)
	}
	sum.Counts["runs with a fault, "+c.String()] = int64((first.points - offset + stride - 1) / stride)
	return sum
}

// foundingRun is one founding with a fault at one point, and a lost disk once the fleet is whole;
// faultPoint zero means no fault.
type foundingRun struct {
	foundingCase
	world      *World
	findings   *Findings
	history    *orderHistory
	health     *health
	late       *process
	faultPoint int
	points     int
	faultEnds  time.Duration
}

func newFoundingRun(p Params, c foundingCase, at int) *foundingRun {
	w := New(p)
	findings := newFindings(w)
	history := newOrderHistory(w, findings)
	r := &foundingRun{foundingCase: c, world: w, findings: findings, history: history, health: w.watchHealth(history), faultPoint: at}
	if c.fault == foundingLate {
		stores := w.presentStores()
		r.late = stores[at%len(stores)].core
	}
	delivered := w.observers.delivered
	w.observers.delivered = func(from string, to *process, body any) {
		delivered(from, to, body)
		r.countPoint(to)
	}
	w.observers.synced = func(p *process, _ [][]core.Change) { r.countPoint(p) }
	return r
}

// countPoint counts the messages and syncs of the founding, of the late process if there is one.
func (r *foundingRun) countPoint(p *process) {
	w := r.world
	if r.late != nil && p != r.late || r.late == nil && w.now > foundingWatched || p.client != nil || p.node != nil {
		return
	}
	if r.late != nil && w.now > foundingLateness+foundingWatched {
		return
	}
	if r.points++; r.points == r.faultPoint {
		r.inject(p)
	}
}

func (r *foundingRun) inject(p *process) {
	w := r.world
	length := w.between(200*time.Millisecond, 2*time.Second)
	r.faultEnds = w.now + length
	w.logf("point %d: %s %s for %v", r.faultPoint, p.id, r.fault, length)
	switch r.fault {
	case foundingFreeze:
		p.frozen = true
		w.after(length, p.wake)
	case foundingAll:
		for _, s := range w.presentStores() {
			for _, victim := range s.processes() {
				victim.powerOff()
				w.after(length, victim.boot)
			}
		}
	case foundingPower:
		p.powerOff()
		w.after(length, p.boot)
	default:
		p.kill()
		w.after(length, p.boot)
	}
}

func (r *foundingRun) play() {
	w := r.world
	w.Record.End = time.Hour
	end := w.beginDisruption(AnyStore)
	for _, s := range w.presentStores() {
		for _, p := range s.processes() {
			if p != r.late {
				w.after(w.between(0, 200*time.Millisecond), p.boot)
			}
		}
	}
	for _, n := range w.nodes {
		w.after(w.between(0, 200*time.Millisecond), n.boot)
	}
	if r.late != nil {
		w.after(foundingLateness, r.late.boot)
		r.faultEnds = foundingLateness
	}
	w.after(time.Second, r.history.applyFirstTable)
	r.awaitFounded()
	end()
	if len(r.findings.Breaches) == 0 {
		r.loseDisk()
	}
}

// awaitFounded waits until the fleet is founded, has its first table and is whole.
func (r *foundingRun) awaitFounded() {
	w := r.world
	w.Advance(foundingWatched)
	problem := r.problem()
	for problem != "" && w.now < max(r.faultEnds, foundingWatched)+foundingLimit {
		w.Advance(100 * time.Millisecond)
		problem = r.problem()
	}
	if problem != "" {
		r.findings.breach(RuleFleetRecovery, "%v after the fault ended: %s", w.now-r.faultEnds, problem)
		return
	}
	r.findings.recordDuration("founded and whole after the start: "+r.String(), w.now)
}

func (r *foundingRun) problem() string {
	switch {
	case r.late != nil && !r.late.alive:
		return r.late.id + " does not run"
	case r.world.partitions() == 0:
		return "no fleet is founded"
	case len(r.history.acked) == 0:
		return "no table is acknowledged"
	}
	return r.health.problem()
}

// loseDisk loses one disk while all other machines lose power, and requires a whole fleet again.
func (r *foundingRun) loseDisk() {
	r.world.Advance(catchUpTime)
	r.health.judgeClosingFault(r.findings)
	r.world.finishScenario(r.history)
}

func (r *foundingRun) collect(sum *Findings) {
	for _, b := range r.findings.Breaches {
		b.Text = fmt.Sprintf("%s, point %d of %d: %s", r.String(), r.faultPoint, r.points, b.Text)
		sum.Breaches = append(sum.Breaches, b)
	}
	for what, list := range r.findings.Durations {
		sum.Durations[what] = append(sum.Durations[what], list...)
	}
}
