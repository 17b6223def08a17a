package simulator

import (
	"runtime"
	"time"

	"saffronfall/rehearsalkit/judge"
)

// Outcome is what became of one seed.
type Outcome struct {
	Seed           uint64
	Breaches       []judge.Breach
	CompletedTurns int64
	// Situations counts how often what each rule is about came about.
	Situations   map[string]int
	MaxTripDelay time.Duration
}

// RunSeeds runs seeds one after the other on each processor, and tells their
// outcomes as they come.
func RunSeeds(first uint64, count int, report func(o Outcome)) {
	work, done := make(chan uint64), make(chan Outcome)
	for i := 0; i < runtime.NumCPU(); i++ {
		go func() {
			for seed := range work {
				w, breaches := Run(Defaults(seed))
				done <- Outcome{Seed: seed, Breaches: breaches, CompletedTurns: w.Counts["asked turn whole"], Situations: w.Record.Situations(), MaxTripDelay: w.Record.LateAfterTrip()}
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
