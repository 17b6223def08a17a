package relay

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/invariant"
	"saffronfall/rule/route"
)

const (
	stateAdmitting = "admitting"
	stateSent      = "sent"
	stateStoring   = "ending"
)

// admissionTimeDivisor divides a request's remaining time into the part that admission may take.
const admissionTimeDivisor = 2

type activeRequest struct {
	ticket uint64
	spec   Request
	// table was in force on admission and applies until the request ends.
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
	// outstanding: sent to a replica, with an unknown outcome.
	outstanding bool

	rateCharge
	// readyToSend: the request needs only a unit of its tenant's rate.
	readyToSend bool

	budgetState
	keyState
	historyState
	overdueReported bool
}

type attemptState struct {
	tried map[string]bool
	// attempts counts the replicas tried, notRun those that certainly did not run the request.
	attempts, notRun int64
	// unreachable counts those of notRun without a connection, or whose address another replica
	// had.
	unreachable int64
	sentAt      time.Duration
	// sentWithRoom: the replica had a free slot, as far as was known.
	sentWithRoom bool
}

type budgetState struct {
	reservingBudget bool
	budgetReserved  bool
	budgetRefused   bool
	// reservationID is made by this node, as requesters may repeat their IDs.
	reservationID string
}

// HandleRequest starts a request. Its steps are returned under the ticket, the caller's unique
// number for it.
func (m *Machine) HandleRequest(now time.Duration, ticket uint64, request Request) Output {
	m.out = &Output{}
	m.Counters.Requests++
	req := &activeRequest{
		ticket:       ticket,
		spec:         request,
		state:        stateAdmitting,
		arrived:      now,
		attemptState: attemptState{tried: map[string]bool{}},
	}
	m.active[ticket] = req
	if m.table == nil {
		req.admissionDeadline = now + m.params.HeartbeatInterval
		if request.Remaining != 0 {
			req.admissionDeadline = min(req.admissionDeadline, now+max(request.Remaining/admissionTimeDivisor, 0))
		}
		m.awaitingTable = append(m.awaitingTable, req)
		return *m.out
	}
	m.validate(now, req)
	return *m.out
}

// validate checks a request against the table in force and continues its admission.
func (m *Machine) validate(now time.Duration, req *activeRequest) {
	spec := req.spec
	req.table = m.table
	limits := m.table.Limits
	switch {
	case spec.HeadBytes > limits.HeaderBytes:
		m.refuse(now, req, CauseHeadTooLarge)
		return
	case spec.BodyBytes > limits.BodyBytes:
		m.refuse(now, req, CauseBodyTooLarge)
		return
	}
	var ok bool
	if req.route, ok = m.table.Match(spec.Host, spec.Path); !ok {
		m.refuseUnknown(now, req, CauseUnknownRoute)
		return
	}
	if m.table.KeyRequired && spec.HasKey {
		req.tenant, _ = m.table.TenantByKey(spec.Key)
	}
	if m.table.KeyRequired && req.tenant == nil && !req.route.Public {
		m.refuseUnknown(now, req, CauseUnknownKey)
		return
	}
	remaining := time.Duration(req.route.TimeoutMS * float64(time.Millisecond))
	if spec.Remaining != 0 {
		remaining = min(remaining, spec.Remaining)
	}
	remaining -= now - req.arrived
	if remaining <= 0 {
		m.refuse(now, req, CauseDeadline)
		return
	}
	if len(m.active) > m.params.MaxRequests {
		m.refuse(now, req, CauseNodeFull)
		return
	}
	req.deadline = now + remaining
	req.admissionDeadline = now + remaining/admissionTimeDivisor
	req.service = req.route.PickService(m.random())
	if m.refuseOverload(now, req) {
		return
	}
	m.admitRate(now, req)
}

