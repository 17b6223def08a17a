package relay

import (
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/invariant"
)

// TestCausesOfMissingTurn: only a turn that is lost within its retention violates an invariant.
func TestCausesOfMissingTurn(t *testing.T) {
	// The route keeps turns for 60 s.
	for _, c := range []struct {
		name       string
		keptHere   bool
		after      time.Duration
		absence    core.Absence
		cause      Cause
		status     int
		violations int
	}{
		{"never stored", false, 0, core.NotStored, CauseHistoryUnknown, 404, 0},
		{"another tenant's", false, 0, core.OtherTenant, CauseHistoryForeign, 404, 0},
		{"expired, as the cores know", false, 0, core.Expired, CauseHistoryExpired, 404, 0},
		{"expired, as this node knows", true, 61 * time.Second, core.NotStored, CauseHistoryExpired, 404, 0},
		{"lost within its retention", true, 59 * time.Second, core.NotStored, CauseHistoryMissing, 503, 1},
		{"reported as expired within its retention", true, 0, core.Expired, CauseHistoryMissing, 503, 1},
	} {
		h := newHarness(t)
		violations := 0
		h.node.violated = func(v invariant.Violation) {
			if v.Name == invariant.TurnKeptUntilDeadline {
				violations++
			}
		}
		h.start()
		if c.keptHere {
			first := h.request(newRequest("/chat/x", func(r *Request) { r.Attempt = "first" }))
			h.outcome(first, Outcome{Kind: OutcomeComplete, Events: 1, Started: true, Output: []byte("o\n")})
			h.expect(first, StepDeliver, 0)
		}
		h.node.cache = newTurnCache(1<<20, 0)
		delete(h.storedTurns, "first")
		h.absence = c.absence
		h.advance(c.after)
		ticket := h.request(newRequest("/chat/x", func(r *Request) { r.Attempt, r.Previous = "second", "first" }))
		h.expect(ticket, StepRefuse, c.status)
		if last := h.completions[len(h.completions)-1]; last.Cause != c.cause || violations != c.violations {
			t.Errorf("%s: cause %s, %d violations", c.name, last.Cause, violations)
		}
	}
}

func TestRecentTurnsAreBounded(t *testing.T) {
	var rt recentTurns
	for i := 0; i < 3*maxRecentTurns; i++ {
		rt.add(turnName{tenant: "t", attempt: string(rune(i))}, time.Duration(i))
	}
	if len(rt.deadlines) != maxRecentTurns || len(rt.order) != maxRecentTurns {
		t.Errorf("%d deadlines and %d names are held", len(rt.deadlines), len(rt.order))
	}
	if _, known := rt.deadline(turnName{tenant: "t", attempt: string(rune(3*maxRecentTurns - 1))}); !known {
		t.Error("the latest turn is not held")
	}
}
