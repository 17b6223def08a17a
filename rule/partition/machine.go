package partition

import (
	"time"

	"saffronfall/rule/invariant"
)

// Machine is one seat of one part: it keeps a copy, promises terms, and may own
// the part.
type Machine struct {
	Counters Counters

	params Params
	seat   string
	number int
	rules  Rules
	copy   Copy
	random func() float64
	outlets
	whole   uint64
	wholeOf Term
	holder  Term
	until   time.Duration
	standAt time.Duration
	highest uint64
	owning  *owning
	change  *change
	// sum is the digest of the copy's entries under digestKey.
	sum       uint64
	digestKey DigestKey
	// durable is the newest term that this replica's disk is known to hold.
	durable Term
}

// outlets are where a machine's words go: what a step wants done, and violated
// invariants.
type outlets struct {
	out      *Output
	violated invariant.Reporter
}

type owning struct {
	term     Term
	released Term
	asking   bool
	// key is what digests are made with in this term.
	key      DigestKey
	refused  map[string]bool
	promises map[string]Promise
	sent     time.Duration
	askedAt  time.Duration
	// full is set when the digests of a majority differ, so that entries are
	// needed; light has the digests that seats promised with.
	full    bool
	light   map[string]uint64
	serving bool
	group   Group
	agreed  Group
	table   map[string]Entry
	// superseded has the agreed values of entries whose newest one, in the table,
	// is not agreed yet.
	superseded map[string]Entry
	sum        uint64
	seq        uint64
	committed  uint64
	dropped    uint64
	flight     *flight
	entries    []Entry
	drops      []Entry
	returns    []Return
	renewed    map[string]time.Duration
	whole      map[string]uint64
	filled     map[string]time.Duration
	wanting    map[string]bool
	renewAt    time.Duration
	sweepAt    time.Duration
	servedAt   time.Duration
	clockBase  time.Duration
	clockAt    time.Duration
	regroup    *Group
}

// Options make a machine.
type Options struct {
	Params Params
	Seat   string
	Number int
	Rules  Rules
	Copy   Copy
	Now    time.Duration
	Random func() float64
	// Violated takes violated invariants; without it they panic.
	Violated invariant.Reporter
}

// New makes a machine from what its disk holds. As it may have renewed an
// owner's hold just before it stopped, it first waits as long as one lasts.
func New(o Options) *Machine {
	if o.Copy.Entries == nil {
		o.Copy.Entries = map[string]Entry{}
	}
	m := &Machine{params: o.Params, seat: o.Seat, number: o.Number, rules: o.Rules, copy: o.Copy, random: o.Random, outlets: outlets{violated: o.Violated}}
	m.sum = m.digestKey.sum(o.Copy.Entries)
	m.durable = o.Copy.Promised
	m.holder = o.Copy.Promised
	m.until = o.Now + m.hold()
	if o.Copy.Promised.Round == 0 {
		m.until = o.Now
	}
	m.standAt = m.until + m.patience()
	if o.Copy.Promised.Owner == o.Seat {
		// The hold that it may have renewed was its own, and ended with it.
		m.until, m.standAt = o.Now, o.Now
	}
	return m
}

func (m *Machine) clock(now time.Duration) time.Duration {
	return m.owning.clockBase + now - m.owning.clockAt
}

// Group is the group that this seat knows of.
func (m *Machine) Group() Group { return m.copy.Group }

// Copied is this seat's own copy, for reading only.
func (m *Machine) Copied() Copy { return m.copy }

// Owner is the term that this seat believes to be in force.
func (m *Machine) Owner() Term { return m.holder }

// Committed is up to where the owner's entries are agreed.
func (m *Machine) Committed() (Stamp, bool) {
	if m.owning == nil || !m.owning.serving {
		return Stamp{}, false
	}
	return Stamp{Term: m.owning.term, Seq: m.owning.committed}, true
}

func (m *Machine) send(to string, body any, synced bool) {
	m.out.Sends = append(m.out.Sends, Send{To: to, Body: body, Synced: synced})
}

func (m *Machine) record(r Record) {
	r.Part = m.number
	if r.Promised != (Term{}) && r.Promised.Less(m.copy.Promised) {
		m.violated.Violated(invariant.PromisedTermNeverLower, "replica %s of partition %d promised %+v and would record %+v", m.seat, m.number, m.copy.Promised, r.Promised)
	}
	m.out.Records = append(m.out.Records, r)
	if m.copy.Promised.Less(r.Promised) {
		m.send(m.seat, TermDurable{Term: r.Promised}, true)
	}
	if r.Whole || r.Restamp {
		m.copy.Apply(r)
		m.sum = m.digestKey.sum(m.copy.Entries)
		return
	}
	touched := make(map[string]bool, len(r.Entries)+len(r.Drops))
	for _, list := range [][]Entry{r.Entries, r.Drops} {
		for _, e := range list {
			touched[e.Key] = true
		}
	}
	for key := range touched {
		m.sum -= m.digestKey.entry(m.copy.Entries[key])
	}
	m.copy.Apply(r)
	for key := range touched {
		m.sum += m.digestKey.entry(m.copy.Entries[key])
	}
}

