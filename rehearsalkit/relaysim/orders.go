package relaysim

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/rule/route"
)

// order is one table as an operator sends it, possibly several times.
type order struct {
	*Table
	refusedAt time.Duration
	// amendment is nil for a whole table.
	amendment *route.Amendment
	// ackedIndex is how many orders had been acknowledged before this one.
	ackedIndex int
}

type tableRead struct {
	started, ended time.Duration
	registry       string
	number         uint64
	text           []byte
}

// orderHistory is what operators know of their orders and reads, and all their calls.
type orderHistory struct {
	world    *World
	findings *Findings
	// answerLoss is the fraction of answers to orders that are lost on the way to the operator.
	answerLoss    float64
	answerTimeout time.Duration
	// resends is keyed by the number of orders acknowledged in between.
	resends resendTable
	orders  []*order
	acked   []*order
	reads   []tableRead
	calls   []*registryCall
	// newestSeen is the highest table number acknowledged or read back.
	newestSeen uint64
}

// answerTimeout is the callers' default; it is longer than a registry's own timeout.
const answerTimeout = 5 * time.Second

func newOrderHistory(w *World, findings *Findings) *orderHistory {
	return &orderHistory{world: w, findings: findings, answerTimeout: answerTimeout, resends: resendTable{}}
}

// amend turns an order into an amendment of its base.
func (o *order) amend(base []byte) {
	current, faults := route.Parse(base)
	next, more := route.Parse(o.Text)
	if faults != nil || more != nil {
		return
	}
	d := route.Compare(current, "", next, "")
	a := &route.Amendment{Number: o.Number, Set: route.SetItems{Routes: d.Routes, Services: d.Services, Tenants: d.Tenants},
		Remove: route.RemovedNames{Services: d.RemovedServices, Tenants: d.RemovedTenants}}
	for _, removed := range d.RemovedRoutes {
		a.Remove.Routes = append(a.Remove.Routes, removed.Prefix)
	}
	if joined, faults := a.Apply(current); faults == nil {
		o.amendment, o.Text = a, joined.JSONWithoutSource()
	}
}

func (o *order) apply(reg Registry, now time.Duration, ticket uint64) registry.Output {
	if o.amendment == nil {
		return reg.Apply(now, ticket, o.Base, o.Text, registry.Digest(o.Text))
	}
	return reg.Amend(now, ticket, registry.Amendment{
		Base:   o.Base,
		Number: o.Number,
		Digest: registry.AmendmentDigest(o.Text),
		Apply:  registry.ApplyAmendment(*o.amendment),
	})
}

func (b *orderHistory) beginCall(kind string, at *process) *registryCall {
	c := &registryCall{kind: kind, registry: at, incarnation: at.incarnation, started: b.world.now, ended: -1}
	b.calls = append(b.calls, c)
	return c
}

func (b *orderHistory) endCall(c *registryCall, conclusive bool) {
	if c.ended < 0 {
		c.ended, c.conclusive = b.world.now, conclusive
	}
}

// call calls a registry. done receives nil after the answer timeout if the answer is lost.
func (b *orderHistory) call(
	kind string, at *process,
	step func(reg Registry, now time.Duration, ticket uint64) registry.Output,
	conclusive func(body any) bool, done func(body any),
) {
	w := b.world
	finished := false
	finish := func(body any) {
		if !finished {
			finished = true
			done(body)
		}
	}
	w.after(w.delay(), func() {
		at.do(func() {
			c := b.beginCall(kind, at)
			at.lastTicket++
			at.pendingCalls[at.lastTicket] = func(body any) {
				b.endCall(c, conclusive(body))
				lost := (kind == callOrder || kind == callResend) && w.chance(b.answerLoss)
				if !lost {
					w.after(w.delay(), func() { finish(body) })
				}
			}
			at.applyRegistryOutput(step(at.registry, at.now(), at.lastTicket))
		})
	})
	w.after(b.answerTimeout, func() { finish(nil) })
}

func (b *orderHistory) send(o *order, at *process, done func(result registry.OrderResult)) {
	kind := callResend
	if o.SentAt == 0 {
		kind, o.SentAt = callOrder, b.world.now
		b.orders = append(b.orders, o)
		b.world.Record.Tables = append(b.world.Record.Tables, o.Table)
	}
	step := func(reg Registry, now time.Duration, ticket uint64) registry.Output {
		return o.apply(reg, now, ticket)
	}
	conclusive := func(body any) bool { result, ok := body.(registry.OrderResult); return ok && !result.Uncertain }
	b.call(kind, at, step, conclusive, func(body any) {
		result, ok := body.(registry.OrderResult)
		if !ok {
			result.Uncertain = true
		}
		b.recordAnswer(o, at, result)
		done(result)
	})
}

