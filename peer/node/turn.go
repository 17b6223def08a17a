package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/breaker"
	"saffronfall/rule/program"
	"saffronfall/rule/rehearsal"
	"saffronfall/rule/slab"
	"saffronfall/rule/verdict"
)

// shot is one try at a back end, and what it takes of allowances.
type shot struct {
	way       *way
	held      *held
	fenced    bool
	replica   Replica
	firedAt   time.Duration
	tried     map[string]bool
	payload   Payload
	turn      string
	tokens    int64
	relayed   int64
	price     int64
	text      bytes.Buffer
	warnings  []verdict.Warning
	arguments string
	claim     string
	day       *share
	money     *share
}

// atOwner goes on with an inquiry at the node that owns its program.
func (m *Machine) atOwner(now time.Duration, w *way, h *held) {
	h.usedAt = now
	if h.consulting != nil {
		m.await(now, w, h)
		return
	}
	switch w.inquiry.Kind {
	case Turn:
		m.turn(now, w, h)
	case Tool:
		m.tool(now, w, h)
	case Look:
		body, _ := json.Marshal(map[string]any{"program": h.record.ID, "user": h.record.User, "role": h.record.Role, "steps": h.record.Steps,
			"tokens": h.record.Charged(), "head": h.record.Line(w.inquiry.Line).Head, "turns": append([]program.Turn{}, h.turns[w.inquiry.Line]...), "closed": h.record.Closed, "owner": m.params.ID})
		m.end(w, Piece{Kind: PieceBody, Status: 200, Body: body})
	case Close:
		h.record.Closed = true
		m.save(now, h, m.patient(now, w), func(now time.Duration, ok bool) {
			if !ok {
				m.refuse(w, unsure("the end could not be made durable in time"))
				return
			}
			q := w.inquiry
			q.User = h.record.User
			m.closeUser(now, &way{tenant: w.tenant, inquiry: q}, h.record.ID, h.record.Charged())
			m.sample(rehearsal.Sample{KeySum: w.keySum, Tenant: w.tenant, Program: h.record.ID, User: h.record.User, Role: h.record.Role, Kind: Close})
			m.end(w, Piece{Kind: PieceBody, Status: 200, Body: []byte(`{"closed":true}`)})
		})
	}
}

func (m *Machine) turn(now time.Duration, w *way, h *held) {
	q := w.inquiry
	service, known := m.description.Services[q.Service]
	role := m.description.Roles[h.record.Role]
	line := h.record.Line(q.Line)
	switch {
	case !known || service.Kind != "model":
		m.refuse(w, denied("unknown_service", "no such model service", 400))
		return
	case m.breakerState == breaker.HalfOpen && h.record.Test == 0:
		m.refuse(w, onlyTests())
		return
	case h.record.Busy(q.Line):
		m.refuse(w, verdict.Refused(verdict.Refusal{Check: "program", Code: "turn_running", Reason: "a turn of this conversation is running", Status: 409, RetryAfter: time.Second, Head: line.Head}))
		return
	case q.Before != line.Head || !fits(q.History, h.turns[q.Line]):
		m.refuse(w, verdict.Refused(verdict.Refusal{Check: "program", Code: "wrong_history", Reason: "what came before is not this conversation's history", Status: 409, Head: line.Head}))
		return
	}
	caps := h.record.Caps(h.offset+now, role, m.description.WarnRatio)
	if caps.Refused() {
		m.refuse(w, caps)
		return
	}
	budget := h.record.Budget(role)
	if budget.Refused() {
		m.refuse(w, budget)
		return
	}
	s := &shot{way: w, held: h, fenced: true, tried: map[string]bool{}, tokens: role.TurnTokens, warnings: append(caps.Warnings, budget.Warnings...)}
	if q.MaxTokens > 0 {
		s.tokens = min(s.tokens, q.MaxTokens)
	}
	s.price = service.Price(s.tokens)
	m.nextID++
	s.turn = fmt.Sprintf("%s-%s-%d", m.params.ID, m.incarnation, m.nextID)
	h.record.Reserve(s.turn, q.Line, s.tokens)
	s.payload = Payload{Shot: s.turn, Tenant: w.tenant, Program: h.record.ID, Line: q.Line, Head: line.Head,
		History: append([]program.Turn{}, h.turns[q.Line]...), Say: q.Say, MaxTokens: s.tokens}
	m.drawTurn(now, s)
}

