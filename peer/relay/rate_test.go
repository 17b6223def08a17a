package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/route"
)

// sharedRate is one tenant's rate at many nodes before one ledger.
type sharedRateTest struct {
	t      *testing.T
	random *rand.Rand
	nodes  []*harness
	// sent tells when requests were sent to replicas, of which ends those under way.
	sent        []time.Duration
	completions []pendingOutcome
	// refused counts requests that were refused for the rate, wrongly those of them that
	// found room in the window.
	asked, refused, wrongly int
}

// endOf is when a replica answers a request.
type pendingOutcome struct {
	at     time.Duration
	node   *harness
	ticket uint64
}

const sharedRateStep = 10 * time.Millisecond

// newSharedRate lays out nodes, and a tenant that may send ten requests a second and as
// many at once.
func newSharedRate(t *testing.T, seed uint64, nodes int) *sharedRateTest {
	s := &sharedRateTest{t: t, random: rand.New(rand.NewPCG(seed, 9))}
	text := tableJSON(1, func(t *route.Table) { t.Tenants[0].Rate, t.Tenants[0].Burst = 10, 10 })
	for i := range nodes {
		h := newHarness(t)
		h.m.incarnation = fmt.Sprint("node", i)
		h.m.params.RateOvershoot, h.m.params.RateSlack = 0.1, 20
		if i > 0 {
			h.ledgers, h.books = s.nodes[0].ledgers, s.nodes[0].books
		}
		h.update("d1:1", append(listings("model", "m1", "m2"), listings("app", "a1", "a2", "a3")...), 1, text)
		h.m.nodes = nodes
		s.nodes = append(s.nodes, h)
	}
	return s
}

// window counts what was sent in the last window.
func (s *sharedRateTest) window(now time.Duration) int {
	n := 0
	for i := len(s.sent) - 1; i >= 0 && s.sent[i] > now-5*time.Second; i-- {
		n++
	}
	return n
}

// ask brings one request to a node drawn by chance.
func (s *sharedRateTest) request(r Request) {
	h := s.nodes[s.random.IntN(len(s.nodes))]
	h.request(r)
	s.asked++
}

// look takes what nodes decided since the last look: sendings are answered later.
func (s *sharedRateTest) collect(now time.Duration) {
	limit := int(s.nodes[0].m.limitOf(&route.Tenant{Rate: 10, Burst: 10}).Max)
	for _, h := range s.nodes {
		for ticket, steps := range h.steps {
			for _, step := range steps {
				switch {
				case step.Kind == StepSend:
					s.sent = append(s.sent, now)
					s.completions = append(s.completions, pendingOutcome{at: now + 100*time.Millisecond, node: h, ticket: ticket})
				case step.Kind == StepRefuse && step.Status == 429:
					s.refused++
					// A slice of the ledger's is a twentieth of a window.
					if s.window(now+250*time.Millisecond) < limit*9/10 {
						s.wrongly++
					}
				}
			}
			delete(h.steps, ticket)
		}
	}
	kept := s.completions[:0]
	for _, e := range s.completions {
		if now < e.at {
			kept = append(kept, e)
			continue
		}
		e.node.outcome(e.ticket, Outcome{Kind: OutcomeComplete, Status: 200, Events: 1, Started: true})
	}
	s.completions = kept
}

// live lets time pass, with calls at a rate, and turns of a program whose budget is spent
// at another.
func (s *sharedRateTest) run(length time.Duration, calls, spentTurns float64) {
	come := func(rate float64) bool { return s.random.Float64() < rate*sharedRateStep.Seconds() }
	for end := s.nodes[0].now + length; s.nodes[0].now < end; {
		for _, h := range s.nodes {
			h.now += sharedRateStep
			h.apply(h.m.Tick(h.now))
		}
		if come(calls) {
			s.request(newRequest("/once/x", nil))
		}
		if come(spentTurns) {
			s.request(newRequest("/chat/x", func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens = "runaway", 100, 50 }))
		}
		s.collect(s.nodes[0].now)
	}
}

// TestRateIsNotRefusedWhileItsWindowHasRoom: a small tenant's rate, drawn by many nodes,
// goes to those who need it. What nodes hold beforehand, and requests that reach no
// replica, take nothing of it for long.
func TestRateIsNotRefusedWhileWindowHasRoom(t *testing.T) {
	for _, c := range []struct {
		name              string
		nodes             int
		calls, spentTurns float64
	}{
		// A window may hold 82 requests: 16 a second.
		{"few nodes", 5, 12, 0},
		{"many nodes", 55, 12, 0},
		{"hundreds of nodes", 250, 12, 0},
		{"a program whose budget is spent goes on asking", 55, 10, 10},
	} {
		asked, refused, wrongly := 0, 0, 0
		for seed := uint64(1); seed <= 3; seed++ {
			s := newSharedRate(t, seed, c.nodes)
			runaway := core.ReserveTurn{Program: "runaway", Attempt: "all", Most: 100, Budget: 100}
			s.nodes[0].answer(runaway)
			s.run(20*time.Second, c.calls, c.spentTurns)
			asked, refused, wrongly = asked+s.asked, refused+s.refused, wrongly+s.wrongly
		}
		t.Logf("%s: of %d requests %d are refused for the rate, %d while the window has room", c.name, asked, refused, wrongly)
		if wrongly*200 > asked {
			t.Errorf("%s: %d of %d requests are refused while the window has room", c.name, wrongly, asked)
		}
	}
}
