package desk

import (
	"time"

	"saffronfall/rule/ordered"
)

type subscriber struct {
	incarnation        string
	version            uint64
	table              uint64
	acceptsDifferences bool
	topologyVersion    uint64
	lastHeard          time.Duration
	isDesk             bool
	// has is the version that it said it has of this life of the desk.
	confirmedVersion uint64
}

// listens reports whether a subscriber was heard of lately.
func (m *Machine) isSubscribed(now time.Duration, s *subscriber) bool {
	return now <= s.lastHeard+missedHeartbeats*m.params.HeartbeatInterval
}

// speaks reports whether a subscriber was heard within a heartbeat.
func (s *subscriber) isActive(now, beat time.Duration) bool { return now <= s.lastHeard+beat }

func (m *Machine) notifyAll(now time.Duration) {
	for _, address := range ordered.Keys(m.subscribers) {
		if s := m.subscribers[address]; m.isSubscribed(now, s) {
			m.sendUpdate(now, address, s, false)
		}
	}
}

// tell sends a follower what it lacks. What was sent counts as had until the
// follower says otherwise in its next word.
func (m *Machine) sendUpdate(now time.Duration, to string, s *subscriber, always bool) {
	update := Update{Incarnation: m.incarnation, Since: s.version, Version: m.version, TableNumber: m.table.number(), TableDigest: m.table.digestOrEmpty(), ConfirmationAge: -1, NodeCount: m.nodeCount(now)}
	if m.lastConfirmed >= 0 {
		update.ConfirmationAge = now - m.lastConfirmed
	}
	if s.incarnation != m.incarnation {
		update.Since = 0
	}
	for _, id := range ordered.Keys(m.replicas) {
		if l := m.replicas[id]; l.Version > update.Since && (!s.isDesk || l.isDeparting()) {
			update.Replicas = append(update.Replicas, l.ReplicaEntry)
			update.RenewNow = update.RenewNow || l.isDeparting()
		}
	}
	if s.table < m.table.number() {
		update.Differences = m.differencesFor(s)
		if update.Differences == nil {
			update.Table = m.table.encoded()
		}
	}
	if s.topologyVersion != m.topologyVersion {
		t := m.topology
		update.Topology = &t
		update.Desks = ordered.Keys(m.desks)
	}
	if !always && len(update.Replicas) == 0 && update.Table == nil && update.Differences == nil && update.Topology == nil {
		return
	}
	update.RenewNow = update.RenewNow && !s.isDesk && m.activeDesks(now) == 0
	s.incarnation, s.version, s.table, s.topologyVersion = m.incarnation, m.version, max(s.table, m.table.number()), m.topologyVersion
	m.Counters.Updates++
	m.addSend(to, update)
}

// speakingDesks counts the other desks that were heard within a heartbeat.
func (m *Machine) activeDesks(now time.Duration) int {
	n := 0
	for _, s := range m.subscribers {
		if s.isDesk && s.isActive(now, m.params.HeartbeatInterval) {
			n++
		}
	}
	return n
}

// nodes counts the nodes that listen.
func (m *Machine) nodeCount(now time.Duration) int {
	n := 0
	for _, s := range m.subscribers {
		if !s.isDesk && m.isSubscribed(now, s) {
			n++
		}
	}
	return n
}

func (m *Machine) onSubscribe(now time.Duration, from string, request Subscribe) {
	s := m.subscribers[from]
	if s == nil {
		s = &subscriber{}
		m.subscribers[from] = s
	}
	s.lastHeard, s.isDesk = now, request.IsDesk
	s.incarnation, s.version, s.table, s.acceptsDifferences = request.Incarnation, request.Version, request.Table, request.AcceptsDifferences
	s.confirmedVersion = request.Version
	if request.Incarnation != m.incarnation {
		s.topologyVersion, s.confirmedVersion = 0, 0
	}
	if request.IsDesk {
		m.learnDesk(now, from)
	}
	if request.Table > m.table.number() {
		// The follower knows a newer one: the cores are asked at once.
		m.pullAt = now
	}
	m.sendUpdate(now, from, s, true)
	m.answerDepartures(now)
}

// deskHeard is up to where this desk has heard another one's life.
type deskCursor struct {
	incarnation string
	version     uint64
}

// learnDeparted takes who leaves or has left from another desk: what a desk has
// acknowledged must outlive it.
func (m *Machine) applyDepartures(now time.Duration, from string, update Update) {
	cursor := m.deskCursors[from]
	if cursor.incarnation != update.Incarnation {
		cursor = deskCursor{incarnation: update.Incarnation}
	}
	if update.Since <= cursor.version {
		for _, l := range update.Replicas {
			m.applyDeparture(now, l)
		}
		cursor.version = max(cursor.version, update.Version)
	}
	m.deskCursors[from] = cursor
	if len(update.Replicas) > 0 {
		// A replica waits for the word that its leaving is known here.
		m.subscribeTo(from)
	}
}

// follow asks another desk for what is new, and tells up to where it was heard.
func (m *Machine) subscribeTo(to string) {
	cursor := m.deskCursors[to]
	m.addSend(to, Subscribe{Node: m.deskID, Table: m.table.number(), AcceptsDifferences: true, IsDesk: true, Incarnation: cursor.incarnation, Version: cursor.version})
}

func (m *Machine) learnDesk(now time.Duration, address string) {
	if _, ok := m.desks[address]; !ok {
		m.topologyVersion++
	}
	m.desks[address] = now
}

func (m *Machine) onUpdate(now time.Duration, from string, update Update) {
	m.learnDesk(now, from)
	m.applyDepartures(now, from, update)
	if update.Topology != nil {
		m.mergeTopology(now, *update.Topology)
	}
	for _, address := range update.Desks {
		if _, ok := m.desks[address]; !ok {
			m.learnDesk(now, address)
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
