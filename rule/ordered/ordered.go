// Package ordered sorts the keys of maps, so that deterministic state machines do not depend on Go's
// random iteration order.
package ordered

import (
	"cmp"
	"slices"
)

// Keys returns the keys of a map in ascending order.
func Keys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
