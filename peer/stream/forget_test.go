package stream

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// TestStreamsForgetWhoIsGone: machines are replaced all the time, mostly at new
// addresses. Streams to those that nothing is said to any more end, and take their
// room with them; one that is spoken to again has a new one.
func TestStreamsForgetWhoIsGone(t *testing.T) {
	const gone = 200
	other := listen(t, "a secret")
	s := listen(t, "a secret")
	s.params.Idle = 50 * time.Millisecond
	base := runtime.NumGoroutine()
	s.Send(other.params.Listen, word{"before"})
	for i := range gone {
		s.Send(fmt.Sprintf("127.0.0.1:%d", 1+i), word{"to nobody"})
	}
	deadline := time.After(10 * time.Second)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for len(s.outward) > 1 || runtime.NumGoroutine() > base+gone/10 {
		select {
		case <-tick.C:
			s.Send(other.params.Listen, word{"meanwhile"})
		case <-other.In:
		case <-deadline:
			t.Fatalf("%d streams and %d goroutines more than before are left", len(s.outward), runtime.NumGoroutine()-base)
		}
	}
	if s.outward[other.params.Listen] == nil {
		t.Fatal("the stream in use was ended")
	}
}
