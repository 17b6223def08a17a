package relaysim

import (
	"time"

	"saffronfall/peer/relay"
)

// way is one request at a node: the part of the node's process that carries out
// what its machine decides, as the real one does it.
type way struct {
	node    *process
	life    int
	ticket  uint64
	request *Request
	done    func(r *Request)
	// events and output are what was relayed so far, of all sendings.
	events  int64
	output  []byte
	sending *sending
	ended   bool
	// clientAt keeps the order of what goes to the requester.
	clientAt time.Duration
}

// sending is one try of a request at a replica.
type sending struct {
	way     *way
	step    relay.Step
	sentAt  time.Duration
	job     *job
	done    bool
	events  int64
	backAt  time.Duration
	waiting []func()
}

// ask makes one try of a request at a node. The requester is told once what
// became of it.
func (w *World) ask(n *process, r Request, done func(r *Request)) {
	request := &r
	request.At, request.Node, request.Ended = w.now, n.id, -1
	w.Record.Requests = append(w.Record.Requests, request)
	w.after(w.delay(), func() {
		if !n.alive {
			w.after(w.delay(), func() { w.told(request, Unreached, 0, done) })
			return
		}
		life := n.life
		request.Life = life
		n.do(func() {
			if request.Ended >= 0 {
				return
			}
			request.Arrived = true
			n.next++
			at := &way{node: n, life: life, ticket: n.next, request: request, done: done}
			n.ways[at.ticket] = at
			left := request.Deadline - (w.now - request.At)
			a := relay.Request{Host: host, Path: request.Path, Key: request.Key, HasKey: request.Key != "", Attempt: request.Attempt, Program: request.Program, Previous: request.Previous,
				TokenBudget: request.Budget, MaxTokens: request.Most, Remaining: left, Arrival: relay.Arrival{HeadBytes: 300, BodyBytes: int64(len(request.Input))}, Input: []byte(request.Input)}
			if left <= 0 {
				a.Remaining = -1
			}
			n.takeNode(n.node.HandleRequest(n.now(), at.ticket, a))
			w.after(max(left, 0)+20*time.Millisecond, at.giveUp)
		})
	})
	w.after(request.Deadline+50*time.Millisecond, func() { w.told(request, GaveUp, 0, done) })
}

// told ends a request at its requester.
func (w *World) told(r *Request, outcome string, status int, done func(r *Request)) {
	if r.Ended >= 0 {
		return
	}
	r.Ended, r.Outcome, r.Status = w.now, outcome, status
	name := r.Kind + " " + outcome
	if status > 0 {
		name += " " + statusText(status)
	}
	w.Counts["asked "+name]++
	if done != nil {
		done(r)
	}
}

func (a *way) world() *World { return a.node.world }

// toClient hands something to the requester, in order.
func (a *way) toClient(what func()) {
	w := a.world()
	a.clientAt = max(a.clientAt, w.now+w.delay())
	w.after(a.clientAt-w.now, what)
}

// step carries out what the machine wants done next.
func (a *way) step(s relay.Step) {
	if a.ended {
		return
	}
	if s.Kind == relay.StepSend {
		a.send(s)
		return
	}
	a.ended = true
	delete(a.node.ways, a.ticket)
	r, w := a.request, a.world()
	r.LastStep = w.now
	r.Check = s.Check
	begun := a.events > 0
	a.toClient(func() {
		switch {
		case s.Kind == relay.StepDeliver:
			w.told(r, r.answer(), 200, a.done)
		case begun, s.Kind == relay.StepAbort && s.Status == 499:
			w.told(r, Closed, 0, a.done)
		default:
			r.RetryAfter = s.RetryAfter
			w.told(r, Refused, s.Status, a.done)
		}
	})
}

func (r *Request) answer() string {
	if r.failed {
		return Failed
	}
	return Whole
}

