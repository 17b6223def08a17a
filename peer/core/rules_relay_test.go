package core

import (
	"fmt"
	"testing"
	"time"

	"saffronfall/rule/partition"
	"saffronfall/rule/rate"
)

func TestStoredTurnExpires(t *testing.T) {
	single := newSingleCore(t)
	retention := 20 * time.Second
	for i := 0; i < 20; i++ {
		single.run(StoreTurn{Tenant: "t", Attempt: fmt.Sprint("k", i), Previous: []string{"x"}, Input: []byte("in"), Output: []byte("out"), Retention: retention})
	}
	single.run(StoreTurn{Tenant: "t", Attempt: "k0", Input: []byte("other"), Retention: retention})
	found := func(tenant, attempt string) ReadTurnResult {
		return single.run(ReadTurn{Tenant: tenant, Attempt: attempt}).(ReadTurnResult)
	}
	if k := found("t", "k0"); !k.Found || string(k.Input) != "in" || string(k.Output) != "out" || len(k.Previous) != 1 || k.Remaining > retention {
		t.Fatalf("stored turn: %+v", k)
	}
	if found("other", "k0").Found || found("t", "none").Found {
		t.Fatal("found a turn of another tenant, or one that was never stored")
	}
	if other, none := found("other", "k0").Absence, found("t", "none").Absence; other != OtherTenant || none != NotStored {
		t.Fatalf("absence of another tenant's turn: %q; of one never stored: %q", other, none)
	}
	single.advance(15 * time.Second)
	if d := single.run(ExtendTurn{Tenant: "t", Attempt: "k1", Retention: retention}).(Done); !d.OK {
		t.Fatal("retention was not extended")
	}
	if single.run(ExtendTurn{Tenant: "other", Attempt: "k2", Retention: retention}).(Done).OK || single.run(ExtendTurn{Tenant: "t", Attempt: "none", Retention: retention}).(Done).OK {
		t.Fatal("extended a turn that is not stored for the tenant")
	}
	single.advance(4 * time.Second)
	if !found("t", "k0").Found {
		t.Fatal("turn expired early")
	}
	single.advance(12 * time.Second)
	if !found("t", "k1").Found {
		t.Fatal("extended turn expired early")
	}
	single.advance(time.Minute)
	left := 0
	for n := 0; n < 4; n++ {
		for key, e := range single.m.Partition(n).State().Entries {
			if !e.Deleted && len(key) > len(turnPrefix) && key[:len(turnPrefix)] == turnPrefix {
				left++
			}
		}
	}
	if left != 0 || found("t", "k1").Found {
		t.Fatalf("%d stored turns are left after their retention", left)
	}
	if absence := found("t", "k1").Absence; absence != Expired {
		t.Fatalf("absence of an expired turn: %q", absence)
	}
}

// Repeated and late reservations must not change a program's budget.
func TestProgramReservations(t *testing.T) {
	single := newSingleCore(t)
	reserve := func(attempt string, most int64) bool {
		return single.run(ReserveTurn{Tenant: "t", Program: "p", Attempt: attempt, MaxTokens: most, Budget: 100, Retention: 30 * time.Second}).(ReserveTurnResult).OK
	}
	settle := func(attempt string, tokens int64) {
		single.run(SettleTurn{Tenant: "t", Program: "p", Attempt: attempt, Tokens: tokens})
	}
	settle("early", 0)
	first, again := reserve("a", 60), reserve("a", 60)
	if !first || !again || reserve("b", 60) {
		t.Fatal("concurrent reservations")
	}
	settle("a", 10)
	settle("a", 10)
	if !reserve("b", 90) || reserve("c", 1) {
		t.Fatal("reservations after the first turn was settled")
	}
	if !reserve("early", 50) || reserve("c", 1) {
		t.Fatal("a reservation that arrived after its settlement was refused, or reserved tokens")
	}
	settle("b", 0)
	if !reserve("c", 90) {
		t.Fatal("a turn that never ran was charged")
	}
	single.advance(2 * time.Minute)
	if !reserve("d", 100) {
		t.Fatal("the account did not expire")
	}
}

// A new leader must count what was granted before, so that grants never exceed the window's limit.
func TestRateAfterLeaderChange(t *testing.T) {
	single := newSingleCore(t)
	n := RatePartition(4, "t")
	limit := rate.Limit{Window: 5 * time.Second, Max: 40}
	draw := func(d rate.DrawRequest) rate.DrawResponse {
		d.Limit, d.LeaseDuration = limit, 2500*time.Millisecond
		return single.run(DrawRates{Partition: n, Draws: []TenantDraw{{Tenant: "t", Request: d}}}).(DrawRatesResult).Responses[0]
	}
	if got := draw(rate.DrawRequest{Holder: "x", Want: 30}); got.Granted != 30 {
		t.Fatalf("first draw: %+v", got)
	}
	// Restart the leader: its volatile state is lost.
	replicas := map[int]partition.State{}
	for number := 0; number < 4; number++ {
		replicas[number] = single.m.Partition(number).State()
	}
	single.m = New(Options{Params: single.m.params, ID: "c", Address: "c", Stored: Stored{Incarnation: "1", Founding: single.m.founding, Replicas: replicas}, Now: single.now, Random: func() float64 { return 0.5 }})
	single.advance(time.Second)
	if got := draw(rate.DrawRequest{Holder: "y", Want: 20}); got.Granted > 10 {
		t.Fatalf("the new leader granted %d in addition to 30 of 40", got.Granted)
	}
	if got := draw(rate.DrawRequest{Holder: "x", Granted: 30, Spent: 25, Want: 5}); got.Expired || got.Granted != 30 {
		t.Fatalf("draw of a holder from before: %+v", got)
	}
	single.advance(10 * time.Second)
	if got := draw(rate.DrawRequest{Holder: "z", Want: 20}); got.Granted != 20 {
		t.Fatalf("draw after the window: %+v", got)
	}
}
