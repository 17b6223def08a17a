package relaysim

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
	"saffronfall/rule/route"
)

// order is one table as an operator hands it over, again and again where need
// be.
type order struct {
	*Table
	refusedAt time.Duration
	// amendment is how the order is worded, where it is no whole table.
	amendment *route.Amendment
	// ackedAs is how many orders had been acknowledged when this one was.
	ackedAs int
}

// tableRead is one read-back that got a table.
type tableRead struct {
	began, ended time.Duration
	desk         string
	number       uint64
	text         []byte
}

// orderBook is what operators know of their orders and read-backs, and all calls
// that they made.
type orderBook struct {
	world    *World
	findings *Findings
	// lost is the part of answers to orders that get lost between desk and operator.
	lost float64
	// patience is after how long an operator no longer waits for an answer.
	patience time.Duration
	// later counts the answers to orders handed over again, by how many orders
	// were acknowledged in between.
	later  laterTable
	orders []*order
	acked  []*order
	reads  []tableRead
	calls  []*deskCall
	// newest is the highest number acknowledged, or read back.
	newest uint64
}

// patience is after how long an operator mostly no longer waits for an answer:
// longer than a desk may take.
const patience = 5 * time.Second

func newOrderBook(w *World, f *Findings) *orderBook {
	return &orderBook{world: w, findings: f, patience: patience, later: laterTable{}}
}

// amend words an order as an amendment of the table that it builds on.
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

// hand hands an order over at a desk.
func (o *order) hand(d Desk, now time.Duration, ticket uint64) desk.Output {
	if o.amendment == nil {
		return d.Apply(now, ticket, o.Base, o.Text, desk.Digest(o.Text))
	}
	return d.Amend(now, ticket, desk.Amendment{Base: o.Base, Number: o.Number, Digest: desk.AmendmentDigest(o.Text), Apply: desk.ApplyAmendment(*o.amendment)})
}

// begin notes a call that has just reached a desk.
func (b *orderBook) begin(kind string, at *process) *deskCall {
	c := &deskCall{kind: kind, desk: at, life: at.life, at: b.world.now, ended: -1}
	b.calls = append(b.calls, c)
	return c
}

func (b *orderBook) end(c *deskCall, clear bool) {
	if c.ended < 0 {
		c.ended, c.clear = b.world.now, clear
	}
}

// call makes a call at a desk. Its answer may get lost; then done is called with
// nil after the operator's patience.
func (b *orderBook) call(kind string, at *process, step func(d Desk, now time.Duration, ticket uint64) desk.Output, clear func(body any) bool, done func(body any)) {
	w := b.world
	over := false
	finish := func(body any) {
		if !over {
			over = true
			done(body)
		}
	}
	w.after(w.delay(), func() {
		at.do(func() {
			c := b.begin(kind, at)
			at.next++
			at.calls[at.next] = func(body any) {
				b.end(c, clear(body))
				lost := (kind == callOrder || kind == callOrderAgain) && w.chance(b.lost)
				if !lost {
					w.after(w.delay(), func() { finish(body) })
				}
			}
			at.takeDesk(step(at.desk, at.now(), at.next))
		})
	})
	w.after(b.patience, func() { finish(nil) })
}

// send hands an order over at a desk once, and notes what is answered.
func (b *orderBook) send(o *order, at *process, done func(h desk.OrderResult)) {
	kind := callOrderAgain
	if o.Sent == 0 {
		kind, o.Sent = callOrder, b.world.now
		b.orders = append(b.orders, o)
		b.world.Record.Tables = append(b.world.Record.Tables, o.Table)
	}
	step := func(d Desk, now time.Duration, ticket uint64) desk.Output {
		return o.hand(d, now, ticket)
	}
	clear := func(body any) bool { h, ok := body.(desk.OrderResult); return ok && !h.Uncertain }
	b.call(kind, at, step, clear, func(body any) {
		h, ok := body.(desk.OrderResult)
		if !ok {
			h.Uncertain = true
		}
		b.note(o, at, h)
		done(h)
	})
}

