package core

import "time"

// Later keeps steps that wait for a time, and runs them in their order at the
// first tick after it.
type Timers struct{ timers []timer }

type timer struct {
	at  time.Duration
	run func(now time.Duration)
}

// Add keeps a step.
func (l *Timers) Add(at time.Duration, next func(now time.Duration)) {
	l.timers = append(l.timers, timer{at: at, run: next})
}

// Tick runs what is due. What a step adds waits for the next tick.
func (l *Timers) Tick(now time.Duration) {
	due := l.timers
	l.timers = nil
	for _, s := range due {
		if now >= s.at {
			s.run(now)
		} else {
			l.timers = append(l.timers, s)
		}
	}
}
