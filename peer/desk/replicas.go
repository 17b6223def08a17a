package desk

import (
	"time"

	"saffronfall/rule/ordered"
)

type listed struct {
	Listed
	heard time.Duration
}

// Beat takes what a replica says of itself. What is new is told at once. The ticket is
// answered with Heard; zero: nobody waits.
func (m *Machine) Beat(now time.Duration, ticket uint64, r Replica) Output {
	m.out = &Output{}
	m.Counters.Beats++
	m.acknowledge(now, ticket, m.takeBeat(now, r))
	return *m.out
}

// takeBeat takes a heartbeat into the list, unless a later word was heard.
func (m *Machine) takeBeat(now time.Duration, r Replica) *listed {
	old, ok := m.list[r.ID]
	if ok && r.Call < old.Replica.Call {
		return old
	}
	if ok && (old.Final || old.Gone && r.Call <= old.Replica.Call) {
		return old
	}
	if !ok {
		old = &listed{}
		m.list[r.ID] = old
	}
	old.heard = now
	before := old.Replica
	if before.Leaving {
		r.Leaving = true
	}
	changed := !ok || old.Gone || before.Leaving != r.Leaving || before.Address != r.Address || before.Service != r.Service || before.Slots != r.Slots
	old.Replica, old.Gone = r, false
	if changed {
		m.change(now, old)
	}
	return old
}

// Leave takes a replica off the list. The ticket is answered as by Beat.
func (m *Machine) Leave(now time.Duration, ticket uint64, id string) Output {
	m.out = &Output{}
	old, ok := m.list[id]
	if !ok {
		old = &listed{Listed: Listed{Replica: Replica{ID: id}}}
		m.list[id] = old
	}
	old.heard = now
	if !old.Final {
		old.Gone, old.Final = true, true
		m.change(now, old)
	}
	m.acknowledge(now, ticket, old)
	return *m.out
}

// departed reports whether a replica said that it leaves, or that it has left. It
// never comes back under its id.
func (l *listed) departed() bool { return l.Replica.Leaving || l.Final }

// depart notes that another desk heard that a replica leaves, or has left.
func (m *Machine) depart(now time.Duration, l Listed) {
	old, known := m.list[l.Replica.ID]
	switch {
	case !l.Replica.Leaving && !l.Final, known && old.Final, known && old.Replica.Leaving && !l.Final:
		return
	case !known:
		old = &listed{Listed: l}
		m.list[l.Replica.ID] = old
	}
	old.heard = now
	old.Replica.Leaving = old.Replica.Leaving || l.Replica.Leaving
	if l.Final {
		old.Gone, old.Final = true, true
	}
	m.change(now, old)
}

func (m *Machine) change(now time.Duration, l *listed) {
	m.Counters.Changes++
	m.version++
	l.Version = m.version
	m.out.Changes = append(m.out.Changes, l.Listed)
	m.tellAll(now)
}

// List is the whole list.
func (m *Machine) List() []Listed {
	var list []Listed
	for _, id := range ordered.Keys(m.list) {
		list = append(list, m.list[id].Listed)
	}
	return list
}
