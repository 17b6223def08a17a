package registry

import (
	"fmt"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/partition"
)

// newSubscriber is a request of a node of this release that knows nothing yet.
func newSubscriber(change func(s *Subscribe)) Subscribe {
	s := Subscribe{Node: "n1", AcceptsDifferences: true, AcceptsTopologyChanges: true, WholeOnRequest: true}
	if change != nil {
		change(&s)
	}
	return s
}

func onlyUpdate(t *testing.T, o Output, to string) Update {
	t.Helper()
	list := sentTo[Update](o, to)
	if len(list) != 1 {
		t.Fatalf("%d updates to %s", len(list), to)
	}
	return list[0]
}

func elect(m *Machine, now time.Duration, n int, round uint64) Output {
	changes := core.TopologyChanges{Fleet: "f", Partitions: 2}
	changes.AddLeader(n, partition.Term{Round: round, Leader: "c.1"})
	return m.Receive(now, "c:1", changes)
}

// TestWholeIsSentOnlyOnRequest guards against whole tables and topologies from every registry to every node.
func TestWholeIsSentOnlyOnRequest(t *testing.T) {
	m := newRegistry(nil)
	foundFleet(m)
	deliverTable(m, 0, 2)
	first := onlyUpdate(t, m.Receive(0, "n1:1", newSubscriber(nil)), "n1:1")
	if first.Table != nil || first.CompressedTable != nil || first.Topology != nil || !first.NewTopology.Changes.Empty() {
		t.Fatalf("sent without a request: %+v", first)
	}
	if first.TableNumber != 2 || first.NewTopology.Since == 0 {
		t.Fatalf("the node can't tell that it lacks something: %+v", first)
	}
	whole := onlyUpdate(t, m.Receive(0, "n1:1", newSubscriber(func(s *Subscribe) { s.Whole = true })), "n1:1")
	text, err := whole.TableText()
	if err != nil || string(text) != string(m.table.encoded()) || whole.Table != nil {
		t.Errorf("the table: %v, %d bytes", err, len(text))
	}
	if next := whole.NewTopology; next.Since != 0 || len(next.Changes.Leaders) != 2 || len(next.Changes.Cores) != 1 || next.Changes.Groups != nil {
		t.Errorf("the topology: %+v", next)
	}
}

// TestTopologyChangeIsSentOnceAndAgainAfterALoss guards against nodes that never learn of a lost change.
func TestTopologyChangeIsSentOnceAndAgainAfterALoss(t *testing.T) {
	m := newRegistry(nil)
	foundFleet(m)
	whole := onlyUpdate(t, m.Receive(0, "n1:1", newSubscriber(func(s *Subscribe) { s.Whole = true })), "n1:1")
	renew := func(now time.Duration, version uint64) Update {
		return onlyUpdate(t, m.Receive(now, "n1:1", newSubscriber(func(s *Subscribe) {
			s.Incarnation, s.TopologyVersion = whole.Incarnation, version
		})), "n1:1")
	}
	renew(time.Second, whole.NewTopology.Version)
	change := onlyUpdate(t, elect(m, 2*time.Second, 1, 5), "n1:1").NewTopology
	if change.Since != whole.NewTopology.Version || len(change.Changes.Leaders) != 1 || change.Changes.Cores != nil {
		t.Fatalf("a change: %+v", change)
	}
	if same := elect(m, 3*time.Second, 1, 5); len(sentTo[Update](same, "n1:1")) != 0 {
		t.Error("the same change is sent again")
	}
	if lost := renew(4*time.Second, whole.NewTopology.Version).NewTopology; lost.Since != change.Since || len(lost.Changes.Leaders) != 1 {
		t.Errorf("after its loss: %+v", lost)
	}
	if confirmed := renew(5*time.Second, change.Version).NewTopology; confirmed != nil {
		t.Errorf("after its confirmation: %+v", confirmed)
	}
}

// TestNodeWithTheSameTopologyIsSentNothing guards against whole topologies to nodes that have them from another registry.
func TestNodeWithTheSameTopologyIsSentNothing(t *testing.T) {
	m := newRegistry(nil)
	topology := foundFleet(m)
	same := onlyUpdate(t, m.Receive(0, "n1:1", newSubscriber(func(s *Subscribe) {
		s.TopologyDigest = topology.WithoutGroups().Digest()
	})), "n1:1").NewTopology
	if same.Since != 0 || same.Version == 0 || !same.Changes.Empty() {
		t.Errorf("sent %+v", same)
	}
}

// TestSubscriberOfFormerReleaseIsSentWholes checks a node that knows neither changes nor requests.
func TestSubscriberOfFormerReleaseIsSentWholes(t *testing.T) {
	m := newRegistry(nil)
	foundFleet(m)
	deliverTable(m, 0, 2)
	first := onlyUpdate(t, m.Receive(0, "n1:1", Subscribe{Node: "n1", AcceptsDifferences: true}), "n1:1")
	if first.Table == nil || first.Topology == nil || first.NewTopology != nil || len(first.Registries) == 0 {
		t.Errorf("first: %+v", first)
	}
	if change := onlyUpdate(t, elect(m, time.Second, 1, 5), "n1:1"); change.Topology == nil || change.Topology.Leaders[1].Round != 5 {
		t.Errorf("a change: %+v", change)
	}
}

// TestChangesOfAStartAreSentTogether guards against a message to every node for each replica and leader.
func TestChangesOfAStartAreSentTogether(t *testing.T) {
	m := newRegistry(nil)
	foundFleet(m)
	whole := onlyUpdate(t, m.Receive(0, "n1:1", newSubscriber(func(s *Subscribe) { s.Whole = true })), "n1:1")
	updates, listed := 0, 0
	count := func(o Output) {
		for _, update := range sentTo[Update](o, "n1:1") {
			updates++
			listed += len(update.Replicas)
		}
	}
	now := time.Second
	for i := range 100 {
		now += time.Millisecond
		r := replica(1, false)
		r.ID = fmt.Sprintf("r%d", i)
		count(m.Heartbeat(now, 0, r))
		count(elect(m, now, 1, uint64(5+i)))
		if i%20 == 0 {
			count(m.Tick(now))
		}
	}
	count(m.Tick(now + m.notifyInterval()))
	if most := 2 + int(100*time.Millisecond/m.notifyInterval()); listed != 100 || updates > most {
		t.Errorf("%d replicas in %d updates, at most %d wanted", listed, updates, most)
	}
	if m.subscribers["n1:1"].topology.version != m.topologyVersion || whole.NewTopology.Version == m.topologyVersion {
		t.Error("the last change was not sent")
	}
}

// TestDamagedTableIsAnError guards against a panic or endless memory on a compressed table.
func TestDamagedTableIsAnError(t *testing.T) {
	compressed := compress(largeTable(3))
	for _, u := range []Update{{CompressedTable: compressed[:len(compressed)/2]}, {CompressedTable: []byte("no table")}} {
		if text, err := u.TableText(); err == nil {
			t.Errorf("%d bytes of a damaged table", len(text))
		}
	}
	if text, err := (Update{CompressedTable: compress(make([]byte, maxTableBytes+1))}).TableText(); err == nil {
		t.Errorf("a table of %d bytes", len(text))
	}
}
