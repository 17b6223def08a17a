package partition

import (
	"sort"
	"strings"
)

// Updates returns the committed entries, tombstones included, that have one of the prefixes and are
// newer than a version. It must be called at a serving leader only.
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

// keepCommitted keeps the committed value of an entry that is about to be overwritten, until the new
// value is committed.
func (lead *leadership) keepCommitted(key string) {
	if old, ok := lead.table[key]; ok && old.Version.Seq <= lead.committedSeq {
		lead.superseded[key] = old
	}
}

// markCommitted records that a write is committed. If an entry has a newer, uncommitted value, the
// one of the write is kept for Updates.
func (lead *leadership) markCommitted(entries []Entry) {
	for _, e := range entries {
		if lead.table[e.Key].Version == e.Version {
			delete(lead.superseded, e.Key)
		} else {
			lead.superseded[e.Key] = e
		}
	}
}
