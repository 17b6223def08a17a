package relay

import (
	"testing"
	"time"
)

// TestCutOffNodeRefusesSoon: a node that has heard from no core for long is not
// ready and refuses what needs them at once, as not run, so that the client can
// try another; the rest it serves. It notices by itself when they are back.
func TestNodeWithoutCoresRefusesPromptly(t *testing.T) {
	turn := func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens = "p", 1000, 100 }
	retry := 100 * time.Millisecond
	h := newHarness(t)
	h.start()
	first := h.request(newRequest("/chat/1", turn))
	h.expect(first, StepSend, 0)
	h.outcome(first, Outcome{Kind: OutcomeComplete, Events: 1, Started: true})
	h.expect(first, StepDeliver, 0)
	h.silent = true
	// Nothing is asked of the cores for long: that is no sign of a cut.
	h.advance(20 * time.Second)
	if !h.m.Ready(h.now) {
		t.Fatal("a node that asked nothing is not ready")
	}
	waiting := h.request(newRequest("/chat/1", turn))
	h.advance(unreadyRetries*retry - 20*time.Millisecond)
	if !h.m.Ready(h.now) || len(h.steps[waiting]) != 0 {
		t.Fatal("given up too early")
	}
	h.advance(60 * time.Millisecond)
	if h.m.Ready(h.now) {
		t.Fatal("still ready")
	}
	h.advance((unreachableRetries - unreadyRetries) * retry)
	h.expect(waiting, StepRefuse, 503)
	late := h.request(newRequest("/chat/1", turn))
	h.expect(late, StepRefuse, 503)
	if h.last(late).RetryAfter <= 0 {
		t.Error("it is not told when to come back")
	}
	h.expect(h.request(newRequest("/once/1", nil)), StepSend, 0)
	h.advance(20 * time.Second)
	if h.m.Ready(h.now) {
		t.Fatal("ready though the cores are silent")
	}
	h.silent = false
	h.advance(2 * probeRetries * retry)
	if !h.m.Ready(h.now) {
		t.Fatal("it did not notice that the cores are back")
	}
	h.expect(h.request(newRequest("/chat/1", turn)), StepSend, 0)
}
