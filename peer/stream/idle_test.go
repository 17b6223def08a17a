package stream

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// TestIdleStreamsAreClosed guards against a leak of streams and goroutines when
// machines are replaced at new addresses. A stream in use must stay open.
func TestIdleStreamsAreClosed(t *testing.T) {
	const gone = 200
	other := listen(t, "a secret")
	s := listen(t, "a secret")
	s.params.IdleTimeout = 50 * time.Millisecond
	base := runtime.NumGoroutine()
	s.Send(other.params.Listen, testMessage{"before"})
	for i := range gone {
		s.Send(fmt.Sprintf("127.0.0.1:%d", 1+i), testMessage{"to nobody"})
	}
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for len(s.outbound) > 1 || runtime.NumGoroutine() > base+gone/10 {
		select {
		case <-tick.C:
			s.Send(other.params.Listen, testMessage{"meanwhile"})
		case <-other.In:
		case <-deadline:
			t.Fatalf("%d streams and %d extra goroutines are left", len(s.outbound), runtime.NumGoroutine()-base)
		}
	}
	if s.outbound[other.params.Listen] == nil {
		t.Fatal("the stream in use was closed")
	}
}
