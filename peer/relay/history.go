package relay

import (
	"hash/maphash"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/invariant"
)

// history is the chain of turns that a request continues, oldest first.
type history []*turn

// attemptIDs lists the turns; it is not shared.
func (h history) attemptIDs() []string {
	var ids []string
	for _, t := range h {
		ids = append(ids, t.attempt)
	}
	return ids
}

// contents lists the inputs and outputs of the turns.
func (h history) contents() [][]byte {
	var parts [][]byte
	for _, t := range h {
		parts = append(parts, t.input, t.output)
	}
	return parts
}

// turnRead is a read of a turn from the cores, for all requests that wait for it.
type turnRead struct {
	waiting []waitingRead
	// until is when the read ends without an answer.
	until time.Duration
}

type waitingRead struct {
	req  *activeRequest
	next func(now time.Duration, t *turn)
}

// fetchHistory reads the turns before a turn. The last one lists the IDs of the others.
func (m *Machine) fetchHistory(now time.Duration, req *activeRequest) {
	if m.cache.usedUp() {
		m.refuse(now, req, CauseHistoryRoom)
		return
	}
	req.fetchingHistory = true
	m.readTurn(now, req, req.spec.Previous, func(now time.Duration, last *turn) {
		req.history = make(history, len(last.previous)+1)
		m.addToHistory(req, len(last.previous), last)
		m.fetchEarlier(now, req, last.previous)
	})
	if req.fetchingHistory {
		m.Counters.CacheMisses++
	} else {
		m.Counters.CacheHits++
	}
}

// fetchEarlier reads all turns of a history but the last one.
func (m *Machine) fetchEarlier(now time.Duration, req *activeRequest, previous []string) {
	missing := len(previous) + 1
	arrived := func(now time.Duration) {
		if missing--; missing == 0 {
			req.fetchingHistory = false
			m.sendWhenReady(now, req)
		}
	}
	for i, attempt := range previous {
		if req.completed {
			return
		}
		m.readTurn(now, req, attempt, func(now time.Duration, t *turn) {
			m.addToHistory(req, i, t)
			arrived(now)
		})
	}
	arrived(now)
}

// addToHistory keeps a turn for a request until this ends.
func (m *Machine) addToHistory(req *activeRequest, i int, t *turn) {
	req.history[i] = t
	m.cache.use(t)
}

func (m *Machine) releaseHistory(req *activeRequest) {
	for _, t := range req.history {
		if t != nil {
			m.cache.release(t)
		}
	}
	req.history = nil
}

// readTurn passes on a turn from the cache, or else from the cores, which are asked once for all requests
// that wait for it. It refuses the request if the turn cannot be read.
func (m *Machine) readTurn(now time.Duration, req *activeRequest, attempt string, next func(now time.Duration, t *turn)) {
	name := turnName{tenant: m.tenantName(req), attempt: attempt}
	if t := m.cache.get(now, name); t != nil {
		next(now, t)
		return
	}
	if read := m.reads[name]; read != nil {
		read.waiting = append(read.waiting, waitingRead{req: req, next: next})
		return
	}
	m.startRead(now, name, []waitingRead{{req: req, next: next}})
}

// startRead asks the cores. The answer is awaited as long as any of the requests may wait.
func (m *Machine) startRead(now time.Duration, name turnName, waiting []waitingRead) {
	read := &turnRead{waiting: waiting}
	for _, w := range waiting {
		read.until = max(read.until, w.req.admissionDeadline)
	}
	m.reads[name] = read
	m.turnReads++
	m.caller.Call(now, core.ReadTurn{Tenant: name.tenant, Attempt: name.attempt}, read.until, func(now time.Duration, o core.Outcome) {
		delete(m.reads, name)
		m.finishRead(now, name, read, o)
	})
}

// finishRead answers the requests that wait. Without an answer, those that came later and may wait for
// longer go on to wait for another read.
func (m *Machine) finishRead(now time.Duration, name turnName, read *turnRead, o core.Outcome) {
	result, answered := o.Answer.(core.ReadTurnResult)
	var t *turn
	if answered && result.Found {
		t = m.cache.put(&turn{
			turnName:    name,
			previous:    result.Previous,
			input:       result.Input,
			output:      result.Output,
			storedUntil: now + result.Remaining,
		})
	}
	var later []waitingRead
	for _, w := range read.waiting {
		switch {
		case w.req.completed:
		case t != nil && m.cache.usedUp() && t.users == 0:
			m.refuse(now, w.req, CauseHistoryRoom)
		case t != nil:
			w.next(now, t)
		case answered:
			m.turnNotFound(now, w.req, name.attempt, result.Absence)
		case w.req.admissionDeadline > read.until && w.req.admissionDeadline > now:
			later = append(later, w)
		default:
			m.refuseUnlessCompleted(now, w.req, CauseHistoryUnavailable)
		}
	}
	if len(later) > 0 {
		m.startRead(now, name, later)
	}
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

// recentTurns holds the retention deadlines of the last turns stored by this node, by the hashes of their
// names, which requesters choose and may make long. A deadline also applies to all turns before its own.
type recentTurns struct {
	seed      maphash.Seed
	deadlines map[uint64]time.Duration
	order     []uint64
	oldest    int
}

func (rt *recentTurns) hash(name turnName) uint64 { return maphash.Comparable(rt.seed, name) }

func (rt *recentTurns) add(name turnName, until time.Duration) {
	if rt.deadlines == nil {
		rt.seed, rt.deadlines = maphash.MakeSeed(), map[uint64]time.Duration{}
	}
	hash := rt.hash(name)
	if _, known := rt.deadlines[hash]; !known {
		if len(rt.order) < maxRecentTurns {
			rt.order = append(rt.order, hash)
		} else {
			delete(rt.deadlines, rt.order[rt.oldest])
			rt.order[rt.oldest] = hash
			rt.oldest = (rt.oldest + 1) % maxRecentTurns
		}
	}
	rt.deadlines[hash] = until
}

func (rt *recentTurns) deadline(name turnName) (time.Duration, bool) {
	if rt.deadlines == nil {
		return 0, false
	}
	until, known := rt.deadlines[rt.hash(name)]
	return until, known
}
