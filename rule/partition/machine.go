package partition

import (
	"time"

	"saffronfall/rule/invariant"
)

// Machine is one seat of one part: it keeps a copy, promises terms, and may own
// the part.
type Machine struct {
	Counters Counters

	params    Params
	member    string
	partition int
	rules     Rules
	state     State
	random    func() float64
	outlets
	completeSeq  uint64
	completeTerm Term
	leaseTerm    Term
	leaseUntil   time.Duration
	electionAt   time.Duration
	highestRound uint64
	leading      *leadership
	change       *memberChange
	// sum is the digest of the copy's entries under digestKey.
	digest    uint64
	digestKey DigestKey
	// durable is the newest term that this replica's disk is known to hold.
	durableTerm Term
}

// outlets are where a machine's words go: what a step wants done, and violated
// invariants.
type outlets struct {
	out      *Output
	violated invariant.Report
}

type leadership struct {
	term     Term
	released Term
	preVote  bool
	// key is what digests are made with in this term.
	digestKey      DigestKey
	rejected       map[string]bool
	promises       map[string]Promise
	phaseStartedAt time.Duration
	preparedAt     time.Duration
	// full is set when the digests of a majority differ, so that entries are
	// needed; light has the digests that seats promised with.
	needEntries     bool
	promisedDigests map[string]uint64
	serving         bool
	group           Group
	committedGroup  Group
	table           map[string]Entry
	// superseded has the agreed values of entries whose newest one, in the table,
	// is not agreed yet.
	superseded     map[string]Entry
	digest         uint64
	seq            uint64
	committedSeq   uint64
	purgedSeq      uint64
	pending        *pendingWrite
	queuedEntries  []Entry
	queuedPurges   []Entry
	queuedResults  []Result
	ackedAt        map[string]time.Duration
	completeSeq    map[string]uint64
	snapshotSentAt map[string]time.Duration
	needsSnapshot  map[string]bool
	nextRenewal    time.Duration
	nextSweep      time.Duration
	servingSince   time.Duration
	clockBase      time.Duration
	clockBaseAt    time.Duration
	queuedGroup    *Group
}

// Options make a machine.
type Options struct {
	Params    Params
	Member    string
	Partition int
	Rules     Rules
	State     State
	Now       time.Duration
	Random    func() float64
	// Violated takes violated invariants; without it they panic.
	Violated invariant.Report
}

// New makes a machine from what its disk holds. As it may have renewed an
// owner's hold just before it stopped, it first waits as long as one lasts.
func New(o Options) *Machine {
	if o.State.Entries == nil {
		o.State.Entries = map[string]Entry{}
	}
	m := &Machine{params: o.Params, member: o.Member, partition: o.Partition, rules: o.Rules, state: o.State, random: o.Random, outlets: outlets{violated: o.Violated}}
	m.digest = m.digestKey.table(o.State.Entries)
	m.durableTerm = o.State.Promised
	m.leaseTerm = o.State.Promised
	m.leaseUntil = o.Now + m.followerLease()
	if o.State.Promised.Round == 0 {
		m.leaseUntil = o.Now
	}
	m.electionAt = m.leaseUntil + m.electionTimeout()
	if o.State.Promised.Leader == o.Member {
		// The hold that it may have renewed was its own, and ended with it.
		m.leaseUntil, m.electionAt = o.Now, o.Now
	}
	return m
}

func (m *Machine) clock(now time.Duration) time.Duration {
	return m.leading.clockBase + now - m.leading.clockBaseAt
}

// Group is the group that this seat knows of.
func (m *Machine) Group() Group { return m.state.Group }

// Copied is this seat's own copy, for reading only.
func (m *Machine) State() State { return m.state }

// Owner is the term that this seat believes to be in force.
func (m *Machine) CurrentTerm() Term { return m.leaseTerm }

// Committed is up to where the owner's entries are agreed.
func (m *Machine) CommittedVersion() (Version, bool) {
	if m.leading == nil || !m.leading.serving {
		return Version{}, false
	}
	return Version{Term: m.leading.term, Seq: m.leading.committedSeq}, true
}

func (m *Machine) send(to string, body any, synced bool) {
	m.out.Sends = append(m.out.Sends, Send{To: to, Body: body, AfterSync: synced})
}

func (m *Machine) record(r Record) {
	r.Partition = m.partition
	if r.Promised != (Term{}) && r.Promised.Less(m.state.Promised) {
		m.violated.Violated(invariant.PromiseNeverBack, "replica %s of partition %d promised %+v and would record %+v", m.member, m.partition, m.state.Promised, r.Promised)
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
	touched := make(map[string]bool, len(r.Entries)+len(r.Purged))
	for _, list := range [][]Entry{r.Entries, r.Purged} {
		for _, e := range list {
			touched[e.Key] = true
		}
	}
	for key := range touched {
		m.digest -= m.digestKey.entry(m.state.Entries[key])
	}
	m.state.Apply(r)
	for key := range touched {
		m.digest += m.digestKey.entry(m.state.Entries[key])
	}
}

// Tick lets time pass: owners renew and sweep, others stand when nobody renews.
func (m *Machine) Tick(now time.Duration) Output {
	m.out = &Output{}
	lead := m.leading
	switch {
	case lead == nil:
		if m.state.Group.Has(m.member) && now >= m.leaseUntil && now >= m.electionAt {
			m.startElection(now, Term{})
		}
	case !lead.serving && now > lead.phaseStartedAt+m.params.LeaseDuration:
		m.stepDown(now)
	case !lead.serving && lead.table == nil && now > lead.preparedAt+m.params.LeaseDuration/10:
		// Some may have been away when they were asked.
		m.sendPrepare(now)
	case !lead.serving && lead.pending != nil && now > lead.pending.sentAt+m.params.LeaseDuration/4:
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
			// A write that it took meanwhile has renewed the hold.
			if at, ok := lead.ackedAt[member]; renew.Digest == 0 && ok && now < at+interval && lead.completeSeq[member] >= lead.committedSeq {
				continue
			}
			m.send(member, renew, false)
		}
	}
	if lead.pending != nil && now > lead.pending.sentAt+m.params.LeaseDuration/4 {
		lead.pending.sentAt = now
		for _, member := range m.recipients() {
			if !lead.pending.acked[member] {
				resend := lead.pending.write
				resend.SentAt = now
				m.send(member, resend, false)
			}
		}
	}
	if c := m.change; c != nil && (now > c.heardAt+maxSilentLeases*m.params.LeaseDuration || now > c.startedAt+maxChangeLeases*m.params.LeaseDuration) {
		m.abortChange(now)
	}
	m.advanceChange(now)
	m.flush(now)
	m.sendSnapshots(now)
	if lead.pending != nil || m.change != nil || len(lead.group.Former) > 0 {
		return
	}
	home := lead.group.Members[0]
	switch {
	case !lead.group.Has(m.member):
		if best := m.successor(); best != "" {
			m.transferLeadership(now, best)
		}
	case m.params.LeasesBeforeHome > 0 && home != m.member && now > lead.servingSince+m.params.LeaseDuration*time.Duration(m.params.LeasesBeforeHome):
		lead.servingSince = now
		if lead.completeSeq[home] >= lead.committedSeq && now < lead.ackedAt[home]+m.params.LeaseDuration/2 {
			m.transferLeadership(now, home)
		}
	}
}

// Receive takes a message of another seat, or the machine's own.
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
