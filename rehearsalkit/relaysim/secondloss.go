package relaysim

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
)

// Changes of the fleet under which a loss comes.
const (
	changeReplacement = "replacement"
	changeAddition    = "addition"
	changePlanned     = "planned replacement"
	changeRetirement  = "retirement"
)

// Kinds of losses.
const (
	lossKill  = "kill"
	lossPower = "power"
	lossWipe  = "wipe"
	// lossLeaver ends the retiring machine for good, with its disk.
	lossLeaver = "the retiring one for good"
)

// lossCase is one change with one kind of loss.
type lossCase struct {
	change, loss string
	// seats is the size of a group; more than three bear two losses.
	seats int
}

func (c lossCase) String() string {
	return fmt.Sprintf("%s, groups of %d, %s", c.change, c.seats, c.loss)
}

// lossCases are all cases of groups of a size within what those are to bear.
func lossCases(seats int) (list []lossCase) {
	for _, change := range []string{changeReplacement, changeAddition, changePlanned, changeRetirement} {
		for _, loss := range []string{lossKill, lossPower, lossWipe, lossLeaver} {
			c := lossCase{change: change, loss: loss, seats: seats}
			leaves := change == changePlanned || change == changeRetirement
			if loss == lossLeaver && !leaves || c.losses() == 0 {
				continue
			}
			list = append(list, c)
		}
	}
	return list
}

// losses is how many machines are lost at once: as many as may be while the
// change is under way. A machine that is replaced is lost already; only its
// disk's loss counts against what acknowledged data bear.
func (c lossCase) losses() int {
	borne := c.seats / 2
	if c.change == changeReplacement && c.loss == lossWipe {
		return borne - 1
	}
	if c.change == changeReplacement || c.loss == lossLeaver {
		return 1
	}
	return borne
}

// cores is how many cores there are before the change.
func (c lossCase) cores() int {
	if c.change == changeRetirement {
		return c.seats + 1
	}
	return c.seats
}

// Bounds of the scenario secondloss.
const (
	// lossStarting is how long the fleet has to be founded.
	lossStarting = 3500 * time.Millisecond
	// lossAway is how long a lost machine is away.
	lossAway = 700 * time.Millisecond
	// changeLongest is after what time a change that did not come to its end is
	// given up.
	changeLongest = 12 * time.Second
	// lossPatience is short, as desks lose their power too.
	lossPatience = time.Second
	// lossStride is by how many points the losses of one seed are apart.
	lossStride = 40
)

func secondLossParams(seed uint64) Params {
	p := Defaults(seed)
	p.Desks, p.Nodes = 2, 0
	p.Faults, p.Closing = false, ""
	return p
}

// playSecondLoss takes the seed's case of groups of a size, and loses machines at
// every so manieth point of its change, from an offset on that the seed tells
// too. As many seeds as there are cases, times lossStride, are all points.
func playSecondLoss(seats int) func(w *World) *Findings {
	return func(w *World) *Findings {
		cases := lossCases(seats)
		seed := w.Params.Seed
		c := cases[seed%uint64(len(cases))]
		return sweepLosses(w.Params, c, int(seed)/len(cases)%lossStride, lossStride)
	}
}

// sweepLosses counts the points of a case's change, and runs it once for each of
// those that are chosen, with the loss there.
func sweepLosses(p Params, c lossCase, offset, stride int) *Findings {
	sum := newFindings(New(p))
	p.Seed = uint64(c.seats)
	p.Cores, p.Seats = c.cores(), c.seats
	first := newLossRun(p, c, 0)
	first.play()
	first.collect(sum)
	for at := 1 + offset; at <= first.points; at += stride {
		run := newLossRun(p, c, at)
		run.play()
		run.collect(sum)
	}
	sum.Counts["runs with a loss, of "+fmt.Sprint(first.points)+" points of a "+c.String()] = int64((first.points - offset + stride - 1) / stride)
	return sum
}

// lossRun is one run of a case, with the loss at one point; zero: none.
type lossRun struct {
	lossCase
	world    *World
	findings *Findings
	book     *orderBook
	turns    *turnBook
	at       int

	// points counts the deliveries and syncs at cores while the change is under
	// way.
	points   int
	counting bool
	goes     *store
	comes    *store
	lost     map[*store]time.Duration
	back     time.Duration
	doneAt   time.Duration
}

