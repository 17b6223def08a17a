package core

import (
	"reflect"
	"time"

	"saffronfall/rule/breaker"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

func (b BreakerLimits) params() breaker.Params {
	return breaker.Params{Minute: b.Minute, Hour: b.Hour, Day: b.Day, Recovery: b.Recovery, Probes: b.Tests}
}

func (r *rules) breaker(tx *partition.Tx) (b, before breaker.Breaker) {
	b, ok := read[breaker.Breaker](tx, breakerBooks)
	if !ok {
		b = breaker.New()
	}
	before, _ = read[breaker.Breaker](tx, breakerBooks)
	return b, before
}

func (r *rules) keepBreaker(tx *partition.Tx, b, before breaker.Breaker) {
	if !reflect.DeepEqual(b, before) {
		write(tx, breakerBooks, b)
	}
	old, _ := read[BreakerNews](tx, breakerKey)
	news := BreakerNews{State: string(b.State), Trips: b.Trips, Since: b.Since, Reason: b.Reason, Clock: tx.Clock()}
	if old.State != news.State || old.Trips != news.Trips {
		write(tx, breakerKey, news)
	}
}

// BreakerNews is what nodes learn of the breaker.
type BreakerNews struct {
	State  string        `msgpack:"s"`
	Trips  int64         `msgpack:"t"`
	Since  time.Duration `msgpack:"i"`
	Clock  time.Duration `msgpack:"c"`
	Reason string        `msgpack:"r"`
}

func (r *rules) drawBreaker(tx *partition.Tx, c DrawBreaker) any {
	b, before := r.breaker(tx)
	clock := tx.Clock()
	for _, holder := range c.Ended {
		b.Ledger.CloseAccount(clock, holder)
	}
	if !b.Ledger.Report(clock, c.Holder, c.Spent, c.Returned) {
		return Shared{}
	}
	params := c.Description.params()
	b.Advance(clock, params)
	granted := b.Draw(clock, c.Holder, c.Target, c.Need, params)
	r.keepBreaker(tx, b, before)
	return Shared{Granted: granted, Open: b.State == breaker.Open, Left: b.RecoveryLeft(clock, params), Others: ordered.Keys(b.Ledger.Holders)}
}
