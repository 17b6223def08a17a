package relay

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/invariant"
	"saffronfall/rule/route"
)

// States of a request's way.
const (
	stateAdmitting = "admitting"
	stateSent      = "sent"
	stateStoring   = "ending"
)

// way is one request on its way through this node.
type activeRequest struct {
	ticket uint64
	spec   Request
	// table is the one that the request came under: it is served by that one to
	// its end.
	table             *route.Table
	route             *route.Route
	tenant            *route.Tenant
	service           string
	state             string
	arrived           time.Duration
	deadline          time.Duration
	admissionDeadline time.Duration
	attemptState
	replica    *replicaRecord
	replicaID  string
	queueTime  time.Duration
	events     int64
	started    bool
	mayHaveRun bool
	completed  bool
	// underWay: a replica has it, and has not been heard of.
	outstanding bool

	rateCharge
	// admitted: all but the rate is there.
	readyToSend bool

	budgetState
	fetching bool
	previous *turn
	// overdue: it was found to be held beyond its time.
	overdueReported bool
}

// attempts are a request's sendings to replicas.
type attemptState struct {
	tried map[string]bool
	// sendings counts the replicas that it was sent to; unrun those of them that surely
	// did not run it.
	attempts, notRun int64
	// unreached counts those of unrun that no connection came up to, or whose address
	// another replica had.
	unreachable int64
	sentAt      time.Duration
	// sentToRoom: the replica had room, as far as was known.
	sentWithRoom bool
}

// booking is what a turn has in its program's books.
type budgetState struct {
	reserving     bool
	reserved      bool
	budgetRefused bool
	// reservation is this node's own name of it.
	reservationID string
}

// Arrive takes a request that came whole. Its first step comes in a return.
func (m *Machine) HandleRequest(now time.Duration, ticket uint64, r Request) Output {
	m.out = &Output{}
	m.Counters.Requests++
	req := &activeRequest{ticket: ticket, spec: r, state: stateAdmitting, arrived: now, attemptState: attemptState{tried: map[string]bool{}}}
	m.active[ticket] = req
	if m.table == nil {
		// A node that has just come waits for its first table.
		req.admissionDeadline = now + m.params.HeartbeatInterval
		if r.Remaining != 0 {
			req.admissionDeadline = min(req.admissionDeadline, now+max(r.Remaining/2, 0))
		}
		m.awaitingTable = append(m.awaitingTable, req)
		return *m.out
	}
	m.validate(now, req)
	return *m.out
}

// enter checks a request against the table in force.
func (m *Machine) validate(now time.Duration, req *activeRequest) {
	r := req.spec
	req.table = m.table
	limits := m.table.Limits
	switch {
	case r.HeadBytes > limits.HeaderBytes:
		m.refuse(now, req, CauseHeadTooLarge)
		return
	case r.BodyBytes > limits.BodyBytes:
		m.refuse(now, req, CauseBodyTooLarge)
		return
	}
	var ok bool
	if req.route, ok = m.table.Match(r.Host, r.Path); !ok {
		m.refuseUnknown(now, req, CauseUnknownRoute)
		return
	}
	if m.table.KeyRequired && r.HasKey {
		req.tenant, _ = m.table.TenantByKey(r.Key)
	}
	if m.table.KeyRequired && req.tenant == nil && !req.route.Public {
		m.refuseUnknown(now, req, CauseUnknownKey)
		return
	}
	left := time.Duration(req.route.TimeoutMS * float64(time.Millisecond))
	if r.Remaining != 0 {
		left = min(left, r.Remaining)
	}
	left -= now - req.arrived
	if left <= 0 {
		m.refuse(now, req, CauseDeadline)
		return
	}
	if len(m.active) > m.params.MaxRequests {
		m.refuse(now, req, CauseNodeFull)
		return
	}
	req.deadline = now + left
	req.admissionDeadline = now + left/2
	req.service = req.route.PickService(m.random())
	if m.refuseOverload(now, req) {
		return
	}
	m.admitRate(now, req)
}

