package partition

import (
	"sort"
	"time"
)

// After a transfer of its leadership, a member waits electionLeases leases for the election.
const electionLeases = 2

// stepDownDelayDivisor divides the lease duration that is added to the timeout after a step down.
const stepDownDelayDivisor = 10

// successor returns the most up-to-date other member, or an empty string if there is none.
func (m *Machine) successor() string {
	lead, best := m.leading, ""
	for _, member := range lead.group.Members {
		if member != m.member && (best == "" || lead.completeSeq[member] > lead.completeSeq[best] ||
			(lead.completeSeq[member] == lead.completeSeq[best] && lead.ackedAt[member] > lead.ackedAt[best])) {
			best = member
		}
	}
	return best
}

func (m *Machine) transferLeadership(now time.Duration, member string) {
	m.send(member, TransferLeadership{Term: m.leading.term}, false)
	m.stepDown(now)
	m.electionAt = now + electionLeases*m.params.LeaseDuration
}

// startElection makes this member a candidate. If it is given a released term, whose leader no
// longer serves, it holds no pre-vote.
func (m *Machine) startElection(now time.Duration, released Term) {
	m.Counters.Elections++
	round := max(m.state.Promised.Round, m.leaseTerm.Round, m.highestRound) + 1
	m.leading = &leadership{
		term:            Term{Round: round, Leader: m.member},
		released:        released,
		preVote:         released == Term{},
		digestKey:       m.newDigestKey(),
		candidacy:       candidacy{phaseStartedAt: now},
		group:           m.state.Group,
		promises:        map[string]Promise{},
		rejected:        map[string]bool{},
		promisedDigests: map[string]uint64{},
		superseded:      map[string]Entry{},
		ackedAt:         map[string]time.Duration{},
		completeSeq:     map[string]uint64{},
		snapshotSentAt:  map[string]time.Duration{},
		needsSnapshot:   map[string]bool{},
	}
	m.sendPrepare(now)
}

func (m *Machine) sendPrepare(now time.Duration) {
	lead := m.leading
	lead.prepareSentAt = now
	if !lead.preVote && m.state.Promised != lead.term {
		// The candidate's own promise is on disk before it asks for others. Otherwise it could
		// be a candidate for the same term again after a restart.
		m.record(Record{Promised: lead.term})
	}
	for _, member := range lead.group.All() {
		if _, ok := lead.promises[member]; !ok {
			m.send(member, Prepare{
				PreVote:    lead.preVote,
				DigestOnly: !lead.needEntries,
				DigestKey:  lead.digestKey,
				Term:       lead.term,
				Group:      lead.group,
				Released:   lead.released,
				SentAt:     now,
			}, !lead.preVote)
		}
	}
}

// stepDown ends a candidacy or leadership. The outcome of waiting commands is uncertain: a later
// leader may find their writes on some member and commit them.
func (m *Machine) stepDown(now time.Duration) {
	if lead := m.leading; lead != nil {
		if lead.pending != nil {
			lead.queuedResults = append(lead.pending.results, lead.queuedResults...)
		}
		for _, result := range lead.queuedResults {
			m.out.Results = append(m.out.Results, Result{RequestID: result.RequestID, Uncertain: true})
		}
	}
	if m.change != nil {
		m.out.Results = append(m.out.Results, Result{RequestID: m.change.requestID, Uncertain: true})
	}
	if m.leading != nil && m.leaseTerm == m.leading.term {
		// No leader serves under this term from now on.
		m.leaseUntil = now
	}
	m.leading, m.change = nil, nil
	m.electionAt = now + m.electionTimeout() + m.params.LeaseDuration/stepDownDelayDivisor
}

// ReleaseLeadership transfers the leadership to the most up-to-date other member. It does nothing
// while a write is pending.
func (m *Machine) ReleaseLeadership(now time.Duration) Output {
	m.out = &Output{}
	lead := m.leading
	if _, ok := m.LeadingTerm(now); !ok || lead.pending != nil {
		return *m.out
	}
	if best := m.successor(); best != "" {
		m.transferLeadership(now, best)
	}
	return *m.out
}

// isJoining reports whether this member belongs to a group that it doesn't know yet. The leader
// that added it may have failed, and the others may be no majority without it.
func (m *Machine) isJoining(group Group) bool {
	return m.state.Group.Before(group) && group.Has(m.member)
}

