package partition

import (
	"time"

	"saffronfall/rule/invariant"
)

// Periods as divisors of the lease duration.
const (
	prepareRetryDivisor = 10
	writeRetryDivisor   = 4
	recentAckDivisor    = 2 // leadership is transferred only to a member with a recent acknowledgement
)

// Machine is one member's replica of a partition. It stores a State, promises terms to
// candidates, and may become the leader. It isn't safe for concurrent use.
type Machine struct {
	Counters Counters

	params    Params
	member    string
	partition int
	rules     Rules
	state     State
	random    func() float64
	effects
	// completeSeq is the sequence number up to which this replica has every write of completeTerm.
	completeSeq  uint64
	completeTerm Term
	// leaseTerm is the last term whose lease this replica renewed. It may hold until leaseUntil.
	leaseTerm    Term
	leaseUntil   time.Duration
	electionAt   time.Duration // the end of the election timeout
	highestRound uint64        // the highest promised round in a rejection
	// leading is set while this member is the candidate or leader of a term.
	leading     *leadership
	change      *memberChange // nil if none is in progress
	digest      uint64        // of the stored entries
	digestKey   DigestKey
	durableTerm Term // the newest one known to be on disk
}

// effects has the output of the current call.
type effects struct {
	out      *Output
	violated invariant.Reporter
}

// leadership is the state of a candidate or leader in one term.
type leadership struct {
	term      Term
	released  Term // see Prepare
	preVote   bool
	digestKey DigestKey
	rejected  map[string]bool
	promises  map[string]Promise
	candidacy
	promisedDigests map[string]uint64
	serving         bool
	group           Group
	committedGroup  Group
	table           map[string]Entry
	// superseded has the committed values of entries whose newest value is not committed.
	superseded   map[string]Entry
	digest       uint64
	seq          uint64
	committedSeq uint64
	purgedSeq    uint64
	// pending is the write that waits for a quorum; what is queued is in the next one.
	pending       *pendingWrite
	queuedEntries []Entry
	queuedPurges  []Entry
	queuedResults []Result
	// ackedAt has, by member, when the latest message that it acknowledged was sent.
	ackedAt        map[string]time.Duration
	completeSeq    map[string]uint64
	snapshotSentAt map[string]time.Duration
	needsSnapshot  map[string]bool
	nextRenewal    time.Duration
	nextSweep      time.Duration
	servingSince   time.Duration
	clockBase      time.Duration // the partition's clock at clockBaseAt
	clockBaseAt    time.Duration
	queuedGroup    *Group
}

// candidacy is the timing of a candidate's phases: the requests for pre-votes, for promises, for
// entries, and the first write.
type candidacy struct {
	phaseStartedAt time.Duration
	prepareSentAt  time.Duration
	needEntries    bool // set when the digests of a quorum differ
	// transferTime is what a transfer of all entries may take.
	transferTime time.Duration
}

// Options configure a Machine.
type Options struct {
	Params    Params
	Member    string // the name of this replica in its group
	Partition int
	Rules     Rules
	// State is the state on disk; its zero value is that of a new member.
	State State
	Now   time.Duration
	// Random returns numbers in [0, 1).
	Random func() float64
	// Violated reports violated invariants. If it is nil, they panic.
	Violated invariant.Reporter
}

// New returns a Machine that continues from the state on its disk. It first waits for the duration
// of a lease, as it may have renewed one just before it stopped.
func New(o Options) *Machine {
	if o.State.Entries == nil {
		o.State.Entries = map[string]Entry{}
	}
	m := &Machine{
		params:    o.Params,
		member:    o.Member,
		partition: o.Partition,
		rules:     o.Rules,
		state:     o.State,
		random:    o.Random,
		effects:   effects{violated: o.Violated},
	}
	m.digest = m.digestKey.table(o.State.Entries)
	m.durableTerm = o.State.Promised
	m.leaseTerm = o.State.Promised
	m.leaseUntil = o.Now + m.followerLease()
	if o.State.Promised.Round == 0 {
		m.leaseUntil = o.Now
	}
	m.electionAt = m.leaseUntil + m.electionTimeout()
	if o.State.Promised.Leader == o.Member {
		// Any lease that it renewed was its own, and ended when it stopped.
		m.leaseUntil, m.electionAt = o.Now, o.Now
	}
	return m
}

func (m *Machine) clock(now time.Duration) time.Duration {
	return m.leading.clockBase + now - m.leading.clockBaseAt
}

// Group returns the latest group that this replica knows.
func (m *Machine) Group() Group { return m.state.Group }

// State returns the stored state of this replica. The caller must not modify it.
func (m *Machine) State() State { return m.state }

// CurrentTerm returns the last term whose lease this replica renewed.
func (m *Machine) CurrentTerm() Term { return m.leaseTerm }

// CommittedVersion returns the version up to which entries are committed, or false if this member
// doesn't serve as the leader.
func (m *Machine) CommittedVersion() (Version, bool) {
	if m.leading == nil || !m.leading.serving {
		return Version{}, false
	}
	return Version{Term: m.leading.term, Seq: m.leading.committedSeq}, true
}

func (m *Machine) send(to string, body any, afterSync bool) {
	m.out.Sends = append(m.out.Sends, Send{To: to, Body: body, AfterSync: afterSync})
}

