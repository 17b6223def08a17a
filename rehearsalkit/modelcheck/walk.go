package modelcheck

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Walks configures random walks, which reach greater depths than an exploration.
type Walks struct {
	// Count is the number of walks, First the first seed, Length the actions of each.
	Count   int
	First   uint64
	Length  int
	Timeout time.Duration
	Workers int
}

// WalkReport is the result of random walks.
type WalkReport struct {
	Walks, Steps int
	Elapsed      time.Duration
	// Seed is the seed of the walk that found a violation.
	Seed  uint64
	Found *Trace
}

// Walk makes random walks until one violates a property or a limit is reached. The trace it finds
// is shortened.
func Walk(scenario *Scenario, walks Walks) WalkReport {
	began := time.Now()
	start := scenario.Start()
	// The initial state's digests are cached before the workers share it.
	start.fingerprint()
	var report WalkReport
	var lock sync.Mutex
	nextSeed := func() (uint64, bool) {
		lock.Lock()
		defer lock.Unlock()
		timedOut := walks.Timeout > 0 && time.Since(began) >= walks.Timeout
		if report.Walks == walks.Count || report.Found != nil || timedOut {
			return 0, false
		}
		report.Walks++
		return walks.First + uint64(report.Walks-1), true
	}
	var group sync.WaitGroup
	for range max(1, walks.Workers) {
		group.Go(func() {
			for seed, ok := nextSeed(); ok; seed, ok = nextSeed() {
				actions, violated := walk(start, seed, walks.Length)
				lock.Lock()
				report.Steps += len(actions)
				if violated != nil && report.Found == nil {
					report.Seed = seed
					report.Found = &Trace{Scenario: scenario.Name, Violation: *violated, Actions: actions}
				}
				lock.Unlock()
			}
		})
	}
	group.Wait()
	if report.Found != nil {
		report.Found.shorten(scenario)
	}
	report.Elapsed = time.Since(began)
	return report
}

func walk(start *World, seed uint64, length int) ([]Action, *Violation) {
	random := rand.New(rand.NewPCG(seed, 0))
	var taken []Action
	w := start
	for len(taken) < length {
		next, action := w.randomStep(random)
		if next == nil {
			return taken, nil
		}
		taken = append(taken, action)
		next.checkDisks()
		if next.violated != nil {
			return taken, next.violated
		}
		next.fingerprint()
		w = next
	}
	return taken, nil
}

// randomStep returns nil if no action is possible.
func (w *World) randomStep(random *rand.Rand) (*World, Action) {
	list := w.Actions()
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, action := range list {
		if next, err := w.Apply(action); err == nil && !next.hasNoEffect(w, action) {
			return next, action
		}
	}
	return nil, Action{}
}

// shorten removes actions while the same property stays violated.
func (t *Trace) shorten(scenario *Scenario) {
	for shortened := true; shortened; {
		shortened = false
		for i := len(t.Actions) - 1; i >= 0; i-- {
			shorter := Trace{Scenario: t.Scenario, Actions: slices.Delete(slices.Clone(t.Actions), i, i+1)}
			violated, steps := shorter.replayPossible(scenario)
			if violated == nil || violated.Property != t.Violation.Property {
				continue
			}
			t.Actions, t.Violation, shortened = steps, *violated, true
			break
		}
	}
}

// replayPossible skips impossible actions. It returns the actions applied up to a violation.
func (t *Trace) replayPossible(scenario *Scenario) (*Violation, []Action) {
	w := scenario.Start()
	var taken []Action
	for _, action := range t.Actions {
		next, err := w.Apply(action)
		if err != nil {
			continue
		}
		next.checkDisks()
		taken = append(taken, action)
		if next.violated != nil {
			return next.violated, taken
		}
		w = next
	}
	return nil, taken
}
