package relay

import (
	"time"

	"saffronfall/peer/desk"
	"saffronfall/rule/ordered"
)

// board is what one desk has told of replicas.
type board struct {
	life    string
	version uint64
	// heard is when the desk was last heard of, or first told of by another one.
	heard time.Duration
	list  map[string]posted
}

// speaks reports whether a desk was heard of lately.
func (b *board) speaks(now, beat time.Duration) bool {
	return b.life != "" && now < b.heard+lostBeats*beat
}

type posted struct {
	desk.Listed
	// until is when it is dropped; zero: when the desk says so.
	until time.Duration
}

// standing is what this node knows of one replica by its own sendings.
type standing struct {
	replica     desk.Replica
	outstanding int64
	load        Load
	loadAt      time.Duration
	// since counts what this node sent since the load was told.
	since    int64
	failures int
	until    time.Duration
	kept     map[uint64]keptPiece
	tokens   int64
}

type keptPiece struct {
	tokens int64
	at     time.Duration
}

// departed are replicas that said that they leave, and when that was last heard of.
// A replica never comes back under its id, so no other word of it counts any more.
type departed map[string]time.Duration

func (d departed) add(now time.Duration, id string) { d[id] = now }

func (d departed) has(id string) bool {
	_, ok := d[id]
	return ok
}

// departedBeats is for how many heartbeats a node remembers that a replica left:
// longer than desks tell of it.
const departedBeats = 100

// forget drops those that nobody has told of for a time.
func (d departed) forget(before time.Duration) {
	for id, heard := range d {
		if heard < before {
			delete(d, id)
		}
	}
}

// gather joins the boards into one list of replicas. The newest word of a
// replica counts; that it leaves or has left counts whoever said it, and for good:
// it is no word of the desk that told of it, which may fall silent or be forgotten.
func (m *Machine) gather(now time.Duration) {
	best := map[string]desk.Listed{}
	live := false
	for _, b := range m.boards {
		live = live || b.speaks(now, m.params.Beat)
	}
	for _, address := range ordered.Keys(m.boards) {
		b := m.boards[address]
		if live && now > b.heard+lostBeats*m.params.Beat {
			continue
		}
		m.rememberDeparted(now, b)
		for id, p := range b.list {
			if p.until > 0 && now >= p.until {
				delete(b.list, id)
				continue
			}
			old, ok := best[id]
			// That one desk has not heard of it for long is no word against another
			// that has.
			if !ok || old.Gone && !p.Gone || old.Gone == p.Gone && old.Replica.Call < p.Replica.Call {
				best[id] = p.Listed
			}
		}
	}
	m.services = map[string][]*standing{}
	known := map[string]bool{}
	for _, id := range ordered.Keys(best) {
		l := best[id]
		if l.Gone || m.left.has(id) {
			continue
		}
		s := m.standings[id]
		if s == nil {
			s = &standing{kept: map[uint64]keptPiece{}}
			m.standings[id] = s
		}
		s.replica = l.Replica
		known[id] = true
		m.services[l.Replica.Service] = append(m.services[l.Replica.Service], s)
	}
	for id, s := range m.standings {
		if !known[id] && s.outstanding == 0 {
			delete(m.standings, id)
		}
	}
	m.gatherAt = now + m.params.Beat/2
}

// rememberDeparted notes who has left, for as long as a desk that speaks tells so.
func (m *Machine) rememberDeparted(now time.Duration, b *board) {
	for id, p := range b.list {
		if p.Replica.Leaving || p.Final {
			m.left.add(now, id)
		}
	}
}

// lostBeats is after how many beats a silent desk's word is old.
const lostBeats = 4

// running estimates how many requests a replica has now: what it said last and
// what this node has sent since, or what this node alone has there.
func (s *standing) running(now, stale time.Duration) int64 {
	if s.loadAt == 0 || now > s.loadAt+stale {
		return s.outstanding
	}
	return max(s.outstanding, s.load.Running+s.load.Waiting+s.since)
}

// choose picks the replica of a service where a request is likely done first:
// how many run there, how much of the prompt is kept there, and its zone.
func (m *Machine) choose(now time.Duration, w *way) *standing {
	if now >= m.gatherAt {
		m.gather(now)
	}
	var chosen *standing
	var best float64
	service, _ := w.table.Service(w.service)
	most := int64(1 << 30)
	if service != nil {
		most = max(2, service.Connections/int64(max(m.nodes, 1)+1))
	}
	for _, s := range m.services[w.service] {
		if w.tried[s.replica.ID] || s.outstanding >= most {
			continue
		}
		cost := m.cost(now, w, s) + m.random()*0.5
		if chosen == nil || cost < best {
			chosen, best = s, cost
		}
	}
	return chosen
}

// suspicion is what one failure of late costs, in milliseconds. It is a cost and
// no ejection: when the others are full, a suspect is tried.
const suspicion = 60

// cost is in milliseconds.
func (m *Machine) cost(now time.Duration, w *way, s *standing) float64 {
	running := s.running(now, m.params.Beat/4)
	slots := max(1, s.replica.Slots)
	cost := float64(running) * 20 / float64(slots)
	if running >= slots {
		cost += float64(running-slots+1) * 100 / float64(slots) * 2
	}
	switch {
	case now < s.until:
		cost += suspicion * float64(max(1, min(s.failures, 8)))
	case s.failures > 0 && (s.outstanding > 0 || !w.route.Repeats()):
		// One request that may run again finds out whether it is well.
		cost += suspicion
	}
	if s.replica.Cold > 0 {
		cost += 5
	}
	if s.replica.Zone != m.zone {
		cost += 5
	}
	if len(w.ask.Prompt) > 0 {
		var unread int64
		kept := true
		for _, p := range w.ask.Prompt {
			if kept {
				_, kept = s.kept[p.ID]
			}
			if !kept {
				unread += p.Tokens
			}
		}
		cost += float64(unread) / m.params.PromptRate
	}
	return cost
}

// sent notes that a request goes to a replica, and what it will keep of it.
func (m *Machine) sent(now time.Duration, w *way, s *standing) {
	s.outstanding++
	s.since++
	var most int64 = 1 << 40
	if service, ok := w.table.Service(w.service); ok && service.CacheTokens > 0 {
		most = service.CacheTokens * 3 / 4
	}
	for _, p := range w.ask.Prompt {
		if _, ok := s.kept[p.ID]; !ok {
			s.tokens += p.Tokens
		}
		s.kept[p.ID] = keptPiece{tokens: p.Tokens, at: now}
	}
	for s.tokens > most && len(s.kept) > 1 {
		var oldest uint64
		at := now + 1
		for id, used := range s.kept {
			if used.at < at {
				oldest, at = id, used.at
			}
		}
		s.tokens -= s.kept[oldest].tokens
		delete(s.kept, oldest)
	}
}

// came notes what became of a sending.
func (m *Machine) came(now time.Duration, s *standing, o Outcome) {
	s.outstanding--
	if o.Load != nil {
		s.load, s.loadAt, s.since = *o.Load, now, 0
		if o.Load.Slots > 0 {
			s.replica.Slots = o.Load.Slots
		}
	}
	switch {
	case o.Moved:
		s.until = now + m.params.Beat
	case o.Kind == Broken && !o.Gone, o.Unreached:
		s.failures++
		s.until = now + m.params.Beat/4<<min(s.failures, 4)
	case o.Kind == NotRun:
		s.until = now + m.params.Beat/40
	default:
		s.failures = 0
	}
}
