package core

import (
	"testing"
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/partition"
)

// A leader that does not know of the retirement may send replicas to a core that may be shut down
// at any time. Existing replicas stay up to date until their groups have changed.
func TestRetiredCoreTakesNoReplica(t *testing.T) {
	self, leader := Core{ID: "a", Incarnation: "1", Zone: "z", Peer: "a:1"}, Core{ID: "b", Incarnation: "1", Zone: "y", Peer: "b:1"}
	machine := New(Options{Params: newSingleCore(t).m.params, ID: self.ID, Zone: self.Zone, Address: self.Peer, Stored: Stored{Incarnation: self.Incarnation}, Random: func() float64 { return 0.5 }})
	founding := FailureDomains{}.PlanFleet("f", 2, 1, []Core{self, leader})
	founding.Groups = []partition.Group{{Epoch: 1, Members: []string{self.MemberID(), leader.MemberID()}}, {Epoch: 1, Members: []string{leader.MemberID()}}}
	if _, ok := machine.AcceptFounding(0, founding); !ok {
		t.Fatal("not founded")
	}
	accepts := func(n int, seq uint64) bool {
		group := founding.Groups[n]
		group.Term = partition.Term{Round: 1, Leader: leader.MemberID()}
		write := partition.Write{Term: group.Term, Seq: seq, Group: group, Snapshot: true}
		o := machine.Receive(time.Second, leader.Peer, ReplicaMessage{Partition: n, From: leader.MemberID(), To: self.MemberID(), Raw: message.Pack(write)})
		return len(o.Changes) > 0
	}
	if !accepts(0, 1) || !accepts(1, 1) {
		t.Fatal("a core that is not retired refuses a replica")
	}
	retired := self
	retired.Retired, retired.Version = true, 9
	machine.Receive(time.Second, leader.Peer, Topology{Fleet: "f", Cores: map[string]Core{self.ID: retired}, Leaders: make([]partition.Term, 2), Groups: make([]partition.Group, 2)})
	if accepts(1, 2) {
		t.Error("a retired core accepted a replica of a group that it does not belong to")
	}
	if !accepts(0, 2) {
		t.Error("a retired core refused a write to its existing replica")
	}
}

// A retired core without a replica may be permanently down.
func TestRetiredCoresGetNoHeartbeats(t *testing.T) {
	for _, hasReplica := range []bool{true, false} {
		single := newSingleCore(t)
		retired := Core{ID: "x", Incarnation: "1", Peer: "x:1", Version: 1, Retired: true}
		single.m.mergeCore(retired)
		if hasReplica {
			single.m.groups[1].Former = append(single.m.groups[1].Former, retired.MemberID())
		}
		contacted := false
		for end := single.now + 10*time.Second; single.now < end; single.now += 50 * time.Millisecond {
			for _, s := range single.m.Tick(single.now).Sends {
				contacted = contacted || s.To == retired.Peer
			}
		}
		if contacted != hasReplica {
			t.Errorf("core with a replica: %v, sent messages: %v", hasReplica, contacted)
		}
	}
}
