package relay

import (
	"testing"
	"time"

	"saffronfall/peer/desk"
)

// TestLeavingOutlivesItsDesk: a replica said at one desk that it leaves. The desk
// falls silent, and another one, which heard of the replica before that and hears a
// late word of it, tells of it as though it stayed. It is not chosen again.
func TestLeavingIsRememberedAfterDeskIsSilent(t *testing.T) {
	for name, last := range map[string]func(l *desk.Listed){
		"leaving": func(l *desk.Listed) { l.Replica.Leaving, l.Replica.Call = true, 2 },
		"gone":    func(l *desk.Listed) { l.Gone, l.Final = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.update("d1:1", listings("app", "a1"), 1, tableJSON(1, nil))
			h.update("d2:1", listings("app", "a1"), 1, nil)
			word := listings("app", "a1")
			last(&word[0])
			h.update("d1:1", word, 1, nil)
			for range 10 {
				h.advance(lostHeartbeats * h.m.params.HeartbeatInterval / 5)
				h.update("d2:1", listings("app", "a1"), 1, nil)
			}
			w := h.request(newRequest("/again/x", func(r *Request) { r.Remaining = 200 * time.Millisecond }))
			if s := h.last(w); s.Kind == StepSend {
				t.Fatalf("sent to %s, which said that it leaves", s.Replica.ID)
			}
		})
	}
}

// TestLeavingIsRememberedWhileItIsTold: a replica may take long to leave.
func TestLeavingIsRememberedWhileListed(t *testing.T) {
	h := newHarness(t)
	word := listings("app", "a1")
	word[0].Replica.Leaving = true
	h.update("d1:1", word, 1, tableJSON(1, nil))
	for range 3 * departedHeartbeats {
		h.advance(h.m.params.HeartbeatInterval)
		h.update("d1:1", nil, 1, nil)
	}
	if s := h.last(h.request(newRequest("/again/x", func(r *Request) { r.Remaining = 200 * time.Millisecond }))); s.Kind == StepSend {
		t.Fatalf("sent to %s, which leaves", s.Replica.ID)
	}
	// Once nobody tells of it any more, it is forgotten.
	delete(h.m.desks["d1:1"].replicas, "a1")
	h.advance((departedHeartbeats + 1) * h.m.params.HeartbeatInterval)
	if len(h.m.departed) != 0 {
		t.Fatalf("remembers %v", h.m.departed)
	}
}

// TestNodeForgetsDesksThatAreGone: desks are replaced at new addresses. One that has
// been silent for long while another speaks is no longer asked, unless it is a seed;
// while none speaks, none is forgotten.
func TestNodeDropsSilentDesks(t *testing.T) {
	h := newHarness(t)
	h.update("d1:1", listings("app", "a1"), 1, tableJSON(1, nil))
	h.update("d2:1", nil, 1, nil)
	asked := func(address string) bool {
		for _, s := range h.m.Tick(h.now + h.m.params.UpdateInterval).Sends {
			if _, follows := s.Body.(desk.Follow); follows && s.To == address {
				return true
			}
		}
		return false
	}
	h.advance(2 * departedHeartbeats * h.m.params.HeartbeatInterval)
	if !asked("d2:1") {
		t.Fatal("forgotten while no desk speaks")
	}
	for range 2 * departedHeartbeats {
		h.advance(h.m.params.HeartbeatInterval)
		h.update("d1:1", nil, 1, nil)
	}
	if asked("d2:1") || h.m.desks["d2:1"] != nil {
		t.Fatal("a desk that is gone is still asked")
	}
	h.update("d3:1", nil, 1, nil)
	for range 2 * departedHeartbeats {
		h.advance(h.m.params.HeartbeatInterval)
		h.update("d3:1", nil, 1, nil)
	}
	if !asked("d1:1") {
		t.Fatal("a seed is no longer asked")
	}
}

// TestDeskThatNeverSpokeHidesNothing: a desk that is only told of is no sign that
// desks speak; what the silent one told still counts.
func TestUnheardDeskHidesNoReplicas(t *testing.T) {
	h := newHarness(t)
	h.update("d1:1", listings("app", "a1"), 1, tableJSON(1, nil))
	h.advance((lostHeartbeats - 1) * h.m.params.HeartbeatInterval)
	h.m.deskAddresses = append(h.m.deskAddresses, "d9:1")
	h.advance(2 * h.m.params.HeartbeatInterval)
	h.expect(h.request(newRequest("/once/x", nil)), StepSend, 0)
}
