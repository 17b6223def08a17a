package partition

import (
	"sort"
	"strings"
)

// News lists the agreed entries with one of the prefixes that came after a
// stamp.
func (m *Machine) News(after Stamp, prefixes []string) []Entry {
	var news []Entry
	o := m.owning
	for _, e := range o.table {
		if e.Stamp.Seq > o.committed {
			e = o.superseded[e.Key]
		}
		if !after.Less(e.Stamp) {
			continue
		}
		for _, p := range prefixes {
			if strings.HasPrefix(e.Key, p) {
				news = append(news, e)
			}
		}
	}
	sort.Slice(news, func(i, j int) bool { return news[i].Key < news[j].Key })
	return news
}

// supersede keeps the agreed value of an entry that is about to be overwritten,
// until the new value is agreed itself.
func (o *owning) supersede(key string) {
	if old, ok := o.table[key]; ok && old.Stamp.Seq <= o.committed {
		o.superseded[key] = old
	}
}

// settle notes that a write's entries are agreed. Where the next write of an
// entry already waits, its value here is still needed.
func (o *owning) settle(entries []Entry) {
	for _, e := range entries {
		if o.table[e.Key].Stamp == e.Stamp {
			delete(o.superseded, e.Key)
		} else {
			o.superseded[e.Key] = e
		}
	}
}
