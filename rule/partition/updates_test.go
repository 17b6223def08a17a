package partition

import (
	"testing"
	"time"
)

// TestNewsWhileAWriteIsUnderWay wants news to have what is agreed, and not to
// leave it out while a newer value of the same entry is not agreed yet: whoever
// gets it goes by the stamp that it is told up to.
func TestNewsWhileAWriteIsUnderWay(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	leader := c.replicas[c.leader()]
	told := func() string {
		upto, _ := leader.CommittedVersion()
		news := leader.Updates(Version{}, []string{"table"})
		if len(news) == 0 {
			return ""
		}
		if upto.Less(news[0].Version) {
			t.Errorf("news up to %v have %+v", upto, news[0])
		}
		return string(news[0].Value)
	}
	c.propose(c.leader(), put{"table", "one"})
	c.propose(c.leader(), put{"table", "two"})
	if got := told(); got != "two" {
		t.Errorf("the news are %q, want what is agreed: two", got)
	}
	c.drop = func(from, to string, body any) bool { return true }
	c.propose(c.leader(), put{"table", "three"})
	if got := told(); got != "two" {
		t.Errorf("the news are %q while three is under way, want two", got)
	}
	c.propose(c.leader(), put{"table", "four"})
	if got := told(); got != "two" {
		t.Errorf("the news are %q while three is under way and four waits, want two", got)
	}
	c.drop = func(from, to string, body any) bool {
		w, ok := body.(Write)
		return ok && w.Seq > leader.leading.pending.seq
	}
	c.advance(30 * time.Millisecond)
	if got := told(); got != "four" {
		t.Errorf("the news are %q once all is agreed, want four", got)
	}
	c.propose(c.leader(), put{"table", ""})
	c.propose(c.leader(), put{"fresh", "x"})
	if n := len(leader.leading.superseded); n != 0 {
		t.Errorf("%d former values are kept once all is agreed", n)
	}
}

// TestNewsBetweenTwoWrites wants the value of a write that was just agreed to be
// told while the next one of the same entry, which had waited for it, is under
// way.
func TestNewsBetweenTwoWrites(t *testing.T) {
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
	news := leader.Updates(Version{}, []string{"table"})
	if len(news) != 1 || string(news[0].Value) != "two" {
		t.Errorf("the news are %v, want two", news)
	}
}
