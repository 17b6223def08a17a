package modelcheck

// threeMembers is the group of most scenarios; spare is a process outside it.
var threeMembers = []string{"a", "b", "c"}

const spare = "d"

func electedByAll(w *World) { w.elect("a", "b", "c") }

// nearLeaseEnd elects a leader whose lease expires after one more quantum. A
// candidate may follow after two.
func nearLeaseEnd(w *World) {
	w.elect("c", "a", "b")
	w.advance(1)
}

// withAcceptedOrder elects a leader and has one order accepted by all members.
func withAcceptedOrder(w *World) {
	electedByAll(w)
	w.commitOrder("a", 0, "b", "c", spare)
}

// Scenarios returns new instances of all scenarios.
func Scenarios() []*Scenario {
	return addFiveMemberScenarios([]*Scenario{
		ordersScenario(),
		againScenario(),
		replaceScenario(),
		leaveScenario(),
		catchupScenario(),
		readScenario(),
		cutScenario(),
		renewalScenario(),
		restartScenario(),
		promiseScenario(),
		powerScenario(),
		candidateScenario(),
		unsyncedScenario(),
		leftoverScenario(),
		refusalScenario(),
	})
}

// Find returns the scenario with a name.
func Find(name string) (*Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return nil, false
}

// ordersScenario: two leaders receive two orders based on one version.
func ordersScenario() *Scenario {
	return &Scenario{
		Name:            "orders",
		Description:     "two leaders and two orders based on one version",
		Members:         threeMembers,
		Orders:          []Order{{0, 1, "x"}, {0, 1, "y"}},
		Bounds:          Bounds{Delays: 1, Advances: 3, Reboots: 2, Attempts: 1},
		Interchangeable: []string{"a", "b"},
		Depth:           9,
		setup:           nearLeaseEnd,
	}
}

// againScenario: an order is retried through another member after its answer was
// lost.
func againScenario() *Scenario {
	return &Scenario{
		Name:            "again",
		Description:     "an order sent again through another member after its answer was lost",
		Members:         threeMembers,
		Orders:          []Order{{0, 1, "x"}, {0, 1, "y"}},
		Bounds:          Bounds{Delays: 1, Advances: 3, Crashes: 1, Duplicates: 1, Attempts: 2},
		Interchangeable: []string{"a", "b"},
		Depth:           9,
		setup:           nearLeaseEnd,
	}
}

// replaceScenario: a member is replaced, and a second one is lost at any step.
func replaceScenario() *Scenario {
	return &Scenario{
		Name:        "replace",
		Description: "replacement of a member, then a second loss, at every step of it",
		Members:     threeMembers,
		Spares:      []string{spare},
		Orders:      []Order{{0, 1, "x"}, {1, 2, "y"}},
		Changes:     []Change{{Add: spare, Remove: "c"}},
		Bounds:      Bounds{Delays: 1, Advances: 1, Losses: 2, Attempts: 1},
		Depth:       9,
		setup:       withAcceptedOrder,
	}
}

// leaveScenario: the leader leaves while one follower holds the only other complete
// copy.
func leaveScenario() *Scenario {
	return &Scenario{
		Name:        "leave",
		Description: "a member that leaves while holding the only complete copy besides the leader's, at every step",
		Members:     threeMembers,
		Spares:      []string{spare},
		Orders:      []Order{{0, 1, "x"}, {1, 2, "y"}},
		Changes:     []Change{{Add: spare, Remove: "a"}},
		Bounds:      Bounds{Delays: 1, Advances: 1, Losses: 1, Leaves: 1, Attempts: 1},
		Depth:       9,
		setup: func(w *World) {
			electedByAll(w)
			w.commitOrder("a", 0, "b")
		},
	}
}