// recordAnswer checks an answer against earlier ones to the same order.
func (b *orderHistory) recordAnswer(o *order, at *process, result registry.OrderResult) {
	w := b.world
	if o.Acked {
		b.resends.add(len(b.acked)-o.ackedIndex, result)
	}
	switch {
	case result.Uncertain:
		w.Counts["orders answered unclear"]++
	case result.Accepted:
		if o.Refused {
			b.findings.breach(RuleAcceptedNotRefused,
				"order %d on %d was refused at %v and is acknowledged at %v by %s",
				o.Number, o.Base, o.refusedAt, w.now, at.id)
		}
		if !o.Acked {
			w.Counts["orders acknowledged"]++
			w.logf("order %d on %d acknowledged by %s", o.Number, o.Base, at.id)
			o.Acked, o.AckedAt, o.ackedIndex = true, w.now, len(b.acked)
			b.acked = append(b.acked, o)
			b.newestSeen = max(b.newestSeen, o.Number)
		} else {
			w.Counts["orders acknowledged again"]++
		}
	default:
		if o.Acked {
			b.findings.breach(RuleAcceptedNotRefused,
				"order %d on %d was acknowledged at %v, and is refused %d orders later at %v by %s (race %v, in force %d)",
				o.Number, o.Base, o.AckedAt, len(b.acked)-o.ackedIndex, w.now, at.id, result.RaceLost, result.Number)
		}
		if !o.Refused {
			w.Counts["orders refused"]++
			w.logf("order %d on %d refused by %s: race lost %v, in force %d", o.Number, o.Base, at.id, result.RaceLost, result.Number)
			o.Refused, o.refusedAt = true, w.now
		}
	}
}

// sendUntilAnswered tries random registries until the answer is conclusive or time is up.
func (b *orderHistory) sendUntilAnswered(o *order, until time.Duration, done func()) {
	w := b.world
	b.send(o, w.anyRegistry(), func(result registry.OrderResult) {
		switch {
		case !result.Uncertain || o.Acked:
			done()
		case w.now > until:
			w.Counts["orders without a clear answer"]++
			done()
		default:
			w.after(w.between(50*time.Millisecond, 300*time.Millisecond), func() { b.sendUntilAnswered(o, until, done) })
		}
	})
}

func (b *orderHistory) read(at *process, done func(t core.CurrentTable, ok bool)) {
	w := b.world
	started, newest := w.now, b.newestSeen
	step := func(reg Registry, now time.Duration, ticket uint64) registry.Output { return reg.Read(now, ticket) }
	conclusive := func(body any) bool { t, ok := body.(core.CurrentTable); return ok && t.Number > 0 }
	b.call(callRead, at, step, conclusive, func(body any) {
		t, _ := body.(core.CurrentTable)
		if t.Number == 0 {
			done(t, false)
			return
		}
		if t.Number < newest {
			b.findings.breach(RuleNewestTable,
				"%s read back table %d, from %v to %v, and %d had been told before",
				at.id, t.Number, started, w.now, newest)
		}
		b.newestSeen = max(b.newestSeen, t.Number)
		b.reads = append(b.reads, tableRead{started: started, ended: w.now, registry: at.id, number: t.Number, text: t.Text})
		done(t, true)
	})
}

func (b *orderHistory) applyFirstTable() {
	b.sendUntilAnswered(&order{Table: b.world.newTable(0, 1, 0)}, b.world.now+time.Minute, func() {})
}

// orderGenerator sends orders one after the other, each based on the table that it has read.
type orderGenerator struct {
	history *orderHistory
	pause   func() time.Duration
	// rivalRate is the probability of a concurrent order on the same base, half of the time with
	// the same number too.
	rivalRate float64
	// amendmentRate is the fraction of orders that are amendments.
	amendmentRate float64
	stopped       func() bool
}

func (r *orderGenerator) run() {
	b, w := r.history, r.history.world
	next := func() { w.after(r.pause(), r.run) }
	if r.stopped() {
		return
	}
	b.read(w.anyRegistry(), func(t core.CurrentTable, ok bool) {
		if !ok {
			next()
			return
		}
		newOrder := &order{Table: w.newTable(t.Number, t.Number+1+uint64(w.random.IntN(3)), 0)}
		if w.chance(r.amendmentRate) {
			w.Counts["amendments handed over"]++
			newOrder.amend(t.Text)
		}
		until := w.now + 20*time.Second
		b.sendUntilAnswered(newOrder, until, next)
		if w.chance(r.rivalRate) {
			number := newOrder.Number
			if w.chance(0.5) {
				number = t.Number + 1 + uint64(w.random.IntN(3))
			}
			rival := &order{Table: w.newTable(t.Number, number, 0)}
			if w.chance(r.amendmentRate) {
				rival.amend(t.Text)
			}
			w.after(w.between(0, 20*time.Millisecond), func() { b.sendUntilAnswered(rival, until, func() {}) })
		}
	})
}

// resend sends an acknowledged order again, unchanged; with positive memory, one of the last
// memory orders.
func (b *orderHistory) resend(at *process, memory int) {
	from := 0
	if memory > 0 {
		from = max(0, len(b.acked)-memory)
	}
	if len(b.acked) == 0 {
		return
	}
	o := b.acked[from+b.world.random.IntN(len(b.acked)-from)]
	b.send(o, at, func(result registry.OrderResult) {})
}
