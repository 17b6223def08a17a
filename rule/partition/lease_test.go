package partition

import (
	"testing"
	"time"
)

var leaseParams = Params{OwnerTerm: 100 * time.Millisecond, Drift: 0.1, Renewals: 5, Sweeps: 4}

// leaseSeat is seat a of a group that c owned in its first round.
func leaseSeat(c Copy, now time.Duration) *Machine {
	return New(Options{Params: leaseParams, Seat: "a", Rules: registers{}, Copy: c, Now: now, Random: func() float64 { return 0 }})
}

// A candidate that renews the owner's hold while it asks, and then restarts,
// must keep that hold: the owner may serve until it ends.
func TestCandidateKeepsTheHoldItRenewed(t *testing.T) {
	owner := Term{Round: 1, Owner: "c"}
	group := Group{Term: owner, Epoch: 1, Seats: []string{"a", "b", "c"}}
	m := leaseSeat(Copy{Group: group, Promised: owner}, 0)
	now := 120 * time.Millisecond
	var asked Stand
	for _, s := range m.Tick(now).Sends {
		if stand, ok := s.Body.(Stand); ok && s.To == "a" {
			asked = stand
		}
	}
	if !asked.Ask {
		t.Fatal("the seat does not ask")
	}
	m.Receive(now, "a", asked)
	m.Receive(now, "a", Promise{Ask: true, Term: asked.Term, Group: group})
	renewedAt := now
	m.Receive(now, "c", Renew{Term: owner, Sent: now})
	m.Receive(now, "b", Promise{Ask: true, Term: asked.Term, Group: group})

	now += 10 * time.Millisecond
	next := leaseSeat(m.Copied(), now)
	if out := next.Tick(now); len(out.Sends) > 0 {
		t.Errorf("%v after it renewed another's hold its next life stands", now-renewedAt)
	}
	out := next.Receive(now, "b", Stand{Ask: true, Term: Term{Round: 9, Owner: "b"}, Group: group})
	if len(out.Sends) != 1 {
		t.Fatalf("answers: %+v", out.Sends)
	}
	if _, refused := out.Sends[0].Body.(Refuse); !refused {
		t.Errorf("its next life answers %+v within the hold", out.Sends[0].Body)
	}
}

// A renewal rests on the promise of its term, and must not leave before that is
// on disk: a life that lost the promise would not know of the hold.
func TestRenewalWaitsForItsPromise(t *testing.T) {
	former, owner := Term{Round: 1, Owner: "a"}, Term{Round: 2, Owner: "c"}
	group := Group{Term: former, Epoch: 1, Seats: []string{"a", "b", "c"}}
	m := leaseSeat(Copy{Group: group, Promised: former}, 0)
	group.Term = owner
	out := m.Receive(0, "c", Write{Term: owner, Seq: 1, Group: group, Whole: true})
	if len(out.Records) == 0 {
		t.Fatal("the write was not taken")
	}
	out = m.Receive(0, "c", Renew{Term: owner})
	for _, s := range out.Sends {
		if _, renewed := s.Body.(Renewed); renewed && !s.Synced {
			t.Error("a renewal leaves while the promise that it rests on may not be on disk")
		}
	}
	if len(out.Sends) != 1 {
		t.Errorf("answers: %+v", out.Sends)
	}
}
