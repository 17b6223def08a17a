package partition

import (
	"testing"
	"time"
)

// TestJoiningSeatThatMissedItsGroup: a seat is to take the owner's place while
// another one is gone. Those that are there have the group that changes on their
// disks, the one that comes has not, and all begin a new life. The one that comes
// must promise all the same, as there is no majority of the new seats without it.
func TestJoiningSeatThatMissedItsGroup(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(500 * time.Millisecond)
	leader := c.leader()
	c.propose(leader, put{"k", "v"})
	gone := c.follower(leader, "d")
	stays := c.follower(leader, gone, "d")
	c.replicas[gone] = nil
	c.drop = func(from, to string, body any) bool {
		w, ok := body.(Write)
		return ok && to == "d" && len(w.Group.Former) > 0
	}
	c.change("d", leader)
	c.advance(30 * time.Millisecond)
	if g := c.replicas[stays].state.Group; len(g.Former) == 0 || !g.Has("d") {
		t.Fatalf("%s has the group %v, want one that changes", stays, g)
	}
	if g := c.replicas["d"].state.Group; g.Has("d") {
		t.Fatalf("d has the group %v already", g)
	}
	c.drop = func(from, to string, body any) bool { return false }
	c.network = nil
	for _, s := range []string{leader, stays, "d"} {
		c.restart(s)
	}
	c.advance(2 * time.Second)
	if c.leader() == "" {
		t.Fatal("nobody owns the part again")
	}
	c.wantValue("k", "v")
	if g := c.replicas[c.leader()].state.Group; len(g.Former) > 0 || !g.Has("d") || g.Has(leader) {
		t.Errorf("the group is %v, want d, %s and %s", g, stays, gone)
	}
}

// TestRemovedSeatPromisesNothing: a seat that has left its group answers no
// candidate of a group that came before that.
func TestRemovedSeatPromisesNothing(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(500 * time.Millisecond)
	former := c.replicas["a"].state.Group
	gone := c.follower(c.leader(), "d")
	c.mustChange("d", gone)
	c.advance(300 * time.Millisecond)
	if c.replicas[gone].state.Group.Has(gone) {
		t.Fatalf("%s is in %v still", gone, c.replicas[gone].state.Group)
	}
	ask := Prepare{PreVote: true, Term: Term{Round: 1000, Leader: "a"}, Group: former}
	if o := c.replicas[gone].Receive(c.now+time.Hour, "a", ask); len(o.Sends) > 0 {
		t.Errorf("%s answers a candidate of a former group: %+v", gone, o.Sends)
	}
}
