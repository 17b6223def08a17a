package relaysim

import (
	"fmt"
	"time"

	"saffronfall/rule/ordered"
)

// Scenario is a named run with its own workload, faults and rules.
type Scenario struct {
	Name string
	// Params returns the default parameters of a seed.
	Params func(seed uint64) Params
	// Play runs the scenario in a new world.
	Play func(w *World) *Findings
}

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "longcut", Params: longcutParams, Play: playLongcut},
		{Name: "orders", Params: ordersParams, Play: playOrders},
		{Name: "secondloss", Params: secondLossParams, Play: playSecondLoss(3)},
		{Name: "secondloss5", Params: secondLossParams, Play: playSecondLoss(5)},
		{Name: "keyloss", Params: keyLossParams, Play: playKeyLoss},
		{Name: "manychanges", Params: manyChangesParams, Play: playManyChanges},
		{Name: "founding", Params: foundingParams, Play: playFounding},
		{Name: "storechanges", Params: storeChangesParams, Play: playStoreChanges},
	}
}

// Findings are the results of one run of a scenario.
type Findings struct {
	Seed     uint64
	Breaches []Breach
	Counts   map[string]int64
	Answers  answerTable
	// Durations are measured durations by their printed label.
	Durations map[string][]time.Duration
	Resends   resendTable
	// Lines are additional lines of the report.
	Lines []string
}

func newFindings(w *World) *Findings {
	return &Findings{Seed: w.Params.Seed, Counts: w.Counts, Answers: answerTable{}, Durations: map[string][]time.Duration{}}
}

func (f *Findings) breach(rule, format string, args ...any) {
	f.Breaches = append(f.Breaches, breach(rule, format, args...))
}

func (f *Findings) recordDuration(what string, length time.Duration) {
	f.Durations[what] = append(f.Durations[what], length)
}

// ScenarioNamed returns an error if there is no scenario of that name.
func ScenarioNamed(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("no scenario is called %q", name)
}

// Run plays the scenario in a new world with the given parameters.
func (s Scenario) Run(p Params) *Findings { return s.Play(New(p)) }

// PlaySeeds plays seeds in parallel and reports the findings of each as it completes. change may
// be nil.
func (s Scenario) PlaySeeds(first uint64, count, workers int, change func(p *Params), report func(f *Findings)) {
	work, done := make(chan uint64), make(chan *Findings)
	for i := 0; i < min(count, workers); i++ {
		go func() {
			for seed := range work {
				p := s.Params(seed)
				if change != nil {
					change(&p)
				}
				done <- s.Run(p)
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

// Merge combines the findings of several seeds. The zero value is empty.
type Merge struct {
	Counts    map[string]int64
	Answers   answerTable
	Durations map[string][]time.Duration
	Resends   resendTable
	Lines     []string
}

// Add adds the findings of one seed.
func (m *Merge) Add(f *Findings) {
	if m.Counts == nil {
		m.Counts, m.Answers, m.Durations, m.Resends = map[string]int64{}, answerTable{}, map[string][]time.Duration{}, resendTable{}
	}
	for name, n := range f.Counts {
		m.Counts[name] += n
	}
	m.Answers.merge(f.Answers)
	for what, list := range f.Durations {
		m.Durations[what] = append(m.Durations[what], list...)
	}
	m.Resends.merge(f.Resends)
	m.Lines = append(m.Lines, f.Lines...)
}

// Report formats the merged findings as lines of text.
func (m *Merge) Report() (lines []string) {
	for _, name := range ordered.Keys(m.Counts) {
		lines = append(lines, fmt.Sprintf("  came about %-44s %d", name, m.Counts[name]))
	}
	for _, what := range ordered.Keys(m.Durations) {
		lines = append(lines, "  "+durationSummary(what, m.Durations[what]))
	}
	lines = append(lines, m.Answers.Lines()...)
	if len(m.Resends) > 0 {
		lines = append(lines, m.Resends.lines()...)
	}
	return append(lines, m.Lines...)
}