// Tick lets time pass: owners renew and sweep, others stand when nobody renews.
func (m *Machine) Tick(now time.Duration) Output {
	m.out = &Output{}
	o := m.owning
	switch {
	case o == nil:
		if m.copy.Group.Has(m.seat) && now >= m.until && now >= m.standAt {
			m.stand(now, Term{})
		}
	case !o.serving && now > o.sent+m.params.OwnerTerm:
		m.stepDown(now)
	case !o.serving && o.table == nil && now > o.askedAt+m.params.OwnerTerm/10:
		// Some may have been away when they were asked.
		m.ask(now)
	case !o.serving && o.flight != nil && now > o.flight.sentAt+m.params.OwnerTerm/4:
		o.flight.sentAt = now
		for _, seat := range o.group.All() {
			if !o.flight.taken[seat] {
				m.sendFirst(now, seat)
			}
		}
	case o.serving && !m.leased(now) && now > o.sent+m.params.OwnerTerm:
		m.stepDown(now)
	case o.serving:
		m.tickOwner(now)
	}
	return *m.out
}

func (m *Machine) tickOwner(now time.Duration) {
	o := m.owning
	if now >= o.renewAt {
		interval := m.params.OwnerTerm / time.Duration(m.params.Renewals)
		o.renewAt = now + interval
		r := Renew{Term: o.term, Clock: m.clock(now), Sent: now}
		if now >= o.sweepAt && o.flight == nil && len(o.entries) == 0 {
			o.sweepAt = now + m.params.OwnerTerm*time.Duration(m.params.Sweeps)
			r.Digest, r.Key, r.Seq = o.sum|1, m.digestKey, o.committed
			m.Counters.Swept++
			m.dropMarks()
		}
		for _, seat := range m.listeners() {
			// A write that it took meanwhile has renewed the hold.
			if at, ok := o.renewed[seat]; r.Digest == 0 && ok && now < at+interval && o.whole[seat] >= o.committed {
				continue
			}
			m.send(seat, r, false)
		}
	}
	if o.flight != nil && now > o.flight.sentAt+m.params.OwnerTerm/4 {
		o.flight.sentAt = now
		for _, seat := range m.listeners() {
			if !o.flight.taken[seat] {
				again := o.flight.write
				again.Sent = now
				m.send(seat, again, false)
			}
		}
	}
	if c := m.change; c != nil && (now > c.heard+silentTerms*m.params.OwnerTerm || now > c.began+longestTerms*m.params.OwnerTerm) {
		m.giveUp(now)
	}
	m.stepChange(now)
	m.flush(now)
	m.fillWanting(now)
	if o.flight != nil || m.change != nil || len(o.group.Former) > 0 {
		return
	}
	home := o.group.Seats[0]
	switch {
	case !o.group.Has(m.seat):
		if best := m.successor(); best != "" {
			m.handOver(now, best)
		}
	case m.params.Home > 0 && home != m.seat && now > o.servedAt+m.params.OwnerTerm*time.Duration(m.params.Home):
		o.servedAt = now
		if o.whole[home] >= o.committed && now < o.renewed[home]+m.params.OwnerTerm/2 {
			m.handOver(now, home)
		}
	}
}

// Receive takes a message of another seat, or the machine's own.
func (m *Machine) Receive(now time.Duration, from string, body any) Output {
	m.out = &Output{}
	switch b := body.(type) {
	case Stand:
		m.onStand(now, from, b)
	case Promise:
		m.onPromise(now, from, b)
	case Refuse:
		m.onRefuse(now, from, b)
	case Write:
		m.onWrite(now, from, b)
	case Taken:
		m.onTaken(now, from, b)
	case Renew:
		m.onRenew(now, from, b)
	case Renewed:
		m.onRenewed(now, from, b)
	case TermDurable:
		if from == m.seat && m.durable.Less(b.Term) {
			m.durable = b.Term
		}
	case Handover:
		if m.copy.Group.Has(m.seat) && m.owning == nil && b.Term == m.holder {
			m.until = now
			m.stand(now, b.Term)
		}
	}
	return *m.out
}
