package relay

import (
	"testing"

	"saffronfall/peer/desk"
)

// TestNodeConfirmsWhoLeaves: a desk that asks for it is told at once up to where it was
// heard, the replica that leaves included.
func TestNodeConfirmsWhoLeaves(t *testing.T) {
	g := newRig(t)
	g.version++
	leaving := desk.ReplicaEntry{Replica: desk.Replica{ID: "r1", Service: "app", Leaving: true}, Version: g.version}
	for _, confirm := range []bool{false, true} {
		o := g.m.Receive(g.now, "d1:1", desk.Update{Incarnation: "l", Version: g.version, Replicas: []desk.ReplicaEntry{leaving}, NodeCount: 1, RenewNow: confirm})
		told := false
		for _, s := range o.Sends {
			f, ok := s.Body.(desk.Subscribe)
			told = told || ok && s.To == "d1:1" && f.Incarnation == "l" && f.Version == g.version
		}
		if told != confirm {
			t.Errorf("asked %v, told %v", confirm, told)
		}
	}
}
