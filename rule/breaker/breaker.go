// Package breaker implements the system-wide circuit breaker on spend.
//
// Holders draw shares of the spend limits per minute, hour and day. A need that does not fit into
// every limit opens the breaker. After the recovery time it is half-open and admits a few probe
// sessions: it closes if all succeed and opens again if one fails. Start reading at Breaker.Draw.
package breaker

import (
	"time"

	"saffronfall/rule/allowance"
)

// State is the state of a breaker.
type State string

// States of a breaker.
const (
	Closed   State = "closed"
	Open     State = "open"
	HalfOpen State = "half-open"
)

// Params holds the settings. Minute, Hour and Day are spend limits in millionths of a dollar. The
// breaker closes after as many successful sessions as Probes.
type Params struct {
	Minute, Hour, Day int64
	Recovery          time.Duration
	Probes            int
}

func (p Params) limits() []int64 { return []int64{p.Minute, p.Hour, p.Day} }

// Probe is a session admitted by a half-open breaker. Its number is its position, from 1.
type Probe struct {
	Program   string        `msgpack:"p"`
	IssuedAt  time.Duration `msgpack:"g"`
	Succeeded bool          `msgpack:"d"`
}

// Breaker is the durable state of the breaker. Since is when it entered its state, Trips counts
// openings by a limit. Reason is the last such limit, or empty after the breaker has closed. Times
// are on the clock of its partition, which is never ahead of real time.
type Breaker struct {
	State  State            `msgpack:"s"`
	Since  time.Duration    `msgpack:"i"`
	Trips  int64            `msgpack:"n"`
	Reason string           `msgpack:"r"`
	Probes []Probe          `msgpack:"t"`
	Ledger allowance.Ledger `msgpack:"l"`
}

// New returns a closed breaker with windows of a minute, an hour and a day.
func New() Breaker {
	return Breaker{State: Closed, Ledger: allowance.Ledger{Windows: []allowance.Window{
		{Width: time.Minute}, {Width: time.Hour}, {Width: 24 * time.Hour}}}}
}

// Advance makes an open breaker half-open after the recovery time, and drops probes that got no
// result within that time. It reports whether anything changed.
func (b *Breaker) Advance(now time.Duration, params Params) bool {
	changed := false
	if b.State == Open && now >= b.Since+params.Recovery {
		b.State, b.Since, b.Probes, changed = HalfOpen, now, nil, true
	}
	if b.State == HalfOpen {
		kept := b.Probes[:0:0]
		for _, probe := range b.Probes {
			if probe.Succeeded || now < probe.IssuedAt+params.Recovery {
				kept = append(kept, probe)
			}
		}
		if len(kept) != len(b.Probes) {
			b.Probes, changed = kept, true
		}
	}
	return changed
}

// RecoveryLeft returns the remaining recovery time of an open breaker, or 0.
func (b *Breaker) RecoveryLeft(now time.Duration, params Params) time.Duration {
	if b.State != Open {
		return 0
	}
	return max(0, b.Since+params.Recovery-now)
}

// Draw raises a holder's share towards the target, and returns the total granted to the holder,
// in millionths of a dollar. The breaker opens if the need exceeds a limit. What the target adds is
// only prefetched and never opens it.
func (b *Breaker) Draw(now time.Duration, holder string, target, need int64, params Params) int64 {
	b.Advance(now, params)
	if b.State == Open {
		return b.Ledger.Holders[holder].Granted
	}
	shortfall := need - b.Ledger.Holders[holder].Held()
	if shortfall > 0 && b.Ledger.Available(now, params.limits()) < shortfall {
		b.trip(now, shortfall, params)
		return b.Ledger.Holders[holder].Granted
	}
	return b.Ledger.Grant(now, holder, target, params.limits())
}

func (b *Breaker) trip(now time.Duration, shortfall int64, params Params) {
	b.State, b.Since, b.Probes = Open, now, nil
	b.Trips++
	outstanding := b.Ledger.Outstanding()
	for i, name := range []string{"minute", "hour", "day"} {
		if outstanding+b.Ledger.Windows[i].Sum(now)+shortfall > params.limits()[i] {
			b.Reason = "spend of the " + name
			return
		}
	}
}

// IssueProbe returns the number of a session's probe. It returns 0 if the breaker is not
// half-open or every probe is in use.
func (b *Breaker) IssueProbe(now time.Duration, program string, params Params) int {
	b.Advance(now, params)
	if b.State != HalfOpen {
		return 0
	}
	for i, probe := range b.Probes {
		if probe.Program == program {
			return i + 1
		}
	}
	if len(b.Probes) >= params.Probes {
		return 0
	}
	b.Probes = append(b.Probes, Probe{Program: program, IssuedAt: now})
	return len(b.Probes)
}

// RecordResult records the result of a probe's turn, which may close or open the breaker.
func (b *Breaker) RecordResult(now time.Duration, program string, success bool, params Params) {
	if b.State != HalfOpen {
		return
	}
	succeeded := 0
	for i := range b.Probes {
		if b.Probes[i].Program == program {
			if !success {
				b.State, b.Since, b.Probes = Open, now, nil
				return
			}
			b.Probes[i].Succeeded = true
		}
		if b.Probes[i].Succeeded {
			succeeded++
		}
	}
	if succeeded >= params.Probes {
		b.State, b.Since, b.Probes, b.Reason = Closed, now, nil, ""
	}
}
