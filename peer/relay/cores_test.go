package relay

import (
	"testing"
	"time"
)

// TestNodeWithoutCoresRefusesPromptly: only requests that need the silent cores are refused, and
// the node detects by itself that the cores are back.
func TestNodeWithoutCoresRefusesPromptly(t *testing.T) {
	turn := func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens = "p", 1000, 100 }
	retry := 100 * time.Millisecond
	h := newHarness(t)
	h.start()
	first := h.request(newRequest("/chat/1", turn))
	h.expect(first, StepSend, 0)
	h.outcome(first, Outcome{Kind: OutcomeComplete, Events: 1, Started: true})
	h.expect(first, StepDeliver, 0)
	h.coresSilent = true
	// Without commands, silence of the cores means nothing.
	h.advance(20 * time.Second)
	if !h.node.Ready(h.now) {
		t.Fatal("a node that sent no commands is not ready")
	}
	waiting := h.request(newRequest("/chat/1", turn))
	h.advance(unreadyRetries*retry - 20*time.Millisecond)
	if !h.node.Ready(h.now) || len(h.steps[waiting]) != 0 {
		t.Fatal("not ready, or the request refused, too early")
	}
	h.advance(60 * time.Millisecond)
	if h.node.Ready(h.now) {
		t.Fatal("still ready after unreadyRetries")
	}
	h.advance((unreachableRetries - unreadyRetries) * retry)
	h.expect(waiting, StepRefuse, 503)
	late := h.request(newRequest("/chat/1", turn))
	h.expect(late, StepRefuse, 503)
	if h.lastStep(late).RetryAfter <= 0 {
		t.Error("the refusal has no time to retry after")
	}
	h.expect(h.request(newRequest("/once/1", nil)), StepSend, 0)
	h.advance(20 * time.Second)
	if h.node.Ready(h.now) {
		t.Fatal("ready while no core answers")
	}
	h.coresSilent = false
	h.advance(2 * probeRetries * retry)
	if !h.node.Ready(h.now) {
		t.Fatal("not ready although the cores answer again")
	}
	h.expect(h.request(newRequest("/chat/1", turn)), StepSend, 0)
}
