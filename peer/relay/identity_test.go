package relay

import (
	"testing"

	"saffronfall/peer/core"
	"saffronfall/rule/configuration"
	"saffronfall/rule/route"
)

func TestRequesterIDsMayRepeat(t *testing.T) {
	t.Run("a reused attempt ID", testReusedAttempt)
	t.Run("a cached turn of another tenant", testCachedTurnOfOtherTenant)
}

// testReusedAttempt: turns with the same attempt ID must not share a reservation.
func testReusedAttempt(t *testing.T) {
	turn := func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens, r.Attempt = "p", 100, 60, "same" }
	t.Run("sequentially", func(t *testing.T) {
		h := newHarness(t)
		h.start()
		first := h.request(newRequest("/chat/x", turn))
		h.expect(first, StepSend, 0)
		h.outcome(first, Outcome{Kind: OutcomeComplete, Events: 6, Started: true, Failed: true})
		h.expect(h.request(newRequest("/chat/x", turn)), StepRefuse, 402)
	})
	t.Run("concurrently", func(t *testing.T) {
		h := newHarness(t)
		h.start()
		h.expect(h.request(newRequest("/chat/x", turn)), StepSend, 0)
		h.expect(h.request(newRequest("/chat/x", turn)), StepRefuse, 402)
	})
}

// testCachedTurnOfOtherTenant: a cached turn must not hide another tenant's turn with the same ID.
func testCachedTurnOfOtherTenant(t *testing.T) {
	h := newHarness(t)
	h.update("d1:1", listings("model", "m1", "m2"), 1, tableJSON(1, func(t *route.Table) {
		t.Tenants = append(t.Tenants, route.Tenant{Name: "t2", Keys: []string{configuration.KeyDigest("second key")}})
	}))
	h.storedTurns["same"] = core.StoreTurn{Tenant: "t2", Attempt: "same", Input: []byte("in of t2"), Output: []byte("out of t2")}
	h.node.cache.put(&turn{turnName: turnName{tenant: "t1", attempt: "same"}, input: []byte("in of t1"), output: []byte("out of t1"), storedUntil: h.now + 1<<40})
	ticket := h.request(newRequest("/chat/x", func(r *Request) { r.Key, r.Previous = "second key", "same" }))
	h.expect(ticket, StepSend, 0)
	if history := h.lastStep(ticket).History; len(history) != 2 || string(history[0]) != "in of t2" {
		t.Fatalf("continues from %q", history)
	}
}
