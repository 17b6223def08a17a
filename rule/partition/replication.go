package partition

import (
	"sort"
	"time"
)

// pendingWrite waits for a quorum, with the results that depend on it.
type pendingWrite struct {
	seq     uint64
	write   Write
	acked   map[string]bool
	results []Result
	sentAt  time.Duration
	group   *Group
}

// Propose runs a command at the leader. Its Result is in this or a later output, once all writes
// that the command has read or made are committed.
func (m *Machine) Propose(now time.Duration, requestID uint64, command any) Output {
	m.out = &Output{}
	if _, ok := m.LeadingTerm(now); !ok {
		m.out.Results = append(m.out.Results, Result{RequestID: requestID, NotLeader: true})
		return *m.out
	}
	lead := m.leading
	tx := &Tx{m: m, now: now}
	result := Result{RequestID: requestID, Body: m.rules.Apply(now, tx, command)}
	switch {
	case tx.wrote || len(lead.queuedEntries) > 0:
		lead.queuedResults = append(lead.queuedResults, result)
	case lead.pending != nil:
		lead.pending.results = append(lead.pending.results, result)
	default:
		m.out.Results = append(m.out.Results, result)
	}
	m.flush(now)
	return *m.out
}

func (m *Machine) flush(now time.Duration) {
	lead := m.leading
	if lead.pending != nil || m.writesHeld(now) ||
		(len(lead.queuedEntries) == 0 && lead.queuedGroup == nil && len(lead.queuedPurges) == 0) {
		return
	}
	latest := map[string]Entry{}
	for _, e := range lead.queuedEntries {
		latest[e.Key] = e
	}
	entries := make([]Entry, 0, len(latest))
	for _, e := range latest {
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	prior := lead.seq
	lead.seq++
	if lead.queuedGroup != nil {
		lead.group = *lead.queuedGroup
	}
	lead.pending = &pendingWrite{
		seq:     lead.seq,
		acked:   map[string]bool{},
		results: lead.queuedResults,
		sentAt:  now,
		group:   lead.queuedGroup,
		write: Write{
			Term:     lead.term,
			Seq:      lead.seq,
			PriorSeq: prior,
			Group:    lead.group,
			Clock:    m.clock(now),
			Entries:  entries,
			Purged:   lead.queuedPurges,
			SentAt:   now,
		},
	}
	lead.queuedEntries, lead.queuedResults, lead.queuedGroup, lead.queuedPurges = nil, nil, nil, nil
	m.Counters.Writes++
	m.Counters.Entries += int64(len(entries))
	for _, member := range m.recipients() {
		if !lead.needsSnapshot[member] {
			m.send(member, lead.pending.write, false)
		}
	}
	m.sendSnapshots(now)
}

// recipients returns the members that receive writes, including the one to be added.
func (m *Machine) recipients() []string {
	all := m.leading.group.All()
	if m.change != nil && m.change.adding != "" && !contains(all, m.change.adding) {
		all = append(all, m.change.adding)
	}
	return all
}

// purgeTombstones queues the removal of committed tombstones. A member that lacks a committed write
// could restore the deleted entry later, so all members must be complete.
func (m *Machine) purgeTombstones() {
	lead := m.leading
	for _, member := range lead.group.All() {
		if lead.completeSeq[member] < lead.committedSeq {
			return
		}
	}
	for key, e := range lead.table {
		if e.Deleted && e.Version.Seq <= lead.committedSeq {
			lead.queuedPurges = append(lead.queuedPurges, e)
			lead.purgedSeq = max(lead.purgedSeq, e.Version.Seq)
			delete(lead.table, key)
			m.Counters.TombstonesPurged++
		}
	}
	sort.Slice(lead.queuedPurges, func(i, j int) bool { return lead.queuedPurges[i].Key < lead.queuedPurges[j].Key })
}

// onWrite stores a leader's write and acknowledges it once it is on disk.
func (m *Machine) onWrite(now time.Duration, from string, msg Write) {
	if msg.Term.Less(m.state.Promised) {
		m.send(from, Reject{Term: msg.Term, Promised: m.state.Promised, Group: m.state.Group}, false)
		return
	}
	if m.leading != nil && m.leading.term.Less(msg.Term) {
		m.stepDown(now)
	}
	if m.completeTerm != msg.Term {
		m.completeTerm, m.completeSeq = msg.Term, 0
	}
	// A duplicate must not be applied: it would restore entries that were deleted since and whose
	// tombstones are purged.
	duplicate := m.completeSeq >= msg.Seq && (msg.Rebase || !msg.Snapshot) || m.completeSeq > msg.Seq
	if msg.Rebase && !duplicate && m.digest != msg.Digest {
		m.send(from, WriteAck{Term: msg.Term, SentAt: msg.SentAt, DigestMismatch: true}, false)
		return
	}
	group := msg.Group
	if !duplicate {
		m.record(Record{
			Promised: msg.Term,
			Group:    &group,
			Clock:    msg.Clock,
			Entries:  msg.Entries,
			Purged:   msg.Purged,
			Snapshot: msg.Snapshot,
			Rebase:   msg.Rebase,
			UpTo:     msg.Seq,
		})
	}
	m.extendLeaseByWrite(now, msg)
	if msg.Snapshot || msg.Rebase || m.completeSeq >= msg.PriorSeq {
		m.completeSeq = max(m.completeSeq, msg.Seq)
	}
	m.send(from, WriteAck{Term: msg.Term, Seq: msg.Seq, CompleteSeq: m.completeSeq, SentAt: msg.SentAt}, true)
}

func (m *Machine) onWriteAck(now time.Duration, from string, msg WriteAck) {
	lead := m.leading
	if lead == nil || msg.Term != lead.term {
		return
	}
	lead.completeSeq[from] = max(lead.completeSeq[from], msg.CompleteSeq)
	lead.ackedAt[from] = max(lead.ackedAt[from], msg.SentAt)
	m.recordNewMemberAck(now, from)
	pending := lead.pending
	if msg.DigestMismatch && pending != nil && pending.write.Rebase {
		// The member's entries have changed since its promise, so it needs the snapshot. A
		// digest other than the write's makes retransmissions send it too.
		lead.promisedDigests[from] = pending.write.Digest + 1
		snapshot := pending.write
		snapshot.Rebase, snapshot.SentAt = false, now
		m.send(from, snapshot, false)
	}
	if pending == nil || pending.seq != msg.Seq {
		m.advanceChange(now)
		m.flush(now)
		return
	}
	pending.acked[from] = true
	if !lead.group.hasQuorum(func(member string) bool { return pending.acked[member] }) {
		return
	}
	lead.pending, lead.committedSeq, lead.committedGroup = nil, pending.seq, lead.group
	lead.markCommitted(pending.write.Entries)
	m.out.Results = append(m.out.Results, pending.results...)
	if !lead.serving {
		lead.serving, lead.servingSince = true, now
		// After a long first write the lease has ended, and a phase begins in which it is renewed.
		lead.phaseStartedAt = now
		m.Counters.Elected++
		lead.nextSweep = now + m.params.LeaseDuration*time.Duration(m.params.LeasesPerSweep)
		m.rules.Elected(now, &Tx{m: m, now: now})
	}
	m.advanceChange(now)
	m.flush(now)
}

// snapshotLeases is the least number of leases between two snapshots to a member.
const snapshotLeases = 2

// scheduleSnapshot does nothing if the member was sent a snapshot recently.
func (m *Machine) scheduleSnapshot(now time.Duration, to string) {
	lead := m.leading
	if sentAt, ok := lead.snapshotSentAt[to]; ok && now < sentAt+snapshotLeases*m.params.LeaseDuration {
		return
	}
	lead.needsSnapshot[to] = true
	m.sendSnapshots(now)
}

// sendSnapshots waits until nothing is queued, so that a snapshot holds exactly the writes up to
// its sequence number.
func (m *Machine) sendSnapshots(now time.Duration) {
	lead := m.leading
	if len(lead.needsSnapshot) == 0 || len(lead.queuedEntries) > 0 ||
		len(lead.queuedPurges) > 0 || lead.queuedGroup != nil {
		return
	}
	snapshot := Write{
		Term:     lead.term,
		Seq:      lead.seq,
		Group:    lead.group,
		Clock:    m.clock(now),
		Snapshot: true,
		SentAt:   now,
		Entries:  make([]Entry, 0, len(lead.table)),
	}
	for _, e := range lead.table {
		snapshot.Entries = append(snapshot.Entries, e)
	}
	sort.Slice(snapshot.Entries, func(i, j int) bool { return snapshot.Entries[i].Key < snapshot.Entries[j].Key })
	for _, member := range m.recipients() {
		if lead.needsSnapshot[member] {
			m.Counters.SnapshotsSent++
			lead.snapshotSentAt[member] = now
			m.send(member, snapshot, false)
		}
	}
	clear(lead.needsSnapshot)
}

// PurgedSeq returns the sequence number up to which tombstones may have been purged, or 0 if
// this member isn't the leader.
func (m *Machine) PurgedSeq() uint64 {
	if m.leading == nil {
		return 0
	}
	return m.leading.purgedSeq
}
