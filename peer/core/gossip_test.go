package core

import (
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