func newLossRun(p Params, c lossCase, at int) *lossRun {
	w := New(p)
	f := newFindings(w)
	r := &lossRun{lossCase: c, world: w, findings: f, book: newOrderBook(w, f), at: at, lost: map[*store]time.Duration{}}
	r.book.patience = lossPatience
	w.watch.delivered = func(from string, to *process, body any) { r.point(to) }
	w.watch.synced = func(p *process, batches [][]core.Change) { r.point(p) }
	return r
}

func (r *lossRun) play() {
	w := r.world
	w.Record.End = time.Hour
	w.boot()
	w.after(time.Second, r.book.found)
	w.run(lossStarting)
	r.turns = newTurnBook(w, r.findings)
	r.turns.keep(15 * time.Millisecond)
	o := &orderer{book: r.book, amends: 0.5, over: func() bool { return r.turns.over }, pause: func() time.Duration { return 200 * time.Millisecond }}
	o.run()
	w.Pass(time.Second)
	r.begin()
	r.untilDone()
	r.turns.over = true
	w.Pass(time.Second)
	r.turns.readAll(patience)
	w.finish(r.book)
}

// begin begins the change.
func (r *lossRun) begin() {
	w := r.world
	r.counting = true
	switch r.change {
	case changeReplacement:
		r.goes = w.stores[len(w.stores)-1]
		r.goes.gone = true
		r.lost[r.goes] = -1
		for _, p := range r.goes.processes() {
			p.powerOff()
			p.wipe()
		}
		w.after(lossAway, r.add)
	case changeAddition:
		r.add()
	case changePlanned:
		r.goes = w.stores[len(w.stores)-1]
		r.add()
		w.after(500*time.Millisecond, r.askRetire)
	case changeRetirement:
		r.goes = w.stores[len(w.stores)-1]
		r.askRetire()
	}
}

func (r *lossRun) add() {
	r.comes = r.world.addStore(false)
	r.comes.core.boot()
}

// askRetire asks for the retirement until it is taken, and then for its status
// until it is done.
func (r *lossRun) askRetire() {
	step := func(d Desk, now time.Duration, ticket uint64) desk.Output {
		return d.Retire(now, ticket, r.goes.core.id)
	}
	r.ask(callRetire, step, r.askRetire, func(e desk.RetirementStatus) bool { return e.Known && e.EnoughCores }, r.askDone)
}

func (r *lossRun) askDone() {
	step := func(d Desk, now time.Duration, ticket uint64) desk.Output {
		return d.RetirementStatus(now, ticket, r.goes.core.id)
	}
	r.ask(callStatus, step, r.askDone, func(e desk.RetirementStatus) bool { return e.Done }, r.retired)
}

func (r *lossRun) ask(kind string, step func(d Desk, now time.Duration, ticket uint64) desk.Output, again func(), good func(e desk.RetirementStatus) bool, next func()) {
	w := r.world
	at := w.anyDesk()
	if !at.alive {
		w.after(50*time.Millisecond, again)
		return
	}
	known := func(body any) bool { e, ok := body.(desk.RetirementStatus); return ok && !e.Uncertain }
	r.book.call(kind, at, step, known, func(body any) {
		e, ok := body.(desk.RetirementStatus)
		switch {
		case r.doneAt > 0:
		case ok && !e.Uncertain && good(e):
			next()
		default:
			w.after(100*time.Millisecond, again)
		}
	})
}

// retired is called when a desk says that the retirement is done. The machine
// goes at once; what was acknowledged must be elsewhere.
func (r *lossRun) retired() {
	w := r.world
	r.doneAt = w.now
	r.judgeSeats()
	r.judgeCopies()
	r.endGoes()
}

// endGoes ends the machine that goes, with its disk.
func (r *lossRun) endGoes() {
	for _, p := range r.goes.processes() {
		p.powerOff()
		p.wipe()
	}
	r.goes.gone = true
}

// judgeSeats wants no group to have the machine that goes.
func (r *lossRun) judgeSeats() {
	w := r.world
	for n := 0; n < w.parts(); n++ {
		owner := w.coreOf(n)
		if owner == nil {
			continue
		}
		group, _ := owner.core.core.Partition(n).CommittedGroup()
		for _, seat := range group.All() {
			if core.CoreID(seat) == r.goes.core.id {
				r.findings.breach(RuleRetired, "the retirement was said to be done at %v, and part %d has the group %v", w.now, n, group)
				return
			}
		}
	}
}

