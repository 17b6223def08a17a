package httpserver

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/clock"
)

// phase is what a connection is doing.
type phase int32

const (
	// phaseReceiving lasts from the connection's start, or a request's first byte, to that
	// request's end.
	phaseReceiving phase = iota
	// phaseIdle lasts from a response to the next request's first byte.
	phaseIdle
	// phaseServing lasts from a request's end to the end of its response.
	phaseServing
	// phaseEvicted is final: the connection was closed to make room.
	phaseEvicted
)

// serverBufferBytes is the size of net/http's buffer for reading.
const serverBufferBytes = 4096

// evictions counts the connections that this process has closed to make room.
var evictions atomic.Int64

// Evictions returns how many connections all servers of this process have closed to make room.
func Evictions() int64 { return evictions.Load() }

// errEvicted is returned for a request whose connection was closed to make room.
var errEvicted = errors.New("the connection was closed to make room for others")

// connection is an open connection of a server.
type connection struct {
	net.Conn
	slots  <-chan struct{}
	memory *memory
	closed atomic.Bool
	phase  atomic.Int32
	// since is when the phase began, for phases in which the connection may be evicted.
	since atomic.Int64
	// writingSince is when the write that is under way began, 0 if there is none.
	writingSince atomic.Int64
	// watched is one more than the byte that was read while net/http waited for the requester's
	// disconnect, on a goroutine of its own: the first one of the next request. It is 0 if there is none.
	watched atomic.Int32

	// The goroutine that serves the connection uses the rest, also while the handler runs.
	usage    usage
	position position
	// buffered is what the last read may have left in the server's buffer.
	buffered usage
	// inBody is set from the end of a head to the end of its response.
	inBody bool
}

func newConnection(accepted net.Conn, slots <-chan struct{}, memory *memory) *connection {
	c := &connection{Conn: accepted, slots: slots, memory: memory}
	c.since.Store(int64(clock.Now()))
	return c
}

// Close closes the connection and frees its slot.
func (c *connection) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		<-c.slots
	}
	return c.Conn.Close()
}

// Read counts the bytes and fields of heads.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if len(p) == 1 {
		c.watched.Store(int32(p[0]) + 1)
		return n, err
	}
	if c.watched.Load() != 0 {
		c.position.lost = true
	}
	c.noteBuffered(p, n)
	head := p[:c.position.advance(p[:n])]
	if c.inBody {
		return n, err
	}
	c.beginReceiving()
	if !c.take(usageOf(head)) {
		return 0, errEvicted
	}
	return n, err
}

// beginReceiving ends the wait for a request.
func (c *connection) beginReceiving() {
	if c.current() == phaseIdle {
		c.since.Store(int64(clock.Now()))
		c.enter(phaseReceiving)
	}
}

// Write notes since when it has been under way.
func (c *connection) Write(p []byte) (int, error) {
	c.writingSince.Store(int64(clock.Now()))
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
}

// noteBuffered notes what a read may leave in the server's buffer. One that is larger than the buffer
// passes it by.
func (c *connection) noteBuffered(p []byte, n int) {
	c.buffered = usage{}
	if len(p) <= serverBufferBytes {
		c.buffered = usageOf(p[:n])
	}
}

func (c *connection) current() phase { return phase(c.phase.Load()) }

// enter changes the phase. It returns false if the connection was evicted.
func (c *connection) enter(next phase) bool {
	for {
		before := c.phase.Load()
		if phase(before) == phaseEvicted {
			return false
		}
		if c.phase.CompareAndSwap(before, int32(next)) {
			return true
		}
	}
}

// take adds to what the request takes. It closes the connection and returns false if there is no memory.
func (c *connection) take(more usage) bool {
	c.usage.add(more)
	missing := c.usage.missing()
	if missing == 0 {
		return true
	}
	if !c.memory.ask(c, missing) {
		c.evict(c.current())
		return false
	}
	c.usage.reserved += missing
	return true
}

// freeMemory gives back what the request took.
func (c *connection) freeMemory() {
	if c.usage.reserved > 0 {
		c.memory.give(c)
	}
	c.usage = usage{}
}

// awaitRequest begins the wait for the next request, of which a part may have been read.
func (c *connection) awaitRequest() {
	c.inBody = false
	c.since.Store(int64(clock.Now()))
	c.enter(phaseIdle)
	if c.position.endRequest() {
		c.buffered = usage{}
	}
	if watched := c.watched.Swap(0); watched != 0 {
		c.beginReceiving()
		first := []byte{byte(watched - 1)}
		c.position.advance(first)
		c.buffered.add(usageOf(first))
	}
	c.take(c.buffered)
}

// waitingSince returns since when the connection has been in a phase.
func (c *connection) waitingSince() time.Duration { return time.Duration(c.since.Load()) }

// evict closes the connection unless it has left the phase, or its request is being served.
func (c *connection) evict(from phase) bool {
	if from == phaseServing || from == phaseEvicted || !c.phase.CompareAndSwap(int32(from), int32(phaseEvicted)) {
		return false
	}
	evictions.Add(1)
	c.Close()
	return true
}

// evictWriting closes the connection if a write that began then is still under way.
func (c *connection) evictWriting(since int64) bool {
	if c.writingSince.Load() != since {
		return false
	}
	c.abort()
	return true
}

// abort closes the connection in any phase, with a reset, so that the kernel keeps nothing of it.
func (c *connection) abort() {
	evictions.Add(1)
	if lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0)
	}
	c.Close()
}
