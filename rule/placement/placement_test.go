package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	beat    = time.Second
	service = 100 * time.Millisecond
)

func settings() Settings {
	return Settings{Compared: 2, Homes: true, Paces: true, Prefixes: true, Zones: true, Failures: true, PromptRate: 80, Beat: beat}
}

func replicas(count int) []*Replica {
	list := make([]*Replica, count)
	for i := range list {
		list[i] = NewReplica()
		list[i].ID, list[i].Zone, list[i].Slots = fmt.Sprint("r", i), fmt.Sprint("zone", i%3), 6
	}
	return list
}

func policy(seed uint64, s Settings) *Policy {
	return &Policy{Settings: s, Zone: "zone0", Random: rand.New(rand.NewPCG(seed, 1)).Float64}
}

func everyone(*Replica) bool { return true }

func prompt(conversation uint64, turns int) []Part {
	parts := []Part{{ID: 1, Tokens: 512}}
	for i := range turns {
		parts = append(parts, Part{ID: conversation*100 + uint64(i), Tokens: 400})
	}
	return parts
}

func request(prompt []Part, repeats bool) Request {
	return Request{Prompt: prompt, Repeats: repeats, Left: 3 * time.Second, Service: service}
}

// TestConversationsMeetAgain: nodes that know nothing of each other send a conversation's
// turns to one replica, and conversations are spread.
func TestConversationsMeetAgain(t *testing.T) {
	picked := map[string]int{}
	for conversation := uint64(1); conversation <= 200; conversation++ {
		first := policy(1, settings()).Choose(0, request(prompt(conversation, 3), true), replicas(48), everyone)
		other := policy(2, settings()).Choose(0, request(prompt(conversation, 4), true), replicas(48), everyone)
		if first.ID != other.ID {
			t.Fatalf("conversation %d goes to %s by one node and to %s by another", conversation, first.ID, other.ID)
		}
		if first.Zone != "zone0" {
			t.Fatalf("conversation %d goes to another zone", conversation)
		}
		picked[first.ID]++
	}
	if len(picked) != 16 {
		t.Errorf("200 conversations at %d of 16 replicas", len(picked))
	}
}

// TestThingsMeetAgain: calls that concern the same thing go to one replica, whichever node
// and zone they come through, and things are spread; a home that is full is left.
func TestThingsMeetAgain(t *testing.T) {
	picked := map[string]int{}
	for thing := uint64(1); thing <= 300; thing++ {
		call := request(nil, false)
		call.Affinity = mix(thing)
		here, there := policy(1, settings()), policy(2, settings())
		there.Zone = "zone1"
		list := replicas(24)
		first, other := here.Choose(0, call, list, everyone), there.Choose(0, call, replicas(24), everyone)
		if first.ID != other.ID {
			t.Fatalf("thing %d goes to %s from one zone and to %s from another", thing, first.ID, other.ID)
		}
		picked[first.ID]++
		first.Share(30, 0, time.Minute)
		if away := here.Choose(0, call, list, everyone); away == first {
			t.Fatalf("thing %d goes to its home though that is full", thing)
		}
	}
	if len(picked) != 24 {
		t.Errorf("300 things at %d of 24 replicas", len(picked))
	}
}

// TestFullHomeIsLeft: a conversation leaves its home while that has a queue, for a
// replica with room.
func TestFullHomeIsLeft(t *testing.T) {
	list := replicas(48)
	p := policy(1, settings())
	home := p.Choose(0, request(prompt(7, 3), true), list, everyone)
	home.Share(30, 0, time.Minute)
	away := p.Choose(0, request(prompt(7, 4), true), list, everyone)
	if away == home || !p.HasRoom(0, away) {
		t.Fatalf("sent to %s with %d running", away.ID, away.Running(0, 0))
	}
	home.Share(2, 0, time.Minute)
	if again := p.Choose(0, request(prompt(7, 5), true), list, everyone); again != home {
		t.Errorf("sent to %s once its home has room", again.ID)
	}
}

// TestSharedLoadIsForgotten: what others told holds for its time only.
func TestSharedLoadIsForgotten(t *testing.T) {
	r := replicas(1)[0]
	r.Share(5, 0.5, time.Second)
	if r.Running(0, 0) != 5 || r.Failing(0, beat) != 0.5 {
		t.Fatalf("running %d, failing %v", r.Running(0, 0), r.Failing(0, beat))
	}
	if r.Running(time.Second, 0) != 0 || r.Failing(time.Second, beat) != 0 {
		t.Fatal("believed after its time")
	}
}

