package httpserver

import (
	"net"
	"sync/atomic"
	"time"

	"saffronfall/peer/clock"
)

const (
	// minReceiving is how long a connection may receive a request before it may be evicted.
	minReceiving = 50 * time.Millisecond
	// minWriting is how long a client may read nothing of an answer before its connection may be evicted.
	minWriting = time.Second
	// evictionRetryInterval is the pause between attempts to make room while no connection may be
	// evicted.
	evictionRetryInterval = 20 * time.Millisecond
)

// listener accepts a bounded number of connections. Only the goroutine that calls Accept uses the list
// of connections.
type listener struct {
	net.Listener
	// slots has one entry for each open connection.
	slots       chan struct{}
	memory      *memory
	connections []*connection
	closed      chan struct{}
	closing     atomic.Bool
}

func newListener(inner net.Listener, limit int, memory *memory) *listener {
	return &listener{Listener: inner, slots: make(chan struct{}, limit), memory: memory, closed: make(chan struct{})}
}

// Accept waits for the next connection, and for room for it.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.takeSlot() {
		accepted.Close()
		return nil, net.ErrClosed
	}
	if len(l.connections) >= cap(l.slots) {
		l.forgetClosed()
	}
	conn := newConnection(accepted, l.slots, l.memory)
	l.connections = append(l.connections, conn)
	return conn, nil
}

// takeSlot evicts a connection if no slot is left. It returns false if the listener is closed first.
func (l *listener) takeSlot() bool {
	for {
		select {
		case l.slots <- struct{}{}:
			return true
		default:
		}
		if l.evictOne() {
			continue
		}
		select {
		case l.slots <- struct{}{}:
			return true
		case <-time.After(evictionRetryInterval):
		case <-l.closed:
			return false
		}
	}
}

// evictOne evicts the connection that has been receiving a request for longest, or else the one that
// has been idle for longest, or else the one whose client has held up an answer for longest.
func (l *listener) evictOne() bool {
	l.forgetClosed()
	if c := longestIn(phaseReceiving, l.connections); c != nil && clock.Now() >= c.waitingSince()+minReceiving {
		return c.evict(phaseReceiving)
	}
	if c := longestIn(phaseIdle, l.connections); c != nil {
		return c.evict(phaseIdle)
	}
	return evictLongestWriting(l.connections)
}

func evictLongestWriting(connections []*connection) bool {
	var longest *connection
	longestSince := int64(clock.Now() - minWriting)
	for _, c := range connections {
		if since := c.writingSince.Load(); since > 0 && since <= longestSince {
			longest, longestSince = c, since
		}
	}
	return longest != nil && longest.evictWriting(longestSince)
}

func longestIn(from phase, connections []*connection) *connection {
	var longest *connection
	for _, c := range connections {
		if c.current() == from && (longest == nil || c.waitingSince() < longest.waitingSince()) {
			longest = c
		}
	}
	return longest
}

func (l *listener) forgetClosed() {
	open := l.connections[:0]
	for _, c := range l.connections {
		if !c.closed.Load() {
			open = append(open, c)
		}
	}
	clear(l.connections[len(open):])
	l.connections = open
}

// Close closes the listener and ends a pending Accept, even one that waits for room.
func (l *listener) Close() error {
	if l.closing.CompareAndSwap(false, true) {
		close(l.closed)
	}
	return l.Listener.Close()
}
