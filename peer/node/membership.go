package node

import (
	"fmt"
	"slices"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
	"saffronfall/rule/slab"
)

// hasLease is checked again just before each attempt, so that a node that was paused starts none
// after its lease.
func (m *Machine) hasLease(now time.Duration) bool {
	return m.joined && now < m.leaseExpiresAt && m.description != nil
}

const renewalsPerLease = 6

// renew joins the fleet or renews the lease. The lease counts from the sending of the request, so
// it ends here before it ends at the cores.
func (m *Machine) renew(now time.Duration) {
	if m.joined && now >= m.leaseExpiresAt {
		m.Counters.LeasesLost++
		m.reset(now)
	}
	if m.renewing || now < m.renewAt || len(m.topology.Leaders) == 0 || m.configurationVersion == 0 || (m.leaving && !m.joined) {
		return
	}
	if m.freshAt < m.startedAt {
		// The configuration may be older than the one of an earlier process of this node, until
		// the leader of its partition has answered.
		return
	}
	if !m.joined && len(m.formerIncarnations) > 0 {
		m.endFormerIncarnation(now)
		return
	}
	m.renewing = true
	m.renewAt = now + m.params.Core.MemberLease/renewalsPerLease
	sent, incarnation := now, m.incarnation
	var command any = core.RenewMember{ID: m.params.ID, Incarnation: incarnation, Version: m.configurationVersion}
	if !m.joined {
		command = core.JoinMember{Member: core.Member{ID: m.params.ID, Incarnation: incarnation, Zone: m.params.Zone,
			Peer: m.params.Address, HTTP: m.params.HTTP, Host: m.params.Host, Version: m.configurationVersion}}
	}
	m.caller.Call(now, command, now+m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		m.renewing = false
		result, ok := o.Answer.(core.MembershipResult)
		if !ok || incarnation != m.incarnation {
			return
		}
		switch {
		case result.Granted:
			if !m.joined {
				m.Counters.Joins++
				m.joinedAt = now
			}
			if until := sent + m.params.Core.MemberLease; until > now {
				m.joined, m.leaseExpiresAt = true, max(m.leaseExpiresAt, until)
			}
		case result.Ended:
			m.reset(now)
		case result.Wait > 0:
			m.renewAt = now + min(result.Wait, m.params.Core.MemberLease)
		}
	})
}

// endFormerIncarnation lets the programs of a former incarnation be taken over, also by this node,
// before its lease expires. Until then only this node can know that it has ended.
func (m *Machine) endFormerIncarnation(now time.Duration) {
	m.renewing = true
	former := m.formerIncarnations[0]
	command := core.LeaveMember{ID: m.params.ID, Incarnation: former}
	m.caller.Call(now, command, now+m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		m.renewing = false
		if result, ok := o.Answer.(core.MembershipResult); ok && result.Ended {
			m.endedIncarnations[former] = true
			m.formerIncarnations = slices.DeleteFunc(m.formerIncarnations, func(incarnation string) bool { return incarnation == former })
		}
	})
}

// reset begins a new incarnation and drops the programs, shares and attempts of the old one.
func (m *Machine) reset(now time.Duration) {
	m.Counters.Resets++
	m.formerCount++
	m.formerIncarnations = append(m.formerIncarnations, m.incarnation)
	m.incarnation = fmt.Sprintf("%s+%d", core.ProcessIncarnation(m.incarnation), m.formerCount)
	m.joined, m.leaseExpiresAt, m.renewing, m.renewAt = false, 0, false, now
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
		if a, ok := m.attempts.Get(t); ok && a.requiresOwnership {
			m.out.Cancels = append(m.out.Cancels, uint64(t))
			m.finishAttempt(now, t, AttemptEvent{Kind: EventInterrupted})
		}
	}
	for _, prog := range lost {
		m.failSaves(now, prog)
	}
	for _, w := range waiters {
		w.next(now, false, m.params.Core.AttemptTimeout)
	}
}

func (m *Machine) liveAttemptTickets() []slab.Ticket {
	return ordered.Keys(m.liveAttempts)
}

func (m *Machine) hasEnded(id, incarnation string) bool {
	if id == m.params.ID && m.endedIncarnations[incarnation] {
		return true
	}
	member, ok := m.members[id]
	return ok && member.HasEnded(incarnation)
}
