package relay

import (
	"time"

	"saffronfall/peer/core"
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
	m.read(now, w, w.ask.Previous, func(now time.Duration, last core.KeptTurn) {
		turns := make([]*turn, len(last.Before)+1)
		fill := func(now time.Duration, i int, attempt string, k core.KeptTurn) {
			turns[i] = &turn{attempt: attempt, tenant: tenant, input: k.Input, output: k.Output, until: now + k.Left}
		}
		fill(now, len(last.Before), w.ask.Previous, last)
		waiting := len(last.Before)
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
		for i, attempt := range last.Before {
			m.read(now, w, attempt, func(now time.Duration, k core.KeptTurn) {
				fill(now, i, attempt, k)
				if waiting--; waiting == 0 {
					link(now)
				}
			})
		}
	})
}

func (m *Machine) read(now time.Duration, w *way, attempt string, next func(now time.Duration, k core.KeptTurn)) {
	m.caller.Call(now, core.ReadTurn{Tenant: m.tenantName(w), Attempt: attempt}, w.patience, func(now time.Duration, o core.Outcome) {
		k, ok := o.Answer.(core.KeptTurn)
		switch {
		case w.ended:
		case !ok:
			m.unsure(now, w, CauseHistoryUnsure)
		case !k.Found:
			m.unknownTurn(now, w)
		default:
			next(now, k)
		}
	})
}

func (m *Machine) unknownTurn(now time.Duration, w *way) {
	if w.ended {
		return
	}
	m.refuse(now, w, CauseHistoryUnknown)
}