func onlyTests() verdict.Verdict {
	return verdict.Refused(verdict.Refusal{Check: "breaker", Code: "breaker_half_open", Reason: "only test sessions are gated", Status: 503, RetryAfter: time.Second})
}

func fits(told, kept []program.Turn) bool {
	if len(told) == 0 {
		return true
	}
	if len(told) != len(kept) {
		return false
	}
	for i := range told {
		if told[i].Say != kept[i].Say || told[i].Got != kept[i].Got {
			return false
		}
	}
	return true
}

// drawTurn gets the shares of the tenant's day and of money that a turn needs,
// then makes its reservation durable, at the program's part and the user's.
func (m *Machine) drawTurn(now time.Duration, s *shot) {
	w, day := s.way, m.dayOf(s.way.tenant)
	m.draw(now, day, s.tokens, m.dayChunk(w.tenant), m.patient(now, w), m.askDay(w.tenant, day), func(now time.Duration, ok, told bool) {
		if !ok || w.over || s.held.lost {
			m.dropTurn(now, s)
			m.refuse(w, m.dayVerdict(told))
			return
		}
		day.reserve(s.tokens)
		m.draw(now, m.money, s.price, m.moneyChunk(), m.patient(now, w), m.askMoney, func(now time.Duration, ok, _ bool) {
			if !ok || w.over || s.held.lost {
				day.settle(s.tokens, 0)
				m.dropTurn(now, s)
				v := m.breakerVerdict(now)
				if !v.Refused() {
					v = unsure("no share of the spend could be had in time")
				}
				m.refuse(w, v)
				return
			}
			m.money.reserve(s.price)
			s.day, s.money = day, m.money
			m.reserveTurn(now, s)
		})
	})
}

func (m *Machine) dropTurn(now time.Duration, s *shot) {
	if s.held == nil || s.held.lost {
		return
	}
	s.held.record.Unreserve(s.turn)
	m.resave(now, s.held)
}

// refund gives back what a shot that did not run had taken.
func (m *Machine) refund(now time.Duration, s *shot) {
	if s.day == nil {
		return
	}
	s.settle(0, 0)
	m.dropTurn(now, s)
}

// settle turns what a shot had reserved into what it spent, once.
func (s *shot) settle(tokens, price int64) {
	if s.day != nil {
		s.day.settle(s.tokens, tokens)
		s.money.settle(s.price, price)
		s.day, s.money = nil, nil
	}
}

// reserveTurn makes a turn's reservation durable: at the cores with the user's
// day charged, or, while they can't be reached, at all mirrors; the user's day is
// then charged later, and counts meanwhile as charged beforehand.
func (m *Machine) reserveTurn(now time.Duration, s *shot) {
	w, h := s.way, s.held
	over, saved, charged, version := false, false, false, uint64(0)
	goOn := func(now time.Duration, good bool) {
		alone := h.saved < version
		if over || (good && !(saved && (charged || alone))) {
			return
		}
		over = true
		if !good || h.lost || w.over {
			m.refund(now, s)
			m.refuse(w, unsure("the reservation could not be made durable in time"))
			return
		}
		m.launch(now, s)
	}
	m.save(now, h, m.patient(now, w), func(now time.Duration, ok bool) {
		saved = ok
		goOn(now, ok)
	})
	version = h.record.Version
	charge := core.ChargeUser{Tenant: w.tenant, User: h.record.User, Program: h.record.ID, Charged: h.record.Charged(), Covered: h.record.Covered}
	m.caller.Call(now, charge, now+10*m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		day, ok := o.Answer.(core.ChargeUserResult)
		role := m.description.Roles[h.record.Role]
		if ok && day.Tokens >= role.UserDayTokensSoft {
			s.warnings = append(s.warnings, verdict.Warning{Scope: "user_day_tokens", Used: day.Tokens, Limit: role.UserDayTokensHard})
		}
		charged = ok
		if ok {
			h.dayCovered = max(h.dayCovered, charge.Covered)
		}
		goOn(now, true)
	})
	m.later.Add(m.patient(now, w), func(now time.Duration) { goOn(now, charged && saved) })
}

