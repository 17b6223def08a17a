package shares

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"slices"
	"time"
)

// Command compares the ways over seeds and prints a table.
type Command struct {
	Seeds int    `help:"How many seeds." default:"20"`
	First uint64 `help:"First seed." default:"1"`
	// Spread is passed to newScenario.
	Spread int `help:"At how many nodes requests of a tenant arrive; 0: at all." default:"0"`
}

// Run prints the table.
func (c *Command) Run() error {
	Compare(os.Stdout, c.First, c.Seeds, c.Spread)
	return nil
}

// ways returns a new instance of each way, the ideal first.
func ways() []way {
	return []way{&ideal{}, &leased{}, &central{}, &escrow{}, &approximate{}}
}

// Compare runs each way over the seeds and writes one row for each as a Markdown table.
func Compare(out io.Writer, first uint64, seeds, spread int) {
	results, names := map[string][]*measures{}, []string{}
	for i := range seeds {
		s := newScenario(first+uint64(i), spread)
		for _, way := range ways() {
			if i == 0 {
				names = append(names, way.name())
			}
			results[way.name()] = append(results[way.name()], run(s, way))
		}
	}
	fmt.Fprintf(out, "seeds %d to %d; times in seconds, middle / worst seed\n\n", first, first+uint64(seeds)-1)
	fmt.Fprintln(out, "| way | greatest overshoot, part of the allowed | seeds beyond | refused with room, before losses | refused with room, whole run | messages a node and s | bytes a node and s | decided at once, quiet | to full use, hot | after 2 nodes lost | after leader lost | steady use, hot, mean | least use after losses |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, name := range names {
		fmt.Fprintln(out, row(name, results[name]))
	}
}

func row(name string, runs []*measures) string {
	var all measures
	beyond, nodeSeconds, lowest, excess := 0, 0.0, runs[0].lowest, 0.0
	for _, m := range runs {
		all.admitted += m.admitted
		all.refused += m.refused
		all.refusedWithRoom += m.refusedWithRoom
		all.calm += m.calm
		all.calmWithRoom += m.calmWithRoom
		all.steady += m.steady / float64(len(runs))
		all.messages += m.messages
		all.bytes += m.bytes
		all.quiet += m.quiet
		all.quietAtOnce += m.quietAtOnce
		nodeSeconds += float64(m.nodes) * scenarioDuration.Seconds()
		lowest, excess = min(lowest, m.lowest), max(excess, m.excess)
		if m.excess > 1 {
			beyond++
		}
	}
	times := func(of func(m *measures) time.Duration) string {
		middle, worst := spread(runs, of)
		return fmt.Sprintf("%.2f / %.2f", middle.Seconds(), worst.Seconds())
	}
	return fmt.Sprintf("| %s | %.2f | %d of %d | %.2f%% | %.2f%% | %.1f | %.0f | %.1f%% | %s | %s | %s | %.2f | %.2f |",
		name, excess, beyond, len(runs),
		100*float64(all.calmWithRoom)/float64(max(all.calm, 1)),
		100*float64(all.refusedWithRoom)/float64(all.admitted+all.refused),
		float64(all.messages)/nodeSeconds, float64(all.bytes)/nodeSeconds,
		100*float64(all.quietAtOnce)/float64(max(all.quiet, 1)),
		times(func(m *measures) time.Duration { return m.filled }),
		times(func(m *measures) time.Duration { return m.afterNodes }),
		times(func(m *measures) time.Duration { return m.afterLeader }),
		all.steady, lowest)
}

// spread returns the median and the greatest of a time over the runs.
func spread(runs []*measures, of func(m *measures) time.Duration) (middle, worst time.Duration) {
	sorted := slices.Clone(runs)
	slices.SortFunc(sorted, func(a, b *measures) int { return cmp.Compare(of(a), of(b)) })
	return of(sorted[len(sorted)/2]), of(sorted[len(sorted)-1])
}
