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
type AnnounceReply struct {
	Accepted bool
	Token    string
	NextIn   time.Duration
}

// Announcement is a replica's word as it goes from node to node, with its age:
// at least that of an ordinary one, at most that of a leaving.
type Announcement struct {
	Replica Replica       `msgpack:"r"`
	Age     time.Duration `msgpack:"a"`
}

// Announced answers a pull between nodes.
type Announcements struct {
	Sent time.Duration  `msgpack:"s"`
	List []Announcement `msgpack:"l"`
}

func init() {
	message.Register(map[string]any{
		"node.Announced": Announcements{},
	})
}

// announced is what a node holds of a replica: what it said last, and since
// when that may have been so. A leaving is kept until every older word has
// grown too old everywhere.
type knownReplica struct {
	replica Replica
	since   time.Duration
}

// Ratios of an announcement's times to the bound on its age.
const (
	announcementsPerMaxAge = 6
	leavingMaxAges         = 3
)

// Announce takes a replica's word about itself. An ordinary one counts from
// when this node gave its stamp out, since it may have waited for this node to
// wake; a leaving counts from now.
func (m *Machine) Announce(now time.Duration, r Replica, stamp string) AnnounceReply {
	heard := AnnounceReply{Accepted: r.Leaving, NextIn: m.params.AnnouncementMaxAge / announcementsPerMaxAge,
		Token: fmt.Sprintf("%s.%d", m.processID(), now)}
	since := now
	if life, at, ok := cutToken(stamp); ok && life == m.processID() {
		if told, err := strconv.ParseInt(at, 10, 64); err == nil && time.Duration(told) <= now {
			since, heard.Accepted = time.Duration(told), true
		}
	}
	if !heard.Accepted {
		heard.NextIn = 0
		return heard
	}
	m.recordReplica(now, r, since)
	return heard
}

func cutToken(stamp string) (life, at string, ok bool) {
	i := strings.LastIndexByte(stamp, '.')
	if i < 0 {
		return "", "", false
	}
	return stamp[:i], stamp[i+1:], true
}

// lifeOf names this process's life, whatever terms it had.
func (m *Machine) processID() string { return m.params.ID + "/" + core.LifeOf(m.incarnation) }

func (m *Machine) recordReplica(now time.Duration, r Replica, since time.Duration) {
	list := m.replicas[r.Service]
	if list == nil {
		list = map[string]knownReplica{}
		m.replicas[r.Service] = list
	}
	known, ok := list[r.ID]
	switch {
	case r.Leaving && ok && known.replica.Leaving:
	case r.Leaving:
		// Whoever hears it stops at once; what was said before it no longer counts.
		list[r.ID] = knownReplica{replica: r, since: now}
	case !ok || since > known.since:
		list[r.ID] = knownReplica{replica: r, since: since}
	}
}

func (m *Machine) onAnnouncements(now time.Duration, b Announcements) {
	if b.Sent > now {
		return
	}
	for _, a := range b.List {
		age := a.Age + now - b.Sent
		switch {
		case a.Age < 0:
		case a.Replica.Leaving && a.Age < m.params.AnnouncementMaxAge*(leavingMaxAges-1), !a.Replica.Leaving && age < m.params.AnnouncementMaxAge:
			m.recordReplica(now, a.Replica, now-age)
		}
	}
}

func (m *Machine) sendAnnouncements(now time.Duration, to string, sent time.Duration) {
	reply := Announcements{Sent: sent}
	for _, service := range ordered.Keys(m.replicas) {
		for _, id := range ordered.Keys(m.replicas[service]) {
			a := m.replicas[service][id]
			reply.List = append(reply.List, Announcement{Replica: a.replica, Age: now - a.since})
		}
	}
	if len(reply.List) > 0 {
		m.send(to, reply)
	}
}

// forget drops what has grown too old to be acted on.
func (m *Machine) expireReplicas(now time.Duration) {
	for _, service := range ordered.Keys(m.replicas) {
		for id, a := range m.replicas[service] {
			keep := m.params.AnnouncementMaxAge
			if a.replica.Leaving {
				keep *= leavingMaxAges
			}
			if now >= a.since+keep {
				delete(m.replicas[service], id)
			}
		}
		if len(m.replicas[service]) == 0 {
			delete(m.replicas, service)
		}
	}
	for _, key := range ordered.Keys(m.health) {
		h := m.health[key]
		if h.outstanding == 0 && now >= h.ejectedUntil && now >= h.lastUsed+m.params.Core.MemberTerm*healthTerms {
			delete(m.health, key)
		}
	}
}

// ejectionsKept is how many member terms a condition outlives its last use.
const healthTerms = 16

// present lists the replicas of a service that a shot may go to now: those that
// were announced lately enough, whoever can't be reached.
func (m *Machine) currentReplicas(now time.Duration, service string) []Replica {
	var list []Replica
	for _, a := range m.replicas[service] {
		if !a.replica.Leaving && now < a.since+m.params.AnnouncementMaxAge {
			list = append(list, a.replica)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
