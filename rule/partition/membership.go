package partition

import (
	"time"
)

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

func (m *Machine) hearAdding(now time.Duration, from string) {
	if m.change != nil && m.change.adding == from {
		m.change.heard = now
	}
}
