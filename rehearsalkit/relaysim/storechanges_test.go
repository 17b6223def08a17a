package relaysim

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a fleet that does not serve, or has lost what it acknowledged, after changes of the
// store machines and a closing fault.
func TestStoreChanges(t *testing.T) {
	seeds := uint64(16)
	if testing.Short() {
		seeds = 4
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			for _, b := range playStoreChanges(New(storeChangesParams(seed))).Breaches {
				t.Errorf("seed %d: %s", seed, b)
			}
		})
	}
}

// Guards against the loss of a fleet whose machines are succeeded, lost and ordered to be emptied
// down to the last spare one (review/1 and review/3).
func TestRetirementWithoutASpareStore(t *testing.T) {
	for name, changes := range map[string][]storeChange{
		"succeeded, retired":             {storeSucceeded, storeRetired},
		"succeeded, retired, lost":       {storeSucceeded, storeRetired, storeLost},
		"lost, lost, retired, retired":   {storeLost, storeLost, storeRetired, storeRetired},
		"lost, retired, lost, succeeded": {storeLost, storeRetired, storeLost, storeSucceeded},
	} {
		for _, closing := range []string{ClosingKill, ClosingPower, ClosingWipe} {
			t.Run(name+", "+closing, func(t *testing.T) {
				t.Parallel()
				p := storeChangesParams(2)
				p.Cores, p.Closing = 3, closing
				f := newStoreChanges(New(p)).play(changes)
				for _, b := range f.Breaches {
					t.Error(b)
				}
				if f.Counts["retirements refused"] == 0 {
					t.Error("no retirement was refused")
				}
			})
		}
	}
}

// Guards against a fleet that does not come back from a loss of all power in the middle of an
// emptying, when the retired core may lead the configuration's partition.
func TestPowerLossWhileAStoreIsEmptied(t *testing.T) {
	for step := range 12 {
		after := time.Duration(step) * 40 * time.Millisecond
		t.Run(fmt.Sprint(after), func(t *testing.T) {
			t.Parallel()
			p := storeChangesParams(uint64(2 + 4*step))
			p.Closing = []string{ClosingKill, ClosingPower, ClosingWipe}[step%3]
			c := newStoreChanges(New(p))
			c.start()
			leader := c.world.leaderOf(0)
			c.add()
			c.world.Advance(catchUpTime)
			c.retire(leader)
			c.world.Advance(after)
			c.stop()
			c.close()
			for _, b := range c.findings.Breaches {
				t.Error(b)
			}
		})
	}
}
