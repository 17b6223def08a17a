package node

import (
	"sort"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/breaker"
	"saffronfall/rule/configuration"
	"saffronfall/rule/program"
	"saffronfall/rule/replay"
	"saffronfall/rule/slab"
	"saffronfall/rule/verdict"
)

type requestState struct {
	request     Request
	tenant      string
	role        string
	keyDigest   string
	deadline    time.Duration
	respond     func(frame Frame)
	done        bool
	streaming   bool
	forwarded   bool
	triedOpener bool
	hops        int
	attempt     slab.Ticket
	forward     slab.Ticket
	ticket      slab.Ticket
	ran         verdict.Execution
}

// Submit accepts a request from a requester. Its response frames carry the ticket.
func (m *Machine) Submit(now time.Duration, ticket uint64, request Request) Output {
	m.beginStep(now)
	m.Counters.Requests++
	t := m.beginRequest(now, request, false,
		func(frame Frame) { m.out.Responses = append(m.out.Responses, Response{Ticket: ticket, Frame: frame}) })
	if _, ok := m.requests.Get(t); ok {
		m.byTicket[ticket] = t
	}
	return *m.out
}

// CancelRequest ends a request whose requester no longer waits.
func (m *Machine) CancelRequest(now time.Duration, ticket uint64) Output {
	m.beginStep(now)
	if t, ok := m.byTicket[ticket]; ok {
		delete(m.byTicket, ticket)
		m.cancel(now, t)
	}
	return *m.out
}

// cancel also cancels a request at the node that it was forwarded to.
func (m *Machine) cancel(now time.Duration, t slab.Ticket) {
	req, ok := m.requests.Get(t)
	if !ok {
		return
	}
	if f, ok := m.forwards.Get(req.forward); ok {
		m.send(f.to, CancelForward{ID: m.caller.MessageID(req.forward)})
		m.forwards.Take(req.forward)
		delete(m.openForwards, req.forward)
	}
	ticket := req.attempt
	m.finish(req, Frame{Kind: FrameAbort})
	if _, ok := m.attempts.Get(ticket); ok {
		m.out.Cancels = append(m.out.Cancels, uint64(ticket))
		m.finishAttempt(now, ticket, AttemptEvent{Kind: EventInterrupted})
	}
}

func (m *Machine) beginRequest(now time.Duration, request Request, forwarded bool, respond func(frame Frame)) slab.Ticket {
	if request.Timeout <= 0 {
		request.Timeout = m.params.DefaultTimeout
	}
	req := &requestState{request: request, deadline: now + request.Timeout, respond: respond, forwarded: forwarded, ran: verdict.NotExecuted}
	req.ticket = m.requests.Put(req)
	m.dispatch(now, req)
	return req.ticket
}

// finish sends the last frame of a response, once.
func (m *Machine) finish(req *requestState, frame Frame) {
	if req.done {
		return
	}
	req.done = true
	m.requests.Take(req.ticket)
	req.respond(frame)
}

// refuse aborts the stream if one has begun.
func (m *Machine) refuse(req *requestState, v verdict.Verdict) {
	if req.done {
		return
	}
	if req.streaming {
		m.finish(req, Frame{Kind: FrameAbort})
		return
	}
	m.Counters.Refused++
	m.Counters.Refusals[v.Code]++
	if v.Status == 503 && v.RetryAfter <= 0 {
		v.RetryAfter = m.params.Core.PullInterval
	}
	if req.ran != verdict.NotExecuted && v.Ran == verdict.NotExecuted {
		v.Ran = verdict.MaybeExecuted
	}
	if m.now >= req.deadline && v.Status == 503 {
		v = deadlineExceeded(v.Ran)
	}
	m.recordSample(replay.Sample{
		KeyDigest: req.keyDigest,
		Tenant:    req.tenant,
		User:      req.request.User,
		Role:      req.role,
		Kind:      req.request.Kind,
		Service:   req.request.Service,
		Refused:   true,
	})
	m.finish(req, Frame{Kind: FrameVerdict, Status: v.Status, Verdict: v})
}

func denied(code, reason string, status int) verdict.Verdict {
	return verdict.Refused(verdict.Refusal{Check: "inquiry", Code: code, Reason: reason, Status: status})
}

func deadlineExceeded(ran verdict.Execution) verdict.Verdict {
	return verdict.Refused(verdict.Refusal{
		Check: "budget", Code: "budget_passed",
		Reason: "the inquiry's budget has passed",
		Status: 504, Ran: ran,
	})
}

// dispatch authenticates a request, checks the lease and the breaker, and routes it by its kind.
func (m *Machine) dispatch(now time.Duration, req *requestState) {
	request := &req.request
	if m.description == nil {
		m.refuse(req, retryLater("no configuration has come yet"))
		return
	}
	tenant, role, ok := m.description.TenantAndRole(request.Key)
	if !ok {
		m.refuse(req, denied("unknown_key", "the key is not known, or was revoked", 401))
		return
	}
	req.tenant, req.role, req.keyDigest = tenant, role, configuration.KeyDigest(request.Key)
	if m.leaving && req.forwarded && !m.hasLease(now) {
		m.refuse(req, denied(notOwner, "this node has left", 503))
		return
	}
	if !m.hasLease(now) {
		m.refuse(req, verdict.RetryLater("term", "this node's term is not in force", m.params.Core.MemberLease/4))
		return
	}
	switch request.Kind {
	case KindOpen, KindTurn, KindTool:
		if v := m.breakerVerdict(now); v.Refused() {
			m.refuse(req, v)
			return
		}
	}
	if m.leaving && request.Kind == KindOpen {
		m.refuse(req, verdict.RetryLater("node", "this node leaves; ask another", m.params.Core.PullInterval))
		return
	}
	switch request.Kind {
	case KindOpen:
		m.openProgram(now, req)
	case KindAction:
		m.startAction(now, req)
	case KindTurn, KindTool, KindClose, KindStatus:
		m.locate(now, req)
	default:
		m.refuse(req, denied("unknown_inquiry", "no such inquiry", 400))
	}
}

