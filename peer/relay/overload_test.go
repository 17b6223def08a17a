package relay

import (
	"fmt"
	"testing"
	"time"

	"saffronfall/peer/desk"
	"saffronfall/rule/placement"
	"saffronfall/rule/route"
)

// overloadRig is a node whose desk tells of replicas that have far more than they can run.
func overloadRig(t *testing.T) *rig {
	g := newRig(t)
	g.m.params.ShedOverload, g.m.params.LoadPeriod = true, 100*time.Millisecond
	g.hear("d1:1", replicas("model", "m1", "m2"), 1, table(1, func(t *route.Table) {
		t.Routes[0].Urgency = 1
		t.Routes = append(t.Routes, route.Route{Name: "idle", Host: "h", Prefix: "/idle/", Mode: route.Stream, KeepHistory: true, Urgency: 5, TimeoutMS: 4000, Tries: 2, Targets: []route.Target{{Service: "model", Weight: 1}}})
	}))
	// Replicas are listed when the first request comes.
	g.came(g.arrive(ask("/chat/x", nil)), Outcome{Kind: Whole, Events: 1, Begun: true})
	return g
}

// tellLoad lets the desk tell, for a time, what other nodes have at each replica.
func (g *rig) tellLoad(outstanding byte, for_ time.Duration) {
	for end := g.now + for_; g.now < end; g.pass(50 * time.Millisecond) {
		b := g.m.boards["d1:1"]
		b.heard = g.now
		n := len(b.places())
		load := make([]byte, n)
		for i := range load {
			load[i] = outstanding
		}
		g.take(g.m.Receive(g.now, "d1:1", desk.Loads{Incarnation: b.life, Version: b.version, Outstanding: load, FailureRates: make([]byte, n), UnitTimes: make([]uint16, n)}))
	}
}

func programTurn(path string, change func(a *Ask)) Ask {
	return ask(path, func(a *Ask) {
		a.Program, a.Budget, a.Most = "p", 1e6, 10
		a.Prompt = []placement.PromptSegment{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 300}}
		a.Horizon = Horizon{Left: time.Second, Known: true}
		if change != nil {
			change(a)
		}
	})
}

// TestOverloadRefusesInOrder: new programs' turns and late ones are refused with a time to
// come back, what has begun and calls never, and nothing once the load is gone.
func TestOverloadRefusesInOrder(t *testing.T) {
	g := overloadRig(t)
	g.tellLoad(30, 6*time.Second)
	refused := func(a Ask) (n int) {
		for i := range 40 {
			a.Program = fmt.Sprint("program", i)
			w := g.arrive(a)
			s := g.last(w)
			if s.Kind == StepRefuse {
				if s.Status != 503 || s.Check != "overload" || s.RetryAfter <= 0 {
					t.Fatalf("%+v", s)
				}
				n++
				continue
			}
			g.came(w, Outcome{Kind: Whole, Events: 1, Begun: true})
		}
		return n
	}
	late := programTurn("/chat/x", func(a *Ask) {
		a.Horizon.Left = 0
		a.Prompt = append(a.Prompt, placement.PromptSegment{ID: 3, Tokens: 9})
	})
	begun := programTurn("/chat/x", func(a *Ask) { a.Prompt = append(a.Prompt, placement.PromptSegment{ID: 3, Tokens: 9}) })
	other := programTurn("/idle/x", nil)
	if n := refused(late); n < 30 {
		t.Errorf("%d of 40 late turns are refused", n)
	}
	if n := refused(other); n < 20 || n == 40 {
		t.Errorf("%d of 40 new programs are refused", n)
	}
	if n := refused(begun); n != 0 {
		t.Errorf("%d of 40 turns that can be in time are refused", n)
	}
	if n := refused(ask("/once/x", func(a *Ask) { a.Program = "p" })); n != 0 {
		t.Errorf("%d calls are refused", n)
	}
	g.tellLoad(0, 3*time.Second)
	if n := refused(late) + refused(other); n != 0 {
		t.Errorf("%d are refused once the load is gone", n)
	}
}

// TestNothingIsShedWithoutWord: a node that hears of no load refuses nothing for it.
func TestNothingIsShedWithoutWord(t *testing.T) {
	g := overloadRig(t)
	g.tellLoad(30, 6*time.Second)
	g.pass(5 * time.Second)
	for range 20 {
		if w := g.arrive(programTurn("/idle/x", nil)); g.last(w).Kind == StepRefuse && g.last(w).Check == "overload" {
			t.Fatal("refused for a load that nobody has told of for long")
		}
	}
}

// TestUnrunIsSentOn: what surely did not run goes on to further replicas beyond the
// route's number, each once, and a request that may have run does not.
func TestUnrunIsSentOn(t *testing.T) {
	g := newRig(t)
	g.m.params.ResendUnrun = true
	g.hear("d1:1", replicas("app", "a1", "a2", "a3", "a4", "a5", "a6"), 1, table(1, nil))
	w := g.arrive(ask("/again/x", nil))
	seen := map[string]bool{}
	for range 5 {
		id := g.last(w).Replica.ID
		if g.last(w).Kind != StepSend || seen[id] {
			t.Fatalf("after %v: %+v", seen, g.last(w))
		}
		seen[id] = true
		g.came(w, Outcome{Kind: NotRun})
	}
	g.came(w, Outcome{Kind: Whole})
	g.want(w, StepPass, 0)
	w = g.arrive(ask("/again/x", nil))
	g.came(w, Outcome{Kind: NotRun})
	g.came(w, Outcome{Kind: Broken})
	g.came(w, Outcome{Kind: Broken})
	g.want(w, StepBreak, 502)
	// Where all are full the request ends once three have said so.
	for _, r := range g.m.replicas {
		r.estimate.SetShared(40, 0, time.Hour)
	}
	w = g.arrive(ask("/once/x", nil))
	sendings := 0
	for ; g.last(w).Kind == StepSend; sendings++ {
		g.came(w, Outcome{Kind: NotRun})
	}
	if sendings != resendsAnyway {
		t.Errorf("offered to %d full replicas", sendings)
	}
	g.want(w, StepRefuse, 503)
}
