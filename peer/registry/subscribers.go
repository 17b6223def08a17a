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
	topologyVersion    uint64
	lastSeen           time.Duration
	isRegistry         bool
	// confirmedVersion is the version of this incarnation's list that it confirmed.
	confirmedVersion uint64
}

func (m *Machine) isSubscribed(now time.Duration, sub *subscriber) bool {
	return now <= sub.lastSeen+missedHeartbeats*m.params.HeartbeatInterval
}

func (s *subscriber) isActive(now, interval time.Duration) bool { return now <= s.lastSeen+interval }

func (m *Machine) notifyAll(now time.Duration) {
	for _, address := range ordered.Keys(m.subscribers) {
		if s := m.subscribers[address]; m.isSubscribed(now, s) {
			m.sendUpdate(now, address, s, false)
		}
	}
}

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
	if sub.table < m.table.number() {
		update.Differences = m.differencesFor(sub)
		if update.Differences == nil {
			update.Table = m.table.encoded()
		}
	}
	if sub.topologyVersion != m.topologyVersion {
		topology := m.topology
		update.Topology = &topology
		update.Registries = ordered.Keys(m.registries)
	}
	if !always && len(update.Replicas) == 0 && update.Table == nil && update.Differences == nil && update.Topology == nil {
		return
	}
	update.RenewNow = update.RenewNow && !sub.isRegistry && m.activeRegistries(now) == 0
	sub.incarnation, sub.version, sub.table, sub.topologyVersion =
		m.incarnation, m.version, max(sub.table, m.table.number()), m.topologyVersion
	m.Counters.Updates++
	m.addSend(to, update)
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
	sub.lastSeen, sub.isRegistry = now, request.IsRegistry
	sub.incarnation, sub.version, sub.table, sub.acceptsDifferences =
		request.Incarnation, request.Version, request.Table, request.AcceptsDifferences
	sub.confirmedVersion = request.Version
	if request.Incarnation != m.incarnation {
		sub.topologyVersion, sub.confirmedVersion = 0, 0
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

// registryCursor is the version received from another registry.
type registryCursor struct {
	incarnation string
	version     uint64
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
		Incarnation:        cursor.incarnation,
		Version:            cursor.version,
	})
}

func (m *Machine) learnRegistry(now time.Duration, address string) {
	if _, ok := m.registries[address]; !ok {
		m.topologyVersion++
	}
	m.registries[address] = now
}

// onUpdate merges an update of another registry.
func (m *Machine) onUpdate(now time.Duration, from string, update Update) {
	m.learnRegistry(now, from)
	m.applyDepartures(now, from, update)
	if update.Topology != nil {
		m.mergeTopology(now, *update.Topology)
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
