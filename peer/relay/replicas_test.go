package relay

import (
	"testing"
	"time"

	"saffronfall/peer/registry"
)

// TestLeavingIsRememberedAfterRegistryIsSilent: another registry may still list the replica.
func TestLeavingIsRememberedAfterRegistryIsSilent(t *testing.T) {
	for name, last := range map[string]func(l *registry.ReplicaEntry){
		"leaving": func(l *registry.ReplicaEntry) { l.Replica.Leaving, l.Replica.Sequence = true, 2 },
		"gone":    func(l *registry.ReplicaEntry) { l.Removed, l.Final = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.update("d1:1", listings("app", "a1"), 1, tableJSON(1, nil))
			h.update("d2:1", listings("app", "a1"), 1, nil)
			listed := listings("app", "a1")
			last(&listed[0])
			h.update("d1:1", listed, 1, nil)
			for range 10 {
				h.advance(lostHeartbeats * h.node.params.HeartbeatInterval / 5)
				h.update("d2:1", listings("app", "a1"), 1, nil)
			}
			ticket := h.request(newRequest("/again/x", func(r *Request) { r.Remaining = 200 * time.Millisecond }))
			if s := h.lastStep(ticket); s.Kind == StepSend {
				t.Fatalf("sent to %s, which has announced that it leaves", s.Replica.ID)
			}
		})
	}
}

// TestLeavingIsRememberedWhileListed: a replica may take long to leave. The departure is forgotten
// some time after the last listing.
func TestLeavingIsRememberedWhileListed(t *testing.T) {
	h := newHarness(t)
	listed := listings("app", "a1")
	listed[0].Replica.Leaving = true
	h.update("d1:1", listed, 1, tableJSON(1, nil))
	for range 3 * departedHeartbeats {
		h.advance(h.node.params.HeartbeatInterval)
		h.update("d1:1", nil, 1, nil)
	}
	if s := h.lastStep(h.request(newRequest("/again/x", func(r *Request) { r.Remaining = 200 * time.Millisecond }))); s.Kind == StepSend {
		t.Fatalf("sent to %s, which is leaving", s.Replica.ID)
	}
	// No registry lists the replica any more.
	delete(h.node.registries["d1:1"].replicas, "a1")
	h.advance((departedHeartbeats + 1) * h.node.params.HeartbeatInterval)
	if len(h.node.departed) != 0 {
		t.Fatalf("departures still remembered: %v", h.node.departed)
	}
}

// TestNodeDropsSilentRegistries: seeds stay, and none is dropped while no registry is alive.
func TestNodeDropsSilentRegistries(t *testing.T) {
	h := newHarness(t)
	h.update("d1:1", listings("app", "a1"), 1, tableJSON(1, nil))
	h.update("d2:1", nil, 1, nil)
	asked := func(address string) bool {
		for _, s := range h.node.Tick(h.now + h.node.params.UpdateInterval).Sends {
			if _, follows := s.Body.(registry.Subscribe); follows && s.To == address {
				return true
			}
		}
		return false
	}
	h.advance(2 * departedHeartbeats * h.node.params.HeartbeatInterval)
	if !asked("d2:1") {
		t.Fatal("dropped while no registry is alive")
	}
	for range 2 * departedHeartbeats {
		h.advance(h.node.params.HeartbeatInterval)
		h.update("d1:1", nil, 1, nil)
	}
	if asked("d2:1") || h.node.registries["d2:1"] != nil {
		t.Fatal("a silent registry is still asked for updates")
	}
	h.update("d3:1", nil, 1, nil)
	for range 2 * departedHeartbeats {
		h.advance(h.node.params.HeartbeatInterval)
		h.update("d3:1", nil, 1, nil)
	}
	if !asked("d1:1") {
		t.Fatal("a seed is no longer asked for updates")
	}
}

// TestNamedRegistryHidesNoReplicas: a named registry without an update does not count as alive, so
// the listings of the silent one stay valid.
func TestNamedRegistryHidesNoReplicas(t *testing.T) {
	h := newHarness(t)
	h.update("d1:1", listings("app", "a1"), 1, tableJSON(1, nil))
	h.advance((lostHeartbeats - 1) * h.node.params.HeartbeatInterval)
	h.node.registryAddresses = append(h.node.registryAddresses, "d9:1")
	h.advance(2 * h.node.params.HeartbeatInterval)
	h.expect(h.request(newRequest("/once/x", nil)), StepSend, 0)
}
