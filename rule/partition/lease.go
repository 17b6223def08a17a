package partition

import (
	"time"
)

func (m *Machine) followerLease() time.Duration {
	return time.Duration(float64(m.params.LeaseDuration) * (1 + m.params.Drift))
}

// patience is how long a seat waits longer than it must before it stands, so
// that not all stand at once.
func (m *Machine) electionTimeout() time.Duration {
	rank := 0
	for i, s := range m.state.Group.Members {
		if s == m.member {
			rank = i
		}
	}
	return time.Duration(float64(m.params.LeaseDuration) * (float64(rank)*0.25 + m.random()*0.15))
}

// Owns reports whether this seat owns the part now, and under which term.
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
	m.leaseTerm, m.leaseUntil = term, now+m.followerLease()
	m.electionAt = m.leaseUntil + m.electionTimeout()
}

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
	// While the term is not known to be on disk, the answer waits for it: a power
	// loss could make this replica forget the term, and vote for another leader
	// while this one's lease rests on its word.
	m.send(from, ack, m.durableTerm != msg.Term)
}

func (m *Machine) onLeaseAck(now time.Duration, from string, msg LeaseAck) {
	lead := m.leading
	if lead == nil || msg.Term != lead.term {
		return
	}
	lead.ackedAt[from] = max(lead.ackedAt[from], msg.SentAt)
	lead.completeSeq[from] = max(lead.completeSeq[from], msg.CompleteSeq)
	m.noteNewMember(now, from)
	if lead.serving && (msg.CompleteSeq < lead.committedSeq || msg.Diverged) && (lead.pending == nil || msg.CompleteSeq < lead.pending.write.PriorSeq) && contains(m.recipients(), from) {
		m.scheduleSnapshot(now, from)
	}
	m.advanceChange(now)
	m.flush(now)
}
