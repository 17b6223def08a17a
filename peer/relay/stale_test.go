package relay

import (
	"testing"
	"time"

	"saffronfall/peer/desk"
	"saffronfall/rule/route"
)

// confirmed brings a desk's word that its table of a number was the newest a
// while ago.
func (g *rig) confirmed(number uint64, ago time.Duration) {
	g.version++
	g.take(g.m.Receive(g.now, "d1:1", desk.Update{Incarnation: "l", Version: g.version, TableNumber: number, ConfirmationAge: ago, NodeCount: 1}))
}

// unknownThings are a request on a route, and one with a key, that the table
// does not have, with what a node answers that is sure of its table.
var unknownThings = map[int]Ask{
	404: ask("/added/x", nil),
	401: ask("/once/x", func(a *Ask) { a.Key = "added" }),
}

// TestUnknownToAStaleTable: a node that has not heard for long that its table
// is the newest leaves what that table does not know to other nodes.
func TestUnknownToAStaleTable(t *testing.T) {
	g := newRig(t)
	g.begin()
	answers := func(when string, stale bool) {
		t.Helper()
		for status, a := range unknownThings {
			want := status
			if stale {
				want = 503
			}
			if s := g.last(g.arrive(a)); s.Kind != StepRefuse || s.Status != want || stale != (s.RetryAfter > 0) {
				t.Errorf("%s: %+v, want %d", when, s, want)
			}
		}
	}
	answers("just confirmed", false)
	g.pass(staleBeats*g.m.params.Beat + 20*time.Millisecond)
	answers("unconfirmed for long", true)
	known := g.arrive(ask("/once/x", nil))
	g.want(known, StepSend, 0)

	g.confirmed(1, -1)
	answers("a desk that was never told", true)
	g.confirmed(1, time.Minute)
	answers("a desk that is itself cut off", true)
	g.confirmed(2, 0)
	answers("a newer table is known of", true)
	g.confirmed(0, 0)
	answers("an older table is confirmed", true)
	g.confirmed(1, 0)
	answers("confirmed again", false)

	g.pass(staleBeats*g.m.params.Beat + 20*time.Millisecond)
	g.version++
	g.take(g.m.Receive(g.now, "d1:1", desk.Update{Incarnation: "l", Version: g.version, TableNumber: 2, NodeCount: 1,
		Table: table(2, func(t *route.Table) { t.Routes[0].TimeoutMS = 3500 })}))
	answers("a newer table came", false)
}
