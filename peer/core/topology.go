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

// refreshSelf handles a change of address or incarnation while the core was down.
func (m *Machine) refreshSelf() {
	registered, ok := m.cores[m.self.ID]
	if founded := m.founding.Cores[m.self.ID]; ok &&
		registered.Incarnation != m.self.Incarnation && founded.Incarnation == m.self.Incarnation {
		// Either incarnation may be superseded; register finds out which.
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
	m.changes.AddCore(current)
	m.unregistered = true
}

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
func (m *Machine) mergeCore(received Core) {
	old, ok := m.cores[received.ID]
	received.Retired = received.Retired || old.Retired
	switch {
	case !ok || old.Version < received.Version:
		m.cores[received.ID] = received
		m.changes.AddCore(received)
	case received.Retired && !old.Retired:
		old.Retired = true
		m.cores[received.ID] = old
		m.changes.AddCore(old)
	}
	switch {
	case received.ID != m.self.ID:
		return
	case received.Incarnation != m.self.Incarnation:
		// Only the configuration partition knows which incarnation is the later one.
		if received.Version >= m.self.Version {
			// Of two entries with the same version, other cores keep the one received first, so the
			// next claim needs a higher version.
			m.unregistered = true
			m.claimIncrement = max(m.claimIncrement, received.Version+1-m.self.Version)
		}
		return
	}
	m.self.Retired = received.Retired
	if received.Version < m.self.Version {
		m.cores[m.self.ID] = m.self
		return
	}
	if updated := m.self; updated.Version != received.Version {
		if updated.Version = received.Version; updated == received {
			m.self = received
			return
		}
		m.self.Version = received.Version + 1
		m.cores[m.self.ID] = m.self
		m.unregistered = true
	}
}

// groupSize is the size of the largest group if none is configured. A fleet that was founded with
// smaller groups than the settings ask for grows them; one with larger groups keeps them.
func (m *Machine) groupSize() int {
	size := max(m.founding.GroupSize, m.params.MinGroupSize)
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
	for n, replica := range m.partitions {
		m.refreshPartition(n, replica.CurrentTerm(), replica.Group())
	}
}

// announcedPartition identifies the term and group of a partition that this core last sent.
type announcedPartition struct {
	leader, groupTerm partition.Term
	epoch             uint64
}

// refreshPartition records a partition's newer term and group. Only its leader sends them to the
// other cores, as all members learn them at the same time.
func (m *Machine) refreshPartition(n int, term partition.Term, group partition.Group) {
	if m.terms[n].Less(term) {
		m.terms[n] = term
	}
	if m.groups[n].Before(group) || m.groups[n].Epoch == 0 {
		m.groups[n] = group
	}
	latest := announcedPartition{leader: m.terms[n], groupTerm: m.groups[n].Term, epoch: m.groups[n].Epoch}
	if latest.leader.Leader != m.self.MemberID() || latest.epoch == 0 || m.announced[n] == latest {
		return
	}
	m.announced[n] = latest
	m.changes.AddLeader(n, m.terms[n])
	m.changes.AddGroup(n, m.groups[n])
}

type gossipState struct {
	gossipAt, heartbeatAt time.Duration
	// changes are not sent yet. announced has what was sent of the partitions that this core leads.
	changes   TopologyChanges
	announced map[int]announcedPartition
	// digest is the topology's at the last heartbeat.
	digest uint64
	repair TopologyRepair
	// topologyKnown is set once the topology was received after the start. Until then it is
	// requested, the next time at requestAt.
	topologyKnown bool
	requestAt     time.Duration
}

// topologyRequestsPerLease is how often a started core requests the topology, per member lease.
const topologyRequestsPerLease = 8

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

// digestInput is unambiguous: strings are quoted, numbers separated by spaces, and lists preceded
// by their lengths.
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

// sendTopologyIfDifferent is called on both cores, so that both end with the merged topology.
func (m *Machine) sendTopologyIfDifferent(now time.Duration, to string, theirs uint64) {
	if m.repair.Needed(to, m.digest, theirs) {
		m.refreshTopology()
		m.send(to, m.Topology(), false)
	}
}

// gossip sends changes of the topology to the other cores and to the seeds, and heartbeats to the
// other cores.
func (m *Machine) gossip(now time.Duration) {
	if m.superseded {
		return
	}
	m.sendChanges()
	m.requestTopology(now)
	if now < m.heartbeatAt {
		return
	}
	m.heartbeatAt = now + m.heartbeatInterval()
	m.digest = m.Topology().Digest()
	for _, address := range m.gossipTargets() {
		m.send(address, m.announcement(), false)
	}
}

func (m *Machine) sendChanges() {
	if m.changes.Empty() {
		return
	}
	changes := m.changes
	changes.Fleet, changes.GroupSize, changes.Partitions = m.founding.Fleet, m.groupSize(), m.founding.Partitions
	m.changes = TopologyChanges{}
	targets := m.gossipTargets()
	for _, seed := range m.seeds {
		if seed != m.self.Peer && !slices.Contains(targets, seed) {
			targets = append(targets, seed)
		}
	}
	for _, address := range targets {
		m.send(address, changes, false)
	}
}

// requestTopology asks one other core for what changed while this one was down.
func (m *Machine) requestTopology(now time.Duration) {
	targets := m.gossipTargets()
	if m.topologyKnown || now < m.requestAt || len(targets) == 0 {
		return
	}
	m.requestAt = now + m.params.MemberLease/topologyRequestsPerLease
	to := targets[int(m.random()*float64(len(targets)))%len(targets)]
	m.send(to, PullUpdates{WantTopology: true}, false)
}

// gossipTargets returns the addresses of the other cores that may have a replica.
func (m *Machine) gossipTargets() []string {
	var addresses []string
	for _, id := range ordered.Keys(m.cores) {
		if c := m.cores[id]; id != m.self.ID && mayHaveReplica(c, m.terms, m.groups) {
			addresses = append(addresses, c.Peer)
		}
	}
	return addresses
}

// Topology returns a copy of the topology that this core knows.
func (m *Machine) Topology() Topology {
	topology := Topology{
		Fleet:     m.founding.Fleet,
		GroupSize: m.groupSize(),
		Cores:     map[string]Core{},
		Leaders:   append([]partition.Term(nil), m.terms...),
		Groups:    append([]partition.Group(nil), m.groups...),
	}
	for id, c := range m.cores {
		topology.Cores[id] = c
	}
	return topology
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
func (m *Machine) mergeTopology(received Topology) {
	m.topologyKnown = m.topologyKnown || received.Fleet == m.founding.Fleet
	m.mergeChanges(received.Changes())
}

func (m *Machine) mergeChanges(received TopologyChanges) {
	if m.founding.Fleet != received.Fleet || received.Partitions != m.founding.Partitions {
		return
	}
	for n, term := range received.Leaders {
		if n >= 0 && n < len(m.terms) && m.terms[n].Less(term) {
			m.terms[n] = term
		}
	}
	for n, group := range received.Groups {
		if n >= 0 && n < len(m.groups) && m.groups[n].Before(group) {
			m.groups[n] = group
		}
	}
	for _, c := range received.Cores {
		m.mergeCore(c)
	}
}
