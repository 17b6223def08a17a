package partition

import (
	"testing"
	"time"
)

// Guards against updates that omit a committed value: a subscriber would not ask for it again.
func TestUpdatesWhileWritePending(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	leader := c.replicas[c.leader()]
	tableValue := func() string {
		committed, _ := leader.CommittedVersion()
		updates := leader.Updates(Version{}, []string{"table"})
		if len(updates) == 0 {
			return ""
		}
		if committed.Less(updates[0].Version) {
			t.Errorf("updates up to %v have %+v", committed, updates[0])
		}
		return string(updates[0].Value)
	}
	c.propose(c.leader(), put{"table", "one"})
	c.propose(c.leader(), put{"table", "two"})
	if got := tableValue(); got != "two" {
		t.Errorf("the update is %q, want the committed value two", got)
	}
	c.drop = func(from, to string, body any) bool { return true }
	c.propose(c.leader(), put{"table", "three"})
	if got := tableValue(); got != "two" {
		t.Errorf("the update is %q while three is pending, want two", got)
	}
	c.propose(c.leader(), put{"table", "four"})
	if got := tableValue(); got != "two" {
		t.Errorf("the update is %q while three is pending and four queued, want two", got)
	}
	c.drop = func(from, to string, body any) bool {
		w, ok := body.(Write)
		return ok && w.Seq > leader.leading.pending.seq
	}
	c.advance(30 * time.Millisecond)
	if got := tableValue(); got != "four" {
		t.Errorf("the update is %q once all is committed, want four", got)
	}
	c.propose(c.leader(), put{"table", ""})
	c.propose(c.leader(), put{"fresh", "x"})
	if n := len(leader.leading.superseded); n != 0 {
		t.Errorf("%d former values are kept once all is committed", n)
	}
}

// Guards against updates without a committed value whose entry was written again while queued.
func TestUpdatesBetweenTwoWrites(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	leader := c.replicas[c.leader()]
	c.propose(c.leader(), put{"table", "one"})
	c.drop = func(from, to string, body any) bool { _, ok := body.(Write); return ok }
	c.propose(c.leader(), put{"table", "two"})
	c.propose(c.leader(), put{"table", "three"})
	two := leader.leading.pending.seq
	c.drop = func(from, to string, body any) bool {
		w, ok := body.(Write)
		return ok && w.Seq > two
	}
	for i := 0; i < 20 && leader.leading.committedSeq < two; i++ {
		c.advance(5 * time.Millisecond)
	}
	updates := leader.Updates(Version{}, []string{"table"})
	if len(updates) != 1 || string(updates[0].Value) != "two" {
		t.Errorf("the updates are %v, want two", updates)
	}
}
