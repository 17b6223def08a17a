// Package breaker is the system-wide spend breaker: closed, open, half-open.
package breaker

import (
	"time"

	"saffronfall/rule/allowance"
)

// State is the breaker's position.
type State string

// The three positions.
const (
	Closed   State = "closed"
	Open     State = "open"
	HalfOpen State = "half-open"
)

// Params are the breaker's thresholds, in millionths of a dollar.
type Params struct {
	Minute, Hour, Day int64
	Recovery          time.Duration
	Tests             int
}

func (p Params) limits() []int64 { return []int64{p.Minute, p.Hour, p.Day} }

// Test is one numbered test session of a half-open breaker.
type Test struct {
	Program string        `msgpack:"p"`
	Given   time.Duration `msgpack:"g"`
	Done    bool          `msgpack:"d"`
}

// Breaker is the breaker's whole durable state. All times are of the part's
// clock, which never runs fast.
type Breaker struct {
	State  State            `msgpack:"s"`
	Since  time.Duration    `msgpack:"i"`
	Trips  int64            `msgpack:"n"`
	Reason string           `msgpack:"r"`
	Tests  []Test           `msgpack:"t"`
	Ledger allowance.Ledger `msgpack:"l"`
}

// New is a closed breaker.
func New() Breaker {
	return Breaker{State: Closed, Ledger: allowance.Ledger{Windows: []allowance.Window{
		{Width: time.Minute}, {Width: time.Hour}, {Width: 24 * time.Hour}}}}
}

// Turn moves an open breaker whose recovery window has passed to half-open, and
// frees test numbers that were never answered for. It reports a change.
func (b *Breaker) Turn(now time.Duration, p Params) bool {
	changed := false
	if b.State == Open && now >= b.Since+p.Recovery {
		b.State, b.Since, b.Tests, changed = HalfOpen, now, nil, true
	}
	if b.State == HalfOpen {
		kept := b.Tests[:0:0]
		for _, t := range b.Tests {
			if t.Done || now < t.Given+p.Recovery {
				kept = append(kept, t)
			}
		}
		if len(kept) != len(b.Tests) {
			b.Tests, changed = kept, true
		}
	}
	return changed
}

// Left is what remains of the recovery window of an open breaker.
func (b *Breaker) Left(now time.Duration, p Params) time.Duration {
	if b.State != Open {
		return 0
	}
	return max(0, b.Since+p.Recovery-now)
}

// Draw raises a holder's share to a target, as far as there is room. A need
// that can't be met trips the breaker: what is out and what was spent have
// reached a threshold. What is only held in advance never trips it.
func (b *Breaker) Draw(now time.Duration, holder string, target, need int64, p Params) int64 {
	b.Turn(now, p)
	if b.State == Open {
		return b.Ledger.Holders[holder].Granted
	}
	lack := need - b.Ledger.Holders[holder].Held()
	if lack > 0 && b.Ledger.Room(now, p.limits()) < lack {
		b.trip(now, lack, p)
		return b.Ledger.Holders[holder].Granted
	}
	return b.Ledger.Draw(now, holder, target, p.limits())
}

func (b *Breaker) trip(now time.Duration, lack int64, p Params) {
	b.State, b.Since, b.Tests = Open, now, nil
	b.Trips++
	out := b.Ledger.Out()
	for i, name := range []string{"minute", "hour", "day"} {
		if out+b.Ledger.Windows[i].Sum(now)+lack > p.limits()[i] {
			b.Reason = "spend of the " + name
			return
		}
	}
}

// Admit gives a test number to a session that opens while half-open. It returns
// zero when there is none left.
func (b *Breaker) Admit(now time.Duration, program string, p Params) int {
	b.Turn(now, p)
	if b.State != HalfOpen {
		return 0
	}
	for i, t := range b.Tests {
		if t.Program == program {
			return i + 1
		}
	}
	if len(b.Tests) >= p.Tests {
		return 0
	}
	b.Tests = append(b.Tests, Test{Program: program, Given: now})
	return len(b.Tests)
}

// Result takes the outcome of a test session's turn. Enough good ones close the
// breaker; a bad one opens it again.
func (b *Breaker) Result(now time.Duration, program string, good bool, p Params) {
	if b.State != HalfOpen {
		return
	}
	done := 0
	for i := range b.Tests {
		if b.Tests[i].Program == program {
			if !good {
				b.State, b.Since, b.Tests = Open, now, nil
				return
			}
			b.Tests[i].Done = true
		}
		if b.Tests[i].Done {
			done++
		}
	}
	if done >= p.Tests {
		b.State, b.Since, b.Tests, b.Reason = Closed, now, nil, ""
	}
}
