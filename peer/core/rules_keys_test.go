package core

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"saffronfall/rule/message"
)

const (
	testKeyWorking = 2 * time.Second
	testKeyWindow  = 20 * time.Second
)

func (a *singleCore) claim(tenant, key, claim string) KeyResult {
	a.t.Helper()
	return a.run(ClaimKey{Tenant: tenant, Key: key, Claim: claim, Service: "s", Working: testKeyWorking, Window: testKeyWindow}).(KeyResult)
}

func (a *singleCore) end(key, claim string, state KeyState, body string) KeyResult {
	a.t.Helper()
	response := KeyResponse{Status: 200, Header: [][2]string{{"Seal", claim}}, Body: []byte(body)}
	return a.run(EndKey{Tenant: "t", Key: key, Claim: claim, State: state, Response: response}).(KeyResult)
}

func TestFirstClaimOfKeyWins(t *testing.T) {
	single := newSingleCore(t)
	if first := single.claim("t", "k", "a"); first.State != KeyClaimed || first.Claim != "a" || first.Working < testKeyWorking {
		t.Fatalf("first claim: %+v", first)
	}
	if again := single.claim("t", "k", "a"); again.State != KeyClaimed || again.Claim != "a" {
		t.Fatalf("repeated command: %+v", again)
	}
	if second := single.claim("t", "k", "b"); second.State != KeyClaimed || second.Claim != "a" || second.Service != "s" {
		t.Fatalf("second claim: %+v", second)
	}
	for i, pair := range [][2]string{{"other", "k"}, {"t/k", "x"}, {"t", "k/x"}, {"t", ""}} {
		if result := single.claim(pair[0], pair[1], fmt.Sprint("c", i)); result.Claim != fmt.Sprint("c", i) {
			t.Fatalf("the key %q of tenant %q is not independent: %+v", pair[1], pair[0], result)
		}
	}
	single.advance(testKeyWorking + time.Second)
	if late := single.claim("t", "k", "c"); late.State != KeyClaimed || late.Claim != "a" || late.Working != 0 {
		t.Fatalf("claim after the holder's time: %+v", late)
	}
}

func TestFirstResponseOfKeyIsKept(t *testing.T) {
	single := newSingleCore(t)
	single.claim("t", "k", "a")
	single.end("k", "b", KeyDone, "not of the claim")
	single.end("k", "b", KeyReleased, "")
	if open := single.claim("t", "k", "c"); open.State != KeyClaimed || open.Claim != "a" {
		t.Fatalf("another attempt ended the claim: %+v", open)
	}
	single.end("k", "a", KeyUncertain, "")
	single.end("k", "a", KeyReleased, "")
	if uncertain := single.claim("t", "k", "d"); uncertain.State != KeyUncertain {
		t.Fatalf("an operation that may have run: %+v", uncertain)
	}
	single.end("k", "a", KeyDone, "first")
	single.end("k", "a", KeyDone, "second")
	single.end("k", "a", KeyUncertain, "")
	single.end("k", "a", KeyReleased, "")
	done := single.claim("t", "k", "e")
	if done.State != KeyDone || !bytes.Equal(done.Response.Body, []byte("first")) || done.Response.Status != 200 || done.Response.Header[0] != [2]string{"Seal", "a"} {
		t.Fatalf("stored response: %+v", done)
	}
}

func TestReleasedKeyIsFreeButNotForDelayedClaim(t *testing.T) {
	single := newSingleCore(t)
	single.claim("t", "k", "a")
	single.end("k", "a", KeyReleased, "")
	if delayed := single.claim("t", "k", "a"); delayed.State != KeyReleased {
		t.Fatalf("a delayed claim was stored: %+v", delayed)
	}
	if next := single.claim("t", "k", "b"); next.State != KeyClaimed || next.Claim != "b" {
		t.Fatalf("claim after a release: %+v", next)
	}
	single.end("early", "x", KeyReleased, "")
	if overtaken := single.claim("t", "early", "x"); overtaken.State != KeyReleased {
		t.Fatalf("a claim that its release overtook: %+v", overtaken)
	}
}