// onPrepare sends a promise once it is on disk. A promise counts as a lease, so that no other
// election interrupts the takeover.
func (m *Machine) onPrepare(now time.Duration, from string, msg Prepare) {
	reject := Reject{Term: msg.Term, Promised: m.state.Promised, Group: m.state.Group}
	leaseHeld := now < m.leaseUntil && m.leaseTerm != msg.Released && m.leaseTerm.Leader != msg.Term.Leader
	switch {
	case !m.state.Group.Has(m.member) && !m.isJoining(msg.Group):
		return
	case msg.Group.Before(m.state.Group):
		m.send(from, reject, false)
	case leaseHeld:
		// A candidate need not wait for another candidacy, which may end at any time.
		if m.leading == nil || m.leading.serving {
			reject.LeaseRemaining = m.leaseUntil - now
		}
		m.send(from, reject, false)
	case msg.Term.Less(m.state.Promised):
		m.send(from, reject, false)
	case msg.PreVote:
		m.send(from, Promise{PreVote: true, Term: msg.Term, Group: m.state.Group, SentAt: msg.SentAt}, false)
	default:
		if m.leading != nil && m.leading.term.Less(msg.Term) {
			m.stepDown(now)
		}
		if m.state.Promised != msg.Term {
			m.record(Record{Promised: msg.Term})
		}
		m.setDigestKey(msg.DigestKey)
		promise := Promise{
			Term:       msg.Term,
			Base:       m.state.Base,
			Group:      m.state.Group,
			Clock:      m.state.Clock,
			SentAt:     msg.SentAt,
			DigestOnly: msg.DigestOnly,
			Digest:     m.digest,
		}
		if !msg.DigestOnly {
			promise.Entries = m.sortedEntries()
		}
		m.extendLeaseFor(now, msg.Term, m.promiseLease(promise.Entries))
		m.send(from, promise, true)
	}
}

