package capacity

import (
	"testing"
	"time"
)

// A fleet of 264 nodes has nine times the nodes, replicas and cores of one of 30. Every node must
// learn of all replicas and cores, so its bytes may grow with them, but less than the fleet.
const maxGrowth = 3

func measureRestart(t *testing.T, p Point, seed uint64) Restart {
	t.Helper()
	result, err := MeasureRestart(p, seed)
	if err != nil {
		t.Fatalf("%d nodes, seed %d: %v", p.Nodes, seed, err)
	}
	return result
}

// TestRestartCostGrowsWithFleetSize guards against a start whose bytes grow with the square of the nodes.
func TestRestartCostGrowsWithFleetSize(t *testing.T) {
	small, large := measureRestart(t, RestartPoint(30), 1), measureRestart(t, RestartPoint(264), 1)
	if large.NodeBytes > maxGrowth*small.NodeBytes {
		t.Errorf("a node received %.0f bytes beside 29 others, %.0f beside 263", small.NodeBytes, large.NodeBytes)
	}
	if large.RegistryBytesPerNode > maxGrowth*small.RegistryBytesPerNode {
		t.Errorf("a registry sent %.0f bytes for each of 30 nodes, %.0f for each of 264", small.RegistryBytesPerNode, large.RegistryBytesPerNode)
	}
}

// TestLargeFleetServesSoonAfterPowerLoss guards against reads, orders and nodes that wait for a registry's own messages.
func TestLargeFleetServesSoonAfterPowerLoss(t *testing.T) {
	type run struct {
		nodes int
		seed  uint64
	}
	runs := []run{{nodes: 264, seed: 2}, {nodes: 264, seed: 3}, {nodes: targetNodes, seed: 1}}
	if testing.Short() {
		runs = runs[:1]
	}
	for _, x := range runs {
		r := measureRestart(t, RestartPoint(x.nodes), x.seed)
		if r.ReadAfter > 500*time.Millisecond || r.OrderAfter > 500*time.Millisecond {
			t.Errorf("%+v: the last registry answered a read %v after the cores led, an order was accepted after %v", x, r.ReadAfter, r.OrderAfter)
		}
		if r.ReadyAfter > time.Second {
			t.Errorf("%+v: the last node was ready %v after its start", x, r.ReadyAfter)
		}
	}
}

// targetNodes is the number of nodes of the users' target (docs/CAPACITY.md).
const targetNodes = 370
