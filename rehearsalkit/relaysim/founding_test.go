package relaysim

import (
	"slices"
	"testing"

	"saffronfall/peer/core"
)

// Guards against a fleet that is never founded, or lacks a member from its start, because processes
// are killed, frozen, late or without power meanwhile. The kit's command covers all points.
func TestFoundingFaults(t *testing.T) {
	strides := map[int]int{3: 200, 5: 700}
	for i, c := range foundingCases() {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			for _, b := range sweepFoundings(foundingParams(1), c, 31*i%100, strides[c.groupSize]).Breaches {
				t.Error(b)
			}
		})
	}
}

// Guards against a core without a seat, and a fleet that is not founded, that the judge misses.
func TestFoundingBreaks(t *testing.T) {
	for name, inject := range map[string]func(p *Params){
		"a core never gets the founding": alterMessages(func(from, to string, f core.FoundFleet) (core.FoundFleet, bool) {
			return f, to != "core2"
		}),
		"no core may found": alterMessages(func(from, to string, a core.AnnounceCore) (core.AnnounceCore, bool) {
			a.MayFound = false
			return a, true
		}),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wantBreach(t, RuleFleetRecovery, func(seed uint64) *Findings {
				p := foundingParams(seed)
				inject(&p)
				return sweepFoundings(p, foundingCase{fault: foundingKill, groupSize: 3}, 100, 5000)
			})
		})
	}
}

// Guards against a second fleet: an emptied disk must never take part in a founding.
func TestEmptiedDisksFoundNoSecondFleet(t *testing.T) {
	w := New(foundingParams(2))
	history := newOrderHistory(w, newFindings(w))
	w.startScenario(history)
	fleet := w.stores[0].core.core.Founding().Fleet
	w.Advance(catchUpTime)
	// All stores but one lose their disks, and the last one is down.
	for i, s := range w.presentStores() {
		for _, p := range s.processes() {
			p.powerOff()
			if i > 0 || p.isRegistry {
				p.wipe()
			}
		}
	}
	for _, s := range w.stores[1:] {
		for _, p := range s.processes() {
			p.boot()
		}
	}
	w.Advance(2 * foundingLimit)
	if i := slices.IndexFunc(w.stores[1:], func(s *store) bool { return s.core.core.Founded() }); i >= 0 {
		t.Errorf("%s founded a second fleet", w.stores[1+i].core.id)
	}
	for _, p := range w.stores[0].processes() {
		p.boot()
	}
	w.Advance(foundingLimit)
	for _, s := range w.presentStores() {
		if s.core.core.Founded() && s.core.core.Founding().Fleet != fleet {
			t.Errorf("%s belongs to the fleet %s", s.core.id, s.core.core.Founding().Fleet)
		}
	}
}
