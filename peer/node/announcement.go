package node

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
)

// Replica is what a replica says of itself.
type Replica struct {
	Service string `msgpack:"s" json:"service"`
	ID      string `msgpack:"i" json:"id"`
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"z" json:"zone"`
	Load    int64  `msgpack:"l" json:"load"`
	Leaving bool   `msgpack:"g" json:"leaving"`
}

// Heard answers an announcement. One that came without the stamp of this very
// node is not counted, and is to be said again at once with it.
type Heard struct {
	Counted bool
	Stamp   string
	Again   time.Duration
}

// Announcement is a replica's word as it goes from node to node, with its age:
// at least that of an ordinary one, at most that of a leaving.
type Announcement struct {
	Replica Replica       `msgpack:"r"`
	Age     time.Duration `msgpack:"a"`
}

// Announced answers a pull between nodes.
type Announced struct {
	Sent time.Duration  `msgpack:"s"`
	List []Announcement `msgpack:"l"`
}

func init() {
	message.Register(map[string]any{
		"node.Announced": Announced{},
	})
}

// announced is what a node holds of a replica: what it said last, and since
// when that may have been so. A leaving is kept until every older word has
// grown too old everywhere.
type announced struct {
	replica Replica
	since   time.Duration
}

// Ratios of an announcement's times to the bound on its age.
const (
	announcementsPerNewest = 6
	leavingsKept           = 3
)

// Announce takes a replica's word about itself. An ordinary one counts from
// when this node gave its stamp out, since it may have waited for this node to
// wake; a leaving counts from now.
func (m *Machine) Announce(now time.Duration, r Replica, stamp string) Heard {
	heard := Heard{Counted: r.Leaving, Again: m.params.Newest / announcementsPerNewest,
		Stamp: fmt.Sprintf("%s.%d", m.lifeOf(), now)}
	since := now
	if life, at, ok := cutLast(stamp); ok && life == m.lifeOf() {
		if told, err := strconv.ParseInt(at, 10, 64); err == nil && time.Duration(told) <= now {
			since, heard.Counted = time.Duration(told), true
		}
	}
	if !heard.Counted {
		heard.Again = 0
		return heard
	}
	m.hear(now, r, since)
	return heard
}

func cutLast(stamp string) (life, at string, ok bool) {
	i := strings.LastIndexByte(stamp, '.')
	if i < 0 {
		return "", "", false
	}
	return stamp[:i], stamp[i+1:], true
}

// lifeOf names this process's life, whatever terms it had.
func (m *Machine) lifeOf() string { return m.params.ID + "/" + core.ProcessIncarnation(m.incarnation) }

func (m *Machine) hear(now time.Duration, r Replica, since time.Duration) {
	list := m.replicas[r.Service]
	if list == nil {
		list = map[string]announced{}
		m.replicas[r.Service] = list
	}
	known, ok := list[r.ID]
	switch {
	case r.Leaving && ok && known.replica.Leaving:
	case r.Leaving:
		// Whoever hears it stops at once; what was said before it no longer counts.
		list[r.ID] = announced{replica: r, since: now}
	case !ok || since > known.since:
		list[r.ID] = announced{replica: r, since: since}
	}
}

func (m *Machine) onAnnounced(now time.Duration, b Announced) {
	if b.Sent > now {
		return
	}
	for _, a := range b.List {
		age := a.Age + now - b.Sent
		switch {
		case a.Age < 0:
		case a.Replica.Leaving && a.Age < m.params.Newest*(leavingsKept-1), !a.Replica.Leaving && age < m.params.Newest:
			m.hear(now, a.Replica, now-age)
		}
	}
}

func (m *Machine) tellAnnounced(now time.Duration, to string, sent time.Duration) {
	told := Announced{Sent: sent}
	for _, service := range ordered.Keys(m.replicas) {
		for _, id := range ordered.Keys(m.replicas[service]) {
			a := m.replicas[service][id]
			told.List = append(told.List, Announcement{Replica: a.replica, Age: now - a.since})
		}
	}
	if len(told.List) > 0 {
		m.send(to, told)
	}
}

// forget drops what has grown too old to be acted on.
func (m *Machine) forget(now time.Duration) {
	for _, service := range ordered.Keys(m.replicas) {
		for id, a := range m.replicas[service] {
			keep := m.params.Newest
			if a.replica.Leaving {
				keep *= leavingsKept
			}
			if now >= a.since+keep {
				delete(m.replicas[service], id)
			}
		}
		if len(m.replicas[service]) == 0 {
			delete(m.replicas, service)
		}
	}
	for _, key := range ordered.Keys(m.conditions) {
		c := m.conditions[key]
		if c.outstanding == 0 && now >= c.until && now >= c.usedAt+m.params.Core.MemberLease*ejectionsKept {
			delete(m.conditions, key)
		}
	}
}

// ejectionsKept is how many member terms a condition outlives its last use.
const ejectionsKept = 16

// present lists the replicas of a service that a shot may go to now: those that
// were announced lately enough, whoever can't be reached.
func (m *Machine) present(now time.Duration, service string) []Replica {
	var list []Replica
	for _, a := range m.replicas[service] {
		if !a.replica.Leaving && now < a.since+m.params.Newest {
			list = append(list, a.replica)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