// rateGranted reserves a request's budget and reads its history, concurrently.
func (m *Machine) rateGranted(now time.Duration, req *activeRequest) {
	if req.route.Mode == route.Stream {
		m.Counters.Turns++
		if req.spec.Program != "" && req.spec.TokenBudget > 0 {
			m.reserveBudget(now, req)
		}
		if req.keepsTurn() && !req.completed {
			m.claimTurnRoom(now, req)
		}
		if req.route.KeepHistory && req.spec.Previous != "" && !req.completed {
			m.fetchHistory(now, req)
		}
	}
	needsCores := req.needsCores() || req.usesKey()
	if needsCores && !req.completed && m.coresUnreachable(now) {
		m.refuseCoresUnreachable(now, req)
		return
	}
	if req.usesKey() && !req.completed {
		m.claimKey(now, req)
	}
	m.sendWhenReady(now, req)
}

func (m *Machine) tenantName(req *activeRequest) string {
	if req.tenant == nil {
		return ""
	}
	return req.tenant.Name
}

func (m *Machine) sendWhenReady(now time.Duration, req *activeRequest) {
	if req.completed || req.state != stateAdmitting || req.reservingBudget || req.claimingRoom ||
		req.fetchingHistory || req.claiming || req.budgetRefused {
		return
	}
	m.dispatch(now, req)
}

// attemptsUsed returns how many attempts count against the route's limit. With ResendUnrun, those
// that certainly did not run do not count. Otherwise those that reached no replica do not count, up
// to a limit.
func (m *Machine) attemptsUsed(req *activeRequest) int64 {
	if m.params.ResendUnrun {
		return req.attempts - req.notRun
	}
	if req.unreachable > 4*req.route.MaxAttempts+4 {
		return req.route.MaxAttempts
	}
	return req.attempts - req.unreachable
}

// dispatch sends a request to the next replica, or ends it.
func (m *Machine) dispatch(now time.Duration, req *activeRequest) {
	switch {
	case now >= req.deadline:
		m.refuse(now, req, CauseDeadline)
		return
	case m.attemptsUsed(req) >= req.route.MaxAttempts:
		m.refuse(now, req, CauseAttemptsExhausted)
		return
	}
	if !m.chargeBeforeSend(now, req) {
		return
	}
	chosen := m.choose(now, req)
	if chosen == nil && req.state == stateAdmitting && len(m.serviceOf(req.service).replicas) == 0 && now < req.admissionDeadline {
		// No registry has listed a replica of the service yet.
		m.awaitingReplicas = append(m.awaitingReplicas, req)
		return
	}
	if chosen == nil {
		m.refuse(now, req, CauseNoReplica)
		return
	}
	req.tried[chosen.listed.ID] = true
	req.attempts++
	if req.replicaID == "" {
		req.queueTime = now - req.arrived
	}
	req.replica, req.replicaID, req.state, req.outstanding = chosen, chosen.listed.ID, stateSent, true
	m.checkSend(req)
	m.recordSent(now, req, chosen)
	m.Counters.Sent++
	step := Step{
		Kind:         StepSend,
		Replica:      chosen.listed,
		Service:      req.service,
		Tenant:       m.tenantName(req),
		Urgency:      req.urgency(),
		ReturnOutput: req.route.KeepHistory && req.route.Mode == route.Stream,
		Stream:       req.route.Mode == route.Stream,
		Resumable:    req.route.Retryable() && req.route.Mode == route.Stream,
		KeyedStep:    KeyedStep{RunToEnd: req.usesKey()},
		Timeout:      req.deadline - now,
	}
	step.History = req.history.contents()
	m.emit(req, step)
}

func (m *Machine) emit(req *activeRequest, s Step) {
	m.out.Steps = append(m.out.Steps, TicketStep{Ticket: req.ticket, Step: s})
}

