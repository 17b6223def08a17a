package simulator

import (
	"flag"
	"fmt"
	"testing"

	"saffronfall/rule/ordered"
)

var (
	seeds = flag.Int("seeds", 200, "number of consecutive seeds to run")
	every = flag.Int("every", 60, "execute one of this many runs of crash points")
	first = flag.Uint64("first", 1, "first seed")
)

func TestSeeds(t *testing.T) {
	var whole int64
	situations := map[string]int{}
	RunSeeds(*first, *seeds, func(o Outcome) {
		whole += o.CompletedTurns
		for name, n := range o.Situations {
			situations[name] += n
		}
		for _, b := range o.Breaches {
			t.Errorf("seed %d: %s", o.Seed, b)
		}
		if o.CompletedTurns < 20 {
			t.Errorf("seed %d: only %d complete turns, too few to test the rules", o.Seed, o.CompletedTurns)
		}
	})
	fmt.Printf("%d seeds, %d whole turns\n", *seeds, whole)
	for _, name := range ordered.Keys(situations) {
		fmt.Printf("  %-36s %d\n", name, situations[name])
		if situations[name] == 0 && *seeds >= 100 {
			t.Errorf("%s: never occurred, so its rule was not tested", name)
		}
	}
}

func TestWithoutFaults(t *testing.T) {
	p := Defaults(1)
	p.Faults, p.MessageLoss, p.Operators = false, 0, 1
	p.Logf = t.Logf
	w, breaches := Run(p)
	for _, line := range w.Summary() {
		t.Log(line)
	}
	for _, b := range breaches {
		t.Error(b)
	}
	if w.Counts["asked turn whole"] < 100 {
		t.Error("too few complete turns")
	}
}

func TestSingleSeed(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("only with -v")
	}
	p := Defaults(*first)
	p.Logf = t.Logf
	w, breaches := Run(p)
	for _, line := range w.Summary() {
		t.Log(line)
	}
	for _, b := range breaches {
		t.Error(b)
	}
}

func TestDeterministic(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		first, _ := Run(Defaults(seed))
		second, _ := Run(Defaults(seed))
		if x, y := fmt.Sprint(first.Summary(), first.Record), fmt.Sprint(second.Summary(), second.Record); x != y {
			t.Errorf("seed %d gave two different runs", seed)
		}
	}
}

// TestCrashPoints executes a sample of the runs of the crash command.
func TestCrashPoints(t *testing.T) {
	points, runs := 0, 0
	CrashPoints(*every, func(c CrashResult) {
		points, runs = points+c.Points, runs+c.Runs
		for _, f := range c.Faults {
			t.Error(f)
		}
	})
	fmt.Printf("%d crash points, %d runs\n", points, runs)
	if points < 500 || runs < points/(*every) {
		t.Errorf("%d crash points, %d runs", points, runs)
	}
}
