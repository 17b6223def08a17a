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
	stateEnding    = "ending"
)

// way is one request on its way through this node.
type way struct {
	ticket uint64
	ask    Ask
	// table is the one that the request came under: it is served by that one to
	// its end.
	table    *route.Table
	route    *route.Route
	tenant   *route.Tenant
	service  string
	state    string
	arrived  time.Duration
	until    time.Duration
	patience time.Duration
	attempts
	at     *replicaRecord
	sentTo string
	waited time.Duration
	events int64
	begun  bool
	ran    bool
	ended  bool
	// underWay: a replica has it, and has not been heard of.
	underWay bool

	payment
	// admitted: all but the rate is there.
	admitted bool

	booking
	fetching bool
	former   *turn
	// overdue: it was found to be held beyond its time.
	overdue bool
}

// attempts are a request's sendings to replicas.
type attempts struct {
	tried map[string]bool
	// sendings counts the replicas that it was sent to; unrun those of them that surely
	// did not run it.
	sendings, unrun int64
	// unreached counts those of unrun that no connection came up to, or whose address
	// another replica had.
	unreached int64
	sentAt    time.Duration
	// sentToRoom: the replica had room, as far as was known.
	sentToRoom bool
}

// booking is what a turn has in its program's books.
type booking struct {
	reserving bool
	reserved  bool
	refused   bool
	// reservation is this node's own name of it.
	reservation string
}

// Arrive takes a request that came whole. Its first step comes in a return.
func (m *Machine) Arrive(now time.Duration, ticket uint64, a Ask) Output {
	m.out = &Output{}
	m.Counters.Requests++
	w := &way{ticket: ticket, ask: a, state: stateAdmitting, arrived: now, attempts: attempts{tried: map[string]bool{}}}
	m.live[ticket] = w
	if m.table == nil {
		// A node that has just come waits for its first table.
		w.patience = now + m.params.Beat
		if a.Left != 0 {
			w.patience = min(w.patience, now+max(a.Left/2, 0))
		}
		m.early = append(m.early, w)
		return *m.out
	}
	m.enter(now, w)
	return *m.out
}

// enter checks a request against the table in force.
func (m *Machine) enter(now time.Duration, w *way) {
	a := w.ask
	w.table = m.table
	limits := m.table.Limits
	switch {
	case a.HeadBytes > limits.HeaderBytes:
		m.refuse(now, w, CauseHeadTooLarge)
		return
	case a.BodyBytes > limits.BodyBytes:
		m.refuse(now, w, CauseBodyTooLarge)
		return
	}
	var ok bool
	if w.route, ok = m.table.Match(a.Host, a.Path); !ok {
		m.refuseUnknown(now, w, CauseUnknownRoute)
		return
	}
	if m.table.KeyRequired && a.HasKey {
		w.tenant, _ = m.table.TenantByKey(a.Key)
	}
	if m.table.KeyRequired && w.tenant == nil && !w.route.Public {
		m.refuseUnknown(now, w, CauseUnknownKey)
		return
	}
	left := time.Duration(w.route.TimeoutMS * float64(time.Millisecond))
	if a.Left != 0 {
		left = min(left, a.Left)
	}
	left -= now - w.arrived
	if left <= 0 {
		m.refuse(now, w, CauseDeadline)
		return
	}
	if len(m.live) > m.params.Buffer {
		m.refuse(now, w, CauseNodeFull)
		return
	}
	w.until = now + left
	w.patience = now + left/2
	w.service = w.route.PickService(m.random())
	if m.overloaded(now, w) {
		return
	}
	m.rateOf(now, w)
}

// admitted goes on with a request that its tenant's rate allows: its budget is
// reserved and its history read, both at once.
func (m *Machine) admitted(now time.Duration, w *way) {
	if w.route.Mode == route.Stream {
		m.Counters.Turns++
		if w.ask.Program != "" && w.ask.Budget > 0 {
			m.reserve(now, w)
		}
		if w.route.KeepHistory && w.ask.Previous != "" {
			m.fetch(now, w)
		}
	}
	if w.needsCores() && !w.ended && m.cutOff(now) {
		m.refuseCutOff(now, w)
		return
	}
	m.proceed(now, w)
}

func (m *Machine) tenantName(w *way) string {
	if w.tenant == nil {
		return ""
	}
	return w.tenant.Name
}

// proceed sends a request once all that it waits for is there.
func (m *Machine) proceed(now time.Duration, w *way) {
	if w.ended || w.state != stateAdmitting || w.reserving || w.fetching || w.refused {
		return
	}
	m.dispatch(now, w)
}

// triesOf is how many of the tries that its route allows a request has used. One that
// surely did not run costs none where such are sent on; otherwise only one that reached
// no replica costs none, for a few times.
func (m *Machine) triesOf(w *way) int64 {
	if m.params.ResendUnrun {
		return w.sendings - w.unrun
	}
	if w.unreached > 4*w.route.Tries+4 {
		return w.route.Tries
	}
	return w.sendings - w.unreached
}

