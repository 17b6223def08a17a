package simulator

import (
	"flag"
	"fmt"
	"runtime"
	"testing"
)

var (
	seeds = flag.Int("seeds", 200, "how many fixed seeds to run")
	first = flag.Uint64("first", 1, "first seed")
)

// TestSeeds runs the fleet under all faults, one world a seed.
func TestSeeds(t *testing.T) {
	type outcome struct {
		seed     uint64
		breaches []string
		whole    int64
	}
	work, done := make(chan uint64), make(chan outcome)
	for i := 0; i < runtime.NumCPU(); i++ {
		go func() {
			for seed := range work {
				w, breaches := Run(Defaults(seed))
				o := outcome{seed: seed, whole: w.Counts["asked turn whole"]}
				for _, b := range breaches {
					o.breaches = append(o.breaches, b.String())
				}
				done <- o
			}
		}()
	}
	go func() {
		for i := 0; i < *seeds; i++ {
			work <- *first + uint64(i)
		}
		close(work)
	}()
	var whole int64
	for i := 0; i < *seeds; i++ {
		o := <-done
		whole += o.whole
		for _, b := range o.breaches {
			t.Errorf("seed %d: %s", o.seed, b)
		}
		if o.whole < 20 {
			t.Errorf("seed %d: only %d whole turns; a run that serves nothing proves nothing", o.seed, o.whole)
		}
	}
	fmt.Printf("%d seeds, %d whole turns\n", *seeds, whole)
}

func TestCalm(t *testing.T) {
	p := Defaults(1)
	p.Faults, p.Loss, p.Operators = false, 0, 1
	p.Logf = t.Logf
	w, breaches := Run(p)
	for _, line := range w.Summary() {
		t.Log(line)
	}
	for _, b := range breaches {
		t.Error(b)
	}
	if w.Counts["asked turn whole"] < 100 {
		t.Error("too few whole turns")
	}
}

// TestOne runs the first seed and tells all.
func TestOne(t *testing.T) {
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

// TestSame shows that a seed always gives the same run.
func TestSame(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		a, _ := Run(Defaults(seed))
		b, _ := Run(Defaults(seed))
		if x, y := fmt.Sprint(a.Summary(), a.Record), fmt.Sprint(b.Summary(), b.Record); x != y {
			t.Errorf("seed %d gave two different runs", seed)
		}
	}
}
