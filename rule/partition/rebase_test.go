package partition

import (
	"fmt"
	"testing"
	"time"
)

// carried counts the entries that messages carried since it was last asked.
func (c *cluster) countEntries(count *int) {
	lost := c.drop
	c.drop = func(from, to string, body any) bool {
		if from != to {
			switch m := body.(type) {
			case Promise:
				*count += len(m.Entries)
			case Write:
				*count += len(m.Entries)
			}
		}
		return lost(from, to, body)
	}
}

// TestTakeoverOfEqualCopiesCarriesNoEntries: where a majority's copies are alike,
// a new owner needs none of them sent, and all that was agreed is there.
func TestTakeoverOfEqualCopiesCarriesNoEntries(t *testing.T) {
	group := []string{"a", "b", "c"}
	c := newCluster(t, group, group...)
	c.advance(500 * time.Millisecond)
	for i := 0; i < 50; i++ {
		c.propose(c.leader(), put{fmt.Sprint("k", i), "v"})
	}
	c.propose(c.leader(), put{"k7", ""})
	c.advance(100 * time.Millisecond)
	former := c.leader()
	var carried int
	c.countEntries(&carried)
	c.collect(former, c.replicas[former].ReleaseLeadership(c.now))
	for end := c.now + time.Second; c.now < end && (c.leader() == "" || c.leader() == former); {
		c.advance(5 * time.Millisecond)
	}
	if c.leader() == former || c.leader() == "" {
		t.Fatalf("%q owns", c.leader())
	}
	if carried != 0 {
		t.Errorf("%d entries were carried", carried)
	}
	c.wantValue("k49", "v")
	c.wantValue("k7", "")
	c.propose(c.leader(), put{"k50", "v"})
	// All copies are whole under the new term: another takeover keeps all.
	c.advance(300 * time.Millisecond)
	c.replicas[former] = nil
	c.collect(c.leader(), c.replicas[c.leader()].ReleaseLeadership(c.now))
	c.advance(600 * time.Millisecond)
	c.wantValue("k50", "v")
	c.wantValue("k7", "")
}

// TestTakeoverOfUnequalCopies: one seat lacks a write that a majority has; whoever
// takes over, the write is there, and every seat ends with it.
func TestTakeoverOfUnequalCopies(t *testing.T) {
	group := []string{"a", "b", "c"}
	for _, lacking := range group {
		for _, dies := range []bool{false, true} {
			c := newCluster(t, group, group...)
			c.advance(500 * time.Millisecond)
			former := c.leader()
			if lacking == former {
				continue
			}
			c.propose(former, put{"k", "old"})
			c.advance(100 * time.Millisecond)
			c.drop = func(from, to string, body any) bool { _, write := body.(Write); return write && to == lacking }
			c.propose(former, put{"k", "new"})
			c.propose(former, put{"l", "new"})
			c.drop = func(string, string, any) bool { return false }
			if dies {
				c.replicas[former] = nil
			} else {
				c.restart(former)
			}
			c.advance(time.Second)
			c.wantValue("k", "new")
			c.wantValue("l", "new")
			c.advance(time.Second)
			for _, s := range group {
				if m := c.replicas[s]; m != nil && string(m.state.Entries["k"].Value) != "new" {
					t.Errorf("%s lacked a write, former owner dead %v: %s ends with %q", lacking, dies, s, m.state.Entries["k"].Value)
				}
			}
		}
	}
}

// TestRestampReachesALateSeat: a seat that promises late, with the same entries or
// with others, becomes whole.
func TestRestampReachesALateSeat(t *testing.T) {
	group := []string{"a", "b", "c"}
	for _, other := range []bool{false, true} {
		c := newCluster(t, group, group...)
		c.advance(500 * time.Millisecond)
		former := c.leader()
		c.propose(former, put{"k", "v"})
		c.advance(100 * time.Millisecond)
		late := "c"
		if former == "c" {
			late = "b"
		}
		c.drop = func(from, to string, body any) bool { return from == late || to == late }
		if other {
			c.propose(former, put{"k", "w"})
		}
		c.restart(former)
		c.advance(60 * time.Millisecond)
		if c.leader() != former {
			t.Fatalf("%q owns", c.leader())
		}
		c.drop = func(string, string, any) bool { return false }
		c.advance(time.Second)
		want := map[bool]string{false: "v", true: "w"}[other]
		if got := string(c.replicas[late].state.Entries["k"].Value); got != want {
			t.Errorf("the late seat has %q and not %q", got, want)
		}
		if c.replicas[late].digest != c.replicas[former].digest {
			t.Errorf("the late seat's copy differs")
		}
	}
}
