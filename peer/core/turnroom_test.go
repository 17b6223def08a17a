package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/rule/message"
)

const (
	testTurnBytes = 1 << 20
	testRetention = 20 * time.Second
)

// limitTurns sets the room of each partition. The single core has four.
func limitTurns(p *Params) { p.MaxTurnBytes = testTurnBytes }

// storedTurnBytes walks the stored turns of all partitions.
func (s *singleCore) storedTurnBytes(t *testing.T) map[string]int {
	t.Helper()
	byTenant := map[string]int{}
	for n := range 4 {
		for key, e := range s.m.Partition(n).State().Entries {
			if e.Deleted || len(key) < len(turnPrefix) || key[:len(turnPrefix)] != turnPrefix {
				continue
			}
			var turn storedTurn
			if err := message.Unmarshal(e.Value, &turn); err != nil {
				t.Fatal(err)
			}
			byTenant[turn.Tenant] += turn.size(key)
		}
	}
	return byTenant
}

// TestStoredTurnsAreBounded guards against stored turns that take more memory than their part: claims are
// refused for one tenant at half of the room and for all at the whole, until turns expire.
func TestStoredTurnsAreBounded(t *testing.T) {
	single := newSingleCore(t, limitTurns)
	input := make([]byte, 100<<10)
	sequence := 0
	fill := func(tenant string) (stored int) {
		for range 200 {
			sequence++
			attempt := fmt.Sprint("a", sequence)
			claim := ClaimTurnRoom{Tenant: tenant, Attempt: attempt, Bytes: int64(len(input)), Working: time.Minute}
			if !single.run(claim).(TurnRoom).OK {
				continue
			}
			if again := single.run(claim).(TurnRoom); !again.OK {
				t.Fatal("a repeated claim is refused")
			}
			single.run(StoreTurn{Tenant: tenant, Attempt: attempt, Input: input, Retention: testRetention})
			stored++
		}
		return stored
	}
	first, second, third := fill("one"), fill("two"), fill("three")
	bytes := single.storedTurnBytes(t)
	// Each partition's room is exceeded by one turn at most.
	most := 4 * (testTurnBytes/2 + len(input) + 2*turnOverheadBytes)
	if first == 0 || second == 0 || third != 0 || bytes["one"] > most || bytes["two"] > most {
		t.Errorf("%d, %d and %d turns are stored, %v bytes", first, second, third, bytes)
	}
	single.advance(testRetention + 3*expiryBucket)
	if again := fill("one"); again < first {
		t.Errorf("%d turns are stored after the first ones have expired, %d before", again, first)
	}
}

// TestTurnThatRanIsStoredWithoutRoom guards against a requester that is cut off at the end of its answer,
// because the room was used up meanwhile.
func TestTurnThatRanIsStoredWithoutRoom(t *testing.T) {
	single := newSingleCore(t, limitTurns)
	for i := range 100 {
		stored := single.run(StoreTurn{Tenant: "t", Attempt: fmt.Sprint(i), Input: make([]byte, 100<<10), Retention: testRetention})
		if !stored.(Done).OK {
			t.Fatalf("turn %d is not stored", i)
		}
	}
	if room := single.run(ClaimTurnRoom{Tenant: "t", Attempt: "next", Bytes: 1}).(TurnRoom); room.OK || !room.Crowded {
		t.Errorf("%+v in a full partition", room)
	}
}

// TestUnusedClaimEnds guards against room that a lost node keeps for ever.
func TestUnusedClaimEnds(t *testing.T) {
	single := newSingleCore(t, limitTurns)
	claim := func(attempt string) TurnRoom {
		return single.run(ClaimTurnRoom{Tenant: "t", Attempt: attempt, Bytes: testTurnBytes, Working: 2 * time.Second}).(TurnRoom)
	}
	if !claim("k0").OK {
		t.Fatal("no room in an empty partition for a turn of its whole room")
	}
	other := ""
	for i := 1; other == ""; i++ {
		if name := fmt.Sprint("k", i); TurnPartition(4, name) == TurnPartition(4, "k0") {
			other = name
		}
	}
	if claim(other).OK {
		t.Error("room is given twice")
	}
	single.advance(3 * time.Second)
	if !claim(other).OK {
		t.Error("a claim that has ended still takes room")
	}
}

// TestTurnUsageEqualsStoredTurns checks the count of bytes against a walk of the stored turns, after random
// commands.
func TestTurnUsageEqualsStoredTurns(t *testing.T) {
	single := newSingleCore(t)
	random := rand.New(rand.NewPCG(9, 9))
	for range 400 {
		tenant, attempt := fmt.Sprint("t", random.IntN(3)), fmt.Sprint("k", random.IntN(40))
		switch random.IntN(4) {
		case 0:
			single.run(ClaimTurnRoom{Tenant: tenant, Attempt: attempt, Bytes: 100, Working: time.Second})
		case 1, 2:
			single.run(StoreTurn{Tenant: tenant, Attempt: attempt, Previous: []string{"p"}, Input: make([]byte, random.IntN(500)), Retention: time.Duration(random.IntN(60)) * time.Second})
		default:
			single.advance(time.Duration(random.IntN(3000)) * time.Millisecond)
		}
	}
	single.advance(5 * time.Second)
	counted := map[string]int{}
	for n := range 4 {
		usage := &single.m.Partition(n).Rules().(*rules).turns
		usage.releaseExpired(1 << 62)
		for tenant, bytes := range usage.byTenant {
			counted[tenant] += bytes
		}
	}
	if stored := single.storedTurnBytes(t); len(stored) == 0 || fmt.Sprint(stored) != fmt.Sprint(counted) {
		t.Errorf("%v bytes are stored, %v are counted", stored, counted)
	}
}
