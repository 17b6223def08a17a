package relay

import (
	"testing"

	"saffronfall/peer/desk"
)

// TestNodeConfirmsLeavingReplica: a desk that asks for confirmation is told at once which
// version the node has, which includes the leaving replica.
func TestNodeConfirmsLeavingReplica(t *testing.T) {
	h := newHarness(t)
	h.version++
	leaving := desk.ReplicaEntry{Replica: desk.Replica{ID: "r1", Service: "app", Leaving: true}, Version: h.version}
	for _, confirm := range []bool{false, true} {
		o := h.node.Receive(h.now, "d1:1", desk.Update{Incarnation: "l", Version: h.version, Replicas: []desk.ReplicaEntry{leaving}, NodeCount: 1, RenewNow: confirm})
		told := false
		for _, s := range o.Sends {
			f, ok := s.Body.(desk.Subscribe)
			told = told || ok && s.To == "d1:1" && f.Incarnation == "l" && f.Version == h.version
		}
		if told != confirm {
			t.Errorf("confirmation asked for: %v, sent: %v", confirm, told)
		}
	}
}
