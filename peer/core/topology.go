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
func (m *Machine) refreshSelf() {
	known, ok := m.cores[m.self.ID]
	if founded := m.founding.Cores[m.self.ID]; ok && known.Incarnation != m.self.Incarnation && founded.Incarnation == m.self.Incarnation {
		m.self.Version = founded.Version
		m.unregistered = true
		return
	}
	current := m.self
	current.Retired, current.Version = known.Retired, known.Version
	if ok && current == known {
		m.self = known
		return
	}
	current.Version++
	m.self, m.cores[m.self.ID] = current, current
	m.unregistered = true
}

func (m *Machine) mergeStoredCores() {
	if p := m.partitions[ConfigurationPart]; p != nil {
		m.mergeCoresOf(p.State())
	}
}

func (m *Machine) mergeCoresOf(c partition.State) {
	for key, e := range c.Entries {
		if len(key) > len(corePrefix) && key[:len(corePrefix)] == corePrefix && !e.Deleted {
			var one Core
			if message.Unmarshal(e.Value, &one) == nil {
				m.mergeCore(one)
			}
		}
	}
}

// learnCore takes the newest that is told of a core. What is retired once stays
// so, whatever is told later.
func (m *Machine) mergeCore(c Core) {
	old, ok := m.cores[c.ID]
	c.Retired = c.Retired || old.Retired
	switch {
	case !ok || old.Version < c.Version:
		m.cores[c.ID] = c
		m.topologyChanged = true
	case c.Retired && !old.Retired:
		old.Retired = true
		m.cores[c.ID] = old
		m.topologyChanged = true
	}
	switch {
	case c.ID != m.self.ID:
		return
	case c.Incarnation != m.self.Incarnation:
		// The configuration's part knows which of the two came later.
		if c.Version >= m.self.Version {
			// Others keep the one that they heard of first, so this one's next claim
			// is above it.
			m.unregistered = true
			m.rejectedClaims = max(m.rejectedClaims, c.Version+1-m.self.Version)
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
		m.unregistered = true
	}
}

// size is how many seats a group is to have.
func (m *Machine) groupSize() int {
	size := m.founding.Size
	if size == 0 {
		for _, g := range m.groups {
			size = max(size, len(g.Members))
		}
	}
	return size
}

func (m *Machine) fleet() (map[string]Core, int) {
	return maps.Clone(m.cores), m.groupSize()
}

func (m *Machine) refreshTopology() {
	m.mergeStoredCores()
	for n, p := range m.partitions {
		if owner := p.CurrentTerm(); m.terms[n].Less(owner) {
			m.terms[n] = owner
			m.topologyChanged = true
		}
		if m.groups[n].Before(p.Group()) || m.groups[n].Epoch == 0 {
			m.topologyChanged = m.topologyChanged || p.Group().Epoch > 0
			m.groups[n] = p.Group()
		}
	}
}

// gossiping is when and what a core last told the others of the fleet.
type gossipState struct {
	gossipAt, heartbeatAt, topologyAt time.Duration
	// known is the digest of the topology as of the last gossip; toldAt is when a
	// core that differed was last told it.
	digest         uint64
	topologySentAt map[string]time.Duration
}

// wholeGossipTerms is after how many terms of a member the topology is told though
// nothing has changed. Cores that know another one are told at their next word.
const topologyGossipTerms = 8

// Digest tells a topology from others.
func (t Topology) Digest() uint64 {
	var text digestInput
	text.addStrings(t.Fleet)
	text.addNumbers(uint64(len(t.Cores)), uint64(len(t.Owners)), uint64(len(t.Groups)))
	for _, id := range ordered.Keys(t.Cores) {
		c := t.Cores[id]
		text.addStrings(c.ID, c.Incarnation, c.Zone, c.Peer, c.Operator, strconv.FormatBool(c.Retired))
		text.addNumbers(c.Version)
	}
	for _, owner := range t.Owners {
		text.addStrings(owner.Leader)
		text.addNumbers(owner.Round)
	}
	for _, g := range t.Groups {
		text.addStrings(g.Term.Leader)
		text.addNumbers(g.Term.Round, g.Epoch, uint64(len(g.Members)), uint64(len(g.Former)))
		text.addStrings(g.Members...)
		text.addStrings(g.Former...)
	}
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}

// digestText is what a digest is made of, so that no two lists read alike.
type digestInput []byte

func (d *digestInput) addStrings(words ...string) {
	for _, word := range words {
		*d = strconv.AppendQuote(*d, word)
	}
}

func (d *digestInput) addNumbers(numbers ...uint64) {
	for _, number := range numbers {
		*d = strconv.AppendUint(append(*d, ' '), number, 10)
	}
}

// tellDiffering tells a core what this one knows, if that core knows something
// else. It does the same, so that both end with what either knew.
func (m *Machine) sendTopologyIfDifferent(now time.Duration, to string, theirs uint64) {
	if theirs == 0 || m.digest == 0 || theirs == m.digest || now < m.topologySentAt[to]+m.params.MemberTerm/4 {
		return
	}
	m.topologySentAt[to] = now
	m.refreshTopology()
	m.send(to, m.Topology(), false)
}

// gossip tells the other cores that this one lives, and what it knows of the
// fleet when that has changed, or was not told for long.
func (m *Machine) gossip(now time.Duration) {
	sendTopology := m.topologyChanged || now >= m.topologyAt
	if m.superseded || (!sendTopology && now < m.heartbeatAt) {
		return
	}
	m.heartbeatAt = now + m.heartbeatInterval()
	topology := m.Topology()
	m.digest = topology.Digest()
	for _, id := range ordered.Keys(m.cores) {
		c := m.cores[id]
		if id == m.self.ID || c.Retired && !m.hasReplica(c) {
			continue
		}
		m.send(c.Peer, m.presence(), false)
		if sendTopology {
			m.send(c.Peer, topology, false)
		}
	}
	if sendTopology {
		m.topologyChanged, m.topologyAt = false, now+topologyGossipTerms*m.params.MemberTerm
	}
}

// hasReplica reports whether a core keeps a replica of any partition.
func (m *Machine) hasReplica(c Core) bool {
	return slices.ContainsFunc(m.groups, func(g partition.Group) bool { return g.Has(c.Seat()) })
}

// Topology is what this core knows of cores, groups and owners.
func (m *Machine) Topology() Topology {
	t := Topology{Fleet: m.founding.Fleet, Size: m.groupSize(), Cores: map[string]Core{}, Owners: append([]partition.Term(nil), m.terms...), Groups: append([]partition.Group(nil), m.groups...)}
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

func (m *Machine) leaderAddress(n int) string {
	owner := m.terms[n]
	if p := m.partitions[n]; p != nil && owner.Less(p.CurrentTerm()) {
		owner = p.CurrentTerm()
	}
	address := m.addressOf(owner.Leader)
	if address == m.self.Peer {
		return ""
	}
	return address
}

func (m *Machine) mergeTopology(t Topology) {
	if m.founding.Fleet != t.Fleet || len(t.Owners) != len(m.terms) || len(t.Groups) != len(m.groups) {
		return
	}
	for n := range t.Owners {
		if m.terms[n].Less(t.Owners[n]) {
			m.terms[n] = t.Owners[n]
		}
		if m.groups[n].Before(t.Groups[n]) {
			m.groups[n] = t.Groups[n]
		}
	}
	for _, c := range t.Cores {
		m.mergeCore(c)
	}
}
