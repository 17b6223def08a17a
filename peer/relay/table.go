package relay

import (
	"time"

	"saffronfall/peer/desk"
	"saffronfall/rule/invariant"
	"saffronfall/rule/route"
)

// routing is what a node knows of the routing table.
type routing struct {
	table   *route.Table
	pending *route.Table
	// digest is what the pending table is known by. wantWhole is set when a
	// difference did not fit it.
	digest    string
	wantWhole bool
	// confirmed is as of when the table in force was the newest.
	confirmed time.Duration
	tenants   map[string]*route.Tenant
	// none is set once a desk has said that no table was agreed yet.
	none bool
}

// staleBeats is after how many beats without a word that the table in force is
// the newest a node is no longer sure of it.
const staleBeats = 2

// sure reports whether what the table in force does not know is unknown.
func (m *Machine) sure(now time.Duration) bool {
	return now <= m.confirmed+staleBeats*m.params.Beat
}

// learnTable takes a newer table, from its text or from what changed since the
// one that this node has. It is in force once it is installed.
func (m *Machine) learnTable(now time.Duration, b desk.Update) {
	if b.Table != nil {
		m.wantWhole = false
		m.learnText(b)
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
			m.wantWhole, m.followAt = true, now
			return
		}
		m.pending, m.digest = next, difference.Digest
	}
}

// learnText takes a newer table from its text. Each desk sends it to a node that
// has none; it is parsed once.
func (m *Machine) learnText(b desk.Update) {
	if m.pending != nil && b.TableNumber <= m.pending.Number {
		return
	}
	if t, faults := route.Parse(b.Table); faults == nil {
		m.pending, m.digest = t, b.TableDigest
	}
}

func (m *Machine) install(now time.Duration) {
	if m.table != nil && m.pending.Number < m.table.Number {
		m.violated.Violated(invariant.TableNeverOlder, "table %d would replace %d", m.pending.Number, m.table.Number)
	}
	m.table = m.pending
	m.tenants = map[string]*route.Tenant{}
	for i := range m.table.Tenants {
		m.tenants[m.table.Tenants[i].Name] = &m.table.Tenants[i]
	}
	for _, p := range m.paces {
		p.wanted, p.retryAt = true, 0
	}
	early := m.early
	m.early = nil
	for _, w := range early {
		if !w.ended {
			m.enter(now, w)
		}
	}
}

// Number is the table in force here.
func (m *Machine) Number() uint64 {
	if m.table == nil {
		return 0
	}
	return m.table.Number
}

// refuseUnknown refuses what the table in force does not know. A node that is
// no longer sure of its table leaves that word to others, as a newer table may
// know it.
func (m *Machine) refuseUnknown(now time.Duration, w *way, cause Cause) {
	if !m.sure(now) {
		cause = CauseUnsureTable
	}
	m.refuse(now, w, cause)
}
