package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/partition"
	"saffronfall/rule/program"
)

type singleCore struct {
	t       *testing.T
	m       *Machine
	now     time.Duration
	id      uint64
	results map[uint64]CommandResult
}

func newSingleCore(t *testing.T, changes ...func(p *Params)) *singleCore {
	p := Params{Partition: partition.Params{LeaseDuration: 600 * time.Millisecond, Drift: 0.1, RenewalsPerLease: 5, LeasesPerSweep: 8}, MemberLease: 2 * time.Second,
		AttemptTimeout: 150 * time.Millisecond, PullInterval: 150 * time.Millisecond}
	for _, change := range changes {
		change(&p)
	}
	single := &singleCore{t: t, results: map[uint64]CommandResult{}}
	single.m = New(Options{Params: p, ID: "c", Address: "c", Stored: Stored{Incarnation: "1"}, Random: func() float64 { return 0.5 }})
	out, ok := single.m.AcceptFounding(0, FailureDomains{}.PlanFleet("f", 4, 1, []Core{single.m.Self()}))
	if !ok {
		t.Fatal("fleet not founded")
	}
	single.handle(out)
	single.advance(time.Second)
	return single
}

func (a *singleCore) handle(o Output) {
	for _, s := range o.Sends {
		switch b := s.Body.(type) {
		case CommandResult:
			a.results[b.ID] = b
		default:
			if s.To == "c" {
				a.handle(a.m.Receive(a.now, "c", s.Body))
			}
		}
	}
}

func (a *singleCore) advance(d time.Duration) {
	for end := a.now + d; a.now < end; {
		a.now += 20 * time.Millisecond
		a.handle(a.m.Tick(a.now))
	}
}

func (a *singleCore) run(command any) any {
	a.t.Helper()
	a.id++
	a.handle(a.m.Receive(a.now, "node", Command{ID: a.id, Partition: TargetPartition(4, command), Raw: message.Pack(command)}))
	r, ok := a.results[a.id]
	if !ok || r.NotLeader || r.Uncertain {
		a.t.Fatalf("%T got no result: %+v", command, r)
	}
	answer, err := message.Open(r.Raw)
	if err != nil {
		a.t.Fatal(err)
	}
	return answer
}

// An owner changes only with proof that the former one has ended. Later writes of the former owner
// must be rejected.
func TestFence(t *testing.T) {
	single := newSingleCore(t)
	open := single.run(OpenProgram{Record: program.Record{Tenant: "t", ID: "p", Node: "n1", Incarnation: "1"}}).(ProgramResult)
	old := open.Record
	if p := single.run(ClaimProgram{Tenant: "t", ID: "p", Node: "n2", Incarnation: "1"}).(ProgramResult); p.Owned {
		t.Error("claimed without proof")
	}
	if p := single.run(ClaimProgram{Tenant: "t", ID: "p", Node: "n2", Incarnation: "1", EndedNode: "n1", EndedIncarnation: "0"}).(ProgramResult); p.Owned {
		t.Error("claimed with proof about another incarnation")
	}
	old.Running = map[string]program.Reservation{"x": {Tokens: 70}}
	old.Version = 1
	single.run(SaveProgram{Record: old})
	claimed := single.run(ClaimProgram{Tenant: "t", ID: "p", Node: "n2", Incarnation: "1", EndedNode: "n1", EndedIncarnation: "1"}).(ProgramResult)
	if !claimed.Owned || claimed.Record.Fence != 2 || claimed.Record.Spent != 70 || len(claimed.Record.Running) != 0 {
		t.Errorf("claim with proof: %+v", claimed)
	}
	old.Version = 99
	if p := single.run(SaveProgram{Record: old}).(ProgramResult); !p.Fenced {
		t.Error("a save of the former owner was accepted")
	}
	if p := single.run(HandOverProgram{Tenant: "t", ID: "p", Fence: 1, Node: "n3"}).(ProgramResult); !p.Fenced {
		t.Error("the former owner handed the program over")
	}
	if p := single.run(ClaimProgram{Tenant: "t", ID: "p", Node: "n1", Incarnation: "1"}).(ProgramResult); p.Owned || p.Record.Node != "n2" {
		t.Error("the former owner owns the program again")
	}
	if p := single.run(ClaimProgram{Tenant: "other", ID: "p", Node: "n2", Incarnation: "1"}).(ProgramResult); p.Found {
		t.Error("program found under another tenant")
	}
}

