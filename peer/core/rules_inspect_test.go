package core

import (
	"reflect"
	"testing"
	"time"

	"saffronfall/rule/rate"
)

func TestKeysAreCountedByTenantAndState(t *testing.T) {
	single := newSingleCore(t)
	single.claim("t", "k1", "a")
	single.claim("t", "k2", "b")
	single.end("k2", "b", KeyDone, "body")
	single.claim("u/v", "k1", "c")
	counts := map[KeyCount]int{}
	for n := range 4 {
		for _, count := range single.run(CountKeys{Partition: n}).(KeyCounts).Counts {
			if count.Remaining <= 0 || count.Remaining > fastest(single, testKeyWorking+testKeyWindow) {
				t.Errorf("stored for %v", count.Remaining)
			}
			counts[KeyCount{Tenant: count.Tenant, State: count.State, ResponseBytes: count.ResponseBytes}] += count.Keys
		}
	}
	size := len("Seal") + len("b") + len("body")
	if want := (map[KeyCount]int{
		{Tenant: "t", State: KeyClaimed}:                   1,
		{Tenant: "t", State: KeyDone, ResponseBytes: size}: 1,
		{Tenant: "u/v", State: KeyClaimed}:                 1,
	}); !reflect.DeepEqual(counts, want) {
		t.Fatalf("got %v, want %v", counts, want)
	}
	for n := range 4 {
		for _, count := range single.run(CountKeys{Partition: n, Tenant: "t"}).(KeyCounts).Counts {
			if count.Tenant != "t" {
				t.Errorf("counted %+v for tenant t", count)
			}
		}
	}
}

func TestOneKeyIsReadWithoutItsBody(t *testing.T) {
	single := newSingleCore(t)
	if none := single.run(ReadKey{Tenant: "t", Key: "k"}).(KeyRecord); none.Found {
		t.Fatalf("a key that was never claimed: %+v", none)
	}
	single.claim("t", "k", "a")
	claimed := single.run(ReadKey{Tenant: "t", Key: "k"}).(KeyRecord)
	if !claimed.Found || claimed.State != KeyClaimed || claimed.Claim != "a" || claimed.Service != "s" || claimed.Working != fastest(single, testKeyWorking) ||
		claimed.Remaining != fastest(single, testKeyWorking+testKeyWindow) {
		t.Fatalf("claimed key: %+v", claimed)
	}
	single.end("k", "a", KeyDone, "body")
	if done := single.run(ReadKey{Tenant: "t", Key: "k"}).(KeyRecord); done.State != KeyDone || done.Status != 200 || done.ResponseBytes == 0 {
		t.Fatalf("done key: %+v", done)
	}
	if again := single.claim("t", "k", "b"); again.State != KeyDone || string(again.Response.Body) != "body" {
		t.Fatalf("reading changed the key: %+v", again)
	}
}

func TestSharesAreReadByTenant(t *testing.T) {
	single := newSingleCore(t)
	limit := rate.Limit{Window: 5 * time.Second, Max: 100}
	for _, tenant := range []string{"t", "u"} {
		request := rate.DrawRequest{Holder: "node+1", Want: 5, Version: 2, Limit: limit, LeaseDuration: 2 * time.Second}
		single.run(DrawRates{Partition: RatePartition(4, tenant), Draws: []TenantDraw{{Tenant: tenant, Request: request}}})
	}
	shares := single.run(ReadShares{Partition: RatePartition(4, "t"), Tenant: "t"}).(Shares)
	if len(shares.Tenants) != 1 || shares.Tenants[0].Tenant != "t" || shares.Tenants[0].Ledger.Limit != limit {
		t.Fatalf("shares: %+v", shares)
	}
	held := shares.Tenants[0].Ledger.Shares
	if len(held) != 1 || held[0].Holder != "node+1" || held[0].Outstanding != 5 || held[0].Remaining != 2*time.Second {
		t.Fatalf("holders: %+v", held)
	}
	all := 0
	for n := range 4 {
		all += len(single.run(ReadShares{Partition: n}).(Shares).Tenants)
	}
	if all != 2 {
		t.Fatalf("%d tenants, want 2", all)
	}
}
