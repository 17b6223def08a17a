package partition

import (
	"fmt"
	"testing"
	"time"
)

func (c *cluster) follower(except ...string) string {
	for _, s := range c.order {
		if c.replicas[s] != nil && s != c.leader() && !contains(except, s) && c.replicas[c.leader()].state.Group.Has(s) {
			return s
		}
	}
	return ""
}

func (c *cluster) change(add, remove string) uint64 {
	c.nextID++
	c.collect(c.leader(), c.replicas[c.leader()].ChangeMembers(c.now, c.nextID, add, remove))
	c.deliver()
	return c.nextID
}

func (c *cluster) mustChange(add, remove string) {
	c.t.Helper()
	requestID := c.change(add, remove)
	c.advance(300 * time.Millisecond)
	if r := c.results[requestID]; r.Body != true {
		c.t.Fatalf("+%s -%s: %+v", add, remove, r)
	}
}

// Guards against a member that is removed and added again and has missed a deletion.
func TestReturningMemberDoesNotRestoreDeletedEntry(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(300 * time.Millisecond)
	leader := c.leader()
	removed := c.follower()
	c.propose(leader, put{"old", "v"})
	c.mustChange("d", removed)
	c.propose(leader, put{"old", ""})
	c.advance(time.Second)
	c.propose(leader, put{"new", "v"})
	c.mustChange(removed, "d")
	if c.leader() != leader {
		t.Fatal("the leader changed")
	}
	if e, present := c.replicas[removed].State().Entries["old"]; present && !e.Deleted {
		t.Error("a deleted entry is restored in a replica")
	}
	c.replicas[leader] = nil
	c.advance(time.Second)
	c.wantValue("old", "")
	c.wantValue("new", "v")
}

func TestChangeWithDeadNewMemberAborts(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d", "e")
	c.advance(300 * time.Millisecond)
	c.propose(c.leader(), put{"k", "v"})
	c.replicas["d"] = nil
	removed := c.follower()
	requestID := c.change("d", removed)
	if _, changing := c.replicas[c.leader()].ChangeInProgress(); !changing {
		t.Error("no change is in progress")
	}
	c.advance(1200 * time.Millisecond)
	if r, ok := c.results[requestID]; !ok || r.Body != false {
		t.Errorf("the change ended as %+v, %v", r, ok)
	}
	c.mustChange("e", removed)
	c.wantValue("k", "v")
	requestID = c.change("d", "e")
	c.collect(c.leader(), c.replicas[c.leader()].AbortChange(c.now))
	if r, ok := c.results[requestID]; !ok || r.Body != false {
		t.Errorf("aborted: %+v, %v", r, ok)
	}
	c.mustChange(removed, "e")
	c.wantValue("k", "v")
}

// Guards against a change that gets stuck although both majorities remain.
func TestJointGroupWithDeadNewMemberServes(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d", "e")
	c.advance(300 * time.Millisecond)
	c.propose(c.leader(), put{"k", "v"})
	first := c.leader()
	removed := c.follower()
	c.drop = func(from, to string, body any) bool {
		w, write := body.(Write)
		return write && len(w.Group.Former) == 0 && w.Group.Epoch > 2
	}
	c.change("d", removed)
	c.advance(20 * time.Millisecond)
	if g, _ := c.replicas[first].CommittedGroup(); len(g.Former) == 0 {
		t.Fatalf("not joint: %+v", g)
	}
	c.drop = func(string, string, any) bool { return false }
	c.replicas["d"] = nil
	c.advance(500 * time.Millisecond)
	if g, ok := c.replicas[c.leader()].CommittedGroup(); !ok || len(g.Former) > 0 || !contains(g.Members, "d") {
		t.Fatalf("%+v", g)
	}
	c.wantValue("k", "v")
	c.mustChange("e", "d")
	c.wantValue("k", "v")

	c.drop = func(from, to string, body any) bool {
		w, write := body.(Write)
		return write && len(w.Group.Former) == 0 && contains(w.Group.Members, removed)
	}
	first = c.leader()
	c.change(removed, "e")
	c.advance(20 * time.Millisecond)
	c.drop = func(string, string, any) bool { return false }
	c.replicas[first] = nil
	c.advance(800 * time.Millisecond)
	g, ok := c.replicas[c.leader()].CommittedGroup()
	if !ok || len(g.Former) > 0 || !contains(g.Members, removed) {
		t.Fatalf("after the loss of the leader: %+v", g)
	}
	c.wantValue("k", "v")
	c.mustChange("e", first)
	c.wantValue("k", "v")
}

