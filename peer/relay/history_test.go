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
func TestCausesOfMissingTurn(t *testing.T) {
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
		{"never kept", false, 0, core.NeverKept, CauseHistoryUnknown, 404, 0},
		{"another tenant's", false, 0, core.Foreign, CauseHistoryForeign, 404, 0},
		{"run out, as the cores know", false, 0, core.Expired, CauseHistoryExpired, 404, 0},
		{"run out, as this node knows", true, 61 * time.Second, core.NeverKept, CauseHistoryExpired, 404, 0},
		{"missed within its time", true, 59 * time.Second, core.NeverKept, CauseHistoryMissing, 503, 1},
		{"said to have run out within its time", true, 0, core.Expired, CauseHistoryMissing, 503, 1},
	} {
		h := newHarness(t)
		breaches := 0
		h.m.violated = func(v invariant.Violation) {
			if v.Name == invariant.TurnKeptUntilDeadline {
				breaches++
			}
		}
		h.start()
		if c.keptHere {
			first := h.request(newRequest("/chat/x", func(r *Request) { r.Attempt = "first" }))
			h.outcome(first, Outcome{Kind: OutcomeComplete, Events: 1, Started: true, Output: []byte("o\n")})
			h.expect(first, StepDeliver, 0)
		}
		// It is neither in this node's cache nor at the cores.
		h.m.cache = newTurnCache(1 << 20)
		delete(h.kept, "first")
		h.absence = c.absence
		h.advance(c.after)
		w := h.request(newRequest("/chat/x", func(r *Request) { r.Attempt, r.Previous = "second", "first" }))
		h.expect(w, StepRefuse, c.status)
		if last := h.completions[len(h.completions)-1]; last.Cause != c.cause || breaches != c.breaches {
			t.Errorf("%s: %s, %d breaches", c.name, last.Cause, breaches)
		}
	}
}

// TestKeptTurnsAreForgotten: what a node remembers of them is bounded.
func TestRecentTurnsAreBounded(t *testing.T) {
	var k recentTurns
	for i := 0; i < 3*maxRecentTurns; i++ {
		k.add(turnName{tenant: "t", attempt: string(rune(i))}, time.Duration(i))
	}
	if len(k.deadlines) != maxRecentTurns || len(k.order) != maxRecentTurns {
		t.Errorf("%d and %d are remembered", len(k.deadlines), len(k.order))
	}
	if _, known := k.deadline(turnName{tenant: "t", attempt: string(rune(3*maxRecentTurns - 1))}); !known {
		t.Error("the last one is not remembered")
	}
}