func (m *Machine) sortedEntries() []Entry {
	list := make([]Entry, 0, len(m.state.Entries))
	for _, e := range m.state.Entries {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// onPromise asks for binding promises after a quorum of pre-votes, and takes over after a quorum of
// those.
func (m *Machine) onPromise(now time.Duration, from string, msg Promise) {
	lead := m.leading
	if lead == nil || msg.Term != lead.term || msg.PreVote != lead.preVote {
		return
	}
	if msg.DigestOnly {
		lead.promisedDigests[from] = msg.Digest
	}
	if lead.table != nil && !lead.serving && lead.pending != nil && !lead.pending.acked[from] {
		m.sendInitialWrite(now, from)
	}
	if lead.serving || lead.table != nil || msg.DigestOnly && lead.needEntries {
		return
	}
	m.recordPromise(now, from, msg)
	switch {
	case !lead.group.hasQuorum(lead.promised):
	case lead.preVote && now < m.leaseUntil && m.leaseTerm.Leader != m.member:
		// The candidate has renewed another leader's lease since it asked. If it promised its
		// own term now, it would not wait for the end of that lease after a restart.
		m.stepDown(now)
	case lead.preVote:
		m.restartPhase(now, false)
	case !lead.promised(m.member):
	case lead.anyDigestOnly() && !m.digestsMatch():
		m.restartPhase(now, true)
	default:
		m.assumeLeadership(now)
	}
}

func (m *Machine) recordPromise(now time.Duration, from string, msg Promise) {
	lead := m.leading
	lead.promises[from] = msg
	delete(lead.rejected, from)
	if !msg.PreVote {
		lead.ackedAt[from] = msg.SentAt
	}
	if lead.group.Before(msg.Group) {
		lead.group = msg.Group
		m.sendPrepare(now)
	}
}

// restartPhase asks for binding promises after a pre-vote, or for entries if digests differ.
func (m *Machine) restartPhase(now time.Duration, needEntries bool) {
	lead := m.leading
	if !needEntries {
		lead.preVote, lead.rejected = false, map[string]bool{}
	}
	if needEntries && !lead.needEntries {
		lead.needEntries, lead.transferTime = true, m.transferTime(m.sortedEntries())
	}
	lead.promises, lead.phaseStartedAt = map[string]Promise{}, now
	m.sendPrepare(now)
}

func (lead *leadership) promised(member string) bool {
	_, ok := lead.promises[member]
	return ok
}

func (lead *leadership) anyDigestOnly() bool {
	for _, p := range lead.promises {
		if p.DigestOnly {
			return true
		}
	}
	return false
}

func (m *Machine) digestsMatch() bool {
	for _, p := range m.leading.promises {
		if !p.DigestOnly || p.Digest != m.digest {
			return false
		}
	}
	return true
}

// assumeLeadership sends the merged promises of a quorum as the leader's first write. The leader
// serves once that write is committed.
func (m *Machine) assumeLeadership(now time.Duration) {
	lead := m.leading
	allEqual := m.digestsMatch()
	if allEqual {
		lead.promises[m.member] = Promise{Entries: m.sortedEntries(), Base: m.state.Base, Clock: m.state.Clock}
	}
	lead.table = lead.mergePromises(allEqual)
	for _, p := range lead.promises {
		lead.clockBase = max(lead.clockBase, p.Clock)
	}
	lead.clockBaseAt = now
	m.rebaseTable()
	if len(lead.group.Former) > 0 {
		lead.queuedGroup = &Group{Term: lead.term, Epoch: lead.group.Epoch + 1, Members: lead.group.Members}
	}
	lead.seq = 1
	lead.group.Term = lead.term
	first := Write{
		Term:     lead.term,
		Seq:      1,
		Group:    lead.group,
		Clock:    lead.clockBase,
		Entries:  lead.queuedEntries,
		Snapshot: true,
		SentAt:   now,
	}
	if allEqual {
		first.Digest, first.Rebase = m.digest, true
	}
	lead.pending = &pendingWrite{seq: 1, acked: map[string]bool{}, sentAt: now, write: first}
	lead.queuedEntries = nil
	lead.phaseStartedAt = now
	for _, member := range lead.group.All() {
		m.sendInitialWrite(now, member)
	}
}

// mergePromises returns the newest promised value of each entry. It skips values older than the
// newest base term, whose leader wrote the complete table: such a value is in its snapshot or was
// never committed. If all members have equal entries, it drops the tombstones.
func (lead *leadership) mergePromises(allEqual bool) map[string]Entry {
	var base Term
	for _, p := range lead.promises {
		if base.Less(p.Base) {
			base = p.Base
		}
	}
	newest := map[string]Entry{}
	for _, p := range lead.promises {
		for _, e := range p.Entries {
			if e.Version.Term.Less(base) || allEqual && e.Deleted {
				continue
			}
			if old, ok := newest[e.Key]; !ok || old.Version.Less(e.Version) {
				newest[e.Key] = e
			}
		}
	}
	return newest
}

// rebaseTable gives all entries of the new table a version of the leader's term and queues them.
func (m *Machine) rebaseTable() {
	lead := m.leading
	lead.digest = 0
	keys := make([]string, 0, len(lead.table))
	for k := range lead.table {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		e := lead.table[k]
		e.Version = Version{Term: lead.term, Seq: 1}
		lead.table[k] = e
		lead.digest += m.digestKey.entry(e)
		lead.queuedEntries = append(lead.queuedEntries, e)
	}
}

// sendInitialWrite sends the leader's first write, as a rebase without entries if the member's
// digest matches. While the digest that a rebase depends on is unknown, it sends nothing.
func (m *Machine) sendInitialWrite(now time.Duration, member string) {
	lead := m.leading
	initial := lead.pending.write
	initial.SentAt = now
	if digest, ok := lead.promisedDigests[member]; initial.Rebase && !ok {
		return
	} else if initial.Rebase = initial.Rebase && digest == initial.Digest; initial.Rebase {
		initial.Entries, initial.Snapshot = nil, false
	}
	m.send(member, initial, false)
}

// onReject makes a candidate step down once the members that have not rejected it are no quorum.
func (m *Machine) onReject(now time.Duration, from string, msg Reject) {
	lead := m.leading
	if m.state.Group.Before(msg.Group) {
		m.record(Record{Group: &msg.Group})
	}
	if lead == nil || msg.Term != lead.term {
		return
	}
	m.highestRound = max(m.highestRound, msg.Promised.Round)
	if lead.serving {
		// The member has promised a later term to a candidate that was not elected. The leader
		// starts an election for a higher term, without a pre-vote.
		if lead.term.Less(msg.Promised) {
			m.stepDown(now)
			m.startElection(now, msg.Term)
		}
		return
	}
	lead.rejected[from] = true
	if lead.group.Before(msg.Group) || !lead.group.hasQuorum(func(member string) bool { return !lead.rejected[member] }) {
		m.stepDown(now)
		m.electionAt = max(m.electionAt, now+msg.LeaseRemaining+m.electionTimeout())
	}
}