// catchupScenario: a member that missed orders restarts, catches up during new
// orders, and leads.
func catchupScenario() *Scenario {
	return &Scenario{
		Name:        "catchup",
		Description: "a member that missed orders restarts, catches up while orders come, and leads",
		Members:     threeMembers,
		Orders:      []Order{{0, 1, "x"}, {1, 2, "y"}},
		Bounds:      Bounds{Delays: 1, Advances: 3, Reboots: 1, Crashes: 1, Attempts: 1},
		Depth:       9,
		setup: func(w *World) {
			w.elect("c", "a", "b")
			w.commitOrder("c", 0, "b")
			w.advance(1)
		},
	}
}

// readScenario: a lease read races with a successor's write while clocks drift.
func readScenario() *Scenario {
	return &Scenario{
		Name:        "read",
		Description: "a lease read against a successor's write, with clocks that drift",
		Members:     threeMembers,
		Orders:      []Order{{0, 1, "x"}, {1, 2, "y"}},
		Bounds:      Bounds{Advances: 3, Skews: 2, Attempts: 1, Reads: true},
		Depth:       9,
		setup: func(w *World) {
			w.elect("c", "a", "b")
			w.commitOrder("c", 0, "a", "b")
			w.advance(1)
		},
	}
}

// cutScenario: a member that does not receive the leader's renewals stands for
// election.
func cutScenario() *Scenario {
	return &Scenario{
		Name:        "cut",
		Description: "a member that the leader's renewals do not reach stands for election",
		Members:     threeMembers,
		Orders:      []Order{{0, 1, "x"}, {1, 2, "y"}},
		Bounds:      Bounds{Advances: 2, Reboots: 1, Attempts: 1},
		Depth:       8,
		setup: func(w *World) {
			w.elect("c", "a", "b")
			w.commitOrder("c", 0, "a", "b")
			for range 2 {
				w.advance(1)
				w.tick("c")
				w.deliverAmong("c", "b")
			}
			w.advance(1)
		},
	}
}

// renewalScenario: the answers to the leader's renewals are delayed.
func renewalScenario() *Scenario {
	return &Scenario{
		Name:        "renewal",
		Description: "the leader's renewals are answered, and the answers come late",
		Members:     threeMembers,
		Orders:      []Order{{0, 1, "x"}},
		Bounds:      Bounds{Advances: 2, Delays: 1},
		Depth:       9,
		setup: func(w *World) {
			w.elect("c", "a", "b")
			w.commitOrder("c", 0, "a", "b")
			w.advance(1)
			w.tick("c")
			w.deliverFirst("c", "a", "Renew")
			w.deliverFirst("c", "b", "Renew")
			w.advance(2)
		},
	}
}

// restartScenario: members that renewed the leader's lease restart.
func restartScenario() *Scenario {
	return &Scenario{
		Name:        "restart",
		Description: "members that renewed the leader's lease restart",
		Members:     threeMembers,
		Orders:      []Order{{0, 1, "x"}},
		Bounds:      Bounds{Advances: 2, Reboots: 2},
		Depth:       9,
		setup: func(w *World) {
			w.elect("c", "a", "b")
			w.commitOrder("c", 0, "a", "b")
		},
	}
}

// promiseScenario: a candidate gets promises while the leader's write is in flight,
// and power fails.
func promiseScenario() *Scenario {
	return &Scenario{
		Name:        "promise",
		Description: "a candidate is promised its term while the leader's write is in flight, and power is lost",
		Members:     threeMembers,
		Orders:      []Order{{0, 1, "x"}, {1, 2, "y"}},
		Bounds:      Bounds{Reboots: 1, Delays: 1},
		SlowDisks:   []string{"a", "b"},
		Depth:       11,
		setup: func(w *World) {
			w.elect("c", "a", "b")
			w.commitOrder("c", 0, "a", "b")
			w.propose("c", 1)
			w.dropMessagesTo("a")
			w.advance(3)
			w.tick("a")
		},
	}
}

