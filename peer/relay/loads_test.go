package relay

import (
	"testing"
	"time"

	"saffronfall/peer/registry"
)

// TestLoadIndexUsesCurrentRegistryIncarnation: replicas listed only by an earlier incarnation have
// no index, even if both incarnations have the same version.
func TestLoadIndexUsesCurrentRegistryIncarnation(t *testing.T) {
	h := newHarness(t)
	h.node.params.LoadReportInterval = 100 * time.Millisecond
	tell := func(incarnation string, list []registry.ReplicaEntry) {
		h.apply(h.node.Receive(h.now, "d1:1", registry.Update{Incarnation: incarnation, Version: 7, Replicas: list, NodeCount: 1}))
	}
	tell("first", listings("app", "a1", "a2", "a3"))
	if got := h.node.registries["d1:1"].loadIndex(); len(got) != 3 {
		t.Fatalf("index %v", got)
	}
	tell("second", listings("app", "a1", "a3"))
	if got := h.node.registries["d1:1"].loadIndex(); len(got) != 2 || got[0] != "a1" || got[1] != "a3" {
		t.Errorf("after a restart: index %v", got)
	}
	h.node.mergeListings(h.now)
	h.apply(h.node.Receive(h.now, "d1:1", registry.Loads{Incarnation: "second", Version: 7, Outstanding: []byte{2, 9}, FailureRates: []byte{0, 0}, UnitTimes: []uint16{0, 0}}))
	if h.node.loadUpdates != 1 || h.node.Counters.BadMessages != 0 {
		t.Errorf("%d load reports applied, %d bad messages", h.node.loadUpdates, h.node.Counters.BadMessages)
	}
	if running := h.node.replicas["a3"].estimate.Running(h.now, time.Second); running != 9 {
		t.Errorf("a3 has %d requests running", running)
	}
	if h.node.replicas["a2"] == nil {
		t.Error("a replica listed by the earlier incarnation is forgotten at once")
	}
}
