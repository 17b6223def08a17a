package core

import (
	"reflect"
	"time"

	"saffronfall/rule/breaker"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

func (b BreakerLimits) params() breaker.Params {
	return breaker.Params{Minute: b.Minute, Hour: b.Hour, Day: b.Day, Recovery: b.Recovery, Probes: b.Probes}
}

func (r *rules) loadBreaker(tx *partition.Tx) (b, before breaker.Breaker) {
	b, ok := read[breaker.Breaker](tx, breakerStateKey)
	if !ok {
		b = breaker.New()
	}
	before, _ = read[breaker.Breaker](tx, breakerStateKey)
	return b, before
}

func (r *rules) saveBreaker(tx *partition.Tx, b, before breaker.Breaker) {
	if !reflect.DeepEqual(b, before) {
		write(tx, breakerStateKey, b)
	}
	old, _ := read[BreakerSummary](tx, breakerSummaryKey)
	news := BreakerSummary{State: string(b.State), Trips: b.Trips, Since: b.Since, Reason: b.Reason, Clock: tx.Clock()}
	if old.State != news.State || old.Trips != news.Trips {
		write(tx, breakerSummaryKey, news)
	}
}

// BreakerNews is what nodes learn of the breaker.
type BreakerSummary struct {
	State  string        `msgpack:"s"`
	Trips  int64         `msgpack:"t"`
	Since  time.Duration `msgpack:"i"`
	Clock  time.Duration `msgpack:"c"`
	Reason string        `msgpack:"r"`
}

func (r *rules) drawBreaker(tx *partition.Tx, c DrawBreaker) any {
	b, before := r.loadBreaker(tx)
	clock := tx.Clock()
	for _, holder := range c.Ended {
		b.Ledger.End(clock, holder)
	}
	if !b.Ledger.Report(clock, c.Holder, c.Spent, c.Returned) {
		return DrawResult{}
	}
	params := c.Limits.params()
	b.Advance(clock, params)
	granted := b.Draw(clock, c.Holder, c.Target, c.Need, params)
	r.saveBreaker(tx, b, before)
	return DrawResult{Granted: granted, Open: b.State == breaker.Open, Left: b.RecoveryLeft(clock, params), Holders: ordered.Keys(b.Ledger.Holders)}
}
