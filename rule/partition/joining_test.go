package partition

import (
	"testing"
	"time"
)

// Guards against a change that gets stuck as the new member, needed for a majority, doesn't know the
// joint group.
func TestJoiningMemberThatMissedItsGroup(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(500 * time.Millisecond)
	leader := c.leader()
	c.propose(leader, put{"k", "v"})
	down := c.follower(leader, "d")
	remaining := c.follower(leader, down, "d")
	c.replicas[down] = nil
	c.drop = func(from, to string, body any) bool {
		w, ok := body.(Write)
		return ok && to == "d" && len(w.Group.Former) > 0
	}
	c.change("d", leader)
	c.advance(30 * time.Millisecond)
	if g := c.replicas[remaining].state.Group; len(g.Former) == 0 || !g.Has("d") {
		t.Fatalf("%s has the group %v, want a joint one", remaining, g)
	}
	if g := c.replicas["d"].state.Group; g.Has("d") {
		t.Fatalf("d has the group %v already", g)
	}
	c.drop = func(from, to string, body any) bool { return false }
	c.network = nil
	for _, s := range []string{leader, remaining, "d"} {
		c.restart(s)
	}
	c.advance(2 * time.Second)
	if c.leader() == "" {
		t.Fatal("no leader after the restart")
	}
	c.wantValue("k", "v")
	if g := c.replicas[c.leader()].state.Group; len(g.Former) > 0 || !g.Has("d") || g.Has(leader) {
		t.Errorf("the group is %v, want d, %s and %s", g, remaining, down)
	}
}

// Guards against an election by a quorum of an older group.
func TestRemovedMemberPromisesNothing(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(500 * time.Millisecond)
	former := c.replicas["a"].state.Group
	removed := c.follower(c.leader(), "d")
	c.mustChange("d", removed)
	c.advance(300 * time.Millisecond)
	if c.replicas[removed].state.Group.Has(removed) {
		t.Fatalf("%s is still in %v", removed, c.replicas[removed].state.Group)
	}
	prepare := Prepare{PreVote: true, Term: Term{Round: 1000, Leader: "a"}, Group: former}
	if o := c.replicas[removed].Receive(c.now+time.Hour, "a", prepare); len(o.Sends) > 0 {
		t.Errorf("%s answers a candidate of a former group: %+v", removed, o.Sends)
	}
}
