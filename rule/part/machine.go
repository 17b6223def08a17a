package part

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rules decide what a command does to the entries of a part.
type Rules interface {
	// Seated is called when this seat has come to own the part.
	Seated(now time.Duration, tx *Tx)
	// Apply runs one command and returns its answer.
	Apply(now time.Duration, tx *Tx, command any) any
}

// Machine is one seat of one part: it keeps a copy, promises terms, and may own
// the part.
type Machine struct {
	Counters Counters

	params  Params
	seat    string
	number  int
	rules   Rules
	copy    Copy
	random  func() float64
	out     *Output
	whole   uint64
	wholeOf Term
	holder  Term
	until   time.Duration
	standAt time.Duration
	highest uint64
	owning  *owning
	change  *change
	// sum is the digest of the copy's entries.
	sum uint64
}

type owning struct {
	term     Term
	released Term
	asking   bool
	refused  map[string]bool
	promises map[string]Promise
	sent     time.Duration
	askedAt  time.Duration
	// full is set when the digests of a majority differ, so that entries are
	// needed; light has the digests that seats promised with.
	full      bool
	light     map[string]uint64
	serving   bool
	group     Group
	agreed    Group
	table     map[string]Entry
	sum       uint64
	seq       uint64
	committed uint64
	dropped   uint64
	flight    *flight
	entries   []Entry
	drops     []Entry
	returns   []Return
	renewed   map[string]time.Duration
	whole     map[string]uint64
	filled    map[string]time.Duration
	wanting   map[string]bool
	renewAt   time.Duration
	sweepAt   time.Duration
	servedAt  time.Duration
	clockBase time.Duration
	clockAt   time.Duration
	regroup   *Group
}

type flight struct {
	seq     uint64
	write   Write
	taken   map[string]bool
	returns []Return
	sentAt  time.Duration
	group   *Group
}

type change struct {
	ticket uint64
	group  Group
	adding string
	step   int
	// began and heard are when the change began and when the seat to be added was
	// last heard of.
	began, heard time.Duration
	// held is since when writes wait for that seat to catch up.
	held time.Duration
}

const (
	// silentTerms is after how many terms without a sign of the seat to be added
	// a change is given up, longestTerms after how many it is in any case.
	silentTerms  = 8
	longestTerms = 30
	// nearly is by how many writes a seat may be behind for the owner to hold its
	// next write back until the seat has caught up.
	nearly = 8
)

// Tx is a command's view of a part.
type Tx struct {
	m       *Machine
	now     time.Duration
	written bool
}

// Clock is the part's clock. It is handed from owner to owner and never runs
// fast, so what is counted on it runs long, never short.
func (t *Tx) Clock() time.Duration { return t.m.clock(t.now) }

// Get reads an entry.
func (t *Tx) Get(key string) ([]byte, bool) {
	e, ok := t.m.owning.table[key]
	if !ok || e.Gone {
		return nil, false
	}
	return e.Value, true
}

// Put writes an entry.
func (t *Tx) Put(key string, value []byte) { t.put(Entry{Key: key, Value: value}) }

// Remove removes an entry, leaving a mark until all copies have it.
func (t *Tx) Remove(key string) {
	if _, ok := t.Get(key); ok {
		t.put(Entry{Key: key, Gone: true})
	}
}

