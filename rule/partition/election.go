package partition

import (
	"sort"
	"time"
)

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

func (m *Machine) stand(now time.Duration, released Term) {
	m.Counters.Stands++
	round := max(m.copy.Promised.Round, m.holder.Round, m.highest) + 1
	m.owning = &owning{
		term: Term{Round: round, Owner: m.seat}, released: released, asking: released == Term{}, key: m.newKey(), sent: now, group: m.copy.Group,
		promises: map[string]Promise{}, refused: map[string]bool{}, light: map[string]uint64{},
		superseded: map[string]Entry{}, renewed: map[string]time.Duration{}, whole: map[string]uint64{}, filled: map[string]time.Duration{}, wanting: map[string]bool{},
	}
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
			m.send(seat, Stand{Ask: o.asking, Light: !o.full, Key: o.key, Term: o.term, Group: o.group, Released: o.released, Sent: now}, !o.asking)
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

// joins reports whether a group that came after the one that this seat knows has
// it. The owner that made it so may be gone before its word arrived here, and the
// group's other seats may be no majority without this one.
func (m *Machine) joins(group Group) bool { return m.copy.Group.Before(group) && group.Has(m.seat) }

func (m *Machine) onStand(now time.Duration, from string, b Stand) {
	refuse := Refuse{Term: b.Term, Promised: m.copy.Promised, Group: m.copy.Group}
	held := now < m.until && m.holder != b.Released && m.holder.Owner != b.Term.Owner
	switch {
	case !m.copy.Group.Has(m.seat) && !m.joins(b.Group):
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
		m.keepHold(now, b.Term)
		m.useKey(b.Key)
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

// onPromise takes a promise. With those of a majority the candidate asks for
// binding ones, after binding ones it becomes the leader.
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
	m.notePromise(now, from, b)
	switch {
	case !o.group.agreed(o.promised):
	case o.asking && now < m.until && m.holder.Owner != m.seat:
		// It has renewed another's lease since it asked, and must not promise itself
		// anything while that lasts: its next life would not know of it.
		m.stepDown(now)
	case o.asking:
		m.askAgain(now, false)
	case !o.promised(m.seat):
	case o.digestsAlone() && !m.copiesAlike():
		m.askAgain(now, true)
	default:
		m.takeOver(now)
	}
}

// notePromise adds a promise to the candidate's, and goes on with the later group
// that its sender knows.
func (m *Machine) notePromise(now time.Duration, from string, b Promise) {
	o := m.owning
	o.promises[from] = b
	delete(o.refused, from)
	if !b.Ask {
		o.renewed[from] = b.Sent
	}
	if o.group.Before(b.Group) {
		o.group = b.Group
		m.ask(now)
	}
}

// askAgain begins another round of questions: binding ones after those that only
// asked, and for entries where digests did not do.
func (m *Machine) askAgain(now time.Duration, full bool) {
	o := m.owning
	if !full {
		o.asking, o.refused = false, map[string]bool{}
	}
	o.full = o.full || full
	o.promises, o.sent = map[string]Promise{}, now
	m.ask(now)
}

func (o *owning) promised(seat string) bool {
	_, ok := o.promises[seat]
	return ok
}

// digestsAlone reports whether some promise came with a digest and no entries.
func (o *owning) digestsAlone() bool {
	for _, p := range o.promises {
		if p.Light {
			return true
		}
	}
	return false
}

// copiesAlike reports whether all that promised have what this replica has.
func (m *Machine) copiesAlike() bool {
	for _, p := range m.owning.promises {
		if !p.Light || p.Sum != m.sum {
			return false
		}
	}
	return true
}

// takeOver makes the table of a new term from what a majority has, and sends it as
// the leader's first write.
func (m *Machine) takeOver(now time.Duration) {
	o := m.owning
	alike := m.copiesAlike()
	if alike {
		o.promises[m.seat] = Promise{Entries: m.entries(), Base: m.copy.Base, Clock: m.copy.Clock}
	}
	o.table = o.newestEntries(alike)
	for _, p := range o.promises {
		o.clockBase = max(o.clockBase, p.Clock)
	}
	o.clockAt = now
	m.restampTable()
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

// newestEntries merges the promised copies: of each entry the newest, but for what
// is older than the newest whole write of any copy, which was never agreed or is
// in that write. Equal copies need no tombstones.
func (o *owning) newestEntries(alike bool) map[string]Entry {
	var base Term
	for _, p := range o.promises {
		if base.Less(p.Base) {
			base = p.Base
		}
	}
	newest := map[string]Entry{}
	for _, p := range o.promises {
		for _, e := range p.Entries {
			if e.Stamp.Term.Less(base) || alike && e.Gone {
				continue
			}
			if old, ok := newest[e.Key]; !ok || old.Stamp.Less(e.Stamp) {
				newest[e.Key] = e
			}
		}
	}
	return newest
}

// restampTable brings a new leader's table under its term, as entries to write.
func (m *Machine) restampTable() {
	o := m.owning
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
		o.sum += m.digestKey.entry(e)
		o.entries = append(o.entries, e)
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
