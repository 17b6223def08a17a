package stream

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultMaxHandshakes = 512
	// Pauses after an accept that failed for want of a resource grow from the first to the last.
	firstAcceptPause = 5 * time.Millisecond
	lastAcceptPause  = time.Second
)

// incoming is a connection that another process has opened.
type incoming struct {
	net.Conn
	// settled is set once its handshake has ended, well or not.
	settled atomic.Bool
}

// handshakes are the connections that may not be authenticated yet, oldest first. Only the goroutine
// of Run uses it.
type handshakes struct {
	limit   int
	pending []*incoming
}

// add closes the oldest pending connection if there are too many.
func (h *handshakes) add(conn *incoming) {
	if len(h.pending) >= h.limit {
		h.removeSettled()
	}
	if len(h.pending) >= h.limit {
		h.pending[0].Close()
		h.pending = h.pending[1:]
	}
	h.pending = append(h.pending, conn)
}

func (h *handshakes) removeSettled() {
	pending := make([]*incoming, 0, h.limit)
	for _, conn := range h.pending {
		if !conn.settled.Load() {
			pending = append(pending, conn)
		}
	}
	h.pending = pending
}

// Run accepts streams until Close.
func (t *Transport) Run() error {
	open := handshakes{limit: t.params.MaxHandshakes}
	pause := firstAcceptPause
	for {
		accepted, err := t.listener.Accept()
		switch {
		case err == nil:
			pause = firstAcceptPause
			conn := &incoming{Conn: accepted}
			open.add(conn)
			go t.serve(conn)
		case t.ctx.Err() != nil:
			return nil
		case !isTransient(err):
			return errors.Wrap(err, "accepting a stream")
		default:
			t.count(Counters{AcceptFailures: 1})
			t.wait(pause)
			pause = min(2*pause, lastAcceptPause)
		}
	}
}

func (t *Transport) wait(pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ctx.Done():
	}
}

// isTransient reports whether an error of Accept concerns one connection, or resources that may
// become free.
func isTransient(err error) bool {
	for _, transient := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPERM,
	} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
