package relaysim

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
)

// Membership changes during which a loss is injected.
const (
	changeReplacement = "replacement"
	changeAddition    = "addition"
	changePlanned     = "planned replacement"
	changeRetirement  = "retirement"
)

const (
	lossKill  = "kill"
	lossPower = "power"
	lossWipe  = "wipe"
	// lossRetiring removes the retiring machine for good, with its disk.
	lossRetiring = "the retiring one for good"
)

type lossCase struct {
	change, loss string
	// groupSize is the members per group; groups of five tolerate two losses.
	groupSize int
}

func (c lossCase) String() string {
	return fmt.Sprintf("%s, groups of %d, %s", c.change, c.groupSize, c.loss)
}

func lossCases(groupSize int) (list []lossCase) {
	for _, change := range []string{changeReplacement, changeAddition, changePlanned, changeRetirement} {
		for _, loss := range []string{lossKill, lossPower, lossWipe, lossRetiring} {
			c := lossCase{change: change, loss: loss, groupSize: groupSize}
			leaves := change == changePlanned || change == changeRetirement
			if loss == lossRetiring && !leaves || c.victims() == 0 {
				continue
			}
			list = append(list, c)
		}
	}
	return list
}

// victims is how many machines are lost at once. A replacement starts with one lost disk, so one
// disk fewer than groups tolerate is wiped, or one machine is stopped.
func (c lossCase) victims() int {
	tolerated := c.groupSize / 2
	if c.change == changeReplacement && c.loss == lossWipe {
		return tolerated - 1
	}
	if c.change == changeReplacement || c.loss == lossRetiring {
		return 1
	}
	return tolerated
}

func (c lossCase) coreCount() int {
	if c.change == changeRetirement {
		return c.groupSize + 1
	}
	return c.groupSize
}

const (
	lossStartupTime = 3500 * time.Millisecond
	lossAway        = 700 * time.Millisecond
	// changeLongest is when an unfinished change is given up.
	changeLongest = 12 * time.Second
	// lossAnswerTimeout is short because registries lose power too.
	lossAnswerTimeout = time.Second
	// lossStride is the distance between the points at which one seed injects losses.
	lossStride = 40
)

func secondLossParams(seed uint64) Params {
	p := Defaults(seed)
	p.Registries, p.Nodes = 2, 0
	p.Faults, p.Closing = false, ""
	return p
}

// playSecondLoss plays the case that the seed selects, with losses at every lossStride-th point of
// the change. As many seeds as there are cases times lossStride cover all points.
func playSecondLoss(groupSize int) func(w *World) *Findings {
	return func(w *World) *Findings {
		cases := lossCases(groupSize)
		seed := w.Params.Seed
		c := cases[seed%uint64(len(cases))]
		return sweepLosses(w.Params, c, int(seed)/len(cases)%lossStride, lossStride)
	}
}

// sweepLosses counts the points in a run without a loss, then runs the case once for each selected
// point, all with one seed so that the points are the same.
func sweepLosses(p Params, c lossCase, offset, stride int) *Findings {
	sum := newFindings(New(p))
	p.Seed = uint64(c.groupSize)
	p.Cores, p.GroupSize = c.coreCount(), c.groupSize
	first := newLossRun(p, c, 0)
	first.play()
	first.collect(sum)
	for at := 1 + offset; at <= first.points; at += stride {
		run := newLossRun(p, c, at)
		run.play()
		run.collect(sum)
	}
	sum.Counts["runs with a loss, of "+fmt.Sprint(first.points)+" points of a "+c.String()] =
		int64((first.points - offset + stride - 1) / stride)
	return sum
}

// lossRun is one run of a case with the loss at one point; lossPoint zero means no loss.
type lossRun struct {
	lossCase
	world     *World
	findings  *Findings
	history   *orderHistory
	turnLog   *turnLog
	lossPoint int

	// points counts the deliveries and syncs at cores during the change.
	points   int
	counting bool
	leaving  *store
	joining  *store
	// lostUntil is when a lost store must have caught up; negative for never.
	lostUntil  map[*store]time.Duration
	restoredAt time.Duration
	doneAt     time.Duration
}

func newLossRun(p Params, c lossCase, at int) *lossRun {
	w := New(p)
	findings := newFindings(w)
	r := &lossRun{
		lossCase:  c,
		world:     w,
		findings:  findings,
		history:   newOrderHistory(w, findings),
		lossPoint: at,
		lostUntil: map[*store]time.Duration{},
	}
	r.history.answerTimeout = lossAnswerTimeout
	w.observers.delivered = func(from string, to *process, body any) { r.countPoint(to) }
	w.observers.synced = func(p *process, batches [][]core.Change) { r.countPoint(p) }
	return r
}

