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
	Name, Description string
	Members, Spares   []string
	Orders            []Order
	Changes           []Change
	Bounds            Bounds
	// SlowDisks are the members whose syncs are steps of their own.
	SlowDisks []string
	// LateReads judges a read as if it had come when it was answered; only tests
	// of the checker set it.
	LateReads bool
	// Alike are the members that may be exchanged by name.
	Interchangeable []string
	Depth           int

	// companions take part in every settling of the setup.
	setupFollowers []string
	setup          func(*World)
	renamings      []map[string]string
	recoveryCache  recoveryCache
}

// Start is the scenario's first state.
func (s *Scenario) Start() *World {
	s.renamings = renamings(s.Interchangeable)
	s.recoveryCache.known = map[digest]recovery{}
	w := newWorld(s)
	for i := range w.processes {
		w.copied[i] = true
	}
	s.setup(w)
	w.copied, w.usage = map[int]bool{}, usage{Attempts: w.usage.Attempts}
	for _, p := range w.processes {
		p.digests = nil
		p.slow = p.slow || slices.Contains(s.SlowDisks, p.member)
	}
	w.checkState()
	w.checkDisks()
	return w
}

// renamings are all ways to exchange some seats' names. The first one changes
// nothing, and is nil where there is no other.
func renamings(interchangeable []string) []map[string]string {
	if len(interchangeable) < 2 {
		return []map[string]string{nil}
	}
	var all []map[string]string
	permute(slices.Clone(interchangeable), 0, func(names []string) {
		renaming := map[string]string{}
		for i, member := range interchangeable {
			renaming[member] = names[i]
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
func (w *World) elect(member string, voters ...string) {
	for range recoverySteps {
		p := w.mutableProcess(member)
		if p.leads(w.now) {
			return
		}
		w.advance(1)
		w.perform(p, p.machine.Tick(w.now))
		w.deliverAmong(append(voters, member)...)
	}
	panic("modelcheck: " + member + " did not come to own the part")
}

// settleAmong delivers messages among some seats and loses all others.
func (w *World) deliverAmong(memberNames ...string) {
	memberNames = append(slices.Clone(memberNames), w.scenario.setupFollowers...)
	for len(w.network) > 0 {
		msg := w.network[0].packet
		w.network = w.network[1:]
		if p := w.mutableProcess(msg.To); slices.Contains(memberNames, msg.To) && slices.Contains(memberNames, msg.From) && p.machine != nil {
			w.perform(p, p.machine.Receive(w.now+p.skew, msg.From, msg.Body))
		}
	}
}

// propose hands an order to an owner in a setup; its messages stay in flight.
func (w *World) propose(member string, n int) {
	p := w.mutableProcess(member)
	w.perform(p, p.machine.Propose(w.now, w.orderRequestID(n), w.scenario.Orders[n]))
}

// order hands an order to an owner in a setup, and some others take it.
func (w *World) commitOrder(member string, n int, takers ...string) {
	w.propose(member, n)
	w.deliverAmong(append(takers, member)...)
}

// bring delivers the first message of a kind on its way between two seats.
func (w *World) deliverFirst(from, to, kind string) {
	for i, f := range w.network {
		if f.packet.From == from && f.packet.To == to && f.packet.kind() == kind {
			w.network = append(w.network[:i:i], w.network[i+1:]...)
			p := w.mutableProcess(to)
			w.perform(p, p.machine.Receive(w.now+p.skew, from, f.packet.Body))
			return
		}
	}
	panic("modelcheck: no " + kind + " is on its way from " + from + " to " + to)
}

// tick lets a process look at its clock in a setup; its messages stay in flight.
func (w *World) tick(member string) {
	p := w.mutableProcess(member)
	w.perform(p, p.machine.Tick(w.now+p.skew))
}
