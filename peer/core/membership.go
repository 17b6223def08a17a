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
	Partition int    `json:"part"`
	Add       string `json:"add,omitempty"`
	Remove    string `json:"remove,omitempty"`
}

// Kinds of changes in a core's life.
const (
	KindAdd     = "add"
	KindRetire  = "retire"
	KindReplace = "replace"
)

// Changed is the outcome of a change in a core's life.
type ChangeResult struct {
	Done      bool   `json:"done"`
	Moves     []Move `json:"moves"`
	MovesMade int    `json:"moves_made"`
	Code      string `json:"code,omitempty"`
	Reason    string `json:"reason,omitempty"`
}

// returnTo brings a core whose folder is empty into the fleet that told its
// topology, whether or not that knows its name. It has no vote until groups have
// changed to admit it. One that has seats already waits for its founding, and
// what was told must say so.
func (m *Machine) rejoin(now time.Duration, t Topology) {
	known, ok := t.Cores[m.self.ID]
	if len(t.Groups) == 0 || known.Retired {
		return
	}
	for _, g := range t.Groups {
		if g.Epoch == 0 || g.Has(m.self.Seat()) {
			return
		}
	}
	f := Founding{Fleet: t.Fleet, Partitions: len(t.Groups), Cores: maps.Clone(t.Cores), Groups: make([]partition.Group, len(t.Groups)), Size: t.Size}
	if f.Cores == nil {
		f.Cores = map[string]Core{}
	}
	m.self.Version = known.Version + 1
	f.Cores[m.self.ID] = m.self
	if ok {
		m.Counters.Rejoins++
	}
	m.Join(now, f)
	m.mergeTopology(t)
	m.announceToAll()
}

// Join makes this core, which has no vote anywhere yet, one of a fleet.
func (m *Machine) Join(now time.Duration, f Founding) {
	m.out.Changes = append(m.out.Changes, Change{Founding: &f})
	s := Stored{Incarnation: m.self.Incarnation}
	s.Apply(Change{Founding: &f})
	m.start(now, s)
}

// mend makes the fleet's entry of this core true again. The owners of parts
// then give it the places that an earlier incarnation of it has in groups.
func (m *Machine) register(now time.Duration) {
	if m.registering || m.self.Retired || m.leaving || m.stalled || !m.unregistered || m.superseded {
		return
	}
	m.registering = true
	before, claim := m.self, m.self
	if known := m.cores[m.self.ID]; known.Incarnation != m.self.Incarnation {
		claim.Version = max(claim.Version, known.Version+1)
	}
	claim.Version += m.rejectedClaims
	m.caller.Call(now, PutCore{Core: claim}, now+10*m.params.MemberTerm, func(now time.Duration, o Outcome) {
		m.registering = false
		switch a := o.Answer.(type) {
		case CoreEnded:
			m.superseded = a.Core.Incarnation != m.self.Incarnation
			m.mergeCore(a.Core)
		case Done:
			switch {
			case !a.OK:
				m.rejectedClaims++
			case m.self == before:
				m.unregistered, m.rejectedClaims = false, 0
				if m.self != claim {
					m.self, m.cores[m.self.ID] = claim, claim
					m.topologyChanged = true
				}
			}
		}
	})
}

// tellAll makes this core known at once to all others.
func (m *Machine) announceToAll() {
	for _, id := range ordered.Keys(m.cores) {
		if c := m.cores[id]; id != m.self.ID {
			m.send(c.Peer, m.presence(), false)
		}
	}
}

// PlanChange lists the moves of a change in a core's life, or says why there can
// be none. Silent cores get no seats.
func PlanChange(cores map[string]Core, silent map[string]bool, groups []partition.Group, size int, kind, id, by string) ChangeResult {
	c, ok := cores[id]
	if !ok {
		return ChangeResult{Code: "unknown_core", Reason: "no core of this fleet is called " + id}
	}
	if substitute, ok := cores[by]; kind == KindReplace && (!ok || substitute.Retired) {
		return ChangeResult{Code: "unknown_core", Reason: "no core of this fleet is called " + by}
	}
	var after []Core
	staying := 0
	for _, otherID := range ordered.Keys(cores) {
		next := cores[otherID]
		next.Retired = next.Retired || (otherID == id && kind != KindAdd)
		after = append(after, next)
		if !next.Retired {
			staying++
		}
	}
	if kind != KindAdd && staying < size && !c.Retired {
		return ChangeResult{Code: "no_room", Reason: "without " + id + " some group would have fewer seats; add a core first"}
	}
	var moves []Move
	for n, wanted := range Place(len(groups), size, after, silent) {
		moves = append(moves, membershipMoves(n, groups[n].Members, wanted)...)
	}
	return ChangeResult{Moves: moves}
}