func (r *lossRun) play() {
	w := r.world
	w.Record.End = time.Hour
	w.bootAll()
	w.after(time.Second, r.history.applyFirstTable)
	w.runUntil(lossStartupTime)
	r.turnLog = newTurnLog(w, r.findings)
	r.turnLog.storeTurns(15 * time.Millisecond)
	o := &orderGenerator{
		history:       r.history,
		amendmentRate: 0.5,
		stopped:       func() bool { return r.turnLog.stopped },
		pause:         func() time.Duration { return 200 * time.Millisecond },
	}
	o.run()
	w.Advance(time.Second)
	r.beginChange()
	r.awaitDone()
	r.turnLog.stopped = true
	w.Advance(time.Second)
	r.turnLog.readAll(answerTimeout)
	w.finishScenario(r.history)
}

func (r *lossRun) beginChange() {
	w := r.world
	r.counting = true
	switch r.change {
	case changeReplacement:
		r.leaving = w.stores[len(w.stores)-1]
		r.leaving.removed = true
		r.lostUntil[r.leaving] = -1
		for _, p := range r.leaving.processes() {
			p.powerOff()
			p.wipe()
		}
		w.after(lossAway, r.add)
	case changeAddition:
		r.add()
	case changePlanned:
		r.leaving = w.stores[len(w.stores)-1]
		r.add()
		w.after(500*time.Millisecond, r.requestRetirement)
	case changeRetirement:
		r.leaving = w.stores[len(w.stores)-1]
		r.requestRetirement()
	}
}

func (r *lossRun) add() {
	r.joining = r.world.addStore(false)
	r.joining.core.boot()
}

func (r *lossRun) requestRetirement() {
	step := func(reg Registry, now time.Duration, ticket uint64) registry.Output {
		return reg.Retire(now, ticket, r.leaving.core.id)
	}
	r.callUntil(callRetire, step, r.requestRetirement,
		func(status registry.RetirementStatus) bool { return status.Known && status.EnoughCores },
		r.awaitRetirement)
}

func (r *lossRun) awaitRetirement() {
	step := func(reg Registry, now time.Duration, ticket uint64) registry.Output {
		return reg.RetirementStatus(now, ticket, r.leaving.core.id)
	}
	r.callUntil(callStatus, step, r.awaitRetirement, func(status registry.RetirementStatus) bool { return status.Done }, r.retired)
}

func (r *lossRun) callUntil(
	kind string,
	step func(reg Registry, now time.Duration, ticket uint64) registry.Output, retry func(),
	satisfied func(status registry.RetirementStatus) bool, next func(),
) {
	w := r.world
	at := w.anyRegistry()
	if !at.alive {
		w.after(50*time.Millisecond, retry)
		return
	}
	known := func(body any) bool { status, ok := body.(registry.RetirementStatus); return ok && !status.Uncertain }
	r.history.call(kind, at, step, known, func(body any) {
		status, ok := body.(registry.RetirementStatus)
		switch {
		case r.doneAt > 0:
		case ok && !status.Uncertain && satisfied(status):
			next()
		default:
			w.after(100*time.Millisecond, retry)
		}
	})
}

// retired is called once a registry reports the retirement as done: the machine may then be
// removed at once, so acknowledged data must be held elsewhere.
func (r *lossRun) retired() {
	w := r.world
	r.doneAt = w.now
	r.judgeGroups()
	r.judgeCopies()
	r.removeLeaving()
}

func (r *lossRun) removeLeaving() {
	for _, p := range r.leaving.processes() {
		p.powerOff()
		p.wipe()
	}
	r.leaving.removed = true
}

// judgeGroups checks that the leaving machine is a member of no group.
func (r *lossRun) judgeGroups() {
	w := r.world
	for n := 0; n < w.partitions(); n++ {
		leader := w.leaderOf(n)
		if leader == nil {
			continue
		}
		group, _ := leader.core.core.Partition(n).CommittedGroup()
		for _, member := range group.All() {
			if core.CoreID(member) == r.leaving.core.id {
				r.findings.breach(RuleRetirement, "the retirement was said to be done at %v, and part %d has the group %v", w.now, n, group)
				return
			}
		}
	}
}

