package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/route"
)

// sharedRateTest simulates one tenant's rate shared by many nodes with one ledger.
type sharedRateTest struct {
	t      *testing.T
	random *rand.Rand
	nodes  []*harness
	// sent holds the times of requests sent to replicas, pending the outstanding responses.
	sent    []time.Duration
	pending []pendingOutcome
	// refused counts refusals for the rate, refusedWithRoom those that the window had room for.
	requests, refused, refusedWithRoom int
}

// pendingOutcome is the time at which a replica responds to a request.
type pendingOutcome struct {
	at     time.Duration
	node   *harness
	ticket uint64
}

const sharedRateTick = 10 * time.Millisecond

// newSharedRate uses a rate of ten requests a second and a burst of ten.
func newSharedRate(t *testing.T, seed uint64, nodes int) *sharedRateTest {
	st := &sharedRateTest{t: t, random: rand.New(rand.NewPCG(seed, 9))}
	text := tableJSON(1, func(t *route.Table) { t.Tenants[0].Rate, t.Tenants[0].Burst = 10, 10 })
	for i := range nodes {
		h := newHarness(t)
		h.node.incarnation = fmt.Sprint("node", i)
		h.node.params.RateOvershoot, h.node.params.RateSlack = 0.1, 20
		if i > 0 {
			h.ledgers, h.accounts = st.nodes[0].ledgers, st.nodes[0].accounts
		}
		h.update("d1:1", append(listings("model", "m1", "m2"), listings("app", "a1", "a2", "a3")...), 1, text)
		h.node.nodeCount = nodes
		st.nodes = append(st.nodes, h)
	}
	return st
}

func (st *sharedRateTest) sentInWindow(now time.Duration) int {
	n := 0
	for i := len(st.sent) - 1; i >= 0 && st.sent[i] > now-5*time.Second; i-- {
		n++
	}
	return n
}

func (st *sharedRateTest) request(r Request) {
	h := st.nodes[st.random.IntN(len(st.nodes))]
	h.request(r)
	st.requests++
}

func (st *sharedRateTest) collect(now time.Duration) {
	limit := int(st.nodes[0].node.limitOf(&route.Tenant{Rate: 10, Burst: 10}).Max)
	for _, h := range st.nodes {
		for ticket, steps := range h.steps {
			for _, step := range steps {
				switch {
				case step.Kind == StepSend:
					st.sent = append(st.sent, now)
					st.pending = append(st.pending, pendingOutcome{at: now + 100*time.Millisecond, node: h, ticket: ticket})
				case step.Kind == StepRefuse && step.Status == 429:
					st.refused++
					// The ledger's time slices are a twentieth of a window.
					if st.sentInWindow(now+250*time.Millisecond) < limit*9/10 {
						st.refusedWithRoom++
					}
				}
			}
			delete(h.steps, ticket)
		}
	}
	remaining := st.pending[:0]
	for _, e := range st.pending {
		if now < e.at {
			remaining = append(remaining, e)
			continue
		}
		e.node.outcome(e.ticket, Outcome{Kind: OutcomeComplete, Status: 200, Events: 1, Started: true})
	}
	st.pending = remaining
}

// run simulates a period with rates of calls and of turns of a program whose budget is spent.
func (st *sharedRateTest) run(length time.Duration, calls, spentTurns float64) {
	arrives := func(rate float64) bool { return st.random.Float64() < rate*sharedRateTick.Seconds() }
	for end := st.nodes[0].now + length; st.nodes[0].now < end; {
		for _, h := range st.nodes {
			h.now += sharedRateTick
			h.apply(h.node.Tick(h.now))
		}
		if arrives(calls) {
			st.request(newRequest("/once/x", nil))
		}
		if arrives(spentTurns) {
			st.request(newRequest("/chat/x", func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens = "runaway", 100, 50 }))
		}
		st.collect(st.nodes[0].now)
	}
}

// TestRateIsNotRefusedWhileWindowHasRoom: units held in advance, and requests that reach no
// replica, must reduce a small shared rate only briefly.
func TestRateIsNotRefusedWhileWindowHasRoom(t *testing.T) {
	for _, c := range []struct {
		name              string
		nodes             int
		calls, spentTurns float64
	}{
		// The limit of a window is 82 requests, or 16 a second.
		{"few nodes", 5, 12, 0},
		{"many nodes", 55, 12, 0},
		{"hundreds of nodes", 250, 12, 0},
		{"a program that continues after its budget is spent", 55, 10, 10},
	} {
		asked, refused, refusedWithRoom := 0, 0, 0
		for seed := uint64(1); seed <= 3; seed++ {
			st := newSharedRate(t, seed, c.nodes)
			reservation := core.ReserveTurn{Program: "runaway", Attempt: "all", MaxTokens: 100, Budget: 100}
			st.nodes[0].answer(reservation)
			st.run(20*time.Second, c.calls, c.spentTurns)
			asked, refused, refusedWithRoom = asked+st.requests, refused+st.refused, refusedWithRoom+st.refusedWithRoom
		}
		t.Logf("%s: of %d requests %d are refused for the rate, %d while the window has room", c.name, asked, refused, refusedWithRoom)
		if refusedWithRoom*200 > asked {
			t.Errorf("%s: %d of %d requests are refused while the window has room", c.name, refusedWithRoom, asked)
		}
	}
}
