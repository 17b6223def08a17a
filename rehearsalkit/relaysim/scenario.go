package relaysim

import (
	"fmt"
	"time"

	"saffronfall/rule/ordered"
)

// Scenario is a named run with a workload, faults and rules of its own.
type Scenario struct {
	Name string
	// Params are the defaults for a seed.
	Params func(seed uint64) Params
	// Play runs it in a world that is laid out and not started.
	Play func(w *World) *Findings
}

// Scenarios are all named runs.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "longcut", Params: longcutParams, Play: playLongcut},
		{Name: "orders", Params: ordersParams, Play: playOrders},
		{Name: "secondloss", Params: secondLossParams, Play: playSecondLoss(3)},
		{Name: "secondloss5", Params: secondLossParams, Play: playSecondLoss(5)},
		{Name: "manychanges", Params: manyChangesParams, Play: playManyChanges},
	}
}

// Findings are what came of a scenario's run.
type Findings struct {
	Seed     uint64
	Breaches []Breach
	Counts   map[string]int64
	// Answers tell what calls at desks got, second by second.
	Answers answerTable
	// Spans are measured times, by what they are of.
	Spans map[string][]time.Duration
	// Later counts answers to orders handed over again.
	Later laterTable
	// Lines are rows of the scenario's own table.
	Lines []string
}

func newFindings(w *World) *Findings {
	return &Findings{Seed: w.Params.Seed, Counts: w.Counts, Answers: answerTable{}, Spans: map[string][]time.Duration{}}
}

func (f *Findings) breach(rule, format string, args ...any) {
	f.Breaches = append(f.Breaches, breach(rule, format, args...))
}

func (f *Findings) span(what string, length time.Duration) {
	f.Spans[what] = append(f.Spans[what], length)
}

// ScenarioNamed finds a scenario.
func ScenarioNamed(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	return Scenario{}, fmt.Errorf("no scenario is called %q", name)
}

// Run plays the scenario in a world of the given params.
func (s Scenario) Run(p Params) *Findings { return s.Play(New(p)) }

// PlaySeeds plays seeds side by side and tells their findings as they come.
func (s Scenario) PlaySeeds(first uint64, count, workers int, change func(p *Params), tell func(f *Findings)) {
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
		tell(<-done)
	}
}

// Merge joins the findings of many seeds.
type Merge struct {
	Counts  map[string]int64
	Answers answerTable
	Spans   map[string][]time.Duration
	Later   laterTable
	Lines   []string
}

// Add adds one seed's findings.
func (m *Merge) Add(f *Findings) {
	if m.Counts == nil {
		m.Counts, m.Answers, m.Spans, m.Later = map[string]int64{}, answerTable{}, map[string][]time.Duration{}, laterTable{}
	}
	for name, n := range f.Counts {
		m.Counts[name] += n
	}
	m.Answers.merge(f.Answers)
	for what, list := range f.Spans {
		m.Spans[what] = append(m.Spans[what], list...)
	}
	m.Later.merge(f.Later)
	m.Lines = append(m.Lines, f.Lines...)
}

// Report is the merged findings as text.
func (m *Merge) Report() (lines []string) {
	for _, name := range ordered.Keys(m.Counts) {
		lines = append(lines, fmt.Sprintf("  came about %-44s %d", name, m.Counts[name]))
	}
	for _, what := range ordered.Keys(m.Spans) {
		lines = append(lines, "  "+spanLine(what, m.Spans[what]))
	}
	lines = append(lines, m.Answers.Lines()...)
	if len(m.Later) > 0 {
		lines = append(lines, m.Later.lines()...)
	}
	return append(lines, m.Lines...)
}
