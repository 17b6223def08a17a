package relay

import (
	"testing"
	"time"

	"saffronfall/rule/route"
)

// TestRetriesHaveLessTime: a further attempt gets only what is left of the request's time.
func TestRetriesHaveLessTime(t *testing.T) {
	h := newHarness(t)
	h.start()
	ticket := h.request(newRequest("/once/x", func(r *Request) { r.Remaining = 2 * time.Second }))
	first := h.lastStep(ticket)
	h.advance(700 * time.Millisecond)
	h.outcome(ticket, Outcome{Kind: OutcomeNotRun})
	second := h.lastStep(ticket)
	if first.Kind != StepSend || second.Kind != StepSend || first.Replica.ID == second.Replica.ID {
		t.Fatalf("%+v, then %+v", first, second)
	}
	if first.Timeout > 2*time.Second || second.Timeout > first.Timeout-700*time.Millisecond {
		t.Errorf("timeout %v at first, and %v after 700 ms", first.Timeout, second.Timeout)
	}
}

// TestConnectionsStayWithinReplicaLimit: nodes share a service's connections to a replica.
func TestConnectionsStayWithinReplicaLimit(t *testing.T) {
	const connections, nodes = 30, 5
	h := newHarness(t)
	h.start()
	h.update("d1:1", nil, 2, tableJSON(2, func(t *route.Table) { t.Services[1].Connections = connections }))
	h.node.nodeCount = nodes
	at := map[string]int{}
	for range 100 {
		if s := h.lastStep(h.request(newRequest("/once/x", nil))); s.Kind == StepSend {
			at[s.Replica.ID]++
		}
	}
	for id, count := range at {
		if count > connections/nodes {
			t.Errorf("%s gets %d connections from this node, of %d for %d nodes", id, count, connections, nodes)
		}
	}
	if len(at) != 3 {
		t.Errorf("sent to %v", at)
	}
}