// A new incarnation must wait for the lease of the previous one.
func TestMemberLease(t *testing.T) {
	single := newSingleCore(t)
	member := Member{ID: "n", Incarnation: "1", Version: 1}
	if r := single.run(JoinMember{Member: member}).(MembershipResult); !r.Granted {
		t.Fatalf("first join: %+v", r)
	}
	fresh := Member{ID: "n", Incarnation: "2", Version: 1}
	if r := single.run(JoinMember{Member: fresh}).(MembershipResult); r.Granted || r.Wait <= 0 {
		t.Errorf("second incarnation during the first one's lease: %+v", r)
	}
	n := PartitionOf(4, "member", "n")
	if f := single.run(SetVersionFloor{Partition: n, Version: 2}).(VersionFloorResult); f.Done || len(f.Lagging) != 1 {
		t.Errorf("floor: %+v", f)
	}
	if r := single.run(RenewMember{ID: "n", Incarnation: "1", Version: 1}).(MembershipResult); r.Granted {
		t.Error("renewed with an old configuration")
	}
	single.advance(3 * time.Second)
	if f := single.run(SetVersionFloor{Partition: n, Version: 2}).(VersionFloorResult); !f.Done {
		t.Errorf("floor after the lease: %+v", f)
	}
	if r := single.run(RenewMember{ID: "n", Incarnation: "1", Version: 2}).(MembershipResult); r.Granted || !r.Ended {
		t.Errorf("an ended membership was renewed: %+v", r)
	}
	fresh.Version = 2
	if r := single.run(JoinMember{Member: fresh}).(MembershipResult); !r.Granted {
		t.Errorf("new incarnation after the lease of the previous one: %+v", r)
	}
}

// Repeated and delayed commands must not raise the sum of all grants above the limit.
func TestAllowanceNeverExceedsLimit(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for round := 0; round < 20; round++ {
		single := newSingleCore(t)
		type holder struct{ granted, spent, returned int64 }
		holders := map[string]*holder{}
		var ended int64
		const limit = 1000
		var delayed []DrawAllowance
		for i := 0; i < 200; i++ {
			name := fmt.Sprintf("n%d/%d", random.IntN(4), i/60)
			h := holders[name]
			if h == nil {
				h = &holder{}
				holders[name] = h
			}
			free := h.granted - h.spent - h.returned
			switch random.IntN(4) {
			case 0:
				h.spent += random.Int64N(free + 1)
			case 1:
				h.returned += random.Int64N(free + 1)
			}
			c := DrawAllowance{Tenant: "t", Kind: "day", Holder: name, Spent: h.spent, Returned: h.returned, Target: random.Int64N(500), Limit: limit}
			if i%60 == 59 {
				for n, closed := range holders {
					if n[len(n)-1] == name[len(name)-1] {
						c.Ended = append(c.Ended, n)
						ended += closed.granted - closed.returned
						delete(holders, n)
					}
				}
				c.Holder, c.Spent, c.Returned = "next/9", 0, 0
				single.run(c)
				holders["next/9"] = &holder{granted: single.run(DrawAllowance{Tenant: "t", Kind: "day", Holder: "next/9", Limit: limit}).(DrawResult).Granted}
			} else {
				delayed = append(delayed, c)
				r := single.run(c).(DrawResult)
				h.granted = max(h.granted, r.Granted)
				if random.IntN(3) == 0 {
					// A delayed command may come from a holder that has ended.
					again := delayed[random.IntN(len(delayed))]
					granted := single.run(again).(DrawResult).Granted
					if one := holders[again.Holder]; one != nil {
						one.granted = max(one.granted, granted)
					} else {
						single.run(DrawAllowance{Tenant: "t", Kind: "day", Holder: name, Spent: h.spent, Returned: h.returned, Limit: limit, Ended: []string{again.Holder}})
					}
				}
			}
			sum := ended
			for _, h := range holders {
				sum += h.granted - h.returned
			}
			if sum > limit {
				t.Fatalf("round %d step %d: %d of %d were granted", round, i, sum, limit)
			}
		}
	}
}

