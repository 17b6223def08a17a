package breaker

import (
	"testing"
	"time"
)

func params() Params {
	return Params{Minute: 50, Hour: 500, Day: 2000, Recovery: 300 * time.Second, Probes: 2}
}

// TestExceededLimitOpens also checks that a prefetched share does not open the breaker.
func TestExceededLimitOpens(t *testing.T) {
	b := New()
	if got := b.Draw(0, "idle", 60, 0, params()); got != 50 || b.State != Closed {
		t.Errorf("prefetched share: %d, %s", got, b.State)
	}
	b.Ledger.Report(0, "idle", 0, 50)
	for _, c := range []struct {
		name     string
		interval time.Duration
		need     int64
	}{{"spend of the minute", time.Second, 10}, {"spend of the hour", time.Minute, 45}, {"spend of the day", 10 * time.Minute, 45}} {
		b := New()
		var now time.Duration
		var spent int64
		for i := 0; i < 1000 && b.State == Closed; i++ {
			now += c.interval
			if b.Draw(now, "n", c.need, c.need, params()); b.State == Closed {
				spent += c.need
				b.Ledger.Report(now, "n", spent, 0)
			}
		}
		if b.State != Open || b.Reason != c.name {
			t.Errorf("%s: state %s, reason %q after a spend of %d", c.name, b.State, b.Reason, spent)
		}
		for i, limit := range params().limits() {
			if sum := b.Ledger.Windows[i].Sum(now) + b.Ledger.Outstanding(); sum > limit {
				t.Errorf("%s: %d spent or granted in window %d; its limit is %d", c.name, sum, i, limit)
			}
		}
	}
}

func TestStateTransitions(t *testing.T) {
	b := New()
	b.Draw(0, "n", 51, 51, params())
	if b.State != Open || b.RecoveryLeft(100*time.Second, params()) != 200*time.Second {
		t.Fatalf("%s, %v left", b.State, b.RecoveryLeft(100*time.Second, params()))
	}
	if b.IssueProbe(299*time.Second, "p", params()) != 0 {
		t.Error("a probe was issued before the recovery time had passed")
	}
	at := 301 * time.Second
	if first, again, second, third := b.IssueProbe(at, "p", params()), b.IssueProbe(at, "p", params()), b.IssueProbe(at, "q", params()), b.IssueProbe(at, "r", params()); first != 1 || again != 1 || second != 2 || third != 0 {
		t.Errorf("probes %d %d %d %d", first, again, second, third)
	}
	b.RecordResult(at, "p", true, params())
	b.RecordResult(at, "q", false, params())
	if b.State != Open || b.Since != at {
		t.Errorf("after a failed probe: %s", b.State)
	}
	at += 301 * time.Second
	b.IssueProbe(at, "p", params())
	b.IssueProbe(at, "q", params())
	b.RecordResult(at, "p", true, params())
	if b.State != HalfOpen {
		t.Errorf("after one successful probe: %s", b.State)
	}
	b.RecordResult(at, "q", true, params())
	if b.State != Closed {
		t.Errorf("after all probes succeeded: %s", b.State)
	}
	if b.Trips != 1 {
		t.Errorf("%d trips", b.Trips)
	}
}
