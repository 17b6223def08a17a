package partition

import (
	"testing"
	"time"
)

var leaseParams = Params{LeaseDuration: 100 * time.Millisecond, Drift: 0.1, RenewalsPerLease: 5, LeasesPerSweep: 4}

// leaseSeat is seat a of a group that c owned in its first round.
func leaseReplica(c State, now time.Duration) *Machine {
	return New(Options{Params: leaseParams, Member: "a", Rules: registers{}, State: c, Now: now, Random: func() float64 { return 0 }})
}

// A candidate that renews the owner's hold while it asks, and then restarts,
// must keep that hold: the owner may serve until it ends.
func TestCandidateKeepsTheHoldItRenewed(t *testing.T) {
	leader := Term{Round: 1, Leader: "c"}
	group := Group{Term: leader, Epoch: 1, Members: []string{"a", "b", "c"}}
	m := leaseReplica(State{Group: group, Promised: leader}, 0)
	now := 120 * time.Millisecond
	var asked Prepare
	for _, s := range m.Tick(now).Sends {
		if stand, ok := s.Body.(Prepare); ok && s.To == "a" {
			asked = stand
		}
	}
	if !asked.PreVote {
		t.Fatal("the seat does not ask")
	}
	m.Receive(now, "a", asked)
	m.Receive(now, "a", Promise{PreVote: true, Term: asked.Term, Group: group})
	renewedAt := now
	m.Receive(now, "c", RenewLease{Term: leader, SentAt: now})
	m.Receive(now, "b", Promise{PreVote: true, Term: asked.Term, Group: group})

	now += 10 * time.Millisecond
	next := leaseReplica(m.State(), now)
	if out := next.Tick(now); len(out.Sends) > 0 {
		t.Errorf("%v after it renewed another's hold its next life stands", now-renewedAt)
	}
	out := next.Receive(now, "b", Prepare{PreVote: true, Term: Term{Round: 9, Leader: "b"}, Group: group})
	if len(out.Sends) != 1 {
		t.Fatalf("answers: %+v", out.Sends)
	}
	if _, refused := out.Sends[0].Body.(Reject); !refused {
		t.Errorf("its next life answers %+v within the hold", out.Sends[0].Body)
	}
}

// A renewal rests on the promise of its term, and must not leave before that is
// on disk: a life that lost the promise would not know of the hold.
func TestRenewalWaitsForItsPromise(t *testing.T) {
	former, leader := Term{Round: 1, Leader: "a"}, Term{Round: 2, Leader: "c"}
	group := Group{Term: former, Epoch: 1, Members: []string{"a", "b", "c"}}
	m := leaseReplica(State{Group: group, Promised: former}, 0)
	group.Term = leader
	out := m.Receive(0, "c", Write{Term: leader, Seq: 1, Group: group, Snapshot: true})
	if len(out.Records) == 0 {
		t.Fatal("the write was not taken")
	}
	out = m.Receive(0, "c", RenewLease{Term: leader})
	for _, s := range out.Sends {
		if _, renewed := s.Body.(LeaseAck); renewed && !s.AfterSync {
			t.Error("a renewal leaves while the promise that it rests on may not be on disk")
		}
	}
	if len(out.Sends) != 1 {
		t.Errorf("answers: %+v", out.Sends)
	}
}
