package relaysim

import (
	"bytes"
	"time"
)

// Rules on orders and the control side. The values are printed with each breach.
const (
	RuleAcceptedNotRefused = "a taken order is never refused"
	RuleRefusedByRace      = "only what lost its race is refused"
	RuleNewestTable        = "no older table is told as the newest"
	RuleCallBound          = "calls at a live desk end in time"
	RuleIsolatedRegistry   = "a desk that nobody hears takes no heartbeat"
	RuleRetirement         = "no retirement is done before copies stand elsewhere"
	RuleGroupSize          = "groups get their size again in time"
	RuleLeaderCurrent      = "who was away leads only once it has what is agreed"
	RuleCatchUpBytes       = "who was away catches up with bounded bytes"
	RuleGrowth             = "logs, states and memory stay bounded"
	RuleFleetRecovery      = "the fleet is whole again in time"
)

// answerBound is what an answer may take beyond the call's own timeout.
const answerBound = 250 * time.Millisecond

func (b *orderHistory) judge(inForce tableRead) {
	chain := b.chain(inForce)
	for _, o := range b.orders {
		if o.Acked && !chain[o] {
			b.findings.breach(RuleDurable,
				"order %d on %d (%s) was acknowledged at %v and is not below table %d, in force at the end",
				o.Number, o.Base, o.ID, o.AckedAt, inForce.number)
		}
		if o.Refused && chain[o] {
			b.findings.breach(RuleAcceptedNotRefused,
				"order %d on %d (%s) was refused at %v and had been taken",
				o.Number, o.Base, o.ID, o.refusedAt)
		}
		if o.Refused && !chain[o] && !b.hadRival(o) {
			b.findings.breach(RuleRefusedByRace,
				"order %d on %d was refused at %v, and no other had been sent on its base",
				o.Number, o.Base, o.refusedAt)
		}
	}
	onBase := map[uint64]*order{}
	for _, o := range b.acked {
		if other := onBase[o.Base]; other != nil {
			b.findings.breach(RuleTableRace,
				"orders %d (%s) and %d (%s) were both acknowledged on base %d",
				other.Number, other.ID, o.Number, o.ID, o.Base)
		}
		onBase[o.Base] = o
	}
	b.judgeCalls()
}

// chain is the set of orders that were in force, found by following the bases from the last one.
// Every base was read back before, so its text is known.
func (b *orderHistory) chain(inForce tableRead) map[*order]bool {
	byText := map[string]*order{}
	for _, o := range b.orders {
		byText[string(o.Text)] = o
	}
	texts := map[uint64][]byte{}
	for _, read := range append(b.reads, inForce) {
		if known, ok := texts[read.number]; ok && !bytes.Equal(known, read.text) {
			b.findings.breach(RuleNewestTable,
				"table %d was read back with two texts, the second time at %s, %v",
				read.number, read.registry, read.ended)
		}
		texts[read.number] = read.text
	}
	chain := map[*order]bool{}
	for number := inForce.number; number > 0; {
		o := byText[string(texts[number])]
		if o == nil || o.Number != number || chain[o] {
			b.findings.breach(RuleDurable,
				"table %d, below table %d in force at the end, is not what was sent under its number",
				number, inForce.number)
			break
		}
		chain[o] = true
		number = o.Base
	}
	return chain
}

// hadRival reports whether another order on the same base was sent before the refusal.
func (b *orderHistory) hadRival(o *order) bool {
	for _, other := range b.orders {
		if other != o && other.Base == o.Base && other.SentAt < o.refusedAt {
			return true
		}
	}
	return false
}

func (b *orderHistory) judgeCalls() {
	for _, c := range b.calls {
		bound := answerBound
		switch c.kind {
		case callOrder, callResend, callRead, callRetire, callStatus:
			bound += b.world.registryParams().OperationTimeout
		case callLeave:
			bound += b.world.registryParams().DepartureTimeout()
		}
		took := c.ended - c.started
		if c.ended < 0 {
			took = b.world.now - c.started
		}
		if !c.interrupted() && took > bound {
			b.findings.breach(RuleCallBound, "%s at %s, begun at %v, took %v", c.kind, c.registry.id, c.started, took)
		}
	}
}
