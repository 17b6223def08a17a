package relay

import (
	"testing"
	"time"

	"saffronfall/peer/desk"
	"saffronfall/rule/route"
)

// confirmed brings a desk's word that its table of a number was the newest a
// while ago.
func (h *harness) confirm(number uint64, ago time.Duration) {
	h.version++
	h.apply(h.m.Receive(h.now, "d1:1", desk.Bulletin{Life: "l", Version: h.version, Number: number, Confirmed: ago, Nodes: 1}))
}

// unknownThings are a request on a route, and one with a key, that the table
// does not have, with what a node answers that is sure of its table.
var unknownRequests = map[int]Request{
	404: newRequest("/added/x", nil),
	401: newRequest("/once/x", func(r *Request) { r.Key = "added" }),
}

// TestUnknownToAStaleTable: a node that has not heard for long that its table
// is the newest leaves what that table does not know to other nodes.
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
			if s := h.last(h.request(r)); s.Kind != StepRefuse || s.Status != want || stale != (s.RetryAfter > 0) {
				t.Errorf("%s: %+v, want %d", when, s, want)
			}
		}
	}
	answers("just confirmed", false)
	h.advance(staleHeartbeats*h.m.params.HeartbeatInterval + 20*time.Millisecond)
	answers("unconfirmed for long", true)
	known := h.request(newRequest("/once/x", nil))
	h.expect(known, StepSend, 0)

	h.confirm(1, -1)
	answers("a desk that was never told", true)
	h.confirm(1, time.Minute)
	answers("a desk that is itself cut off", true)
	h.confirm(2, 0)
	answers("a newer table is known of", true)
	h.confirm(0, 0)
	answers("an older table is confirmed", true)
	h.confirm(1, 0)
	answers("confirmed again", false)

	h.advance(staleHeartbeats*h.m.params.HeartbeatInterval + 20*time.Millisecond)
	h.version++
	h.apply(h.m.Receive(h.now, "d1:1", desk.Bulletin{Life: "l", Version: h.version, Number: 2, Nodes: 1,
		Table: tableJSON(2, func(t *route.Table) { t.Routes[0].TimeoutMS = 3500 })}))
	answers("a newer table came", false)
}
