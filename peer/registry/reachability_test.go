package registry

import (
	"testing"
	"time"
)

// TestUnreachableRegistryIsIsolated checks a registry that receives messages of its nodes while its
// own messages to them are lost.
func TestUnreachableRegistryIsIsolated(t *testing.T) {
	for _, delivered := range []bool{false, true} {
		m := connectedRegistry(t, 0)
		nodes := map[string]uint64{"n1:1": 0, "n2:1": 0, "n3:1": 0}
		isolated := time.Duration(0)
		for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
			m.Tick(now)
			if now%(m.params.HeartbeatInterval/2) == 0 {
				for address, version := range nodes {
					o := m.Receive(now, address, Subscribe{Node: address, Incarnation: m.incarnation, Version: version})
					for _, b := range sentTo[Update](o, address) {
						if delivered {
							nodes[address] = b.Version
						}
					}
				}
			}
			if isolated == 0 && m.Isolated(now) {
				isolated = now
			}
		}
		switch {
		case delivered && isolated > 0:
			t.Errorf("isolated at %v although all nodes receive its messages", isolated)
		case !delivered && (isolated == 0 || isolated > 4*m.params.HeartbeatInterval):
			t.Errorf("no node receives its messages, and it is isolated at %v", isolated)
		}
	}
}
