package relay

import (
	"time"

	"saffronfall/peer/desk"
	"saffronfall/rule/invariant"
	"saffronfall/rule/route"
)

// routing is what a node knows of the routing table.
type tableState struct {
	table   *route.Table
	pending *route.Table
	// digest is what the pending table is known by. wantWhole is set when a
	// difference did not fit it.
	digest   string
	wantFull bool
	// confirmed is as of when the table in force was the newest.
	confirmedAt time.Duration
	tenants     map[string]*route.Tenant
	// none is set once a desk has said that no table was agreed yet.
	noTableAgreed bool
}

// staleBeats is after how many beats without a word that the table in force is
// the newest a node is no longer sure of it.
const staleHeartbeats = 2

// sure reports whether what the table in force does not know is unknown.
func (m *Machine) tableFresh(now time.Duration) bool {
	return now <= m.confirmedAt+staleHeartbeats*m.params.HeartbeatInterval
}

// learnTable takes a newer table, from its text or from what changed since the
// one that this node has. It is in force once it is installed.
func (m *Machine) updateTable(now time.Duration, b desk.Bulletin) {
	if b.Table != nil {
		m.wantFull = false
		m.parseTable(b)
	}
	for _, difference := range b.Differences {
		if m.pending == nil || difference.BaseNumber != m.pending.Number {
			// Another desk told of other tables between. What this node says next of
			// the table that it has sets this desk right.
			continue
		}
		next, ok := difference.Apply(m.pending, m.digest)
		if !ok {
			m.Counters.BadDifferences++
			m.wantFull, m.followAt = true, now
			return
		}
		m.pending, m.digest = next, difference.Digest
	}
}

// learnText takes a newer table from its text. Each desk sends it to a node that
// has none; it is parsed once.
func (m *Machine) parseTable(b desk.Bulletin) {
	if m.pending != nil && b.Number <= m.pending.Number {
		return
	}
	if t, faults := route.Parse(b.Table); faults == nil {
		m.pending, m.digest = t, b.Digest
	}
}

func (m *Machine) installTable(now time.Duration) {
	if m.table != nil && m.pending.Number < m.table.Number {
		m.violated.Violated(invariant.TableNeverOlder, "table %d would replace %d", m.pending.Number, m.table.Number)
	}
	m.table = m.pending
	m.tenants = map[string]*route.Tenant{}
	for i := range m.table.Tenants {
		m.tenants[m.table.Tenants[i].Name] = &m.table.Tenants[i]
	}
	for _, tr := range m.rates {
		tr.drawWanted, tr.retryAt = true, 0
	}
	early := m.awaitingTable
	m.awaitingTable = nil
	for _, req := range early {
		if !req.completed {
			m.validate(now, req)
		}
	}
}

// Number is the table in force here.
func (m *Machine) TableNumber() uint64 {
	if m.table == nil {
		return 0
	}
	return m.table.Number
}

// refuseUnknown refuses what the table in force does not know. A node that is
// no longer sure of its table leaves that word to others, as a newer table may
// know it.
func (m *Machine) refuseUnknown(now time.Duration, req *activeRequest, cause Cause) {
	if !m.tableFresh(now) {
		cause = CauseTableUncertain
	}
	m.refuse(now, req, cause)
}
