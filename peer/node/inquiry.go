package node

import (
	"fmt"
	"sort"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/breaker"
	"saffronfall/rule/configuration"
	"saffronfall/rule/ordered"
	"saffronfall/rule/program"
	"saffronfall/rule/rehearsal"
	"saffronfall/rule/slab"
	"saffronfall/rule/verdict"
)

// way is one inquiry's way through this process.
type way struct {
	inquiry Inquiry
	tenant  string
	role    string
	keySum  string
	until   time.Duration
	give    func(p Piece)
	over    bool
	opened  bool
	passed  bool
	guessed bool
	hops    int
	shot    slab.Ticket
	asked   slab.Ticket
	ticket  slab.Ticket
	ran     verdict.Ran
}

// asked is an inquiry that was passed to its owner.
type asked struct {
	way    *way
	to     string
	member core.Member
	next   int
	until  time.Duration
	again  time.Duration
	taken  bool
}

// servedWay is one that came from another node.
type servedWay struct {
	ticket slab.Ticket
	until  time.Duration
}

// Inquire takes a requester's inquiry; pieces come back under its ticket.
func (m *Machine) Inquire(now time.Duration, ticket uint64, q Inquiry) Output {
	m.step(now)
	m.Counters.Inquiries++
	t := m.begin(now, q, false, func(p Piece) { m.out.Returns = append(m.out.Returns, Return{Ticket: ticket, Piece: p}) })
	if _, ok := m.ways.Look(t); ok {
		m.waiting[ticket] = t
	}
	return *m.out
}

// Gone says that a requester no longer waits.
func (m *Machine) Gone(now time.Duration, ticket uint64) Output {
	m.step(now)
	if t, ok := m.waiting[ticket]; ok {
		delete(m.waiting, ticket)
		m.abandon(now, t)
	}
	return *m.out
}

func (m *Machine) abandon(now time.Duration, t slab.Ticket) {
	w, ok := m.ways.Look(t)
	if !ok {
		return
	}
	if a, ok := m.asked.Look(w.asked); ok {
		m.send(a.to, Withdraw{ID: m.caller.Mark(w.asked)})
		m.asked.Take(w.asked)
		delete(m.open, w.asked)
	}
	shot := w.shot
	m.end(w, Piece{Kind: PieceBreak})
	if _, ok := m.shots.Look(shot); ok {
		m.out.Cancels = append(m.out.Cancels, uint64(shot))
		m.endShot(now, shot, Event{Kind: EventBroken})
	}
}

func (m *Machine) begin(now time.Duration, q Inquiry, passed bool, give func(p Piece)) slab.Ticket {
	if q.Budget <= 0 {
		q.Budget = m.params.Budget
	}
	w := &way{inquiry: q, until: now + q.Budget, give: give, passed: passed, ran: verdict.No}
	w.ticket = m.ways.Keep(w)
	m.enter(now, w)
	return w.ticket
}

// end gives the last piece, once.
func (m *Machine) end(w *way, p Piece) {
	if w.over {
		return
	}
	w.over = true
	m.ways.Take(w.ticket)
	w.give(p)
}

func (m *Machine) refuse(w *way, v verdict.Verdict) {
	if w.over {
		return
	}
	if w.opened {
		m.end(w, Piece{Kind: PieceBreak})
		return
	}
	m.Counters.Refused++
	m.Counters.Refusals[v.Code]++
	if v.Status == 503 && v.RetryAfter <= 0 {
		v.RetryAfter = m.params.Core.Pull
	}
	if w.ran != verdict.No && v.Ran == verdict.No {
		v.Ran = verdict.Maybe
	}
	if m.now >= w.until && v.Status == 503 {
		v = late(v.Ran)
	}
	m.sample(rehearsal.Sample{KeySum: w.keySum, Tenant: w.tenant, User: w.inquiry.User, Role: w.role, Kind: w.inquiry.Kind, Service: w.inquiry.Service, Refused: true})
	m.end(w, Piece{Kind: PieceVerdict, Status: v.Status, Verdict: v})
}

