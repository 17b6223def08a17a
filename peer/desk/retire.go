package desk

import (
	"slices"
	"time"

	"saffronfall/peer/core"
)

// Emptied tells how far the emptying of a core is.
type Emptied struct {
	// Unsure: the cores gave no answer.
	Unsure bool `json:"unsure"`
	Known  bool `json:"known"`
	Enough bool `json:"enough"`
	Done   bool `json:"done"`
}

// Retire asks for a core to be emptied; it gets no seats any more.
func (m *Machine) Retire(now time.Duration, ticket uint64, id string) Output {
	m.out = &Output{}
	m.await(now, ticket, Emptied{Unsure: true})
	m.caller.Call(now, core.RetireCore{ID: id}, now+m.params.Within, func(now time.Duration, o core.Outcome) {
		r, ok := o.Answer.(core.RetireCoreResult)
		m.settle(ticket, Emptied{Unsure: !ok, Known: r.Found, Enough: r.EnoughRemain})
	})
	return *m.out
}

// Retired asks every part whether a core still has a seat there.
func (m *Machine) Retired(now time.Duration, ticket uint64, id string) Output {
	m.out = &Output{}
	waiting, unsure, held := len(m.topology.Leaders), false, false
	if waiting == 0 {
		m.answer(ticket, Emptied{Unsure: true})
		return *m.out
	}
	m.await(now, ticket, Emptied{Unsure: true})
	for n := range m.topology.Leaders {
		m.caller.Call(now, core.ReadGroup{Partition: n}, now+m.params.Within, func(now time.Duration, o core.Outcome) {
			seats, ok := o.Answer.(core.GroupMembers)
			unsure = unsure || !ok
			for _, seat := range append(slices.Clone(seats.Members), seats.Former...) {
				held = held || core.CoreID(seat) == id
			}
			if waiting--; waiting == 0 {
				known, ok := m.topology.Cores[id]
				m.settle(ticket, Emptied{Unsure: unsure, Known: ok, Done: !unsure && !held && known.Retired})
			}
		})
	}
	return *m.out
}
