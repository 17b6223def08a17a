package partition

import (
	"fmt"
	"testing"
	"time"
)

type put struct{ key, value string }
type get struct{ key string }

type registers struct{}

func (registers) Elected(time.Duration, *Tx) {}
func (registers) Apply(now time.Duration, tx *Tx, command any) any {
	switch c := command.(type) {
	case put:
		if c.value == "" {
			tx.Delete(c.key)
		} else {
			tx.Put(c.key, []byte(c.value))
		}
	case get:
		raw, _ := tx.Get(c.key)
		return string(raw)
	}
	return nil
}

// cluster runs the replicas of a group with a simulated clock and network.
type cluster struct {
	t        *testing.T
	now      time.Duration
	replicas map[string]*Machine
	order    []string
	network  []packet
	drop     func(from, to string, body any) bool
	results  map[uint64]Result
	nextID   uint64
}

type packet struct {
	from, to string
	body     any
}

func newCluster(t *testing.T, group []string, all ...string) *cluster {
	c := &cluster{
		t:        t,
		replicas: map[string]*Machine{},
		results:  map[uint64]Result{},
		drop:     func(string, string, any) bool { return false },
		order:    all,
	}
	for i, s := range all {
		state := State{}
		if contains(group, s) {
			state.Group = Group{Epoch: 1, Members: group}
		}
		c.replicas[s] = New(Options{
			Params: Params{LeaseDuration: 100 * time.Millisecond, Drift: 0.1, RenewalsPerLease: 5, LeasesPerSweep: 4},
			Member: s,
			Rules:  registers{},
			State:  state,
			Random: func() float64 { return float64(i) / float64(len(all)) },
		})
	}
	return c
}

func (c *cluster) collect(from string, o Output) {
	for _, s := range o.Sends {
		// Otherwise the candidate could lead under the same term again after a restart.
		if prepare, ok := s.Body.(Prepare); ok && !prepare.PreVote && s.To != from &&
			(!s.AfterSync || c.replicas[from].state.Promised != prepare.Term) {
			c.t.Errorf("%s is a candidate for %v without a durable promise of its own", from, prepare.Term)
		}
		c.network = append(c.network, packet{from, s.To, s.Body})
	}
	for _, r := range o.Results {
		c.results[r.RequestID] = r
	}
}

func (c *cluster) deliver() {
	for len(c.network) > 0 {
		p := c.network[0]
		c.network = c.network[1:]
		if m := c.replicas[p.to]; m != nil && !c.drop(p.from, p.to, p.body) {
			c.collect(p.to, m.Receive(c.now, p.from, p.body))
		}
	}
}

func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 5 * time.Millisecond
		for _, s := range c.order {
			if m := c.replicas[s]; m != nil {
				c.collect(s, m.Tick(c.now))
			}
			c.deliver()
		}
	}
}

func (c *cluster) leader() string {
	for _, s := range c.order {
		if m := c.replicas[s]; m != nil {
			if _, ok := m.LeadingTerm(c.now); ok {
				return s
			}
		}
	}
	return ""
}

func (c *cluster) propose(member string, command any) Result {
	c.nextID++
	c.collect(member, c.replicas[member].Propose(c.now, c.nextID, command))
	c.deliver()
	if r, ok := c.results[c.nextID]; ok {
		return r
	}
	return Result{Uncertain: true}
}

func (c *cluster) wantValue(key, value string) {
	c.t.Helper()
	if r := c.propose(c.leader(), get{key}); r.Body != value {
		c.t.Errorf("%s is %v, want %q", key, r.Body, value)
	}
}

func TestLeaderChangeKeepsCommittedWrites(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	first := c.leader()
	for i := 0; i < 5; i++ {
		if r := c.propose(first, put{fmt.Sprint(i), "x"}); r.Uncertain || r.NotLeader {
			t.Fatalf("write %d: %+v", i, r)
		}
	}
	c.replicas[first] = nil
	c.advance(500 * time.Millisecond)
	if c.leader() == "" || c.leader() == first {
		t.Fatalf("leader after the loss of %s: %q", first, c.leader())
	}
	for i := 0; i < 5; i++ {
		c.wantValue(fmt.Sprint(i), "x")
	}
}

// Guards against a write of one member that returns after a later leader has served without it.
func TestUncommittedWriteIsNotRestored(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	first := c.leader()
	c.drop = func(from, to string, body any) bool { return from == first && to != first }
	if r := c.propose(first, put{"uncommitted", "v"}); !r.Uncertain {
		t.Fatal("a write without a majority was acknowledged")
	}
	old := c.replicas[first]
	c.replicas[first] = nil
	c.drop = func(string, string, any) bool { return false }
	c.advance(500 * time.Millisecond)
	second := c.leader()
	c.wantValue("uncommitted", "")
	c.replicas[first] = New(Options{Params: old.params, Member: first, Rules: registers{}, State: old.state, Now: c.now, Random: func() float64 { return 0 }})
	c.drop = func(from, to string, body any) bool { return to == first }
	c.replicas[second] = nil
	c.drop = func(string, string, any) bool { return false }
	c.advance(800 * time.Millisecond)
	if c.leader() == "" {
		t.Fatal("no leader")
	}
	c.wantValue("uncommitted", "")
}

