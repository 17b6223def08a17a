// Package ordered walks maps in the order of their keys, so that a machine
// does the same with the same inputs.
package ordered

import (
	"cmp"
	"slices"
)

// Keys lists a map's keys in order.
func Keys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
