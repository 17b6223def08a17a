package relaysim

import (
	"time"

	"saffronfall/peer/relay"
)

// activeRequest is one request at a node. It carries out the state machine's steps.
type activeRequest struct {
	node        *process
	incarnation int
	ticket      uint64
	request     *Request
	done        func(r *Request)
	// events and output are what was relayed so far, over all dispatches.
	events   int64
	output   []byte
	dispatch *dispatch
	ended    bool
	// requesterLeft: the requester disconnected while its operation runs to its end.
	requesterLeft bool
	// keyed is the response to an operation with a key.
	keyed keyedResponse
	// requesterAt is when the last message to the requester arrives, to keep them in order.
	requesterAt time.Duration
}

type dispatch struct {
	request   *activeRequest
	step      relay.Step
	sentAt    time.Duration
	job       *job
	done      bool
	events    int64
	respondAt time.Duration
	waiting   []func()
	keyed     keyedResponse
}

// sendRequest sends one attempt to a node. done is called once with the outcome.
func (w *World) sendRequest(n *process, r Request, done func(r *Request)) {
	request := &r
	request.At, request.Node, request.Ended = w.now, n.id, -1
	w.Record.Requests = append(w.Record.Requests, request)
	w.after(w.delay(), func() {
		if !n.alive {
			w.after(w.delay(), func() { w.endRequest(request, Unreachable, 0, done) })
			return
		}
		incarnation := n.incarnation
		request.Incarnation = incarnation
		n.do(func() {
			if request.Ended >= 0 {
				return
			}
			request.Arrived = true
			n.lastTicket++
			active := &activeRequest{node: n, incarnation: incarnation, ticket: n.lastTicket, request: request, done: done}
			n.requests[active.ticket] = active
			remaining := request.Deadline - (w.now - request.At)
			arrival := relay.Request{
				Host:        host,
				Path:        request.Path,
				Key:         request.Key,
				HasKey:      request.Key != "",
				Attempt:     request.Attempt,
				Operation:   relay.Operation{OperationKey: request.Operation, Program: request.Program},
				Previous:    request.Previous,
				TokenBudget: request.Budget,
				MaxTokens:   request.MaxTokens,
				Remaining:   remaining,
				Arrival:     relay.Arrival{HeadBytes: 300, BodyBytes: int64(len(request.Input))},
				Input:       []byte(request.Input),
			}
			if remaining <= 0 {
				arrival.Remaining = -1
			}
			n.applyNodeOutput(n.node.HandleRequest(n.now(), active.ticket, arrival))
			w.after(max(remaining, 0)+disconnectDelay, active.requesterGone)
			if request.leaveAfter > 0 {
				w.after(max(request.At+request.leaveAfter-w.now, 0)+disconnectDelay, active.requesterGone)
			}
		})
	})
	w.after(request.Deadline+giveUpDelay, func() { w.endRequest(request, GaveUp, 0, done) })
	if request.leaveAfter > 0 {
		w.after(request.leaveAfter, func() { w.endRequest(request, GaveUp, 0, done) })
	}
}

func (w *World) endRequest(r *Request, outcome string, status int, done func(r *Request)) {
	if r.Ended >= 0 {
		return
	}
	r.Ended, r.Outcome, r.Status = w.now, outcome, status
	name := r.Kind + " " + outcome
	if status > 0 {
		name += " " + itoa(status)
	}
	w.Counts["asked "+name]++
	if done != nil {
		done(r)
	}
}

func (a *activeRequest) world() *World { return a.node.world }

func (a *activeRequest) toRequester(f func()) {
	w := a.world()
	a.requesterAt = max(a.requesterAt, w.now+w.delay())
	w.after(a.requesterAt-w.now, f)
}

func (a *activeRequest) applyStep(s relay.Step) {
	if a.ended {
		return
	}
	if s.Kind == relay.StepSend {
		a.startDispatch(s)
		return
	}
	a.ended = true
	delete(a.node.requests, a.ticket)
	r, w := a.request, a.world()
	r.LastStep = w.now
	r.Check = s.Check
	begun := a.events > 0
	a.toRequester(func() {
		switch {
		case s.Kind == relay.StepReplay:
			a.deliverReplay(s)
		case s.Kind == relay.StepDeliver:
			if r.Operation != "" && r.Ended < 0 {
				r.Output = a.keyed.body
			}
			w.endRequest(r, r.answer(), 200, a.done)
		case begun, s.Kind == relay.StepAbort && s.Status == 499:
			w.endRequest(r, Closed, 0, a.done)
		default:
			r.RetryAfter = s.RetryAfter
			w.endRequest(r, Refused, s.Status, a.done)
		}
	})
}

// deliverReplay answers with the stored response of an earlier attempt.
func (a *activeRequest) deliverReplay(s relay.Step) {
	r, w := a.request, a.world()
	if r.Ended >= 0 {
		return
	}
	w.Counts["keyed: answered from the store"]++
	r.Replayed, r.Output, r.failed = true, string(s.Response.Body), s.Response.Status >= 300
	w.endRequest(r, r.answer(), 200, a.done)
}

func (r *Request) answer() string {
	if r.failed {
		return Failed
	}
	return Complete
}

