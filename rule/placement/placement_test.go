package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	heartbeat   = time.Second
	serviceTime = 100 * time.Millisecond
)

func settings() Settings {
	return Settings{SampleSize: 2, HomeReplicas: true, UnitTimes: true, PromptCache: true, LocalZone: true, FailureRates: true, PromptTokensPerMillisecond: 80, HeartbeatInterval: heartbeat}
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

func allowAll(*Replica) bool { return true }

func prompt(conversation uint64, turns int) []PromptSegment {
	segments := []PromptSegment{{ID: 1, Tokens: 512}}
	for i := range turns {
		segments = append(segments, PromptSegment{ID: conversation*100 + uint64(i), Tokens: 400})
	}
	return segments
}

func request(prompt []PromptSegment, repeatable bool) Request {
	return Request{Prompt: prompt, Repeatable: repeatable, Remaining: 3 * time.Second, ServiceTime: serviceTime}
}

func TestNodesAgreeOnConversationHome(t *testing.T) {
	chosen := map[string]int{}
	for conversation := uint64(1); conversation <= 200; conversation++ {
		first := policy(1, settings()).Choose(0, request(prompt(conversation, 3), true), replicas(48), allowAll)
		other := policy(2, settings()).Choose(0, request(prompt(conversation, 4), true), replicas(48), allowAll)
		if first.ID != other.ID {
			t.Fatalf("conversation %d: one node chose %s, another %s", conversation, first.ID, other.ID)
		}
		if first.Zone != "zone0" {
			t.Fatalf("conversation %d: replica %s is in another zone", conversation, first.ID)
		}
		chosen[first.ID]++
	}
	if len(chosen) != 16 {
		t.Errorf("200 conversations use %d of 16 replicas", len(chosen))
	}
}

// TestNodesAgreeOnAffinityHome guards against homes that depend on the node's zone.
func TestNodesAgreeOnAffinityHome(t *testing.T) {
	chosen := map[string]int{}
	for key := uint64(1); key <= 300; key++ {
		call := request(nil, false)
		call.Affinity = mix(key)
		zone0, zone1 := policy(1, settings()), policy(2, settings())
		zone1.Zone = "zone1"
		list := replicas(24)
		first, other := zone0.Choose(0, call, list, allowAll), zone1.Choose(0, call, replicas(24), allowAll)
		if first.ID != other.ID {
			t.Fatalf("key %d: a node in zone0 chose %s, one in zone1 %s", key, first.ID, other.ID)
		}
		chosen[first.ID]++
		first.SetShared(30, 0, time.Minute)
		if away := zone0.Choose(0, call, list, allowAll); away == first {
			t.Fatalf("key %d: chose the home although it is full", key)
		}
	}
	if len(chosen) != 24 {
		t.Errorf("300 keys use %d of 24 replicas", len(chosen))
	}
}

func TestFullHomeIsAvoided(t *testing.T) {
	list := replicas(48)
	p := policy(1, settings())
	home := p.Choose(0, request(prompt(7, 3), true), list, allowAll)
	home.SetShared(30, 0, time.Minute)
	away := p.Choose(0, request(prompt(7, 4), true), list, allowAll)
	if away == home || !p.HasRoom(0, away) {
		t.Fatalf("chose %s, which has %d running", away.ID, away.Running(0, 0))
	}
	home.SetShared(2, 0, time.Minute)
	if again := p.Choose(0, request(prompt(7, 5), true), list, allowAll); again != home {
		t.Errorf("chose %s although the home has free slots", again.ID)
	}
}

func TestSharedLoadExpires(t *testing.T) {
	r := replicas(1)[0]
	r.SetShared(5, 0.5, time.Second)
	if r.Running(0, 0) != 5 || r.FailureRate(0, heartbeat) != 0.5 {
		t.Fatalf("running %d, failure rate %v", r.Running(0, 0), r.FailureRate(0, heartbeat))
	}
	if r.Running(time.Second, 0) != 0 || r.FailureRate(time.Second, heartbeat) != 0 {
		t.Fatal("shared load is used after it expired")
	}
}

// TestFailingReplicaIsAvoidedUntilRecovery also checks that a replica is chosen if all are failing.
func TestFailingReplicaIsAvoidedUntilRecovery(t *testing.T) {
	list := replicas(12)
	p := policy(1, settings())
	now := time.Duration(0)
	failing := map[*Replica]bool{list[0]: true, list[3]: true}
	send := func(count int) (toFailing int) {
		for range count {
			now += 10 * time.Millisecond
			r := p.Choose(now, request(nil, false), list, allowAll)
			r.RecordSent(now, nil, 1000)
			result := Served
			if failing[r] && now < 4*time.Second {
				result = Failed
			}
			if failing[r] {
				toFailing++
			}
			r.RecordResult(now+5*time.Millisecond, result, nil, heartbeat, serviceTime)
		}
		return toFailing
	}
	if n := send(300); n > 30 {
		t.Errorf("%d of 300 requests went to failing replicas", n)
	}
	now = 4*time.Second + 8*heartbeat
	if n := send(300); n < 50 {
		t.Errorf("%d of 300 requests went to replicas that have recovered", n)
	}
	for _, r := range list {
		r.SetShared(0, 1, time.Hour)
	}
	if p.Choose(now, request(nil, false), list, allowAll) == nil {
		t.Error("no replica is chosen when all are failing")
	}
}

// TestRejectingReplicaIsAvoided guards against a replica that rejects requests, and so looks idle,
// attracting all of them. A rejection by a full replica is no failure.
func TestRejectingReplicaIsAvoided(t *testing.T) {
	list := replicas(9)
	p := policy(1, settings())
	now, toRejecting := time.Duration(0), 0
	for range 500 {
		now += 4 * time.Millisecond
		r := p.Choose(now, request(nil, true), list, allowAll)
		r.RecordSent(now, nil, 1000)
		if r == list[0] {
			toRejecting++
			r.RecordResult(now+time.Millisecond, Rejected, nil, heartbeat, serviceTime)
			continue
		}
		r.RecordResult(now+3*time.Millisecond, Served, nil, heartbeat, serviceTime)
	}
	if toRejecting > 100 {
		t.Errorf("%d of 500 requests went to the rejecting replica", toRejecting)
	}
	full := list[1]
	full.SetShared(12, 0, time.Hour)
	full.RecordSent(now, nil, 1000)
	full.RecordResult(now, Rejected, nil, heartbeat, serviceTime)
	if full.FailureRate(now, heartbeat) != 0 || p.HasRoom(now, full) {
		t.Errorf("full replica: failure rate %v, has room %v", full.FailureRate(now, heartbeat), p.HasRoom(now, full))
	}
}

// TestStaleLoadDoesNotHerd guards against all nodes choosing the replica that was least loaded.
func TestStaleLoadDoesNotHerd(t *testing.T) {
	const nodes, count = 100, 48
	sent := map[string]int{}
	for node := range uint64(nodes) {
		list := replicas(count)
		for i, r := range list {
			r.SetShared(int64(1+i%5), 0, time.Hour)
		}
		list[0].SetShared(0, 0, time.Hour)
		p := policy(node, settings())
		p.Zone = fmt.Sprint("zone", node%3)
		sent[p.Choose(0, request(nil, true), list, allowAll).ID]++
	}
	for id, n := range sent {
		if n > nodes/5 {
			t.Errorf("%d of %d nodes chose %s", n, nodes, id)
		}
	}
}

func TestChooseUnderAllSettings(t *testing.T) {
	for choice := range 32 {
		s := Settings{SampleSize: choice % 2 * 2, HomeReplicas: choice&2 > 0, PromptCache: choice&4 > 0, LocalZone: choice&8 > 0, FailureRates: choice&16 > 0, PromptTokensPerMillisecond: 80, HeartbeatInterval: heartbeat}
		p, list := policy(1, s), replicas(7)
		only := list[4]
		for turns := range 4 {
			if got := p.Choose(0, request(prompt(1, turns), true), list, func(r *Replica) bool { return r == only }); got != only {
				t.Fatalf("%+v: chose %v", s, got)
			}
		}
		if p.Choose(0, request(nil, true), list, func(*Replica) bool { return false }) != nil {
			t.Fatalf("%+v: chose a replica that is not allowed", s)
		}
	}
}

func TestPromptCacheEviction(t *testing.T) {
	c := newPromptCache()
	for i := range 50 {
		c.add(time.Duration(i), []PromptSegment{{ID: 1, Tokens: 100}, {ID: uint64(100 + i), Tokens: 100}}, 1000)
		if c.tokens > 1000 {
			t.Fatalf("%d tokens are cached, the capacity is 1000", c.tokens)
		}
	}
	if got := c.missing([]PromptSegment{{ID: 1, Tokens: 100}, {ID: 149, Tokens: 100}, {ID: 7, Tokens: 30}}); got != 30 {
		t.Errorf("%d tokens of the newest conversation are missing, want 30", got)
	}
	if got := c.missing([]PromptSegment{{ID: 1, Tokens: 100}, {ID: 100, Tokens: 100}, {ID: 149, Tokens: 100}}); got != 200 {
		t.Errorf("%d tokens are missing after an evicted segment, want 200", got)
	}
}

func benchmarkChoose(b *testing.B, count int) {
	list, p := replicas(count), policy(1, settings())
	for i, r := range list {
		r.SetShared(int64(i%7), 0, time.Hour)
	}
	req := request(prompt(3, 8), true)
	b.ResetTimer()
	for range b.N {
		p.Choose(time.Second, req, list, allowAll)
	}
}

func BenchmarkChoose48(b *testing.B)  { benchmarkChoose(b, 48) }
func BenchmarkChoose700(b *testing.B) { benchmarkChoose(b, 700) }