// Guards against a new member that can't be added because it has promised a higher term.
func TestNewMemberWithHigherPromise(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(300 * time.Millisecond)
	c.propose(c.leader(), put{"k", "v"})
	c.replicas["d"].record(Record{Promised: Term{Round: 50, Leader: "x"}})
	removed := c.follower()
	for i := 0; i < 5; i++ {
		requestID := c.change("d", removed)
		c.advance(300 * time.Millisecond)
		if r := c.results[requestID]; r.Body == true {
			c.wantValue("k", "v")
			return
		}
	}
	t.Errorf("%+v", c.replicas[c.leader()].Group())
}

// Guards against continuous writes that keep a slow new member from joining.
func TestChangeUnderLoad(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(300 * time.Millisecond)
	leader, removed := c.leader(), c.follower()
	// Messages from and to the new member take a step longer.
	var delayed []packet
	c.drop = func(from, to string, body any) bool {
		if to == "d" || from == "d" {
			delayed = append(delayed, packet{from, to, body})
			return true
		}
		return false
	}
	requestID := c.change("d", removed)
	for i := 0; i < 200; i++ {
		if r, ok := c.results[requestID]; ok {
			if r.Body != true {
				t.Fatalf("%+v", r)
			}
			if i > 60 {
				t.Errorf("it took %d steps", i)
			}
			return
		}
		c.now += 5 * time.Millisecond
		ready := delayed
		delayed = nil
		c.nextID++
		c.collect(leader, c.replicas[leader].Propose(c.now, c.nextID, put{fmt.Sprint("k", i), "v"}))
		c.deliver()
		for _, p := range ready {
			c.collect(p.to, c.replicas[p.to].Receive(c.now, p.from, p.body))
		}
		c.nextID++
		c.collect(leader, c.replicas[leader].Propose(c.now, c.nextID, put{fmt.Sprint("l", i), "v"}))
		c.deliver()
		for _, s := range c.order {
			c.collect(s, c.replicas[s].Tick(c.now))
			c.deliver()
		}
	}
	t.Error("the new member was never added")
}

func TestRemovedLeaderTransfersLeadership(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(300 * time.Millisecond)
	c.propose(c.leader(), put{"k", "v"})
	first := c.leader()
	c.mustChange("d", first)
	c.advance(50 * time.Millisecond)
	if c.leader() == first || c.leader() == "" {
		t.Errorf("%q leads", c.leader())
	}
	c.wantValue("k", "v")
	if g := c.replicas[first].Group(); g.Has(first) {
		t.Errorf("the former leader still has itself as a member: %+v", g)
	}
}

// Guards against a change that moves other members or that has an effect when repeated.
func TestMemberOrder(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(300 * time.Millisecond)
	c.mustChange("d", "b")
	c.mustChange("d", "b")
	if g, _ := c.replicas[c.leader()].CommittedGroup(); fmt.Sprint(g.Members) != "[a d c]" {
		t.Errorf("%v", g.Members)
	}
	c.collect(c.leader(), c.replicas[c.leader()].ReorderMembers(c.now, []string{"c", "a", "d"}))
	c.deliver()
	if g, _ := c.replicas[c.leader()].CommittedGroup(); fmt.Sprint(g.Members) != "[c a d]" {
		t.Errorf("%v", g.Members)
	}
}

// Guards against separate renewals to members that acknowledge writes.
func TestWritesRenewLease(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	leader := c.leader()
	renewals := 0
	c.drop = func(from, to string, body any) bool {
		if _, ok := body.(RenewLease); ok {
			renewals++
		}
		return false
	}
	for i := 0; i < 200; i++ {
		c.propose(leader, put{"k", fmt.Sprint(i)})
		c.advance(5 * time.Millisecond)
	}
	// Only sweeps send renewals: one to each of three members every four leases.
	if renewals > 3*4 {
		t.Errorf("%d renewals in ten leases full of writes", renewals)
	}
	if c.leader() != leader {
		t.Error("the leader changed")
	}
}

