package relay

import (
	"testing"
	"time"

	"saffronfall/peer/core"
)

func turnOf(bytes int) Request {
	return newRequest("/chat/x", func(r *Request) { r.Input = make([]byte, bytes) })
}

// TestTurnWithoutRoomIsRefusedBeforeItRuns guards against turns that run and can't be stored: the refusal
// comes before a replica has them.
func TestTurnWithoutRoomIsRefusedBeforeItRuns(t *testing.T) {
	h := newHarness(t)
	h.start()
	ticket := h.request(turnOf(2 * smallTurnBytes))
	h.expect(ticket, StepRefuse, 503)
	if last := h.completions[len(h.completions)-1]; last.Cause != CauseTurnsFull || last.MayHaveRun || h.node.Counters.Sent != 0 {
		t.Errorf("%+v, %d attempts sent", last, h.node.Counters.Sent)
	}
	h.turnRoom.OK = true
	h.expect(h.request(turnOf(2*smallTurnBytes)), StepSend, 0)
}

// TestSmallTurnsClaimRoomInACrowdedPartition guards against many small turns that fill the cores, and
// against a command more for each turn in calm.
func TestSmallTurnsClaimRoomInACrowdedPartition(t *testing.T) {
	h := newHarness(t)
	h.start()
	serve := func() {
		ticket := h.request(turnOf(100))
		h.expect(ticket, StepSend, 0)
		h.outcome(ticket, Outcome{Kind: OutcomeComplete, Events: 1, Started: true, Output: []byte("o\n")})
		h.expect(ticket, StepDeliver, 0)
	}
	serve()
	if h.roomClaims != 0 {
		t.Errorf("%d claims in calm", h.roomClaims)
	}
	h.crowded = true
	for range 20 { // some in each partition
		h.turnRoom = core.TurnRoom{OK: true, Crowded: true}
		serve()
	}
	h.turnRoom = core.TurnRoom{Crowded: true}
	h.expect(h.request(turnOf(100)), StepRefuse, 503)
	h.crowded = false
	h.advance(crowdedFor + time.Second)
	claims := h.roomClaims
	serve()
	if h.roomClaims != claims {
		t.Error("a partition counts as crowded for ever")
	}
}

// TestUnansweredClaimOfRoomIsNotWaitedFor guards against turns that fail beside cores of a former release,
// which don't know the command.
func TestUnansweredClaimOfRoomIsNotWaitedFor(t *testing.T) {
	h := newHarness(t)
	h.start()
	h.coresSilent = true
	ticket := h.request(turnOf(2 * smallTurnBytes))
	h.advance(turnClaimRetries*h.node.params.Core.AttemptTimeout + 50*time.Millisecond)
	h.expect(ticket, StepSend, 0)
}
