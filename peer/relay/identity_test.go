package relay

import (
	"testing"

	"saffronfall/peer/core"
	"saffronfall/rule/configuration"
	"saffronfall/rule/route"
)

// TestRequestersIDsDecideNothing: ids that requesters choose may repeat.
func TestRequestersIDsDecideNothing(t *testing.T) {
	t.Run("an attempt's id used again", attemptUsedAgain)
	t.Run("a cached turn of another tenant", cachedTurnOfAnother)
}

// attemptUsedAgain: an id that a requester uses for several turns
// must not let them run on one reservation.
func attemptUsedAgain(t *testing.T) {
	turn := func(a *Ask) { a.Program, a.Budget, a.Most, a.Attempt = "p", 100, 60, "same" }
	t.Run("after its end", func(t *testing.T) {
		g := newRig(t)
		g.begin()
		first := g.arrive(ask("/chat/x", turn))
		g.want(first, StepSend, 0)
		g.came(first, Outcome{Kind: Whole, Events: 6, Begun: true, Failed: true})
		g.want(g.arrive(ask("/chat/x", turn)), StepRefuse, 402)
	})
	t.Run("side by side", func(t *testing.T) {
		g := newRig(t)
		g.begin()
		g.want(g.arrive(ask("/chat/x", turn)), StepSend, 0)
		g.want(g.arrive(ask("/chat/x", turn)), StepRefuse, 402)
	})
}

// cachedTurnOfAnother: the cache says what is kept and never that
// nothing is.
func cachedTurnOfAnother(t *testing.T) {
	g := newRig(t)
	g.hear("d1:1", replicas("model", "m1", "m2"), 1, table(1, func(t *route.Table) {
		t.Tenants = append(t.Tenants, route.Tenant{Name: "t2", Keys: []string{configuration.KeyDigest("second key")}})
	}))
	g.kept["same"] = core.StoreTurn{Tenant: "t2", Attempt: "same", Input: []byte("in of t2"), Output: []byte("out of t2")}
	g.m.cache.put(&turn{attempt: "same", tenant: "t1", input: []byte("in of t1"), output: []byte("out of t1"), until: g.now + 1<<40})
	w := g.arrive(ask("/chat/x", func(a *Ask) { a.Key, a.Previous = "second key", "same" }))
	g.want(w, StepSend, 0)
	if said := g.last(w).Before; len(said) != 2 || string(said[0]) != "in of t2" {
		t.Fatalf("goes on from %q", said)
	}
}