func (m *Machine) record(r Record) {
	r.Partition = m.partition
	if r.Promised != (Term{}) && r.Promised.Less(m.state.Promised) {
		m.violated.Violated(invariant.PromisedTermNeverLower,
			"replica %s of partition %d promised %+v and would record %+v",
			m.member, m.partition, m.state.Promised, r.Promised)
	}
	m.out.Records = append(m.out.Records, r)
	if m.state.Promised.Less(r.Promised) {
		m.send(m.member, TermDurable{Term: r.Promised}, true)
	}
	if r.Snapshot || r.Rebase {
		m.state.Apply(r)
		m.digest = m.digestKey.table(m.state.Entries)
		return
	}
	changed := make(map[string]bool, len(r.Entries)+len(r.Purged))
	for _, list := range [][]Entry{r.Entries, r.Purged} {
		for _, e := range list {
			changed[e.Key] = true
		}
	}
	for key := range changed {
		m.digest -= m.digestKey.entry(m.state.Entries[key])
	}
	m.state.Apply(r)
	for key := range changed {
		m.digest += m.digestKey.entry(m.state.Entries[key])
	}
}

// Tick runs the work that is due, such as lease renewals and elections.
func (m *Machine) Tick(now time.Duration) Output {
	m.out = &Output{}
	lead := m.leading
	switch {
	case lead == nil:
		if m.state.Group.Has(m.member) && now >= m.leaseUntil && now >= m.electionAt {
			m.startElection(now, Term{})
		}
	case !lead.serving && now > lead.phaseStartedAt+m.phaseDuration():
		m.stepDown(now)
	case !lead.serving && lead.table == nil && now > lead.prepareSentAt+m.retryInterval(prepareRetryDivisor):
		// The messages may have been lost, or their receivers may have been down.
		m.sendPrepare(now)
	case !lead.serving && lead.pending != nil && now > lead.pending.sentAt+m.retryInterval(writeRetryDivisor):
		lead.pending.sentAt = now
		for _, member := range lead.group.All() {
			if !lead.pending.acked[member] {
				m.sendInitialWrite(now, member)
			}
		}
	case lead.serving && !m.hasLease(now) && now > lead.phaseStartedAt+m.params.LeaseDuration:
		m.stepDown(now)
	case lead.serving:
		m.tickLeader(now)
	}
	return *m.out
}

func (m *Machine) tickLeader(now time.Duration) {
	lead := m.leading
	if now >= lead.nextRenewal {
		interval := m.params.LeaseDuration / time.Duration(m.params.RenewalsPerLease)
		lead.nextRenewal = now + interval
		renew := RenewLease{Term: lead.term, Clock: m.clock(now), SentAt: now}
		if now >= lead.nextSweep && lead.pending == nil && len(lead.queuedEntries) == 0 {
			lead.nextSweep = now + m.params.LeaseDuration*time.Duration(m.params.LeasesPerSweep)
			renew.Digest, renew.DigestKey, renew.Seq = lead.digest|1, m.digestKey, lead.committedSeq
			m.Counters.Sweeps++
			m.purgeTombstones()
		}
		for _, member := range m.recipients() {
			// An acknowledged write has renewed the lease already.
			if at, ok := lead.ackedAt[member]; renew.Digest == 0 && ok && now < at+interval &&
				lead.completeSeq[member] >= lead.committedSeq {
				continue
			}
			m.send(member, renew, false)
		}
	}
	if lead.pending != nil && now > lead.pending.sentAt+m.params.LeaseDuration/writeRetryDivisor {
		lead.pending.sentAt = now
		for _, member := range m.recipients() {
			if !lead.pending.acked[member] {
				resend := lead.pending.write
				resend.SentAt = now
				m.send(member, resend, false)
			}
		}
	}
	if c := m.change; c != nil && (now > c.lastAckAt+maxSilentLeases*m.params.LeaseDuration ||
		now > c.startedAt+maxChangeLeases*m.params.LeaseDuration) {
		m.abortChange(now)
	}
	m.advanceChange(now)
	m.flush(now)
	m.sendSnapshots(now)
	if lead.pending != nil || m.change != nil || len(lead.group.Former) > 0 {
		return
	}
	preferred := lead.group.Members[0]
	switch {
	case !lead.group.Has(m.member):
		if best := m.successor(); best != "" {
			m.transferLeadership(now, best)
		}
	case m.params.LeasesBeforeTransfer > 0 && preferred != m.member &&
		now > lead.servingSince+m.params.LeaseDuration*time.Duration(m.params.LeasesBeforeTransfer):
		lead.servingSince = now
		if lead.completeSeq[preferred] >= lead.committedSeq &&
			now < lead.ackedAt[preferred]+m.params.LeaseDuration/recentAckDivisor {
			m.transferLeadership(now, preferred)
		}
	}
}

// Receive handles a message of another member or of the machine itself.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.out = &Output{}
	switch b := body.(type) {
	case Prepare:
		m.onPrepare(now, from, b)
	case Promise:
		m.onPromise(now, from, b)
	case Reject:
		m.onReject(now, from, b)
	case Write:
		m.onWrite(now, from, b)
	case WriteAck:
		m.onWriteAck(now, from, b)
	case RenewLease:
		m.onRenewLease(now, from, b)
	case LeaseAck:
		m.onLeaseAck(now, from, b)
	case TermDurable:
		if from == m.member && m.durableTerm.Less(b.Term) {
			m.durableTerm = b.Term
		}
	case TransferLeadership:
		if m.state.Group.Has(m.member) && m.leading == nil && b.Term == m.leaseTerm {
			m.leaseUntil = now
			m.startElection(now, b.Term)
		}
	}
	return *m.out
}

// Rules returns the rules that the partition was made with.
func (m *Machine) Rules() Rules { return m.rules }