// A key must be stored for its whole window after the last possible sending.
func TestKeyOutlastsItsWindow(t *testing.T) {
	single := newSingleCore(t, func(p *Params) { p.MaxKeyBytes = 2 * keyOverheadBytes / tenantFraction })
	single.claim("t", "k", "a")
	single.end("k", "a", KeyDone, "")
	for elapsed := time.Duration(0); elapsed < testKeyWorking+testKeyWindow-time.Second; elapsed += time.Second {
		if stored := single.claim("t", "k", fmt.Sprint(elapsed)); stored.State != KeyDone {
			t.Fatalf("after %v: %+v", elapsed, stored)
		}
		single.advance(time.Second)
	}
	single.advance(testKeyWindow + expiryBucket + time.Second)
	// The expired key and its response no longer count against the bounds.
	if next := single.claim("t", "k", "z"); next.Claim != "z" {
		t.Fatalf("the key is stored long after its window: %+v", next)
	}
	if done := single.end("k", "z", KeyDone, ""); done.State != KeyDone {
		t.Fatalf("the bytes of the expired response still count: %+v", done)
	}
}

func TestMemoryForKeysIsBounded(t *testing.T) {
	const maxBytes, responseBytes, tenants = 10_000, 600, 8
	single := newSingleCore(t, func(p *Params) { p.MaxKeyBytes = maxBytes })
	type place struct {
		partition int
		tenant    string
	}
	bytes, byTenant, rejected, unstored := map[int]int{}, map[place]int{}, 0, 0
	for i := 0; i < 400; i++ {
		tenant, key := fmt.Sprint("t", i%tenants), fmt.Sprint("k", i)
		at := place{partition: TargetPartition(4, ClaimKey{Tenant: tenant, Key: key}), tenant: tenant}
		if result := single.claim(tenant, key, "a"); result.State == KeyRejected {
			rejected++
			continue
		}
		used := keyOverheadBytes
		result := single.run(EndKey{Tenant: tenant, Key: key, Claim: "a", State: KeyDone, Response: KeyResponse{Status: 200, Body: make([]byte, responseBytes)}}).(KeyResult)
		if result.State == KeyNotStored && len(result.Response.Body) == 0 {
			unstored++
		} else {
			used += responseBytes
		}
		bytes[at.partition] += used
		byTenant[at] += used
	}
	for partition, sum := range bytes {
		if sum > maxBytes || sum < maxBytes/2 {
			t.Fatalf("partition %d stores %d bytes", partition, sum)
		}
	}
	for at, sum := range byTenant {
		if sum > maxBytes*tenantFraction {
			t.Fatalf("%+v stores %d bytes", at, sum)
		}
	}
	if rejected == 0 || unstored == 0 {
		t.Fatalf("%d claims rejected, %d responses not stored", rejected, unstored)
	}
	if result := single.claim("t0", "k0", "b"); result.Claim != "a" {
		t.Fatalf("a key that is stored already: %+v", result)
	}
}

func TestSharedClaimIsNotReleased(t *testing.T) {
	single := newSingleCore(t)
	share := func(claim string, services ...string) KeyResult {
		return single.run(ClaimKey{Tenant: "t", Key: "k", Claim: claim, Service: "x", Working: testKeyWorking, Window: testKeyWindow, Deduplicating: services}).(KeyResult)
	}
	single.run(ClaimKey{Tenant: "t", Key: "k", Claim: "a", Service: "s", Working: testKeyWorking, Window: testKeyWindow, Deduplicating: []string{"s"}})
	if again := share("a", "s"); again.Shared {
		t.Fatalf("the holder shares its own claim: %+v", again)
	}
	if other := share("b", "x"); other.Shared {
		t.Fatalf("an attempt that cannot be sent to the claim's service shares it: %+v", other)
	}
	if shared := share("c", "x", "s"); !shared.Shared || shared.State != KeyClaimed || shared.Claim != "a" {
		t.Fatalf("shared claim: %+v", shared)
	}
	single.end("k", "a", KeyReleased, "")
	if next := share("d", "s"); next.State != KeyUncertain || next.Claim != "a" {
		t.Fatalf("after the holder's release: %+v", next)
	}
	single.end("k", "a", KeyDone, "first")
	if next := single.claim("t", "k", "e"); next.State != KeyDone {
		t.Fatalf("after the sharing attempt's response: %+v", next)
	}
}

// The window must not end early on a core whose clock is fast within the drift bound.
func TestWindowCountsClockDrift(t *testing.T) {
	single := newSingleCore(t)
	drift := single.m.params.Partition.Drift
	fast := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + drift*0.9)) }
	for phase := time.Duration(0); phase < expiryBucket; phase += time.Second {
		key := fmt.Sprint("k", phase)
		single.run(ClaimKey{Tenant: "t", Key: key, Claim: "a", Service: "s", Working: 100 * time.Millisecond, Window: testKeyWindow})
		single.end(key, "a", KeyDone, "receipt")
		single.advance(fast(testKeyWindow))
		if repeat := single.claim("t", key, "b"); repeat.Claim != "a" {
			t.Fatalf("phase %v: the key is free again %v after its claim by a correct clock", phase, testKeyWindow)
		}
		single.advance(time.Second)
	}
}

