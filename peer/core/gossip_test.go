package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/rule/partition"
)

// A core that missed a change receives it within a few heartbeats.
func TestTopologyIsSentOnlyWhereItDiffers(t *testing.T) {
	testFleet := newFleet(t, 3, 4)
	testFleet.advance(10 * time.Second)
	before := testFleet.sentByType["core.Topology"]
	testFleet.advance(4 * time.Second)
	if sent := testFleet.sentByType["core.Topology"] - before; sent > 2*len(testFleet.cores)*len(testFleet.cores) {
		t.Errorf("%d topologies sent in 4 s without changes", sent)
	}
	lagging := testFleet.cores[3].m
	lagging.terms[1] = partition.Term{}
	lagging.groups[1] = partition.Group{}
	delete(lagging.cores, "c1")
	testFleet.advance(3 * time.Second)
	if lagging.Topology().Digest() != testFleet.cores[0].m.Topology().Digest() {
		t.Error("a core that missed a change did not receive it")
	}
}

func TestTopologyDigest(t *testing.T) {
	newTopology := func() Topology {
		return Topology{Fleet: "f", Cores: map[string]Core{"a": {ID: "a", Incarnation: "1"}, "b": {ID: "b"}}, Leaders: []partition.Term{{Round: 1, Leader: "a.1"}}, Groups: []partition.Group{{Epoch: 1, Members: []string{"a.1"}}}}
	}
	equal := newTopology()
	equal.Groups[0].Former = []string{}
	if newTopology().Digest() != equal.Digest() {
		t.Error("an empty list and a nil list have different digests")
	}
	for name, change := range map[string]func(t *Topology){
		"fleet":  func(t *Topology) { t.Fleet = "g" },
		"core":   func(t *Topology) { t.Cores["b"] = Core{ID: "b", Retired: true} },
		"owner":  func(t *Topology) { t.Leaders[0].Round++ },
		"group":  func(t *Topology) { t.Groups[0].Members = []string{"a.2"} },
		"former": func(t *Topology) { t.Groups[0].Former = []string{"b."} },
	} {
		other := newTopology()
		change(&other)
		if other.Digest() == newTopology().Digest() {
			t.Errorf("%s: the digest does not change with it", name)
		}
	}
}

// TestLeaderChangeSendsNoWholeTopology guards against the whole topology to every core at each change.
func TestLeaderChangeSendsNoWholeTopology(t *testing.T) {
	testFleet := newFleet(t, 3, 5)
	testFleet.tolerateSilence()
	testFleet.advance(4 * time.Second)
	clear(testFleet.sentByType)
	testFleet.kill(testFleet.cores[0])
	testFleet.advance(3 * time.Second)
	if sent := testFleet.sentByType["core.Topology"]; sent > 0 {
		t.Errorf("%d whole topologies after the leaders of one core changed", sent)
	}
	if testFleet.sentByType["core.TopologyChanges"] == 0 {
		t.Error("no changes were sent")
	}
	digest := testFleet.cores[1].m.Topology().Digest()
	for _, c := range testFleet.cores[2:] {
		if c.m.Topology().Digest() != digest {
			t.Errorf("%s does not know the new leaders", c.id)
		}
	}
}

// TestRepairNeedsTheSameDifferenceTwice guards against whole topologies while changes are under way.
func TestRepairNeedsTheSameDifferenceTwice(t *testing.T) {
	var repair TopologyRepair
	for i, step := range []struct {
		ours, theirs uint64
		needed       bool
	}{{1, 2, false}, {1, 3, false}, {1, 3, true}, {1, 3, false}, {3, 3, false}, {1, 3, false}, {4, 3, false}, {4, 0, false}, {4, 3, false}, {4, 3, true}} {
		if repair.Needed("a", step.ours, step.theirs) != step.needed {
			t.Errorf("step %d: needed is %v", i, !step.needed)
		}
	}
	if repair.Needed("a", 5, 6) || repair.Needed("b", 5, 6) {
		t.Error("another core's announcement counts as the second one")
	}
	// The topology changes all the time, and the other core lacks something.
	for i := uint64(1); i <= maxDifferences; i++ {
		if needed := repair.Needed("c", 10+i, 100+i); needed != (i == maxDifferences) {
			t.Errorf("after %d different announcements: needed is %v", i, needed)
		}
	}
}

func randomChanges(random *rand.Rand) TopologyChanges {
	changes := TopologyChanges{Fleet: "f", Partitions: 4}
	for range 1 + random.IntN(4) {
		id, n := fmt.Sprintf("c%d", random.IntN(3)), random.IntN(4)
		version := uint64(1 + random.IntN(5))
		changes.AddCore(Core{ID: id, Version: version, Peer: fmt.Sprintf("%s.%d", id, version)})
		changes.AddLeader(n, partition.Term{Round: version, Leader: id})
		changes.AddGroup(n, partition.Group{Epoch: version, Members: []string{id}})
	}
	return changes
}

// TestTopologyChangesMergeInAnyOrder also merges some twice, and leaves out those of another fleet.
func TestTopologyChangesMergeInAnyOrder(t *testing.T) {
	for seed := uint64(0); seed < 200; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		var list []TopologyChanges
		for range 10 {
			list = append(list, randomChanges(random))
		}
		var inOrder, shuffled Topology
		for _, changes := range list {
			inOrder.Merge(changes)
		}
		for _, i := range append(random.Perm(len(list)), random.Perm(len(list))...) {
			shuffled.Merge(list[i])
		}
		foreign := randomChanges(random)
		foreign.Fleet = "g"
		if merged := shuffled.Merge(foreign); !merged.Empty() {
			t.Fatalf("seed %d: changes of another fleet were merged", seed)
		}
		// Entries of one version are the same, except groups of different members.
		for n := range inOrder.Groups {
			inOrder.Groups[n].Members, shuffled.Groups[n].Members = nil, nil
		}
		if inOrder.Digest() != shuffled.Digest() {
			t.Fatalf("seed %d: the topologies differ", seed)
		}
		var copied Topology
		if copied.Merge(shuffled.Changes()); copied.Digest() != shuffled.Digest() {
			t.Fatalf("seed %d: all changes of a topology are not that topology", seed)
		}
	}
}
