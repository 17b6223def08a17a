package relay

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/invariant"
)

// fetch reads the turns that a turn goes on from: its former one tells the
// names of all before it, which are then read side by side.
func (m *Machine) fetch(now time.Duration, w *way) {
	tenant := m.tenantName(w)
	if t := m.cache.get(now, tenant, w.ask.Previous); t != nil {
		m.Counters.CacheHits++
		w.former = t
		return
	}
	m.Counters.CacheMisses++
	w.fetching = true
	m.read(now, w, w.ask.Previous, func(now time.Duration, last core.ReadTurnResult) {
		turns := make([]*turn, len(last.Previous)+1)
		fill := func(now time.Duration, i int, attempt string, k core.ReadTurnResult) {
			turns[i] = &turn{attempt: attempt, tenant: tenant, input: k.Input, output: k.Output, until: now + k.Left}
		}
		fill(now, len(last.Previous), w.ask.Previous, last)
		waiting := len(last.Previous)
		link := func(now time.Duration) {
			for i := 1; i < len(turns); i++ {
				turns[i].former = turns[i-1]
			}
			for _, t := range turns {
				m.cache.put(t)
			}
			w.fetching, w.former = false, turns[len(turns)-1]
			m.proceed(now, w)
		}
		if waiting == 0 {
			link(now)
			return
		}
		for i, attempt := range last.Previous {
			m.read(now, w, attempt, func(now time.Duration, k core.ReadTurnResult) {
				fill(now, i, attempt, k)
				if waiting--; waiting == 0 {
					link(now)
				}
			})
		}
	})
}

func (m *Machine) read(now time.Duration, w *way, attempt string, next func(now time.Duration, k core.ReadTurnResult)) {
	m.caller.Call(now, core.ReadTurn{Tenant: m.tenantName(w), Attempt: attempt}, w.patience, func(now time.Duration, o core.Outcome) {
		k, ok := o.Answer.(core.ReadTurnResult)
		switch {
		case w.ended:
		case !ok:
			m.unsure(now, w, CauseHistoryUnsure)
		case !k.Found:
			m.turnNotFound(now, w, attempt, k.Absence)
		default:
			next(now, k)
		}
	})
}

// turnNotFound ends a request whose former turn, or one before that, the cores do not
// have. What came whole at this node must still be there: it is missed, not unknown.
func (m *Machine) turnNotFound(now time.Duration, w *way, attempt string, absence core.Absence) {
	owed, kept := m.keptHere.until(turnName{tenant: m.tenantName(w), attempt: w.ask.Previous})
	switch {
	case kept && now < owed:
		m.violated.Violated(invariant.TurnKeptUntilDeadline, "turn %s, before %s, is not found %v before its time is over", attempt, w.ask.Attempt, owed-now)
		m.refuse(now, w, CauseHistoryMissing)
	case kept || absence == core.Expired:
		m.refuse(now, w, CauseHistoryExpired)
	case absence == core.OtherTenant:
		m.refuse(now, w, CauseHistoryForeign)
	default:
		m.refuse(now, w, CauseHistoryUnknown)
	}
}

// keptTurnsMost is how many turns that came whole at this node it remembers.
const keptTurnsMost = 4096

// keptTurns remembers until when the last turns that came whole at this node are owed to
// their requesters, together with those before them.
type keptTurns struct {
	owed map[turnName]time.Duration
	ring []turnName
	next int
}

func (k *keptTurns) add(name turnName, until time.Duration) {
	if k.owed == nil {
		k.owed = map[turnName]time.Duration{}
	}
	if _, known := k.owed[name]; !known {
		if len(k.ring) < keptTurnsMost {
			k.ring = append(k.ring, name)
		} else {
			delete(k.owed, k.ring[k.next])
			k.ring[k.next] = name
			k.next = (k.next + 1) % keptTurnsMost
		}
	}
	k.owed[name] = until
}

func (k *keptTurns) until(name turnName) (time.Duration, bool) {
	until, known := k.owed[name]
	return until, known
}