// admitted goes on with a request that its tenant's rate allows: its budget is
// reserved and its history read, both at once.
func (m *Machine) rateGranted(now time.Duration, req *activeRequest) {
	if req.route.Mode == route.Stream {
		m.Counters.Turns++
		if req.spec.Program != "" && req.spec.TokenBudget > 0 {
			m.reserveBudget(now, req)
		}
		if req.route.KeepHistory && req.spec.Previous != "" {
			m.fetchHistory(now, req)
		}
	}
	if req.needsCores() && !req.completed && m.coresUnreachable(now) {
		m.refuseCoresUnreachable(now, req)
		return
	}
	m.sendWhenReady(now, req)
}

func (m *Machine) tenantName(req *activeRequest) string {
	if req.tenant == nil {
		return ""
	}
	return req.tenant.Name
}

// proceed sends a request once all that it waits for is there.
func (m *Machine) sendWhenReady(now time.Duration, req *activeRequest) {
	if req.completed || req.state != stateAdmitting || req.reserving || req.fetching || req.budgetRefused {
		return
	}
	m.dispatch(now, req)
}

// triesOf is how many of the tries that its route allows a request has used. One that
// surely did not run costs none where such are sent on; otherwise only one that reached
// no replica costs none, for a few times.
func (m *Machine) attemptsUsed(req *activeRequest) int64 {
	if m.params.ResendUnrun {
		return req.attempts - req.notRun
	}
	if req.unreachable > 4*req.route.Tries+4 {
		return req.route.Tries
	}
	return req.attempts - req.unreachable
}

// dispatch sends a request to the next replica, or ends it.
func (m *Machine) dispatch(now time.Duration, req *activeRequest) {
	switch {
	case now >= req.deadline:
		m.refuse(now, req, CauseDeadline)
		return
	case m.attemptsUsed(req) >= req.route.Tries:
		m.refuse(now, req, CauseAttemptsExhausted)
		return
	}
	if !m.chargeBeforeSend(now, req) {
		return
	}
	s := m.choose(now, req)
	if s == nil && req.state == stateAdmitting && len(m.serviceOf(req.service).replicas) == 0 && now < req.admissionDeadline {
		// Nobody has said yet which replicas there are.
		m.awaitingReplicas = append(m.awaitingReplicas, req)
		return
	}
	if s == nil {
		m.refuse(now, req, CauseNoReplica)
		return
	}
	req.tried[s.listed.ID] = true
	req.attempts++
	if req.replicaID == "" {
		req.queueTime = now - req.arrived
	}
	req.replica, req.replicaID, req.state, req.outstanding = s, s.listed.ID, stateSent, true
	m.checkSend(req)
	m.recordSent(now, req, s)
	m.Counters.Sent++
	step := Step{Kind: StepSend, Replica: s.listed, Service: req.service, Tenant: m.tenantName(req), Urgency: req.urgency(), ReturnOutput: req.route.KeepHistory && req.route.Mode == route.Stream,
		Stream: req.route.Mode == route.Stream, Resumable: req.route.Retryable() && req.route.Mode == route.Stream, Timeout: req.deadline - now}
	if req.previous != nil {
		step.History = req.previous.history()
	}
	m.emit(req, step)
}

func (m *Machine) emit(req *activeRequest, s Step) {
	m.out.Steps = append(m.out.Steps, TicketStep{Ticket: req.ticket, Step: s})
}

// Came takes what became of a sending.
func (m *Machine) HandleOutcome(now time.Duration, ticket uint64, o Outcome) Output {
	m.out = &Output{}
	req, ok := m.active[ticket]
	if !ok {
		return *m.out
	}
	if req.state != stateSent {
		if o.RequesterGone {
			m.abortCanceled(now, req)
		}
		return *m.out
	}
	m.recordOutcome(now, req, o)
	req.outstanding = false
	req.events += o.Events
	req.started = req.started || o.Started
	if o.NewConnection {
		m.Counters.NewConnections++
	}
	if o.Kind != OutcomeNotRun {
		req.mayHaveRun, req.covered = true, false
	}
	if o.RequesterGone {
		m.abortCanceled(now, req)
		return *m.out
	}
	switch o.Kind {
	case OutcomeComplete:
		m.Counters.Completed++
		m.complete(now, req, o)
	case OutcomeNotRun:
		m.Counters.NotRun++
		req.notRun++
		if o.Unreachable || o.AddressReused {
			req.unreachable++
		}
		m.Counters.Resent++
		if req.started {
			m.retryOrAbort(now, req)
			return *m.out
		}
		m.dispatch(now, req)
	default:
		m.Counters.Interrupted++
		m.retryOrAbort(now, req)
	}
	return *m.out
}

