package node

import (
	"sort"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/breaker"
	"saffronfall/rule/configuration"
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
	ran     verdict.Execution
}

// Inquire takes a requester's inquiry; pieces come back under its ticket.
func (m *Machine) Inquire(now time.Duration, ticket uint64, q Inquiry) Output {
	m.step(now)
	m.Counters.Inquiries++
	t := m.begin(now, q, false, func(p Piece) { m.out.Returns = append(m.out.Returns, Return{Ticket: ticket, Piece: p}) })
	if _, ok := m.ways.Get(t); ok {
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
	w, ok := m.ways.Get(t)
	if !ok {
		return
	}
	if a, ok := m.asked.Get(w.asked); ok {
		m.send(a.to, Withdraw{ID: m.caller.MessageID(w.asked)})
		m.asked.Take(w.asked)
		delete(m.open, w.asked)
	}
	shot := w.shot
	m.end(w, Piece{Kind: PieceBreak})
	if _, ok := m.shots.Get(shot); ok {
		m.out.Cancels = append(m.out.Cancels, uint64(shot))
		m.endShot(now, shot, Event{Kind: EventBroken})
	}
}

func (m *Machine) begin(now time.Duration, q Inquiry, passed bool, give func(p Piece)) slab.Ticket {
	if q.Budget <= 0 {
		q.Budget = m.params.Budget
	}
	w := &way{inquiry: q, until: now + q.Budget, give: give, passed: passed, ran: verdict.NotExecuted}
	w.ticket = m.ways.Put(w)
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
		v.RetryAfter = m.params.Core.PullInterval
	}
	if w.ran != verdict.NotExecuted && v.Ran == verdict.NotExecuted {
		v.Ran = verdict.MaybeExecuted
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

func late(ran verdict.Execution) verdict.Verdict {
	return verdict.Refused(verdict.Refusal{Check: "budget", Code: "budget_passed", Reason: "the inquiry's budget has passed", Status: 504, Ran: ran})
}

// enter is the first step of every inquiry: whose it is, then the breaker.
func (m *Machine) enter(now time.Duration, w *way) {
	q := &w.inquiry
	if m.description == nil {
		m.refuse(w, unsure("no configuration has come yet"))
		return
	}
	tenant, role, ok := m.description.TenantAndRole(q.Key)
	if !ok {
		m.refuse(w, denied("unknown_key", "the key is not known, or was revoked", 401))
		return
	}
	w.tenant, w.role, w.keySum = tenant, role, configuration.KeyDigest(q.Key)
	if m.leaving && w.passed && !m.termed(now) {
		m.refuse(w, denied(notOwner, "this node has left", 503))
		return
	}
	if !m.termed(now) {
		m.refuse(w, verdict.RetryLater("term", "this node's term is not in force", m.params.Core.MemberLease/4))
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
		m.refuse(w, verdict.RetryLater("node", "this node leaves; ask another", m.params.Core.PullInterval))
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
		EndedNode: proof.EndedNode, EndedIncarnation: proof.EndedIncarnation}
	key := c.Tenant + "/" + c.ID
	m.caller.Call(now, c, m.patient(now, w), func(now time.Duration, o core.Outcome) {
		p, ok := o.Answer.(core.ProgramResult)
		owner := core.Member{ID: p.Record.Node, Incarnation: p.Record.Incarnation, Peer: p.Record.Address}
		switch {
		case w.over:
		case !ok || c.Incarnation != m.incarnation:
			m.refuse(w, unsure("the program's owner could not be found out in time"))
		case p.Expired:
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
		case m.hasEnded(owner.ID, owner.Incarnation) && c.EndedIncarnation != owner.Incarnation:
			m.claim(now, w, core.ClaimProgram{EndedNode: owner.ID, EndedIncarnation: owner.Incarnation})
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

func (m *Machine) patience() time.Duration { return patientRetries * m.params.Core.AttemptTimeout }

func (m *Machine) hold(now time.Duration, p core.ProgramResult) *held {
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
		s, ok := m.shots.Get(t)
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