// HandleOutcome takes the outcome of an attempt at a replica.
func (m *Machine) HandleOutcome(now time.Duration, ticket uint64, outcome Outcome) Output {
	m.out = &Output{}
	req, ok := m.active[ticket]
	if !ok {
		return *m.out
	}
	if req.state != stateSent {
		if outcome.RequesterDisconnected {
			m.abortCanceled(now, req)
		}
		return *m.out
	}
	m.recordOutcome(now, req, outcome)
	req.outstanding = false
	req.events += outcome.Events
	req.started = req.started || outcome.Started
	if outcome.NewConnection {
		m.Counters.NewConnections++
	}
	if outcome.Kind != OutcomeNotRun {
		req.mayHaveRun, req.covered = true, false
	}
	m.keepResponse(req, outcome)
	if outcome.RequesterDisconnected {
		m.abortCanceled(now, req)
		return *m.out
	}
	switch outcome.Kind {
	case OutcomeComplete:
		m.Counters.Completed++
		m.complete(now, req, outcome)
	case OutcomeNotRun:
		m.Counters.NotRun++
		req.notRun++
		if outcome.Unreachable || outcome.AddressReused {
			req.unreachable++
		}
		m.Counters.Resent++
		if req.started {
			m.retryOrAbort(now, req)
			return *m.out
		}
		if outcome.InProgress && req.usesKey() {
			m.refuse(now, req, CauseKeyInProgress)
			return *m.out
		}
		m.dispatch(now, req)
	default:
		m.Counters.Interrupted++
		m.retryOrAbort(now, req)
	}
	return *m.out
}

// retryOrAbort retries a request that may have run if its route allows it to run again.
func (m *Machine) retryOrAbort(now time.Duration, req *activeRequest) {
	canRetry := m.mayRunAgain(req) && m.attemptsUsed(req) < req.route.MaxAttempts && now < req.deadline
	if req.started && req.route.Mode != route.Stream {
		canRetry = false
	}
	if canRetry && req.charged && req.rate != nil {
		// It may have run, so another attempt counts as another request of the tenant.
		if req.rate.leaseID == req.unitLeaseID && req.rate.available(now) > 0 {
			m.charge(now, req)
		} else {
			canRetry = false
		}
	}
	if canRetry {
		m.Counters.Resumed++
		m.dispatch(now, req)
		return
	}
	m.abort(now, req, CauseReplicaInterrupted)
}

// complete ends a request whose response is complete. A turn of a conversation is stored durably
// before its end is delivered.
func (m *Machine) complete(now time.Duration, req *activeRequest, o Outcome) {
	switch {
	case o.Failed:
		m.completeOperation(now, req, CauseReplicaError, Step{Kind: StepDeliver, Status: o.Status})
		return
	case req.usesKey():
		m.completeOperation(now, req, CauseServed, Step{Kind: StepDeliver})
		return
	case !req.route.KeepHistory || req.route.Mode != route.Stream:
		m.finish(now, req, CauseServed, Step{Kind: StepDeliver})
		return
	}
	m.storeTurn(now, req, o.Output)
}

// storeTurn stores a complete turn of a conversation and then delivers its end.
func (m *Machine) storeTurn(now time.Duration, req *activeRequest, output []byte) {
	req.state = stateStoring
	retention := storedRetentions * m.turnRetention(req)
	waiting, failed := 1, false
	stored := &turn{
		turnName:    turnName{tenant: m.tenantName(req), attempt: req.spec.Attempt},
		previous:    req.history.attemptIDs(),
		input:       req.spec.Input,
		output:      output,
		storedUntil: now + retention,
	}
	done := func(at time.Duration, o core.Outcome) {
		d, ok := o.Answer.(core.Done)
		if ok && d.Crowded {
			m.noteCrowded(at, m.placeOfTurn(req), true)
		}
		failed = failed || !ok || !d.OK
		if waiting--; waiting > 0 {
			return
		}
		if failed {
			m.abort(at, req, CauseTurnNotStored)
			return
		}
		m.cache.put(stored)
		m.recentTurns.add(stored.turnName, now+m.turnRetention(req))
		m.finish(at, req, CauseServed, Step{Kind: StepDeliver})
	}
	command := core.StoreTurn{
		Tenant:    stored.tenant,
		Attempt:   stored.attempt,
		Previous:  stored.previous,
		Input:     stored.input,
		Output:    stored.output,
		Retention: retention,
	}
	// Earlier turns must be stored as long as this one, so those that would expire before it
	// get a longer retention.
	var old []*turn
	for _, t := range req.history {
		if t.storedUntil < now+retention*extendBelowEighths/8 {
			old = append(old, t)
		}
	}
	waiting += len(old)
	m.settle(now, req, m.tokenCount(req))
	m.caller.Call(now, command, max(req.deadline, now+m.params.Core.MemberLease), done)
	for _, t := range old {
		m.caller.Call(now, core.ExtendTurn{Tenant: t.tenant, Attempt: t.attempt, Retention: retention},
			max(req.deadline, now+m.params.Core.MemberLease), func(when time.Duration, o core.Outcome) {
				if d, ok := o.Answer.(core.Done); ok && d.OK {
					t.storedUntil = max(t.storedUntil, now+retention)
				}
				done(when, o)
			})
	}
}