func (m *Machine) breakerVerdict(now time.Duration) verdict.Verdict {
	if now < m.breakerOpenUntil || m.breakerState == breaker.Open {
		return verdict.Refused(verdict.Refusal{
			Check: "breaker", Code: "breaker_open",
			Reason: "spending reached a threshold; everything is refused for a time",
			Status: 503, RetryAfter: max(m.breakerOpenUntil-now, m.params.ReportInterval),
		})
	}
	return verdict.Verdict{}
}

// locate finds the owner of a request's program: this node, or one to forward to.
func (m *Machine) locate(now time.Duration, req *requestState) {
	if req.done {
		return
	}
	if now >= req.deadline {
		m.refuse(req, deadlineExceeded(req.ran))
		return
	}
	key := req.tenant + "/" + req.request.Program
	if prog, ok := m.programs[key]; ok {
		m.serve(now, req, prog)
		return
	}
	if owner, ok := m.owners[key]; ok && !m.hasEnded(owner.ID, owner.Incarnation) {
		m.forward(now, req, owner)
		return
	}
	if m.leaving && req.forwarded {
		m.refuse(req, denied(notOwner, "this node leaves", 503))
		return
	}
	if owner, ok := m.opener(req.request.Program); ok && !req.triedOpener && !req.forwarded {
		req.triedOpener = true
		m.forward(now, req, owner)
		return
	}
	m.claimProgram(now, req, core.ClaimProgram{})
}

// claimProgram finds a program's owner, and takes the program over if the owner's membership has
// ended.
func (m *Machine) claimProgram(now time.Duration, req *requestState, proof core.ClaimProgram) {
	claim := core.ClaimProgram{
		Tenant:           req.tenant,
		ID:               req.request.Program,
		Node:             m.params.ID,
		Incarnation:      m.incarnation,
		Address:          m.params.Address,
		EndedNode:        proof.EndedNode,
		EndedIncarnation: proof.EndedIncarnation,
	}
	key := claim.Tenant + "/" + claim.ID
	m.caller.Call(now, claim, m.stepDeadline(now, req), func(now time.Duration, o core.Outcome) {
		answer, ok := o.Answer.(core.ProgramResult)
		owner := core.Member{ID: answer.Record.Node, Incarnation: answer.Record.Incarnation, Peer: answer.Record.Address}
		switch {
		case req.done:
		case !ok || claim.Incarnation != m.incarnation:
			m.refuse(req, retryLater("the program's owner could not be found out in time"))
		case answer.Expired:
			m.refuse(req, verdict.Refused(verdict.Refusal{
				Check: "program", Code: "gone",
				Reason: "the program's keeping time has passed",
				Status: 410,
			}))
		case !answer.Found:
			m.refuse(req, denied("unknown_program", "no such program", 404))
		case answer.Owned:
			if _, owned := m.programs[key]; !owned {
				if claim.EndedNode != "" {
					m.Counters.Takeovers++
				}
				m.adoptProgram(now, answer)
			}
			m.serve(now, req, m.programs[key])
		case m.hasEnded(owner.ID, owner.Incarnation) && claim.EndedIncarnation != owner.Incarnation:
			m.claimProgram(now, req, core.ClaimProgram{EndedNode: owner.ID, EndedIncarnation: owner.Incarnation})
		default:
			m.owners[key] = owner
			m.forward(now, req, owner)
		}
	})
}

// stepDeadline bounds one step of a request, so that it fails early when the cores don't answer.
func (m *Machine) stepDeadline(now time.Duration, req *requestState) time.Duration {
	return min(req.deadline, now+m.stepTimeout())
}

// stepTimeoutAttempts is the timeout of a step, in attempt timeouts.
const stepTimeoutAttempts = 12

func (m *Machine) stepTimeout() time.Duration {
	return stepTimeoutAttempts * m.params.Core.AttemptTimeout
}

// adoptProgram installs a program that the cores assigned to this node.
func (m *Machine) adoptProgram(now time.Duration, answer core.ProgramResult) *ownedProgram {
	prog := &ownedProgram{
		record:       copyRecord(answer.Record),
		turns:        map[string][]program.Turn{},
		clockOffset:  answer.Clock - now,
		savedVersion: answer.Record.Version,
		lastUsed:     now,
	}
	for _, t := range answer.Turns {
		prog.turns[t.Conversation] = append(prog.turns[t.Conversation], t)
	}
	for conversation := range prog.turns {
		list := prog.turns[conversation]
		sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	}
	m.programs[answer.Record.Tenant+"/"+answer.Record.ID] = prog
	m.recoverFromMirrors(now, prog)
	return prog
}

// expireRequests also retransmits forwards that were not accepted yet.
func (m *Machine) expireRequests(now time.Duration) {
	for _, t := range m.openForwardTickets() {
		f := m.openForwards[t]
		switch {
		case now >= f.deadline:
			m.failForward(now, t, f)
		case !f.accepted && now >= f.retryAt:
			m.sendForward(now, t, f)
		}
	}
	for _, t := range m.liveAttemptTickets() {
		a, ok := m.attempts.Get(t)
		if ok && now >= a.req.deadline {
			m.out.Cancels = append(m.out.Cancels, uint64(t))
			m.finishAttempt(now, t, AttemptEvent{Kind: EventInterrupted})
		}
	}
	for key, served := range m.served {
		if now >= served.until {
			delete(m.served, key)
		}
	}
}
