package relay

import (
	"testing"
	"time"
)

// TestLateProgramsYieldAtReplicas: a turn whose program's time is over, or ends while the
// turn waits, is the least urgent one at its replica.
func TestLateProgramsYieldAtReplicas(t *testing.T) {
	for _, c := range []struct {
		name    string
		horizon Horizon
		urgency int64
	}{
		{"no horizon is told", Horizon{}, 0},
		{"in time", Horizon{Left: time.Second, Known: true}, 0},
		{"late", Horizon{Left: -time.Second, Known: true}, leastUrgent},
		{"just over", Horizon{Known: true}, leastUrgent},
	} {
		g := newRig(t)
		g.begin()
		w := g.arrive(ask("/chat/x", func(a *Ask) { a.Program, a.Horizon = "p", c.horizon }))
		if got := g.last(w); got.Kind != StepSend || got.Urgency != c.urgency {
			t.Errorf("%s: %s with urgency %d", c.name, got.Kind, got.Urgency)
		}
	}
	w := way{ask: Ask{Horizon: Horizon{Left: time.Second, Known: true}}, route: &tableOf(t, 1).Routes[0], arrived: time.Second}
	if before, after := w.urgencyAtReplica(1900*time.Millisecond), w.urgencyAtReplica(2*time.Second); before == leastUrgent || after != leastUrgent {
		t.Errorf("a turn that waits: %d, then %d", before, after)
	}
}
