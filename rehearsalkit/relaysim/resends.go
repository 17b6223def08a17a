package relaysim

import (
	"fmt"

	"saffronfall/peer/registry"
)

// resendTable counts the answers to repeated orders by the number of orders acknowledged in
// between.
type resendTable map[int]*resendCounts

type resendCounts struct{ acked, refused, inconclusive int }

// resendBuckets are the upper bounds of the rows of a resendTable.
var resendBuckets = []int{8, 16, 64, 256, 1 << 30}

func (t resendTable) add(changes int, result registry.OrderResult) {
	bucket := 0
	for changes > resendBuckets[bucket] {
		bucket++
	}
	row := t[resendBuckets[bucket]]
	if row == nil {
		row = &resendCounts{}
		t[resendBuckets[bucket]] = row
	}
	switch {
	case result.Uncertain:
		row.inconclusive++
	case result.Accepted:
		row.acked++
	default:
		row.refused++
	}
}

func (t resendTable) merge(o resendTable) {
	for bucket, row := range o {
		sum := t[bucket]
		if sum == nil {
			sum = &resendCounts{}
			t[bucket] = sum
		}
		sum.acked += row.acked
		sum.refused += row.refused
		sum.inconclusive += row.inconclusive
	}
}

func (t resendTable) lines() []string {
	lines := []string{"", "| up to so many orders later | acknowledged again | refused | no clear answer |", "|---|---|---|---|"}
	for _, bucket := range resendBuckets {
		if row := t[bucket]; row != nil {
			name := fmt.Sprint(bucket)
			if bucket == resendBuckets[len(resendBuckets)-1] {
				name = "more"
			}
			lines = append(lines, fmt.Sprintf("| %s | %d | %d | %d |", name, row.acked, row.refused, row.inconclusive))
		}
	}
	return lines
}