func TestSweepRepairsDivergedReplica(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	for i := 0; i < 10; i++ {
		c.propose(c.leader(), put{fmt.Sprint(i), "v"})
	}
	c.propose(c.leader(), put{"3", ""})
	member := c.follower()
	term, _ := c.replicas[c.leader()].LeadingTerm(c.now)
	c.replicas[member].record(Record{Entries: []Entry{{Key: "stray", Value: []byte("x"), Version: Version{Term: term, Seq: 2}}}})
	c.advance(time.Second)
	if _, there := c.replicas[member].State().Entries["stray"]; there {
		t.Error("an extra entry remains")
	}
	snapshots := c.replicas[c.leader()].Counters.SnapshotsSent
	c.advance(2 * time.Second)
	if got := c.replicas[c.leader()].Counters.SnapshotsSent; got != snapshots {
		t.Errorf("%d snapshots sent without a difference", got-snapshots)
	}
	if got := c.replicas[member].digestKey.table(c.replicas[member].state.Entries); got != c.replicas[member].digest {
		t.Error("the incremental digest is not that of the entries")
	}
}

// Guards against members that start elections at the same time and elect no leader.
func TestSimultaneousCandidates(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	for i := 0; i < 100; i++ {
		c.now += 5 * time.Millisecond
		if c.now == 100*time.Millisecond {
			for _, s := range c.order {
				c.replicas[s].electionAt = c.now
			}
		}
		if c.now < 100*time.Millisecond {
			continue
		}
		for _, s := range c.order {
			c.collect(s, c.replicas[s].Tick(c.now))
		}
		c.deliver()
		if c.leader() != "" {
			return
		}
	}
	t.Error("no leader")
}

// Guards against a snapshot that differs from the writes up to its sequence number.
func TestSnapshotWhileWritesQueued(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	leader, behind := c.leader(), c.follower()
	c.propose(leader, put{"k", "0"})
	hold := true
	var kept []packet
	c.drop = func(from, to string, body any) bool {
		_, ack := body.(WriteAck)
		if ack && hold {
			kept = append(kept, packet{from, to, body})
		}
		return ack && hold
	}
	c.propose(leader, put{"x", "1"})
	c.propose(leader, put{"k", "1"})
	// One write is pending and another is queued.
	term, _ := c.replicas[leader].LeadingTerm(c.now)
	c.replicas[behind].completeSeq = 0
	c.collect(leader, c.replicas[leader].Receive(c.now, behind, LeaseAck{Term: term, SentAt: c.now}))
	c.deliver()
	c.propose(leader, put{"k", "2"})
	hold = false
	c.network = append(c.network, kept...)
	c.deliver()
	c.advance(300 * time.Millisecond)
	if e := c.replicas[behind].State().Entries["k"]; string(e.Value) != "2" {
		t.Errorf("k is %q in the replica", e.Value)
	}
	c.replicas[leader] = nil
	c.advance(600 * time.Millisecond)
	c.wantValue("k", "2")
	c.wantValue("x", "1")
}

// Guards against a new leader that begins a change before it has finished an inherited one.
func TestInheritedChangeFinishesFirst(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d", "e")
	c.advance(300 * time.Millisecond)
	c.propose(c.leader(), put{"k", "v"})
	first, removed := c.leader(), c.follower()
	committable, early := false, 0
	c.drop = func(from, to string, body any) bool {
		w, write := body.(Write)
		if write && !committable && w.Group.Has("e") {
			early++
		}
		return write && !committable && len(w.Group.Former) == 0 && w.Group.Epoch > 2
	}
	c.change("d", removed)
	c.advance(20 * time.Millisecond)
	c.replicas[first] = nil
	c.advance(500 * time.Millisecond)
	leader := c.leader()
	if leader == "" || leader == first {
		t.Fatalf("%q leads", leader)
	}
	if g, ok := c.replicas[leader].CommittedGroup(); !ok || len(g.Former) == 0 {
		t.Fatalf("the new leader does not continue the change: %+v", g)
	}
	requestID := c.change("e", first)
	c.advance(200 * time.Millisecond)
	if r, ok := c.results[requestID]; early > 0 || ok && r.Body != false {
		t.Errorf("begun before the first change was done: %d writes, result %+v", early, r)
	}
	committable = true
	c.advance(500 * time.Millisecond)
	c.wantValue("k", "v")
	if g, ok := c.replicas[c.leader()].CommittedGroup(); !ok || len(g.Former) > 0 || !contains(g.Members, "d") {
		t.Errorf("after both: %+v", g)
	}
}
