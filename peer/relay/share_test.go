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
type sharedRate struct {
	t      *testing.T
	random *rand.Rand
	nodes  []*rig
	// sent tells when requests were sent to replicas, of which ends those under way.
	sent []time.Duration
	ends []endOf
	// refused counts requests that were refused for the rate, wrongly those of them that
	// found room in the window.
	asked, refused, wrongly int
}

// endOf is when a replica answers a request.
type endOf struct {
	at     time.Duration
	node   *rig
	ticket uint64
}

const sharedRateStep = 10 * time.Millisecond

// newSharedRate lays out nodes, and a tenant that may send ten requests a second and as
// many at once.
func newSharedRate(t *testing.T, seed uint64, nodes int) *sharedRate {
	s := &sharedRate{t: t, random: rand.New(rand.NewPCG(seed, 9))}
	text := table(1, func(t *route.Table) { t.Tenants[0].Rate, t.Tenants[0].Burst = 10, 10 })
	for i := range nodes {
		g := newRig(t)
		g.m.life = fmt.Sprint("node", i)
		g.m.params.Overshoot, g.m.params.Slack = 0.1, 20
		if i > 0 {
			g.ledgers, g.books = s.nodes[0].ledgers, s.nodes[0].books
		}
		g.hear("d1:1", append(replicas("model", "m1", "m2"), replicas("app", "a1", "a2", "a3")...), 1, text)
		g.m.nodes = nodes
		s.nodes = append(s.nodes, g)
	}
	return s
}

// window counts what was sent in the last window.
func (s *sharedRate) window(now time.Duration) int {
	n := 0
	for i := len(s.sent) - 1; i >= 0 && s.sent[i] > now-5*time.Second; i-- {
		n++
	}
	return n
}

// ask brings one request to a node drawn by chance.
func (s *sharedRate) ask(a Ask) {
	g := s.nodes[s.random.IntN(len(s.nodes))]
	g.arrive(a)
	s.asked++
}

// look takes what nodes decided since the last look: sendings are answered later.
func (s *sharedRate) look(now time.Duration) {
	limit := int(s.nodes[0].m.limitOf(&route.Tenant{Rate: 10, Burst: 10}).Max)
	for _, g := range s.nodes {
		for ticket, steps := range g.steps {
			for _, step := range steps {
				switch {
				case step.Kind == StepSend:
					s.sent = append(s.sent, now)
					s.ends = append(s.ends, endOf{at: now + 100*time.Millisecond, node: g, ticket: ticket})
				case step.Kind == StepRefuse && step.Status == 429:
					s.refused++
					// A slice of the ledger's is a twentieth of a window.
					if s.window(now+250*time.Millisecond) < limit*9/10 {
						s.wrongly++
					}
				}
			}
			delete(g.steps, ticket)
		}
	}
	kept := s.ends[:0]
	for _, e := range s.ends {
		if now < e.at {
			kept = append(kept, e)
			continue
		}
		e.node.came(e.ticket, Outcome{Kind: Whole, Status: 200, Events: 1, Begun: true})
	}
	s.ends = kept
}

// live lets time pass, with calls at a rate, and turns of a program whose budget is spent
// at another.
func (s *sharedRate) live(length time.Duration, calls, spentTurns float64) {
	come := func(rate float64) bool { return s.random.Float64() < rate*sharedRateStep.Seconds() }
	for end := s.nodes[0].now + length; s.nodes[0].now < end; {
		for _, g := range s.nodes {
			g.now += sharedRateStep
			g.take(g.m.Tick(g.now))
		}
		if come(calls) {
			s.ask(ask("/once/x", nil))
		}
		if come(spentTurns) {
			s.ask(ask("/chat/x", func(a *Ask) { a.Program, a.Budget, a.Most = "runaway", 100, 50 }))
		}
		s.look(s.nodes[0].now)
	}
}

// TestRateIsNotRefusedWhileItsWindowHasRoom: a small tenant's rate, drawn by many nodes,
// goes to those who need it. What nodes hold beforehand, and requests that reach no
// replica, take nothing of it for long.
func TestRateIsNotRefusedWhileItsWindowHasRoom(t *testing.T) {
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
			runaway := core.ReserveTurn{Program: "runaway", Attempt: "all", MaxTokens: 100, Budget: 100}
			s.nodes[0].answer(runaway)
			s.live(20*time.Second, c.calls, c.spentTurns)
			asked, refused, wrongly = asked+s.asked, refused+s.refused, wrongly+s.wrongly
		}
		t.Logf("%s: of %d requests %d are refused for the rate, %d while the window has room", c.name, asked, refused, wrongly)
		if wrongly*200 > asked {
			t.Errorf("%s: %d of %d requests are refused while the window has room", c.name, wrongly, asked)
		}
	}
}
