package relayprocess

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"saffronfall/peer/relay"
)

// TestFailuresAreTold: every request is counted by its route and cause; each that
// failed is among the last ones, and one of a cause in a second is logged, with the
// number of those that were not.
func TestFailuresAreTold(t *testing.T) {
	var lines []string
	o := newObserver("a secret", "life1", 4, funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{}))
	for i := range 10 {
		o.ended(time.Duration(i)*300*time.Millisecond, relay.Completion{Cause: relay.CauseNoReplica, Attempt: fmt.Sprint("a", i), Route: "chat", Tenant: "clinic", Status: 503, Table: 7, Duration: time.Second})
	}
	o.ended(0, relay.Completion{Cause: relay.CauseServed, Route: "chat", Duration: 20 * time.Millisecond})
	if len(lines) != 3 || !strings.Contains(lines[1], `"more_of_this_cause"=3`) || !strings.Contains(lines[1], `"cause"="no_replica"`) || !strings.Contains(lines[1], `"table"=7`) {
		t.Fatalf("logged %d lines: %s", len(lines), strings.Join(lines, "\n"))
	}
	if strings.Contains(strings.Join(lines, ""), "clinic") {
		t.Fatal("a tenant's name stands in the log")
	}
	var kept []string
	for _, f := range o.failures() {
		kept = append(kept, f.Attempt)
	}
	if got := strings.Join(kept, " "); got != "a6 a7 a8 a9" {
		t.Fatalf("the last failures are %s", got)
	}
	var text bytes.Buffer
	o.set.WritePrometheus(&text)
	for _, want := range []string{`saffronfall_requests_total{route="chat",cause="no_replica"} 10`, `saffronfall_requests_total{route="chat",cause="served"} 1`, `saffronfall_request_seconds_count{route="chat"} 11`} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("no %s in\n%s", want, text.String())
		}
	}
}

// TestRoutesAreBounded: tables bring new routes for as long as a process lives.
func TestRoutesAreBounded(t *testing.T) {
	o := newObserver("a secret", "life1", 4, funcr.New(func(_, _ string) {}, funcr.Options{}))
	for i := range 3 * mostRoutes {
		o.ended(0, relay.Completion{Cause: relay.CauseServed, Route: fmt.Sprint("r", i)})
	}
	if len(o.routes) > mostRoutes+1 {
		t.Fatalf("%d routes have figures", len(o.routes))
	}
}

// TestTimeOnTheWayCounts: what reading a body and waiting for the owner took is no
// longer left of a request's time.
func TestTimeOnTheWayCounts(t *testing.T) {
	came := 10 * time.Second
	for _, c := range []struct{ left, passed, want time.Duration }{
		{0, time.Second, 0}, {-1, time.Second, -1}, {4 * time.Second, time.Second, 3 * time.Second}, {time.Second, time.Second, -1}, {time.Second, 2 * time.Second, -1},
	} {
		if got := left(relay.Request{Remaining: c.left, Arrival: relay.Arrival{HeadReceived: came}}, came+c.passed); got != c.want {
			t.Errorf("%v left, %v passed: %v, want %v", c.left, c.passed, got, c.want)
		}
	}
}

// BenchmarkEnded is what telling of a request costs: one that was served, and one
// that failed and is not logged.
func BenchmarkEnded(b *testing.B) {
	for _, cause := range []relay.Cause{relay.CauseServed, relay.CauseNoReplica} {
		b.Run(string(cause), func(b *testing.B) {
			o := newObserver("a secret", "life1", 256, funcr.New(func(_, _ string) {}, funcr.Options{}))
			b.ReportAllocs()
			for b.Loop() {
				o.ended(time.Second, relay.Completion{Cause: cause, Attempt: "a", Route: "chat", Tenant: "clinic", Status: 503, Duration: 20 * time.Millisecond})
			}
		})
	}
}
