package core

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
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
	if p := m.parts[ConfigurationPartition]; p != nil {
		m.learnCoresOf(p.State())
	}
}

func (m *Machine) learnCoresOf(c partition.State) {
	for key, e := range c.Entries {
		if len(key) > len(corePrefix) && key[:len(corePrefix)] == corePrefix && !e.Deleted {
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
			size = max(size, len(g.Members))
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
		if owner := p.CurrentTerm(); m.owners[n].Less(owner) {
			m.owners[n] = owner
			m.changed = true
		}
		if m.groups[n].Before(p.Group()) || m.groups[n].Epoch == 0 {
			m.changed = m.changed || p.Group().Epoch > 0
			m.groups[n] = p.Group()
		}
	}
}

// gossiping is when and what a core last told the others of the fleet.
type gossiping struct {
	gossipAt, beatAt, tellAt time.Duration
	// known is the digest of the topology as of the last gossip; toldAt is when a
	// core that differed was last told it.
	known  uint64
	toldAt map[string]time.Duration
}

// wholeGossipTerms is after how many terms of a member the topology is told though
// nothing has changed. Cores that know another one are told at their next word.
const wholeGossipTerms = 8

// Digest tells a topology from others.
func (t Topology) Digest() uint64 {
	var text digestText
	text.words(t.Fleet)
	text.numbers(uint64(len(t.Cores)), uint64(len(t.Leaders)), uint64(len(t.Groups)))
	for _, id := range ordered.Keys(t.Cores) {
		c := t.Cores[id]
		text.words(c.ID, c.Incarnation, c.Zone, c.Peer, c.Operator, strconv.FormatBool(c.Retired))
		text.numbers(c.Version)
	}
	for _, owner := range t.Leaders {
		text.words(owner.Leader)
		text.numbers(owner.Round)
	}
	for _, g := range t.Groups {
		text.words(g.Term.Leader)
		text.numbers(g.Term.Round, g.Epoch, uint64(len(g.Members)), uint64(len(g.Former)))
		text.words(g.Members...)
		text.words(g.Former...)
	}
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}

// digestText is what a digest is made of, so that no two lists read alike.
type digestText []byte

func (d *digestText) words(words ...string) {
	for _, word := range words {
		*d = strconv.AppendQuote(*d, word)
	}
}

func (d *digestText) numbers(numbers ...uint64) {
	for _, number := range numbers {
		*d = strconv.AppendUint(append(*d, ' '), number, 10)
	}
}

// tellDiffering tells a core what this one knows, if that core knows something
// else. It does the same, so that both end with what either knew.
func (m *Machine) tellDiffering(now time.Duration, to string, theirs uint64) {
	if theirs == 0 || m.known == 0 || theirs == m.known || now < m.toldAt[to]+m.params.MemberLease/4 {
		return
	}
	m.toldAt[to] = now
	m.learn()
	m.send(to, m.Topology(), false)
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
	m.known = topology.Digest()
	for _, id := range ordered.Keys(m.cores) {
		c := m.cores[id]
		if id == m.self.ID || c.Retired && !m.hasReplica(c) {
			continue
		}
		m.send(c.Peer, m.present(), false)
		if whole {
			m.send(c.Peer, topology, false)
		}
	}
	if whole {
		m.changed, m.tellAt = false, now+wholeGossipTerms*m.params.MemberLease
	}
}

// hasReplica reports whether a core keeps a replica of any partition.
func (m *Machine) hasReplica(c Core) bool {
	return slices.ContainsFunc(m.groups, func(g partition.Group) bool { return g.Has(c.MemberID()) })
}

// Topology is what this core knows of cores, groups and owners.
func (m *Machine) Topology() Topology {
	t := Topology{Fleet: m.founding.Fleet, GroupSize: m.size(), Cores: map[string]Core{}, Leaders: append([]partition.Term(nil), m.owners...), Groups: append([]partition.Group(nil), m.groups...)}
	for id, c := range m.cores {
		t.Cores[id] = c
	}
	return t
}

func (m *Machine) addressOf(seat string) string {
	if seat == m.self.MemberID() {
		return m.self.Peer
	}
	for _, c := range m.cores {
		if c.MemberID() == seat {
			return c.Peer
		}
	}
	return ""
}

func (m *Machine) hint(n int) string {
	owner := m.owners[n]
	if p := m.parts[n]; p != nil && owner.Less(p.CurrentTerm()) {
		owner = p.CurrentTerm()
	}
	address := m.addressOf(owner.Leader)
	if address == m.self.Peer {
		return ""
	}
	return address
}

func (m *Machine) adopt(t Topology) {
	if m.founding.Fleet != t.Fleet || len(t.Leaders) != len(m.owners) || len(t.Groups) != len(m.groups) {
		return
	}
	for n := range t.Leaders {
		if m.owners[n].Less(t.Leaders[n]) {
			m.owners[n] = t.Leaders[n]
		}
		if m.groups[n].Before(t.Groups[n]) {
			m.groups[n] = t.Groups[n]
		}
	}
	for _, c := range t.Cores {
		m.learnCore(c)
	}
}
