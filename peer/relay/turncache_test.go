package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/peer/core"
)

// reachableBytes walks the turns that a node holds, by its cache and by its requests under way.
func reachableBytes(m *Machine) (bytes int64) {
	seen := map[*turn]bool{}
	add := func(t *turn) {
		if t != nil && !seen[t] {
			seen[t] = true
			bytes += t.size()
		}
	}
	for _, t := range m.cache.turns {
		add(t)
	}
	for _, req := range m.active {
		for _, t := range req.history {
			add(t)
		}
	}
	return bytes
}

// storeChain stores a conversation in the cores, as another node would, and returns its last turn.
func (h *harness) storeChain(name string, turns, bytes int) string {
	var previous []string
	for i := range turns {
		attempt := fmt.Sprintf("%s-%d", name, i)
		h.storedTurns[attempt] = core.StoreTurn{Tenant: "t1", Attempt: attempt, Previous: append([]string(nil), previous...), Input: make([]byte, bytes), Output: []byte("o\n")}
		previous = append(previous, attempt)
	}
	return previous[len(previous)-1]
}

// continueFrom adds a turn to a stored conversation, as another node would.
func (h *harness) continueFrom(previous, attempt string) {
	before := h.storedTurns[previous]
	h.storedTurns[attempt] = core.StoreTurn{Tenant: "t1", Attempt: attempt, Previous: append(append([]string(nil), before.Previous...), previous), Input: []byte("i"), Output: []byte("o\n")}
}

func (h *harness) continueTurn(previous string) uint64 {
	return h.request(newRequest("/chat/x", func(r *Request) { r.Previous = previous }))
}

func (h *harness) complete(ticket uint64) {
	h.t.Helper()
	h.outcome(ticket, Outcome{Kind: OutcomeComplete, Events: 1, Started: true, Output: []byte("o\n")})
	h.expect(ticket, StepDeliver, 0)
}

// TestHelpersShareOneHistory guards against a copy of the whole history for each helper's turn that this
// node reads, none of which is counted.
func TestHelpersShareOneHistory(t *testing.T) {
	const turnBytes, turns = 10_000, 20
	h := newHarness(t)
	h.start()
	last := h.storeChain("main", turns, turnBytes)
	for i := range 100 {
		helper := fmt.Sprint("helper-", i)
		h.continueFrom(last, helper)
		h.complete(h.continueTurn(helper))
	}
	if held := reachableBytes(h.node); held > 2*turns*turnBytes || held != h.node.cache.bytes {
		t.Errorf("%d bytes are held and %d counted, the history has %d", held, h.node.cache.bytes, turns*turnBytes)
	}
}

// TestHeldTurnsAreCounted checks the counts against a walk of all that is held, after random requests on a
// small cache.
func TestHeldTurnsAreCounted(t *testing.T) {
	h := newHarness(t)
	h.node.cache = newTurnCache(40_000, 60_000)
	h.start()
	random := rand.New(rand.NewPCG(4, 4))
	var last []string
	for i := range 6 {
		last = append(last, h.storeChain(fmt.Sprint("chain", i), 1+random.IntN(8), 1+random.IntN(5000)))
	}
	var open []uint64
	for i := range 400 {
		switch chain := random.IntN(len(last)); random.IntN(3) {
		case 0:
			if ticket := h.continueTurn(last[chain]); h.lastStep(ticket).Kind == StepSend {
				open = append(open, ticket)
			}
		case 1:
			next := fmt.Sprint("next-", i)
			h.continueFrom(last[chain], next)
			last[chain] = next
		case 2:
			if len(open) > 0 {
				n := random.IntN(len(open))
				h.complete(open[n])
				open = append(open[:n], open[n+1:]...)
			}
			h.advance(time.Duration(random.IntN(100)) * time.Millisecond)
		}
		cache := h.node.cache
		if cache.bytes > cache.maxBytes || reachableBytes(h.node) > cache.bytes+cache.usedBytes {
			t.Fatalf("step %d: %d bytes are held, %d cached, %d in use", i, reachableBytes(h.node), cache.bytes, cache.usedBytes)
		}
	}
	for _, ticket := range open {
		h.lastStep(ticket)
		h.outcome(ticket, Outcome{Kind: OutcomeInterrupted, RequesterDisconnected: true})
	}
	if held := reachableBytes(h.node); h.node.cache.usedBytes != 0 || held != h.node.cache.bytes {
		t.Errorf("%d bytes are held, %d cached and %d in use by no request", held, h.node.cache.bytes, h.node.cache.usedBytes)
	}
}

// TestHistoryIsReadOnceForHelpers guards against a read of the whole history by each of several helpers
// that begin at once.
func TestHistoryIsReadOnceForHelpers(t *testing.T) {
	const turns, helpers = 5, 10
	h := newHarness(t)
	h.start()
	last := h.storeChain("main", turns, 1000)
	h.coresSilent = true
	var tickets []uint64
	for range helpers {
		tickets = append(tickets, h.continueTurn(last))
	}
	h.coresSilent = false
	h.advance(2 * h.node.params.Core.AttemptTimeout)
	for _, ticket := range tickets {
		h.expect(ticket, StepSend, 0)
		if got := len(h.lastStep(ticket).History); got != 2*turns {
			t.Errorf("a request is sent with %d parts of its history, not %d", got, 2*turns)
		}
	}
	if h.node.turnReads != turns {
		t.Errorf("%d reads of a history of %d turns", h.node.turnReads, turns)
	}
}

// TestLaterReaderOutlivesAnUnansweredRead guards against a request that is refused because the read that it
// shares was begun by one with less time.
func TestLaterReaderOutlivesAnUnansweredRead(t *testing.T) {
	h := newHarness(t)
	h.start()
	last := h.storeChain("main", 2, 100)
	h.coresSilent = true
	short := h.request(newRequest("/chat/x", func(r *Request) { r.Previous, r.Remaining = last, 400*time.Millisecond }))
	long := h.continueTurn(last)
	h.delayedResults = nil // the answers are lost
	h.advance(250 * time.Millisecond)
	h.expect(short, StepRefuse, 503)
	h.coresSilent = false
	h.advance(500 * time.Millisecond)
	h.expect(long, StepSend, 0)
}

// TestHistoriesUnderWayAreBounded guards against requests under way whose histories take more than their
// part of the memory. They are refused before they run.
func TestHistoriesUnderWayAreBounded(t *testing.T) {
	h := newHarness(t)
	h.node.cache = newTurnCache(0, 10_000)
	h.start()
	first, second := h.storeChain("first", 3, 4000), h.storeChain("second", 3, 4000)
	running := h.continueTurn(first)
	h.expect(running, StepSend, 0)
	refused := h.continueTurn(second)
	h.expect(refused, StepRefuse, 503)
	if last := h.completions[len(h.completions)-1]; last.Cause != CauseHistoryRoom || last.MayHaveRun {
		t.Errorf("%+v", last)
	}
	h.complete(running)
	h.expect(h.continueTurn(second), StepSend, 0)
	if h.node.cache.bytes != 0 {
		t.Errorf("%d bytes in a cache of none", h.node.cache.bytes)
	}
}
