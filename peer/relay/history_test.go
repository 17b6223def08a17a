package relay

import (
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/invariant"
)

// TestWhyATurnIsNotFound: what was never kept, another tenant's, what has run out and
// what is missed within its time end by causes of their own, and only the last is a
// breach, which promises nothing of the turn.
func TestWhyATurnIsNotFound(t *testing.T) {
	// The route's turns are owed for 60 s.
	for _, c := range []struct {
		name     string
		keptHere bool
		after    time.Duration
		absence  core.Absence
		cause    Cause
		status   int
		breaches int
	}{
		{"never kept", false, 0, core.NotStored, CauseHistoryUnknown, 404, 0},
		{"another tenant's", false, 0, core.OtherTenant, CauseHistoryForeign, 404, 0},
		{"run out, as the cores know", false, 0, core.Expired, CauseHistoryExpired, 404, 0},
		{"run out, as this node knows", true, 61 * time.Second, core.NotStored, CauseHistoryExpired, 404, 0},
		{"missed within its time", true, 59 * time.Second, core.NotStored, CauseHistoryMissing, 503, 1},
		{"said to have run out within its time", true, 0, core.Expired, CauseHistoryMissing, 503, 1},
	} {
		g := newRig(t)
		breaches := 0
		g.m.violated = func(v invariant.Violation) {
			if v.Name == invariant.TurnKeptUntilDeadline {
				breaches++
			}
		}
		g.begin()
		if c.keptHere {
			first := g.arrive(ask("/chat/x", func(a *Ask) { a.Attempt = "first" }))
			g.came(first, Outcome{Kind: Whole, Events: 1, Begun: true, Output: []byte("o\n")})
			g.want(first, StepPass, 0)
		}
		// It is neither in this node's cache nor at the cores.
		g.m.cache = newCache(1 << 20)
		delete(g.kept, "first")
		g.absence = c.absence
		g.pass(c.after)
		w := g.arrive(ask("/chat/x", func(a *Ask) { a.Attempt, a.Previous = "second", "first" }))
		g.want(w, StepRefuse, c.status)
		if last := g.ended[len(g.ended)-1]; last.Cause != c.cause || breaches != c.breaches {
			t.Errorf("%s: %s, %d breaches", c.name, last.Cause, breaches)
		}
	}
}

// TestKeptTurnsAreForgotten: what a node remembers of them is bounded.
func TestKeptTurnsAreForgotten(t *testing.T) {
	var k keptTurns
	for i := 0; i < 3*keptTurnsMost; i++ {
		k.add(turnName{tenant: "t", attempt: string(rune(i))}, time.Duration(i))
	}
	if len(k.owed) != keptTurnsMost || len(k.ring) != keptTurnsMost {
		t.Errorf("%d and %d are remembered", len(k.owed), len(k.ring))
	}
	if _, known := k.until(turnName{tenant: "t", attempt: string(rune(3*keptTurnsMost - 1))}); !known {
		t.Error("the last one is not remembered")
	}
}
