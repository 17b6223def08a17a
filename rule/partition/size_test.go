package partition

import (
	"fmt"
	"testing"
	"time"
)

// TestLargeGroupsTolerateTheirLosses checks every group size that a fleet may have.
func TestLargeGroupsTolerateTheirLosses(t *testing.T) {
	for size := 1; size <= 13; size += 2 {
		var members []string
		for i := range size {
			members = append(members, fmt.Sprintf("m%02d", i))
		}
		c := newCluster(t, members, members...)
		c.advance(300 * time.Millisecond)
		for i := range 5 {
			if r := c.propose(c.leader(), put{fmt.Sprint(i), "x"}); r.Uncertain || r.NotLeader {
				t.Fatalf("%d members, write %d: %+v", size, i, r)
			}
		}
		// The last members to time out are left.
		for _, lost := range members[:(size-1)/2] {
			c.replicas[lost] = nil
		}
		c.advance(500 * time.Millisecond)
		if c.leader() == "" {
			t.Fatalf("%d members, %d lost: no leader", size, (size-1)/2)
		}
		for i := range 5 {
			c.wantValue(fmt.Sprint(i), "x")
		}
		if r := c.propose(c.leader(), put{"after", "y"}); r.Uncertain || r.NotLeader {
			t.Errorf("%d members, %d lost: write %+v", size, (size-1)/2, r)
		}
		if size == 1 {
			continue
		}
		// One loss more leaves no majority.
		c.replicas[members[(size-1)/2]] = nil
		c.advance(500 * time.Millisecond)
		if leader := c.leader(); leader != "" {
			t.Errorf("%d members, %d lost: %s leads without a majority", size, (size+1)/2, leader)
		}
	}
}
