package node

import (
	"fmt"
	"slices"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
	"saffronfall/rule/slab"
)

// termed reports whether this node's term is in force. It is asked again just
// before each shot, so that a node woken from a freeze shoots nothing.
func (m *Machine) termed(now time.Duration) bool {
	return m.joined && now < m.termUntil && m.description != nil
}

func (m *Machine) renew(now time.Duration) {
	if m.joined && now >= m.termUntil {
		m.Counters.TermsLost++
		m.reset(now)
	}
	if m.renewing || now < m.renewAt || len(m.topology.Leaders) == 0 || m.version == 0 || (m.leaving && !m.joined) {
		return
	}
	if m.freshAt < m.bornAt {
		// A life that has not heard from the configuration's owner may be behind
		// what an earlier life of this node had in force.
		return
	}
	if !m.joined && len(m.former) > 0 {
		m.bury(now)
		return
	}
	m.renewing = true
	m.renewAt = now + m.params.Core.MemberLease/6
	sent, incarnation := now, m.incarnation
	var command any = core.RenewMember{ID: m.params.ID, Incarnation: incarnation, Version: m.version}
	if !m.joined {
		command = core.JoinMember{Member: core.Member{ID: m.params.ID, Incarnation: incarnation, Zone: m.params.Zone,
			Peer: m.params.Address, HTTP: m.params.HTTP, Host: m.params.Host, Version: m.version}}
	}
	m.caller.Call(now, command, now+m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		m.renewing = false
		t, ok := o.Answer.(core.MembershipResult)
		if !ok || incarnation != m.incarnation {
			return
		}
		switch {
		case t.Granted:
			if !m.joined {
				m.Counters.Joins++
				m.joinedAt = now
			}
			if until := sent + m.params.Core.MemberLease; until > now {
				m.joined, m.termUntil = true, max(m.termUntil, until)
			}
		case t.Ended:
			m.reset(now)
		case t.Wait > 0:
			m.renewAt = now + min(t.Wait, m.params.Core.MemberLease)
		}
	})
}

// bury tells the core that this node's former life is over, which this node
// alone can know before its term has run out there. What that life owned may
// then be taken over at once, by this node too.
func (m *Machine) bury(now time.Duration) {
	m.renewing = true
	former := m.former[0]
	m.caller.Call(now, core.LeaveMember{ID: m.params.ID, Incarnation: former}, now+m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		m.renewing = false
		if t, ok := o.Answer.(core.MembershipResult); ok && t.Ended {
			m.buried[former] = true
			m.former = slices.DeleteFunc(m.former, func(life string) bool { return life == former })
		}
	})
}

// reset begins a new incarnation: what the old one owned, held and ran is no
// longer this node's.
func (m *Machine) reset(now time.Duration) {
	m.Counters.Resets++
	m.births++
	m.former = append(m.former, m.incarnation)
	m.incarnation = fmt.Sprintf("%s+%d", core.ProcessIncarnation(m.incarnation), m.births)
	m.joined, m.termUntil, m.renewing, m.renewAt = false, 0, false, now
	var lost []*held
	for _, key := range ordered.Keys(m.programs) {
		m.programs[key].lost = true
		m.keepOwn(now, m.programs[key])
		lost = append(lost, m.programs[key])
	}
	var waiters []waiter
	for _, name := range ordered.Keys(m.paces) {
		waiters = append(waiters, m.paces[name].waiting...)
		m.paces[name].waiting = nil
	}
	for range waiters {
		m.buffered--
	}
	m.clear()
	for _, t := range m.liveShots() {
		if s, ok := m.shots.Get(t); ok && s.fenced {
			m.out.Cancels = append(m.out.Cancels, uint64(t))
			m.endShot(now, t, Event{Kind: EventBroken})
		}
	}
	for _, h := range lost {
		m.failSaves(now, h)
	}
	for _, w := range waiters {
		w.next(now, false, m.params.Core.AttemptTimeout)
	}
}

func (m *Machine) liveShots() []slab.Ticket {
	return ordered.Keys(m.live)
}

func (m *Machine) hasEnded(id, incarnation string) bool {
	if id == m.params.ID && m.buried[incarnation] {
		return true
	}
	o, ok := m.members[id]
	return ok && o.HasEnded(incarnation)
}
