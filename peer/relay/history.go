package relay

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/invariant"
)

// fetch reads the turns that a turn goes on from: its former one tells the
// names of all before it, which are then read side by side.
func (m *Machine) fetchHistory(now time.Duration, req *activeRequest) {
	tenant := m.tenantName(req)
	if t := m.cache.get(now, tenant, req.spec.Previous); t != nil {
		m.Counters.CacheHits++
		req.previous = t
		return
	}
	m.Counters.CacheMisses++
	req.fetching = true
	m.readTurn(now, req, req.spec.Previous, func(now time.Duration, last core.KeptTurn) {
		turns := make([]*turn, len(last.Before)+1)
		fill := func(now time.Duration, i int, attempt string, k core.KeptTurn) {
			turns[i] = &turn{attempt: attempt, tenant: tenant, input: k.Input, output: k.Output, storedUntil: now + k.Left}
		}
		fill(now, len(last.Before), req.spec.Previous, last)
		waiting := len(last.Before)
		link := func(now time.Duration) {
			for i := 1; i < len(turns); i++ {
				turns[i].previous = turns[i-1]
			}
			for _, t := range turns {
				m.cache.put(t)
			}
			req.fetching, req.previous = false, turns[len(turns)-1]
			m.sendWhenReady(now, req)
		}
		if waiting == 0 {
			link(now)
			return
		}
		for i, attempt := range last.Before {
			m.readTurn(now, req, attempt, func(now time.Duration, k core.KeptTurn) {
				fill(now, i, attempt, k)
				if waiting--; waiting == 0 {
					link(now)
				}
			})
		}
	})
}

func (m *Machine) readTurn(now time.Duration, req *activeRequest, attempt string, next func(now time.Duration, k core.KeptTurn)) {
	m.caller.Call(now, core.ReadTurn{Tenant: m.tenantName(req), Attempt: attempt}, req.admissionDeadline, func(now time.Duration, o core.Outcome) {
		k, ok := o.Answer.(core.KeptTurn)
		switch {
		case req.completed:
		case !ok:
			m.refuseUnlessCompleted(now, req, CauseHistoryUnavailable)
		case !k.Found:
			m.turnNotFound(now, req, attempt, k.Absence)
		default:
			next(now, k)
		}
	})
}

// turnNotFound ends a request whose former turn, or one before that, the cores do not
// have. What came whole at this node must still be there: it is missed, not unknown.
func (m *Machine) turnNotFound(now time.Duration, req *activeRequest, attempt string, absence core.Absence) {
	owed, kept := m.recentTurns.deadline(turnName{tenant: m.tenantName(req), attempt: req.spec.Previous})
	switch {
	case kept && now < owed:
		m.violated.Violated(invariant.TurnKeptUntilDeadline, "turn %s, before %s, is not found %v before its time is over", attempt, req.spec.Attempt, owed-now)
		m.refuse(now, req, CauseHistoryMissing)
	case kept || absence == core.Expired:
		m.refuse(now, req, CauseHistoryExpired)
	case absence == core.Foreign:
		m.refuse(now, req, CauseHistoryForeign)
	default:
		m.refuse(now, req, CauseHistoryUnknown)
	}
}

// keptTurnsMost is how many turns that came whole at this node it remembers.
const maxRecentTurns = 4096

// keptTurns remembers until when the last turns that came whole at this node are owed to
// their requesters, together with those before them.
type recentTurns struct {
	deadlines map[turnName]time.Duration
	ring      []turnName
	next      int
}

func (k *recentTurns) add(name turnName, until time.Duration) {
	if k.deadlines == nil {
		k.deadlines = map[turnName]time.Duration{}
	}
	if _, known := k.deadlines[name]; !known {
		if len(k.ring) < maxRecentTurns {
			k.ring = append(k.ring, name)
		} else {
			delete(k.deadlines, k.ring[k.next])
			k.ring[k.next] = name
			k.next = (k.next + 1) % maxRecentTurns
		}
	}
	k.deadlines[name] = until
}

func (k *recentTurns) deadline(name turnName) (time.Duration, bool) {
	until, known := k.deadlines[name]
	return until, known
}
