package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/rule/partition"
)

// subscriptions returns the requests for updates by address.
func subscriptions(o Output) map[string]registry.Subscribe {
	sent := map[string]registry.Subscribe{}
	for _, s := range o.Sends {
		if request, ok := s.Body.(registry.Subscribe); ok {
			sent[s.To] = request
		}
	}
	return sent
}

func wholeRequests(o Output) (from []string) {
	for to, request := range subscriptions(o) {
		if request.Whole {
			from = append(from, to)
		}
	}
	return from
}

// TestWholeIsRequestedFromOneRegistry guards against a table and a topology from every registry, and against
// waiting for one that does not answer.
func TestWholeIsRequestedFromOneRegistry(t *testing.T) {
	h := newHarness(t)
	h.node.seeds = []string{"d1:1", "d2:1", "d3:1"}
	first := wholeRequests(h.node.Tick(0))
	if len(first) != 1 {
		t.Fatalf("at the start the whole is requested from %v", first)
	}
	// The others have a table, and the one that was asked does not answer.
	ahead := registry.Update{Incarnation: "l", TableNumber: 3, NewTopology: &registry.TopologyUpdate{Since: 4, Version: 4}}
	var others []string
	for _, seed := range h.node.seeds {
		if seed != first[0] {
			others = append(others, seed)
			if again := wholeRequests(h.node.Receive(time.Millisecond, seed, ahead)); len(again) != 0 {
				t.Errorf("%s is asked beside %s", again, first[0])
			}
		}
	}
	later := h.node.fetch.until
	second := h.node.Receive(later, others[0], ahead)
	if next := wholeRequests(second); len(next) != 1 || next[0] != others[0] {
		t.Fatalf("after %v without an answer %v is asked", later, next)
	}
	if withdrawn, ok := subscriptions(second)[first[0]]; !ok || withdrawn.Whole {
		t.Errorf("the request to %s stands", first[0])
	}
	topology := core.TopologyChanges{Fleet: "f", Partitions: 2}
	topology.AddLeader(1, partition.Term{Round: 1, Leader: "c.1"})
	h.node.Receive(later, others[0], registry.Update{Incarnation: "l", TableNumber: 3, Table: tableJSON(3, nil),
		NewTopology: &registry.TopologyUpdate{Version: 4, Changes: topology}})
	if after := wholeRequests(h.node.Tick(later + h.node.params.UpdateInterval)); len(after) != 0 {
		t.Errorf("with everything known, %v is asked", after)
	}
}

// TestMissingTopologyIsRequestedAfterAWhile guards against a whole topology for a change that is under way.
func TestMissingTopologyIsRequestedAfterAWhile(t *testing.T) {
	h := newHarness(t)
	topology := core.TopologyChanges{Fleet: "f", Partitions: 2}
	h.node.Receive(0, "d1:1", registry.Update{Incarnation: "l", NewTopology: &registry.TopologyUpdate{Version: 2, Changes: topology}})
	gap := registry.Update{Incarnation: "l", NewTopology: &registry.TopologyUpdate{Since: 5, Version: 6}}
	if early := wholeRequests(h.node.Receive(time.Second, "d1:1", gap)); len(early) != 0 {
		t.Error("the whole is requested at once")
	}
	if late := wholeRequests(h.node.Receive(time.Second+behindHeartbeats*time.Second, "d1:1", gap)); len(late) != 1 {
		t.Error("the whole is not requested")
	}
}

// TestNodeLearnsTheTopologyDespiteLostMessages plays a node and registries, one of which restarts, over many seeds.
func TestNodeLearnsTheTopologyDespiteLostMessages(t *testing.T) {
	for seed := uint64(0); seed < 100; seed++ {
		random := rand.New(rand.NewPCG(seed, 5))
		h := newHarness(t)
		h.node.seeds = []string{"d1:1", "d2:1", "d3:1"}
		registries := map[string]*registry.Machine{}
		boot := func(address string, now time.Duration) {
			registries[address] = registry.New(registry.Options{ID: address, Incarnation: fmt.Sprint(address, now), Address: address,
				Params: registry.Params{Core: h.node.params.Core, HeartbeatInterval: time.Second, GroupSize: 1}, Now: now, Random: random.Float64})
		}
		for _, address := range h.node.seeds {
			boot(address, 0)
		}
		loss := 0.4
		var step func(now time.Duration, sends []Send)
		step = func(now time.Duration, sends []Send) {
			for _, s := range sends {
				if m := registries[s.To]; m != nil && random.Float64() >= loss {
					for _, reply := range m.Receive(now, "n1:1", s.Body).Sends {
						if reply.To == "n1:1" && random.Float64() >= loss {
							step(now, h.node.Receive(now, s.To, reply.Body).Sends)
						}
					}
				}
			}
		}
		all := core.Topology{}
		for now := time.Duration(0); now < 20*time.Second; now += 50 * time.Millisecond {
			if now == 8*time.Second {
				loss = 0
			}
			if now == 2*time.Second {
				boot("d2:1", now)
			}
			changes := core.TopologyChanges{Fleet: "f", Partitions: 8}
			if now < 8*time.Second && random.IntN(5) == 0 {
				id := fmt.Sprintf("c%d", random.IntN(4))
				changes.AddCore(core.Core{ID: id, Incarnation: "1", Peer: id + ":1", Version: uint64(now)})
				changes.AddLeader(random.IntN(8), partition.Term{Round: uint64(now), Leader: id + ".1"})
			}
			all.Merge(changes)
			for _, address := range h.node.seeds {
				// Registries learn of changes at different times, and of all of them in the end.
				told := changes
				if now%time.Second == 0 {
					told = all.Changes()
				} else if random.IntN(2) == 0 {
					continue
				}
				for _, s := range append(registries[address].Receive(now, "c:1", told).Sends, registries[address].Tick(now).Sends...) {
					if s.To == "n1:1" && random.Float64() >= loss {
						step(now, h.node.Receive(now, address, s.Body).Sends)
					}
				}
			}
			step(now, h.node.Tick(now).Sends)
		}
		if h.node.topology.WithoutGroups().Digest() != all.WithoutGroups().Digest() {
			t.Errorf("seed %d: the node's topology differs", seed)
		}
	}
}
