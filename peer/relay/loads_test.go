package relay

import (
	"testing"
	"time"

	"saffronfall/peer/desk"
)

// TestPlacesAreOfTheDesksPresentLife: after a desk's restart, replicas that only its
// earlier life told of are kept for a while, and loads do not count them among their
// places, even where both lives have the same version.
func TestPlacesAreOfTheDesksPresentLife(t *testing.T) {
	g := newRig(t)
	g.m.params.LoadPeriod = 100 * time.Millisecond
	tell := func(life string, list []desk.ReplicaEntry) {
		g.take(g.m.Receive(g.now, "d1:1", desk.Update{Incarnation: life, Version: 7, Replicas: list, NodeCount: 1}))
	}
	tell("first", replicas("app", "a1", "a2", "a3"))
	if got := g.m.boards["d1:1"].places(); len(got) != 3 {
		t.Fatalf("places %v", got)
	}
	tell("second", replicas("app", "a1", "a3"))
	if got := g.m.boards["d1:1"].places(); len(got) != 2 || got[0] != "a1" || got[1] != "a3" {
		t.Errorf("after a restart: places %v", got)
	}
	g.m.gather(g.now)
	g.take(g.m.Receive(g.now, "d1:1", desk.Loads{Incarnation: "second", Version: 7, Outstanding: []byte{2, 9}, FailureRates: []byte{0, 0}, UnitTimes: []uint16{0, 0}}))
	if g.m.loadsHeard != 1 || g.m.Counters.BadMessages != 0 {
		t.Errorf("%d words of load are heard, %d messages are bad", g.m.loadsHeard, g.m.Counters.BadMessages)
	}
	if running := g.m.replicas["a3"].estimate.Running(g.now, time.Second); running != 9 {
		t.Errorf("a3 has %d under way", running)
	}
	if g.m.replicas["a2"] == nil {
		t.Error("a replica that the earlier life told of is forgotten at once")
	}
}
