package relaysim

import "testing"

// Guards against an operation that runs twice because a node or leader is lost between its steps.
func TestKeyLoss(t *testing.T) {
	seeds := uint64(6)
	if testing.Short() {
		seeds = 2
	}
	injected := map[string]int64{}
	for seed := uint64(1); seed <= seeds; seed++ {
		findings := playKeyLoss(New(keyLossParams(seed)))
		for _, b := range findings.Breaches {
			t.Errorf("seed %d: %s", seed, b)
		}
		for _, moment := range keyLossMoments() {
			for _, loss := range keyLosses() {
				injected[moment] += findings.Counts["loss when "+moment+": "+loss]
				injected[loss] += findings.Counts["loss when "+moment+": "+loss]
			}
		}
		for _, label := range []string{"asked keyed whole 200", "asked ledger whole 200", "keyed: answered from the store"} {
			if findings.Counts[label] < 200 {
				t.Errorf("seed %d: %s: only %d times", seed, label, findings.Counts[label])
			}
		}
	}
	for _, name := range append(keyLossMoments(), keyLosses()...) {
		if injected[name] < int64(seeds)*2 {
			t.Errorf("%s: only %d losses", name, injected[name])
		}
	}
}
