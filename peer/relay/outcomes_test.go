package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/rule/route"
)

type openAttempt struct {
	ticket  uint64
	replica string
}

// requestTrace is one request as its replicas and its requester see it.
type requestTrace struct {
	path string
	// ran counts the replicas that may have run it, reached those that received it; replicas lists
	// all that it was sent to, in order.
	ran, reached       int
	replicas           []string
	started, completed bool
}

// randomDriver sends requests through a node and answers them with random outcomes.
type randomDriver struct {
	*harness
	random       *rand.Rand
	traces       map[uint64]*requestTrace
	openAttempts []openAttempt
	consumed     map[uint64]int
}

func (d *randomDriver) collect() {
	for ticket, trace := range d.traces {
		for ; d.consumed[ticket] < len(d.steps[ticket]); d.consumed[ticket]++ {
			d.step(ticket, trace, d.steps[ticket][d.consumed[ticket]])
		}
	}
}

func (d *randomDriver) step(ticket uint64, trace *requestTrace, s Step) {
	if trace.completed {
		d.t.Fatalf("request %d has a step after its end: %+v", ticket, s)
	}
	if s.Kind == StepSend {
		trace.replicas = append(trace.replicas, s.Replica.ID)
		d.openAttempts = append(d.openAttempts, openAttempt{ticket: ticket, replica: s.Replica.ID})
		return
	}
	trace.completed = true
	if s.Kind == StepRefuse && trace.ran > 0 {
		d.t.Fatalf("request %d to %s was refused with %d after it ran %d times", ticket, trace.path, s.Status, trace.ran)
	}
}

func (d *randomDriver) answer() {
	at := d.random.IntN(len(d.openAttempts))
	one := d.openAttempts[at]
	d.openAttempts = append(d.openAttempts[:at], d.openAttempts[at+1:]...)
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
	if o.RequesterDisconnected && !trace.completed {
		d.t.Fatalf("request %d continues although its requester has disconnected", one.ticket)
	}
}

func (d *randomDriver) randomOutcome(trace *requestTrace) Outcome {
	o := Outcome{RequesterDisconnected: d.random.IntN(12) == 0, NewConnection: d.random.IntN(3) == 0}
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

// TestRandomOutcomes: no request runs more often than allowed or is refused after it may have run.
func TestRandomOutcomes(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := newHarness(t)
			h.start()
			d := &randomDriver{harness: h, random: rand.New(rand.NewPCG(seed, 3)), traces: map[uint64]*requestTrace{}, consumed: map[uint64]int{}}
			for range 250 {
				d.act()
			}
			for len(d.openAttempts) > 0 {
				d.answer()
			}
			h.advance(5 * time.Second)
			d.collect()
			d.check()
		})
	}
}

func (d *randomDriver) act() {
	switch at := d.random.IntN(10); {
	case at < 5:
		path := []string{"/chat/x", "/once/x", "/again/x"}[d.random.IntN(3)]
		ticket := d.request(newRequest(path, nil))
		d.traces[ticket] = &requestTrace{path: path}
		d.collect()
	case at < 9 && len(d.openAttempts) > 0:
		d.answer()
	default:
		d.advance(time.Duration(d.random.IntN(200)) * time.Millisecond)
		d.collect()
	}
}

// check compares each trace with its route, and expects no slots in use.
func (d *randomDriver) check() {
	maxReached := map[string]int{"/chat/x": 2, "/once/x": 3, "/again/x": 2}
	for ticket, trace := range d.traces {
		if !trace.completed {
			d.t.Errorf("request %d to %s never ended", ticket, trace.path)
		}
		if trace.ran > 1 && trace.path != "/again/x" {
			d.t.Errorf("request %d to %s ran %d times", ticket, trace.path, trace.ran)
		}
		if trace.reached > maxReached[trace.path] {
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
	for id, chosen := range d.node.replicas {
		if n := chosen.estimate.Outstanding; n != 0 {
			d.t.Errorf("%s has %d outstanding requests with none in progress", id, n)
		}
	}
	if len(d.node.active) != 0 {
		d.t.Errorf("%d requests are still in progress", len(d.node.active))
	}
}

// TestAttemptsAfterInterruptedResponses: they count against the route's limit.
func TestAttemptsAfterInterruptedResponses(t *testing.T) {
	for _, o := range []Outcome{{Kind: OutcomeInterrupted}, {Kind: OutcomeNotRun}} {
		h := newHarness(t)
		h.start()
		ticket := h.request(newRequest("/again/x", nil))
		tries := 0
		for ; h.lastStep(ticket).Kind == StepSend; tries++ {
			h.outcome(ticket, o)
		}
		if tries != 2 {
			t.Errorf("%s: %d attempts; the route allows 2", o.Kind, tries)
		}
	}
}

// TestRetryIsChargedToTenantRate: an attempt after an interrupted one needs another unit.
func TestRetryIsChargedToTenantRate(t *testing.T) {
	for _, c := range []struct{ burst, sends int }{{1, 1}, {100, 2}} {
		h := newHarness(t)
		h.update("d1:1", listings("app", "a1", "a2", "a3"), 1, tableJSON(1, func(t *route.Table) { t.Tenants[0].Rate, t.Tenants[0].Burst = 0.001, float64(c.burst) }))
		ticket := h.request(newRequest("/again/x", nil))
		sends := 0
		for ; h.lastStep(ticket).Kind == StepSend; sends++ {
			h.outcome(ticket, Outcome{Kind: OutcomeInterrupted})
		}
		if sends != c.sends {
			t.Errorf("%d attempts with a burst of %d", sends, c.burst)
		}
		h.expect(ticket, StepAbort, 502)
	}
}
