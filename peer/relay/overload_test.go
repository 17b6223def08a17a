package relay

import (
	"fmt"
	"testing"
	"time"

	"saffronfall/peer/registry"
	"saffronfall/rule/placement"
	"saffronfall/rule/route"
)

func newOverloadHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.node.params.ShedOverload, h.node.params.LoadReportInterval = true, 100*time.Millisecond
	h.update("d1:1", listings("model", "m1", "m2"), 1, tableJSON(1, func(t *route.Table) {
		t.Routes[0].Urgency = 1
		t.Routes = append(t.Routes, route.Route{Name: "idle", Host: "h", Prefix: "/idle/", Mode: route.Stream, KeepHistory: true, Urgency: 5, TimeoutMS: 4000, MaxAttempts: 2, Targets: []route.Target{{Service: "model", Weight: 1}}})
	}))
	// The first request makes the node merge the listings.
	h.outcome(h.request(newRequest("/chat/x", nil)), Outcome{Kind: OutcomeComplete, Events: 1, Started: true})
	return h
}

// reportLoad reports for a time how many requests other nodes have at each replica.
func (h *harness) reportLoad(outstanding byte, period time.Duration) {
	for end := h.now + period; h.now < end; h.advance(50 * time.Millisecond) {
		view := h.node.registries["d1:1"]
		view.lastUpdateAt = h.now
		n := len(view.loadIndex())
		load := make([]byte, n)
		for i := range load {
			load[i] = outstanding
		}
		h.apply(h.node.Receive(h.now, "d1:1", registry.Loads{Incarnation: view.incarnation, Version: view.version, Outstanding: load, FailureRates: make([]byte, n), UnitTimes: make([]uint16, n)}))
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

// TestOverloadRefusalOrder: only turns of new programs and late turns may be refused, and nothing
// once the load has dropped.
func TestOverloadRefusalOrder(t *testing.T) {
	h := newOverloadHarness(t)
	h.reportLoad(30, 6*time.Second)
	refused := func(r Request) (n int) {
		for i := range 40 {
			r.Program = fmt.Sprint("program", i)
			ticket := h.request(r)
			s := h.lastStep(ticket)
			if s.Kind == StepRefuse {
				if s.Status != 503 || s.Check != "overload" || s.RetryAfter <= 0 {
					t.Fatalf("%+v", s)
				}
				n++
				continue
			}
			h.outcome(ticket, Outcome{Kind: OutcomeComplete, Events: 1, Started: true})
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
		t.Errorf("%d of 40 turns of programs in progress are refused", n)
	}
	if n := refused(newRequest("/once/x", func(r *Request) { r.Program = "p" })); n != 0 {
		t.Errorf("%d calls are refused", n)
	}
	h.reportLoad(0, 3*time.Second)
	if n := refused(late) + refused(other); n != 0 {
		t.Errorf("%d are refused once the load has dropped", n)
	}
}

// TestNoSheddingWithoutLoadReports: outdated load reports must not cause refusals.
func TestNoSheddingWithoutLoadReports(t *testing.T) {
	h := newOverloadHarness(t)
	h.reportLoad(30, 6*time.Second)
	h.advance(5 * time.Second)
	for range 20 {
		if ticket := h.request(programTurn("/idle/x", nil)); h.lastStep(ticket).Kind == StepRefuse && h.lastStep(ticket).Check == "overload" {
			t.Fatal("refused for an outdated load report")
		}
	}
}

// TestUnrunRequestIsResent: it may exceed the route's limit, but one that may have run must not.
func TestUnrunRequestIsResent(t *testing.T) {
	h := newHarness(t)
	h.node.params.ResendUnrun = true
	h.update("d1:1", listings("app", "a1", "a2", "a3", "a4", "a5", "a6"), 1, tableJSON(1, nil))
	ticket := h.request(newRequest("/again/x", nil))
	seen := map[string]bool{}
	for range 5 {
		id := h.lastStep(ticket).Replica.ID
		if h.lastStep(ticket).Kind != StepSend || seen[id] {
			t.Fatalf("after %v: %+v", seen, h.lastStep(ticket))
		}
		seen[id] = true
		h.outcome(ticket, Outcome{Kind: OutcomeNotRun})
	}
	h.outcome(ticket, Outcome{Kind: OutcomeComplete})
	h.expect(ticket, StepDeliver, 0)
	ticket = h.request(newRequest("/again/x", nil))
	h.outcome(ticket, Outcome{Kind: OutcomeNotRun})
	h.outcome(ticket, Outcome{Kind: OutcomeInterrupted})
	h.outcome(ticket, Outcome{Kind: OutcomeInterrupted})
	h.expect(ticket, StepAbort, 502)
	// If all replicas are full, the request is refused after unrestrictedResends.
	for _, r := range h.node.replicas {
		r.estimate.SetShared(40, 0, time.Hour)
	}
	ticket = h.request(newRequest("/once/x", nil))
	sends := 0
	for ; h.lastStep(ticket).Kind == StepSend; sends++ {
		h.outcome(ticket, Outcome{Kind: OutcomeNotRun})
	}
	if sends != unrestrictedResends {
		t.Errorf("sent to %d full replicas", sends)
	}
	h.expect(ticket, StepRefuse, 503)
}
