package httpserver

import (
	"bytes"
	"slices"
)

const (
	// freeRequestBytes is the memory for a request that each connection may take without asking.
	freeRequestBytes = 16 << 10
	// reservationBytes is the unit of reservations.
	reservationBytes = 16 << 10
	// fieldBytes is the memory of a header field beside its text: a map's entry, a slice, strings.
	fieldBytes = 256
	// textCopies is how many times a request's text may stand in memory while it is received.
	textCopies = 2
)

// reservation asks for memory for the request that a connection receives.
type reservation struct {
	conn    *connection
	bytes   int64
	granted chan<- bool
}

// memory limits what all requests of a server take together. Its run method owns the books.
//
// If it is used up, connections whose request isn't whole are closed, the one that has been receiving
// for longest first. A request is granted what it needs if it is the only one, however large.
type memory struct {
	limit        int64
	reservations chan reservation
	releases     chan *connection
	stop         chan struct{}

	held  map[*connection]int64
	total int64
}

func newMemory(limit int64) *memory {
	return &memory{limit: limit, reservations: make(chan reservation), releases: make(chan *connection), stop: make(chan struct{}),
		held: map[*connection]int64{}}
}

func (m *memory) run() {
	for {
		select {
		case r := <-m.reservations:
			r.granted <- m.reserve(r.conn, r.bytes)
		case conn := <-m.releases:
			m.release(conn)
		case <-m.stop:
			return
		}
	}
}

// stopAfter ends run once no connection is open. A server that is shut down still serves its requests.
func (m *memory) stopAfter(slots chan<- struct{}) {
	for range cap(slots) {
		slots <- struct{}{}
	}
	close(m.stop)
}

func (m *memory) reserve(conn *connection, bytes int64) bool {
	for m.total+bytes > m.limit {
		victim := m.longestWaiting(conn)
		if victim == nil {
			break
		}
		if victim.evict(victim.current()) {
			m.release(victim)
		}
	}
	_, holds := m.held[conn]
	alone := len(m.held) == 0 || holds && len(m.held) == 1
	if m.total+bytes > m.limit && !alone {
		return false
	}
	m.held[conn] += bytes
	m.total += bytes
	return true
}

// longestWaiting returns the connection, other than one, that has gone longest without a whole request.
func (m *memory) longestWaiting(other *connection) *connection {
	var waiting []*connection
	for conn := range m.held {
		if phase := conn.current(); conn != other && (phase == phaseReceiving || phase == phaseIdle) {
			waiting = append(waiting, conn)
		}
	}
	if len(waiting) == 0 {
		return nil
	}
	return slices.MinFunc(waiting, func(a, b *connection) int { return int(a.waitingSince() - b.waitingSince()) })
}

func (m *memory) release(conn *connection) {
	m.total -= m.held[conn]
	delete(m.held, conn)
}

// ask reserves memory; it returns false if there is none.
func (m *memory) ask(conn *connection, bytes int64) bool {
	granted := make(chan bool, 1)
	select {
	case m.reservations <- reservation{conn: conn, bytes: bytes, granted: granted}:
		return <-granted
	case <-m.stop:
		return false
	}
}

func (m *memory) give(conn *connection) {
	select {
	case m.releases <- conn:
	case <-m.stop:
	}
}

// usage counts what the request that a connection receives takes, as far as it has come.
type usage struct {
	text, fields, reserved int64
}

func (u *usage) bytes() int64 { return textCopies*u.text + fieldBytes*u.fields }

// usageOf returns what the text of a head takes.
func usageOf(text []byte) usage {
	return usage{text: int64(len(text)), fields: int64(bytes.Count(text, []byte("\n")))}
}

func (u *usage) add(more usage) {
	u.text += more.text
	u.fields += more.fields
}

// missing returns the memory to reserve, which is 0 if there is enough.
func (u *usage) missing() int64 {
	missing := u.bytes() - freeRequestBytes - u.reserved
	if missing <= 0 {
		return 0
	}
	return (missing + reservationBytes - 1) / reservationBytes * reservationBytes
}
