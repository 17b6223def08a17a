package account

import (
	"math"
	"math/big"
	"testing"
)

// FuzzReserve guards against sums of declared outputs that overflow and so pass a budget.
func FuzzReserve(f *testing.F) {
	f.Add(int64(900), int64(90), int64(math.MaxInt64), int64(math.MaxInt64-5))
	f.Add(int64(math.MaxInt64), int64(math.MaxInt64), int64(1), int64(math.MaxInt64))
	f.Add(int64(10), int64(-1), int64(4), int64(7))
	f.Fuzz(func(t *testing.T, budget, first, second, third int64) {
		var a Account
		reserved := new(big.Int)
		for i, tokens := range []int64{first, second, third} {
			if !a.Reserve(string(rune('a'+i)), tokens, budget) {
				continue
			}
			reserved.Add(reserved, big.NewInt(tokens))
			if tokens < 0 || reserved.Cmp(big.NewInt(budget)) > 0 {
				t.Fatalf("%v tokens are reserved of a budget of %d", reserved, budget)
			}
		}
	})
}
