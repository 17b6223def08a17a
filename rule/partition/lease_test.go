package partition

import (
	"testing"
	"time"
)

var leaseParams = Params{LeaseDuration: 100 * time.Millisecond, Drift: 0.1, RenewalsPerLease: 5, LeasesPerSweep: 4}

func leaseReplica(state State, now time.Duration) *Machine {
	return New(Options{Params: leaseParams, Member: "a", Rules: registers{}, State: state, Now: now, Random: func() float64 { return 0 }})
}

// Guards against a candidate that renews a lease during its pre-vote and ignores it after a restart.
func TestCandidateKeepsRenewedLease(t *testing.T) {
	leader := Term{Round: 1, Leader: "c"}
	group := Group{Term: leader, Epoch: 1, Members: []string{"a", "b", "c"}}
	m := leaseReplica(State{Group: group, Promised: leader}, 0)
	now := 120 * time.Millisecond
	var prepare Prepare
	for _, s := range m.Tick(now).Sends {
		if p, ok := s.Body.(Prepare); ok && s.To == "a" {
			prepare = p
		}
	}
	if !prepare.PreVote {
		t.Fatal("the member does not hold a pre-vote")
	}
	m.Receive(now, "a", prepare)
	m.Receive(now, "a", Promise{PreVote: true, Term: prepare.Term, Group: group})
	renewedAt := now
	m.Receive(now, "c", RenewLease{Term: leader, SentAt: now})
	m.Receive(now, "b", Promise{PreVote: true, Term: prepare.Term, Group: group})

	now += 10 * time.Millisecond
	next := leaseReplica(m.State(), now)
	if out := next.Tick(now); len(out.Sends) > 0 {
		t.Errorf("%v after it renewed a lease the restarted member is a candidate", now-renewedAt)
	}
	out := next.Receive(now, "b", Prepare{PreVote: true, Term: Term{Round: 9, Leader: "b"}, Group: group})
	if len(out.Sends) != 1 {
		t.Fatalf("answers: %+v", out.Sends)
	}
	if _, rejected := out.Sends[0].Body.(Reject); !rejected {
		t.Errorf("the restarted member answers %+v during the lease", out.Sends[0].Body)
	}
}

// Guards against a member that forgets a renewed lease in a power loss.
func TestLeaseAckWaitsForPromise(t *testing.T) {
	former, leader := Term{Round: 1, Leader: "a"}, Term{Round: 2, Leader: "c"}
	group := Group{Term: former, Epoch: 1, Members: []string{"a", "b", "c"}}
	m := leaseReplica(State{Group: group, Promised: former}, 0)
	group.Term = leader
	out := m.Receive(0, "c", Write{Term: leader, Seq: 1, Group: group, Snapshot: true})
	if len(out.Records) == 0 {
		t.Fatal("the write was not applied")
	}
	out = m.Receive(0, "c", RenewLease{Term: leader})
	for _, s := range out.Sends {
		if _, renewed := s.Body.(LeaseAck); renewed && !s.AfterSync {
			t.Error("a lease is renewed while the promise of its term may not be on disk")
		}
	}
	if len(out.Sends) != 1 {
		t.Errorf("answers: %+v", out.Sends)
	}
}
