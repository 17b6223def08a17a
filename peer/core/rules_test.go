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

// alone is a fleet of one core, so that commands can be tried one by one.
type alone struct {
	t   *testing.T
	m   *Machine
	now time.Duration
	id  uint64
	got map[uint64]CommandReturn
}

func newAlone(t *testing.T, changes ...func(p *Params)) *alone {
	p := Params{Part: partition.Params{LeaseDuration: 600 * time.Millisecond, Drift: 0.1, RenewalsPerLease: 5, LeasesPerSweep: 8}, MemberTerm: 2 * time.Second,
		Retry: 150 * time.Millisecond, Pull: 150 * time.Millisecond}
	for _, change := range changes {
		change(&p)
	}
	a := &alone{t: t, got: map[uint64]CommandReturn{}}
	a.m = New(Options{Params: p, ID: "c", Address: "c", Stored: Stored{Incarnation: "1"}, Random: func() float64 { return 0.5 }})
	out, ok := a.m.Found(0, PlanFleet("f", 4, 1, []Core{a.m.Self()}))
	if !ok {
		t.Fatal("not founded")
	}
	a.take(out)
	a.pass(time.Second)
	return a
}

func (a *alone) take(o Output) {
	for _, s := range o.Sends {
		switch b := s.Body.(type) {
		case CommandReturn:
			a.got[b.ID] = b
		default:
			if s.To == "c" {
				a.take(a.m.Receive(a.now, "c", s.Body))
			}
		}
	}
}

func (a *alone) pass(d time.Duration) {
	for end := a.now + d; a.now < end; {
		a.now += 20 * time.Millisecond
		a.take(a.m.Tick(a.now))
	}
}

func (a *alone) run(command any) any {
	a.t.Helper()
	a.id++
	a.take(a.m.Receive(a.now, "node", Command{ID: a.id, Part: Target(4, command), Raw: message.Pack(command)}))
	r, ok := a.got[a.id]
	if !ok || r.Moved || r.Unsure {
		a.t.Fatalf("%T: %+v", command, r)
	}
	answer, err := message.Open(r.Raw)
	if err != nil {
		a.t.Fatal(err)
	}
	return answer
}

// TestFence: after a takeover nothing that the former owner says counts, not
// even with a higher version, and a takeover needs proof.
func TestFence(t *testing.T) {
	a := newAlone(t)
	open := a.run(OpenProgram{Record: program.Record{Tenant: "t", ID: "p", Node: "n1", Incarnation: "1"}}).(Programmed)
	old := open.Record
	if p := a.run(ClaimProgram{Tenant: "t", ID: "p", Node: "n2", Incarnation: "1"}).(Programmed); p.Owned {
		t.Error("taken over without proof")
	}
	if p := a.run(ClaimProgram{Tenant: "t", ID: "p", Node: "n2", Incarnation: "1", EndedNode: "n1", EndedFormer: "0"}).(Programmed); p.Owned {
		t.Error("taken over with proof about another life")
	}
	old.Running = map[string]program.Reservation{"x": {Tokens: 70}}
	old.Version = 1
	a.run(SaveProgram{Record: old})
	taken := a.run(ClaimProgram{Tenant: "t", ID: "p", Node: "n2", Incarnation: "1", EndedNode: "n1", EndedFormer: "1"}).(Programmed)
	if !taken.Owned || taken.Record.Fence != 2 || taken.Record.Spent != 70 || len(taken.Record.Running) != 0 {
		t.Errorf("%+v", taken)
	}
	old.Version = 99
	if p := a.run(SaveProgram{Record: old}).(Programmed); !p.Fenced {
		t.Error("a former owner's save counted")
	}
	if p := a.run(HandProgram{Tenant: "t", ID: "p", Fence: 1, Node: "n3"}).(Programmed); !p.Fenced {
		t.Error("a former owner handed over")
	}
	if p := a.run(ClaimProgram{Tenant: "t", ID: "p", Node: "n1", Incarnation: "1"}).(Programmed); p.Owned || p.Record.Node != "n2" {
		t.Error("the former owner has it again")
	}
	if p := a.run(ClaimProgram{Tenant: "other", ID: "p", Node: "n2", Incarnation: "1"}).(Programmed); p.Found {
		t.Error("found under another tenant")
	}
}

// TestMember: a term is not renewed once it was called ended, nor with an old
// configuration, and a new life waits for the old one's term.
func TestMember(t *testing.T) {
	a := newAlone(t)
	member := Member{ID: "n", Incarnation: "1", Version: 1}
	if r := a.run(JoinMember{Member: member}).(Termed); !r.Granted {
		t.Fatalf("%+v", r)
	}
	fresh := Member{ID: "n", Incarnation: "2", Version: 1}
	if r := a.run(JoinMember{Member: fresh}).(Termed); r.Granted || r.Wait <= 0 {
		t.Errorf("a second life at once: %+v", r)
	}
	part := PartOf(4, "member", "n")
	if f := a.run(SetFloor{Part: part, Version: 2}).(Floored); f.Done || len(f.Lagging) != 1 {
		t.Errorf("floor: %+v", f)
	}
	if r := a.run(RenewMember{ID: "n", Incarnation: "1", Version: 1}).(Termed); r.Granted {
		t.Error("renewed with an old configuration")
	}
	a.pass(3 * time.Second)
	if f := a.run(SetFloor{Part: part, Version: 2}).(Floored); !f.Done {
		t.Errorf("floor after the term: %+v", f)
	}
	if r := a.run(RenewMember{ID: "n", Incarnation: "1", Version: 2}).(Termed); r.Granted || !r.Ended {
		t.Errorf("an ended term was renewed: %+v", r)
	}
	fresh.Version = 2
	if r := a.run(JoinMember{Member: fresh}).(Termed); !r.Granted {
		t.Errorf("a new life after the old term: %+v", r)
	}
}