// lost ends a way whose process has ended: the connections close.
func (a *way) lost() {
	a.ended = true
	w, r, done := a.world(), a.request, a.done
	r.LastStep = w.now
	if s := a.sending; s != nil && !s.done {
		s.done = true
		if s.job != nil && w.chance(0.8) {
			w.after(w.delay(), s.job.drop)
		}
	}
	a.toClient(func() { w.told(r, Closed, 0, done) })
}

// giveUp is that the requester does not wait any longer.
func (a *way) giveUp() {
	n := a.node
	if a.ended || n.life != a.life {
		return
	}
	n.do(func() {
		if a.ended || n.life != a.life {
			return
		}
		if s := a.sending; s != nil && !s.done {
			s.done = true
			if s.job != nil {
				a.world().after(a.world().delay(), s.job.drop)
			}
			n.takeNode(n.node.HandleOutcome(n.now(), a.ticket, relay.Outcome{Kind: relay.OutcomeInterrupted, RequesterDisconnected: true, Events: s.events, Started: a.events > 0}))
			return
		}
		n.takeNode(n.node.Cancel(n.now(), a.ticket))
	})
}

// dial is how long a connection to a replica may take to come up.
const dial = contact / 10

func (a *way) send(step relay.Step) {
	w := a.world()
	s := &sending{way: a, step: step, sentAt: w.now}
	a.sending = s
	// The machine's own bytes may change later.
	before := make([][]byte, len(step.History))
	for i, b := range step.History {
		before[i] = append([]byte(nil), b...)
	}
	s.step.History = before
	w.after(w.delay(), func() {
		r := w.replicas[step.Replica.Address]
		switch {
		case s.done:
		case w.isCut(a.node.address, step.Replica.Address):
			w.after(dial, func() {
				s.atNode(func() { s.over(relay.Outcome{Kind: relay.OutcomeNotRun, Unreachable: true, NewConnection: true}) })
			})
		case r == nil:
			s.back(func() { s.over(relay.Outcome{Kind: relay.OutcomeNotRun, Unreachable: true, NewConnection: true}) })
		default:
			r.arrive(s)
		}
	})
	w.after(step.Timeout+100*time.Millisecond, func() {
		s.atNode(func() {
			if s.job != nil {
				w.after(w.delay(), s.job.drop)
			}
			s.over(relay.Outcome{Kind: relay.OutcomeInterrupted})
		})
	})
}

// back carries something from the replica to the node, in order. While the link
// is cut it waits.
func (s *sending) back(what func()) {
	w := s.way.world()
	s.waiting = append(s.waiting, what)
	s.backAt = max(s.backAt, w.now+w.delay())
	w.after(s.backAt-w.now, s.carry)
}

// carry hands on what came next, unless the link is cut.
func (s *sending) carry() {
	w := s.way.world()
	if len(s.waiting) == 0 || s.done {
		return
	}
	if w.isCut(s.step.Replica.Address, s.way.node.address) {
		w.after(50*time.Millisecond, s.carry)
		return
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.atNode(next)
}

func (s *sending) atNode(what func()) {
	n := s.way.node
	if n.life != s.way.life {
		return
	}
	n.do(func() {
		if n.life == s.way.life && !s.done && !s.way.ended {
			what()
		}
	})
}

// event relays one event of a stream.
func (s *sending) event(n, per int64) {
	a := s.way
	s.events++
	a.events = n
	text := piece(a.request.Attempt, n) + "\n"
	a.output = append(a.output, text...)
	r := a.request
	a.toClient(func() {
		if r.Ended < 0 {
			r.Tokens += per
			r.Output += text
		}
	})
}

// over tells the machine what became of a sending.
func (s *sending) over(o relay.Outcome) {
	a, n := s.way, s.way.node
	s.done = true
	o.Events, o.Started = s.events, a.events > 0
	if s.step.ReturnOutput {
		o.Output = append([]byte(nil), a.output...)
	}
	if o.Kind == relay.OutcomeComplete && o.Failed {
		a.request.failed = true
	}
	n.takeNode(n.node.HandleOutcome(n.now(), a.ticket, o))
}
