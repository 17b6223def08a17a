package core

import (
	"testing"
	"time"

	"saffronfall/rule/partition"
)

// TestTopologyIsToldWhereItDiffers: cores that know the same tell each other no
// more than that they live; one that missed a change gets it within a few beats,
// and is told no more once it has it.
func TestTopologyIsToldWhereItDiffers(t *testing.T) {
	f := newFleet(t, 3, 4)
	f.pass(10 * time.Second)
	before := f.kinds["core.Topology"]
	f.pass(4 * time.Second)
	if told := f.kinds["core.Topology"] - before; told > 2*len(f.boxes)*len(f.boxes) {
		t.Errorf("%d topologies in 4 s of rest", told)
	}
	lagging := f.boxes[3].m
	lagging.owners[1] = partition.Term{}
	lagging.groups[1] = partition.Group{}
	delete(lagging.cores, "c1")
	f.pass(3 * time.Second)
	if lagging.Topology().Digest() != f.boxes[0].m.Topology().Digest() {
		t.Error("a core that missed a change does not get it")
	}
}

// TestDigestOfATopology tells apart what matters and nothing else.
func TestDigestOfATopology(t *testing.T) {
	make := func() Topology {
		return Topology{Fleet: "f", Cores: map[string]Core{"a": {ID: "a", Incarnation: "1"}, "b": {ID: "b"}}, Leaders: []partition.Term{{Round: 1, Leader: "a.1"}}, Groups: []partition.Group{{Epoch: 1, Members: []string{"a.1"}}}}
	}
	same := make()
	same.Groups[0].Former = []string{}
	if make().Digest() != same.Digest() {
		t.Error("an empty list is told from none")
	}
	for name, change := range map[string]func(t *Topology){
		"fleet":  func(t *Topology) { t.Fleet = "g" },
		"core":   func(t *Topology) { t.Cores["b"] = Core{ID: "b", Retired: true} },
		"owner":  func(t *Topology) { t.Leaders[0].Round++ },
		"group":  func(t *Topology) { t.Groups[0].Members = []string{"a.2"} },
		"former": func(t *Topology) { t.Groups[0].Former = []string{"b."} },
	} {
		other := make()
		change(&other)
		if other.Digest() == make().Digest() {
			t.Errorf("%s: not told apart", name)
		}
	}
}
