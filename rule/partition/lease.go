package partition

import (
	"time"
)

// followerLease returns how long a follower counts a lease: longer than the leader does, by the
// bound on clock drift.
func (m *Machine) followerLease() time.Duration {
	return time.Duration(float64(m.params.LeaseDuration) * (1 + m.params.Drift))
}

// Parts of the election timeout, in leases: for each position in the group, and the largest random
// part.
const (
	electionTimeoutPerRank = 0.25
	electionTimeoutJitter  = 0.15
)

// electionTimeout returns how long a member waits after the end of a lease before it starts an
// election. It differs between members, so that they rarely start elections at the same time.
func (m *Machine) electionTimeout() time.Duration {
	rank := 0
	for i, member := range m.state.Group.Members {
		if member == m.member {
			rank = i
		}
	}
	return time.Duration(float64(m.params.LeaseDuration) *
		(float64(rank)*electionTimeoutPerRank + m.random()*electionTimeoutJitter))
}

// LeadingTerm returns the term in which this member serves as the leader, or false if it doesn't
// serve or its lease has expired.
func (m *Machine) LeadingTerm(now time.Duration) (Term, bool) {
	if m.leading == nil || !m.leading.serving || !m.hasLease(now) {
		return Term{}, false
	}
	return m.leading.term, true
}

func (m *Machine) hasLease(now time.Duration) bool {
	lead := m.leading
	return lead.group.hasQuorum(func(member string) bool {
		at, ok := lead.ackedAt[member]
		return ok && now < at+m.params.LeaseDuration
	})
}

func (m *Machine) extendLease(now time.Duration, term Term) {
	m.extendLeaseFor(now, term, m.followerLease())
}

func (m *Machine) extendLeaseFor(now time.Duration, term Term, duration time.Duration) {
	m.leaseTerm, m.leaseUntil = term, now+duration
	m.electionAt = m.leaseUntil + m.electionTimeout()
}

// extendLeaseByWrite keeps what is left of a promise's longer lease while the leader's first write, which
// may be large, is on its way to the other members. Later messages shorten it again: the leader serves,
// and counts a lease from the sending of what was acknowledged.
func (m *Machine) extendLeaseByWrite(now time.Duration, msg Write) {
	duration := m.followerLease()
	if msg.Seq == 1 && m.leaseTerm == msg.Term {
		duration = max(duration, m.leaseUntil-now)
	}
	m.extendLeaseFor(now, msg.Term, duration)
}

// onRenewLease renews the lease of the promised term only. Its answer to a later term has a time one
// lease duration ago, so that it doesn't count as a renewal.
func (m *Machine) onRenewLease(now time.Duration, from string, msg RenewLease) {
	if msg.Term.Less(m.state.Promised) {
		m.send(from, Reject{Term: msg.Term, Promised: m.state.Promised, Group: m.state.Group}, false)
		return
	}
	if msg.Term != m.state.Promised {
		m.send(from, LeaseAck{Term: msg.Term, SentAt: msg.SentAt - m.params.LeaseDuration}, false)
		return
	}
	m.extendLease(now, msg.Term)
	m.state.Clock = max(m.state.Clock, msg.Clock)
	ack := LeaseAck{Term: msg.Term, SentAt: msg.SentAt}
	if m.completeTerm == msg.Term {
		ack.CompleteSeq = m.completeSeq
	}
	if msg.Digest != 0 && ack.CompleteSeq == msg.Seq {
		m.setDigestKey(msg.DigestKey)
		ack.Diverged = m.digest|1 != msg.Digest
	}
	// The answer waits until the term is known to be on disk. Otherwise this replica could forget
	// the term in a power loss and promise another leader while this lease holds.
	m.send(from, ack, m.durableTerm != msg.Term)
}

func (m *Machine) onLeaseAck(now time.Duration, from string, msg LeaseAck) {
	lead := m.leading
	if lead == nil || msg.Term != lead.term {
		return
	}
	lead.ackedAt[from] = max(lead.ackedAt[from], msg.SentAt)
	lead.completeSeq[from] = max(lead.completeSeq[from], msg.CompleteSeq)
	m.recordNewMemberAck(now, from)
	if lead.serving && (msg.CompleteSeq < lead.committedSeq || msg.Diverged) &&
		(lead.pending == nil || msg.CompleteSeq < lead.pending.write.PriorSeq) &&
		contains(m.recipients(), from) {
		m.scheduleSnapshot(now, from)
	}
	m.advanceChange(now)
	m.flush(now)
}
