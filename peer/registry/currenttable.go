package registry

import (
	"time"

	"saffronfall/rule/route"
)

// maxDifferences bounds how many tables behind a subscriber can be updated by differences.
const maxDifferences = 16

// currentTable is the newest accepted table that a registry knows; nil if it knows none.
type currentTable struct {
	parsed *route.Table
	digest string
	// text is sent to subscribers, without the table's source. It is encoded on first use.
	text []byte
	// compressed is the text for subscribers that read it compressed, made on first use.
	compressed []byte
	// differences lead to this table, each based on the one before.
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

// encodedCompressed returns the compressed text.
func (t *currentTable) encodedCompressed() []byte {
	if t.compressed == nil {
		t.compressed = compress(t.encoded())
	}
	return t.compressed
}

// differencesSince returns nil if the differences from that table are no longer stored.
func (t *currentTable) differencesSince(number uint64) []route.Difference {
	for i, d := range t.differences {
		if d.BaseNumber == number {
			return t.differences[i:]
		}
	}
	return nil
}

// areSmall reports whether differences have less than half as many items as the table.
func (t *currentTable) areSmall(differences []route.Difference) bool {
	items := 0
	for _, d := range differences {
		items += d.Size()
	}
	return 2*items < len(t.parsed.Routes)+len(t.parsed.Services)+len(t.parsed.Tenants)
}

// differencesFor returns nil if the subscriber needs the full table.
func (m *Machine) differencesFor(sub *subscriber) []route.Difference {
	if !sub.acceptsDifferences || sub.table == 0 {
		return nil
	}
	differences := m.table.differencesSince(sub.table)
	if len(differences) == 0 || !m.table.areSmall(differences) {
		return nil
	}
	return differences
}

// installText installs a table if it is newer; a table that is already known is not parsed. One that
// this version cannot read is reported and dropped.
func (m *Machine) installText(now time.Duration, number uint64, digest string, text []byte) {
	if number <= m.table.number() {
		return
	}
	parsed, faults := route.Parse(text)
	if faults != nil {
		m.Counters.BadMessages++
		m.Counters.TablesUnreadable++
		m.out.UnreadableTable = &Refusal{Number: number, Faults: faults}
		return
	}
	m.install(now, parsed, digest)
}

// install replaces the current table by an accepted one if that is newer.
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
