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
func newOverloadHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.m.params.ShedOverload, h.m.params.LoadReportInterval = true, 100*time.Millisecond
	h.update("d1:1", listings("model", "m1", "m2"), 1, tableJSON(1, func(t *route.Table) {
		t.Routes[0].Urgency = 1
		t.Routes = append(t.Routes, route.Route{Name: "idle", Host: "h", Prefix: "/idle/", Mode: route.Stream, KeepHistory: true, Urgency: 5, TimeoutMS: 4000, Tries: 2, Targets: []route.Target{{Service: "model", Weight: 1}}})
	}))
	// Replicas are listed when the first request comes.
	h.outcome(h.request(newRequest("/chat/x", nil)), Outcome{Kind: OutcomeComplete, Events: 1, Started: true})
	return h
}

// tellLoad lets the desk tell, for a time, what other nodes have at each replica.
func (h *harness) reportLoad(outstanding byte, for_ time.Duration) {
	for end := h.now + for_; h.now < end; h.advance(50 * time.Millisecond) {
		view := h.m.desks["d1:1"]
		view.heardAt = h.now
		n := len(view.loadIndex())
		load := make([]byte, n)
		for i := range load {
			load[i] = outstanding
		}
		h.apply(h.m.Receive(h.now, "d1:1", desk.Loads{Life: view.incarnation, Version: view.version, Outstanding: load, Failing: make([]byte, n), Paces: make([]uint16, n)}))
	}
}

func programTurn(path string, change func(r *Request)) Request {
	return newRequest(path, func(r *Request) {
		r.Program, r.TokenBudget, r.MaxTokens = "p", 1e6, 10
		r.Prompt = []placement.PromptSegment{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 300}}
		r.Horizon = Horizon{Remaining: time.Second, Known: true}
		if change != nil {
			change(r)
		}
	})
}

// TestOverloadRefusesInOrder: new programs' turns and late ones are refused with a time to
// come back, what has begun and calls never, and nothing once the load is gone.
func TestOverloadRefusalOrder(t *testing.T) {
	h := newOverloadHarness(t)
	h.reportLoad(30, 6*time.Second)
	refused := func(r Request) (n int) {
		for i := range 40 {
			r.Program = fmt.Sprint("program", i)
			w := h.request(r)
			s := h.last(w)
			if s.Kind == StepRefuse {
				if s.Status != 503 || s.Check != "overload" || s.RetryAfter <= 0 {
					t.Fatalf("%+v", s)
				}
				n++
				continue
			}
			h.outcome(w, Outcome{Kind: OutcomeComplete, Events: 1, Started: true})
		}
		return n
	}
	late := programTurn("/chat/x", func(r *Request) {
		r.Horizon.Remaining = 0
		r.Prompt = append(r.Prompt, placement.PromptSegment{ID: 3, Tokens: 9})
	})
	begun := programTurn("/chat/x", func(r *Request) { r.Prompt = append(r.Prompt, placement.PromptSegment{ID: 3, Tokens: 9}) })
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
	if n := refused(newRequest("/once/x", func(r *Request) { r.Program = "p" })); n != 0 {
		t.Errorf("%d calls are refused", n)
	}
	h.reportLoad(0, 3*time.Second)
	if n := refused(late) + refused(other); n != 0 {
		t.Errorf("%d are refused once the load is gone", n)
	}
}

// TestNothingIsShedWithoutWord: a node that hears of no load refuses nothing for it.
func TestNoSheddingWithoutLoadReports(t *testing.T) {
	h := newOverloadHarness(t)
	h.reportLoad(30, 6*time.Second)
	h.advance(5 * time.Second)
	for range 20 {
		if w := h.request(programTurn("/idle/x", nil)); h.last(w).Kind == StepRefuse && h.last(w).Check == "overload" {
			t.Fatal("refused for a load that nobody has told of for long")
		}
	}
}

// TestUnrunIsSentOn: what surely did not run goes on to further replicas beyond the
// route's number, each once, and a request that may have run does not.
func TestUnrunRequestIsResent(t *testing.T) {
	h := newHarness(t)
	h.m.params.ResendUnrun = true
	h.update("d1:1", listings("app", "a1", "a2", "a3", "a4", "a5", "a6"), 1, tableJSON(1, nil))
	w := h.request(newRequest("/again/x", nil))
	seen := map[string]bool{}
	for range 5 {
		id := h.last(w).Replica.ID
		if h.last(w).Kind != StepSend || seen[id] {
			t.Fatalf("after %v: %+v", seen, h.last(w))
		}
		seen[id] = true
		h.outcome(w, Outcome{Kind: OutcomeNotRun})
	}
	h.outcome(w, Outcome{Kind: OutcomeComplete})
	h.expect(w, StepDeliver, 0)
	w = h.request(newRequest("/again/x", nil))
	h.outcome(w, Outcome{Kind: OutcomeNotRun})
	h.outcome(w, Outcome{Kind: OutcomeInterrupted})
	h.outcome(w, Outcome{Kind: OutcomeInterrupted})
	h.expect(w, StepAbort, 502)
	// Where all are full the request ends once three have said so.
	for _, r := range h.m.replicas {
		r.estimate.SetShared(40, 0, time.Hour)
	}
	w = h.request(newRequest("/once/x", nil))
	sendings := 0
	for ; h.last(w).Kind == StepSend; sendings++ {
		h.outcome(w, Outcome{Kind: OutcomeNotRun})
	}
	if sendings != unrestrictedResends {
		t.Errorf("offered to %d full replicas", sendings)
	}
	h.expect(w, StepRefuse, 503)
}