// judgeCopies wants what was acknowledged some time ago on the disks of a
// majority besides the machine that goes, but for those that are lost.
func (r *lossRun) judgeCopies() {
	w := r.world
	missing := 0
	for s, until := range r.lost {
		if s != r.goes && (until < 0 || w.now < until) {
			missing++
		}
	}
	want := max(1, r.seats/2+1-missing)
	for _, t := range r.turns.acked {
		copies := 0
		for _, s := range w.present() {
			if s != r.goes {
				if _, ok := s.core.disk.stored.Replicas[t.part].Entries[t.key()]; ok {
					copies++
				}
			}
		}
		if copies < want {
			r.findings.breach(RuleRetired, "%s: the retirement was said to be done at %v, and %s, acknowledged at %v, is on %d other disks", r, w.now, t.attempt, t.at, copies)
			return
		}
	}
}

// point counts a delivery or a sync at a core, and brings the loss about where
// it is the one.
func (r *lossRun) point(p *process) {
	if !r.counting || p.disk == nil {
		return
	}
	if r.points++; r.points == r.at {
		r.lose(p)
	}
}

// lose loses the machine of a process, and others besides it as far as groups
// bear it.
func (r *lossRun) lose(p *process) {
	w := r.world
	var victims []*store
	for _, s := range w.present() {
		if s.core == p {
			victims = append(victims, s)
		}
	}
	if r.loss == lossLeaver {
		victims = victims[:0]
		if !r.goes.gone {
			victims = append(victims, r.goes)
		}
	}
	for _, i := range w.random.Perm(len(w.stores)) {
		if s := w.stores[i]; len(victims) < r.losses() && !s.gone && s.core.alive && (len(victims) == 0 || victims[0] != s) {
			victims = append(victims, s)
		}
	}
	for _, s := range victims {
		r.harm(s)
	}
}

func (r *lossRun) harm(s *store) {
	w := r.world
	w.logf("point %d: %s lost: %s", r.at, s.core.id, r.loss)
	r.lost[s] = w.now + lossAway + catchUp
	r.back = w.now + lossAway
	if r.loss == lossLeaver {
		r.endGoes()
		r.back = w.now
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
			if !s.gone {
				p.boot()
			}
		})
	}
}

// untilDone waits until the change is over and groups are whole, and judges
// whether that was in time.
func (r *lossRun) untilDone() {
	w := r.world
	began := w.now
	lacks := ""
	for w.now < began+changeLongest {
		w.Pass(50 * time.Millisecond)
		if lacks = r.lacks(); lacks == "" {
			break
		}
	}
	r.counting = false
	since := max(r.back, began+lossAway)
	if lacks == "" && w.now > since+catchUp {
		lacks = "whole only now"
	}
	switch {
	case lacks != "":
		r.findings.breach(RuleRestored, "at %v, %v after the change began and %v after all that comes back was there: %s", w.now, w.now-began, w.now-since, lacks)
	case r.at == 0:
		r.findings.span("without a loss: "+r.change+fmt.Sprintf(", groups of %d", r.seats), w.now-began)
	default:
		r.findings.span("groups whole after the loss: "+r.String(), max(0, w.now-r.back))
	}
}

// lacks tells what is not as it should be after the change; empty: nothing.
func (r *lossRun) lacks() string {
	leaves := r.change == changePlanned || r.change == changeRetirement
	if leaves && r.doneAt == 0 {
		return "the retirement is not done"
	}
	if r.comes != nil && !r.comes.core.alive || r.change == changeReplacement && r.comes == nil {
		return "the new core does not run"
	}
	if missing := r.world.partsLack(); missing != "" {
		return missing
	}
	return r.world.placementLacks()
}

// collect adds the run's findings to a sum.
func (r *lossRun) collect(sum *Findings) {
	for _, b := range r.findings.Breaches {
		b.Text = fmt.Sprintf("%s, point %d of %d: %s", r.String(), r.at, r.points, b.Text)
		sum.Breaches = append(sum.Breaches, b)
	}
	for what, list := range r.findings.Spans {
		sum.Spans[what] = append(sum.Spans[what], list...)
	}
	sum.Counts["turns acknowledged"] += int64(len(r.turns.acked))
	sum.Counts["orders acknowledged"] += int64(len(r.book.acked))
}