// An entry must outlast the holder's time and a whole window, by the fastest clock.
func TestKeyIsStoredForHolderAndWindow(t *testing.T) {
	single := newSingleCore(t)
	single.claim("t", "k", "a")
	n := TargetPartition(4, ClaimKey{Tenant: "t", Key: "k"})
	var stored storedKey
	if err := message.Unmarshal(single.m.Partition(n).State().Entries[operationKey("t", "k")].Value, &stored); err != nil {
		t.Fatal(err)
	}
	if held := stored.Until - stored.WorkingUntil; held < fastest(single, testKeyWindow) {
		t.Fatalf("stored for %v after the holder's time", held)
	}
	if held := stored.Until; held < fastest(single, testKeyWorking+testKeyWindow) {
		t.Fatalf("stored until %v", held)
	}
}

// fastest returns the time that passes on the fastest clock while d passes on a correct one.
func fastest(single *singleCore, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + single.m.params.Partition.Drift))
}

// One tenant's keys must not use up the memory for keys of the others.
func TestKeysOfTenantsAreIndependent(t *testing.T) {
	single := newSingleCore(t, func(p *Params) { p.MaxKeyBytes = 10_000 })
	for i := 0; i < 500; i++ {
		single.claim("large", fmt.Sprint("k", i), "a")
	}
	rejected := 0
	for i := 0; i < 20; i++ {
		if result := single.claim("small", fmt.Sprint("k", i), "b"); result.State == KeyRejected {
			rejected++
		}
	}
	if rejected > 0 {
		t.Fatalf("%d of 20 claims of another tenant are rejected", rejected)
	}
}

func (f *fleet) runKey(command any) KeyResult {
	f.t.Helper()
	result, ok := f.call(command).(KeyResult)
	if !ok {
		f.t.Fatalf("%T not answered", command)
	}
	return result
}

// Keys and responses must outlive losses of all processes at once, each with one disk lost.
func TestKeysSurviveLossOfAllAndOneDisk(t *testing.T) {
	for _, cores := range []int{3, 5} {
		f := newFleet(t, 3, cores)
		f.tolerateSilence()
		claim := func(key, claim string) KeyResult {
			return f.runKey(ClaimKey{Tenant: "t", Key: key, Claim: claim, Service: "s", Working: testKeyWorking, Window: time.Minute})
		}
		const keys = 20
		for i := range keys {
			key := fmt.Sprint("k", i)
			claim(key, "a"+key)
			if i%2 == 0 {
				f.runKey(EndKey{Tenant: "t", Key: key, Claim: "a" + key, State: KeyDone, Response: KeyResponse{Status: 200, Body: []byte(key)}})
			}
		}
		for round := range 3 {
			for _, core := range f.cores {
				f.kill(core)
			}
			f.wipe(f.cores[round])
			f.advance(300 * time.Millisecond)
			for _, core := range f.cores {
				f.start(core)
			}
			f.awaitSettled("restarted", settleTime)
			for i := range keys {
				key, want := fmt.Sprint("k", i), KeyClaimed
				if i%2 == 0 {
					want = KeyDone
				}
				result := claim(key, fmt.Sprint("b", round))
				if result.Claim != "a"+key || result.State != want || want == KeyDone && string(result.Response.Body) != key {
					t.Errorf("%d cores, round %d, key %s: %+v", cores, round, key, result)
				}
			}
		}
	}
}

// A new leader must free the memory of keys that expire under it.
func TestKeysExpireUnderNewLeader(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.tolerateSilence()
	command := ClaimKey{Tenant: "t", Key: "k", Claim: "a", Service: "s", Working: testKeyWorking, Window: testKeyWindow}
	f.runKey(command)
	for _, core := range f.cores {
		f.kill(core)
	}
	for _, core := range f.cores {
		f.start(core)
	}
	f.awaitSettled("restarted", settleTime)
	f.advance(2*(testKeyWorking+testKeyWindow) + 2*expiryBucket)
	command.Claim = "b"
	if result := f.runKey(command); result.Claim != "b" {
		t.Fatalf("long after its window: %+v", result)
	}
}
