package partition

import (
	"sort"
	"strings"
)

// News lists the agreed entries with one of the prefixes that came after a
// stamp.
func (m *Machine) Updates(after Version, prefixes []string) []Entry {
	var updates []Entry
	lead := m.leading
	for _, e := range lead.table {
		if e.Version.Seq > lead.committedSeq {
			e = lead.superseded[e.Key]
		}
		if !after.Less(e.Version) {
			continue
		}
		for _, p := range prefixes {
			if strings.HasPrefix(e.Key, p) {
				updates = append(updates, e)
			}
		}
	}
	sort.Slice(updates, func(i, j int) bool { return updates[i].Key < updates[j].Key })
	return updates
}

// supersede keeps the agreed value of an entry that is about to be overwritten,
// until the new value is agreed itself.
func (lead *leadership) keepCommitted(key string) {
	if old, ok := lead.table[key]; ok && old.Version.Seq <= lead.committedSeq {
		lead.superseded[key] = old
	}
}

// settle notes that a write's entries are agreed. Where the next write of an
// entry already waits, its value here is still needed.
func (lead *leadership) markCommitted(entries []Entry) {
	for _, e := range entries {
		if lead.table[e.Key].Version == e.Version {
			delete(lead.superseded, e.Key)
		} else {
			lead.superseded[e.Key] = e
		}
	}
}
