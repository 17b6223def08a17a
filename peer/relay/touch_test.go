package relay

import (
	"testing"
	"time"
)

// TestCutOffNodeRefusesSoon: a node that has heard from no core for long is not
// ready and refuses what needs them at once, as not run, so that the client can
// try another; the rest it serves. It notices by itself when they are back.
func TestCutOffNodeRefusesSoon(t *testing.T) {
	turn := func(a *Ask) { a.Program, a.Budget, a.Most = "p", 1000, 100 }
	retry := 100 * time.Millisecond
	g := newRig(t)
	g.begin()
	first := g.arrive(ask("/chat/1", turn))
	g.want(first, StepSend, 0)
	g.came(first, Outcome{Kind: Whole, Events: 1, Begun: true})
	g.want(first, StepPass, 0)
	g.silent = true
	// Nothing is asked of the cores for long: that is no sign of a cut.
	g.pass(20 * time.Second)
	if !g.m.Ready(g.now) {
		t.Fatal("a node that asked nothing is not ready")
	}
	waiting := g.arrive(ask("/chat/1", turn))
	g.pass(unreadyRetries*retry - 20*time.Millisecond)
	if !g.m.Ready(g.now) || len(g.steps[waiting]) != 0 {
		t.Fatal("given up too early")
	}
	g.pass(60 * time.Millisecond)
	if g.m.Ready(g.now) {
		t.Fatal("still ready")
	}
	g.pass((cutOffRetries - unreadyRetries) * retry)
	g.want(waiting, StepRefuse, 503)
	late := g.arrive(ask("/chat/1", turn))
	g.want(late, StepRefuse, 503)
	if g.last(late).RetryAfter <= 0 {
		t.Error("it is not told when to come back")
	}
	g.want(g.arrive(ask("/once/1", nil)), StepSend, 0)
	g.pass(20 * time.Second)
	if g.m.Ready(g.now) {
		t.Fatal("ready though the cores are silent")
	}
	g.silent = false
	g.pass(2 * probeRetries * retry)
	if !g.m.Ready(g.now) {
		t.Fatal("it did not notice that the cores are back")
	}
	g.want(g.arrive(ask("/chat/1", turn)), StepSend, 0)
}
