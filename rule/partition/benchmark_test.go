package partition

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick measures a tick when nothing is due.
func BenchmarkTick(b *testing.B) {
	m, now := largeReplica(b)
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		m.Tick(now)
	}
}

func BenchmarkSweep(b *testing.B) {
	m, now := largeReplica(b)
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		m.leading.nextRenewal, m.leading.nextSweep = 0, 0
		for _, s := range m.Tick(now).Sends {
			if r, ok := s.Body.(RenewLease); ok {
				m.Receive(now, "a", r)
			}
		}
	}
}

// largeReplica returns the leader of a group of one with 3 MB of entries.
func largeReplica(b *testing.B) (*Machine, time.Duration) {
	c := newCluster(&testing.T{}, []string{"a"}, "a")
	c.advance(300 * time.Millisecond)
	value := string(make([]byte, 600))
	for i := 0; i < 5000; i++ {
		c.propose("a", put{fmt.Sprint("key/", i), value})
	}
	return c.replicas["a"], c.now
}
