package core

import (
	"fmt"
	"testing"
	"time"
)

var (
	retirementAccepted = RetireCoreResult{Found: true, EnoughRemain: true, Done: true}
	retirementRefused  = RetireCoreResult{Found: true}
)

// lostTime is longer than it takes until a silent core counts as lost.
const lostTime = 9 * time.Second

// replaceLost loses a core for good and adds an empty one.
func (f *fleet) replaceLost(core *testCore, id string) *testCore {
	f.losePermanently(core)
	f.advance(time.Second)
	added := f.addCore(id)
	added.cold = false
	f.start(added)
	f.awaitSettled(id+" replaces "+core.id, settleTime)
	return added
}

// Guards against a retirement that is accepted because cores that are gone for good count as
// remaining.
func TestLostCoresDontCountAsRemaining(t *testing.T) {
	for _, size := range []int{3, 5} {
		testFleet := newFleet(t, size, size)
		testFleet.replaceLost(testFleet.cores[1], "fresh")
		testFleet.advance(lostTime)
		if r := testFleet.call(RetireCore{ID: "c3"}); r != retirementRefused {
			t.Errorf("groups of %d: one core too few would remain: %+v", size, r)
		}
		testFleet.start(testFleet.addCore("spare"))
		testFleet.awaitSettled("a spare core", settleTime)
		if r := testFleet.call(RetireCore{ID: "c3"}); r != retirementAccepted {
			t.Errorf("groups of %d: enough cores remain: %+v", size, r)
		}
		testFleet.awaitSettled("retired", settleTime)
		testFleet.checkClaims()
	}
}

// Guards against a retirement that is refused because another core restarts.
func TestRetirementIsNotRefusedDuringARestart(t *testing.T) {
	for _, down := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		testFleet := newFleet(t, 3, 4)
		restarted := testFleet.cores[2]
		testFleet.kill(restarted)
		testFleet.advance(down / 2)
		back := testFleet.now + down/2
		testFleet.lastTicket++
		ticket := testFleet.lastTicket
		first := testFleet.cores[0]
		testFleet.handle(first, first.m.RunCommand(testFleet.now, ticket, RetireCore{ID: "c2"}, 4*time.Second))
		for testFleet.now < back {
			testFleet.step()
		}
		testFleet.start(restarted)
		testFleet.advance(4 * time.Second)
		if o, ok := testFleet.answers[ticket].(Outcome); !ok || o.Answer != retirementAccepted {
			t.Errorf("a core is down for %v: %+v", down, o)
		}
		if r := testFleet.call(RetireCore{ID: "c2"}); r != retirementAccepted {
			t.Errorf("the order given again: %+v", r)
		}
		testFleet.awaitSettled(fmt.Sprintf("retired, and a core down for %v", down), settleTime)
		testFleet.checkClaims()
	}
}

// Guards against two retirements at the same moment that leave one core too few.
func TestTwoRetirementsAtOnce(t *testing.T) {
	testFleet := newFleet(t, 3, 4)
	var tickets []uint64
	for i, id := range []string{"c1", "c2"} {
		testFleet.lastTicket++
		tickets = append(tickets, testFleet.lastTicket)
		sender := testFleet.cores[2+i]
		testFleet.handle(sender, sender.m.RunCommand(testFleet.now, testFleet.lastTicket, RetireCore{ID: id}, 4*time.Second))
	}
	testFleet.advance(5 * time.Second)
	results := map[any]int{}
	for _, ticket := range tickets {
		results[testFleet.answers[ticket].(Outcome).Answer]++
	}
	if results[retirementAccepted] != 1 || results[retirementRefused] != 1 {
		t.Errorf("results: %v", results)
	}
	testFleet.awaitSettled("one of two retired", settleTime)
	testFleet.checkClaims()
}

// Guards against a leader that takes cores for present because it has just started.
func TestRestartedLeaderAcceptsNoRetirementUnheard(t *testing.T) {
	testFleet := newFleet(t, 3, 3)
	testFleet.replaceLost(testFleet.cores[1], "fresh")
	testFleet.advance(lostTime)
	for _, core := range testFleet.cores {
		if core.m != nil {
			testFleet.kill(core)
			testFleet.start(core)
		}
	}
	if r := testFleet.call(RetireCore{ID: "c3"}); r != nil {
		t.Errorf("right after the start: %+v", r)
	}
	testFleet.advance(lostTime)
	if r := testFleet.call(RetireCore{ID: "c3"}); r != retirementRefused {
		t.Errorf("once the lost core is known to be lost: %+v", r)
	}
	testFleet.checkClaims()
}

// Guards against lost copies when another core is lost right after a retirement was accepted.
func TestLossRightAfterAnAcceptedRetirement(t *testing.T) {
	for _, after := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
		testFleet := newFleet(t, 3, 4)
		if r := testFleet.call(RetireCore{ID: "c2"}); r != retirementAccepted {
			t.Fatalf("retiring: %+v", r)
		}
		testFleet.advance(after)
		testFleet.replaceLost(testFleet.cores[3], "fresh")
		testFleet.checkClaims()
		if r := testFleet.call(RetireCore{ID: "c2"}); r != retirementAccepted {
			t.Errorf("the order given again: %+v", r)
		}
	}
}

// Guards against a lost seat that is kept while a retired member with its disk is given up, so that
// the next lost disk takes the majority.
func TestLostSeatIsReplacedBeforeARetiredOne(t *testing.T) {
	for _, size := range []int{3, 5} {
		testFleet := newFleet(t, size, size)
		retired := testFleet.cores[2].m.Self()
		retired.Retired, retired.Version = true, retired.Version+1
		// An earlier release retired a core although too few others remain.
		if r := testFleet.call(PutCore{Core: retired}); r != (Done{OK: true}) {
			t.Fatalf("retiring: %+v", r)
		}
		lost := testFleet.cores[1].m.Self().MemberID()
		testFleet.losePermanently(testFleet.cores[1])
		testFleet.advance(time.Second)
		fresh := testFleet.addCore("fresh")
		fresh.cold = false
		testFleet.start(fresh)
		testFleet.advance(6 * time.Second)
		for n := 0; n < testPartitions; n++ {
			if _, group, ok := testFleet.leader(n); !ok || group.Has(lost) || !group.Has(retired.MemberID()) {
				t.Errorf("groups of %d, partition %d: %+v", size, n, group)
			}
		}
		next := testFleet.cores[0]
		testFleet.kill(next)
		testFleet.wipe(next)
		testFleet.start(next)
		testFleet.advance(6 * time.Second)
		testFleet.checkClaims()
		testFleet.start(testFleet.addCore("spare"))
		testFleet.awaitSettled("with a spare core", settleTime)
		testFleet.checkClaims()
	}
}

// Guards against a seat that nobody takes, or a lost core, that the operator does not see.
func TestSilencesShowLostCores(t *testing.T) {
	testFleet := newFleet(t, 3, 3)
	observer := testFleet.cores[0]
	if silences := observer.m.Silences(testFleet.now); len(silences) != 0 {
		t.Errorf("while all are heard: %+v", silences)
	}
	testFleet.losePermanently(testFleet.cores[1])
	testFleet.advance(3 * time.Second)
	if s := observer.m.Silences(testFleet.now); len(s) != 1 || s[0].Core != "c2" || s[0].Lost || s[0].Seats != testPartitions {
		t.Errorf("after three seconds: %+v", s)
	}
	testFleet.advance(lostTime)
	if s := observer.m.Silences(testFleet.now); len(s) != 1 || !s[0].Lost {
		t.Errorf("after nine seconds more: %+v", s)
	}
}