// Only a claim that certainly did not run may be released.
func TestOnceStates(t *testing.T) {
	single := newSingleCore(t)
	claim := func(id string) OnceRecord {
		return single.run(ClaimOnce{Tenant: "t", Service: "s", Key: "k", Claim: id, Digest: "d", Retention: time.Hour}).(OnceRecord)
	}
	end := func(id, state string) OnceRecord {
		return single.run(EndOnce{Tenant: "t", Service: "s", Key: "k", Claim: id, State: state, Body: []byte("{}")}).(OnceRecord)
	}
	if o := claim("a"); o.Claim != "a" {
		t.Errorf("first claim: %+v", o)
	}
	if o := claim("b"); o.Claim != "a" || o.State != OnceIntent {
		t.Errorf("second claim: %+v", o)
	}
	end("b", OnceReleased)
	if o := claim("b"); o.Claim != "a" {
		t.Error("released by another claim")
	}
	end("a", OnceReleased)
	if o := claim("b"); o.Claim != "b" {
		t.Errorf("not released: %+v", o)
	}
	end("b", OnceUncertain)
	end("b", OnceReleased)
	if o := claim("c"); o.State != OnceUncertain {
		t.Errorf("a claim that may have run was released: %+v", o)
	}
}

// A core that joins or retires must move no more members than necessary.
func TestPlacement(t *testing.T) {
	var cores []Core
	for i := 0; i < 8; i++ {
		cores = append(cores, Core{ID: fmt.Sprint("c", i), Incarnation: "1", Zone: fmt.Sprint("z", i%4)})
	}
	founding := FailureDomains{}.PlanFleet("f", 16, 3, cores)
	firsts, places := map[string]int{}, map[string]int{}
	for n, g := range founding.Groups {
		if zoneCount(founding.Cores, g.Members) != 3 {
			t.Errorf("partition %d: %v", n, g.Members)
		}
		firsts[g.Members[0]]++
		for _, s := range g.Members {
			places[s]++
		}
	}
	for _, c := range cores {
		if n := firsts[c.MemberID()]; n < 1 || n > 3 {
			t.Errorf("%s is first in %d groups of 16", c.ID, n)
		}
		if n := places[c.MemberID()]; n != 6 {
			t.Errorf("%s has %d of 48 places in 8 cores", c.ID, n)
		}
	}
	fresh := Core{ID: "new", Incarnation: "1", Zone: "z0"}
	founding.Cores["new"] = fresh
	added := 0
	for _, m := range (FailureDomains{}).PlanChange(founding.Cores, Presence{}, founding.Groups, 3, KindAdd, "new", "").Moves {
		if CoreID(m.Add) == "new" {
			added++
		}
	}
	if added < 5 || added > 6 {
		t.Errorf("a ninth core gets %d of 48 places", added)
	}
	delete(founding.Cores, "new")
	after := slices.Clone(cores)
	after[0].Retired = true
	removed := 0
	for n, places := range Place(16, 3, after, nil) {
		if zoneCount(founding.Cores, places) != 3 {
			t.Errorf("partition %d loses a zone", n)
		}
		for _, move := range membershipMoves(n, founding.Groups[n].Members, places) {
			if CoreID(move.Remove) == cores[0].ID {
				removed++
			}
		}
	}
	if removed != 6 {
		t.Errorf("a retired core loses %d of 6 places", removed)
	}
}

func zoneCount(cores map[string]Core, places []string) int {
	seen := map[string]bool{}
	for _, s := range places {
		seen[cores[CoreID(s)].Zone] = true
	}
	return len(seen)
}
