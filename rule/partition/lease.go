package partition

import (
	"time"
)

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

// Owns reports whether this seat owns the part now, and under which term.
func (m *Machine) Owns(now time.Duration) (Term, bool) {
	if m.owning == nil || !m.owning.serving || !m.leased(now) {
		return Term{}, false
	}
	return m.owning.term, true
}

func (m *Machine) leased(now time.Duration) bool {
	o := m.owning
	return o.group.agreed(func(seat string) bool {
		at, ok := o.renewed[seat]
		return ok && now < at+m.params.OwnerTerm
	})
}

func (m *Machine) keepHold(now time.Duration, term Term) {
	m.holder, m.until = term, now+m.hold()
	m.standAt = m.until + m.patience()
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
	if b.Digest != 0 && r.Whole == b.Seq {
		m.useKey(b.Key)
		r.Stale = m.sum|1 != b.Digest
	}
	// While the term is not known to be on disk, the answer waits for it: a power
	// loss could make this replica forget the term, and vote for another leader
	// while this one's lease rests on its word.
	m.send(from, r, m.durable != b.Term)
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
