package desk

import (
	"time"

	"saffronfall/rule/ordered"
)

type subscriber struct {
	life            string
	version         uint64
	table           uint64
	differs         bool
	topologyVersion uint64
	heard           time.Duration
	desk            bool
	// has is the version that it said it has of this life of the desk.
	has uint64
}

// listens reports whether a subscriber was heard of lately.
func (m *Machine) listens(now time.Duration, f *subscriber) bool {
	return now <= f.heard+lost*m.params.Beat
}

// speaks reports whether a subscriber was heard within a heartbeat.
func (f *subscriber) speaks(now, beat time.Duration) bool { return now <= f.heard+beat }

func (m *Machine) tellAll(now time.Duration) {
	for _, address := range ordered.Keys(m.subscribers) {
		if f := m.subscribers[address]; m.listens(now, f) {
			m.tell(now, address, f, false)
		}
	}
}

// tell sends a follower what it lacks. What was sent counts as had until the
// follower says otherwise in its next word.
func (m *Machine) tell(now time.Duration, to string, f *subscriber, always bool) {
	b := Bulletin{Life: m.life, Since: f.version, Version: m.version, Number: m.table.number(), Digest: m.table.digestOf(), Confirmed: -1, Nodes: m.nodes(now)}
	if m.confirmed >= 0 {
		b.Confirmed = now - m.confirmed
	}
	if f.life != m.life {
		b.Since = 0
	}
	for _, id := range ordered.Keys(m.list) {
		if l := m.list[id]; l.Version > b.Since && (!f.desk || l.departed()) {
			b.List = append(b.List, l.Listed)
			b.Confirm = b.Confirm || l.departed()
		}
	}
	if f.table < m.table.number() {
		b.Differences = m.differencesFor(f)
		if b.Differences == nil {
			b.Table = m.table.whole()
		}
	}
	if f.topologyVersion != m.topologyVersion {
		t := m.topology
		b.Topology = &t
		b.Desks = ordered.Keys(m.desks)
	}
	if !always && len(b.List) == 0 && b.Table == nil && b.Differences == nil && b.Topology == nil {
		return
	}
	b.Confirm = b.Confirm && !f.desk && m.speakingDesks(now) == 0
	f.life, f.version, f.table, f.topologyVersion = m.life, m.version, max(f.table, m.table.number()), m.topologyVersion
	m.Counters.Bulletins++
	m.send(to, b)
}

// speakingDesks counts the other desks that were heard within a heartbeat.
func (m *Machine) speakingDesks(now time.Duration) int {
	n := 0
	for _, f := range m.subscribers {
		if f.desk && f.speaks(now, m.params.Beat) {
			n++
		}
	}
	return n
}

// nodes counts the nodes that listen.
func (m *Machine) nodes(now time.Duration) int {
	n := 0
	for _, f := range m.subscribers {
		if !f.desk && m.listens(now, f) {
			n++
		}
	}
	return n
}

func (m *Machine) onFollow(now time.Duration, from string, b Follow) {
	f := m.subscribers[from]
	if f == nil {
		f = &subscriber{}
		m.subscribers[from] = f
	}
	f.heard, f.desk = now, b.Desk
	f.life, f.version, f.table, f.differs = b.Life, b.Version, b.Table, b.Differs
	f.has = b.Version
	if b.Life != m.life {
		f.topologyVersion, f.has = 0, 0
	}
	if b.Desk {
		m.learnDesk(now, from)
	}
	if b.Table > m.table.number() {
		// The follower knows a newer one: the cores are asked at once.
		m.pullAt = now
	}
	m.tell(now, from, f, true)
	m.answerDepartures(now)
}

// deskHeard is up to where this desk has heard another one's life.
type deskHeard struct {
	life    string
	version uint64
}

// learnDeparted takes who leaves or has left from another desk: what a desk has
// acknowledged must outlive it.
func (m *Machine) learnDeparted(now time.Duration, from string, b Bulletin) {
	other := m.otherDesks[from]
	if other.life != b.Life {
		other = deskHeard{life: b.Life}
	}
	if b.Since <= other.version {
		for _, l := range b.List {
			m.depart(now, l)
		}
		other.version = max(other.version, b.Version)
	}
	m.otherDesks[from] = other
	if len(b.List) > 0 {
		// A replica waits for the word that its leaving is known here.
		m.follow(from)
	}
}

// follow asks another desk for what is new, and tells up to where it was heard.
func (m *Machine) follow(to string) {
	other := m.otherDesks[to]
	m.send(to, Follow{Node: m.id, Table: m.table.number(), Differs: true, Desk: true, Life: other.life, Version: other.version})
}

func (m *Machine) learnDesk(now time.Duration, address string) {
	if _, ok := m.desks[address]; !ok {
		m.topologyVersion++
	}
	m.desks[address] = now
}

func (m *Machine) onBulletin(now time.Duration, from string, b Bulletin) {
	m.learnDesk(now, from)
	m.learnDeparted(now, from, b)
	if b.Topology != nil {
		m.adopt(now, *b.Topology)
	}
	for _, address := range b.Desks {
		if _, ok := m.desks[address]; !ok {
			m.learnDesk(now, address)
			m.followAt = now
		}
	}
	if b.Table != nil {
		m.installText(now, b.Number, b.Digest, b.Table)
	}
	for _, difference := range b.Differences {
		if next, ok := difference.Apply(m.table.parsedOf(), m.table.digestOf()); ok {
			m.install(now, next, difference.Digest)
		}
	}
}
