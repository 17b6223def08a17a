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
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	b.pass(500 * time.Millisecond)
	owner := b.owner()
	b.run(owner, put{"k", "v"})
	gone := b.other(owner, "d")
	stays := b.other(owner, gone, "d")
	b.seats[gone] = nil
	b.lost = func(from, to string, body any) bool {
		w, ok := body.(Write)
		return ok && to == "d" && len(w.Group.Former) > 0
	}
	b.change("d", owner)
	b.pass(30 * time.Millisecond)
	if g := b.seats[stays].copy.Group; len(g.Former) == 0 || !g.Has("d") {
		t.Fatalf("%s has the group %v, want one that changes", stays, g)
	}
	if g := b.seats["d"].copy.Group; g.Has("d") {
		t.Fatalf("d has the group %v already", g)
	}
	b.lost = func(from, to string, body any) bool { return false }
	b.box = nil
	for _, s := range []string{owner, stays, "d"} {
		b.restart(s)
	}
	b.pass(2 * time.Second)
	if b.owner() == "" {
		t.Fatal("nobody owns the part again")
	}
	b.want("k", "v")
	if g := b.seats[b.owner()].copy.Group; len(g.Former) > 0 || !g.Has("d") || g.Has(owner) {
		t.Errorf("the group is %v, want d, %s and %s", g, stays, gone)
	}
}

// TestRemovedSeatPromisesNothing: a seat that has left its group answers no
// candidate of a group that came before that.
func TestRemovedSeatPromisesNothing(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	b.pass(500 * time.Millisecond)
	former := b.seats["a"].copy.Group
	gone := b.other(b.owner(), "d")
	b.changed("d", gone)
	b.pass(300 * time.Millisecond)
	if b.seats[gone].copy.Group.Has(gone) {
		t.Fatalf("%s is in %v still", gone, b.seats[gone].copy.Group)
	}
	ask := Stand{Ask: true, Term: Term{Round: 1000, Owner: "a"}, Group: former}
	if o := b.seats[gone].Receive(b.now+time.Hour, "a", ask); len(o.Sends) > 0 {
		t.Errorf("%s answers a candidate of a former group: %+v", gone, o.Sends)
	}
}
