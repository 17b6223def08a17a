package core

import (
	"testing"
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/partition"
)

// Writes must not queue up for a full or stalled disk. A lease that was already granted is still
// renewed.
func TestStalledDiskRefusesWrites(t *testing.T) {
	self, other := Core{ID: "a", Incarnation: "1", Zone: "z", Peer: "a:1"}, Core{ID: "b", Incarnation: "1", Zone: "y", Peer: "b:1"}
	third := Core{ID: "c", Incarnation: "1", Zone: "x", Peer: "c:1"}
	p := newSingleCore(t).m.params
	machine := New(Options{Params: p, ID: self.ID, Zone: self.Zone, Address: self.Peer, Stored: Stored{Incarnation: self.Incarnation}, Random: func() float64 { return 0.5 }})
	if _, ok := machine.AcceptFounding(0, FailureDomains{}.PlanFleet("f", 1, 3, []Core{self, other, third})); !ok {
		t.Fatal("not founded")
	}
	group := machine.Partition(0).Group()
	group.Term = partition.Term{Round: 1, Leader: other.MemberID()}
	deliver := func(now time.Duration, body any) Output {
		o := machine.Receive(now, other.Peer, ReplicaMessage{Partition: 0, From: other.MemberID(), To: self.MemberID(), Raw: message.Pack(body)})
		for _, s := range o.Sends {
			if s.To == self.Peer && s.Synced {
				machine.Receive(now, self.Peer, s.Body)
			}
		}
		return o
	}
	write := func(seq uint64) partition.Write {
		return partition.Write{Term: group.Term, Seq: seq, PriorSeq: seq - 1, Group: group, Snapshot: seq == 1, Entries: []partition.Entry{{Key: "k", Value: []byte("v"), Version: partition.Version{Term: group.Term, Seq: seq}}}}
	}
	if o := deliver(0, write(1)); len(o.Changes) == 0 {
		t.Fatal("the first write was not accepted")
	}
	machine.SetStalled(true)
	for seq := uint64(2); seq < 100; seq++ {
		if o := deliver(time.Second, write(seq)); len(o.Changes)+len(o.Sends) != 0 {
			t.Fatalf("a write was accepted while the disk is stalled: %+v", o)
		}
	}
	later := partition.Term{Round: 2, Leader: third.MemberID()}
	if o := deliver(time.Second, partition.Prepare{Term: later, Group: group, Released: group.Term}); len(o.Changes)+len(o.Sends) != 0 {
		t.Fatalf("a promise was made while the disk is stalled: %+v", o)
	}
	if o := deliver(time.Second, partition.RenewLease{Term: group.Term, SentAt: time.Second}); len(o.Sends) == 0 {
		t.Error("a lease that was granted before the stall was not renewed")
	}
	machine.SetStalled(false)
	if o := deliver(2*time.Second, write(2)); len(o.Changes) == 0 {
		t.Error("a write after the stall was not accepted")
	}
}
