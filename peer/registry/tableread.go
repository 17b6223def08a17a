package registry

import (
	"time"

	"saffronfall/peer/core"
)

// maxTableReads is how many reads of the table are under way at the cores at once.
const maxTableReads = 2

// tableReads are the reads of the table for operators. Those that come while maxTableReads are under way
// share one that starts afterwards, so that each sees all that was acknowledged before it came.
type tableReads struct {
	underWay int
	waiting  []uint64 // tickets
}

// Read reads the current table from the cores, never from this registry's copy. The ticket is
// answered with a core.CurrentTable; its number is zero if the cores did not answer.
func (m *Machine) Read(now time.Duration, ticket uint64) Output {
	m.out = &Output{}
	m.addPending(now, ticket, core.CurrentTable{})
	if m.tableReads.underWay >= maxTableReads {
		m.tableReads.waiting = append(m.tableReads.waiting, ticket)
		return *m.out
	}
	m.startTableRead(now, []uint64{ticket})
	return *m.out
}

func (m *Machine) startTableRead(now time.Duration, tickets []uint64) {
	m.tableReads.underWay++
	m.caller.Call(now, core.ReadTable{}, now+m.params.OperationTimeout, func(now time.Duration, outcome core.Outcome) {
		m.tableReads.underWay--
		table, _ := outcome.Answer.(core.CurrentTable)
		for _, ticket := range tickets {
			m.resolve(ticket, table)
		}
		m.startWaitingRead(now)
	})
}

// startWaitingRead starts a read for those that have waited and are not answered yet.
func (m *Machine) startWaitingRead(now time.Duration) {
	var tickets []uint64
	for _, ticket := range m.tableReads.waiting {
		if _, isPending := m.pending[ticket]; isPending {
			tickets = append(tickets, ticket)
		}
	}
	m.tableReads.waiting = nil
	if len(tickets) > 0 {
		m.startTableRead(now, tickets)
	}
}
