package partition

import (
	"sort"
	"time"
)

type flight struct {
	seq     uint64
	write   Write
	taken   map[string]bool
	returns []Return
	sentAt  time.Duration
	group   *Group
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
	// What this replica has taken already must not be applied again: entries that
	// were removed since would come back.
	again := m.whole >= b.Seq && (b.Restamp || !b.Whole) || m.whole > b.Seq
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
	o.settle(f.write.Entries)
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
