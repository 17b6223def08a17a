package relay

import (
	"testing"
	"time"

	"saffronfall/rule/route"
)

// TestFurtherSendingsHaveLessTime: a replica that a request is sent on to is told what is
// left then, not what was left at first.
func TestFurtherSendingsHaveLessTime(t *testing.T) {
	g := newRig(t)
	g.begin()
	w := g.arrive(ask("/once/x", func(a *Ask) { a.Left = 2 * time.Second }))
	first := g.last(w)
	g.pass(700 * time.Millisecond)
	g.came(w, Outcome{Kind: NotRun})
	second := g.last(w)
	if first.Kind != StepSend || second.Kind != StepSend || first.Replica.ID == second.Replica.ID {
		t.Fatalf("%+v, then %+v", first, second)
	}
	if first.Within > 2*time.Second || second.Within > first.Within-700*time.Millisecond {
		t.Errorf("told %v, and %v after 700 ms", first.Within, second.Within)
	}
}

// TestConnectionsStayWithinAReplicasBound: all nodes together may have as many connections
// to a replica as its service allows, so each has its part of them.
func TestConnectionsStayWithinAReplicasBound(t *testing.T) {
	const connections, nodes = 30, 5
	g := newRig(t)
	g.begin()
	g.hear("d1:1", nil, 2, table(2, func(t *route.Table) { t.Services[1].Connections = connections }))
	g.m.nodes = nodes
	at := map[string]int{}
	for range 100 {
		if s := g.last(g.arrive(ask("/once/x", nil))); s.Kind == StepSend {
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
