package relay

import (
	"testing"
	"time"

	"saffronfall/peer/registry"
	"saffronfall/rule/route"
)

// confirm delivers a registry's confirmation that a table was the newest some time ago.
func (h *harness) confirm(number uint64, ago time.Duration) {
	h.version++
	h.apply(h.node.Receive(h.now, "d1:1", registry.Update{Incarnation: "l", Version: h.version, TableNumber: number, ConfirmationAge: ago, NodeCount: 1}))
}

// unknownRequests are requests with an unknown route or key, by the status for a confirmed table.
var unknownRequests = map[int]Request{
	404: newRequest("/added/x", nil),
	401: newRequest("/once/x", func(r *Request) { r.Key = "added" }),
}

// TestUnknownInStaleTable: a newer table may have the route or key, so the requester must retry.
func TestUnknownInStaleTable(t *testing.T) {
	h := newHarness(t)
	h.start()
	answers := func(when string, stale bool) {
		t.Helper()
		for status, r := range unknownRequests {
			want := status
			if stale {
				want = 503
			}
			if s := h.lastStep(h.request(r)); s.Kind != StepRefuse || s.Status != want || stale != (s.RetryAfter > 0) {
				t.Errorf("%s: %+v, want %d", when, s, want)
			}
		}
	}
	answers("just confirmed", false)
	h.advance(staleHeartbeats*h.node.params.HeartbeatInterval + 20*time.Millisecond)
	answers("not confirmed recently", true)
	known := h.request(newRequest("/once/x", nil))
	h.expect(known, StepSend, 0)

	h.confirm(1, -1)
	answers("a registry without a confirmation", true)
	h.confirm(1, time.Minute)
	answers("a registry with an old confirmation", true)
	h.confirm(2, 0)
	answers("a newer table exists", true)
	h.confirm(0, 0)
	answers("an older table is confirmed", true)
	h.confirm(1, 0)
	answers("confirmed again", false)

	h.advance(staleHeartbeats*h.node.params.HeartbeatInterval + 20*time.Millisecond)
	h.version++
	h.apply(h.node.Receive(h.now, "d1:1", registry.Update{Incarnation: "l", Version: h.version, TableNumber: 2, NodeCount: 1,
		Table: tableJSON(2, func(t *route.Table) { t.Routes[0].TimeoutMS = 3500 })}))
	answers("a newer table was received", false)
}
