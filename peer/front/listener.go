package front

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Serve listens on the server's address and serves it, as
// http.Server.ListenAndServe does, with two differences.
//
// It detects request heads with both Content-Length and Transfer-Encoding, so that the handler
// can close their connection after the response (RFC 9112, section 6.1). net/http drops
// the length and keeps the connection, which would allow request smuggling.
//
// It keeps at most maxConnections open at a time, so that requesters cannot exhaust the
// descriptors that the node needs for replicas and cores. Further connections wait in
// the listener's queue.
func Serve(server *http.Server, maxConnections int) error {
	listener, err := net.Listen("tcp", server.Addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return ServeOn(server, listener, maxConnections)
}

// ServeOn is Serve on an existing listener.
func ServeOn(server *http.Server, listener net.Listener, maxConnections int) error {
	server.ConnContext = withConnection
	return server.Serve(&limitedListener{Listener: listener, slots: make(chan struct{}, maxConnections), closed: make(chan struct{})})
}

// limitedListener limits open connections and scans the heads that they carry.
type limitedListener struct {
	net.Listener
	// slots has one entry for each open connection.
	slots   chan struct{}
	closed  chan struct{}
	closing atomic.Bool
}

// Accept waits for a free slot and the next connection.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	plain, ok := c.(*net.TCPConn)
	if err == nil && ok {
		return &connection{TCPConn: plain, slots: l.slots}, nil
	}
	<-l.slots
	return c, err
}

// Close closes the listener and ends a pending Accept, even one that waits for a slot.
func (l *limitedListener) Close() error {
	if l.closing.CompareAndSwap(false, true) {
		close(l.closed)
	}
	return l.Listener.Close()
}

// connection is a requester's connection.
type connection struct {
	*net.TCPConn
	slots   <-chan struct{}
	closed  atomic.Bool
	scanner headScanner
	// ambiguous is set once a head has had both Content-Length and Transfer-Encoding.
	ambiguous atomic.Bool
}

// Close closes the connection and frees its slot.
func (c *connection) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		<-c.slots
	}
	return c.TCPConn.Close()
}

// Read reads from the connection and scans the bytes for ambiguous heads.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.scanner.scan(p[:n]) {
		c.ambiguous.Store(true)
	}
	return n, err
}

type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// ambiguousLength reports whether a head on the request's connection has had both
// Content-Length and Transfer-Encoding.
func ambiguousLength(r *http.Request) bool {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	return ok && c.ambiguous.Load()
}

// headScanner looks for Content-Length and Transfer-Encoding within consecutive
// non-blank lines. It does not tell heads from bodies: a body that looks like such a
// head only costs its requester the connection.
type headScanner struct {
	// line is the beginning of the current, unfinished line.
	line             []byte
	length, encoding bool
}

const (
	lengthHeader    = "content-length"
	encodingHeader  = "transfer-encoding"
	maxHeaderPrefix = len(encodingHeader)
)

// scan takes the next bytes and reports whether one head has both headers.
func (s *headScanner) scan(raw []byte) bool {
	both := false
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n')
		part := raw
		if end >= 0 {
			part = raw[:end]
		}
		if room := maxHeaderPrefix - len(s.line); room > 0 {
			s.line = append(s.line, part[:min(len(part), room)]...)
		}
		if end < 0 {
			break
		}
		s.endLine()
		both = both || s.length && s.encoding
		raw = raw[end+1:]
	}
	return both
}

// endLine evaluates the finished line; a blank one ends the head.
func (s *headScanner) endLine() {
	line := string(bytes.TrimRight(s.line, "\r"))
	switch {
	case line == "":
		s.length, s.encoding = false, false
	case hasHeaderName(line, lengthHeader):
		s.length = true
	case hasHeaderName(line, encodingHeader):
		s.encoding = true
	}
	s.line = s.line[:0]
}

func hasHeaderName(line, name string) bool {
	return len(line) >= len(name) && strings.EqualFold(line[:len(name)], name)
}
