package relay

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/invariant"
)

// fetchHistory reads the turns before a turn. The last one lists the IDs of the others.
func (m *Machine) fetchHistory(now time.Duration, req *activeRequest) {
	tenant := m.tenantName(req)
	if t := m.cache.get(now, tenant, req.spec.Previous); t != nil {
		m.Counters.CacheHits++
		req.previous = t
		return
	}
	m.Counters.CacheMisses++
	req.fetchingHistory = true
	m.readTurn(now, req, req.spec.Previous, func(now time.Duration, last core.ReadTurnResult) {
		turns := make([]*turn, len(last.Previous)+1)
		fill := func(now time.Duration, i int, attempt string, result core.ReadTurnResult) {
			turns[i] = &turn{
				attempt:     attempt,
				tenant:      tenant,
				input:       result.Input,
				output:      result.Output,
				storedUntil: now + result.Remaining,
			}
		}
		fill(now, len(last.Previous), req.spec.Previous, last)
		waiting := len(last.Previous)
		link := func(now time.Duration) {
			for i := 1; i < len(turns); i++ {
				turns[i].previous = turns[i-1]
			}
			for _, t := range turns {
				m.cache.put(t)
			}
			req.fetchingHistory, req.previous = false, turns[len(turns)-1]
			m.sendWhenReady(now, req)
		}
		if waiting == 0 {
			link(now)
			return
		}
		for i, attempt := range last.Previous {
			m.readTurn(now, req, attempt, func(now time.Duration, result core.ReadTurnResult) {
				fill(now, i, attempt, result)
				if waiting--; waiting == 0 {
					link(now)
				}
			})
		}
	})
}

// readTurn refuses the request if the turn cannot be read.
func (m *Machine) readTurn(now time.Duration, req *activeRequest, attempt string,
	next func(now time.Duration, result core.ReadTurnResult)) {
	m.caller.Call(now, core.ReadTurn{
		Tenant:  m.tenantName(req),
		Attempt: attempt,
	}, req.admissionDeadline, func(now time.Duration, o core.Outcome) {
		result, ok := o.Answer.(core.ReadTurnResult)
		switch {
		case req.completed:
		case !ok:
			m.refuseUnlessCompleted(now, req, CauseHistoryUnavailable)
		case !result.Found:
			m.turnNotFound(now, req, attempt, result.Absence)
		default:
			next(now, result)
		}
	})
}

// turnNotFound refuses a request. If this node stored the previous turn and its retention has not
// ended, the turn is lost, not unknown.
func (m *Machine) turnNotFound(now time.Duration, req *activeRequest, attempt string, absence core.Absence) {
	until, stored := m.recentTurns.deadline(turnName{tenant: m.tenantName(req), attempt: req.spec.Previous})
	switch {
	case stored && now < until:
		m.violated.Violated(invariant.TurnKeptUntilDeadline, "turn %s, before %s, is not found %v before its retention ends",
			attempt, req.spec.Attempt, until-now)
		m.refuse(now, req, CauseHistoryMissing)
	case stored || absence == core.Expired:
		m.refuse(now, req, CauseHistoryExpired)
	case absence == core.OtherTenant:
		m.refuse(now, req, CauseHistoryForeign)
	default:
		m.refuse(now, req, CauseHistoryUnknown)
	}
}

const maxRecentTurns = 4096

// recentTurns holds the retention deadlines of the last turns stored by this node. A deadline also
// applies to all turns before its own.
type recentTurns struct {
	deadlines map[turnName]time.Duration
	order     []turnName
	oldest    int
}

func (rt *recentTurns) add(name turnName, until time.Duration) {
	if rt.deadlines == nil {
		rt.deadlines = map[turnName]time.Duration{}
	}
	if _, known := rt.deadlines[name]; !known {
		if len(rt.order) < maxRecentTurns {
			rt.order = append(rt.order, name)
		} else {
			delete(rt.deadlines, rt.order[rt.oldest])
			rt.order[rt.oldest] = name
			rt.oldest = (rt.oldest + 1) % maxRecentTurns
		}
	}
	rt.deadlines[name] = until
}

func (rt *recentTurns) deadline(name turnName) (time.Duration, bool) {
	until, known := rt.deadlines[name]
	return until, known
}
