package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/breaker"
	"saffronfall/rule/program"
	"saffronfall/rule/replay"
	"saffronfall/rule/slab"
	"saffronfall/rule/verdict"
)

// attempt is the execution of a request. It may be tried at several replicas, but runs at most
// once.
type attempt struct {
	req               *requestState
	prog              *ownedProgram
	requiresOwnership bool
	replica           Replica
	startedAt         time.Duration
	triedReplicas     map[string]bool
	payload           Payload
	turnID            string
	reservedTokens    int64
	streamedTokens    int64
	reservedPrice     int64
	text              bytes.Buffer
	warnings          []verdict.Warning
	argumentsDigest   string
	claim             string
	dayShare          *share
	spendShare        *share
}

func (m *Machine) serve(now time.Duration, req *requestState, prog *ownedProgram) {
	prog.lastUsed = now
	if prog.recovery != nil {
		m.awaitRecovery(now, req, prog)
		return
	}
	switch req.request.Kind {
	case KindTurn:
		m.startTurn(now, req, prog)
	case KindTool:
		m.startTool(now, req, prog)
	case KindStatus:
		body, _ := json.Marshal(map[string]any{
			"program": prog.record.ID, "user": prog.record.User, "role": prog.record.Role,
			"steps": prog.record.Steps, "tokens": prog.record.Charged(),
			"head":   prog.record.Conversation(req.request.Conversation).Head,
			"turns":  append([]program.Turn{}, prog.turns[req.request.Conversation]...),
			"closed": prog.record.Closed, "owner": m.params.ID,
		})
		m.finish(req, Frame{Kind: FrameBody, Status: 200, Body: body})
	case KindClose:
		prog.record.Closed = true
		m.save(now, prog, m.stepDeadline(now, req), func(now time.Duration, ok bool) {
			if !ok {
				m.refuse(req, retryLater("the end could not be made durable in time"))
				return
			}
			request := req.request
			request.User = prog.record.User
			m.closeSession(now, &requestState{tenant: req.tenant, request: request}, prog.record.ID, prog.record.Charged())
			m.recordSample(replay.Sample{
				KeyDigest: req.keyDigest, Tenant: req.tenant, Program: prog.record.ID,
				User: prog.record.User, Role: prog.record.Role, Kind: KindClose,
			})
			m.finish(req, Frame{Kind: FrameBody, Status: 200, Body: []byte(`{"closed":true}`)})
		})
	}
}

func (m *Machine) startTurn(now time.Duration, req *requestState, prog *ownedProgram) {
	request := req.request
	service, known := m.description.Services[request.Service]
	role := m.description.Roles[prog.record.Role]
	conversation := prog.record.Conversation(request.Conversation)
	switch {
	case !known || service.Kind != "model":
		m.refuse(req, denied("unknown_service", "no such model service", 400))
		return
	case m.breakerState == breaker.HalfOpen && prog.record.ProbeNumber == 0:
		m.refuse(req, probeSessionsOnly())
		return
	case prog.record.HasRunningTurn(request.Conversation):
		m.refuse(req, verdict.Refused(verdict.Refusal{
			Check: "program", Code: "turn_running",
			Reason: "a turn of this conversation is running",
			Status: 409, RetryAfter: time.Second, Head: conversation.Head,
		}))
		return
	case request.PreviousHead != conversation.Head || !historyMatches(request.History, prog.turns[request.Conversation]):
		m.refuse(req, verdict.Refused(verdict.Refusal{
			Check: "program", Code: "wrong_history",
			Reason: "what came before is not this conversation's history",
			Status: 409, Head: conversation.Head,
		}))
		return
	}
	limits := prog.record.CheckTurnLimits(prog.clockOffset+now, role, m.description.WarnRatio)
	if limits.Refused() {
		m.refuse(req, limits)
		return
	}
	budget := prog.record.CheckTokenBudget(role)
	if budget.Refused() {
		m.refuse(req, budget)
		return
	}
	a := &attempt{
		req: req, prog: prog, requiresOwnership: true, triedReplicas: map[string]bool{},
		reservedTokens: role.TurnTokens, warnings: append(limits.Warnings, budget.Warnings...),
	}
	if request.MaxTokens > 0 {
		a.reservedTokens = min(a.reservedTokens, request.MaxTokens)
	}
	a.reservedPrice = service.Price(a.reservedTokens)
	m.nextID++
	a.turnID = fmt.Sprintf("%s-%s-%d", m.params.ID, m.incarnation, m.nextID)
	prog.record.ReserveTurn(a.turnID, request.Conversation, a.reservedTokens)
	a.payload = Payload{
		Attempt: a.turnID, Tenant: req.tenant, Program: prog.record.ID,
		Conversation: request.Conversation, Head: conversation.Head,
		History: append([]program.Turn{}, prog.turns[request.Conversation]...), Prompt: request.Prompt,
		MaxTokens: a.reservedTokens,
	}
	m.drawTurnShares(now, a)
}

