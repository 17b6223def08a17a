package registry

import (
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/partition"
)

// retiredLeaderTopology has the cores a, b and c; c is retired, and leads the configuration's
// partition.
func retiredLeaderTopology() core.Topology {
	topology := core.Topology{Fleet: "f", GroupSize: 3, Cores: map[string]core.Core{}}
	var members []string
	for _, id := range []string{"a", "b", "c"} {
		entry := core.Core{ID: id, Incarnation: "1", Peer: id + ":1", Version: 1, Retired: id == "c"}
		topology.Cores[id] = entry
		members = append(members, entry.MemberID())
	}
	term := partition.Term{Round: 4, Leader: "c.1"}
	topology.Leaders = []partition.Term{term}
	topology.Groups = []partition.Group{{Term: term, Epoch: 1, Members: members}}
	return topology
}

// Guards against a table that no restarted registry gets because a retired core leads its partition.
func TestRestartedRegistryAsksARetiredLeader(t *testing.T) {
	topology := retiredLeaderTopology()
	peers := Peers{Fleet: "f", GroupSize: 3, Partitions: 1, Cores: topology.Cores}
	for name, m := range map[string]*Machine{
		"it knows the topology": func() *Machine {
			m := newRegistry(nil)
			m.Receive(0, "a:1", topology)
			return m
		}(),
		"it knows only what it saved": newRegistry(func(o *Options) { o.KnownPeers = &peers }),
	} {
		asked := false
		for now := time.Duration(0); now < time.Second; now += 10 * time.Millisecond {
			asked = asked || len(sentTo[core.PullUpdates](m.Tick(now), "c:1")) > 0
		}
		if !asked {
			t.Errorf("%s: the leader was not asked for the table", name)
		}
	}
}

// Guards against a leader that is known and no longer asked because no core has its address.
func TestUnconfirmedRegistryAsksTheKnownLeader(t *testing.T) {
	m := newRegistry(nil)
	topology := retiredLeaderTopology()
	topology.Leaders[0].Leader = "a.1"
	m.Receive(0, "a:1", topology)
	m.Receive(0, "elsewhere:1", core.Freshness{})
	asked := 0
	for now := 10 * time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
		asked += len(sentTo[core.PullUpdates](m.Tick(now), "elsewhere:1"))
	}
	if asked == 0 {
		t.Error("the known leader was not asked for the table")
	}
}
