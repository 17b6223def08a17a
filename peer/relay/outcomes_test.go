package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/rule/route"
)

// sending is a request that a replica has and that is not answered yet.
type sending struct {
	ticket  uint64
	replica string
}

// journey is what became of one request, as its replicas and its requester saw
// it.
type journey struct {
	path string
	// ran counts the replicas that may have run it; asked are all that it was
	// sent to, in order, and reached is how many of them it reached.
	ran, reached int
	asked        []string
	begun, over  bool
}

// traveller drives requests through a node by random outcomes.
type traveller struct {
	*rig
	random   *rand.Rand
	journeys map[uint64]*journey
	open     []sending
	taken    map[uint64]int
}

// collect takes the steps that the node has made since it was last called.
func (v *traveller) collect() {
	for ticket, j := range v.journeys {
		for ; v.taken[ticket] < len(v.steps[ticket]); v.taken[ticket]++ {
			v.step(ticket, j, v.steps[ticket][v.taken[ticket]])
		}
	}
}

func (v *traveller) step(ticket uint64, j *journey, s Step) {
	if j.over {
		v.t.Fatalf("request %d goes on after its end: %+v", ticket, s)
	}
	if s.Kind == StepSend {
		j.asked = append(j.asked, s.Replica.ID)
		v.open = append(v.open, sending{ticket: ticket, replica: s.Replica.ID})
		return
	}
	j.over = true
	if s.Kind == StepRefuse && j.ran > 0 {
		v.t.Fatalf("request %d to %s was refused with %d after it ran %d times", ticket, j.path, s.Status, j.ran)
	}
}

// answer ends one open sending by a random outcome.
func (v *traveller) answer() {
	at := v.random.IntN(len(v.open))
	one := v.open[at]
	v.open = append(v.open[:at], v.open[at+1:]...)
	j := v.journeys[one.ticket]
	o := v.outcome(j)
	if o.Kind != NotRun {
		j.ran++
	}
	if !o.Unreached && !o.Moved {
		j.reached++
	}
	v.came(one.ticket, o)
	v.collect()
	if o.Gone && !j.over {
		v.t.Fatalf("request %d goes on, though nobody waits for it", one.ticket)
	}
}

func (v *traveller) outcome(j *journey) Outcome {
	o := Outcome{Gone: v.random.IntN(12) == 0, Cold: v.random.IntN(3) == 0}
	switch v.random.IntN(6) {
	case 0:
		o.Kind, o.Unreached = NotRun, true
	case 1:
		o.Kind, o.Moved = NotRun, true
	case 2:
		o.Kind, o.Load = NotRun, &Load{Running: 4, Waiting: v.random.Int64N(3), Slots: 4}
	case 3:
		o.Kind = Broken
		if j.path == "/chat/x" && (j.begun || v.random.IntN(2) == 0) {
			j.begun, o.Begun, o.Events = true, true, v.random.Int64N(4)
		}
	default:
		o.Kind, o.Load = Whole, &Load{Running: v.random.Int64N(5), Slots: 4}
		o.Failed = v.random.IntN(4) == 0
	}
	return o
}

// TestRandomOutcomes: whatever becomes of sendings, in whatever order, a
// request that may run once runs once at most, none is refused after it may
// have run, none is sent to more replicas than its route allows, or to one
// twice, and in the end each replica has its places back.
func TestRandomOutcomes(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := newRig(t)
			g.begin()
			v := &traveller{rig: g, random: rand.New(rand.NewPCG(seed, 3)), journeys: map[uint64]*journey{}, taken: map[uint64]int{}}
			for range 250 {
				v.move()
			}
			for len(v.open) > 0 {
				v.answer()
			}
			g.pass(5 * time.Second)
			v.collect()
			v.check()
		})
	}
}

// move lets a request arrive, answers one, or lets time pass.
func (v *traveller) move() {
	switch at := v.random.IntN(10); {
	case at < 5:
		path := []string{"/chat/x", "/once/x", "/again/x"}[v.random.IntN(3)]
		ticket := v.arrive(ask(path, nil))
		v.journeys[ticket] = &journey{path: path}
		v.collect()
	case at < 9 && len(v.open) > 0:
		v.answer()
	default:
		v.pass(time.Duration(v.random.IntN(200)) * time.Millisecond)
		v.collect()
	}
}

// check holds each journey against its route, and the node's books of places
// against none in use.
func (v *traveller) check() {
	tries := map[string]int{"/chat/x": 2, "/once/x": 3, "/again/x": 2}
	for ticket, j := range v.journeys {
		if !j.over {
			v.t.Errorf("request %d to %s never ended", ticket, j.path)
		}
		if j.ran > 1 && j.path != "/again/x" {
			v.t.Errorf("request %d to %s ran %d times", ticket, j.path, j.ran)
		}
		if j.reached > tries[j.path] {
			v.t.Errorf("request %d to %s reached %d replicas", ticket, j.path, j.reached)
		}
		seen := map[string]bool{}
		for _, id := range j.asked {
			if seen[id] {
				v.t.Errorf("request %d was sent to %s twice", ticket, id)
			}
			seen[id] = true
		}
	}
	for id, s := range v.m.replicas {
		if n := s.estimate.Outstanding; n != 0 {
			v.t.Errorf("%s has %d places taken with nothing under way", id, n)
		}
	}
	if len(v.m.live) != 0 {
		v.t.Errorf("%d requests are still noted", len(v.m.live))
	}
}

// TestTriesAfterBrokenAnswers: a request that may run again goes to no more replicas
// than its route allows, however they break off.
func TestTriesAfterBrokenAnswers(t *testing.T) {
	for _, o := range []Outcome{{Kind: Broken}, {Kind: NotRun}} {
		g := newRig(t)
		g.begin()
		w := g.arrive(ask("/again/x", nil))
		tries := 0
		for ; g.last(w).Kind == StepSend; tries++ {
			g.came(w, o)
		}
		if tries != 2 {
			t.Errorf("%s: %d tries; the route allows 2", o.Kind, tries)
		}
	}
}

// TestFurtherTryIsPaid: another run is another request of the tenant's, so one whose
// rate has nothing left gets none.
func TestFurtherTryIsPaid(t *testing.T) {
	for _, c := range []struct{ most, sendings int }{{1, 1}, {100, 2}} {
		g := newRig(t)
		g.hear("d1:1", replicas("app", "a1", "a2", "a3"), 1, table(1, func(t *route.Table) { t.Tenants[0].Rate, t.Tenants[0].Burst = 0.001, float64(c.most) }))
		w := g.arrive(ask("/again/x", nil))
		sendings := 0
		for ; g.last(w).Kind == StepSend; sendings++ {
			g.came(w, Outcome{Kind: Broken})
		}
		if sendings != c.sendings {
			t.Errorf("%d runs with a rate of %d", sendings, c.most)
		}
		g.want(w, StepBreak, 502)
	}
}
