package core

import (
	"maps"
	"time"

	"saffronfall/rule/ordered"
	"saffronfall/rule/part"
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
// changed to admit it. One that has seats already waits for its founding.
func (m *Machine) returnTo(now time.Duration, t Topology) {
	known, ok := t.Cores[m.self.ID]
	if len(t.Groups) == 0 || known.Retired {
		return
	}
	for _, g := range t.Groups {
		if g.Has(m.self.Seat()) {
			return
		}
	}
	f := Founding{Fleet: t.Fleet, Parts: len(t.Groups), Cores: maps.Clone(t.Cores), Groups: make([]part.Group, len(t.Groups)), Size: t.Size}
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
	if m.mending || m.self.Retired || m.leaving || m.stalled || !m.unknown || m.superseded() {
		return
	}
	m.mending = true
	told := m.self
	m.caller.Call(now, PutCore{Core: told}, now+10*m.params.MemberTerm, func(now time.Duration, o Outcome) {
		m.mending = false
		d, ok := o.Answer.(Done)
		switch {
		case !ok || m.superseded():
		case d.OK:
			m.unknown = m.self != told
		default:
			m.self.Version++
			m.cores[m.self.ID] = m.self
			m.changed = true
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

// move makes moves one after the other.
func (m *Machine) move(now time.Duration, moves []Move, made int, until time.Duration, next func(now time.Duration, made int)) {
	if made == len(moves) || now >= until {
		next(now, made)
		return
	}
	one := moves[made]
	m.caller.Call(now, ChangeSeat{Part: one.Part, Add: one.Add, Remove: one.Remove}, until, func(now time.Duration, o Outcome) {
		d, ok := o.Answer.(Done)
		switch {
		case ok && d.OK:
			m.move(now, moves, made+1, until, next)
		case !ok:
			next(now, made)
		default:
			m.later.Add(now+m.params.Pull, func(now time.Duration) { m.move(now, moves, made, until, next) })
		}
	})
}

// PlanChange lists the moves of a change in a core's life, or says why there can
// be none.
func PlanChange(cores map[string]Core, groups []part.Group, kind, id, by string) Changed {
	c, ok := cores[id]
	if !ok {
		return Changed{Code: "unknown_core", Reason: "no core of this fleet is called " + id}
	}
	var moves []Move
	switch kind {
	case Add:
		moves = PlanAdd(cores, groups, c)
	case Replace:
		fresh, ok := cores[by]
		if !ok || fresh.Retired {
			return Changed{Code: "unknown_core", Reason: "no core of this fleet is called " + by}
		}
		for n, g := range groups {
			if g.Has(c.Seat()) {
				moves = append(moves, Move{Part: n, Add: fresh.Seat(), Remove: c.Seat()})
			}
		}
	case Retire:
		var short bool
		if moves, short = PlanRetire(cores, groups, c); short {
			return Changed{Moves: moves, Code: "no_room", Reason: "without " + id + " some group would have fewer seats; add a core first"}
		}
	}
	return Changed{Moves: moves}
}

// Change gives a new core its even part of the seats, or empties one and
// retires it, for whoever has room or for one named core.
func (m *Machine) Change(now time.Duration, ticket uint64, kind, id, by string, within time.Duration) Output {
	m.out = &Output{}
	m.learn()
	until := now + within
	plan := PlanChange(m.cores, m.groups, kind, id, by)
	if plan.Code != "" {
		m.answer(ticket, plan)
		return *m.out
	}
	moves, c := plan.Moves, m.cores[id]
	m.move(now, moves, 0, until, func(now time.Duration, made int) {
		if made < len(moves) {
			m.answer(ticket, Changed{Moves: moves, Made: made, Code: "not_finished", Reason: "not all moves were made in time; ask again to go on"})
			return
		}
		if kind == Add {
			m.answer(ticket, Changed{Done: true, Moves: moves, Made: made})
			return
		}
		c.Retired, c.Version = true, c.Version+1
		m.caller.Call(now, PutCore{Core: c}, until, func(now time.Duration, o Outcome) {
			d, ok := o.Answer.(Done)
			if !ok || !d.OK {
				m.answer(ticket, Changed{Moves: moves, Made: made, Code: "not_finished", Reason: "emptied, and not yet marked as retired; ask again"})
				return
			}
			m.answer(ticket, Changed{Done: true, Moves: moves, Made: made})
		})
	})
	return *m.out
}

// Introduce makes a new core known, before it is given seats.
func (m *Machine) Introduce(now time.Duration, ticket uint64, c Core, within time.Duration) Output {
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
			m.learnCore(c)
		}
		m.answer(ticket, d)
	})
	return *m.out
}

func seatCounts(cores map[string]Core, groups []part.Group) map[string]int {
	counts := map[string]int{}
	for _, id := range ordered.Keys(cores) {
		if c := cores[id]; !c.Retired {
			counts[c.Seat()] = 0
		}
	}
	for _, g := range groups {
		for _, s := range g.Seats {
			if _, ok := counts[s]; ok {
				counts[s]++
			}
		}
	}
	return counts
}

func zoneOf(cores map[string]Core, seat string) string {
	for _, c := range cores {
		if c.Seat() == seat {
			return c.Zone
		}
	}
	return ""
}

// PlanAdd moves seats to a new core until it has its even part, from the
// fullest cores first, and never so that a group has fewer zones than before.
func PlanAdd(cores map[string]Core, groups []part.Group, c Core) []Move {
	counts := seatCounts(cores, groups)
	total := 0
	for _, n := range counts {
		total += n
	}
	var moves []Move
	for n := range groups {
		if counts[c.Seat()] >= total/max(1, len(counts)) {
			break
		}
		g := groups[n]
		if g.Has(c.Seat()) {
			continue
		}
		fullest := ""
		for _, s := range g.Seats {
			if (fullest == "" || counts[s] > counts[fullest]) && zones(cores, swap(g.Seats, s, c.Seat())) >= zones(cores, g.Seats) {
				fullest = s
			}
		}
		if fullest != "" && counts[fullest] > counts[c.Seat()]+1 {
			counts[fullest]--
			counts[c.Seat()]++
			moves = append(moves, Move{Part: n, Add: c.Seat(), Remove: fullest})
		}
	}
	return moves
}

// PlanRetire gives each seat of a core to another core, in a zone of its own
// where one can be had, the emptiest first. It reports when a group must shrink.
func PlanRetire(cores map[string]Core, groups []part.Group, c Core) (moves []Move, short bool) {
	counts := seatCounts(cores, groups)
	delete(counts, c.Seat())
	for n, g := range groups {
		if !g.Has(c.Seat()) {
			continue
		}
		best := ""
		for _, s := range ordered.Keys(counts) {
			if g.Has(s) {
				continue
			}
			a, b := zones(cores, swap(g.Seats, c.Seat(), s)), 0
			if best != "" {
				b = zones(cores, swap(g.Seats, c.Seat(), best))
			}
			if best == "" || a > b || (a == b && counts[s] < counts[best]) {
				best = s
			}
		}
		if best == "" {
			short = true
			continue
		}
		counts[best]++
		moves = append(moves, Move{Part: n, Add: best, Remove: c.Seat()})
	}
	return moves, short
}

func swap(seats []string, out, in string) []string {
	var list []string
	for _, s := range seats {
		if s == out {
			s = in
		}
		list = append(list, s)
	}
	return list
}

func zones(cores map[string]Core, seats []string) int {
	seen := map[string]bool{}
	for _, s := range seats {
		seen[zoneOf(cores, s)] = true
	}
	return len(seen)
}
