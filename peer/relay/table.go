package relay

import (
	"time"

	"saffronfall/peer/registry"
	"saffronfall/rule/invariant"
	"saffronfall/rule/route"
)

// tableState is the routing table in force and the newest one received, which is pending until it
// is installed.
type tableState struct {
	table   *route.Table
	pending *route.Table
	// digest is that of the pending table. needsFullTable: a difference did not apply to it.
	digest         string
	needsFullTable bool
	// confirmedAt is when the table in force was last known to be the newest.
	confirmedAt time.Duration
	tenants     map[string]*route.Tenant
	// noTableConfirmed: a registry has confirmed that there is no table yet.
	noTableConfirmed bool
	// unreadable counts the tables that were received and dropped.
	unreadable int64
}

// staleHeartbeats is the validity of a confirmation in heartbeat intervals.
const staleHeartbeats = 2

// tableFresh reports whether the table was recently confirmed, so that what it lacks doesn't exist.
func (m *Machine) tableFresh(now time.Duration) bool {
	return now <= m.confirmedAt+staleHeartbeats*m.params.HeartbeatInterval
}

// updateTable makes a newer table pending, from its text or from differences to the pending one.
func (m *Machine) updateTable(now time.Duration, update registry.Update) {
	if update.Table != nil || update.CompressedTable != nil {
		m.needsFullTable = false
		m.parseTable(update)
	}
	for _, difference := range update.Differences {
		if m.pending == nil || difference.BaseNumber != m.pending.Number {
			// The registry assumed another base. The next subscription states which table this node
			// has.
			continue
		}
		next, ok := difference.Apply(m.pending, m.digest)
		if !ok {
			m.Counters.BadDifferences++
			m.needsFullTable, m.nextUpdateRequest = true, now
			return
		}
		m.pending, m.digest = next, difference.Digest
	}
}

// parseTable parses a newer table once, as every registry sends it to a new node. One that
// this version cannot read is reported and dropped.
func (m *Machine) parseTable(update registry.Update) {
	if m.pending != nil && update.TableNumber <= m.pending.Number {
		return
	}
	text, err := update.TableText()
	if err != nil {
		m.Counters.BadMessages++
		return
	}
	parsed, faults := route.Parse(text)
	if faults != nil {
		m.unreadable++
		m.out.UnreadableTable = &registry.Refusal{Number: update.TableNumber, Faults: faults}
		return
	}
	m.pending, m.digest = parsed, update.TableDigest
}

func (m *Machine) installTable(now time.Duration) {
	if m.table != nil && m.pending.Number < m.table.Number {
		m.violated.Violated(invariant.TableNeverOlder, "table %d would replace the newer table %d", m.pending.Number, m.table.Number)
	}
	m.table = m.pending
	m.tenants = map[string]*route.Tenant{}
	for i := range m.table.Tenants {
		m.tenants[m.table.Tenants[i].Name] = &m.table.Tenants[i]
	}
	// The tenants' rates may have changed.
	for _, tr := range m.rates {
		tr.drawWanted, tr.retryAt = true, 0
	}
	waiting := m.awaitingTable
	m.awaitingTable = nil
	for _, req := range waiting {
		if !req.completed {
			m.validate(now, req)
		}
	}
}

// TableNumber returns the number of the table in force, or zero if there is none.
func (m *Machine) TableNumber() uint64 {
	if m.table == nil {
		return 0
	}
	return m.table.Number
}

// refuseUnknown refuses a request whose route or key the table lacks. If a newer table may have it,
// the requester is asked to retry.
func (m *Machine) refuseUnknown(now time.Duration, req *activeRequest, cause Cause) {
	if !m.tableFresh(now) {
		cause = CauseTableUncertain
	}
	m.refuse(now, req, cause)
}
