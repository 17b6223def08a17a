package simulator

import (
	"testing"
	"time"

	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/program"
)

// Without a free slot a turn waits within its time budget. A full queue refuses at once, with a
// retry time that grows with the queue.
func TestWaitForReplicaCapacity(t *testing.T) {
	p := defaults(7)
	p.Cores, p.Nodes, p.Users, p.Replicas, p.Rate, p.Burst, p.MemberLease, p.Zones = 3, 3, 0, 1, 500, 900, 2*time.Second, 3
	p.Configuration = configurationWith(func(role, tenant, services, breaker tree) {
		role["sessions_per_minute"], role["concurrent_sessions"] = 1000, 1000
		tenant["inquiries_per_second"], tenant["burst"] = 500, 900
		services["model"] = tree{"kind": "model", "shots_per_replica": 1}
	})
	w := withLimits(NewWithoutFaults(p))
	w.Record.Limits.Rate["t1"], w.Record.Limits.Burst["t1"] = 500, 900
	var ids []string
	for i := 0; i < 24; i++ {
		_, opened := open(w, 0, w.newID("u"))
		ids = append(ids, opened.Text)
	}
	w.Advance(time.Second)
	whole, refused := 0, 0
	var waits []time.Duration
	began := w.now
	for _, id := range ids {
		w.submit(w.nodes[0], node.Request{Kind: node.KindTurn, Key: "key-t1", Program: id, Service: "model", PreviousHead: program.EmptyHead, Prompt: w.newID("say"), MaxTokens: 20, Timeout: 4 * time.Second}, func(result judge.Request, last node.Frame) {
			switch {
			case result.Outcome == judge.Whole:
				whole++
			case result.Code == "no_replica":
				refused++
				waits = append(waits, last.Verdict.RetryAfter)
			}
		})
	}
	w.Advance(4 * time.Second)
	if whole < 3 || refused < 8 || whole+refused != len(ids) {
		t.Errorf("%d whole, %d refused of %d within %v", whole, refused, len(ids), w.now-began)
	}
	for _, wait := range waits {
		if wait <= 0 || wait > 10*time.Second {
			t.Errorf("retry time %v", wait)
		}
	}
	expectNoBreaches(t, w)
}
