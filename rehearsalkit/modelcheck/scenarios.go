package modelcheck

// threeMembers is the group of most scenarios; spare is outside it.
var threeMembers = []string{"a", "b", "c"}

const spare = "d"

func electedByAll(w *World) { w.elect("a", "b", "c") }

// nearLeaseEnd leaves one quantum of the leader's lease. A candidate may follow after two.
func nearLeaseEnd(w *World) {
	w.elect("c", "a", "b")
	w.advance(1)
}

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
			// Renewals reach b first; then they are in flight to a alone.
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
			// The renewal shows that a missed the first write. Then a accepts that write, which is
			// not synced at the next renewals.
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

// withLeftoverOrder leaves an order in the former leader's replica only, with its writes in flight.
func withLeftoverOrder(w *World) {
	electedByAll(w)
	w.propose("a", 0)
	late := w.network
	w.network = nil
	w.advance(4)
	w.elect("b", "c")
	w.network = late
}