func denied(code, reason string, status int) verdict.Verdict {
	return verdict.Refused(verdict.Refusal{Check: "inquiry", Code: code, Reason: reason, Status: status})
}

func late(ran verdict.Ran) verdict.Verdict {
	return verdict.Refused(verdict.Refusal{Check: "budget", Code: "budget_passed", Reason: "the inquiry's budget has passed", Status: 504, Ran: ran})
}

// enter is the first step of every inquiry: whose it is, then the breaker.
func (m *Machine) enter(now time.Duration, w *way) {
	q := &w.inquiry
	if m.description == nil {
		m.refuse(w, unsure("no configuration has come yet"))
		return
	}
	tenant, role, ok := m.description.Whose(q.Key)
	if !ok {
		m.refuse(w, denied("unknown_key", "the key is not known, or was revoked", 401))
		return
	}
	w.tenant, w.role, w.keySum = tenant, role, configuration.Sum(q.Key)
	if m.leaving && w.passed && !m.termed(now) {
		m.refuse(w, denied(notOwner, "this node has left", 503))
		return
	}
	if !m.termed(now) {
		m.refuse(w, verdict.Later("term", "this node's term is not in force", m.params.Core.MemberTerm/4))
		return
	}
	switch q.Kind {
	case Open, Turn, Tool:
		if v := m.breakerVerdict(now); v.Refused() {
			m.refuse(w, v)
			return
		}
	}
	if m.leaving && q.Kind == Open {
		m.refuse(w, verdict.Later("node", "this node leaves; ask another", m.params.Core.Pull))
		return
	}
	switch q.Kind {
	case Open:
		m.openProgram(now, w)
	case Action:
		m.action(now, w)
	case Turn, Tool, Close, Look:
		m.locate(now, w)
	default:
		m.refuse(w, denied("unknown_inquiry", "no such inquiry", 400))
	}
}

func (m *Machine) breakerVerdict(now time.Duration) verdict.Verdict {
	if now < m.openUntil || m.breakerState == breaker.Open {
		return verdict.Refused(verdict.Refusal{Check: "breaker", Code: "breaker_open", Reason: "spending reached a threshold; everything is refused for a time",
			Status: 503, RetryAfter: max(m.openUntil-now, m.params.Report)})
	}
	return verdict.Verdict{}
}

// locate finds the owner of an inquiry's program: this node, or another.
func (m *Machine) locate(now time.Duration, w *way) {
	if w.over {
		return
	}
	if now >= w.until {
		m.refuse(w, late(w.ran))
		return
	}
	key := w.tenant + "/" + w.inquiry.Program
	if h, ok := m.programs[key]; ok {
		m.atOwner(now, w, h)
		return
	}
	if owner, ok := m.owners[key]; ok && !m.hasEnded(owner.ID, owner.Incarnation) {
		m.forward(now, w, owner)
		return
	}
	if m.leaving && w.passed {
		m.refuse(w, denied(notOwner, "this node leaves", 503))
		return
	}
	if owner, ok := m.opener(w.inquiry.Program); ok && !w.guessed && !w.passed {
		w.guessed = true
		m.forward(now, w, owner)
		return
	}
	m.claim(now, w, core.ClaimProgram{})
}

