package relayprocess

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"saffronfall/peer/registry"
	"saffronfall/peer/relay"
)

// TestFailuresAreRecorded also checks that log lines are limited to one per cause and second.
func TestFailuresAreRecorded(t *testing.T) {
	var lines []string
	o := newObserver("a secret", "incarnation1", 4, funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{}))
	for i := range 10 {
		o.completed(time.Duration(i)*300*time.Millisecond, relay.Completion{
			Cause:    relay.CauseNoReplica,
			Attempt:  fmt.Sprint("a", i),
			Route:    "chat",
			Tenant:   "clinic",
			Status:   503,
			Table:    7,
			Duration: time.Second,
		})
	}
	o.completed(0, relay.Completion{Cause: relay.CauseServed, Route: "chat", Duration: 20 * time.Millisecond})
	if len(lines) != 3 || !strings.Contains(lines[1], `"more_of_this_cause"=3`) || !strings.Contains(lines[1], `"cause"="no_replica"`) || !strings.Contains(lines[1], `"table"=7`) {
		t.Fatalf("logged %d lines: %s", len(lines), strings.Join(lines, "\n"))
	}
	if strings.Contains(strings.Join(lines, ""), "clinic") {
		t.Fatal("the log contains a tenant's name")
	}
	var attempts []string
	for _, f := range o.failures() {
		attempts = append(attempts, f.Attempt)
	}
	if got := strings.Join(attempts, " "); got != "a6 a7 a8 a9" {
		t.Fatalf("recent failures: %s, want a6 a7 a8 a9", got)
	}
	var text bytes.Buffer
	o.set.WritePrometheus(&text)
	for _, want := range []string{
		`saffronfall_requests_total{route="chat",cause="no_replica"} 10`,
		`saffronfall_requests_total{route="chat",cause="served"} 1`,
		`saffronfall_request_seconds_count{route="chat"} 11`,
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%s is missing in\n%s", want, text.String())
		}
	}
}

// TestRoutesAreBounded guards against metrics that grow without limit with new tables.
func TestRoutesAreBounded(t *testing.T) {
	o := newObserver("a secret", "incarnation1", 4, funcr.New(func(_, _ string) {}, funcr.Options{}))
	for i := range 3 * maxRoutes {
		o.completed(0, relay.Completion{Cause: relay.CauseServed, Route: fmt.Sprint("r", i)})
	}
	if len(o.durations) > maxRoutes+1 {
		t.Fatalf("%d routes have metrics of their own", len(o.durations))
	}
}

// Reading a body and waiting for the event loop count against a request's deadline.
func TestRemainingTime(t *testing.T) {
	received := 10 * time.Second
	for _, c := range []struct{ left, passed, want time.Duration }{
		{0, time.Second, 0}, {-1, time.Second, -1}, {4 * time.Second, time.Second, 3 * time.Second}, {time.Second, time.Second, -1}, {time.Second, 2 * time.Second, -1},
	} {
		if got := remaining(relay.Request{Remaining: c.left, Arrival: relay.Arrival{HeadReceived: received}}, received+c.passed); got != c.want {
			t.Errorf("%v left, %v passed: %v, want %v", c.left, c.passed, got, c.want)
		}
	}
}

// BenchmarkCompleted records a served request, and a failed one that is not logged.
func BenchmarkCompleted(b *testing.B) {
	for _, cause := range []relay.Cause{relay.CauseServed, relay.CauseNoReplica} {
		b.Run(string(cause), func(b *testing.B) {
			o := newObserver("a secret", "incarnation1", 256, funcr.New(func(_, _ string) {}, funcr.Options{}))
			b.ReportAllocs()
			for b.Loop() {
				o.completed(time.Second, relay.Completion{Cause: cause, Attempt: "a", Route: "chat", Tenant: "clinic", Status: 503, Duration: 20 * time.Millisecond})
			}
		})
	}
}

// TestUnreadableTableIsLogged guards against a node that drops a table silently.
func TestUnreadableTableIsLogged(t *testing.T) {
	var lines []string
	s := &process{log: funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})}
	for range 3 {
		s.apply(relay.Output{UnreadableTable: &registry.Refusal{Number: 9}})
	}
	if len(lines) != 1 || !strings.Contains(lines[0], `"number"=9`) {
		t.Fatalf("logged %q", lines)
	}
}
