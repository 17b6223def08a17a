package core

import (
	"maps"
	"slices"
	"time"

	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// Move is one change of one part's group.
type Move struct {
	Part   int    `json:"part"`
	Add    string `json:"add,omitempty"`
	Remove string `json:"remove,omitempty"`
}

// Kinds of changes in a core's life.
const (
	Add     = "add"
	Retire  = "retire"
	Replace = "replace"
)

// Changed is the outcome of a change in a core's life.
type Changed struct {
	Done   bool   `json:"done"`
	Moves  []Move `json:"moves"`
	Made   int    `json:"moves_made"`
	Code   string `json:"code,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// returnTo brings a core whose folder is empty into the fleet that told its
// topology, whether or not that knows its name. It has no vote until groups have
// changed to admit it. One that has seats already waits for its founding, and
// what was told must say so.
func (m *Machine) returnTo(now time.Duration, t Topology) {
	known, ok := t.Cores[m.self.ID]
	if len(t.Groups) == 0 || known.Retired {
		return
	}
	for _, g := range t.Groups {
		if g.Epoch == 0 || g.Has(m.self.MemberID()) {
			return
		}
	}
	f := Founding{Fleet: t.Fleet, Parts: len(t.Groups), Cores: maps.Clone(t.Cores), Groups: make([]partition.Group, len(t.Groups)), Size: t.GroupSize}
	if f.Cores == nil {
		f.Cores = map[string]Core{}
	}
	m.self.Version = known.Version + 1
	f.Cores[m.self.ID] = m.self
	if ok {
		m.Counters.Returns++
	}
	m.Join(now, f)
	m.adopt(t)
	m.tellAll()
}

// Join makes this core, which has no vote anywhere yet, one of a fleet.
func (m *Machine) Join(now time.Duration, f Founding) {
	m.out.Changes = append(m.out.Changes, Change{Founding: &f})
	s := Stored{Incarnation: m.self.Incarnation}
	s.Apply(Change{Founding: &f})
	m.begin(now, s)
}

// mend makes the fleet's entry of this core true again. The owners of parts
// then give it the places that an earlier incarnation of it has in groups.
func (m *Machine) mend(now time.Duration) {
	if m.mending || m.self.Retired || m.leaving || m.stalled || !m.unknown || m.outlived {
		return
	}
	m.mending = true
	before, told := m.self, m.self
	if known := m.cores[m.self.ID]; known.Incarnation != m.self.Incarnation {
		told.Version = max(told.Version, known.Version+1)
	}
	told.Version += m.refused
	m.caller.Call(now, PutCore{Core: told}, now+10*m.params.MemberLease, func(now time.Duration, o Outcome) {
		m.mending = false
		switch a := o.Answer.(type) {
		case PutCoreRejected:
			m.outlived = a.Core.Incarnation != m.self.Incarnation
			m.learnCore(a.Core)
		case Done:
			switch {
			case !a.OK:
				m.refused++
			case m.self == before:
				m.unknown, m.refused = false, 0
				if m.self != told {
					m.self, m.cores[m.self.ID] = told, told
					m.changed = true
				}
			}
		}
	})
}

// tellAll makes this core known at once to all others.
func (m *Machine) tellAll() {
	for _, id := range ordered.Keys(m.cores) {
		if c := m.cores[id]; id != m.self.ID {
			m.send(c.Peer, m.present(), false)
		}
	}
}

// PlanChange lists the moves of a change in a core's life, or says why there can
// be none. Silent cores get no seats.
func PlanChange(cores map[string]Core, silent map[string]bool, groups []partition.Group, size int, kind, id, by string) Changed {
	c, ok := cores[id]
	if !ok {
		return Changed{Code: "unknown_core", Reason: "no core of this fleet is called " + id}
	}
	if fresh, ok := cores[by]; kind == Replace && (!ok || fresh.Retired) {
		return Changed{Code: "unknown_core", Reason: "no core of this fleet is called " + by}
	}
	var after []Core
	staying := 0
	for _, one := range ordered.Keys(cores) {
		next := cores[one]
		next.Retired = next.Retired || (one == id && kind != Add)
		after = append(after, next)
		if !next.Retired {
			staying++
		}
	}
	if kind != Add && staying < size && !c.Retired {
		return Changed{Code: "no_room", Reason: "without " + id + " some group would have fewer seats; add a core first"}
	}
	var moves []Move
	for n, wanted := range Place(len(groups), size, after, silent) {
		moves = append(moves, difference(n, groups[n].Members, wanted)...)
	}
	return Changed{Moves: moves}
}

// difference pairs the seats that come with those that go.
func difference(n int, group, wanted []string) []Move {
	var moves []Move
	for _, s := range wanted {
		if !slices.Contains(group, s) {
			moves = append(moves, Move{Part: n, Add: s})
		}
	}
	next := 0
	for _, s := range group {
		if slices.Contains(wanted, s) {
			continue
		}
		if next == len(moves) {
			moves = append(moves, Move{Part: n})
		}
		moves[next].Remove = s
		next++
	}
	return moves
}

// Change waits until the owners of parts have given a new core its seats, or
// retires one, by itself or for another, and waits until it has none.
func (m *Machine) Change(now time.Duration, ticket uint64, kind, id, by string, within time.Duration) Output {
	m.out = &Output{}
	m.learn()
	until := now + within
	plan := PlanChange(m.cores, m.silentCores(now), m.groups, m.size(), kind, id, by)
	if plan.Code != "" {
		m.answerOperator(ticket, plan)
		return *m.out
	}
	if kind == Add {
		m.settle(now, ticket, until, plan, func(n int, seats []string) bool {
			wanted := m.desired(m.tickedAt)[n]
			seat := m.cores[id].MemberID()
			return slices.Contains(seats, seat) || !slices.Contains(wanted, seat)
		})
		return *m.out
	}
	m.caller.Call(now, RetireCore{ID: id}, until, func(now time.Duration, o Outcome) {
		r, ok := o.Answer.(RetireCoreResult)
		switch {
		case !ok:
			m.answerOperator(ticket, Changed{Moves: plan.Moves, Code: "not_finished", Reason: "not marked as retired yet; ask again"})
		case !r.Found:
			m.answerOperator(ticket, Changed{Code: "unknown_core", Reason: "no core of this fleet is called " + id})
		case !r.EnoughRemain:
			m.answerOperator(ticket, Changed{Moves: plan.Moves, Code: "no_room", Reason: "without " + id + " some group would have fewer seats; add a core first"})
		default:
			m.settle(now, ticket, until, plan, func(n int, seats []string) bool {
				return !slices.ContainsFunc(seats, func(s string) bool { return CoreID(s) == id })
			})
		}
	})
	return *m.out
}

// settle asks the owners for their groups until all are as they should be.
func (m *Machine) settle(now time.Duration, ticket uint64, until time.Duration, plan Changed, settled func(n int, seats []string) bool) {
	waiting, good := m.founding.Parts, 0
	for n := 0; n < m.founding.Parts; n++ {
		m.caller.Call(now, ReadGroup{Partition: n}, until, func(now time.Duration, o Outcome) {
			if s, ok := o.Answer.(GroupMembers); ok && settled(n, append(slices.Clone(s.Members), s.Former...)) {
				good++
			}
			if waiting--; waiting > 0 {
				return
			}
			plan.Made = max(0, len(plan.Moves)-(m.founding.Parts-good))
			switch {
			case good == m.founding.Parts:
				plan.Done, plan.Made = true, len(plan.Moves)
				m.answerOperator(ticket, plan)
			case now >= until:
				plan.Code, plan.Reason = "not_finished", "not all moves were made in time; ask again to go on"
				m.answerOperator(ticket, plan)
			default:
				m.later.Add(now+m.params.PullInterval, func(now time.Duration) { m.settle(now, ticket, until, plan, settled) })
			}
		})
	}
}

// Introduce makes a new core known, before it is given seats.
func (m *Machine) Introduce(now time.Duration, ticket uint64, c Core, within time.Duration) Output {
	m.out = &Output{}
	if old, ok := m.cores[c.ID]; ok && old.Incarnation != c.Incarnation && !old.Retired {
		m.answerOperator(ticket, Done{})
		return *m.out
	} else if ok {
		c.Version = old.Version + 1
	}
	m.caller.Call(now, PutCore{Core: c}, now+within, func(now time.Duration, o Outcome) {
		d, _ := o.Answer.(Done)
		if d.OK {
			m.learnCore(c)
		}
		m.answerOperator(ticket, d)
	})
	return *m.out
}