func (m *Machine) claim(now time.Duration, w *way, proof core.ClaimProgram) {
	c := core.ClaimProgram{Tenant: w.tenant, ID: w.inquiry.Program, Node: m.params.ID, Incarnation: m.incarnation, Address: m.params.Address,
		EndedNode: proof.EndedNode, EndedFormer: proof.EndedFormer}
	key := c.Tenant + "/" + c.ID
	m.caller.Call(now, c, m.patient(now, w), func(now time.Duration, o core.Outcome) {
		p, ok := o.Answer.(core.Programmed)
		owner := core.Member{ID: p.Record.Node, Incarnation: p.Record.Incarnation, Peer: p.Record.Address}
		switch {
		case w.over:
		case !ok || c.Incarnation != m.incarnation:
			m.refuse(w, unsure("the program's owner could not be found out in time"))
		case p.Gone:
			m.refuse(w, verdict.Refused(verdict.Refusal{Check: "program", Code: "gone", Reason: "the program's keeping time has passed", Status: 410}))
		case !p.Found:
			m.refuse(w, denied("unknown_program", "no such program", 404))
		case p.Owned:
			if _, there := m.programs[key]; !there {
				if c.EndedNode != "" {
					m.Counters.Takeovers++
				}
				m.hold(now, p)
			}
			m.atOwner(now, w, m.programs[key])
		case m.hasEnded(owner.ID, owner.Incarnation) && c.EndedFormer != owner.Incarnation:
			m.claim(now, w, core.ClaimProgram{EndedNode: owner.ID, EndedFormer: owner.Incarnation})
		default:
			m.owners[key] = owner
			m.forward(now, w, owner)
		}
	})
}

// patient is until when a step may take: the budget, but never so long that a
// fault is sat out instead of told.
func (m *Machine) patient(now time.Duration, w *way) time.Duration {
	return min(w.until, now+m.patience())
}

// patientRetries is how many tries at a command are waited for.
const patientRetries = 12

func (m *Machine) patience() time.Duration { return patientRetries * m.params.Core.Retry }

func (m *Machine) hold(now time.Duration, p core.Programmed) *held {
	h := &held{record: copyRecord(p.Record), turns: map[string][]program.Turn{}, offset: p.Clock - now, saved: p.Record.Version, usedAt: now}
	for _, t := range p.Turns {
		h.turns[t.Line] = append(h.turns[t.Line], t)
	}
	for line := range h.turns {
		list := h.turns[line]
		sort.Slice(list, func(i, j int) bool { return list[i].Number < list[j].Number })
	}
	m.programs[p.Record.Tenant+"/"+p.Record.ID] = h
	m.consult(now, h)
	return h
}

func (m *Machine) forward(now time.Duration, w *way, owner core.Member) {
	if w.passed {
		m.refuse(w, denied(notOwner, "this node does not own the program", 503))
		return
	}
	if owner.ID == m.params.ID {
		delete(m.owners, w.tenant+"/"+w.inquiry.Program)
		m.refuse(w, unsure("the program is changing hands"))
		return
	}
	a := &asked{way: w, to: owner.Peer, member: owner, until: w.until, next: 1}
	w.asked = m.asked.Keep(a)
	m.open[w.asked] = a
	m.Counters.Forwarded++
	m.sendForward(now, w.asked, a)
}

func (m *Machine) sendForward(now time.Duration, t slab.Ticket, a *asked) {
	a.again = now + m.params.Core.Retry
	q := a.way.inquiry
	q.Budget = a.until - now
	m.send(a.to, Forward{ID: m.caller.Mark(t), Inquiry: q})
}

func (m *Machine) onForward(now time.Duration, from string, b Forward) {
	key := fmt.Sprintf("%s#%d", from, b.ID)
	if _, ok := m.served[key]; ok {
		return
	}
	number := 0
	m.served[key] = &servedWay{until: now + b.Inquiry.Budget + m.params.Core.MemberTerm}
	m.send(from, Pieced{ID: b.ID, Number: number, Piece: Piece{Kind: PieceTaken}})
	t := m.begin(now, b.Inquiry, true, func(p Piece) {
		number++
		m.send(from, Pieced{ID: b.ID, Number: number, Piece: p})
	})
	m.served[key].ticket = t
}

func (m *Machine) onWithdraw(now time.Duration, from string, b Withdraw) {
	key := fmt.Sprintf("%s#%d", from, b.ID)
	s, ok := m.served[key]
	if !ok {
		m.served[key] = &servedWay{until: now + m.params.Budget + m.params.Core.MemberTerm}
		return
	}
	m.abandon(now, s.ticket)
}

