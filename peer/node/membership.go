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
func (m *Machine) inTerm(now time.Duration) bool {
	return m.joined && now < m.termExpiresAt && m.description != nil
}

func (m *Machine) renew(now time.Duration) {
	if m.joined && now >= m.termExpiresAt {
		m.Counters.TermsLost++
		m.reset(now)
	}
	if m.renewing || now < m.renewAt || len(m.topology.Owners) == 0 || m.configurationVersion == 0 || (m.leaving && !m.joined) {
		return
	}
	if m.freshAt < m.startedAt {
		// A life that has not heard from the configuration's owner may be behind
		// what an earlier life of this node had in force.
		return
	}
	if !m.joined && len(m.formerIncarnations) > 0 {
		m.endFormerIncarnation(now)
		return
	}
	m.renewing = true
	m.renewAt = now + m.params.Core.MemberTerm/6
	sent, incarnation := now, m.incarnation
	var command any = core.RenewMember{ID: m.params.ID, Incarnation: incarnation, Version: m.configurationVersion}
	if !m.joined {
		command = core.JoinMember{Member: core.Member{ID: m.params.ID, Incarnation: incarnation, Zone: m.params.Zone,
			Peer: m.params.Address, HTTP: m.params.HTTP, Host: m.params.Host, Version: m.configurationVersion}}
	}
	m.caller.Call(now, command, now+m.params.Core.MemberTerm, func(now time.Duration, o core.Outcome) {
		m.renewing = false
		t, ok := o.Answer.(core.Termed)
		if !ok || incarnation != m.incarnation {
			return
		}
		switch {
		case t.Granted:
			if !m.joined {
				m.Counters.Joins++
				m.joinedAt = now
			}
			if until := sent + m.params.Core.MemberTerm; until > now {
				m.joined, m.termExpiresAt = true, max(m.termExpiresAt, until)
			}
		case t.Ended:
			m.reset(now)
		case t.Wait > 0:
			m.renewAt = now + min(t.Wait, m.params.Core.MemberTerm)
		}
	})
}

// bury tells the core that this node's former life is over, which this node
// alone can know before its term has run out there. What that life owned may
// then be taken over at once, by this node too.
func (m *Machine) endFormerIncarnation(now time.Duration) {
	m.renewing = true
	former := m.formerIncarnations[0]
	m.caller.Call(now, core.LeaveMember{ID: m.params.ID, Incarnation: former}, now+m.params.Core.MemberTerm, func(now time.Duration, o core.Outcome) {
		m.renewing = false
		if t, ok := o.Answer.(core.Termed); ok && t.Ended {
			m.endedIncarnations[former] = true
			m.formerIncarnations = slices.DeleteFunc(m.formerIncarnations, func(life string) bool { return life == former })
		}
	})
}

// reset begins a new incarnation: what the old one owned, held and ran is no
// longer this node's.
func (m *Machine) reset(now time.Duration) {
	m.Counters.Resets++
	m.formerCount++
	m.formerIncarnations = append(m.formerIncarnations, m.incarnation)
	m.incarnation = fmt.Sprintf("%s+%d", core.LifeOf(m.incarnation), m.formerCount)
	m.joined, m.termExpiresAt, m.renewing, m.renewAt = false, 0, false, now
	var lost []*ownedProgram
	for _, key := range ordered.Keys(m.programs) {
		m.programs[key].lost = true
		m.keepUnsaved(now, m.programs[key])
		lost = append(lost, m.programs[key])
	}
	var waiters []rateWaiter
	for _, name := range ordered.Keys(m.rateShares) {
		waiters = append(waiters, m.rateShares[name].waiting...)
		m.rateShares[name].waiting = nil
	}
	for range waiters {
		m.queued--
	}
	m.clearOwned()
	for _, t := range m.liveAttemptTickets() {
		if a, ok := m.attempts.Look(t); ok && a.fenced {
			m.out.Cancels = append(m.out.Cancels, uint64(t))
			m.finishAttempt(now, t, AttemptEvent{Kind: EventInterrupted})
		}
	}
	for _, prog := range lost {
		m.failSaves(now, prog)
	}
	for _, w := range waiters {
		w.next(now, false, m.params.Core.Retry)
	}
}

func (m *Machine) liveAttemptTickets() []slab.Ticket {
	return ordered.Keys(m.liveAttempts)
}

func (m *Machine) hasEnded(id, incarnation string) bool {
	if id == m.params.ID && m.endedIncarnations[incarnation] {
		return true
	}
	o, ok := m.members[id]
	return ok && o.HasEnded(incarnation)
}