// launch takes the tenant's rate and a replica, and shoots, all in one moment
// if the term still holds then.
func (m *Machine) launch(now time.Duration, s *shot) {
	m.pass(now, s.way.tenant, m.description.Services[s.way.inquiry.Service].Urgent, s.way.until, func(now time.Duration, ok bool, wait time.Duration) {
		if s.way.over {
			m.undo(now, s, verdict.Verdict{})
			return
		}
		if !ok {
			m.undo(now, s, verdict.Refused(verdict.Refusal{Check: "rate", Code: "too_many", Reason: "the tenant's inquiries come faster than its rate", Status: 429, RetryAfter: wait}))
			return
		}
		m.fire(now, s)
	})
}

func (m *Machine) fire(now time.Duration, s *shot) {
	w, service := s.way, s.way.inquiry.Service
	if !m.termed(now) || (s.fenced && s.held.lost) {
		m.undo(now, s, unsure("this node's term ended"))
		return
	}
	if w.inquiry.Kind != Action || !m.description.Services[service].BypassesBreaker {
		if v := m.breakerVerdict(now); v.Refused() {
			m.undo(now, s, v)
			return
		}
	}
	if _, _, known := m.description.TenantAndRole(w.inquiry.Key); !known {
		m.undo(now, s, denied("unknown_key", "the key was revoked", 401))
		return
	}
	if now >= w.until {
		m.undo(now, s, late(verdict.NotExecuted))
		return
	}
	r, ok := m.choose(now, service, s.untried)
	if !ok {
		if !m.awaitRoom(now, s) {
			m.undo(now, s, m.noReplica(now, service))
		}
		return
	}
	s.firedAt = now
	s.replica = r
	s.tried[r.ID] = true
	m.conditionOf(r).outstanding++
	t := m.shots.Put(s)
	m.live[t] = s
	w.shot = t
	w.ran = verdict.MaybeExecuted
	m.running++
	m.Counters.Shots++
	m.out.Shots = append(m.out.Shots, Shoot{Shot: uint64(t), Service: service, Kind: m.description.Services[service].Kind,
		Replica: r.ID, Address: r.Address, Payload: s.payload, Budget: w.until - now})
}

// undo refuses an inquiry whose shot did not run, after taking everything back.
func (m *Machine) undo(now time.Duration, s *shot, v verdict.Verdict) {
	switch s.way.inquiry.Kind {
	case Turn:
		m.refund(now, s)
	case Tool:
		if !s.held.lost {
			s.held.record.UncallTool(s.way.inquiry.Service, s.arguments)
			m.resave(now, s.held)
		}
	case Action:
		m.endOnce(now, s, core.OnceReleased, 0, nil, func(time.Duration, bool) {})
	}
	s.way.ran = verdict.NotExecuted
	if v.Kind != "" {
		m.refuse(s.way, v)
	}
}

// Shot takes an event of a shot.
func (m *Machine) Shot(now time.Duration, e Event) Output {
	m.step(now)
	t := slab.Ticket(e.Shot)
	s, ok := m.shots.Get(t)
	if !ok {
		return *m.out
	}
	if e.Kind != EventChunk {
		m.endShot(now, t, e)
		m.freeRoom(now)
		return *m.out
	}
	w := s.way
	if !w.opened {
		w.opened = true
		w.give(Piece{Kind: PieceOpen, Status: 200})
	}
	if s.relayed+e.Tokens > s.tokens {
		m.out.Cancels = append(m.out.Cancels, e.Shot)
		m.endShot(now, t, Event{Kind: EventDone, Status: 200, Text: "cut at the reservation"})
		return *m.out
	}
	s.relayed += e.Tokens
	s.text.WriteString(e.Text)
	w.give(Piece{Kind: PieceChunk, Text: e.Text, Tokens: e.Tokens})
	return *m.out
}