func (m *Machine) onPieced(now time.Duration, from string, b Pieced) {
	t := m.caller.Unmark(b.ID)
	a, ok := m.asked.Look(t)
	if !ok || a.to != from {
		return
	}
	a.taken = true
	if b.Piece.Kind == PieceTaken {
		return
	}
	if b.Number != a.next {
		m.loseAsked(now, t, a)
		return
	}
	a.next++
	w := a.way
	if !b.Piece.Last() {
		w.opened = w.opened || b.Piece.Kind == PieceOpen
		if !w.over {
			w.give(b.Piece)
		}
		return
	}
	m.asked.Take(t)
	delete(m.open, t)
	key := w.tenant + "/" + w.inquiry.Program
	if b.Piece.Kind == PieceVerdict && b.Piece.Verdict.Code == notOwner {
		// It surely did not run there. Find out who owns it now, and go on.
		delete(m.owners, key)
		if w.hops++; w.hops > mostHops || w.over {
			m.refuse(w, unsure("the program is changing hands"))
			return
		}
		m.later.Add(now+m.params.Core.Pull/4, func(now time.Duration) { m.locate(now, w) })
		return
	}
	m.end(w, b.Piece)
}

// notOwner is said between nodes only.
const notOwner = "not_owner"

const mostHops = 12

// loseAsked ends an inquiry whose owner fell silent or whose pieces have a
// gap: a stream is broken, and anything else may have run.
func (m *Machine) loseAsked(now time.Duration, t slab.Ticket, a *asked) {
	m.asked.Take(t)
	delete(m.open, t)
	m.send(a.to, Withdraw{ID: m.caller.Mark(t)})
	delete(m.owners, a.way.tenant+"/"+a.way.inquiry.Program)
	ran := verdict.Maybe
	if a.way.inquiry.Kind == Look || a.way.inquiry.Kind == Close {
		ran = verdict.No
	}
	wait := m.params.Core.MemberTerm
	if m.hasEnded(a.member.ID, a.member.Incarnation) {
		wait = m.params.Core.Pull
	}
	v := verdict.Refused(verdict.Refusal{Check: "owner", Code: "owner_silent", Reason: "the program's owner gave no whole return", Status: 503, Ran: ran, RetryAfter: wait})
	if now >= a.way.until {
		v = late(ran)
	}
	m.refuse(a.way, v)
}

func (m *Machine) breakFrom(now time.Duration, o core.Member) {
	for _, t := range m.openAsked() {
		a := m.open[t]
		switch {
		case a.member.ID != o.ID || !o.HasEnded(a.member.Incarnation):
		case a.taken:
			m.loseAsked(now, t, a)
		default:
			// One that left in good order still says that it is not the owner.
			m.later.Add(now+2*m.params.Core.Retry, func(now time.Duration) {
				if still, ok := m.asked.Look(t); ok && still == a {
					m.loseAsked(now, t, a)
				}
			})
		}
	}
}

func (m *Machine) openAsked() []slab.Ticket {
	return ordered.Keys(m.open)
}

func (m *Machine) tickWays(now time.Duration) {
	for _, t := range m.openAsked() {
		a := m.open[t]
		switch {
		case now >= a.until:
			m.loseAsked(now, t, a)
		case !a.taken && now >= a.again:
			m.sendForward(now, t, a)
		}
	}
	for _, t := range m.liveShots() {
		s, ok := m.shots.Look(t)
		if ok && now >= s.way.until {
			m.out.Cancels = append(m.out.Cancels, uint64(t))
			m.endShot(now, t, Event{Kind: EventBroken})
		}
	}
	for key, s := range m.served {
		if now >= s.until {
			delete(m.served, key)
		}
	}
}

