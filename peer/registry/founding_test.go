package registry

import (
	"reflect"
	"testing"
	"time"

	"saffronfall/peer/core"
)

func announceUnfounded(m *Machine, now time.Duration, mayFound bool, incarnation string, ids ...string) {
	for _, id := range ids {
		m.Receive(now, id+":1", core.AnnounceCore{Core: core.Core{ID: id, Incarnation: incarnation, Zone: id, Peer: id + ":1"}, MayFound: mayFound})
	}
}

// tickFor returns the foundings that a registry sends to a core, and the last duty that it stores.
func tickFor(m *Machine, from, length time.Duration, to string) (sent []core.FoundFleet, stored *FoundingDuty) {
	for now := from; now < from+length; now += heartbeat / 20 {
		o := m.Tick(now)
		sent = append(sent, sentTo[core.FoundFleet](o, to)...)
		if o.FoundingDuty != nil {
			stored = o.FoundingDuty
		}
	}
	return sent, stored
}

func mayFound(o *Options) { o.FoundingDuty.MayFound = true }

// Guards against a founding that ends with a restart of its registry, and against a second, different
// one by the restarted registry.
func TestRestartedRegistryGoesOnFounding(t *testing.T) {
	m := newRegistry(mayFound)
	announceUnfounded(m, 0, true, "i", "a", "b", "c")
	sent, stored := tickFor(m, 0, 2*heartbeat, "a:1")
	if len(sent) == 0 || stored == nil || stored.Plan == nil || !reflect.DeepEqual(*stored.Plan, sent[0].Founding) {
		t.Fatalf("%d foundings sent, stored: %+v", len(sent), stored)
	}
	again := newRegistry(func(o *Options) { o.FoundingDuty = *stored })
	announceUnfounded(again, 0, true, "i", "d", "e", "f")
	resent, restored := tickFor(again, 0, 2*heartbeat, "a:1")
	if len(resent) == 0 || !reflect.DeepEqual(resent[0], sent[0]) || restored != nil {
		t.Fatalf("after a restart %d foundings were sent, and %+v stored", len(resent), restored)
	}
	abandoned := newRegistry(mayFound)
	announceUnfounded(abandoned, 0, true, "i", "a", "b", "c")
	abandoned.AbandonFounding()
	if sent, _ := tickFor(abandoned, 0, 4*heartbeat, "a:1"); len(sent) != 0 {
		t.Error("a founding that could not be stored was sent")
	}
}

// Guards against a founding by disks that may be a fleet's, and against one that waits for good for a
// core whose disk is new.
func TestFoundingNeedsAMajorityOfNewDisks(t *testing.T) {
	m := newRegistry(mayFound)
	announceUnfounded(m, 0, true, "i", "a", "b")
	announceUnfounded(m, 0, false, "i", "c")
	sent, _ := tickFor(m, 0, 2*heartbeat, "a:1")
	if len(sent) == 0 || len(sent[0].Founding.Cores) != 2 || sent[0].Founding.GroupSize != 3 || len(sent[0].Founding.Groups) != 7 {
		t.Fatalf("two disks that may found, and one that may not: %+v", sent)
	}
	m = newRegistry(mayFound)
	announceUnfounded(m, 0, true, "i", "a")
	announceUnfounded(m, 0, false, "i", "b", "c")
	if sent, _ := tickFor(m, 0, 10*heartbeat, "a:1"); len(sent) != 0 {
		t.Error("one disk founded a fleet")
	}
	m = newRegistry(mayFound)
	announceUnfounded(m, 0, true, "i", "a", "b", "c")
	announceUnfounded(m, heartbeat/2, false, "after a loss", "b")
	sent, _ = tickFor(m, heartbeat/2, 2*heartbeat, "a:1")
	if len(sent) == 0 || len(sent[0].Founding.Cores) != 2 || sent[0].Founding.Cores["b"].ID != "" {
		t.Errorf("a disk that was lost takes part in the founding: %+v", sent)
	}
}

// Guards against a second fleet beside one that a core belongs to.
func TestRegistryThatHearsOfAFleetFoundsNone(t *testing.T) {
	m := newRegistry(mayFound)
	m.Receive(0, "x:1", core.AnnounceCore{Core: core.Core{ID: "x", Incarnation: "i", Peer: "x:1"}, Fleet: "f"})
	announceUnfounded(m, 0, true, "i", "a", "b", "c")
	if sent, _ := tickFor(m, 0, 10*heartbeat, "a:1"); len(sent) != 0 {
		t.Error("a second fleet was founded")
	}
}