// powerScenario: power fails while records are not synced.
func powerScenario() *Scenario {
	return &Scenario{
		Name:            "power",
		Description:     "power is lost while records are not synced",
		Members:         threeMembers,
		Orders:          []Order{{0, 1, "x"}, {0, 1, "y"}},
		Bounds:          Bounds{Delays: 1, Advances: 3, Reboots: 2, Attempts: 1},
		SlowDisks:       threeMembers,
		Interchangeable: []string{"b", "c"},
		Depth:           8,
		setup:           electedByAll,
	}
}

// candidateScenario: a candidate renews the leader's lease during its own election,
// and restarts.
func candidateScenario() *Scenario {
	return &Scenario{
		Name:        "candidate",
		Description: "a candidate renews the leader's lease during its own election, and restarts",
		Members:     threeMembers,
		Orders:      []Order{{0, 1, "x"}, {1, 2, "y"}},
		Bounds:      Bounds{Delays: 1, Advances: 1, Reboots: 1},
		Depth:       8,
		setup: func(w *World) {
			w.elect("c", "a", "b")
			w.commitOrder("c", 0, "a", "b")
			// Renewals reach b; then they are in flight to a alone.
			w.advance(1)
			w.tick("c")
			w.deliverAmong("c", "b")
			w.advance(1)
			w.tick("c")
			w.dropMessagesTo("b")
			w.advance(1)
			w.tick("a")
			// During a's election, this renewal and the next one reach a.
			w.deliverFirst("c", "a", "Renew")
			w.deliverFirst("a", "c", "Renewed")
			w.tick("c")
			w.deliverFirst("c", "a", "Renew")
			w.deliverFirst("a", "c", "Renewed")
		},
	}
}

// unsyncedScenario: a member that missed the leader's first write accepts it late,
// renews the lease, and loses power.
func unsyncedScenario() *Scenario {
	return &Scenario{
		Name:        "unsynced",
		Description: "a member that missed the leader's first write accepts it late, renews, and loses power",
		Members:     threeMembers,
		Orders:      []Order{{0, 1, "x"}, {1, 2, "y"}},
		Bounds:      Bounds{Advances: 1, Reboots: 1},
		SlowDisks:   []string{"a"},
		Depth:       12,
		setup: func(w *World) {
			w.elect("a", "b", "c")
			w.commitOrder("a", 0, "b", "c")
			w.advance(4)
			w.elect("c", "b")
			w.advance(1)
			w.mutableProcess("a").slow = true
			// The renewal shows the leader that a missed its first write. Then a
			// accepts that write, which is not synced at the next renewals.
			w.tick("c")
			w.deliverAmong("a", "b", "c")
			for range 2 {
				w.advance(1)
				w.tick("c")
				w.deliverAmong("a", "c")
			}
		},
	}
}

// leftoverScenario: an order that only its leader accepted is left over when another
// leader serves.
func leftoverScenario() *Scenario {
	return &Scenario{
		Name:        "leftover",
		Description: "an order that only its leader accepted is left over when another leader serves",
		Members:     threeMembers,
		Orders:      []Order{{0, 1, "x"}, {0, 1, "y"}},
		Bounds:      Bounds{Advances: 1, Reboots: 1, Attempts: 2, Delays: 1},
		Depth:       8,
		setup:       withLeftoverOrder,
	}
}

// refusalScenario: an order that only its leader accepted is refused by the next
// leader.
func refusalScenario() *Scenario {
	return &Scenario{
		Name:        "refusal",
		Description: "an order that only its leader accepted is refused by the next leader",
		Members:     threeMembers,
		Orders:      []Order{{0, 1, "x"}, {0, 2, "y"}},
		Bounds:      Bounds{Delays: 1, Advances: 1, Reboots: 1, Attempts: 2},
		Depth:       7,
		setup:       withLeftoverOrder,
	}
}

// withLeftoverOrder leaves an order in the former leader's replica only, with its
// writes still in flight, while another leader serves.
func withLeftoverOrder(w *World) {
	electedByAll(w)
	w.propose("a", 0)
	late := w.network
	w.network = nil
	w.advance(4)
	w.elect("b", "c")
	w.network = late
}