// note judges one answer by those before.
func (b *orderBook) note(o *order, at *process, h desk.OrderResult) {
	w := b.world
	if o.IsAcked {
		b.later.add(len(b.acked)-o.ackedAs, h)
	}
	switch {
	case h.Uncertain:
		w.Counts["orders answered unclear"]++
	case h.Accepted:
		if o.Refused {
			b.findings.breach(RuleTaken, "order %d on %d was refused at %v and is acknowledged at %v by %s", o.Number, o.Base, o.refusedAt, w.now, at.id)
		}
		if !o.IsAcked {
			w.Counts["orders acknowledged"]++
			w.logf("order %d on %d acknowledged by %s", o.Number, o.Base, at.id)
			o.IsAcked, o.Acked, o.ackedAs = true, w.now, len(b.acked)
			b.acked = append(b.acked, o)
			b.newest = max(b.newest, o.Number)
		} else {
			w.Counts["orders acknowledged again"]++
		}
	default:
		if o.IsAcked {
			b.findings.breach(RuleTaken, "order %d on %d was acknowledged at %v, and is refused %d orders later at %v by %s (race %v, in force %d)", o.Number, o.Base, o.Acked, len(b.acked)-o.ackedAs, w.now, at.id, h.RaceLost, h.Number)
		}
		if !o.Refused {
			w.Counts["orders refused"]++
			w.logf("order %d on %d refused by %s: race %v, in force %d", o.Number, o.Base, at.id, h.RaceLost, h.Number)
			o.Refused, o.refusedAt = true, w.now
		}
	}
}

// settle hands an order over at any desk until the answer is clear.
func (b *orderBook) settle(o *order, until time.Duration, done func()) {
	w := b.world
	b.send(o, w.anyDesk(), func(h desk.OrderResult) {
		switch {
		case !h.Uncertain || o.IsAcked:
			done()
		case w.now > until:
			w.Counts["orders without a clear answer"]++
			done()
		default:
			w.after(w.between(50*time.Millisecond, 300*time.Millisecond), func() { b.settle(o, until, done) })
		}
	})
}

// read reads the table in force back at a desk once.
func (b *orderBook) read(at *process, done func(t core.CurrentTable, ok bool)) {
	w := b.world
	began, newest := w.now, b.newest
	step := func(d Desk, now time.Duration, ticket uint64) desk.Output { return d.Read(now, ticket) }
	clear := func(body any) bool { t, ok := body.(core.CurrentTable); return ok && t.Number > 0 }
	b.call(callRead, at, step, clear, func(body any) {
		t, _ := body.(core.CurrentTable)
		if t.Number == 0 {
			done(t, false)
			return
		}
		if t.Number < newest {
			b.findings.breach(RuleNewest, "%s read back table %d, from %v to %v, and %d had been told before", at.id, t.Number, began, w.now, newest)
		}
		b.newest = max(b.newest, t.Number)
		b.reads = append(b.reads, tableRead{began: began, ended: w.now, desk: at.id, number: t.Number, text: t.Text})
		done(t, true)
	})
}

// found hands the first table over until it is taken.
func (b *orderBook) found() {
	b.settle(&order{Table: b.world.table(0, 1, 0)}, b.world.now+time.Minute, func() {})
}

// orderer hands orders over, one after the other, each on what it has read.
type orderer struct {
	book *orderBook
	// pause is between two orders.
	pause func() time.Duration
	// rivals is how often another order on the same base is sent at the same time;
	// half of them have the same number too.
	rivals float64
	// amends is which part of the orders are amendments.
	amends float64
	over   func() bool
}

func (r *orderer) run() {
	b, w := r.book, r.book.world
	next := func() { w.after(r.pause(), r.run) }
	if r.over() {
		return
	}
	b.read(w.anyDesk(), func(t core.CurrentTable, ok bool) {
		if !ok {
			next()
			return
		}
		one := &order{Table: w.table(t.Number, t.Number+1+uint64(w.random.IntN(3)), 0)}
		if w.chance(r.amends) {
			w.Counts["amendments handed over"]++
			one.amend(t.Text)
		}
		until := w.now + 20*time.Second
		b.settle(one, until, next)
		if w.chance(r.rivals) {
			number := one.Number
			if w.chance(0.5) {
				number = t.Number + 1 + uint64(w.random.IntN(3))
			}
			rival := &order{Table: w.table(t.Number, number, 0)}
			if w.chance(r.amends) {
				rival.amend(t.Text)
			}
			w.after(w.between(0, 20*time.Millisecond), func() { b.settle(rival, until, func() {}) })
		}
	})
}

// resend hands an acknowledged order over again, as it was, at a desk. Only the
// last ones are chosen, where memory is above zero.
func (b *orderBook) resend(at *process, memory int) {
	from := 0
	if memory > 0 {
		from = max(0, len(b.acked)-memory)
	}
	if len(b.acked) == 0 {
		return
	}
	o := b.acked[from+b.world.random.IntN(len(b.acked)-from)]
	b.send(o, at, func(h desk.OrderResult) {})
}
