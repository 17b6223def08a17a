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
func (r *rules) loadBreaker(tx *partition.Tx) (current, before breaker.Breaker) {
	current, ok := read[breaker.Breaker](tx, breakerStateKey)
	if !ok {
		current = breaker.New()
	}
	before, _ = read[breaker.Breaker](tx, breakerStateKey)
	return current, before
}

func (r *rules) saveBreaker(tx *partition.Tx, current, before breaker.Breaker) {
	if !reflect.DeepEqual(current, before) {
		write(tx, breakerStateKey, current)
	}
	old, _ := read[BreakerSummary](tx, breakerSummaryKey)
	summary := BreakerSummary{
		State:  string(current.State),
		Trips:  current.Trips,
		Since:  current.Since,
		Reason: current.Reason,
		Clock:  tx.Clock(),
	}
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

func (r *rules) drawBreaker(tx *partition.Tx, command DrawBreaker) any {
	current, before := r.loadBreaker(tx)
	clock := tx.Clock()
	for _, holder := range command.Ended {
		current.Ledger.CloseAccount(clock, holder)
	}
	if !current.Ledger.Report(clock, command.Holder, command.Spent, command.Returned) {
		return DrawResult{}
	}
	params := command.Limits.params()
	current.Advance(clock, params)
	granted := current.Draw(clock, command.Holder, command.Target, command.Need, params)
	r.saveBreaker(tx, current, before)
	return DrawResult{
		Granted:   granted,
		Open:      current.State == breaker.Open,
		Remaining: current.RecoveryLeft(clock, params),
		Holders:   ordered.Keys(current.Ledger.Holders),
	}
}
