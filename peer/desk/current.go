package desk

import (
	"time"

	"saffronfall/rule/route"
)

// differencesKept is how many tables back a subscriber may be to be brought up to
// date by differences.
const maxDifferences = 16

// currentTable is the newest agreed table that a desk knows. A nil one is none.
type currentTable struct {
	parsed *route.Table
	digest string
	// text is the table as subscribers get it: without the text that it was
	// translated from, which only the operator reads back. It is made when it is
	// first asked for.
	text []byte
	// differences lead from earlier tables to this one, each to the next.
	differences []route.Difference
}

func (t *currentTable) number() uint64 {
	if t == nil {
		return 0
	}
	return t.parsed.Number
}

func (t *currentTable) digestOrEmpty() string {
	if t == nil {
		return ""
	}
	return t.digest
}

func (t *currentTable) parsedOrNil() *route.Table {
	if t == nil {
		return nil
	}
	return t.parsed
}

func (t *currentTable) encoded() []byte {
	if t.text == nil {
		t.text = t.parsed.JSONWithoutSource()
	}
	return t.text
}

// from lists the differences that lead from a table to this one.
func (t *currentTable) differencesSince(number uint64) []route.Difference {
	for i, d := range t.differences {
		if d.BaseNumber == number {
			return t.differences[i:]
		}
	}
	return nil
}

// smaller reports whether differences carry less than the whole table.
func (t *currentTable) isSmaller(differences []route.Difference) bool {
	items := 0
	for _, d := range differences {
		items += d.Size()
	}
	return 2*items < len(t.parsed.Routes)+len(t.parsed.Services)+len(t.parsed.Tenants)
}

// differencesFor lists what brings a subscriber up to date, or nothing where it is
// better sent the whole table.
func (m *Machine) differencesFor(s *subscriber) []route.Difference {
	if !s.acceptsDifferences || s.table == 0 {
		return nil
	}
	differences := m.table.differencesSince(s.table)
	if len(differences) == 0 || !m.table.isSmaller(differences) {
		return nil
	}
	return differences
}

// installText takes a table from its text, if it is newer. One that is known
// already, as an operator brought it here or a difference led to it, is not parsed.
func (m *Machine) installText(now time.Duration, number uint64, digest string, text []byte) {
	if number <= m.table.number() {
		return
	}
	table, faults := route.Parse(text)
	if faults != nil {
		m.Counters.BadMessages++
		return
	}
	m.install(now, table, digest)
}

// install takes a newer agreed table and passes it on at once.
func (m *Machine) install(now time.Duration, table *route.Table, digest string) {
	if table.Number <= m.table.number() {
		return
	}
	next := &currentTable{parsed: table, digest: digest}
	if m.table != nil {
		difference := route.Compare(m.table.parsed, m.table.digest, table, digest)
		next.differences = append(append(next.differences, m.table.differences...), difference)
		if extra := len(next.differences) - maxDifferences; extra > 0 {
			next.differences = next.differences[extra:]
		}
	}
	m.table = next
	m.notifyAll(now)
}
