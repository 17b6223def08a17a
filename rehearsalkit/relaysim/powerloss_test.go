package relaysim

import "testing"

// Guards against losing acknowledged data when as many disks as the fleet tolerates are lost while
// all other machines lose power.
func TestDiskLossDuringPowerLoss(t *testing.T) {
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
			t.Errorf("seed %d: the closing fault was not injected", seed)
		}
		if w.Record.RestoredAt <= w.Record.ClosingAt {
			t.Errorf("seed %d: the machines were not restarted", seed)
		}
	}
}
