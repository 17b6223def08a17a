package partition

import (
	"fmt"
	"testing"
	"time"
)

// other is a seat of a group that does not own the part.
func (c *cluster) follower(than ...string) string {
	for _, s := range c.order {
		if c.replicas[s] != nil && s != c.leader() && !contains(than, s) && c.replicas[c.leader()].state.Group.Has(s) {
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

// changed makes a change that must come about.
func (c *cluster) mustChange(add, remove string) {
	c.t.Helper()
	requestID := c.change(add, remove)
	c.advance(300 * time.Millisecond)
	if r := c.results[requestID]; r.Body != true {
		c.t.Fatalf("+%s -%s: %+v", add, remove, r)
	}
}

// A seat that leaves and comes back under the same owner must not bring back
// what was removed meanwhile.
func TestReturningSeatBringsNothingBack(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(300 * time.Millisecond)
	leader := c.leader()
	gone := c.follower()
	c.propose(leader, put{"old", "v"})
	c.mustChange("d", gone)
	c.propose(leader, put{"old", ""})
	c.advance(time.Second)
	c.propose(leader, put{"new", "v"})
	c.mustChange(gone, "d")
	if c.leader() != leader {
		t.Fatal("the owner changed")
	}
	if e, there := c.replicas[gone].State().Entries["old"]; there && !e.Deleted {
		t.Error("a removed entry is back in a copy")
	}
	c.replicas[leader] = nil
	c.advance(time.Second)
	c.wantValue("old", "")
	c.wantValue("new", "v")
}

func TestChangeWithDeadNewcomerEnds(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d", "e")
	c.advance(300 * time.Millisecond)
	c.propose(c.leader(), put{"k", "v"})
	c.replicas["d"] = nil
	gone := c.follower()
	requestID := c.change("d", gone)
	if _, changing := c.replicas[c.leader()].ChangeInProgress(); !changing {
		t.Error("no change is under way")
	}
	c.advance(1200 * time.Millisecond)
	if r, ok := c.results[requestID]; !ok || r.Body != false {
		t.Errorf("the change ended as %+v, %v", r, ok)
	}
	c.mustChange("e", gone)
	c.wantValue("k", "v")
	// One that is given up by whoever asked ends at once.
	requestID = c.change("d", "e")
	c.collect(c.leader(), c.replicas[c.leader()].AbortChange(c.now))
	if r, ok := c.results[requestID]; !ok || r.Body != false {
		t.Errorf("given up: %+v, %v", r, ok)
	}
	c.mustChange(gone, "e")
	c.wantValue("k", "v")
}

// A newcomer that dies while old and new group must agree leaves two majorities,
// with which the next owner serves, ends the change and makes another.
func TestJointGroupWithDeadNewcomerServes(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d", "e")
	c.advance(300 * time.Millisecond)
	c.propose(c.leader(), put{"k", "v"})
	first := c.leader()
	gone := c.follower()
	c.drop = func(from, to string, body any) bool {
		w, write := body.(Write)
		return write && len(w.Group.Former) == 0 && w.Group.Epoch > 2
	}
	c.change("d", gone)
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
		return write && len(w.Group.Former) == 0 && contains(w.Group.Members, gone)
	}
	first = c.leader()
	c.change(gone, "e")
	c.advance(20 * time.Millisecond)
	c.drop = func(string, string, any) bool { return false }
	c.replicas[first] = nil
	c.advance(800 * time.Millisecond)
	g, ok := c.replicas[c.leader()].CommittedGroup()
	if !ok || len(g.Former) > 0 || !contains(g.Members, gone) {
		t.Fatalf("after the owner's death: %+v", g)
	}
	c.wantValue("k", "v")
	c.mustChange("e", first)
	c.wantValue("k", "v")
}

// A newcomer that once promised somebody else a later term must not be refused
// for ever.
func TestNewcomerWithLaterPromise(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(300 * time.Millisecond)
	c.propose(c.leader(), put{"k", "v"})
	c.replicas["d"].record(Record{Promised: Term{Round: 50, Leader: "x"}})
	gone := c.follower()
	for i := 0; i < 5; i++ {
		requestID := c.change("d", gone)
		c.advance(300 * time.Millisecond)
		if r := c.results[requestID]; r.Body == true {
			c.wantValue("k", "v")
			return
		}
	}
	t.Errorf("%+v", c.replicas[c.leader()].Group())
}

// Writes that never pause must not keep a slow newcomer out.
func TestChangeUnderLoad(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(300 * time.Millisecond)
	leader, gone := c.leader(), c.follower()
	// What goes to the newcomer and comes from it takes a step longer.
	var late []packet
	c.drop = func(from, to string, body any) bool {
		if to == "d" || from == "d" {
			late = append(late, packet{from, to, body})
			return true
		}
		return false
	}
	requestID := c.change("d", gone)
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
		ready := late
		late = nil
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
	t.Error("the newcomer never came in")
}

// An owner that is no seat of its group any more hands the part to one.
func TestOwnerThatLeavesItsGroupHandsOver(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(300 * time.Millisecond)
	c.propose(c.leader(), put{"k", "v"})
	first := c.leader()
	c.mustChange("d", first)
	c.advance(50 * time.Millisecond)
	if c.leader() == first || c.leader() == "" {
		t.Errorf("%q owns the part", c.leader())
	}
	c.wantValue("k", "v")
	if g := c.replicas[first].Group(); g.Has(first) {
		t.Errorf("the former owner thinks it is a seat: %+v", g)
	}
}

// A change keeps the places of the others, asked again does nothing more, and
// the order can be changed by itself.
func TestPlacesInGroup(t *testing.T) {
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

// Seats that take writes are not renewed besides.
func TestWritesRenew(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	leader := c.leader()
	renews := 0
	c.drop = func(from, to string, body any) bool {
		if _, ok := body.(RenewLease); ok {
			renews++
		}
		return false
	}
	for i := 0; i < 200; i++ {
		c.propose(leader, put{"k", fmt.Sprint(i)})
		c.advance(5 * time.Millisecond)
	}
	// Only sweeps renew: one of all three every four terms.
	if renews > 3*4 {
		t.Errorf("%d renewals in ten terms full of writes", renews)
	}
	if c.leader() != leader {
		t.Error("the owner changed")
	}
}

// A copy that differs from the owner's is found by the sweep and made whole.
func TestSweepFindsDifferentCopy(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	for i := 0; i < 10; i++ {
		c.propose(c.leader(), put{fmt.Sprint(i), "v"})
	}
	c.propose(c.leader(), put{"3", ""})
	member := c.follower()
	held, _ := c.replicas[c.leader()].LeadingTerm(c.now)
	c.replicas[member].record(Record{Entries: []Entry{{Key: "stray", Value: []byte("x"), Version: Version{Term: held, Seq: 2}}}})
	c.advance(time.Second)
	if _, there := c.replicas[member].State().Entries["stray"]; there {
		t.Error("a stray entry stays")
	}
	mended := c.replicas[c.leader()].Counters.SnapshotsSent
	c.advance(2 * time.Second)
	if got := c.replicas[c.leader()].Counters.SnapshotsSent; got != mended {
		t.Errorf("%d copies mended at rest", got-mended)
	}
	if got := c.replicas[member].digestKey.table(c.replicas[member].state.Entries); got != c.replicas[member].digest {
		t.Error("the running digest is not that of the copy")
	}
}

// Seats that all stand at the same moment, again and again, must get an owner.
func TestAllStandAtOnce(t *testing.T) {
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
	t.Error("no owner")
}

// What is sent whole while writes wait must not differ from what is written.
func TestFillWhileWritesWait(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	leader, behind := c.leader(), c.follower()
	c.propose(leader, put{"k", "0"})
	held := true
	var kept []packet
	c.drop = func(from, to string, body any) bool {
		_, taken := body.(WriteAck)
		if taken && held {
			kept = append(kept, packet{from, to, body})
		}
		return taken && held
	}
	c.propose(leader, put{"x", "1"})
	c.propose(leader, put{"k", "1"})
	// The seat behind says that it has nothing, while a write is on its way and
	// another waits for it.
	term, _ := c.replicas[leader].LeadingTerm(c.now)
	c.replicas[behind].completeSeq = 0
	c.collect(leader, c.replicas[leader].Receive(c.now, behind, LeaseAck{Term: term, SentAt: c.now}))
	c.deliver()
	c.propose(leader, put{"k", "2"})
	held = false
	c.network = append(c.network, kept...)
	c.deliver()
	c.advance(300 * time.Millisecond)
	if e := c.replicas[behind].State().Entries["k"]; string(e.Value) != "2" {
		t.Errorf("k is %q in the copy", e.Value)
	}
	c.replicas[leader] = nil
	c.advance(600 * time.Millisecond)
	c.wantValue("k", "2")
	c.wantValue("x", "1")
}

// TestInheritedChangeComesFirst: a leader that took over in the middle of a change
// ends that one first. Another change, asked for meanwhile, is not begun before the
// group without former members is agreed: no write names its newcomer until then.
func TestInheritedChangeComesFirst(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d", "e")
	c.advance(300 * time.Millisecond)
	c.propose(c.leader(), put{"k", "v"})
	first, gone := c.leader(), c.follower()
	agreeable, early := false, 0
	c.drop = func(from, to string, body any) bool {
		w, write := body.(Write)
		if write && !agreeable && w.Group.Has("e") {
			early++
		}
		return write && !agreeable && len(w.Group.Former) == 0 && w.Group.Epoch > 2
	}
	c.change("d", gone)
	c.advance(20 * time.Millisecond)
	c.replicas[first] = nil
	c.advance(500 * time.Millisecond)
	leader := c.leader()
	if leader == "" || leader == first {
		t.Fatalf("%q leads", leader)
	}
	if g, ok := c.replicas[leader].CommittedGroup(); !ok || len(g.Former) == 0 {
		t.Fatalf("the change was not inherited: %+v", g)
	}
	requestID := c.change("e", first)
	c.advance(200 * time.Millisecond)
	if r, ok := c.results[requestID]; early > 0 || ok && r.Body != false {
		t.Errorf("begun before the first change was done: %d writes, answered %+v", early, r)
	}
	agreeable = true
	c.advance(500 * time.Millisecond)
	c.wantValue("k", "v")
	if g, ok := c.replicas[c.leader()].CommittedGroup(); !ok || len(g.Former) > 0 || !contains(g.Members, "d") {
		t.Errorf("after both: %+v", g)
	}
}
