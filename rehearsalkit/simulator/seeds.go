package simulator

import (
	"runtime"
	"time"

	"saffronfall/rehearsalkit/judge"
)

// Outcome is the result of one seed.
type Outcome struct {
	Seed     uint64
	Breaches []judge.Breach
	// CompletedTurns counts the turns with a complete response.
	CompletedTurns int64
	// Situations counts the situations that the rules are about.
	Situations map[string]int
	// MaxTripDelay is the longest time after the first report of a breaker trip at which a node
	// still admitted an attempt.
	MaxTripDelay time.Duration
}

// RunSeeds runs consecutive seeds on all processors and reports the outcomes in any order.
func RunSeeds(first uint64, count int, report func(o Outcome)) {
	work, done := make(chan uint64), make(chan Outcome)
	for i := 0; i < runtime.NumCPU(); i++ {
		go func() {
			for seed := range work {
				w, breaches := Run(Defaults(seed))
				done <- Outcome{
					Seed:           seed,
					Breaches:       breaches,
					CompletedTurns: w.Counts["asked turn whole"],
					Situations:     w.Record.Situations(),
					MaxTripDelay:   w.Record.LateAfterTrip(),
				}
			}
		}()
	}
	go func() {
		for i := 0; i < count; i++ {
			work <- first + uint64(i)
		}
		close(work)
	}()
	for i := 0; i < count; i++ {
		report(<-done)
	}
}