// TestSharesNeverPassTheWhole draws, spends, returns and ends at random, with
// repeats and late copies, and adds up what holders have.
func TestSharesNeverPassTheWhole(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for round := 0; round < 20; round++ {
		a := newAlone(t)
		type holder struct{ granted, spent, returned int64 }
		holders := map[string]*holder{}
		var past int64
		const whole = 1000
		var late []ShareTenant
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
			c := ShareTenant{Tenant: "t", Kind: "day", Holder: name, Spent: h.spent, Returned: h.returned, Target: random.Int64N(500), Whole: whole}
			if i%60 == 59 {
				for n, gone := range holders {
					if n[len(n)-1] == name[len(name)-1] {
						c.Ended = append(c.Ended, n)
						past += gone.granted - gone.returned
						delete(holders, n)
					}
				}
				c.Holder, c.Spent, c.Returned = "next/9", 0, 0
				a.run(c)
				holders["next/9"] = &holder{granted: a.run(ShareTenant{Tenant: "t", Kind: "day", Holder: "next/9", Whole: whole}).(Shared).Granted}
			} else {
				late = append(late, c)
				r := a.run(c).(Shared)
				h.granted = max(h.granted, r.Granted)
				if random.IntN(3) == 0 {
					// A late copy may come from a holder that has ended long ago.
					again := late[random.IntN(len(late))]
					granted := a.run(again).(Shared).Granted
					if one := holders[again.Holder]; one != nil {
						one.granted = max(one.granted, granted)
					} else {
						a.run(ShareTenant{Tenant: "t", Kind: "day", Holder: name, Spent: h.spent, Returned: h.returned, Whole: whole, Ended: []string{again.Holder}})
					}
				}
			}
			sum := past
			for _, h := range holders {
				sum += h.granted - h.returned
			}
			if sum > whole {
				t.Fatalf("round %d step %d: %d of %d were given out", round, i, sum, whole)
			}
		}
	}
}

// TestOnceStates: one claim shoots; an outcome is kept; only a claim that
// surely did not run is freed.
func TestOnceStates(t *testing.T) {
	a := newAlone(t)
	claim := func(id string) Once {
		return a.run(ClaimOnce{Tenant: "t", Service: "s", Key: "k", Claim: id, Digest: "d", Keep: time.Hour}).(Once)
	}
	end := func(id, state string) Once {
		return a.run(EndOnce{Tenant: "t", Service: "s", Key: "k", Claim: id, State: state, Body: []byte("{}")}).(Once)
	}
	if o := claim("a"); o.Claim != "a" {
		t.Errorf("%+v", o)
	}
	if o := claim("b"); o.Claim != "a" || o.State != OnceIntent {
		t.Errorf("%+v", o)
	}
	end("b", OnceFree)
	if o := claim("b"); o.Claim != "a" {
		t.Error("freed by a claim that is not its own")
	}
	end("a", OnceFree)
	if o := claim("b"); o.Claim != "b" {
		t.Errorf("not freed: %+v", o)
	}
	end("b", OnceMaybe)
	end("b", OnceFree)
	if o := claim("c"); o.State != OnceMaybe {
		t.Errorf("what may have run was freed: %+v", o)
	}
}

// TestPlans: groups stand in different zones, first seats are spread, and a
// core that comes or goes moves no more than it must.
func TestPlans(t *testing.T) {
	var cores []Core
	for i := 0; i < 8; i++ {
		cores = append(cores, Core{ID: fmt.Sprint("c", i), Incarnation: "1", Zone: fmt.Sprint("z", i%4)})
	}
	f := PlanFleet("f", 16, 3, cores)
	firsts, seats := map[string]int{}, map[string]int{}
	for n, g := range f.Groups {
		if zones(f.Cores, g.Members) != 3 {
			t.Errorf("part %d: %v", n, g.Members)
		}
		firsts[g.Members[0]]++
		for _, s := range g.Members {
			seats[s]++
		}
	}
	for _, c := range cores {
		if n := firsts[c.Seat()]; n < 1 || n > 3 {
			t.Errorf("%s is first in %d groups of 16", c.ID, n)
		}
		if n := seats[c.Seat()]; n != 6 {
			t.Errorf("%s has %d seats of 48 in 8 cores", c.ID, n)
		}
	}
	fresh := Core{ID: "new", Incarnation: "1", Zone: "z0"}
	f.Cores["new"] = fresh
	gets := 0
	for _, m := range PlanChange(f.Cores, nil, f.Groups, 3, KindAdd, "new", "").Moves {
		if SeatID(m.Add) == "new" {
			gets++
		}
	}
	if gets < 5 || gets > 6 {
		t.Errorf("a ninth core gets %d seats of 48", gets)
	}
	delete(f.Cores, "new")
	after := slices.Clone(cores)
	after[0].Retired = true
	gone := 0
	for n, seats := range Place(16, 3, after, nil) {
		if zones(f.Cores, seats) != 3 {
			t.Errorf("part %d loses a zone", n)
		}
		for _, move := range membershipMoves(n, f.Groups[n].Members, seats) {
			if SeatID(move.Remove) == cores[0].ID {
				gone++
			}
		}
	}
	if gone != 6 {
		t.Errorf("a retired core loses %d seats of 6", gone)
	}
}

func zones(cores map[string]Core, seats []string) int {
	seen := map[string]bool{}
	for _, s := range seats {
		seen[cores[SeatID(s)].Zone] = true
	}
	return len(seen)
}
