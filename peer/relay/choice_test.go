package relay

import (
	"testing"
	"time"

	"saffronfall/peer/desk"
)

// TestLeavingOutlivesItsDesk: a replica said at one desk that it leaves. The desk
// falls silent, and another one, which heard of the replica before that and hears a
// late word of it, tells of it as though it stayed. It is not chosen again.
func TestLeavingOutlivesItsDesk(t *testing.T) {
	for name, last := range map[string]func(l *desk.ReplicaEntry){
		"leaving": func(l *desk.ReplicaEntry) { l.Replica.Leaving, l.Replica.Sequence = true, 2 },
		"gone":    func(l *desk.ReplicaEntry) { l.Gone, l.Final = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t)
			g.hear("d1:1", replicas("app", "a1"), 1, table(1, nil))
			g.hear("d2:1", replicas("app", "a1"), 1, nil)
			word := replicas("app", "a1")
			last(&word[0])
			g.hear("d1:1", word, 1, nil)
			for range 10 {
				g.pass(lostBeats * g.m.params.Beat / 5)
				g.hear("d2:1", replicas("app", "a1"), 1, nil)
			}
			w := g.arrive(ask("/again/x", func(a *Ask) { a.Left = 200 * time.Millisecond }))
			if s := g.last(w); s.Kind == StepSend {
				t.Fatalf("sent to %s, which said that it leaves", s.Replica.ID)
			}
		})
	}
}

// TestLeavingIsRememberedWhileItIsTold: a replica may take long to leave.
func TestLeavingIsRememberedWhileItIsTold(t *testing.T) {
	g := newRig(t)
	word := replicas("app", "a1")
	word[0].Replica.Leaving = true
	g.hear("d1:1", word, 1, table(1, nil))
	for range 3 * departedBeats {
		g.pass(g.m.params.Beat)
		g.hear("d1:1", nil, 1, nil)
	}
	if s := g.last(g.arrive(ask("/again/x", func(a *Ask) { a.Left = 200 * time.Millisecond }))); s.Kind == StepSend {
		t.Fatalf("sent to %s, which leaves", s.Replica.ID)
	}
	// Once nobody tells of it any more, it is forgotten.
	delete(g.m.boards["d1:1"].list, "a1")
	g.pass((departedBeats + 1) * g.m.params.Beat)
	if len(g.m.left) != 0 {
		t.Fatalf("remembers %v", g.m.left)
	}
}

// TestNodeForgetsDesksThatAreGone: desks are replaced at new addresses. One that has
// been silent for long while another speaks is no longer asked, unless it is a seed;
// while none speaks, none is forgotten.
func TestNodeForgetsDesksThatAreGone(t *testing.T) {
	g := newRig(t)
	g.hear("d1:1", replicas("app", "a1"), 1, table(1, nil))
	g.hear("d2:1", nil, 1, nil)
	asked := func(address string) bool {
		for _, s := range g.m.Tick(g.now + g.m.params.Follow).Sends {
			if _, follows := s.Body.(desk.Subscribe); follows && s.To == address {
				return true
			}
		}
		return false
	}
	g.pass(2 * departedBeats * g.m.params.Beat)
	if !asked("d2:1") {
		t.Fatal("forgotten while no desk speaks")
	}
	for range 2 * departedBeats {
		g.pass(g.m.params.Beat)
		g.hear("d1:1", nil, 1, nil)
	}
	if asked("d2:1") || g.m.boards["d2:1"] != nil {
		t.Fatal("a desk that is gone is still asked")
	}
	g.hear("d3:1", nil, 1, nil)
	for range 2 * departedBeats {
		g.pass(g.m.params.Beat)
		g.hear("d3:1", nil, 1, nil)
	}
	if !asked("d1:1") {
		t.Fatal("a seed is no longer asked")
	}
}

// TestDeskThatNeverSpokeHidesNothing: a desk that is only told of is no sign that
// desks speak; what the silent one told still counts.
func TestDeskThatNeverSpokeHidesNothing(t *testing.T) {
	g := newRig(t)
	g.hear("d1:1", replicas("app", "a1"), 1, table(1, nil))
	g.pass((lostBeats - 1) * g.m.params.Beat)
	g.m.desks = append(g.m.desks, "d9:1")
	g.pass(2 * g.m.params.Beat)
	g.want(g.arrive(ask("/once/x", nil)), StepSend, 0)
}
