package breaker

import (
	"testing"
	"time"
)

func params() Params {
	return Params{Minute: 50, Hour: 500, Day: 2000, Recovery: 300 * time.Second, Tests: 2}
}

// TestTrips: by each of the three thresholds, and by needs only.
func TestTrips(t *testing.T) {
	b := New()
	if got := b.Draw(0, "idle", 60, 0, params()); got != 50 || b.State != Closed {
		t.Errorf("held in advance: %d, %s", got, b.State)
	}
	b.Ledger.Report(0, "idle", 0, 50)
	for _, c := range []struct {
		name  string
		every time.Duration
		need  int64
	}{{"spend of the minute", time.Second, 10}, {"spend of the hour", time.Minute, 45}, {"spend of the day", 10 * time.Minute, 45}} {
		b := New()
		var now time.Duration
		var spent int64
		for i := 0; i < 1000 && b.State == Closed; i++ {
			now += c.every
			if b.Draw(now, "n", c.need, c.need, params()); b.State == Closed {
				spent += c.need
				b.Ledger.Report(now, "n", spent, 0)
			}
		}
		if b.State != Open || b.Reason != c.name {
			t.Errorf("%s: %s by %q after %d", c.name, b.State, b.Reason, spent)
		}
		for i, limit := range params().limits() {
			if sum := b.Ledger.Windows[i].Sum(now) + b.Ledger.Out(); sum > limit {
				t.Errorf("%s: window %d has %d of %d", c.name, i, sum, limit)
			}
		}
	}
}

// TestCycle: open for the recovery window, then numbered tests, a bad one opens
// it again, enough good ones close it.
func TestCycle(t *testing.T) {
	b := New()
	b.Draw(0, "n", 51, 51, params())
	if b.State != Open || b.Left(100*time.Second, params()) != 200*time.Second {
		t.Fatalf("%s, %v left", b.State, b.Left(100*time.Second, params()))
	}
	if b.Admit(299*time.Second, "p", params()) != 0 {
		t.Error("a test before the recovery window was over")
	}
	at := 301 * time.Second
	if a, again, c, d := b.Admit(at, "p", params()), b.Admit(at, "p", params()), b.Admit(at, "q", params()), b.Admit(at, "r", params()); a != 1 || again != 1 || c != 2 || d != 0 {
		t.Errorf("tests %d %d %d %d", a, again, c, d)
	}
	b.Result(at, "p", true, params())
	b.Result(at, "q", false, params())
	if b.State != Open || b.Since != at {
		t.Errorf("after a bad test: %s", b.State)
	}
	at += 301 * time.Second
	b.Admit(at, "p", params())
	b.Admit(at, "q", params())
	b.Result(at, "p", true, params())
	if b.State != HalfOpen {
		t.Errorf("after one good test: %s", b.State)
	}
	b.Result(at, "q", true, params())
	if b.State != Closed {
		t.Errorf("after all good tests: %s", b.State)
	}
	if b.Trips != 1 {
		t.Errorf("%d trips", b.Trips)
	}
}
