package partition

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick is an owner's tick when nothing is due, with 3 MB of entries.
func BenchmarkTick(b *testing.B) {
	o, t := largeReplica(b)
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		o.Tick(t)
	}
}

// BenchmarkSweep is the comparison of copies, at the owner and at a seat.
func BenchmarkSweep(b *testing.B) {
	o, t := largeReplica(b)
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		o.leading.nextRenewal, o.leading.nextSweep = 0, 0
		for _, s := range o.Tick(t).Sends {
			if r, ok := s.Body.(RenewLease); ok {
				o.Receive(t, "a", r)
			}
		}
	}
}

func largeReplica(b *testing.B) (*Machine, time.Duration) {
	c := newCluster(&testing.T{}, []string{"a"}, "a")
	c.advance(300 * time.Millisecond)
	value := string(make([]byte, 600))
	for i := 0; i < 5000; i++ {
		c.propose("a", put{fmt.Sprint("key/", i), value})
	}
	return c.replicas["a"], c.now
}
