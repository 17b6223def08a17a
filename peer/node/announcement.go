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

// Replica is the state that a replica announces.
type Replica struct {
	Service string `msgpack:"s" json:"service"`
	ID      string `msgpack:"i" json:"id"`
	Address string `msgpack:"a" json:"address"`
	Zone    string `msgpack:"z" json:"zone"`
	Load    int64  `msgpack:"l" json:"load"`
	Leaving bool   `msgpack:"g" json:"leaving"`
}

// AnnounceReply answers an announcement. An ordinary one without a token of this process is not
// accepted, and should be repeated at once with the reply's token. NextIn is the delay until the
// next one.
type AnnounceReply struct {
	Accepted bool
	Token    string
	NextIn   time.Duration
}

// Announcement is a replica's announcement as exchanged between nodes. Age is an upper bound; for a
// leaving replica it is a lower bound.
type Announcement struct {
	Replica Replica       `msgpack:"r"`
	Age     time.Duration `msgpack:"a"`
}

// Announcements answers a pull between nodes. Sent is when the pull was sent, by the puller's clock.
type Announcements struct {
	Sent time.Duration  `msgpack:"s"`
	List []Announcement `msgpack:"l"`
}

func init() {
	message.Register(map[string]any{
		"node.Announced": Announcements{},
	})
}

// knownReplica is a replica's last announcement and the earliest time at which it may have been
// made. That of a leaving replica is kept until all older ones have expired on all nodes.
type knownReplica struct {
	replica Replica
	since   time.Duration
}

// Ratios to AnnouncementMaxAge.
const (
	announcementsPerMaxAge = 6
	leavingMaxAges         = 3
)

// Announce handles a replica's announcement. Its age counts from the issue of its token, since it
// may have been delayed while this node was paused. That of a leaving replica counts from now.
func (m *Machine) Announce(now time.Duration, r Replica, token string) AnnounceReply {
	reply := AnnounceReply{Accepted: r.Leaving, NextIn: m.params.AnnouncementMaxAge / announcementsPerMaxAge,
		Token: fmt.Sprintf("%s.%d", m.processID(), now)}
	since := now
	if process, issued, ok := cutToken(token); ok && process == m.processID() {
		if issuedAt, err := strconv.ParseInt(issued, 10, 64); err == nil && time.Duration(issuedAt) <= now {
			since, reply.Accepted = time.Duration(issuedAt), true
		}
	}
	if !reply.Accepted {
		reply.NextIn = 0
		return reply
	}
	m.recordReplica(now, r, since)
	return reply
}

func cutToken(token string) (process, issued string, ok bool) {
	i := strings.LastIndexByte(token, '.')
	if i < 0 {
		return "", "", false
	}
	return token[:i], token[i+1:], true
}

// processID stays the same across membership incarnations.
func (m *Machine) processID() string {
	return m.params.ID + "/" + core.ProcessIncarnation(m.incarnation)
}

// recordReplica stores an announcement unless a newer one is known. The first one of a leaving
// replica overrides all others.
func (m *Machine) recordReplica(now time.Duration, r Replica, since time.Duration) {
	known := m.replicas[r.Service]
	if known == nil {
		known = map[string]knownReplica{}
		m.replicas[r.Service] = known
	}
	previous, ok := known[r.ID]
	switch {
	case r.Leaving && ok && previous.replica.Leaving:
	case r.Leaving:
		known[r.ID] = knownReplica{replica: r, since: now}
	case !ok || since > previous.since:
		known[r.ID] = knownReplica{replica: r, since: since}
	}
}

func (m *Machine) onAnnouncements(now time.Duration, announcements Announcements) {
	if announcements.Sent > now {
		return
	}
	for _, a := range announcements.List {
		age := a.Age + now - announcements.Sent
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

// expireReplicas also drops the health of replicas that are no longer used.
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
		if h.outstanding == 0 && now >= h.ejectedUntil && now >= h.lastUsed+m.params.Core.MemberLease*retentionLeases {
			delete(m.health, key)
		}
	}
}

// retentionLeases is how long, in member leases, an unused replica's health and a queried mirror's
// fence are kept.
const retentionLeases = 16

// currentReplicas lists replicas with a recent announcement, including those that can't be reached.
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
