package core

import (
	"testing"
	"time"
)

// TestRequestersIDsAreApart: requesters choose the ids of their attempts and
// programs. Neither another tenant's choice nor a second use of one's own may
// touch what was acknowledged.
func TestRequestersIDsAreApart(t *testing.T) {
	t.Run("turns of tenants", turnsOfTenants)
	t.Run("turns under one id", turnsUnderOneID)
	t.Run("books of tenants", booksOfTenants)
}

// turnsOfTenants: two tenants choose the same id; each keeps its own turn under it.
func turnsOfTenants(t *testing.T) {
	a := newSingleCore(t)
	keep := func(tenant, output string) bool {
		return a.run(StoreTurn{Tenant: tenant, Attempt: "same", Input: []byte("in"), Output: []byte(output), Retention: time.Minute}).(Done).OK
	}
	if !keep("first", "of the first") || !keep("second", "of the second") {
		t.Fatal("a turn was not kept")
	}
	for tenant, want := range map[string]string{"first": "of the first", "second": "of the second"} {
		k := a.run(ReadTurn{Tenant: tenant, Attempt: "same"}).(ReadTurnResult)
		if !k.Found || string(k.Output) != want {
			t.Errorf("tenant %s, whose turn was acknowledged as kept, reads found=%v %q", tenant, k.Found, k.Output)
		}
	}
	if d := a.run(ExtendTurn{Tenant: "second", Attempt: "same", Retention: time.Hour}).(Done); !d.OK {
		t.Error("the second tenant's turn can't be prolonged")
	}
}

// turnsUnderOneID: a turn that is not the one that is kept
// under its id must not be acknowledged as kept. The same command that comes again
// is.
func turnsUnderOneID(t *testing.T) {
	a := newSingleCore(t)
	command := StoreTurn{Tenant: "t", Attempt: "x", Previous: []string{"w"}, Input: []byte("in"), Output: []byte("out"), Retention: time.Minute}
	for range 2 {
		if !a.run(command).(Done).OK {
			t.Fatal("a turn, or its repetition, was not kept")
		}
	}
	for name, change := range map[string]func(c *StoreTurn){
		"input":  func(c *StoreTurn) { c.Input = []byte("other") },
		"output": func(c *StoreTurn) { c.Output = []byte("other") },
		"before": func(c *StoreTurn) { c.Previous = []string{"v"} },
	} {
		other := command
		change(&other)
		if a.run(other).(Done).OK {
			t.Errorf("another %s under the same id was acknowledged as kept", name)
		}
	}
}

// booksOfTenants: names of tenants and programs are free texts.
func booksOfTenants(t *testing.T) {
	a := newSingleCore(t)
	reserve := func(tenant, program string) bool {
		return a.run(ReserveTurn{Tenant: tenant, Program: program, Attempt: "x" + tenant, MaxTokens: 80, Budget: 100, Retention: time.Minute}).(ReserveTurnResult).OK
	}
	if !reserve("a/b", "c") || !reserve("a", "b/c") {
		t.Error("a program's budget was spent by a program of another tenant")
	}
}

// TestFormerVersionFindsTurns: in the middle of an upgrade a core of the former
// version may lead. It looks for a turn under its attempt alone.
func TestFormerVersionFindsTurns(t *testing.T) {
	a := newSingleCore(t)
	command := StoreTurn{Tenant: "t", Attempt: "x", Output: []byte("out"), Retention: time.Minute}
	a.run(command)
	e, ok := a.m.parts[TargetPartition(4, command)].State().Entries[turnPrefix+"x"]
	if !ok || e.Deleted {
		t.Fatal("the first tenant's turn is not under its attempt alone")
	}
}

// TestMisleadingID: an id that reads like another tenant's name and id takes nothing
// from it.
func TestMisleadingID(t *testing.T) {
	a := newSingleCore(t)
	keep := func(tenant, attempt string) bool {
		return a.run(StoreTurn{Tenant: tenant, Attempt: attempt, Output: []byte(tenant), Retention: time.Minute}).(Done).OK
	}
	found := func(tenant, attempt string) bool {
		k := a.run(ReadTurn{Tenant: tenant, Attempt: attempt}).(ReadTurnResult)
		return k.Found && string(k.Output) == tenant
	}
	for _, one := range [][2]string{{"c", "x"}, {"b", "a/x"}, {"a", "x"}} {
		if !keep(one[0], one[1]) {
			t.Errorf("tenant %s, id %s is not kept", one[0], one[1])
		}
	}
	if !found("c", "x") || !found("b", "a/x") || !found("a", "x") {
		t.Error("a turn that was kept is lost")
	}
}
