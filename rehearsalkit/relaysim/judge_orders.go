package relaysim

import (
	"bytes"
	"time"
)

// Names of the rules for orders and the control side.
const (
	RuleTaken      = "a taken order is never refused"
	RuleRefused    = "only what lost its race is refused"
	RuleNewest     = "no older table is told as the newest"
	RuleAnswered   = "calls at a live desk end in time"
	RuleUnheard    = "a desk that nobody hears takes no heartbeat"
	RuleRetired    = "no retirement is done before copies stand elsewhere"
	RuleRestored   = "groups get their size again in time"
	RuleBehind     = "who was away leads only once it has what is agreed"
	RuleBytes      = "who was away catches up with bounded bytes"
	RuleGrowth     = "logs, states and memory stay bounded"
	RuleWholeAgain = "the fleet is whole again in time"
)

// answerBound is how long after a call's own bound its answer may come.
const answerBound = 250 * time.Millisecond

// judge looks for broken rules of orders, given the table in force at the end.
func (b *orderBook) judge(inForce tableRead) {
	chain := b.chain(inForce)
	for _, o := range b.orders {
		if o.IsAcked && !chain[o] {
			b.findings.breach(RuleLost, "order %d on %d (%s) was acknowledged at %v and is not below table %d, in force at the end", o.Number, o.Base, o.Mark, o.Acked, inForce.number)
		}
		if o.Refused && chain[o] {
			b.findings.breach(RuleTaken, "order %d on %d (%s) was refused at %v and had been taken", o.Number, o.Base, o.Mark, o.refusedAt)
		}
		if o.Refused && !chain[o] && !b.hadRival(o) {
			b.findings.breach(RuleRefused, "order %d on %d was refused at %v, and no other had been sent on its base", o.Number, o.Base, o.refusedAt)
		}
	}
	onBase := map[uint64]*order{}
	for _, o := range b.acked {
		if other := onBase[o.Base]; other != nil {
			b.findings.breach(RuleRace, "orders %d (%s) and %d (%s) were both acknowledged on base %d", other.Number, other.Mark, o.Number, o.Mark, o.Base)
		}
		onBase[o.Base] = o
	}
	b.judgeCalls()
}

// chain is the orders that have been in force, one on the other, up to the last.
// What an order is based on was read back before, so the text of each is known.
func (b *orderBook) chain(inForce tableRead) map[*order]bool {
	byText := map[string]*order{}
	for _, o := range b.orders {
		byText[string(o.Text)] = o
	}
	texts := map[uint64][]byte{}
	for _, read := range append(b.reads, inForce) {
		if known, ok := texts[read.number]; ok && !bytes.Equal(known, read.text) {
			b.findings.breach(RuleNewest, "table %d was read back with two texts, the second time at %s, %v", read.number, read.desk, read.ended)
		}
		texts[read.number] = read.text
	}
	chain := map[*order]bool{}
	for number := inForce.number; number > 0; {
		o := byText[string(texts[number])]
		if o == nil || o.Number != number || chain[o] {
			b.findings.breach(RuleLost, "table %d, below table %d in force at the end, is not what was sent under its number", number, inForce.number)
			break
		}
		chain[o] = true
		number = o.Base
	}
	return chain
}

// hadRival reports whether another order on the same base was sent before an
// order was refused.
func (b *orderBook) hadRival(o *order) bool {
	for _, other := range b.orders {
		if other != o && other.Base == o.Base && other.Sent < o.refusedAt {
			return true
		}
	}
	return false
}

// judgeCalls wants every call at a live desk to have ended in time.
func (b *orderBook) judgeCalls() {
	for _, c := range b.calls {
		bound := answerBound
		switch c.kind {
		case callOrder, callOrderAgain, callRead, callRetire, callStatus:
			bound += b.world.deskParams().OperationTimeout
		case callLeave:
			bound += b.world.deskParams().DepartureTimeout()
		}
		took := c.ended - c.at
		if c.ended < 0 {
			took = b.world.now - c.at
		}
		if !c.lost() && took > bound {
			b.findings.breach(RuleAnswered, "%s at %s, begun at %v, took %v", c.kind, c.desk.id, c.at, took)
		}
	}
}