// openProgram is a session start: the breaker came first; the user's windows,
// lockout, concurrency and day follow at the user's part, in that order, and
// the tenant's day last.
func (m *Machine) openProgram(now time.Duration, w *way) {
	role := m.description.Roles[w.role]
	m.nextID++
	id := fmt.Sprintf("p-%s-%s-%d", m.params.ID, m.incarnation, m.nextID)
	next := func(now time.Duration, test int) {
		m.caller.Call(now, core.OpenUser{Tenant: w.tenant, User: w.inquiry.User, Program: id, Role: role, WarnRatio: m.description.WarnRatio}, m.patient(now, w), func(now time.Duration, o core.Outcome) {
			v, ok := o.Answer.(verdict.Verdict)
			switch {
			case w.over:
				m.closeUser(now, w, id, 0)
			case !ok:
				m.closeUser(now, w, id, 0)
				m.refuse(w, unsure("the user's windows could not be asked"))
			case v.Refused():
				m.refuse(w, v)
			default:
				m.openDay(now, w, id, test, v.Warnings)
			}
		})
	}
	if m.breakerState != breaker.HalfOpen {
		next(now, 0)
		return
	}
	m.caller.Call(now, core.AdmitTest{Program: id, Limits: m.limits()}, m.patient(now, w), func(now time.Duration, o core.Outcome) {
		t, ok := o.Answer.(core.Tested)
		switch {
		case w.over:
		case !ok:
			m.refuse(w, unsure("the breaker could not be asked"))
		case t.State == string(breaker.Closed):
			next(now, 0)
		case t.Number == 0:
			m.refuse(w, verdict.Refused(verdict.Refusal{Check: "breaker", Code: "breaker_half_open", Reason: "only a few test sessions are gated", Status: 503, RetryAfter: max(t.Left, time.Second)}))
		default:
			next(now, t.Number)
		}
	})
}

func (m *Machine) closeUser(now time.Duration, w *way, id string, charged int64) {
	m.caller.Call(now, core.ChargeUser{Tenant: w.tenant, User: w.inquiry.User, Program: id, Charged: charged, Closed: true}, now+10*m.params.Core.MemberTerm, func(time.Duration, core.Outcome) {})
}

func (m *Machine) openDay(now time.Duration, w *way, id string, test int, warnings []verdict.Warning) {
	s := m.dayOf(w.tenant)
	m.draw(now, s, 1, m.dayChunk(w.tenant), m.patient(now, w), m.askDay(w.tenant, s), func(now time.Duration, ok, told bool) {
		if w.over || !ok {
			m.closeUser(now, w, id, 0)
			m.refuse(w, m.dayVerdict(told))
			return
		}
		r := program.Record{Fence: 1, ID: id, Tenant: w.tenant, User: w.inquiry.User, Role: w.role, Node: m.params.ID, Incarnation: m.incarnation, Address: m.params.Address, Test: test,
			Keep: time.Duration(m.description.KeepSeconds) * time.Second}
		fresh := held{record: r}
		covered := program.Cover(m.description.Roles[w.role], 0)
		m.cover(&fresh)
		r = fresh.record
		m.caller.Call(now, core.OpenProgram{Record: r}, m.patient(now, w), func(now time.Duration, o core.Outcome) {
			p, ok := o.Answer.(core.Programmed)
			if !ok || !p.Owned || w.over || p.Record.Incarnation != m.incarnation {
				m.closeUser(now, w, id, 0)
				m.refuse(w, unsure("the program's record could not be made durable in time"))
				return
			}
			m.hold(now, p).dayCovered = covered
			m.count(warnings)
			m.sample(rehearsal.Sample{KeySum: w.keySum, Tenant: w.tenant, Program: id, User: w.inquiry.User, Role: w.role, Kind: Open})
			m.end(w, Piece{Kind: PieceBody, Status: 201, Head: program.Start, Verdict: verdict.Gated(verdict.Yes, warnings), Text: id})
		})
	})
}

func (m *Machine) count(warnings []verdict.Warning) {
	m.Counters.Gated++
	if len(warnings) > 0 {
		m.Counters.Warned++
	}
}

func (m *Machine) dayVerdict(told bool) verdict.Verdict {
	if !told {
		return unsure("no share of the tenant's day could be had in time")
	}
	return verdict.Refused(verdict.Refusal{Check: "tenant_day", Code: "tenant_day_tokens_spent", Reason: "the tenant's day is spent, or its shares are all held", Status: 429, RetryAfter: m.params.Core.MemberTerm})
}
