package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/rule/route"
)

// sending is a request that a replica has and that is not answered yet.
type openAttempt struct {
	ticket  uint64
	replica string
}

// journey is what became of one request, as its replicas and its requester saw
// it.
type requestTrace struct {
	path string
	// ran counts the replicas that may have run it; asked are all that it was
	// sent to, in order, and reached is how many of them it reached.
	ran, reached       int
	replicas           []string
	started, completed bool
}

// traveller drives requests through a node by random outcomes.
type randomDriver struct {
	*harness
	random   *rand.Rand
	traces   map[uint64]*requestTrace
	open     []openAttempt
	consumed map[uint64]int
}

// collect takes the steps that the node has made since it was last called.
func (d *randomDriver) collect() {
	for ticket, trace := range d.traces {
		for ; d.consumed[ticket] < len(d.steps[ticket]); d.consumed[ticket]++ {
			d.step(ticket, trace, d.steps[ticket][d.consumed[ticket]])
		}
	}
}

func (d *randomDriver) step(ticket uint64, trace *requestTrace, s Step) {
	if trace.completed {
		d.t.Fatalf("request %d goes on after its end: %+v", ticket, s)
	}
	if s.Kind == StepSend {
		trace.replicas = append(trace.replicas, s.Replica.ID)
		d.open = append(d.open, openAttempt{ticket: ticket, replica: s.Replica.ID})
		return
	}
	trace.completed = true
	if s.Kind == StepRefuse && trace.ran > 0 {
		d.t.Fatalf("request %d to %s was refused with %d after it ran %d times", ticket, trace.path, s.Status, trace.ran)
	}
}

// answer ends one open sending by a random outcome.
func (d *randomDriver) answer() {
	at := d.random.IntN(len(d.open))
	one := d.open[at]
	d.open = append(d.open[:at], d.open[at+1:]...)
	trace := d.traces[one.ticket]
	o := d.randomOutcome(trace)
	if o.Kind != OutcomeNotRun {
		trace.ran++
	}
	if !o.Unreachable && !o.AddressReused {
		trace.reached++
	}
	d.outcome(one.ticket, o)
	d.collect()
	if o.RequesterGone && !trace.completed {
		d.t.Fatalf("request %d goes on, though nobody waits for it", one.ticket)
	}
}

func (d *randomDriver) randomOutcome(trace *requestTrace) Outcome {
	o := Outcome{RequesterGone: d.random.IntN(12) == 0, NewConnection: d.random.IntN(3) == 0}
	switch d.random.IntN(6) {
	case 0:
		o.Kind, o.Unreachable = OutcomeNotRun, true
	case 1:
		o.Kind, o.AddressReused = OutcomeNotRun, true
	case 2:
		o.Kind, o.Load = OutcomeNotRun, &Load{Running: 4, Waiting: d.random.Int64N(3), Slots: 4}
	case 3:
		o.Kind = OutcomeInterrupted
		if trace.path == "/chat/x" && (trace.started || d.random.IntN(2) == 0) {
			trace.started, o.Started, o.Events = true, true, d.random.Int64N(4)
		}
	default:
		o.Kind, o.Load = OutcomeComplete, &Load{Running: d.random.Int64N(5), Slots: 4}
		o.Failed = d.random.IntN(4) == 0
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
			h := newHarness(t)
			h.start()
			d := &randomDriver{harness: h, random: rand.New(rand.NewPCG(seed, 3)), traces: map[uint64]*requestTrace{}, consumed: map[uint64]int{}}
			for range 250 {
				d.act()
			}
			for len(d.open) > 0 {
				d.answer()
			}
			h.advance(5 * time.Second)
			d.collect()
			d.check()
		})
	}
}

// move lets a request arrive, answers one, or lets time pass.
func (d *randomDriver) act() {
	switch at := d.random.IntN(10); {
	case at < 5:
		path := []string{"/chat/x", "/once/x", "/again/x"}[d.random.IntN(3)]
		ticket := d.request(newRequest(path, nil))
		d.traces[ticket] = &requestTrace{path: path}
		d.collect()
	case at < 9 && len(d.open) > 0:
		d.answer()
	default:
		d.advance(time.Duration(d.random.IntN(200)) * time.Millisecond)
		d.collect()
	}
}

// check holds each journey against its route, and the node's books of places
// against none in use.
func (d *randomDriver) check() {
	tries := map[string]int{"/chat/x": 2, "/once/x": 3, "/again/x": 2}
	for ticket, trace := range d.traces {
		if !trace.completed {
			d.t.Errorf("request %d to %s never ended", ticket, trace.path)
		}
		if trace.ran > 1 && trace.path != "/again/x" {
			d.t.Errorf("request %d to %s ran %d times", ticket, trace.path, trace.ran)
		}
		if trace.reached > tries[trace.path] {
			d.t.Errorf("request %d to %s reached %d replicas", ticket, trace.path, trace.reached)
		}
		seen := map[string]bool{}
		for _, id := range trace.replicas {
			if seen[id] {
				d.t.Errorf("request %d was sent to %s twice", ticket, id)
			}
			seen[id] = true
		}
	}
	for id, chosen := range d.m.replicas {
		if n := chosen.estimate.Outstanding; n != 0 {
			d.t.Errorf("%s has %d places taken with nothing under way", id, n)
		}
	}
	if len(d.m.active) != 0 {
		d.t.Errorf("%d requests are still noted", len(d.m.active))
	}
}

// TestTriesAfterBrokenAnswers: a request that may run again goes to no more replicas
// than its route allows, however they break off.
func TestAttemptsAfterInterruptedAnswers(t *testing.T) {
	for _, o := range []Outcome{{Kind: OutcomeInterrupted}, {Kind: OutcomeNotRun}} {
		h := newHarness(t)
		h.start()
		w := h.request(newRequest("/again/x", nil))
		tries := 0
		for ; h.last(w).Kind == StepSend; tries++ {
			h.outcome(w, o)
		}
		if tries != 2 {
			t.Errorf("%s: %d tries; the route allows 2", o.Kind, tries)
		}
	}
}

// TestFurtherTryIsPaid: another run is another request of the tenant's, so one whose
// rate has nothing left gets none.
func TestRetryIsChargedToTenantRate(t *testing.T) {
	for _, c := range []struct{ most, sendings int }{{1, 1}, {100, 2}} {
		h := newHarness(t)
		h.update("d1:1", listings("app", "a1", "a2", "a3"), 1, tableJSON(1, func(t *route.Table) { t.Tenants[0].Rate, t.Tenants[0].Burst = 0.001, float64(c.most) }))
		w := h.request(newRequest("/again/x", nil))
		sendings := 0
		for ; h.last(w).Kind == StepSend; sendings++ {
			h.outcome(w, Outcome{Kind: OutcomeInterrupted})
		}
		if sendings != c.sendings {
			t.Errorf("%d runs with a rate of %d", sendings, c.most)
		}
		h.expect(w, StepAbort, 502)
	}
}
