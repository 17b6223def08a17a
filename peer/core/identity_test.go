package core

import (
	"testing"
	"time"
)

// Requesters choose the IDs of attempts and programs. Reuse of an ID, by the same or by another
// tenant, must not change what was acknowledged.
func TestTenantsIDsAreIndependent(t *testing.T) {
	t.Run("turns of tenants", testSameIDOfTwoTenants)
	t.Run("turns under one id", testSecondTurnUnderOneID)
	t.Run("accounts of tenants", testBudgetsOfTwoTenants)
}

func testSameIDOfTwoTenants(t *testing.T) {
	single := newSingleCore(t)
	store := func(tenant, output string) bool {
		return single.run(StoreTurn{Tenant: tenant, Attempt: "same", Input: []byte("in"), Output: []byte(output), Retention: time.Minute}).(Done).OK
	}
	if !store("first", "of the first") || !store("second", "of the second") {
		t.Fatal("a turn was not stored")
	}
	for tenant, want := range map[string]string{"first": "of the first", "second": "of the second"} {
		k := single.run(ReadTurn{Tenant: tenant, Attempt: "same"}).(ReadTurnResult)
		if !k.Found || string(k.Output) != want {
			t.Errorf("tenant %s, whose turn was acknowledged as stored, reads found=%v %q", tenant, k.Found, k.Output)
		}
	}
	if d := single.run(ExtendTurn{Tenant: "second", Attempt: "same", Retention: time.Hour}).(Done); !d.OK {
		t.Error("the second tenant's turn can't be extended")
	}
}

// A turn that differs from the one stored under its ID must not be acknowledged as stored.
func testSecondTurnUnderOneID(t *testing.T) {
	single := newSingleCore(t)
	command := StoreTurn{Tenant: "t", Attempt: "x", Previous: []string{"w"}, Input: []byte("in"), Output: []byte("out"), Retention: time.Minute}
	for range 2 {
		if !single.run(command).(Done).OK {
			t.Fatal("a turn, or its repetition, was not stored")
		}
	}
	for name, change := range map[string]func(c *StoreTurn){
		"input":    func(c *StoreTurn) { c.Input = []byte("other") },
		"output":   func(c *StoreTurn) { c.Output = []byte("other") },
		"previous": func(c *StoreTurn) { c.Previous = []string{"v"} },
	} {
		other := command
		change(&other)
		if single.run(other).(Done).OK {
			t.Errorf("another %s under the same id was acknowledged as stored", name)
		}
	}
}

// Names of tenants and programs may contain the separator of stored keys.
func testBudgetsOfTwoTenants(t *testing.T) {
	a := newSingleCore(t)
	reserve := func(tenant, program string) bool {
		return a.run(ReserveTurn{Tenant: tenant, Program: program, Attempt: "x" + tenant, MaxTokens: 80, Budget: 100, Retention: time.Minute}).(ReserveTurnResult).OK
	}
	if !reserve("a/b", "c") || !reserve("a", "b/c") {
		t.Error("a program's budget was spent by a program of another tenant")
	}
}

// During an upgrade a core of the previous release may lead. It looks for a turn under the key of its
// attempt alone.
func TestFormerVersionFindsTurns(t *testing.T) {
	a := newSingleCore(t)
	command := StoreTurn{Tenant: "t", Attempt: "x", Output: []byte("out"), Retention: time.Minute}
	a.run(command)
	e, ok := a.m.partitions[TargetPartition(4, command)].State().Entries[turnPrefix+"x"]
	if !ok || e.Deleted {
		t.Fatal("the first tenant's turn is not stored under the key of its attempt alone")
	}
}

// An ID that equals another tenant's name and ID joined must not overwrite that tenant's turn.
func TestIDResemblingAnotherTenantsKey(t *testing.T) {
	single := newSingleCore(t)
	store := func(tenant, attempt string) bool {
		return single.run(StoreTurn{Tenant: tenant, Attempt: attempt, Output: []byte(tenant), Retention: time.Minute}).(Done).OK
	}
	found := func(tenant, attempt string) bool {
		k := single.run(ReadTurn{Tenant: tenant, Attempt: attempt}).(ReadTurnResult)
		return k.Found && string(k.Output) == tenant
	}
	for _, one := range [][2]string{{"c", "x"}, {"b", "a/x"}, {"a", "x"}} {
		if !store(one[0], one[1]) {
			t.Errorf("the turn of tenant %s with ID %s was not stored", one[0], one[1])
		}
	}
	if !found("c", "x") || !found("b", "a/x") || !found("a", "x") {
		t.Error("a stored turn was lost")
	}
}
