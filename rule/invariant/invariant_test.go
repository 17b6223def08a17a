package invariant

import (
	"strings"
	"testing"
)

func TestViolationsAreCounted(t *testing.T) {
	var first []Violation
	c := &Counter{OnFirst: func(v Violation) { first = append(first, v) }}
	report := Reporter(c.Report)
	report.Violated(RunsOnce, "attempt %s went to replica %d", "a", 2)
	report.Violated(RunsOnce, "again")
	report.Violated(EndedOnce, "twice")
	counts := map[Name]int64{}
	c.Each(func(name Name, count int64) { counts[name] = count })
	if c.Total() != 3 || counts[RunsOnce] != 2 || counts[EndedOnce] != 1 || len(first) != 2 {
		t.Fatalf("total %d, counts %v, first violations %v", c.Total(), counts, first)
	}
	if got := first[0].Error(); !strings.Contains(got, "runs_once") || !strings.Contains(got, "attempt a went to replica 2") {
		t.Fatalf("error text is %q", got)
	}
}

func TestViolationsPanicUnlessReported(t *testing.T) {
	defer func() {
		if v, ok := recover().(Violation); !ok || v.Name != EndedOnce {
			t.Fatalf("recovered %v, want a violation of %s", v, EndedOnce)
		}
	}()
	Reporter(nil).Violated(EndedOnce, "twice")
}