// dispatch sends a request to the next replica, or ends it.
func (m *Machine) dispatch(now time.Duration, w *way) {
	switch {
	case now >= w.until:
		m.refuse(now, w, CauseDeadline)
		return
	case m.triesOf(w) >= w.route.Tries:
		m.refuse(now, w, CauseTriesSpent)
		return
	}
	if !m.paysToSend(now, w) {
		return
	}
	s := m.choose(now, w)
	if s == nil && w.state == stateAdmitting && len(m.serviceOf(w.service).estimates) == 0 && now < w.patience {
		// Nobody has said yet which replicas there are.
		m.parked = append(m.parked, w)
		return
	}
	if s == nil {
		m.refuse(now, w, CauseNoReplica)
		return
	}
	w.tried[s.listed.ID] = true
	w.sendings++
	if w.sentTo == "" {
		w.waited = now - w.arrived
	}
	w.at, w.sentTo, w.state, w.underWay = s, s.listed.ID, stateSent, true
	m.checkSending(w)
	m.sent(now, w, s)
	m.Counters.Sent++
	step := Step{Kind: StepSend, Replica: s.listed, Service: w.service, Tenant: m.tenantName(w), Urgency: w.urgency(), Kept: w.route.KeepHistory && w.route.Mode == route.Stream,
		Stream: w.route.Mode == route.Stream, Resumable: w.route.Retryable() && w.route.Mode == route.Stream, Within: w.until - now}
	if w.former != nil {
		step.Before = w.former.said()
	}
	m.step(w, step)
}

func (m *Machine) step(w *way, s Step) {
	m.out.Returns = append(m.out.Returns, Return{Ticket: w.ticket, Step: s})
}

// Came takes what became of a sending.
func (m *Machine) Came(now time.Duration, ticket uint64, o Outcome) Output {
	m.out = &Output{}
	w, ok := m.live[ticket]
	if !ok {
		return *m.out
	}
	if w.state != stateSent {
		if o.Gone {
			m.gone(now, w)
		}
		return *m.out
	}
	m.came(now, w, o)
	w.underWay = false
	w.events += o.Events
	w.begun = w.begun || o.Begun
	if o.Cold {
		m.Counters.NewConnections++
	}
	if o.Kind != NotRun {
		w.ran, w.covered = true, false
	}
	if o.Gone {
		m.gone(now, w)
		return *m.out
	}
	switch o.Kind {
	case Whole:
		m.Counters.Whole++
		m.whole(now, w, o)
	case NotRun:
		m.Counters.NotRun++
		w.unrun++
		if o.Unreached || o.Moved {
			w.unreached++
		}
		m.Counters.Resent++
		if w.begun {
			m.broken(now, w)
			return *m.out
		}
		m.dispatch(now, w)
	default:
		m.Counters.Broken++
		m.broken(now, w)
	}
	return *m.out
}

// broken goes on elsewhere where the request may run again, and else says that
// it may have run.
func (m *Machine) broken(now time.Duration, w *way) {
	may := w.route.Retryable() && m.triesOf(w) < w.route.Tries && now < w.until
	if w.begun && w.route.Mode != route.Stream {
		may = false
	}
	if may && w.paid && w.pace != nil {
		// It may have run: another run is another request of the tenant's.
		if w.pace.births == w.paidBirth && w.pace.free(now) > 0 {
			m.pay(now, w)
		} else {
			may = false
		}
	}
	if may {
		m.Counters.Resumed++
		m.dispatch(now, w)
		return
	}
	m.breakOff(now, w, CauseReplicaBroke)
}

// whole ends a request that was answered whole. A kept turn is durable first.
func (m *Machine) whole(now time.Duration, w *way, o Outcome) {
	switch {
	case o.Failed:
		m.end(now, w, CauseReplicaError, Step{Kind: StepPass, Status: o.Status})
		return
	case !w.route.KeepHistory || w.route.Mode != route.Stream:
		m.end(now, w, CauseServed, Step{Kind: StepPass})
		return
	}
	w.state = stateEnding
	keep := 2 * m.owedFor(w)
	waiting, failed := 1, false
	fresh := &turn{attempt: w.ask.Attempt, tenant: m.tenantName(w), former: w.former, input: w.ask.Input, output: o.Output, until: now + keep}
	done := func(at time.Duration, o core.Outcome) {
		d, ok := o.Answer.(core.Done)
		failed = failed || !ok || !d.OK
		if waiting--; waiting > 0 {
			return
		}
		if failed {
			m.breakOff(at, w, CauseNotKept)
			return
		}
		m.cache.put(fresh)
		m.keptHere.add(fresh.name(), now+m.owedFor(w))
		m.end(at, w, CauseServed, Step{Kind: StepPass})
	}
	c := core.StoreTurn{Tenant: fresh.tenant, Attempt: fresh.attempt, Input: fresh.input, Output: fresh.output, Retention: keep}
	if w.former != nil {
		c.Previous = w.former.names()
	}
	// A turn is kept with all before it: those that would go before it are
	// prolonged.
	var old []*turn
	for at := w.former; at != nil; at = at.former {
		if at.until < now+keep*5/8 {
			old = append(old, at)
		}
	}
	waiting += len(old)
	m.settle(now, w, m.tokens(w))
	m.caller.Call(now, c, max(w.until, now+m.params.Core.MemberLease), done)
	for _, at := range old {
		m.caller.Call(now, core.ExtendTurn{Tenant: at.tenant, Attempt: at.attempt, Retention: keep}, max(w.until, now+m.params.Core.MemberLease), func(when time.Duration, o core.Outcome) {
			if d, ok := o.Answer.(core.Done); ok && d.OK {
				at.until = max(at.until, now+keep)
			}
			done(when, o)
		})
	}
}

