package modelcheck

import "slices"

// Change adds one member and removes one.
type Change struct{ Add, Remove string }

// Bounds limit how often each kind of action may occur after the setup.
type Bounds struct {
	Advances, Reboots, Crashes, Losses, Duplicates, Skews, Leaves int
	// Delays limits how often an answer stays in flight after its request was delivered.
	Delays int
	// Attempts limits the proposals of each order.
	Attempts int
	// Reads allows reads whose arrival and execution are separate actions.
	Reads bool
}

// Scenario is an initial state and the bounds of the actions that follow.
type Scenario struct {
	Name, Description string
	Members, Spares   []string
	Orders            []Order
	Changes           []Change
	Bounds            Bounds
	// SlowDisks are the members whose syncs are actions of their own.
	SlowDisks []string
	// LateReads checks reads as of their answers. This is wrong on purpose, for tests.
	LateReads bool
	// Interchangeable members may be permuted without changing the scenario.
	Interchangeable []string
	Depth           int

	// setupFollowers receive all messages of the setup.
	setupFollowers []string
	setup          func(*World)
	renamings      []map[string]string
	recoveryCache  recoveryCache
}

// Start runs the setup and returns the scenario's initial state.
func (s *Scenario) Start() *World {
	s.renamings = renamings(s.Interchangeable)
	s.recoveryCache.recoveries = map[digest]recovery{}
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

// renamings returns all permutations, the identity first. A sole identity is nil.
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

// elect makes a member the leader with the voters' votes. Messages to others are lost.
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
	panic("modelcheck: " + member + " was not elected")
}

// deliverAmong delivers the messages between the given members and drops all others.
func (w *World) deliverAmong(members ...string) {
	members = append(slices.Clone(members), w.scenario.setupFollowers...)
	for len(w.network) > 0 {
		msg := w.network[0].packet
		w.network = w.network[1:]
		if p := w.mutableProcess(msg.To); slices.Contains(members, msg.To) && slices.Contains(members, msg.From) && p.machine != nil {
			w.perform(p, p.machine.Receive(w.now+p.skew, msg.From, msg.Body))
		}
	}
}

// propose leaves the messages of an order in flight.
func (w *World) propose(member string, n int) {
	p := w.mutableProcess(member)
	w.perform(p, p.machine.Propose(w.now, w.orderRequestID(n), w.scenario.Orders[n]))
}

func (w *World) commitOrder(member string, n int, acceptors ...string) {
	w.propose(member, n)
	w.deliverAmong(append(acceptors, member)...)
}

func (w *World) deliverFirst(from, to, kind string) {
	for i, f := range w.network {
		if f.packet.From == from && f.packet.To == to && f.packet.kind() == kind {
			w.network = append(w.network[:i:i], w.network[i+1:]...)
			p := w.mutableProcess(to)
			w.perform(p, p.machine.Receive(w.now+p.skew, from, f.packet.Body))
			return
		}
	}
	panic("modelcheck: no " + kind + " is in flight from " + from + " to " + to)
}

// tick leaves the messages of a tick in flight.
func (w *World) tick(member string) {
	p := w.mutableProcess(member)
	w.perform(p, p.machine.Tick(w.now+p.skew))
}
