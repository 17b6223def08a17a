package relay

import (
	"testing"
	"time"

	"saffronfall/peer/desk"
)

// TestPlacesAreOfTheDesksPresentLife: after a desk's restart, replicas that only its
// earlier life told of are kept for a while, and loads do not count them among their
// places, even where both lives have the same version.
func TestLoadIndexUsesCurrentDeskIncarnation(t *testing.T) {
	h := newHarness(t)
	h.m.params.LoadReportInterval = 100 * time.Millisecond
	tell := func(life string, list []desk.Listed) {
		h.apply(h.m.Receive(h.now, "d1:1", desk.Bulletin{Life: life, Version: 7, List: list, Nodes: 1}))
	}
	tell("first", listings("app", "a1", "a2", "a3"))
	if got := h.m.desks["d1:1"].loadIndex(); len(got) != 3 {
		t.Fatalf("places %v", got)
	}
	tell("second", listings("app", "a1", "a3"))
	if got := h.m.desks["d1:1"].loadIndex(); len(got) != 2 || got[0] != "a1" || got[1] != "a3" {
		t.Errorf("after a restart: places %v", got)
	}
	h.m.mergeListings(h.now)
	h.apply(h.m.Receive(h.now, "d1:1", desk.Loads{Life: "second", Version: 7, Outstanding: []byte{2, 9}, Failing: []byte{0, 0}, Paces: []uint16{0, 0}}))
	if h.m.loadUpdates != 1 || h.m.Counters.BadMessages != 0 {
		t.Errorf("%d words of load are heard, %d messages are bad", h.m.loadUpdates, h.m.Counters.BadMessages)
	}
	if running := h.m.replicas["a3"].estimate.Running(h.now, time.Second); running != 9 {
		t.Errorf("a3 has %d under way", running)
	}
	if h.m.replicas["a2"] == nil {
		t.Error("a replica that the earlier life told of is forgotten at once")
	}
}