func probeSessionsOnly() verdict.Verdict {
	return verdict.Refused(verdict.Refusal{
		Check: "breaker", Code: "breaker_half_open",
		Reason: "only test sessions are gated",
		Status: 503, RetryAfter: time.Second,
	})
}

// historyMatches accepts a request without history.
func historyMatches(sent, stored []program.Turn) bool {
	if len(sent) == 0 {
		return true
	}
	if len(sent) != len(stored) {
		return false
	}
	for i := range sent {
		if sent[i].Prompt != stored[i].Prompt || sent[i].Response != stored[i].Response {
			return false
		}
	}
	return true
}

// drawTurnShares draws from the tenant's day and the spend budget, then makes the reservation
// durable.
func (m *Machine) drawTurnShares(now time.Duration, a *attempt) {
	req, day := a.req, m.dayShareOf(a.req.tenant)
	m.drawShare(now, day, a.reservedTokens, m.dayChunk(req.tenant), m.stepDeadline(now, req),
		m.dayShareCommand(req.tenant, day), func(now time.Duration, ok, answered bool) {
			if !ok || req.done || a.prog.lost {
				m.cancelTurn(now, a)
				m.refuse(req, m.dayShareRefusal(answered))
				return
			}
			day.reserve(a.reservedTokens)
			m.drawShare(now, m.spendShare, a.reservedPrice, m.spendChunk(), m.stepDeadline(now, req),
				m.spendShareCommand, func(now time.Duration, ok, _ bool) {
					if !ok || req.done || a.prog.lost {
						day.settle(a.reservedTokens, 0)
						m.cancelTurn(now, a)
						v := m.breakerVerdict(now)
						if !v.Refused() {
							v = retryLater("no share of the spend could be had in time")
						}
						m.refuse(req, v)
						return
					}
					m.spendShare.reserve(a.reservedPrice)
					a.dayShare, a.spendShare = day, m.spendShare
					m.persistReservation(now, a)
				})
		})
}

func (m *Machine) cancelTurn(now time.Duration, a *attempt) {
	if a.prog == nil || a.prog.lost {
		return
	}
	a.prog.record.CancelTurn(a.turnID)
	m.resave(now, a.prog)
}

func (m *Machine) refund(now time.Duration, a *attempt) {
	if a.dayShare == nil {
		return
	}
	a.settle(0, 0)
	m.cancelTurn(now, a)
}

// settle converts reserved shares into spent ones, once; later calls have no effect.
func (a *attempt) settle(tokens, price int64) {
	if a.dayShare != nil {
		a.dayShare.settle(a.reservedTokens, tokens)
		a.spendShare.settle(a.reservedPrice, price)
		a.dayShare, a.spendShare = nil, nil
	}
}

// persistReservation makes a reservation durable at the cores, with the user's day charged, or at
// all mirrors while the cores can't be reached. Tokens charged in advance cover the latter case,
// and the user's day is charged later.
func (m *Machine) persistReservation(now time.Duration, a *attempt) {
	req, prog := a.req, a.prog
	decided, saved, charged, version := false, false, false, uint64(0)
	proceed := func(now time.Duration, succeeded bool) {
		unsaved := prog.savedVersion < version
		if decided || (succeeded && !(saved && (charged || unsaved))) {
			return
		}
		decided = true
		if !succeeded || prog.lost || req.done {
			m.refund(now, a)
			m.refuse(req, retryLater("the reservation could not be made durable in time"))
			return
		}
		m.admitAttempt(now, a)
	}
	m.save(now, prog, m.stepDeadline(now, req), func(now time.Duration, ok bool) {
		saved = ok
		proceed(now, ok)
	})
	version = prog.record.Version
	charge := core.ChargeUser{
		Tenant:  req.tenant,
		User:    prog.record.User,
		Program: prog.record.ID,
		Charged: prog.record.Charged(),
		Covered: prog.record.Precharged,
	}
	m.caller.Call(now, charge, now+reportLeases*m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		day, ok := o.Answer.(core.ChargeUserResult)
		role := m.description.Roles[prog.record.Role]
		if ok && day.Tokens >= role.UserDayTokensSoft {
			a.warnings = append(a.warnings, verdict.Warning{Scope: "user_day_tokens", Used: day.Tokens, Limit: role.UserDayTokensHard})
		}
		charged = ok
		if ok {
			prog.dayPrecharged = max(prog.dayPrecharged, charge.Covered)
		}
		proceed(now, true)
	})
	m.timers.Add(m.stepDeadline(now, req), func(now time.Duration) { proceed(now, charged && saved) })
}