// judgeCopies checks that acknowledged data is on the disks of a majority without the leaving
// machine, apart from lost disks.
func (r *lossRun) judgeCopies() {
	w := r.world
	missing := 0
	for s, until := range r.lostUntil {
		if s != r.leaving && (until < 0 || w.now < until) {
			missing++
		}
	}
	want := max(1, r.groupSize/2+1-missing)
	for _, t := range r.turnLog.acked {
		copies := 0
		for _, s := range w.presentStores() {
			if s != r.leaving {
				if _, ok := s.core.disk.stored.Replicas[t.partition].Entries[t.key()]; ok {
					copies++
				}
			}
		}
		if copies < want {
			r.findings.breach(RuleRetirement,
				"%s: the retirement was said to be done at %v, and %s, acknowledged at %v, is on %d other disks",
				r, w.now, t.attempt, t.at, copies)
			return
		}
	}
}

func (r *lossRun) countPoint(p *process) {
	if !r.counting || p.disk == nil {
		return
	}
	if r.points++; r.points == r.lossPoint {
		r.injectLoss(p)
	}
}

// injectLoss loses the machine of the process, and as many others as groups tolerate.
func (r *lossRun) injectLoss(p *process) {
	w := r.world
	var victims []*store
	for _, s := range w.presentStores() {
		if s.core == p {
			victims = append(victims, s)
		}
	}
	if r.loss == lossRetiring {
		victims = victims[:0]
		if !r.leaving.removed {
			victims = append(victims, r.leaving)
		}
	}
	for _, i := range w.random.Perm(len(w.stores)) {
		if s := w.stores[i]; len(victims) < r.victims() && !s.removed && s.core.alive && (len(victims) == 0 || victims[0] != s) {
			victims = append(victims, s)
		}
	}
	for _, s := range victims {
		r.loseStore(s)
	}
}

func (r *lossRun) loseStore(s *store) {
	w := r.world
	w.logf("point %d: %s lost: %s", r.lossPoint, s.core.id, r.loss)
	r.lostUntil[s] = w.now + lossAway + catchUpTime
	r.restoredAt = w.now + lossAway
	if r.loss == lossRetiring {
		r.removeLeaving()
		r.restoredAt = w.now
		return
	}
	processes := s.processes()
	if r.loss == lossKill {
		processes = processes[:1]
	}
	for _, p := range processes {
		if r.loss == lossKill {
			p.kill()
		} else {
			p.powerOff()
		}
		if r.loss == lossWipe {
			p.wipe()
		}
		w.after(lossAway, func() {
			if !s.removed {
				p.boot()
			}
		})
	}
}

func (r *lossRun) awaitDone() {
	w := r.world
	started := w.now
	problem := ""
	for w.now < started+changeLongest {
		w.Advance(50 * time.Millisecond)
		if problem = r.problem(); problem == "" {
			break
		}
	}
	r.counting = false
	restored := max(r.restoredAt, started+lossAway)
	if problem == "" && w.now > restored+catchUpTime {
		problem = "whole only now"
	}
	switch {
	case problem != "":
		r.findings.breach(RuleGroupSize,
			"at %v, %v after the change began and %v after all that comes back was there: %s",
			w.now, w.now-started, w.now-restored, problem)
	case r.lossPoint == 0:
		r.findings.recordDuration("without a loss: "+r.change+fmt.Sprintf(", groups of %d", r.groupSize), w.now-started)
	default:
		r.findings.recordDuration("groups whole after the loss: "+r.String(), max(0, w.now-r.restoredAt))
	}
}

// problem describes what is not yet as required; empty if all is.
func (r *lossRun) problem() string {
	leaves := r.change == changePlanned || r.change == changeRetirement
	if leaves && r.doneAt == 0 {
		return "the retirement is not done"
	}
	if r.joining != nil && !r.joining.core.alive || r.change == changeReplacement && r.joining == nil {
		return "the new core does not run"
	}
	if missing := r.world.partitionProblem(); missing != "" {
		return missing
	}
	return r.world.placementProblem()
}

func (r *lossRun) collect(sum *Findings) {
	for _, b := range r.findings.Breaches {
		b.Text = fmt.Sprintf("%s, point %d of %d: %s", r.String(), r.lossPoint, r.points, b.Text)
		sum.Breaches = append(sum.Breaches, b)
	}
	for what, list := range r.findings.Durations {
		sum.Durations[what] = append(sum.Durations[what], list...)
	}
	sum.Counts["turns acknowledged"] += int64(len(r.turnLog.acked))
	sum.Counts["orders acknowledged"] += int64(len(r.history.acked))
}