// difference pairs the seats that come with those that go.
func membershipMoves(n int, group, wanted []string) []Move {
	var moves []Move
	for _, s := range wanted {
		if !slices.Contains(group, s) {
			moves = append(moves, Move{Partition: n, Add: s})
		}
	}
	next := 0
	for _, s := range group {
		if slices.Contains(wanted, s) {
			continue
		}
		if next == len(moves) {
			moves = append(moves, Move{Partition: n})
		}
		moves[next].Remove = s
		next++
	}
	return moves
}

// Change waits until the owners of parts have given a new core its seats, or
// retires one, by itself or for another, and waits until it has none.
func (m *Machine) ChangeCore(now time.Duration, ticket uint64, kind, id, by string, within time.Duration) Output {
	m.out = &Output{}
	m.refreshTopology()
	until := now + within
	plan := PlanChange(m.cores, m.silentCores(now), m.groups, m.groupSize(), kind, id, by)
	if plan.Code != "" {
		m.answer(ticket, plan)
		return *m.out
	}
	if kind == KindAdd {
		m.awaitGroups(now, ticket, until, plan, func(n int, seats []string) bool {
			wanted := m.desiredGroups(m.activeAt)[n]
			seat := m.cores[id].Seat()
			return slices.Contains(seats, seat) || !slices.Contains(wanted, seat)
		})
		return *m.out
	}
	m.caller.Call(now, RetireCore{ID: id}, until, func(now time.Duration, o Outcome) {
		r, ok := o.Answer.(Retiring)
		switch {
		case !ok:
			m.answer(ticket, ChangeResult{Moves: plan.Moves, Code: "not_finished", Reason: "not marked as retired yet; ask again"})
		case !r.Known:
			m.answer(ticket, ChangeResult{Code: "unknown_core", Reason: "no core of this fleet is called " + id})
		case !r.Enough:
			m.answer(ticket, ChangeResult{Moves: plan.Moves, Code: "no_room", Reason: "without " + id + " some group would have fewer seats; add a core first"})
		default:
			m.awaitGroups(now, ticket, until, plan, func(n int, seats []string) bool {
				return !slices.ContainsFunc(seats, func(s string) bool { return SeatID(s) == id })
			})
		}
	})
	return *m.out
}

// settle asks the owners for their groups until all are as they should be.
func (m *Machine) awaitGroups(now time.Duration, ticket uint64, until time.Duration, plan ChangeResult, settled func(n int, seats []string) bool) {
	waiting, settledCount := m.founding.Partitions, 0
	for n := 0; n < m.founding.Partitions; n++ {
		m.caller.Call(now, ReadSeats{Part: n}, until, func(now time.Duration, o Outcome) {
			if s, ok := o.Answer.(Seats); ok && settled(n, append(slices.Clone(s.Seats), s.Former...)) {
				settledCount++
			}
			if waiting--; waiting > 0 {
				return
			}
			plan.MovesMade = max(0, len(plan.Moves)-(m.founding.Partitions-settledCount))
			switch {
			case settledCount == m.founding.Partitions:
				plan.Done, plan.MovesMade = true, len(plan.Moves)
				m.answer(ticket, plan)
			case now >= until:
				plan.Code, plan.Reason = "not_finished", "not all moves were made in time; ask again to go on"
				m.answer(ticket, plan)
			default:
				m.later.Add(now+m.params.Pull, func(now time.Duration) { m.awaitGroups(now, ticket, until, plan, settled) })
			}
		})
	}
}

// Introduce makes a new core known, before it is given seats.
func (m *Machine) RegisterCore(now time.Duration, ticket uint64, c Core, within time.Duration) Output {
	m.out = &Output{}
	if old, ok := m.cores[c.ID]; ok && old.Incarnation != c.Incarnation && !old.Retired {
		m.answer(ticket, Done{})
		return *m.out
	} else if ok {
		c.Version = old.Version + 1
	}
	m.caller.Call(now, PutCore{Core: c}, now+within, func(now time.Duration, o Outcome) {
		d, _ := o.Answer.(Done)
		if d.OK {
			m.mergeCore(c)
		}
		m.answer(ticket, d)
	})
	return *m.out
}
