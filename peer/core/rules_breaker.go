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

// loadBreaker returns two independent copies of the breaker: one to change, one to compare with.
func (r *rules) loadBreaker(tx *partition.Tx) (b, before breaker.Breaker) {
	b, ok := read[breaker.Breaker](tx, breakerStateKey)
	if !ok {
		b = breaker.New()
	}
	before, _ = read[breaker.Breaker](tx, breakerStateKey)
	return b, before
}

// saveBreaker stores a changed breaker, and its summary if the state or trip count changed.
func (r *rules) saveBreaker(tx *partition.Tx, b, before breaker.Breaker) {
	if !reflect.DeepEqual(b, before) {
		write(tx, breakerStateKey, b)
	}
	old, _ := read[BreakerSummary](tx, breakerSummaryKey)
	summary := BreakerSummary{State: string(b.State), Trips: b.Trips, Since: b.Since, Reason: b.Reason, Clock: tx.Clock()}
	if old.State != summary.State || old.Trips != summary.Trips {
		write(tx, breakerSummaryKey, summary)
	}
}

// BreakerSummary is the part of the breaker's state that nodes pull. Since and Clock are on the
// partition's clock.
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
		b.Ledger.CloseAccount(clock, holder)
	}
	if !b.Ledger.Report(clock, c.Holder, c.Spent, c.Returned) {
		return DrawResult{}
	}
	params := c.Limits.params()
	b.Advance(clock, params)
	granted := b.Draw(clock, c.Holder, c.Target, c.Need, params)
	r.saveBreaker(tx, b, before)
	return DrawResult{
		Granted:   granted,
		Open:      b.State == breaker.Open,
		Remaining: b.RecoveryLeft(clock, params),
		Holders:   ordered.Keys(b.Ledger.Holders),
	}
}