const (
	// storedRetentions is for how many times its guaranteed retention a turn is stored, so that
	// later turns can extend it before it expires.
	storedRetentions = 2
	// extendBelowEighths: earlier turns with fewer eighths of the retention left are extended.
	extendBelowEighths = 5
)

func (m *Machine) turnRetention(req *activeRequest) time.Duration {
	return time.Duration(req.route.KeepSeconds * float64(time.Second))
}

func (m *Machine) tokenCount(req *activeRequest) int64 {
	perEvent := int64(1)
	if s, ok := req.table.Service(req.service); ok {
		perEvent = s.TokensPerEvent
	}
	return req.events * perEvent
}

func (m *Machine) checkSend(req *activeRequest) {
	switch {
	case req.mayHaveRun && !m.mayRunAgain(req):
		m.violated.Violated(invariant.RunsOnce, "attempt %s on route %s may have run and is sent to %s",
			req.spec.Attempt, req.route.Name, req.replicaID)
	case m.attemptsUsed(req) > req.route.MaxAttempts:
		m.violated.Violated(invariant.AttemptsWithinRoute, "attempt %s is sent to replica number %d; route %s allows %d",
			req.spec.Attempt, req.attempts, req.route.Name, req.route.MaxAttempts)
	case req.rate != nil && !req.covered:
		m.violated.Violated(invariant.GrantedBeforeSent, "attempt %s of tenant %s is sent to %s without a unit of the tenant's rate",
			req.spec.Attempt, req.tenant.Name, req.replicaID)
	case req.route.Mode == route.Stream && req.spec.Program != "" && req.spec.TokenBudget > 0 && !req.budgetReserved:
		m.violated.Violated(invariant.ReservedBeforeSent, "attempt %s of program %s is sent to %s without a budget reservation",
			req.spec.Attempt, req.spec.Program, req.replicaID)
	case req.usesKey() && !req.ownsClaim && req.sharedClaim == "":
		m.violated.Violated(invariant.ClaimedBeforeSent, "attempt %s is sent to %s without a claim on its operation key",
			req.spec.Attempt, req.replicaID)
	case m.departed.has(req.replicaID):
		m.violated.Violated(invariant.LeavingNeverChosen, "attempt %s is sent to %s, which is leaving", req.spec.Attempt, req.replicaID)
	}
}

// tokensUsed is tokenCount for a request that may have no service yet.
func (m *Machine) tokensUsed(req *activeRequest) int64 {
	if req.events == 0 {
		return 0
	}
	return m.tokenCount(req)
}

// Cancel ends a request whose requester has disconnected. It ignores a request at a replica, whose
// Outcome reports the disconnect.
func (m *Machine) Cancel(now time.Duration, ticket uint64) Output {
	m.out = &Output{}
	if req, ok := m.active[ticket]; ok && req.state != stateSent {
		m.abortCanceled(now, req)
	}
	return *m.out
}

func (m *Machine) abortCanceled(now time.Duration, req *activeRequest) {
	m.abort(now, req, CauseRequesterDisconnected)
}