// Keys lists the present keys that begin with a prefix, in order.
func (t *Tx) Keys(prefix string) []string {
	var keys []string
	for k, e := range t.m.owning.table {
		if !e.Gone && len(k) >= len(prefix) && k[:len(prefix)] == prefix {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func (t *Tx) put(e Entry) {
	o := t.m.owning
	e.Stamp = Stamp{Term: o.term, Seq: o.seq + 1}
	o.sum += e.digest() - o.table[e.Key].digest()
	o.table[e.Key] = e
	o.entries = append(o.entries, e)
	t.written = true
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
}

// New makes a machine from what its disk holds. As it may have renewed an
// owner's hold just before it stopped, it first waits as long as one lasts.
func New(o Options) *Machine {
	if o.Copy.Entries == nil {
		o.Copy.Entries = map[string]Entry{}
	}
	m := &Machine{params: o.Params, seat: o.Seat, number: o.Number, rules: o.Rules, copy: o.Copy, random: o.Random}
	m.sum = digest(o.Copy.Entries)
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

func (m *Machine) hold() time.Duration {
	return time.Duration(float64(m.params.OwnerTerm) * (1 + m.params.Drift))
}

// patience is how long a seat waits longer than it must before it stands, so
// that not all stand at once.
func (m *Machine) patience() time.Duration {
	rank := 0
	for i, s := range m.copy.Group.Seats {
		if s == m.seat {
			rank = i
		}
	}
	return time.Duration(float64(m.params.OwnerTerm) * (float64(rank)*0.25 + m.random()*0.15))
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

// Owns reports whether this seat owns the part now, and under which term.
func (m *Machine) Owns(now time.Duration) (Term, bool) {
	if m.owning == nil || !m.owning.serving || !m.leased(now) {
		return Term{}, false
	}
	return m.owning.term, true
}

// Committed is up to where the owner's entries are agreed.
func (m *Machine) Committed() (Stamp, bool) {
	if m.owning == nil || !m.owning.serving {
		return Stamp{}, false
	}
	return Stamp{Term: m.owning.term, Seq: m.owning.committed}, true
}

// News lists the agreed entries with one of the prefixes that came after a
// stamp.
func (m *Machine) News(after Stamp, prefixes []string) []Entry {
	var news []Entry
	o := m.owning
	for _, e := range o.table {
		if e.Stamp.Seq > o.committed || !after.Less(e.Stamp) {
			continue
		}
		for _, p := range prefixes {
			if len(e.Key) >= len(p) && e.Key[:len(p)] == p {
				news = append(news, e)
			}
		}
	}
	sort.Slice(news, func(i, j int) bool { return news[i].Key < news[j].Key })
	return news
}

func (m *Machine) leased(now time.Duration) bool {
	o := m.owning
	return o.group.agreed(func(seat string) bool {
		at, ok := o.renewed[seat]
		return ok && now < at+m.params.OwnerTerm
	})
}

// Change asks the owner to move its group: one seat to add, one to remove,
// either may be empty. The seat that comes takes the place of the one that goes.
// Where that one has gone already, there is nothing to do.
func (m *Machine) Change(now time.Duration, ticket uint64, add, remove string) Output {
	m.out = &Output{}
	o := m.owning
	if _, ok := m.Owns(now); !ok {
		m.out.Returns = append(m.out.Returns, Return{Ticket: ticket, Moved: true})
		return *m.out
	}
	seats := []string{}
	comes := add != "" && !holds(o.group.Seats, add)
	for _, s := range o.group.Seats {
		if s == remove {
			if !comes {
				continue
			}
			s, comes = add, false
		}
		seats = append(seats, s)
	}
	if comes {
		seats = append(seats, add)
	}
	if m.change != nil || len(o.group.Former) > 0 || len(seats) == 0 {
		m.out.Returns = append(m.out.Returns, Return{Ticket: ticket, Body: false})
		return *m.out
	}
	if same(seats, o.group.Seats) || (remove != "" && !holds(o.group.Seats, remove)) {
		m.out.Returns = append(m.out.Returns, Return{Ticket: ticket, Body: true})
		return *m.out
	}
	m.change = &change{ticket: ticket, adding: add, began: now, heard: now,
		group: Group{Term: o.term, Epoch: o.group.Epoch + 1, Seats: seats, Former: o.group.Seats}}
	if add != "" && !o.group.Has(add) {
		o.whole[add] = 0
		delete(o.filled, add)
		m.fill(now, add)
	}
	m.stepChange(now)
	return *m.out
}

// Changing reports whether a change is under way, and which seat it adds as long
// as it can still be given up.
func (m *Machine) Changing() (adding string, changing bool) {
	switch {
	case m.change == nil:
		return "", m.owning != nil && len(m.owning.group.Former) > 0
	case m.change.step > 0:
		return "", true
	}
	return m.change.adding, true
}

// Agreed is the group that the owner's seats have agreed on last.
func (m *Machine) Agreed() (Group, bool) {
	if m.owning == nil || !m.owning.serving {
		return Group{}, false
	}
	return m.owning.agreed, true
}

// GiveUp ends a change whose new group was not proposed yet.
func (m *Machine) GiveUp(now time.Duration) Output {
	m.out = &Output{}
	m.giveUp(now)
	return *m.out
}

func (m *Machine) giveUp(now time.Duration) {
	if m.change == nil || m.change.step > 0 {
		return
	}
	m.out.Returns = append(m.out.Returns, Return{Ticket: m.change.ticket, Body: false})
	m.change = nil
	m.flush(now)
}

// Order puts the seats of a group, which stay the same, in another order. The
// first one is the part's home.
func (m *Machine) Order(now time.Duration, seats []string) Output {
	m.out = &Output{}
	o := m.owning
	if _, ok := m.Owns(now); !ok || m.change != nil || o.flight != nil || o.regroup != nil || len(o.group.Former) > 0 || !same(seats, o.group.Seats) {
		return *m.out
	}
	o.regroup = &Group{Term: o.term, Epoch: o.group.Epoch + 1, Seats: append([]string(nil), seats...)}
	m.flush(now)
	return *m.out
}

func same(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for _, s := range a {
		if !holds(b, s) {
			return false
		}
	}
	return true
}

func (m *Machine) stepChange(now time.Duration) {
	c, o := m.change, m.owning
	if c == nil || o == nil || o.flight != nil {
		return
	}
	switch c.step {
	case 0:
		if c.adding != "" && o.whole[c.adding] < o.committed {
			if o.whole[c.adding]+nearly >= o.committed && now >= c.held+m.params.OwnerTerm/4 {
				c.held = now
			}
			return
		}
		c.step = 1
		group := c.group
		o.regroup = &group
		m.flush(now)
	case 1:
		c.step = 2
		o.regroup = &Group{Term: o.term, Epoch: c.group.Epoch + 1, Seats: c.group.Seats}
		m.flush(now)
	case 2:
		m.out.Returns = append(m.out.Returns, Return{Ticket: c.ticket, Body: true})
		m.change = nil
		for _, seat := range c.group.Former {
			if !o.group.Has(seat) && seat != m.seat {
				m.send(seat, Refuse{Term: o.term, Promised: o.term, Group: o.group}, false)
			}
		}
		if !o.group.Has(m.seat) {
			m.record(Record{Group: &Group{Term: o.group.Term, Epoch: o.group.Epoch, Seats: o.group.Seats}})
		}
	}
}

// holding reports whether writes wait for the seat to be added.
func (m *Machine) holding(now time.Duration) bool {
	c, o := m.change, m.owning
	return c != nil && c.step == 0 && c.adding != "" && c.held > 0 && now < c.held+m.params.OwnerTerm/8 && o.whole[c.adding] < o.committed
}

// Propose runs a command at the owner. Its answer comes in a return, in this
// step's output or a later one's, once all that it rests on is agreed.
func (m *Machine) Propose(now time.Duration, ticket uint64, command any) Output {
	m.out = &Output{}
	if _, ok := m.Owns(now); !ok {
		m.out.Returns = append(m.out.Returns, Return{Ticket: ticket, Moved: true})
		return *m.out
	}
	o := m.owning
	tx := &Tx{m: m, now: now}
	answer := m.rules.Apply(now, tx, command)
	r := Return{Ticket: ticket, Body: answer}
	switch {
	case tx.written || len(o.entries) > 0:
		o.returns = append(o.returns, r)
	case o.flight != nil:
		o.flight.returns = append(o.flight.returns, r)
	default:
		m.out.Returns = append(m.out.Returns, r)
	}
	m.flush(now)
	return *m.out
}

func (m *Machine) flush(now time.Duration) {
	o := m.owning
	if o.flight != nil || m.holding(now) || (len(o.entries) == 0 && o.regroup == nil && len(o.drops) == 0) {
		return
	}
	latest := map[string]Entry{}
	for _, e := range o.entries {
		latest[e.Key] = e
	}
	entries := make([]Entry, 0, len(latest))
	for _, e := range latest {
		entries = append(entries, e)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	prior := o.seq
	o.seq++
	if o.regroup != nil {
		o.group = *o.regroup
	}
	o.flight = &flight{seq: o.seq, taken: map[string]bool{}, returns: o.returns, sentAt: now, group: o.regroup,
		write: Write{Term: o.term, Seq: o.seq, Prior: prior, Group: o.group, Clock: m.clock(now), Entries: entries, Drops: o.drops, Sent: now}}
	o.entries, o.returns, o.regroup, o.drops = nil, nil, nil, nil
	m.Counters.Writes++
	m.Counters.Entries += int64(len(entries))
	for _, seat := range m.listeners() {
		if !o.wanting[seat] {
			m.send(seat, o.flight.write, false)
		}
	}
	m.fillWanting(now)
}

func (m *Machine) listeners() []string {
	all := m.owning.group.All()
	if m.change != nil && m.change.adding != "" && !holds(all, m.change.adding) {
		all = append(all, m.change.adding)
	}
	return all
}

func (m *Machine) send(to string, body any, synced bool) {
	m.out.Sends = append(m.out.Sends, Send{To: to, Body: body, Synced: synced})
}

func (m *Machine) record(r Record) {
	r.Part = m.number
	m.out.Records = append(m.out.Records, r)
	if r.Whole || r.Restamp {
		m.copy.Apply(r)
		m.sum = digest(m.copy.Entries)
		return
	}
	touched := make(map[string]bool, len(r.Entries)+len(r.Drops))
	for _, list := range [][]Entry{r.Entries, r.Drops} {
		for _, e := range list {
			touched[e.Key] = true
		}
	}
	for key := range touched {
		m.sum -= m.copy.Entries[key].digest()
	}
	m.copy.Apply(r)
	for key := range touched {
		m.sum += m.copy.Entries[key].digest()
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
			r.Digest, r.Seq = o.sum|1, o.committed
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

// successor is the most complete other seat of the group, of those the one that
// was heard of last.
func (m *Machine) successor() string {
	o, best := m.owning, ""
	for _, seat := range o.group.Seats {
		if seat != m.seat && (best == "" || o.whole[seat] > o.whole[best] || (o.whole[seat] == o.whole[best] && o.renewed[seat] > o.renewed[best])) {
			best = seat
		}
	}
	return best
}

func (m *Machine) handOver(now time.Duration, seat string) {
	m.send(seat, Handover{Term: m.owning.term}, false)
	m.stepDown(now)
	m.standAt = now + 2*m.params.OwnerTerm
}

func (m *Machine) dropMarks() {
	o := m.owning
	for _, seat := range o.group.All() {
		if o.whole[seat] < o.committed {
			return
		}
	}
	for key, e := range o.table {
		if e.Gone && e.Stamp.Seq <= o.committed {
			o.drops = append(o.drops, e)
			o.dropped = max(o.dropped, e.Stamp.Seq)
			delete(o.table, key)
			m.Counters.Dropped++
		}
	}
	sort.Slice(o.drops, func(i, j int) bool { return o.drops[i].Key < o.drops[j].Key })
}

func digest(table map[string]Entry) uint64 {
	var sum uint64
	for _, e := range table {
		sum += e.digest()
	}
	return sum
}

// digest is an entry's share of the sum over a table. Marks of removal, and what
// is not there, have none.
func (e Entry) digest() uint64 {
	if e.Gone || e.Stamp == (Stamp{}) {
		return 0
	}
	var h xxhash.Digest
	h.Reset()
	h.WriteString(e.Key)
	var tail [24]byte
	binary.LittleEndian.PutUint64(tail[0:], e.Stamp.Seq)
	binary.LittleEndian.PutUint64(tail[8:], e.Stamp.Term.Round)
	binary.LittleEndian.PutUint64(tail[16:], uint64(len(e.Key)))
	h.Write(tail[:])
	h.WriteString(e.Stamp.Term.Owner)
	h.Write(e.Value)
	return h.Sum64()
}

func (m *Machine) stand(now time.Duration, released Term) {
	m.Counters.Stands++
	round := max(m.copy.Promised.Round, m.holder.Round, m.highest) + 1
	m.owning = &owning{term: Term{Round: round, Owner: m.seat}, released: released, asking: released == Term{}, promises: map[string]Promise{}, sent: now,
		group: m.copy.Group, light: map[string]uint64{}, renewed: map[string]time.Duration{}, whole: map[string]uint64{}, filled: map[string]time.Duration{}, wanting: map[string]bool{}, refused: map[string]bool{}}
	m.ask(now)
}

func (m *Machine) ask(now time.Duration) {
	o := m.owning
	o.askedAt = now
	if !o.asking && m.copy.Promised != o.term {
		// This seat's own promise is on disk before any other is asked for, so
		// that no later life of it can stand for the same term.
		m.record(Record{Promised: o.term})
	}
	for _, seat := range o.group.All() {
		if _, ok := o.promises[seat]; !ok {
			m.send(seat, Stand{Ask: o.asking, Light: !o.full, Term: o.term, Group: o.group, Released: o.released, Sent: now}, !o.asking)
		}
	}
}

func (m *Machine) stepDown(now time.Duration) {
	if o := m.owning; o != nil {
		if o.flight != nil {
			o.returns = append(o.flight.returns, o.returns...)
		}
		for _, r := range o.returns {
			m.out.Returns = append(m.out.Returns, Return{Ticket: r.Ticket, Unsure: true})
		}
	}
	if m.change != nil {
		m.out.Returns = append(m.out.Returns, Return{Ticket: m.change.ticket, Unsure: true})
	}
	if m.owning != nil && m.holder == m.owning.term {
		// Nobody serves under this term any more.
		m.until = now
	}
	m.owning, m.change = nil, nil
	m.standAt = now + m.patience() + m.params.OwnerTerm/10
}

// Leave makes the owner hand its part to another seat of the group, the most
// complete one.
func (m *Machine) Leave(now time.Duration) Output {
	m.out = &Output{}
	o := m.owning
	if _, ok := m.Owns(now); !ok || o.flight != nil {
		return *m.out
	}
	if best := m.successor(); best != "" {
		m.handOver(now, best)
	}
	return *m.out
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
	case Handover:
		if m.copy.Group.Has(m.seat) && m.owning == nil && b.Term == m.holder {
			m.until = now
			m.stand(now, b.Term)
		}
	}
	return *m.out
}

func (m *Machine) onStand(now time.Duration, from string, b Stand) {
	refuse := Refuse{Term: b.Term, Promised: m.copy.Promised, Group: m.copy.Group}
	held := now < m.until && m.holder != b.Released && m.holder.Owner != b.Term.Owner
	switch {
	case !m.copy.Group.Has(m.seat):
		return
	case b.Group.Before(m.copy.Group):
		m.send(from, refuse, false)
	case held:
		// One that stands itself may give up at any time.
		if m.owning == nil || m.owning.serving {
			refuse.Wait = m.until - now
		}
		m.send(from, refuse, false)
	case b.Term.Less(m.copy.Promised):
		m.send(from, refuse, false)
	case b.Ask:
		m.send(from, Promise{Ask: true, Term: b.Term, Group: m.copy.Group, Sent: b.Sent}, false)
	default:
		if m.owning != nil && m.owning.term.Less(b.Term) {
			m.stepDown(now)
		}
		if m.copy.Promised != b.Term {
			m.record(Record{Promised: b.Term})
		}
		m.holder, m.until = b.Term, now+m.hold()
		m.standAt = m.until + m.patience()
		promise := Promise{Term: b.Term, Base: m.copy.Base, Group: m.copy.Group, Clock: m.copy.Clock, Sent: b.Sent, Light: b.Light, Sum: m.sum}
		if !b.Light {
			promise.Entries = m.entries()
		}
		m.send(from, promise, true)
	}
}

func (m *Machine) entries() []Entry {
	list := make([]Entry, 0, len(m.copy.Entries))
	for _, e := range m.copy.Entries {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

func (m *Machine) onPromise(now time.Duration, from string, b Promise) {
	o := m.owning
	if o == nil || b.Term != o.term || b.Ask != o.asking {
		return
	}
	if b.Light {
		o.light[from] = b.Sum
	}
	if o.table != nil && !o.serving && o.flight != nil && !o.flight.taken[from] {
		m.sendFirst(now, from)
	}
	if o.serving || o.table != nil || b.Light && o.full {
		return
	}
	o.promises[from] = b
	delete(o.refused, from)
	if !b.Ask {
		o.renewed[from] = b.Sent
	}
	if o.group.Before(b.Group) {
		o.group = b.Group
		m.ask(now)
	}
	promised := func(seat string) bool { _, ok := o.promises[seat]; return ok }
	if !o.group.agreed(promised) {
		return
	}
	if o.asking {
		if now < m.until && m.holder.Owner != m.seat {
			// It has renewed another's hold since it asked, and must not promise
			// itself anything while that lasts: its next life would not know of it.
			m.stepDown(now)
			return
		}
		o.asking, o.promises, o.refused, o.sent = false, map[string]Promise{}, map[string]bool{}, now
		m.ask(now)
		return
	}
	if !promised(m.seat) {
		return
	}
	alike, light := true, false
	for _, p := range o.promises {
		light = light || p.Light
		alike = alike && p.Light && p.Sum == m.sum
	}
	if light && !alike {
		o.full, o.promises, o.sent = true, map[string]Promise{}, now
		m.ask(now)
		return
	}
	o.table = map[string]Entry{}
	var base Term
	if alike {
		// All that a majority has is what this seat has.
		o.promises[m.seat] = Promise{Entries: m.entries(), Base: m.copy.Base, Clock: m.copy.Clock}
	}
	for _, p := range o.promises {
		o.clockBase = max(o.clockBase, p.Clock)
		if base.Less(p.Base) {
			base = p.Base
		}
	}
	for _, p := range o.promises {
		for _, e := range p.Entries {
			if e.Stamp.Term.Less(base) || alike && e.Gone {
				continue
			}
			if old, ok := o.table[e.Key]; !ok || old.Stamp.Less(e.Stamp) {
				o.table[e.Key] = e
			}
		}
	}
	o.clockAt = now
	o.sum = 0
	keys := make([]string, 0, len(o.table))
	for k := range o.table {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		e := o.table[k]
		e.Stamp = Stamp{Term: o.term, Seq: 1}
		o.table[k] = e
		o.sum += e.digest()
		o.entries = append(o.entries, e)
	}
	if len(o.group.Former) > 0 {
		o.regroup = &Group{Term: o.term, Epoch: o.group.Epoch + 1, Seats: o.group.Seats}
	}
	o.seq = 1
	o.group.Term = o.term
	first := Write{Term: o.term, Seq: 1, Group: o.group, Clock: o.clockBase, Entries: o.entries, Whole: true, Sent: now}
	if alike {
		first.Sum, first.Restamp = m.sum, true
	}
	o.flight = &flight{seq: 1, taken: map[string]bool{}, sentAt: now, write: first}
	o.entries = nil
	o.sent = now
	for _, seat := range o.group.All() {
		m.sendFirst(now, seat)
	}
}

// sendFirst sends an owner's first write, which makes a copy whole: to a seat
// that has all entries already no more than word of it, to one that may have them
// nothing until it has promised.
func (m *Machine) sendFirst(now time.Duration, seat string) {
	o := m.owning
	w := o.flight.write
	w.Sent = now
	if sum, ok := o.light[seat]; w.Restamp && !ok {
		return
	} else if w.Restamp = w.Restamp && sum == w.Sum; w.Restamp {
		w.Entries, w.Whole = nil, false
	}
	m.send(seat, w, false)
}

func (m *Machine) onRefuse(now time.Duration, from string, b Refuse) {
	o := m.owning
	if m.copy.Group.Before(b.Group) {
		m.record(Record{Group: &b.Group})
	}
	if o == nil || b.Term != o.term {
		return
	}
	m.highest = max(m.highest, b.Promised.Round)
	if o.serving {
		// The seat has promised a later term to somebody who did not come to
		// own the part. The owner takes a later one still, without waiting.
		if o.term.Less(b.Promised) {
			m.stepDown(now)
			m.stand(now, b.Term)
		}
		return
	}
	o.refused[from] = true
	if o.group.Before(b.Group) || !o.group.agreed(func(seat string) bool { return !o.refused[seat] }) {
		m.stepDown(now)
		m.standAt = max(m.standAt, now+b.Wait+m.patience())
	}
}

func (m *Machine) onWrite(now time.Duration, from string, b Write) {
	if b.Term.Less(m.copy.Promised) {
		m.send(from, Refuse{Term: b.Term, Promised: m.copy.Promised, Group: m.copy.Group}, false)
		return
	}
	if m.owning != nil && m.owning.term.Less(b.Term) {
		m.stepDown(now)
	}
	if m.wholeOf != b.Term {
		m.wholeOf, m.whole = b.Term, 0
	}
	again := b.Restamp && m.whole >= b.Seq
	if b.Restamp && !again && m.sum != b.Sum {
		m.send(from, Taken{Term: b.Term, Sent: b.Sent, Lacks: true}, false)
		return
	}
	group := b.Group
	if !again {
		m.record(Record{Promised: b.Term, Group: &group, Clock: b.Clock, Entries: b.Entries, Drops: b.Drops, Whole: b.Whole, Restamp: b.Restamp, Upto: b.Seq})
	}
	m.keepHold(now, b.Term)
	if b.Whole || b.Restamp || m.whole >= b.Prior {
		m.whole = max(m.whole, b.Seq)
	}
	m.send(from, Taken{Term: b.Term, Seq: b.Seq, Whole: m.whole, Sent: b.Sent}, true)
}

func (m *Machine) keepHold(now time.Duration, term Term) {
	m.holder, m.until = term, now+m.hold()
	m.standAt = m.until + m.patience()
}

func (m *Machine) onTaken(now time.Duration, from string, b Taken) {
	o := m.owning
	if o == nil || b.Term != o.term {
		return
	}
	o.whole[from] = max(o.whole[from], b.Whole)
	o.renewed[from] = max(o.renewed[from], b.Sent)
	m.hearAdding(now, from)
	f := o.flight
	if b.Lacks && f != nil && f.write.Restamp {
		// What it promised with is not what it has now; it gets the entries.
		o.light[from] = f.write.Sum + 1
		w := f.write
		w.Restamp, w.Sent = false, now
		m.send(from, w, false)
	}
	if f == nil || f.seq != b.Seq {
		m.stepChange(now)
		m.flush(now)
		return
	}
	f.taken[from] = true
	if !o.group.agreed(func(seat string) bool { return f.taken[seat] }) {
		return
	}
	o.flight, o.committed, o.agreed = nil, f.seq, o.group
	m.out.Returns = append(m.out.Returns, f.returns...)
	if !o.serving {
		o.serving, o.servedAt = true, now
		m.Counters.Seated++
		o.sweepAt = now + m.params.OwnerTerm*time.Duration(m.params.Sweeps)
		m.rules.Seated(now, &Tx{m: m, now: now})
	}
	m.stepChange(now)
	m.flush(now)
}

func (m *Machine) onRenew(now time.Duration, from string, b Renew) {
	if b.Term.Less(m.copy.Promised) {
		m.send(from, Refuse{Term: b.Term, Promised: m.copy.Promised, Group: m.copy.Group}, false)
		return
	}
	if b.Term != m.copy.Promised {
		m.send(from, Renewed{Term: b.Term, Sent: b.Sent - m.params.OwnerTerm}, false)
		return
	}
	m.keepHold(now, b.Term)
	m.copy.Clock = max(m.copy.Clock, b.Clock)
	r := Renewed{Term: b.Term, Sent: b.Sent}
	if m.wholeOf == b.Term {
		r.Whole = m.whole
	}
	if b.Digest != 0 && r.Whole == b.Seq && m.sum|1 != b.Digest {
		r.Stale = true
	}
	// The promise that it rests on may not be on disk yet.
	m.send(from, r, true)
}

func (m *Machine) onRenewed(now time.Duration, from string, b Renewed) {
	o := m.owning
	if o == nil || b.Term != o.term {
		return
	}
	o.renewed[from] = max(o.renewed[from], b.Sent)
	o.whole[from] = max(o.whole[from], b.Whole)
	m.hearAdding(now, from)
	if o.serving && (b.Whole < o.committed || b.Stale) && (o.flight == nil || b.Whole < o.flight.write.Prior) && holds(m.listeners(), from) {
		m.fill(now, from)
	}
	m.stepChange(now)
	m.flush(now)
}

func (m *Machine) hearAdding(now time.Duration, from string) {
	if m.change != nil && m.change.adding == from {
		m.change.heard = now
	}
}

// fill sends a seat all that there is, unless that is on its way. It waits until
// nothing is queued, so that what it sends is what the last write left.
func (m *Machine) fill(now time.Duration, to string) {
	o := m.owning
	if at, ok := o.filled[to]; ok && now < at+2*m.params.OwnerTerm {
		return
	}
	o.wanting[to] = true
	m.fillWanting(now)
}

func (m *Machine) fillWanting(now time.Duration) {
	o := m.owning
	if len(o.wanting) == 0 || len(o.entries) > 0 || len(o.drops) > 0 || o.regroup != nil {
		return
	}
	w := Write{Term: o.term, Seq: o.seq, Group: o.group, Clock: m.clock(now), Whole: true, Sent: now, Entries: make([]Entry, 0, len(o.table))}
	for _, e := range o.table {
		w.Entries = append(w.Entries, e)
	}
	sort.Slice(w.Entries, func(i, j int) bool { return w.Entries[i].Key < w.Entries[j].Key })
	for _, seat := range m.listeners() {
		if o.wanting[seat] {
			m.Counters.Mended++
			o.filled[seat] = now
			m.send(seat, w, false)
		}
	}
	clear(o.wanting)
}

// Dropped is the sequence up to which marks of removal may be missing.
func (m *Machine) Dropped() uint64 {
	if m.owning == nil {
		return 0
	}
	return m.owning.dropped
}