// broken goes on elsewhere where the request may run again, and else says that
// it may have run.
func (m *Machine) retryOrAbort(now time.Duration, req *activeRequest) {
	may := req.route.Retryable() && m.attemptsUsed(req) < req.route.Tries && now < req.deadline
	if req.started && req.route.Mode != route.Stream {
		may = false
	}
	if may && req.charged && req.rate != nil {
		// It may have run: another run is another request of the tenant's.
		if req.rate.holding == req.chargedHolding && req.rate.available(now) > 0 {
			m.charge(now, req)
		} else {
			may = false
		}
	}
	if may {
		m.Counters.Resumed++
		m.dispatch(now, req)
		return
	}
	m.abort(now, req, CauseReplicaInterrupted)
}

// whole ends a request that was answered whole. A kept turn is durable first.
func (m *Machine) complete(now time.Duration, req *activeRequest, o Outcome) {
	switch {
	case o.Failed:
		m.finish(now, req, CauseReplicaError, Step{Kind: StepDeliver, Status: o.Status})
		return
	case !req.route.KeepHistory || req.route.Mode != route.Stream:
		m.finish(now, req, CauseServed, Step{Kind: StepDeliver})
		return
	}
	req.state = stateStoring
	keep := 2 * m.turnRetention(req)
	waiting, failed := 1, false
	stored := &turn{attempt: req.spec.Attempt, tenant: m.tenantName(req), previous: req.previous, input: req.spec.Input, output: o.Output, storedUntil: now + keep}
	done := func(at time.Duration, o core.Outcome) {
		d, ok := o.Answer.(core.Done)
		failed = failed || !ok || !d.OK
		if waiting--; waiting > 0 {
			return
		}
		if failed {
			m.abort(at, req, CauseTurnNotStored)
			return
		}
		m.cache.put(stored)
		m.recentTurns.add(stored.name(), now+m.turnRetention(req))
		m.finish(at, req, CauseServed, Step{Kind: StepDeliver})
	}
	c := core.KeepTurn{Tenant: stored.tenant, Attempt: stored.attempt, Input: stored.input, Output: stored.output, Keep: keep}
	if req.previous != nil {
		c.Before = req.previous.attemptIDs()
	}
	// A turn is kept with all before it: those that would go before it are
	// prolonged.
	var old []*turn
	for t := req.previous; t != nil; t = t.previous {
		if t.storedUntil < now+keep*5/8 {
			old = append(old, t)
		}
	}
	waiting += len(old)
	m.settle(now, req, m.tokenCount(req))
	m.caller.Call(now, c, max(req.deadline, now+m.params.Core.MemberTerm), done)
	for _, t := range old {
		m.caller.Call(now, core.ProlongTurn{Tenant: t.tenant, Attempt: t.attempt, Keep: keep}, max(req.deadline, now+m.params.Core.MemberTerm), func(when time.Duration, o core.Outcome) {
			if d, ok := o.Answer.(core.Done); ok && d.OK {
				t.storedUntil = max(t.storedUntil, now+keep)
			}
			done(when, o)
		})
	}
}

// owedFor is for how long a kept turn is owed to its requester. It is kept for twice that
// time, so that those before it, which are prolonged in time, outlive it.
func (m *Machine) turnRetention(req *activeRequest) time.Duration {
	return time.Duration(req.route.KeepSeconds * float64(time.Second))
}

func (m *Machine) tokenCount(req *activeRequest) int64 {
	per := int64(1)
	if s, ok := req.table.Service(req.service); ok {
		per = s.TokensPerEvent
	}
	return req.events * per
}

