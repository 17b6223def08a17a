package core

import (
	"maps"
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/part"
)

// assert makes the fleet's entry of this core what it is now: its address or
// its incarnation may have changed while it was away.
func (m *Machine) assert() {
	known, ok := m.cores[m.self.ID]
	if named := m.founding.Cores[m.self.ID]; ok && known.Incarnation != m.self.Incarnation && named.Incarnation == m.self.Incarnation {
		m.self.Version = named.Version
		m.unknown = true
		return
	}
	fresh := m.self
	fresh.Retired, fresh.Version = known.Retired, known.Version
	if ok && fresh == known {
		m.self = known
		return
	}
	fresh.Version++
	m.self, m.cores[m.self.ID] = fresh, fresh
	m.unknown = true
}

func (m *Machine) learnCores() {
	if p := m.parts[ConfigurationPart]; p != nil {
		m.learnCoresOf(p.Copied())
	}
}

func (m *Machine) learnCoresOf(c part.Copy) {
	for key, e := range c.Entries {
		if len(key) > len(corePrefix) && key[:len(corePrefix)] == corePrefix && !e.Gone {
			var one Core
			if message.Unmarshal(e.Value, &one) == nil {
				m.learnCore(one)
			}
		}
	}
}

// learnCore takes the newest that is told of a core. What is retired once stays
// so, whatever is told later.
func (m *Machine) learnCore(c Core) {
	old, ok := m.cores[c.ID]
	c.Retired = c.Retired || old.Retired
	switch {
	case !ok || old.Version < c.Version:
		m.cores[c.ID] = c
		m.changed = true
	case c.Retired && !old.Retired:
		old.Retired = true
		m.cores[c.ID] = old
		m.changed = true
	}
	switch {
	case c.ID != m.self.ID:
		return
	case c.Incarnation != m.self.Incarnation:
		// The configuration's part knows which of the two came later.
		if c.Version >= m.self.Version {
			// Others keep the one that they heard of first, so this one's next claim
			// is above it.
			m.unknown = true
			m.refused = max(m.refused, c.Version+1-m.self.Version)
		}
		return
	}
	m.self.Retired = c.Retired
	if c.Version < m.self.Version {
		m.cores[m.self.ID] = m.self
		return
	}
	if same := m.self; same.Version != c.Version {
		if same.Version = c.Version; same == c {
			m.self = c
			return
		}
		m.self.Version = c.Version + 1
		m.cores[m.self.ID] = m.self
		m.unknown = true
	}
}

// size is how many seats a group is to have.
func (m *Machine) size() int {
	size := m.founding.Size
	if size == 0 {
		for _, g := range m.groups {
			size = max(size, len(g.Seats))
		}
	}
	return size
}

func (m *Machine) fleet() (map[string]Core, int) {
	return maps.Clone(m.cores), m.size()
}

func (m *Machine) learn() {
	m.learnCores()
	for n, p := range m.parts {
		if owner := p.Owner(); m.owners[n].Less(owner) {
			m.owners[n] = owner
			m.changed = true
		}
		if m.groups[n].Before(p.Group()) || m.groups[n].Epoch == 0 {
			m.changed = m.changed || p.Group().Epoch > 0
			m.groups[n] = p.Group()
		}
	}
}

// gossip tells the other cores that this one lives, and what it knows of the
// fleet when that has changed, or was not told for long.
func (m *Machine) gossip(now time.Duration) {
	whole := m.changed || now >= m.tellAt
	if m.outlived || (!whole && now < m.beatAt) {
		return
	}
	m.beatAt = now + m.beat()
	topology := m.Topology()
	for _, id := range ordered.Keys(m.cores) {
		c := m.cores[id]
		if id == m.self.ID {
			continue
		}
		m.send(c.Peer, m.present(), false)
		if whole {
			m.send(c.Peer, topology, false)
		}
	}
	if whole {
		m.changed, m.tellAt = false, now+m.params.MemberTerm/4
	}
}

// Topology is what this core knows of cores, groups and owners.
func (m *Machine) Topology() Topology {
	t := Topology{Fleet: m.founding.Fleet, Size: m.size(), Cores: map[string]Core{}, Owners: append([]part.Term(nil), m.owners...), Groups: append([]part.Group(nil), m.groups...)}
	for id, c := range m.cores {
		t.Cores[id] = c
	}
	return t
}

func (m *Machine) addressOf(seat string) string {
	if seat == m.self.Seat() {
		return m.self.Peer
	}
	for _, c := range m.cores {
		if c.Seat() == seat {
			return c.Peer
		}
	}
	return ""
}

func (m *Machine) hint(n int) string {
	owner := m.owners[n]
	if p := m.parts[n]; p != nil && owner.Less(p.Owner()) {
		owner = p.Owner()
	}
	address := m.addressOf(owner.Owner)
	if address == m.self.Peer {
		return ""
	}
	return address
}

func (m *Machine) adopt(t Topology) {
	if m.founding.Fleet != t.Fleet || len(t.Owners) != len(m.owners) || len(t.Groups) != len(m.groups) {
		return
	}
	for n := range t.Owners {
		if m.owners[n].Less(t.Owners[n]) {
			m.owners[n] = t.Owners[n]
		}
		if m.groups[n].Before(t.Groups[n]) {
			m.groups[n] = t.Groups[n]
		}
	}
	for _, c := range t.Cores {
		m.learnCore(c)
	}
}
