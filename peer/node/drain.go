package node

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
)

// Drain starts a graceful shutdown. Running requests complete, programs are handed over, shares are
// returned, and the membership ends last.
func (m *Machine) Drain(now time.Duration) Output {
	m.beginStep(now)
	m.leaving = true
	return *m.out
}

// Drained reports whether draining is complete.
func (m *Machine) Drained(now time.Duration) bool { return m.leaving && m.left }

// Shutdown aborts what still runs after the drain's grace period. It ends the membership so that
// successors need not wait for the lease to expire.
func (m *Machine) Shutdown(now time.Duration) Output {
	m.beginStep(now)
	m.leaving = true
	for _, t := range m.liveAttemptTickets() {
		m.out.Cancels = append(m.out.Cancels, uint64(t))
		m.finishAttempt(now, t, AttemptEvent{Kind: EventInterrupted})
	}
	if m.joined {
		m.joined = false
		m.endMembership(now)
	}
	return *m.out
}

func (m *Machine) continueDrain(now time.Duration) {
	if !m.leaving || m.left {
		return
	}
	if !m.joined {
		if !m.returningShares && m.running == 0 && m.requests.Len() == 0 {
			m.left = true
		}
		return
	}
	successors := m.availableMembers()
	for _, key := range ordered.Keys(m.programs) {
		prog := m.programs[key]
		if len(successors) == 0 || prog.recovery != nil || len(prog.record.Running) > 0 ||
			len(prog.waiters) > 0 || prog.savedVersion < prog.record.Version {
			continue
		}
		to := successors[m.nextSuccessor%len(successors)]
		m.nextSuccessor++
		m.handOver(now, key, prog, to)
	}
	if m.running > 0 || m.requests.Len() > 0 || m.pendingHandovers > 0 || (len(m.programs) > 0 && len(successors) > 0) {
		return
	}
	m.returnShares(now)
}

// availableMembers lists the other members that are neither ended nor leaving.
func (m *Machine) availableMembers() []core.Member {
	var list []core.Member
	for _, id := range ordered.Keys(m.members) {
		if member := m.members[id]; id != m.params.ID && !member.Ended && !member.Leaving {
			list = append(list, member)
		}
	}
	return list
}

// handOver assigns a program to a successor. This node no longer serves it, even if the command is
// lost.
func (m *Machine) handOver(now time.Duration, key string, prog *ownedProgram, to core.Member) {
	prog.lost = true
	delete(m.programs, key)
	m.owners[key] = to
	m.pendingHandovers++
	m.Counters.HandedOver++
	command := core.HandOverProgram{
		Tenant:      prog.record.Tenant,
		ID:          prog.record.ID,
		Fence:       prog.record.Fence,
		Node:        to.ID,
		Incarnation: to.Incarnation,
		Address:     to.Peer,
	}
	m.caller.Call(now, command, now+m.params.Core.MemberLease, func(time.Duration, core.Outcome) { m.pendingHandovers-- })
}

// returnShares returns all shares, then ends the membership.
func (m *Machine) returnShares(now time.Duration) {
	if m.returningShares {
		return
	}
	m.returningShares = true
	waiting := 1
	done := func(now time.Duration, o core.Outcome) {
		if waiting--; waiting == 0 {
			m.joined = false
			m.endMembership(now)
		}
	}
	call := func(command any) {
		waiting++
		m.caller.Call(now, command, now+m.params.Core.MemberLease/2, done)
	}
	for _, tenant := range m.tenants {
		var returned core.DrawAllowances
		for _, urgent := range []bool{false, true} {
			rs, rate, burst := m.rateShareOf(tenant, urgent)
			rs.returnUnits(now, rs.account.Held(), rate, burst)
			returned.Draws = append(returned.Draws, m.rateReport(tenant, urgent, 0))
		}
		call(returned)
		s := m.dayShareOf(tenant)
		s.account.Returned += s.free()
		call(m.dayShareCommand(tenant, s)(0))
	}
	m.spendShare.account.Returned += m.spendShare.free()
	call(m.spendPrefetchCommand(0))
	done(now, core.Outcome{})
}

func (m *Machine) endMembership(now time.Duration) {
	command := core.LeaveMember{ID: m.params.ID, Incarnation: m.incarnation}
	m.caller.Call(now, command, now+m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		// Other nodes may still forward requests until they learn of the end; notOwner refuses
		// these.
		m.timers.Add(now+3*m.params.Core.PullInterval, func(time.Duration) { m.left = true })
	})
}