// refuse ends a request that has not run. What may have run is never refused: it is
// broken off.
func (m *Machine) refuse(now time.Duration, req *activeRequest, cause Cause) {
	m.refuseWithRetry(now, req, cause, 0)
}

// refuseFor is refuse with a time to come back that the cause alone does not tell.
func (m *Machine) refuseWithRetry(now time.Duration, req *activeRequest, cause Cause, retry time.Duration) {
	if req.mayHaveRun {
		m.abort(now, req, cause)
		return
	}
	v := answers[cause]
	if retry == 0 {
		retry = time.Duration(v.retryFactor * float64(m.params.Core.Retry))
	}
	m.finish(now, req, cause, Step{Kind: StepRefuse, Status: v.status, Check: v.check, Reason: v.reason, RetryAfter: retry})
}

// breakOff ends a request that may have run, and promises nothing.
func (m *Machine) abort(now time.Duration, req *activeRequest, cause Cause) {
	v := answers[cause]
	s := Step{Kind: StepAbort, Status: v.status, Check: v.check, Reason: v.reason}
	if s.Status != statusRequesterGone {
		s.Status = answers[CauseReplicaInterrupted].status
	}
	m.finish(now, req, cause, s)
}

func (m *Machine) finish(now time.Duration, req *activeRequest, cause Cause, s Step) {
	if req.completed {
		return
	}
	req.completed = true
	if _, live := m.active[req.ticket]; !live {
		m.violated.Violated(invariant.EndedOnce, "attempt %s ends by %s and is not under way", req.spec.Attempt, cause)
	}
	if s.Kind == StepRefuse && (req.mayHaveRun || req.outstanding) {
		m.violated.Violated(invariant.RefusedNeverRan, "attempt %s is refused by %s; ran %v, under way %v", req.spec.Attempt, cause, req.mayHaveRun, req.outstanding)
	}
	delete(m.active, req.ticket)
	if !req.mayHaveRun {
		m.refund(req)
	}
	m.settle(now, req, m.tokensUsed(req))
	m.recordCompletion(now, req, cause, s)
	m.emit(req, s)
}

// checkSending looks at a request that is about to be sent to a replica.
func (m *Machine) checkSend(req *activeRequest) {
	switch {
	case req.mayHaveRun && !req.route.Retryable():
		m.violated.Violated(invariant.RunsOnce, "attempt %s on route %s may have run and goes to %s", req.spec.Attempt, req.route.Name, req.replicaID)
	case m.attemptsUsed(req) > req.route.Tries:
		m.violated.Violated(invariant.AttemptsWithinRoute, "attempt %s goes to replica %d; route %s allows %d", req.spec.Attempt, req.attempts, req.route.Name, req.route.Tries)
	case req.rate != nil && !req.covered:
		m.violated.Violated(invariant.GrantedBeforeSent, "attempt %s of tenant %s goes to %s unpaid", req.spec.Attempt, req.tenant.Name, req.replicaID)
	case req.route.Mode == route.Stream && req.spec.Program != "" && req.spec.TokenBudget > 0 && !req.reserved:
		m.violated.Violated(invariant.ReservedBeforeSent, "attempt %s of program %s goes to %s without a reservation", req.spec.Attempt, req.spec.Program, req.replicaID)
	case m.departed.has(req.replicaID):
		m.violated.Violated(invariant.LeavingNeverChosen, "attempt %s goes to %s, which leaves", req.spec.Attempt, req.replicaID)
	}
}

func (m *Machine) tokensUsed(req *activeRequest) int64 {
	if req.events == 0 {
		return 0
	}
	return m.tokenCount(req)
}

// Gone takes that nobody waits for a request any more.
func (m *Machine) Cancel(now time.Duration, ticket uint64) Output {
	m.out = &Output{}
	if req, ok := m.active[ticket]; ok && req.state != stateSent {
		m.abortCanceled(now, req)
	}
	return *m.out
}

func (m *Machine) abortCanceled(now time.Duration, req *activeRequest) {
	m.abort(now, req, CauseRequesterGone)
}
