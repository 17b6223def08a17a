package core

import "time"

// Later keeps steps that wait for a time, and runs them in their order at the
// first tick after it.
type Later struct{ steps []laterStep }

type laterStep struct {
	at   time.Duration
	next func(now time.Duration)
}

// Add keeps a step.
func (l *Later) Add(at time.Duration, next func(now time.Duration)) {
	l.steps = append(l.steps, laterStep{at: at, next: next})
}

// Tick runs what is due. What a step adds waits for the next tick.
func (l *Later) Tick(now time.Duration) {
	due := l.steps
	l.steps = nil
	for _, s := range due {
		if now >= s.at {
			s.next(now)
		} else {
			l.steps = append(l.steps, s)
		}
	}
}
