package modelcheck

import "slices"

// Change is a change of members: one comes, one goes.
type Change struct{ Add, Remove string }

// Bounds are how often each thing may happen in a scenario, after its setup.
type Bounds struct {
	Advances, Reboots, Crashes, Losses, Duplicates, Skews, Leaves int
	// Delays is how often an answer may stay in flight after what it answers.
	Delays int
	// Attempts is how often each order may be proposed.
	Attempts int
	// Reads: reads may be begun and answered in two steps.
	Reads bool
}

// Scenario is a start and the bounds of what may come after it.
type Scenario struct {
	Name, About     string
	Members, Spares []string
	Orders          []Order
	Changes         []Change
	Bounds          Bounds
	// SlowDisks are the members whose syncs are steps of their own.
	SlowDisks []string
	// LateReads judges a read as if it had come when it was answered; only tests
	// of the checker set it.
	LateReads bool
	// Alike are the members that may be exchanged by name.
	Alike []string
	Depth int

	// companions take part in every settling of the setup.
	companions []string
	setup      func(*World)
	renamings  []map[string]string
	recoveries recoveries
}

// Start is the scenario's first state.
func (s *Scenario) Start() *World {
	s.renamings = renamings(s.Alike)
	s.recoveries.known = map[digest]recovery{}
	w := newWorld(s)
	for i := range w.processes {
		w.touched[i] = true
	}
	s.setup(w)
	w.touched, w.spent = map[int]bool{}, spent{Attempts: w.spent.Attempts}
	for _, p := range w.processes {
		p.digests = nil
		p.slow = p.slow || slices.Contains(s.SlowDisks, p.seat)
	}
	w.judge()
	w.judgeDisks()
	return w
}

// renamings are all ways to exchange some seats' names. The first one changes
// nothing, and is nil where there is no other.
func renamings(alike []string) []map[string]string {
	if len(alike) < 2 {
		return []map[string]string{nil}
	}
	var all []map[string]string
	permute(slices.Clone(alike), 0, func(names []string) {
		renaming := map[string]string{}
		for i, seat := range alike {
			renaming[seat] = names[i]
		}
		all = append(all, renaming)
	})
	return all
}

func permute(names []string, from int, visit func([]string)) {
	if from == len(names) {
		visit(names)
		return
	}
	for i := from; i < len(names); i++ {
		names[from], names[i] = names[i], names[from]
		permute(names, from+1, visit)
		names[from], names[i] = names[i], names[from]
	}
}

// elect makes a seat the owner, with the votes of the given others alone: what
// is sent to anybody else is lost.
func (w *World) elect(seat string, voters ...string) {
	for range recoverySteps {
		p := w.touch(seat)
		if p.owns(w.now) {
			return
		}
		w.pass(1)
		w.take(p, p.machine.Tick(w.now))
		w.settleAmong(append(voters, seat)...)
	}
	panic("modelcheck: " + seat + " did not come to own the part")
}

// settleAmong delivers messages among some seats and loses all others.
func (w *World) settleAmong(seats ...string) {
	seats = append(slices.Clone(seats), w.scenario.companions...)
	for len(w.network) > 0 {
		one := w.network[0].packet
		w.network = w.network[1:]
		if p := w.touch(one.To); slices.Contains(seats, one.To) && slices.Contains(seats, one.From) && p.machine != nil {
			w.take(p, p.machine.Receive(w.now+p.skew, one.From, one.Body))
		}
	}
}

// propose hands an order to an owner in a setup; its messages stay in flight.
func (w *World) propose(seat string, n int) {
	p := w.touch(seat)
	w.take(p, p.machine.Propose(w.now, w.orderTicket(n), w.scenario.Orders[n]))
}

// order hands an order to an owner in a setup, and some others take it.
func (w *World) order(seat string, n int, takers ...string) {
	w.propose(seat, n)
	w.settleAmong(append(takers, seat)...)
}

// bring delivers the first message of a kind on its way between two seats.
func (w *World) bring(from, to, kind string) {
	for i, f := range w.network {
		if f.packet.From == from && f.packet.To == to && f.packet.kind() == kind {
			w.network = append(w.network[:i:i], w.network[i+1:]...)
			p := w.touch(to)
			w.take(p, p.machine.Receive(w.now+p.skew, from, f.packet.Body))
			return
		}
	}
	panic("modelcheck: no " + kind + " is on its way from " + from + " to " + to)
}

// tick lets a process look at its clock in a setup; its messages stay in flight.
func (w *World) tick(seat string) {
	p := w.touch(seat)
	w.take(p, p.machine.Tick(w.now+p.skew))
}
