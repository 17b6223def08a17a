package registry

import (
	"slices"
	"time"

	"saffronfall/peer/core"
)

// RetirementStatus reports how far the retirement of a core is.
type RetirementStatus struct {
	// Uncertain is set if the cores did not answer.
	Uncertain bool `json:"unsure"`
	// Known is set if a core has this id, EnoughCores if enough other cores remain.
	Known       bool `json:"known"`
	EnoughCores bool `json:"enough"`
	// Done is set if the core is retired and a member of no group.
	Done bool `json:"done"`
}

// Retire starts the retirement of a core, which then joins no further groups. The ticket
// is answered with a RetirementStatus.
func (m *Machine) Retire(now time.Duration, ticket uint64, id string) Output {
	m.out = &Output{}
	m.addPending(now, ticket, RetirementStatus{Uncertain: true})
	m.caller.Call(now, core.RetireCore{ID: id}, now+m.params.OperationTimeout, func(now time.Duration, outcome core.Outcome) {
		retiring, ok := outcome.Answer.(core.RetireCoreResult)
		m.resolve(ticket, RetirementStatus{Uncertain: !ok, Known: retiring.Found, EnoughCores: retiring.EnoughRemain})
	})
	return *m.out
}

// RetirementStatus reads from every partition whether a core is still a member of its current
// or former group. The ticket is answered with a RetirementStatus.
func (m *Machine) RetirementStatus(now time.Duration, ticket uint64, id string) Output {
	m.out = &Output{}
	remaining, uncertain, hasMember := len(m.topology.Leaders), false, false
	if remaining == 0 {
		m.addAnswer(ticket, RetirementStatus{Uncertain: true})
		return *m.out
	}
	m.addPending(now, ticket, RetirementStatus{Uncertain: true})
	for n := range m.topology.Leaders {
		m.caller.Call(now, core.ReadGroup{Partition: n}, now+m.params.OperationTimeout, func(now time.Duration, outcome core.Outcome) {
			members, ok := outcome.Answer.(core.GroupMembers)
			uncertain = uncertain || !ok
			for _, member := range append(slices.Clone(members.Members), members.Former...) {
				hasMember = hasMember || core.CoreID(member) == id
			}
			if remaining--; remaining == 0 {
				known, ok := m.topology.Cores[id]
				m.resolve(ticket, RetirementStatus{Uncertain: uncertain, Known: ok, Done: !uncertain && !hasMember && known.Retired})
			}
		})
	}
	return *m.out
}
