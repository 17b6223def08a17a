package core

import "time"

// Timers holds functions that run in order of addition at the first tick at or after their time.
type Timers struct{ timers []timer }

type timer struct {
	at  time.Duration
	run func(now time.Duration)
}

// Add schedules a function.
func (t *Timers) Add(at time.Duration, run func(now time.Duration)) {
	t.timers = append(t.timers, timer{at: at, run: run})
}

// Tick runs the functions that are due. Those that they add wait for the next tick.
func (t *Timers) Tick(now time.Duration) {
	due := t.timers
	t.timers = nil
	for _, candidate := range due {
		if now >= candidate.at {
			candidate.run(now)
		} else {
			t.timers = append(t.timers, candidate)
		}
	}
}