func (m *Machine) admitAttempt(now time.Duration, a *attempt) {
	urgent := m.description.Services[a.req.request.Service].Urgent
	m.takeRate(now, a.req.tenant, urgent, a.req.deadline, func(now time.Duration, ok bool, wait time.Duration) {
		if a.req.done {
			m.cancelAttempt(now, a, verdict.Verdict{})
			return
		}
		if !ok {
			m.cancelAttempt(now, a, verdict.Refused(verdict.Refusal{
				Check: "rate", Code: "too_many",
				Reason: "the tenant's inquiries come faster than its rate",
				Status: 429, RetryAfter: wait,
			}))
			return
		}
		m.startAttempt(now, a)
	})
}

// startAttempt makes all checks and starts the attempt in one step, so that no check is outdated
// when it starts.
func (m *Machine) startAttempt(now time.Duration, a *attempt) {
	req, service := a.req, a.req.request.Service
	if !m.hasLease(now) || (a.requiresOwnership && a.prog.lost) {
		m.cancelAttempt(now, a, retryLater("this node's term ended"))
		return
	}
	if req.request.Kind != KindAction || !m.description.Services[service].BypassesBreaker {
		if v := m.breakerVerdict(now); v.Refused() {
			m.cancelAttempt(now, a, v)
			return
		}
	}
	if _, _, known := m.description.TenantAndRole(req.request.Key); !known {
		m.cancelAttempt(now, a, denied("unknown_key", "the key was revoked", 401))
		return
	}
	if now >= req.deadline {
		m.cancelAttempt(now, a, deadlineExceeded(verdict.NotExecuted))
		return
	}
	replica, ok := m.chooseReplica(now, service, a.untriedReplica)
	if !ok {
		if !m.enqueue(now, a) {
			m.cancelAttempt(now, a, m.noReplicaVerdict(now, service))
		}
		return
	}
	a.startedAt = now
	a.replica = replica
	a.triedReplicas[replica.ID] = true
	m.healthOf(replica).outstanding++
	ticket := m.attempts.Put(a)
	m.liveAttempts[ticket] = a
	req.attempt = ticket
	req.ran = verdict.MaybeExecuted
	m.running++
	m.Counters.Attempts++
	m.out.Attempts = append(m.out.Attempts, StartAttempt{Attempt: uint64(ticket), Service: service, Kind: m.description.Services[service].Kind,
		Replica: replica.ID, Address: replica.Address, Payload: a.payload, Timeout: req.deadline - now})
}

// cancelAttempt reverts the reservations of an attempt that did not run. It refuses the request,
// unless v is zero.
func (m *Machine) cancelAttempt(now time.Duration, a *attempt, v verdict.Verdict) {
	switch a.req.request.Kind {
	case KindTurn:
		m.refund(now, a)
	case KindTool:
		if !a.prog.lost {
			a.prog.record.CancelToolCall(a.req.request.Service, a.argumentsDigest)
			m.resave(now, a.prog)
		}
	case KindAction:
		m.finishOnce(now, a, core.OnceReleased, 0, nil, func(time.Duration, bool) {})
	}
	a.req.ran = verdict.NotExecuted
	if v.Kind != "" {
		m.refuse(a.req, v)
	}
}

// HandleAttemptEvent processes an event of an attempt. Events of unknown attempts are ignored.
func (m *Machine) HandleAttemptEvent(now time.Duration, e AttemptEvent) Output {
	m.beginStep(now)
	ticket := slab.Ticket(e.Attempt)
	a, ok := m.attempts.Get(ticket)
	if !ok {
		return *m.out
	}
	if e.Kind != EventChunk {
		m.finishAttempt(now, ticket, e)
		m.drainQueues(now)
		return *m.out
	}
	req := a.req
	if !req.streaming {
		req.streaming = true
		req.respond(Frame{Kind: FrameOpen, Status: 200})
	}
	if a.streamedTokens+e.Tokens > a.reservedTokens {
		m.out.Cancels = append(m.out.Cancels, e.Attempt)
		m.finishAttempt(now, ticket, AttemptEvent{Kind: EventDone, Status: 200, Text: "cut at the reservation"})
		return *m.out
	}
	a.streamedTokens += e.Tokens
	a.text.WriteString(e.Text)
	req.respond(Frame{Kind: FrameChunk, Text: e.Text, Tokens: e.Tokens})
	return *m.out
}