func TestNonMemberNeverVotes(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "b2")
	c.advance(300 * time.Millisecond)
	c.propose(c.leader(), put{"k", "v"})
	// b2 is b after the loss of its disk, so it is no member; c is down.
	c.replicas["b"], c.replicas["c"] = nil, nil
	o := c.replicas["b2"].Receive(c.now, "a", Prepare{Term: Term{Round: 99, Leader: "a"}, Group: Group{Epoch: 1, Members: []string{"a", "b", "c"}}})
	if len(o.Sends) > 0 || len(o.Records) > 0 {
		t.Errorf("a non-member answered: %+v", o)
	}
	c.advance(600 * time.Millisecond)
	if c.leader() != "" {
		t.Errorf("%s leads with one of three members", c.leader())
	}
}

func TestPausedLeaderRefusesAfterLeaseExpiry(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	first := c.leader()
	paused := c.replicas[first]
	c.replicas[first] = nil
	c.advance(500 * time.Millisecond)
	second := c.leader()
	c.propose(second, put{"k", "new"})
	o := paused.Propose(c.now, 77, get{"k"})
	if len(o.Results) != 1 || !o.Results[0].NotLeader {
		t.Errorf("a resumed leader answered: %+v", o.Results)
	}
}

// Guards against a former leader's write of an entry that no later leader has written.
func TestWriteOfOldTermRejected(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	first := c.leader()
	old, _ := c.replicas[first].LeadingTerm(c.now)
	c.replicas[first] = nil
	c.advance(500 * time.Millisecond)
	second := c.leader()
	o := c.replicas[second].Receive(c.now, first, Write{
		Term:    old,
		Seq:     9,
		Group:   c.replicas[second].state.Group,
		Entries: []Entry{{Key: "late", Value: []byte("x"), Version: Version{Term: old, Seq: 9}}},
	})
	if _, rejected := o.Sends[0].Body.(Reject); !rejected || len(o.Records) > 0 {
		t.Errorf("applied: %+v", o)
	}
	c.wantValue("late", "")
}

func TestRestartedMemberHonorsLease(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	first := c.leader()
	for _, s := range c.order {
		if s != first {
			c.replicas[s] = New(Options{Params: c.replicas[s].params, Member: s, Rules: registers{}, State: c.replicas[s].state, Now: c.now, Random: func() float64 { return 0 }})
		}
	}
	other := "a"
	if first == "a" {
		other = "b"
	}
	o := c.replicas[other].Receive(c.now, "x", Prepare{Term: Term{Round: 50, Leader: other + "'"}, Group: c.replicas[other].state.Group})
	if r, ok := o.Sends[0].Body.(Reject); !ok || r.LeaseRemaining <= 0 {
		t.Errorf("a restarted member may have renewed a lease and must wait: %+v", o.Sends)
	}
}

func TestMembershipChange(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	c.advance(300 * time.Millisecond)
	for i := 0; i < 20; i++ {
		c.propose(c.leader(), put{fmt.Sprint(i), "x"})
	}
	removed := "c"
	if c.leader() == "c" {
		removed = "b"
	}
	c.replicas[removed] = nil
	c.collect(c.leader(), c.replicas[c.leader()].ChangeMembers(c.now, 1000, "d", removed))
	c.advance(300 * time.Millisecond)
	if r := c.results[1000]; r.Body != true {
		t.Fatalf("change: %+v", r)
	}
	if g := c.replicas["d"].Group(); !sameMembers(g.Members, c.replicas[c.leader()].Group().Members) || g.Has(removed) || len(g.Former) > 0 {
		t.Fatalf("group: %+v", g)
	}
	for i := 0; i < 20; i++ {
		if e := c.replicas["d"].State().Entries[fmt.Sprint(i)]; string(e.Value) != "x" {
			t.Errorf("the new member lacks %d", i)
		}
	}
	c.replicas[c.leader()] = nil
	c.advance(600 * time.Millisecond)
	if c.leader() == "" {
		t.Fatal("no leader after the change")
	}
	c.wantValue("7", "x")
}

func TestRepairsReplicaAndPurgesTombstones(t *testing.T) {
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	c.advance(300 * time.Millisecond)
	outdated := "c"
	if c.leader() == "c" {
		outdated = "b"
	}
	c.drop = func(from, to string, body any) bool { _, write := body.(Write); return write && to == outdated }
	c.propose(c.leader(), put{"k", "v"})
	c.propose(c.leader(), put{"deleted", "v"})
	c.propose(c.leader(), put{"deleted", ""})
	c.drop = func(string, string, any) bool { return false }
	c.advance(100 * time.Millisecond)
	if e := c.replicas[outdated].State().Entries["k"]; string(e.Value) != "v" {
		t.Error("the outdated replica was not repaired")
	}
	c.advance(2 * time.Second)
	for _, s := range c.order {
		if _, present := c.replicas[s].State().Entries["deleted"]; present {
			t.Errorf("%s still has a tombstone", s)
		}
	}
}
