package partition

import (
	"testing"
	"time"
)

func (c *cluster) restart(member string) {
	old := c.replicas[member]
	c.replicas[member] = New(Options{Params: old.params, Member: member, Rules: registers{}, State: old.state, Now: c.now, Random: func() float64 { return 0.5 }})
}

// Guards against a restarted leader that waits for its own lease.
func TestFormerLeaderResumesAtOnce(t *testing.T) {
	group := []string{"a", "b", "c"}
	for _, late := range []time.Duration{0, 30 * time.Millisecond, 70 * time.Millisecond} {
		c := newCluster(t, group, group...)
		c.advance(500 * time.Millisecond)
		former := c.leader()
		c.propose(former, put{"k", "v"})
		var others []string
		for _, s := range group {
			if s != former {
				others = append(others, s)
			}
		}
		down := map[string]bool{}
		c.drop = func(from, to string, body any) bool { return down[from] || down[to] }
		c.network = nil
		for _, s := range group {
			c.restart(s)
		}
		for _, s := range others {
			down[s] = true
		}
		c.advance(late)
		for _, s := range others {
			delete(down, s)
			c.restart(s)
		}
		began := c.now
		for c.leader() == "" && c.now < began+time.Second {
			c.advance(5 * time.Millisecond)
		}
		if took := c.now - began; c.leader() != former || took > 30*time.Millisecond {
			t.Errorf("with the others back %v after the former leader, %q leads after %v", late, c.leader(), took)
		}
		c.wantValue("k", "v")
	}
}

// Guards against a restarted member that ignores the lease of a leader whose term it has promised.
func TestFollowerWaitsForLease(t *testing.T) {
	group := []string{"a", "b", "c"}
	c := newCluster(t, group, group...)
	c.advance(500 * time.Millisecond)
	former := c.leader()
	for _, s := range group {
		if s != former {
			c.restart(s)
			c.replicas[s].Tick(c.now)
			if c.replicas[s].leading != nil {
				t.Errorf("%s starts an election at once against %s", s, former)
			}
		}
	}
	c.advance(20 * time.Millisecond)
	if c.leader() != former {
		t.Errorf("%q leads, want %s", c.leader(), former)
	}
}