// owedFor is for how long a kept turn is owed to its requester. It is kept for twice that
// time, so that those before it, which are prolonged in time, outlive it.
func (m *Machine) owedFor(w *way) time.Duration {
	return time.Duration(w.route.KeepSeconds * float64(time.Second))
}

func (m *Machine) tokens(w *way) int64 {
	per := int64(1)
	if s, ok := w.table.Service(w.service); ok {
		per = s.TokensPerEvent
	}
	return w.events * per
}

// refuse ends a request that has not run. What may have run is never refused: it is
// broken off.
func (m *Machine) refuse(now time.Duration, w *way, cause Cause) {
	m.refuseFor(now, w, cause, 0)
}

// refuseFor is refuse with a time to come back that the cause alone does not tell.
func (m *Machine) refuseFor(now time.Duration, w *way, cause Cause, retry time.Duration) {
	if w.ran {
		m.breakOff(now, w, cause)
		return
	}
	v := verdicts[cause]
	if retry == 0 {
		retry = time.Duration(v.retries * float64(m.params.Core.AttemptTimeout))
	}
	m.end(now, w, cause, Step{Kind: StepRefuse, Status: v.status, Check: v.check, Reason: v.reason, RetryAfter: retry})
}

// breakOff ends a request that may have run, and promises nothing.
func (m *Machine) breakOff(now time.Duration, w *way, cause Cause) {
	v := verdicts[cause]
	s := Step{Kind: StepBreak, Status: v.status, Check: v.check, Reason: v.reason}
	if s.Status != statusGone {
		s.Status = verdicts[CauseReplicaBroke].status
	}
	m.end(now, w, cause, s)
}

func (m *Machine) end(now time.Duration, w *way, cause Cause, s Step) {
	if w.ended {
		return
	}
	w.ended = true
	if _, live := m.live[w.ticket]; !live {
		m.violated.Violated(invariant.EndedOnce, "attempt %s ends by %s and is not under way", w.ask.Attempt, cause)
	}
	if s.Kind == StepRefuse && (w.ran || w.underWay) {
		m.violated.Violated(invariant.RefusedNeverRan, "attempt %s is refused by %s; ran %v, under way %v", w.ask.Attempt, cause, w.ran, w.underWay)
	}
	delete(m.live, w.ticket)
	if !w.ran {
		m.unpay(w)
	}
	m.settle(now, w, m.tokensOf(w))
	m.note(now, w, cause, s)
	m.step(w, s)
}

// checkSending looks at a request that is about to be sent to a replica.
func (m *Machine) checkSending(w *way) {
	switch {
	case w.ran && !w.route.Retryable():
		m.violated.Violated(invariant.RunsOnce, "attempt %s on route %s may have run and goes to %s", w.ask.Attempt, w.route.Name, w.sentTo)
	case m.triesOf(w) > w.route.Tries:
		m.violated.Violated(invariant.AttemptsWithinRoute, "attempt %s goes to replica %d; route %s allows %d", w.ask.Attempt, w.sendings, w.route.Name, w.route.Tries)
	case w.pace != nil && !w.covered:
		m.violated.Violated(invariant.GrantedBeforeSent, "attempt %s of tenant %s goes to %s unpaid", w.ask.Attempt, w.tenant.Name, w.sentTo)
	case w.route.Mode == route.Stream && w.ask.Program != "" && w.ask.Budget > 0 && !w.reserved:
		m.violated.Violated(invariant.ReservedBeforeSent, "attempt %s of program %s goes to %s without a reservation", w.ask.Attempt, w.ask.Program, w.sentTo)
	case m.left.has(w.sentTo):
		m.violated.Violated(invariant.LeavingNeverChosen, "attempt %s goes to %s, which leaves", w.ask.Attempt, w.sentTo)
	}
}

func (m *Machine) tokensOf(w *way) int64 {
	if w.events == 0 {
		return 0
	}
	return m.tokens(w)
}

// Gone takes that nobody waits for a request any more.
func (m *Machine) Gone(now time.Duration, ticket uint64) Output {
	m.out = &Output{}
	if w, ok := m.live[ticket]; ok && w.state != stateSent {
		m.gone(now, w)
	}
	return *m.out
}

func (m *Machine) gone(now time.Duration, w *way) {
	m.breakOff(now, w, CauseRequesterGone)
}
