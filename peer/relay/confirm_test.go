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
	leaving := desk.Listed{Replica: desk.Replica{ID: "r1", Service: "app", Leaving: true}, Version: g.version}
	for _, confirm := range []bool{false, true} {
		o := g.m.Receive(g.now, "d1:1", desk.Bulletin{Life: "l", Version: g.version, List: []desk.Listed{leaving}, Nodes: 1, Confirm: confirm})
		told := false
		for _, s := range o.Sends {
			f, ok := s.Body.(desk.Follow)
			told = told || ok && s.To == "d1:1" && f.Life == "l" && f.Version == g.version
		}
		if told != confirm {
			t.Errorf("asked %v, told %v", confirm, told)
		}
	}
}
