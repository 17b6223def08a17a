package registry

import (
	"time"

	"saffronfall/rule/ordered"
)

// subscriber is a node or another registry. version, table and topologyVersion include what was
// sent to it but not confirmed yet.
type subscriber struct {
	incarnation        string
	version            uint64
	table              uint64
	acceptsDifferences bool
	topology           subscribedTopology
	lastSeen           time.Duration
	isRegistry         bool
	zone               string
	// confirmedVersion is the version of this incarnation's list that it confirmed.
	confirmedVersion uint64
	// announcedTable is the newest table whose number it was sent.
	announcedTable uint64
}

// subscribedTopology is what a subscriber has of the topology, and how it wants the rest.
type subscribedTopology struct {
	version uint64
	// matches is set if it has the registry's topology without having been sent all of it.
	matches        bool
	acceptsChanges bool
	// sendsWhole is set unless the subscriber wants whole tables and topologies from elsewhere, as it
	// may with wholeOnRequest.
	sendsWhole, wholeOnRequest bool
}

func (m *Machine) isSubscribed(now time.Duration, sub *subscriber) bool {
	return now <= sub.lastSeen+missedHeartbeats*m.params.HeartbeatInterval
}

func (s *subscriber) isActive(now, interval time.Duration) bool { return now <= s.lastSeen+interval }

// sendUpdate sends a subscriber what it lacks; with always, even if that is nothing. The update
// counts as received until a renewal reports an older version.
func (m *Machine) sendUpdate(now time.Duration, to string, sub *subscriber, always bool) {
	update := Update{
		Incarnation:     m.incarnation,
		Since:           sub.version,
		Version:         m.version,
		TableNumber:     m.table.number(),
		TableDigest:     m.table.digestOrEmpty(),
		ConfirmationAge: -1,
		NodeCount:       m.nodeCount(now),
	}
	if m.lastConfirmed >= 0 {
		update.ConfirmationAge = now - m.lastConfirmed
	}
	if sub.incarnation != m.incarnation {
		update.Since = 0
	}
	for _, id := range ordered.Keys(m.replicas) {
		if entry := m.replicas[id]; entry.Version > update.Since && (!sub.isRegistry || entry.isDeparting()) {
			update.Replicas = append(update.Replicas, entry.ReplicaEntry)
			update.RenewNow = update.RenewNow || entry.isDeparting()
		}
	}
	hasTable := m.addTable(&update, sub)
	hasTopology := m.addTopology(&update, sub)
	if !always && len(update.Replicas) == 0 && !hasTable && !hasTopology {
		return
	}
	update.RenewNow = update.RenewNow && !sub.isRegistry && m.activeRegistries(now) == 0
	sub.incarnation, sub.version = m.incarnation, m.version
	m.Counters.Updates++
	m.addSend(to, update)
}

// addTable adds the table that a subscriber lacks, and reports whether it has news of one.
func (m *Machine) addTable(update *Update, sub *subscriber) bool {
	number := m.table.number()
	if sub.table >= number {
		return false
	}
	isNews := sub.announcedTable < number
	sub.announcedTable = number
	update.Differences = m.differencesFor(sub)
	switch {
	case update.Differences != nil:
	case sub.topology.sendsWhole && sub.topology.wholeOnRequest:
		update.CompressedTable = m.table.encodedCompressed()
	case sub.topology.sendsWhole:
		update.Table = m.table.encoded()
	default:
		return isNews
	}
	sub.table = number
	return true
}

// addTopology adds what a subscriber lacks of the topology, and reports whether that is anything.
func (m *Machine) addTopology(update *Update, sub *subscriber) bool {
	known := &sub.topology
	since := known.version
	switch {
	case !known.acceptsChanges && since != m.topologyVersion:
		whole := m.topology
		update.Topology = &whole
		update.Registries = ordered.Keys(m.registries)
		known.version = m.topologyVersion
		return true
	case !known.acceptsChanges:
		return false
	}
	if since < m.changedRegistries {
		update.Registries = ordered.Keys(m.registries)
	}
	if len(m.topology.Leaders) == 0 && !sub.isRegistry {
		return false
	}
	next := &TopologyUpdate{Since: since, Version: m.topologyVersion}
	known.version = m.topologyVersion
	switch {
	case known.matches:
		known.matches = false
		update.NewTopology = next
		return false
	case since == 0 && !known.sendsWhole:
		// What it has is not known. It requests the whole if it lacks something.
		next.Since = m.topologyVersion
	case since == m.topologyVersion:
		return false
	default:
		next.Changes = m.topologySince(since, sub.isRegistry)
	}
	update.NewTopology = next
	return true
}

func (m *Machine) activeRegistries(now time.Duration) int {
	n := 0
	for _, s := range m.subscribers {
		if s.isRegistry && s.isActive(now, m.params.HeartbeatInterval) {
			n++
		}
	}
	return n
}

