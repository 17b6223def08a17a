package shares

import (
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"strings"
	"testing"
	"time"
)

const testSeeds = 3

func TestWaysStayWithinAllowedOvershoot(t *testing.T) {
	for seed := uint64(1); seed <= testSeeds; seed++ {
		for _, way := range ways() {
			if _, counts := way.(*approximate); counts {
				continue
			}
			if m := run(newScenario(seed, 0), way); m.excess > 1 {
				t.Errorf("seed %d, %s: %.2f of the allowed overshoot", seed, way.name(), m.excess)
			}
		}
	}
}

func TestOvershootOfApproximateCountsIsSeen(t *testing.T) {
	for seed := uint64(1); seed <= testSeeds; seed++ {
		if m := run(newScenario(seed, 0), &approximate{}); m.excess > 1 {
			return
		}
	}
	t.Errorf("no overshoot in %d seeds", testSeeds)
}

func TestRunsAreDeterministic(t *testing.T) {
	for i, way := range ways() {
		first, second := run(newScenario(3, 5), way), run(newScenario(3, 5), ways()[i])
		if *first != *second {
			t.Errorf("%s: %+v, then %+v", way.name(), *first, *second)
		}
	}
}

func TestEscrowSharesNeverExceedLimit(t *testing.T) {
	for seed := uint64(1); seed <= testSeeds; seed++ {
		e := &escrow{}
		s := newScenario(seed, 0)
		run(s, e)
		for i, counters := range e.zoneCounters {
			var sum int64
			for _, c := range counters {
				sum += c.max
			}
			if limit := s.tenants[i].limit.Max; sum > limit {
				t.Errorf("seed %d, tenant %d: zones hold %d of %d", seed, i, sum, limit)
			}
		}
	}
}

func TestNewLeaderCountsReservedBlockAsAdmitted(t *testing.T) {
	c := &counter{max: 80}
	for range 45 {
		c.admit(0)
	}
	c.restore(time.Second)
	// The write after 40 covers ten more.
	if used := c.used(time.Second); used != 50 {
		t.Errorf("%d used, want 50", used)
	}
}

func TestWindowIsSliding(t *testing.T) {
	times := []time.Duration{0, time.Second, window, window + time.Second}
	for _, c := range []struct {
		now  time.Duration
		want int
	}{{0, 1}, {time.Second, 2}, {window - 1, 2}, {window, 2}, {window + time.Second, 2}, {2 * window, 1}} {
		if got := inWindow(times, c.now); got != c.want {
			t.Errorf("at %v: %d, want %d", c.now, got, c.want)
		}
	}
}

// constantsOf returns the constants of a file as written.
func constantsOf(t *testing.T, path string) map[string]string {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	constants := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok && len(spec.Values) == 1 {
			var text strings.Builder
			if err := printer.Fprint(&text, files, spec.Values[0]); err != nil {
				t.Fatal(err)
			}
			constants[spec.Names[0].Name] = text.String()
		}
		return true
	})
	return constants
}

func TestParametersAreThoseOfRelay(t *testing.T) {
	relay, here := constantsOf(t, "../../peer/relay/rate.go"), constantsOf(t, "leased.go")
	for name, value := range constantsOf(t, "scenario.go") {
		here[name] = value
	}
	for _, name := range []string{
		"leasesPerWindow", "drawChecksPerWindow", "drawsPerLease", "waitWindowDivisor", "retryWindowDivisor",
		"reportLeaseDivisor", "renewLeaseDivisor", "maxSpareUnits", "limitPerSpareUnit", "demandInterval",
		"demandAveragingSeconds", "prefetchLeaseFraction", "spendResolution", "overshootFraction",
	} {
		if relay[name] == "" || relay[name] != here[name] {
			t.Errorf("%s: %q in peer/relay, %q here", name, relay[name], here[name])
		}
	}
}
