package relay

import (
	"testing"
	"time"

	"saffronfall/rule/route"
)

// TestFurtherSendingsHaveLessTime: a replica that a request is sent on to is told what is
// left then, not what was left at first.
func TestRetriesHaveLessTime(t *testing.T) {
	h := newHarness(t)
	h.start()
	w := h.request(newRequest("/once/x", func(r *Request) { r.Remaining = 2 * time.Second }))
	first := h.last(w)
	h.advance(700 * time.Millisecond)
	h.outcome(w, Outcome{Kind: OutcomeNotRun})
	second := h.last(w)
	if first.Kind != StepSend || second.Kind != StepSend || first.Replica.ID == second.Replica.ID {
		t.Fatalf("%+v, then %+v", first, second)
	}
	if first.Timeout > 2*time.Second || second.Timeout > first.Timeout-700*time.Millisecond {
		t.Errorf("told %v, and %v after 700 ms", first.Timeout, second.Timeout)
	}
}

// TestConnectionsStayWithinAReplicasBound: all nodes together may have as many connections
// to a replica as its service allows, so each has its part of them.
func TestConnectionsStayWithinReplicaLimit(t *testing.T) {
	const connections, nodes = 30, 5
	h := newHarness(t)
	h.start()
	h.update("d1:1", nil, 2, tableJSON(2, func(t *route.Table) { t.Services[1].Connections = connections }))
	h.m.nodes = nodes
	at := map[string]int{}
	for range 100 {
		if s := h.last(h.request(newRequest("/once/x", nil))); s.Kind == StepSend {
			at[s.Replica.ID]++
		}
	}
	for id, count := range at {
		if count > connections/nodes {
			t.Errorf("%s gets %d connections of this node, of %d for %d nodes", id, count, connections, nodes)
		}
	}
	if len(at) != 3 {
		t.Errorf("sent to %v", at)
	}
}
