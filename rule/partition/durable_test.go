package partition

import (
	"testing"
	"time"
)

func replicaUnderTest(t *testing.T) (*Machine, Term, Group) {
	t.Helper()
	group := Group{Epoch: 1, Members: []string{"a", "b", "c"}}
	m := New(Options{
		Params: Params{LeaseDuration: 100 * time.Millisecond, Drift: 0.1, RenewalsPerLease: 5, LeasesPerSweep: 4},
		Member: "b",
		Rules:  registers{},
		State:  State{Group: group},
		Random: func() float64 { return 0.5 },
	})
	return m, Term{Round: 1, Leader: "a"}, group
}

// immediateLeaseAck returns the time in a LeaseAck that doesn't wait for the disk.
func immediateLeaseAck(o Output) (sent time.Duration, renewed bool) {
	for _, s := range o.Sends {
		if r, ok := s.Body.(LeaseAck); ok && s.To == "a" && !s.AfterSync {
			return r.SentAt, true
		}
	}
	return 0, false
}

// Guards against a replica that forgets the term of a renewed lease in a power loss.
func TestLeaseAckWaitsForDisk(t *testing.T) {
	m, term, group := replicaUnderTest(t)
	group.Term = term
	now := time.Second
	written := m.Receive(now, "a", Write{Term: term, Seq: 1, Group: group, Snapshot: true, SentAt: now})
	sent, renewed := immediateLeaseAck(m.Receive(now, "a", RenewLease{Term: term, SentAt: now}))
	if renewed && sent > now-m.params.LeaseDuration {
		t.Errorf("the lease was renewed before the term is on disk")
	}
	for _, s := range written.Sends {
		if s.To == "b" && s.AfterSync {
			m.Receive(now, "b", s.Body)
		}
	}
	sent, renewed = immediateLeaseAck(m.Receive(now, "a", RenewLease{Term: term, SentAt: now}))
	if !renewed || sent != now {
		t.Errorf("the lease was not renewed though the term is on disk: %v %v", sent, renewed)
	}
}

// Guards against a delayed write that arrives after the entry's tombstone was purged.
func TestLateWriteDoesNotRestoreDeletedEntry(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
		c.advance(300 * time.Millisecond)
		leader := c.leader()
		other := "a"
		if leader == "a" {
			other = "b"
		}
		var delayed []packet
		if snapshot {
			// A snapshot for another replica, delayed by the network.
			c.propose(leader, put{"deleted", "v"})
			c.replicas[leader].leading.needsSnapshot[other] = true
			c.replicas[leader].out = &Output{}
			c.replicas[leader].sendSnapshots(c.now)
			for _, s := range c.replicas[leader].out.Sends {
				delayed = append(delayed, packet{from: leader, to: s.To, body: s.Body})
			}
		} else {
			c.drop = func(from, to string, body any) bool {
				if w, ok := body.(Write); ok && to == other && len(delayed) == 0 {
					delayed = append(delayed, packet{from: from, to: to, body: w})
				}
				return false
			}
			c.propose(leader, put{"deleted", "v"})
		}
		if len(delayed) == 0 {
			t.Fatal("no write was delayed")
		}
		c.propose(leader, put{"deleted", ""})
		c.advance(time.Second)
		if _, ok := c.replicas[other].state.Entries["deleted"]; ok {
			t.Fatal("the tombstone was not purged")
		}
		for _, p := range delayed {
			c.collect(p.to, c.replicas[p.to].Receive(c.now, p.from, p.body))
		}
		c.deliver()
		if _, ok := c.replicas[other].state.Entries["deleted"]; ok {
			t.Errorf("snapshot %v: a late write restored a deleted entry", snapshot)
		}
		c.replicas[leader] = nil
		c.advance(500 * time.Millisecond)
		c.wantValue("deleted", "")
	}
}

// Guards against digests whose collisions a tenant could construct.
func TestEachTermHasItsDigestKey(t *testing.T) {
	entry := func(key, value string) Entry {
		return Entry{Key: key, Value: []byte(value), Version: Version{Term: Term{Round: 1, Leader: "a"}, Seq: 1}}
	}
	one := map[string]Entry{"k": entry("k", "v"), "l": entry("l", "w")}
	first, second := DigestKey{1, 2}, DigestKey{1, 3}
	if first.table(one) != first.table(map[string]Entry{"l": entry("l", "w"), "k": entry("k", "v")}) {
		t.Error("equal tables have different digests")
	}
	if first.table(one) == second.table(one) {
		t.Error("two keys give the same digest")
	}
	for _, other := range []map[string]Entry{{"k": entry("k", "v")}, {"k": entry("k", "w"), "l": entry("l", "v")}, {"kv": entry("kv", ""), "l": entry("l", "w")}} {
		if first.table(one) == first.table(other) {
			t.Errorf("%v has the digest of %v", other, one)
		}
	}
	c := newCluster(t, []string{"a", "b", "c"}, "a", "b", "c")
	seen := map[DigestKey]bool{}
	random := 0.1
	for _, m := range c.replicas {
		m.random = func() float64 { random += 0.0137; return random - float64(int(random)) }
	}
	const takeovers = 4
	for range takeovers {
		c.advance(500 * time.Millisecond)
		leader := c.leader()
		if leader == "" {
			t.Fatal("no leader")
		}
		for name, m := range c.replicas {
			if m.digestKey != c.replicas[leader].digestKey {
				t.Errorf("%s has another key than the leader", name)
			}
		}
		seen[c.replicas[leader].digestKey] = true
		c.collect(leader, c.replicas[leader].ReleaseLeadership(c.now))
	}
	if len(seen) != takeovers {
		t.Errorf("%d keys in %d terms", len(seen), takeovers)
	}
}