// connectionLost ends a request whose node process has stopped.
func (a *activeRequest) connectionLost() {
	a.ended = true
	w, r, done := a.world(), a.request, a.done
	r.LastStep = w.now
	if current := a.dispatch; current != nil && !current.done {
		current.done = true
		if current.job != nil && w.chance(noticedLossRate) {
			w.after(w.delay(), current.job.cancel)
		}
	}
	a.toRequester(func() { w.endRequest(r, Closed, 0, done) })
}

func (a *activeRequest) requesterGone() {
	n := a.node
	if a.ended || n.incarnation != a.incarnation {
		return
	}
	n.do(func() {
		if a.ended || n.incarnation != a.incarnation {
			return
		}
		if current := a.dispatch; current != nil && !current.done {
			if current.step.RunToEnd {
				a.requesterLeft = true
				return
			}
			current.done = true
			if current.job != nil {
				a.world().after(a.world().delay(), current.job.cancel)
			}
			n.applyNodeOutput(n.node.HandleOutcome(n.now(), a.ticket, relay.Outcome{
				Kind:                  relay.OutcomeInterrupted,
				RequesterDisconnected: true,
				Events:                current.events,
				Started:               a.events > 0,
			}))
			return
		}
		n.applyNodeOutput(n.node.Cancel(n.now(), a.ticket))
	})
}

const (
	dialTimeout = contactTimeout / 10
	// disconnectDelay is how long after the deadline a disconnect reaches the node.
	disconnectDelay = 20 * time.Millisecond
	// giveUpDelay is how long after its deadline a requester gives up.
	giveUpDelay = 50 * time.Millisecond
	// dispatchSlack is how long after its timeout a dispatch is interrupted.
	dispatchSlack   = 100 * time.Millisecond
	cutPollInterval = 50 * time.Millisecond
	// noticedLossRate is the fraction of lost connections that make the replica cancel the job.
	noticedLossRate = 0.8
)

func (a *activeRequest) startDispatch(step relay.Step) {
	w := a.world()
	sent := &dispatch{request: a, step: step, sentAt: w.now}
	a.dispatch = sent
	// The state machine may reuse its buffers later.
	history := make([][]byte, len(step.History))
	for i, entry := range step.History {
		history[i] = append([]byte(nil), entry...)
	}
	sent.step.History = history
	w.after(w.delay(), func() {
		r := w.replicas[step.Replica.Address]
		switch {
		case sent.done:
		case w.isCut(a.node.address, step.Replica.Address):
			w.after(dialTimeout, func() {
				sent.runAtNode(func() { sent.finish(relay.Outcome{Kind: relay.OutcomeNotRun, Unreachable: true, NewConnection: true}) })
			})
		case r == nil:
			sent.respond(func() { sent.finish(relay.Outcome{Kind: relay.OutcomeNotRun, Unreachable: true, NewConnection: true}) })
		default:
			r.receive(sent)
		}
	})
	w.after(step.Timeout+dispatchSlack, func() {
		sent.runAtNode(func() {
			if sent.job != nil {
				w.after(w.delay(), sent.job.cancel)
			}
			sent.finish(relay.Outcome{Kind: relay.OutcomeInterrupted})
		})
	})
}

// respond sends to the node, in order; a cut link delays it.
func (s *dispatch) respond(f func()) {
	w := s.request.world()
	s.waiting = append(s.waiting, f)
	s.respondAt = max(s.respondAt, w.now+w.delay())
	w.after(s.respondAt-w.now, s.deliverNext)
}

func (s *dispatch) deliverNext() {
	w := s.request.world()
	if len(s.waiting) == 0 || s.done {
		return
	}
	if w.isCut(s.step.Replica.Address, s.request.node.address) {
		w.after(cutPollInterval, s.deliverNext)
		return
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.runAtNode(next)
}

func (s *dispatch) runAtNode(f func()) {
	n := s.request.node
	if n.incarnation != s.request.incarnation {
		return
	}
	n.do(func() {
		if n.incarnation == s.request.incarnation && !s.done && !s.request.ended {
			f()
		}
	})
}

func (s *dispatch) relayEvent(number, tokens int64) {
	a := s.request
	s.events++
	a.events = number
	text := streamEvent(a.request.Attempt, number) + "\n"
	a.output = append(a.output, text...)
	r := a.request
	a.toRequester(func() {
		if r.Ended < 0 {
			r.Tokens += tokens
			r.Output += text
		}
	})
}

func (s *dispatch) finish(o relay.Outcome) {
	a, n := s.request, s.request.node
	s.done = true
	o.Events, o.Started = s.events, a.events > 0
	o.RequesterDisconnected = o.RequesterDisconnected || a.requesterLeft
	if s.step.RunToEnd && o.Kind == relay.OutcomeComplete {
		a.keyed, o.Response = s.keyed, s.keyed.stored()
	}
	if s.step.ReturnOutput {
		o.Output = append([]byte(nil), a.output...)
	}
	if o.Kind == relay.OutcomeComplete && o.Failed {
		a.request.failed = true
	}
	n.applyNodeOutput(n.node.HandleOutcome(n.now(), a.ticket, o))
}
