package relay

import (
	"testing"

	"saffronfall/peer/registry"
)

// TestNodeConfirmsLeavingReplica: the registry must learn at once that the node has the departure.
func TestNodeConfirmsLeavingReplica(t *testing.T) {
	h := newHarness(t)
	h.version++
	leaving := registry.ReplicaEntry{Replica: registry.Replica{ID: "r1", Service: "app", Leaving: true}, Version: h.version}
	for _, confirm := range []bool{false, true} {
		o := h.node.Receive(h.now, "d1:1", registry.Update{Incarnation: "l", Version: h.version, Replicas: []registry.ReplicaEntry{leaving}, NodeCount: 1, RenewNow: confirm})
		confirmed := false
		for _, s := range o.Sends {
			f, ok := s.Body.(registry.Subscribe)
			confirmed = confirmed || ok && s.To == "d1:1" && f.Incarnation == "l" && f.Version == h.version
		}
		if confirmed != confirm {
			t.Errorf("confirmation asked for: %v, sent: %v", confirm, confirmed)
		}
	}
}