func (m *Machine) nodeCount(now time.Duration) int {
	n := 0
	for _, s := range m.subscribers {
		if !s.isRegistry && m.isSubscribed(now, s) {
			n++
		}
	}
	return n
}

func (m *Machine) onSubscribe(now time.Duration, from string, request Subscribe) {
	sub := m.subscribers[from]
	if sub == nil {
		sub = &subscriber{}
		m.subscribers[from] = sub
	}
	sub.lastSeen, sub.isRegistry, sub.zone = now, request.IsRegistry, request.Zone
	sub.incarnation, sub.version, sub.table, sub.acceptsDifferences =
		request.Incarnation, request.Version, request.Table, request.AcceptsDifferences
	sub.confirmedVersion = request.Version
	sub.topology = m.subscribedTopology(sub.topology, request)
	if request.Incarnation != m.incarnation {
		sub.confirmedVersion, sub.announcedTable = 0, 0
	}
	if request.IsRegistry {
		m.learnRegistry(now, from)
	}
	if request.Table > m.table.number() {
		m.pullAt = now // asks the cores for the newer table at once
	}
	m.sendUpdate(now, from, sub, true)
	m.answerDepartures(now)
}

// subscribedTopology returns what a subscriber has by its request. One of a former release does not
// tell, and has what it was sent.
func (m *Machine) subscribedTopology(previous subscribedTopology, request Subscribe) subscribedTopology {
	sameIncarnation := request.Incarnation == m.incarnation
	if !request.AcceptsTopologyChanges {
		if !sameIncarnation {
			return subscribedTopology{sendsWhole: true}
		}
		return subscribedTopology{version: previous.version, sendsWhole: true}
	}
	known := subscribedTopology{
		acceptsChanges: true,
		sendsWhole:     !request.WholeOnRequest || request.Whole,
		wholeOnRequest: request.WholeOnRequest,
	}
	switch {
	case sameIncarnation && request.TopologyVersion > 0:
		known.version = min(request.TopologyVersion, m.topologyVersion)
	case len(m.topology.Leaders) > 0:
		known.matches = request.TopologyDigest == m.digestFor(request.IsRegistry)
	}
	return known
}

// registryCursor is the version received from another registry.
type registryCursor struct {
	incarnation     string
	version         uint64
	topologyVersion uint64
}

// applyDepartures records another registry's departures, so that those it has acknowledged
// survive its loss.
func (m *Machine) applyDepartures(now time.Duration, from string, update Update) {
	cursor := m.registryCursors[from]
	if cursor.incarnation != update.Incarnation {
		cursor = registryCursor{incarnation: update.Incarnation}
	}
	if update.Since <= cursor.version {
		for _, entry := range update.Replicas {
			m.applyDeparture(now, entry)
		}
		cursor.version = max(cursor.version, update.Version)
	}
	if next := update.NewTopology; next != nil && next.Since <= cursor.topologyVersion {
		cursor.topologyVersion = max(cursor.topologyVersion, next.Version)
	}
	m.registryCursors[from] = cursor
	if len(update.Replicas) > 0 {
		// A replica waits for the confirmation that this registry has its departure.
		m.subscribeTo(from)
	}
}

// subscribeTo also confirms the version received from the other registry.
func (m *Machine) subscribeTo(to string) {
	cursor := m.registryCursors[to]
	m.addSend(to, Subscribe{
		Node:               m.registryID,
		Table:              m.table.number(),
		AcceptsDifferences: true,
		IsRegistry:         true,
		Zone:               m.zone,
		Incarnation:        cursor.incarnation,
		Version:            cursor.version,

		AcceptsTopologyChanges: true,
		TopologyVersion:        cursor.topologyVersion,
		TopologyDigest:         m.topologyDigests().whole,
	})
}

func (m *Machine) learnRegistry(now time.Duration, address string) {
	if _, ok := m.registries[address]; !ok {
		m.recordRegistry()
	}
	m.registries[address] = now
}

// onUpdate merges an update of another registry.
func (m *Machine) onUpdate(now time.Duration, from string, update Update) {
	m.learnRegistry(now, from)
	m.applyDepartures(now, from, update)
	if update.Topology != nil {
		m.mergeTopology(now, update.Topology.Changes())
	}
	if update.NewTopology != nil {
		m.mergeTopology(now, update.NewTopology.Changes)
	}
	for _, address := range update.Registries {
		if _, ok := m.registries[address]; !ok {
			m.learnRegistry(now, address)
			m.subscribeAt = now
		}
	}
	if update.Table != nil {
		m.installText(now, update.TableNumber, update.TableDigest, update.Table)
	}
	for _, difference := range update.Differences {
		if next, ok := difference.Apply(m.table.parsedOrNil(), m.table.digestOrEmpty()); ok {
			m.install(now, next, difference.Digest)
		}
	}
}
