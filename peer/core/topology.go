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

// refreshSelf updates this core's entry if its address or incarnation changed while it was down.
func (m *Machine) refreshSelf() {
	registered, ok := m.cores[m.self.ID]
	if founded := m.founding.Cores[m.self.ID]; ok &&
		registered.Incarnation != m.self.Incarnation && founded.Incarnation == m.self.Incarnation {
		m.self.Version = founded.Version
		m.unregistered = true
		return
	}
	current := m.self
	current.Retired, current.Version = registered.Retired, registered.Version
	if ok && current == registered {
		m.self = registered
		return
	}
	current.Version++
	m.self, m.cores[m.self.ID] = current, current
	m.unregistered = true
}

// mergeStoredCores merges the core entries of the configuration partition, if replicated here.
func (m *Machine) mergeStoredCores() {
	if p := m.partitions[ConfigurationPartition]; p != nil {
		m.mergeCoresOf(p.State())
	}
}

func (m *Machine) mergeCoresOf(state partition.State) {
	for key, e := range state.Entries {
		if len(key) > len(corePrefix) && key[:len(corePrefix)] == corePrefix && !e.Deleted {
			var core Core
			if message.Unmarshal(e.Value, &core) == nil {
				m.mergeCore(core)
			}
		}
	}
}

// mergeCore merges a received entry: the higher version wins, and a retired core stays retired.
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
		// Only the configuration partition knows which incarnation is the later one.
		if c.Version >= m.self.Version {
			// Of two entries with the same version, other cores keep the one received first, so the
			// next claim needs a higher version.
			m.unregistered = true
			m.claimIncrement = max(m.claimIncrement, c.Version+1-m.self.Version)
		}
		return
	}
	m.self.Retired = c.Retired
	if c.Version < m.self.Version {
		m.cores[m.self.ID] = m.self
		return
	}
	if updated := m.self; updated.Version != c.Version {
		if updated.Version = c.Version; updated == c {
			m.self = c
			return
		}
		m.self.Version = c.Version + 1
		m.cores[m.self.ID] = m.self
		m.unregistered = true
	}
}

// groupSize is the size of the largest group if none is configured.
func (m *Machine) groupSize() int {
	size := m.founding.Size
	if size == 0 {
		for _, g := range m.groups {
			size = max(size, len(g.Members))
		}
	}
	return size
}

// fleet returns a copy of the known cores, and the group size.
func (m *Machine) fleet() (map[string]Core, int) {
	return maps.Clone(m.cores), m.groupSize()
}

func (m *Machine) refreshTopology() {
	m.mergeStoredCores()
	for n, p := range m.partitions {
		if term := p.CurrentTerm(); m.terms[n].Less(term) {
			m.terms[n] = term
			m.topologyChanged = true
		}
		if m.groups[n].Before(p.Group()) || m.groups[n].Epoch == 0 {
			m.topologyChanged = m.topologyChanged || p.Group().Epoch > 0
			m.groups[n] = p.Group()
		}
	}
}

type gossipState struct {
	gossipAt, heartbeatAt, topologyAt time.Duration
	// digest is the topology's at the last heartbeat. topologySentAt is when the topology was last
	// sent to an address that had reported another digest.
	digest         uint64
	topologySentAt map[string]time.Duration
}

// topologyGossipLeases is the interval, in member leases, at which an unchanged topology is sent.
const topologyGossipLeases = 8

// Digest returns a hash of the topology without GroupSize.
func (t Topology) Digest() uint64 {
	var input digestInput
	input.addStrings(t.Fleet)
	input.addNumbers(uint64(len(t.Cores)), uint64(len(t.Leaders)), uint64(len(t.Groups)))
	for _, id := range ordered.Keys(t.Cores) {
		c := t.Cores[id]
		input.addStrings(c.ID, c.Incarnation, c.Zone, c.Peer, c.Operator, strconv.FormatBool(c.Retired))
		input.addNumbers(c.Version)
	}
	for _, term := range t.Leaders {
		input.addStrings(term.Leader)
		input.addNumbers(term.Round)
	}
	for _, g := range t.Groups {
		input.addStrings(g.Term.Leader)
		input.addNumbers(g.Term.Round, g.Epoch, uint64(len(g.Members)), uint64(len(g.Former)))
		input.addStrings(g.Members...)
		input.addStrings(g.Former...)
	}
	h := fnv.New64a()
	h.Write(input)
	return h.Sum64()
}

// digestInput is an unambiguous encoding: strings are quoted, numbers separated by spaces, and
// lists preceded by their lengths.
type digestInput []byte

func (d *digestInput) addStrings(values ...string) {
	for _, value := range values {
		*d = strconv.AppendQuote(*d, value)
	}
}

func (d *digestInput) addNumbers(values ...uint64) {
	for _, value := range values {
		*d = strconv.AppendUint(append(*d, ' '), value, 10)
	}
}

// sendTopologyIfDifferent sends the topology to a core that reports another digest. The other core
// does the same, so that both end with the merged topology.
func (m *Machine) sendTopologyIfDifferent(now time.Duration, to string, theirs uint64) {
	if theirs == 0 || m.digest == 0 || theirs == m.digest || now < m.topologySentAt[to]+m.params.MemberLease/4 {
		return
	}
	m.topologySentAt[to] = now
	m.refreshTopology()
	m.send(to, m.Topology(), false)
}

// gossip sends heartbeats, and the topology if it has changed or is due again.
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
		m.send(c.Peer, m.announcement(), false)
		if sendTopology {
			m.send(c.Peer, topology, false)
		}
	}
	if sendTopology {
		m.topologyChanged, m.topologyAt = false, now+topologyGossipLeases*m.params.MemberLease
	}
}

func (m *Machine) hasReplica(c Core) bool {
	return slices.ContainsFunc(m.groups, func(g partition.Group) bool { return g.Has(c.MemberID()) })
}

// Topology returns a copy of the topology that this core knows.
func (m *Machine) Topology() Topology {
	t := Topology{
		Fleet:     m.founding.Fleet,
		GroupSize: m.groupSize(),
		Cores:     map[string]Core{},
		Leaders:   append([]partition.Term(nil), m.terms...),
		Groups:    append([]partition.Group(nil), m.groups...),
	}
	for id, c := range m.cores {
		t.Cores[id] = c
	}
	return t
}

// addressOf returns a member's address, or "" if it is not known.
func (m *Machine) addressOf(member string) string {
	if member == m.self.MemberID() {
		return m.self.Peer
	}
	for _, c := range m.cores {
		if c.MemberID() == member {
			return c.Peer
		}
	}
	return ""
}

// leaderAddress returns the last known leader's address, or "" if none is known or it is this core.
func (m *Machine) leaderAddress(n int) string {
	term := m.terms[n]
	if p := m.partitions[n]; p != nil && term.Less(p.CurrentTerm()) {
		term = p.CurrentTerm()
	}
	address := m.addressOf(term.Leader)
	if address == m.self.Peer {
		return ""
	}
	return address
}

// mergeTopology merges a topology of the same fleet: for each term, group and core the later one
// wins.
func (m *Machine) mergeTopology(t Topology) {
	if m.founding.Fleet != t.Fleet || len(t.Leaders) != len(m.terms) || len(t.Groups) != len(m.groups) {
		return
	}
	for n := range t.Leaders {
		if m.terms[n].Less(t.Leaders[n]) {
			m.terms[n] = t.Leaders[n]
		}
		if m.groups[n].Before(t.Groups[n]) {
			m.groups[n] = t.Groups[n]
		}
	}
	for _, c := range t.Cores {
		m.mergeCore(c)
	}
}