// finishAttempt retries an attempt at another replica if it did not run.
func (m *Machine) finishAttempt(now time.Duration, ticket slab.Ticket, e AttemptEvent) {
	a, ok := m.attempts.Take(ticket)
	if !ok {
		return
	}
	delete(m.liveAttempts, ticket)
	m.running--
	h := m.healthOf(a.replica)
	h.outstanding--
	switch e.Kind {
	case EventDone:
		h.failures = 0
		queue := m.queueOf(a.req.request.Service)
		queue.averageDuration = ((averageWeight-1)*queue.averageDuration + now - a.startedAt) / averageWeight
	case EventNotRun:
		m.Counters.NotRun++
		m.recordFailure(now, h)
		a.req.ran = verdict.NotExecuted
		if len(a.triedReplicas) < maxTriedReplicas && !a.req.done {
			// Each replica tried counts against the tenant's rate.
			m.admitAttempt(now, a)
			return
		}
		m.cancelAttempt(now, a, m.noReplicaVerdict(now, a.req.request.Service))
		return
	case EventInterrupted:
		m.Counters.Interrupted++
		m.recordFailure(now, h)
	}
	switch a.req.request.Kind {
	case KindTurn:
		m.finishTurn(now, a, e)
	case KindTool:
		m.finishTool(now, a, e)
	case KindAction:
		m.finishAction(now, a, e)
	}
}

const maxTriedReplicas = 3

// A replica with minEjectionFailures consecutive failures is ejected for one AnnouncementMaxAge,
// and for one more with each further failure, up to maxEjectionAges.
const (
	minEjectionFailures = 3
	maxEjectionAges     = 8
)

func (m *Machine) recordFailure(now time.Duration, h *replicaHealth) {
	h.failures++
	if h.failures >= minEjectionFailures {
		h.ejectedUntil = now + m.params.AnnouncementMaxAge*time.Duration(min(h.failures-minEjectionFailures+1, maxEjectionAges))
	}
}

// finishTurn delivers the end of a turn only after its result is durable.
func (m *Machine) finishTurn(now time.Duration, a *attempt, e AttemptEvent) {
	req, prog := a.req, a.prog
	succeeded := e.Kind == EventDone && e.Status < 300 && !req.done
	spent := a.reservedTokens
	if succeeded {
		spent = a.streamedTokens
	}
	a.settle(spent, min(a.reservedPrice, m.description.Services[req.request.Service].Price(spent)))
	if prog.record.ProbeNumber > 0 && !prog.record.ProbeSucceeded && !prog.lost {
		prog.record.ProbeSucceeded = succeeded
		report := core.ReportProbe{Program: prog.record.ID, Succeeded: succeeded, Limits: m.breakerLimits()}
		m.caller.Call(now, report, now+reportLeases*m.params.Core.MemberLease, func(time.Duration, core.Outcome) {})
	}
	if prog.lost {
		m.abortRequest(now, req)
		return
	}
	if !succeeded {
		prog.record.FailTurn(a.turnID)
		m.resave(now, prog)
		m.abortRequest(now, req)
		return
	}
	turn := prog.record.FinishTurn(a.turnID, a.streamedTokens, req.request.Prompt, a.text.String())
	prog.turns[turn.Conversation] = append(prog.turns[turn.Conversation], turn)
	prog.unsavedTurns = append(prog.unsavedTurns, turn)
	m.save(now, prog, req.deadline, func(now time.Duration, ok bool) {
		if !ok {
			m.abortRequest(now, req)
			return
		}
		m.Counters.Completed++
		m.countAdmitted(a.warnings)
		m.recordSample(replay.Sample{
			KeyDigest: req.keyDigest, Tenant: req.tenant, Program: prog.record.ID,
			User: prog.record.User, Role: prog.record.Role, Kind: KindTurn,
			Service: req.request.Service, Tokens: a.streamedTokens, Steps: prog.record.Steps,
			Charged: prog.record.Charged(),
		})
		finishReason := "complete"
		if e.Text != "" {
			finishReason = e.Text
		}
		m.finish(req, Frame{
			Kind: FrameClose, Status: 200, Tokens: a.streamedTokens, Head: turn.Head,
			FinishReason: finishReason, Verdict: verdict.Allowed(verdict.Executed, a.warnings),
		})
	})
}

func (m *Machine) abortRequest(now time.Duration, req *requestState) {
	switch {
	case req.done:
	case req.streaming:
		m.finish(req, Frame{Kind: FrameAbort})
	case now >= req.deadline:
		m.refuse(req, deadlineExceeded(verdict.MaybeExecuted))
	default:
		m.refuse(req, verdict.Refused(verdict.Refusal{
			Check: "replica", Code: "answer_lost",
			Reason: "the replica's answer was lost; the turn may have run and is charged",
			Status: 502, Ran: verdict.MaybeExecuted,
		}))
	}
}
