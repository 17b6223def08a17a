package partition

import (
	"fmt"
	"testing"
	"time"
)

// countEntries counts the entries in messages from now on.
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

// Guards against a takeover by digests that sends entries or loses a committed one.
func TestTakeoverOfEqualReplicasSendsNoEntries(t *testing.T) {
	group := []string{"a", "b", "c"}
	c := newCluster(t, group, group...)
	c.advance(500 * time.Millisecond)
	for i := 0; i < 50; i++ {
		c.propose(c.leader(), put{fmt.Sprint("k", i), "v"})
	}
	c.propose(c.leader(), put{"k7", ""})
	c.advance(100 * time.Millisecond)
	former := c.leader()
	var sent int
	c.countEntries(&sent)
	c.collect(former, c.replicas[former].ReleaseLeadership(c.now))
	for end := c.now + time.Second; c.now < end && (c.leader() == "" || c.leader() == former); {
		c.advance(5 * time.Millisecond)
	}
	if c.leader() == former || c.leader() == "" {
		t.Fatalf("%q leads", c.leader())
	}
	if sent != 0 {
		t.Errorf("%d entries were sent", sent)
	}
	c.wantValue("k49", "v")
	c.wantValue("k7", "")
	c.propose(c.leader(), put{"k50", "v"})
	// Another takeover shows that all replicas are complete in the new term.
	c.advance(300 * time.Millisecond)
	c.replicas[former] = nil
	c.collect(c.leader(), c.replicas[c.leader()].ReleaseLeadership(c.now))
	c.advance(600 * time.Millisecond)
	c.wantValue("k50", "v")
	c.wantValue("k7", "")
}

// Guards against the loss of a write that only a majority has, whichever member leads next.
func TestTakeoverOfUnequalReplicas(t *testing.T) {
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
					t.Errorf("%s lacked a write, former leader dead %v: %s ends with %q", lacking, dies, s, m.state.Entries["k"].Value)
				}
			}
		}
	}
}

// Guards against a member that promises late and never becomes complete.
func TestRebaseReachesLateMember(t *testing.T) {
	group := []string{"a", "b", "c"}
	for _, missesWrite := range []bool{false, true} {
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
		if missesWrite {
			c.propose(former, put{"k", "w"})
		}
		c.restart(former)
		c.advance(60 * time.Millisecond)
		if c.leader() != former {
			t.Fatalf("%q leads", c.leader())
		}
		c.drop = func(string, string, any) bool { return false }
		c.advance(time.Second)
		want := map[bool]string{false: "v", true: "w"}[missesWrite]
		if got := string(c.replicas[late].state.Entries["k"].Value); got != want {
			t.Errorf("the late member has %q, want %q", got, want)
		}
		if c.replicas[late].digest != c.replicas[former].digest {
			t.Errorf("the late member has another digest than the leader")
		}
	}
}
