package node

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
	"saffronfall/rule/slab"
	"saffronfall/rule/verdict"
)

type forwardState struct {
	req        *requestState
	to         string
	member     core.Member
	nextNumber int
	deadline   time.Duration
	retryAt    time.Duration
	accepted   bool
}

// servedRequest is a request that another node forwarded here.
type servedRequest struct {
	ticket slab.Ticket
	until  time.Duration
}

// forward sends a request to its program's owner, unless it was forwarded already.
func (m *Machine) forward(now time.Duration, req *requestState, owner core.Member) {
	if req.forwarded {
		m.refuse(req, denied(notOwner, "this node does not own the program", 503))
		return
	}
	if owner.ID == m.params.ID {
		delete(m.owners, req.tenant+"/"+req.request.Program)
		m.refuse(req, retryLater("the program is changing hands"))
		return
	}
	f := &forwardState{req: req, to: owner.Peer, member: owner, deadline: req.deadline, nextNumber: 1}
	req.forward = m.forwards.Put(f)
	m.openForwards[req.forward] = f
	m.Counters.Forwarded++
	m.sendForward(now, req.forward, f)
}

func (m *Machine) sendForward(now time.Duration, t slab.Ticket, f *forwardState) {
	f.retryAt = now + m.params.Core.AttemptTimeout
	request := f.req.request
	request.Timeout = f.deadline - now
	m.send(f.to, ForwardRequest{ID: m.caller.MessageID(t), Request: request})
}

// onForward begins a forwarded request, once per sender and id.
func (m *Machine) onForward(now time.Duration, from string, forwarded ForwardRequest) {
	key := fmt.Sprintf("%s#%d", from, forwarded.ID)
	if _, ok := m.served[key]; ok {
		return
	}
	number := 0
	m.served[key] = &servedRequest{until: now + forwarded.Request.Timeout + m.params.Core.MemberLease}
	m.send(from, ForwardedFrame{ID: forwarded.ID, Number: number, Frame: Frame{Kind: FrameAccepted}})
	t := m.beginRequest(now, forwarded.Request, true, func(frame Frame) {
		number++
		m.send(from, ForwardedFrame{ID: forwarded.ID, Number: number, Frame: frame})
	})
	m.served[key].ticket = t
}

// onCancelForward prevents the request if it has not arrived yet.
func (m *Machine) onCancelForward(now time.Duration, from string, cancellation CancelForward) {
	key := fmt.Sprintf("%s#%d", from, cancellation.ID)
	served, ok := m.served[key]
	if !ok {
		m.served[key] = &servedRequest{until: now + m.params.DefaultTimeout + m.params.Core.MemberLease}
		return
	}
	m.cancel(now, served.ticket)
}

func (m *Machine) onForwardedFrame(now time.Duration, from string, forwarded ForwardedFrame) {
	t := m.caller.Ticket(forwarded.ID)
	f, ok := m.forwards.Get(t)
	if !ok || f.to != from {
		return
	}
	f.accepted = true
	if forwarded.Frame.Kind == FrameAccepted {
		return
	}
	if forwarded.Number != f.nextNumber {
		m.failForward(now, t, f)
		return
	}
	f.nextNumber++
	req := f.req
	if !forwarded.Frame.Last() {
		req.streaming = req.streaming || forwarded.Frame.Kind == FrameOpen
		if !req.done {
			req.respond(forwarded.Frame)
		}
		return
	}
	m.forwards.Take(t)
	delete(m.openForwards, t)
	key := req.tenant + "/" + req.request.Program
	if forwarded.Frame.Kind == FrameVerdict && forwarded.Frame.Verdict.Code == notOwner {
		// The request did not run there, so it may be sent to another owner.
		delete(m.owners, key)
		if req.hops++; req.hops > maxHops || req.done {
			m.refuse(req, retryLater("the program is changing hands"))
			return
		}
		m.timers.Add(now+m.params.Core.PullInterval/4, func(now time.Duration) { m.locate(now, req) })
		return
	}
	m.finish(req, forwarded.Frame)
}

// notOwner is a refusal code used between nodes only.
const notOwner = "not_owner"

// maxHops bounds how often a request is forwarded again after notOwner.
const maxHops = 12

// failForward ends a forwarded request whose owner stopped responding or whose frames have a gap.
// Except for a status or close, it may have been executed.
func (m *Machine) failForward(now time.Duration, t slab.Ticket, f *forwardState) {
	m.forwards.Take(t)
	delete(m.openForwards, t)
	m.send(f.to, CancelForward{ID: m.caller.MessageID(t)})
	delete(m.owners, f.req.tenant+"/"+f.req.request.Program)
	ran := verdict.MaybeExecuted
	if f.req.request.Kind == KindStatus || f.req.request.Kind == KindClose {
		ran = verdict.NotExecuted
	}
	wait := m.params.Core.MemberLease
	if m.hasEnded(f.member.ID, f.member.Incarnation) {
		wait = m.params.Core.PullInterval
	}
	v := verdict.Refused(verdict.Refusal{
		Check: "owner", Code: "owner_silent",
		Reason: "the program's owner gave no whole return",
		Status: 503, Ran: ran, RetryAfter: wait,
	})
	if now >= f.req.deadline {
		v = deadlineExceeded(ran)
	}
	m.refuse(f.req, v)
}

func (m *Machine) failForwardsTo(now time.Duration, member core.Member) {
	for _, t := range m.openForwardTickets() {
		f := m.openForwards[t]
		switch {
		case f.member.ID != member.ID || !member.HasEnded(f.member.Incarnation):
		case f.accepted:
			m.failForward(now, t, f)
		default:
			// A member that left cleanly still answers with notOwner.
			m.timers.Add(now+2*m.params.Core.AttemptTimeout, func(now time.Duration) {
				if current, ok := m.forwards.Get(t); ok && current == f {
					m.failForward(now, t, f)
				}
			})
		}
	}
}

func (m *Machine) openForwardTickets() []slab.Ticket {
	return ordered.Keys(m.openForwards)
}
