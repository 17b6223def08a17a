package partition

import (
	"testing"
	"time"
)

// machineOf makes one replica of a group of three, and the leader's term.
func replicaUnderTest(t *testing.T) (*Machine, Term, Group) {
	t.Helper()
	group := Group{Epoch: 1, Seats: []string{"a", "b", "c"}}
	m := New(Options{Params: Params{OwnerTerm: 100 * time.Millisecond, Drift: 0.1, Renewals: 5, Sweeps: 4}, Seat: "b", Rules: registers{}, Copy: Copy{Group: group},
		Random: func() float64 { return 0.5 }})
	return m, Term{Round: 1, Owner: "a"}, group
}

// leaseVote is the vote that an output sends without waiting for the disk: up to
// when it lets the leader hold its lease, by the leader's own clock at the sending
// of its renewal.
func leaseVote(o Output) (sent time.Duration, voted bool) {
	for _, s := range o.Sends {
		if r, ok := s.Body.(Renewed); ok && s.To == "a" && !s.Synced {
			return r.Sent, true
		}
	}
	return 0, false
}

// TestLeaseVoteWaitsForTheDisk: a replica that has a leader's term in memory only
// could lose power, come back without it and vote for another leader at once. So
// it does not prolong the leader's lease before that term is on its disk.
func TestLeaseVoteWaitsForTheDisk(t *testing.T) {
	m, term, group := replicaUnderTest(t)
	group.Term = term
	now := time.Second
	written := m.Receive(now, "a", Write{Term: term, Seq: 1, Group: group, Whole: true, Sent: now})
	vote, voted := leaseVote(m.Receive(now, "a", Renew{Term: term, Sent: now}))
	if voted && vote > now-m.params.OwnerTerm {
		t.Errorf("the lease was prolonged by a vote that rests on memory alone")
	}
	for _, s := range written.Sends {
		if s.To == "b" && s.Synced {
			m.Receive(now, "b", s.Body)
		}
	}
	vote, voted = leaseVote(m.Receive(now, "a", Renew{Term: term, Sent: now}))
	if !voted || vote != now {
		t.Errorf("the lease was not prolonged though the term is on disk: %v %v", vote, voted)
	}
}

// TestLateWriteDoesNotBringBackWhatWasRemoved: a write that a cut held up comes
// after its entry's removal was taken by all and the tombstone dropped.
func TestLateWriteDoesNotBringBackWhatWasRemoved(t *testing.T) {
	for _, whole := range []bool{false, true} {
		b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
		b.pass(300 * time.Millisecond)
		leader := b.owner()
		other := "a"
		if leader == "a" {
			other = "b"
		}
		var held []parcel
		if whole {
			// A snapshot for another replica, caught on its way.
			b.run(leader, put{"ghost", "boo"})
			b.seats[leader].owning.wanting[other] = true
			b.seats[leader].out = &Output{}
			b.seats[leader].fillWanting(b.now)
			for _, s := range b.seats[leader].out.Sends {
				held = append(held, parcel{from: leader, to: s.To, body: s.Body})
			}
		} else {
			b.lost = func(from, to string, body any) bool {
				if w, ok := body.(Write); ok && to == other && len(held) == 0 {
					held = append(held, parcel{from: from, to: to, body: w})
				}
				return false
			}
			b.run(leader, put{"ghost", "boo"})
		}
		if len(held) == 0 {
			t.Fatal("no write was held up")
		}
		b.run(leader, put{"ghost", ""})
		b.pass(time.Second)
		if _, ok := b.seats[other].copy.Entries["ghost"]; ok {
			t.Fatal("the tombstone was not dropped")
		}
		for _, p := range held {
			b.take(p.to, b.seats[p.to].Receive(b.now, p.from, p.body))
		}
		b.settle()
		if _, ok := b.seats[other].copy.Entries["ghost"]; ok {
			t.Errorf("whole %v: a late write brought a removed entry back", whole)
		}
		b.seats[leader] = nil
		b.pass(500 * time.Millisecond)
		b.want("ghost", "")
	}
}

// TestDigestsAreKeyedAnew: tenants choose what entries hold. Who doesn't know the
// key of a term can't make two different tables look alike, and each term has a
// key of its own.
func TestDigestsAreKeyedAnew(t *testing.T) {
	entry := func(key, value string) Entry {
		return Entry{Key: key, Value: []byte(value), Stamp: Stamp{Term: Term{Round: 1, Owner: "a"}, Seq: 1}}
	}
	one := map[string]Entry{"k": entry("k", "v"), "l": entry("l", "w")}
	first, second := DigestKey{1, 2}, DigestKey{1, 3}
	if first.sum(one) != first.sum(map[string]Entry{"l": entry("l", "w"), "k": entry("k", "v")}) {
		t.Error("equal tables differ")
	}
	if first.sum(one) == second.sum(one) {
		t.Error("two keys give one digest")
	}
	for _, other := range []map[string]Entry{{"k": entry("k", "v")}, {"k": entry("k", "w"), "l": entry("l", "v")}, {"kv": entry("kv", ""), "l": entry("l", "w")}} {
		if first.sum(one) == first.sum(other) {
			t.Errorf("%v looks like %v", other, one)
		}
	}
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
	seen := map[DigestKey]bool{}
	random := 0.1
	for _, m := range b.seats {
		m.random = func() float64 { random += 0.0137; return random - float64(int(random)) }
	}
	const takeovers = 4
	for range takeovers {
		b.pass(500 * time.Millisecond)
		leader := b.owner()
		if leader == "" {
			t.Fatal("no leader")
		}
		for name, m := range b.seats {
			if m.digestKey != b.seats[leader].digestKey {
				t.Errorf("%s has another key than the leader", name)
			}
		}
		seen[b.seats[leader].digestKey] = true
		b.take(leader, b.seats[leader].Leave(b.now))
	}
	if len(seen) != takeovers {
		t.Errorf("%d keys in %d terms", len(seen), takeovers)
	}
}
