package relaysim

import "testing"

// TestDisksLostWithAllPower: at the end of a day as many disks as can be borne are lost at
// the moment at which every other machine, also those that do not count, loses power.
// Whatever was acknowledged is there afterwards, and service comes back.
func TestDisksLostWithAllPower(t *testing.T) {
	seeds := uint64(8)
	if testing.Short() {
		seeds = 3
	}
	for seed := uint64(1000); seed < 1000+seeds; seed++ {
		p := Defaults(seed)
		p.Closing = ClosingWipe
		w, breaches := Run(p)
		for _, b := range breaches {
			t.Errorf("seed %d: %s", seed, b)
		}
		if w.Counts["closing fault: "+ClosingWipe] != 1 {
			t.Errorf("seed %d: the loss did not come about", seed)
		}
		if w.Record.Back <= w.Record.Closing {
			t.Errorf("seed %d: the machines did not come back", seed)
		}
	}
}