// TestFailingReplicaIsAvoidedAndForgiven: as its own record says, never all at once, and
// it is used again once it is well.
func TestFailingReplicaIsAvoidedAndForgiven(t *testing.T) {
	list := replicas(12)
	p := policy(1, settings())
	now := time.Duration(0)
	bad := map[*Replica]bool{list[0]: true, list[3]: true}
	send := func(count int) (toBad int) {
		for range count {
			now += 10 * time.Millisecond
			r := p.Choose(now, request(nil, false), list, everyone)
			r.Sent(now, nil, 1000)
			result := Served
			if bad[r] && now < 4*time.Second {
				result = Failed
			}
			if bad[r] {
				toBad++
			}
			r.Ended(now+5*time.Millisecond, result, nil, beat, service)
		}
		return toBad
	}
	if n := send(300); n > 30 {
		t.Errorf("%d of 300 went to replicas that fail all", n)
	}
	now = 4*time.Second + 8*beat
	if n := send(300); n < 50 {
		t.Errorf("%d of 300 go to replicas that are well again", n)
	}
	for _, r := range list {
		r.Share(0, 1, time.Hour)
	}
	if p.Choose(now, request(nil, false), list, everyone) == nil {
		t.Error("all fail, and none is chosen")
	}
}

// TestShedderIsNoSink: a replica that turns requests away though it has room looks idle;
// it does not draw all requests. One that is full and says so is no failing one.
func TestShedderIsNoSink(t *testing.T) {
	list := replicas(9)
	p := policy(1, settings())
	now, toShedder := time.Duration(0), 0
	for range 500 {
		now += 4 * time.Millisecond
		r := p.Choose(now, request(nil, true), list, everyone)
		r.Sent(now, nil, 1000)
		if r == list[0] {
			toShedder++
			r.Ended(now+time.Millisecond, TurnedAway, nil, beat, service)
			continue
		}
		r.Ended(now+3*time.Millisecond, Served, nil, beat, service)
	}
	if toShedder > 100 {
		t.Errorf("%d of 500 went to the one that sheds", toShedder)
	}
	full := list[1]
	full.Share(12, 0, time.Hour)
	full.Sent(now, nil, 1000)
	full.Ended(now, TurnedAway, nil, beat, service)
	if full.Failing(now, beat) != 0 || p.HasRoom(now, full) {
		t.Errorf("a full replica: failing %v", full.Failing(now, beat))
	}
}

// TestLateLoadDoesNotHerd: a hundred nodes that hear the same late loads at the same
// moment do not all go to the replica that was the emptiest.
func TestLateLoadDoesNotHerd(t *testing.T) {
	const nodes, count = 100, 48
	sent := map[string]int{}
	for node := range uint64(nodes) {
		list := replicas(count)
		for i, r := range list {
			r.Share(int64(1+i%5), 0, time.Hour)
		}
		list[0].Share(0, 0, time.Hour)
		p := policy(node, settings())
		p.Zone = fmt.Sprint("zone", node%3)
		sent[p.Choose(0, request(nil, true), list, everyone).ID]++
	}
	for id, n := range sent {
		if n > nodes/5 {
			t.Errorf("%d of %d nodes go to %s", n, nodes, id)
		}
	}
}

// TestEveryMechanismCanBeSwitchedOff: a replica is chosen under each choice of settings,
// from all that are allowed, and from none where none is.
func TestEveryMechanismCanBeSwitchedOff(t *testing.T) {
	for choice := range 32 {
		s := Settings{Compared: choice % 2 * 2, Homes: choice&2 > 0, Prefixes: choice&4 > 0, Zones: choice&8 > 0, Failures: choice&16 > 0, PromptRate: 80, Beat: beat}
		p, list := policy(1, s), replicas(7)
		only := list[4]
		for turns := range 4 {
			if got := p.Choose(0, request(prompt(1, turns), true), list, func(r *Replica) bool { return r == only }); got != only {
				t.Fatalf("%+v: chosen %v", s, got)
			}
		}
		if p.Choose(0, request(nil, true), list, func(*Replica) bool { return false }) != nil {
			t.Fatalf("%+v: one that is not allowed is chosen", s)
		}
	}
}

// TestKeptPartsStayWithinTheirRoom: the ones unused longest give way, and a part counts
// only while all before it are kept.
func TestKeptPartsStayWithinTheirRoom(t *testing.T) {
	k := newKeptParts()
	for i := range 50 {
		k.add(time.Duration(i), []Part{{ID: 1, Tokens: 100}, {ID: uint64(100 + i), Tokens: 100}}, 1000)
		if k.tokens > 1000 {
			t.Fatalf("%d tokens are kept", k.tokens)
		}
	}
	if got := k.unread([]Part{{ID: 1, Tokens: 100}, {ID: 149, Tokens: 100}, {ID: 7, Tokens: 30}}); got != 30 {
		t.Errorf("%d of the newest conversation are unread", got)
	}
	if got := k.unread([]Part{{ID: 1, Tokens: 100}, {ID: 100, Tokens: 100}, {ID: 149, Tokens: 100}}); got != 200 {
		t.Errorf("%d behind a part that gave way are unread", got)
	}
}

func benchmarkChoose(b *testing.B, count int) {
	list, p := replicas(count), policy(1, settings())
	for i, r := range list {
		r.Share(int64(i%7), 0, time.Hour)
	}
	asked := request(prompt(3, 8), true)
	b.ResetTimer()
	for range b.N {
		p.Choose(time.Second, asked, list, everyone)
	}
}

func BenchmarkChoose48(b *testing.B)  { benchmarkChoose(b, 48) }
func BenchmarkChoose700(b *testing.B) { benchmarkChoose(b, 700) }