func (m *Machine) endShot(now time.Duration, t slab.Ticket, e Event) {
	s, ok := m.shots.Take(t)
	if !ok {
		return
	}
	delete(m.live, t)
	m.running--
	c := m.conditionOf(s.replica)
	c.outstanding--
	switch e.Kind {
	case EventDone:
		c.failures = 0
		r := m.roomOf(s.way.inquiry.Service)
		r.took = (7*r.took + now - s.firedAt) / 8
	case EventNotRun:
		m.Counters.NotRun++
		m.eject(now, c)
		s.way.ran = verdict.NotExecuted
		if len(s.tried) < 3 && !s.way.over {
			// Another replica is another inquiry to the tenant's quota.
			m.launch(now, s)
			return
		}
		m.undo(now, s, m.noReplica(now, s.way.inquiry.Service))
		return
	case EventBroken:
		m.Counters.Broken++
		m.eject(now, c)
	}
	switch s.way.inquiry.Kind {
	case Turn:
		m.endTurn(now, s, e)
	case Tool:
		m.endTool(now, s, e)
	case Action:
		m.endAction(now, s, e)
	}
}

func (m *Machine) eject(now time.Duration, c *condition) {
	c.failures++
	if c.failures >= 3 {
		c.until = now + m.params.Newest*time.Duration(min(c.failures-2, 8))
	}
}

func (m *Machine) endTurn(now time.Duration, s *shot, e Event) {
	w, h := s.way, s.held
	good := e.Kind == EventDone && e.Status < 300 && !w.over
	spent := s.tokens
	if good {
		spent = s.relayed
	}
	s.settle(spent, min(s.price, m.description.Services[w.inquiry.Service].Price(spent)))
	if h.record.Test > 0 && !h.record.Tested && !h.lost {
		h.record.Tested = good
		m.caller.Call(now, core.ReportProbe{Program: h.record.ID, Succeeded: good, Limits: m.limits()}, now+10*m.params.Core.MemberLease, func(time.Duration, core.Outcome) {})
	}
	if h.lost {
		m.breakOff(now, w)
		return
	}
	if !good {
		h.record.Fail(s.turn)
		m.resave(now, h)
		m.breakOff(now, w)
		return
	}
	t := h.record.Finish(s.turn, s.relayed, w.inquiry.Say, s.text.String())
	h.turns[t.Line] = append(h.turns[t.Line], t)
	h.unsaved = append(h.unsaved, t)
	m.save(now, h, w.until, func(now time.Duration, ok bool) {
		if !ok {
			m.breakOff(now, w)
			return
		}
		m.Counters.Whole++
		m.count(s.warnings)
		m.sample(rehearsal.Sample{KeySum: w.keySum, Tenant: w.tenant, Program: h.record.ID, User: h.record.User, Role: h.record.Role, Kind: Turn, Service: w.inquiry.Service, Tokens: s.relayed, Steps: h.record.Steps, Charged: h.record.Charged()})
		end := "complete"
		if e.Text != "" {
			end = e.Text
		}
		m.end(w, Piece{Kind: PieceClose, Status: 200, Tokens: s.relayed, Head: t.Head, End: end, Verdict: verdict.Allowed(verdict.Executed, s.warnings)})
	})
}

// breakOff ends a turn that has no whole outcome.
func (m *Machine) breakOff(now time.Duration, w *way) {
	switch {
	case w.over:
	case w.opened:
		m.end(w, Piece{Kind: PieceBreak})
	case now >= w.until:
		m.refuse(w, late(verdict.MaybeExecuted))
	default:
		m.refuse(w, verdict.Refused(verdict.Refusal{Check: "replica", Code: "answer_lost", Reason: "the replica's answer was lost; the turn may have run and is charged", Status: 502, Ran: verdict.MaybeExecuted}))
	}
}
