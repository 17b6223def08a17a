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

// Serve listens on the server's address and serves it with at most maxConnections open, so that
// requesters cannot exhaust the descriptors needed for replicas and cores. Others wait in the
// listener's queue.
//
// It detects heads with both Content-Length and Transfer-Encoding, so that the handler can close
// their connections after the response (RFC 9112, section 6.1). net/http drops the length
// and keeps them, which would allow request smuggling.
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

type connection struct {
	*net.TCPConn
	slots   <-chan struct{}
	closed  atomic.Bool
	scanner headScanner
	// ambiguous is set once a head had both Content-Length and Transfer-Encoding.
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

// ambiguousLength reports whether any head on the request's connection was ambiguous.
func ambiguousLength(r *http.Request) bool {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	return ok && c.ambiguous.Load()
}

// headScanner looks for both length headers within consecutive non-blank lines. A body that looks
// like a head with both only costs its requester the connection.
type headScanner struct {
	// line is the start of the unfinished line.
	line             []byte
	length, encoding bool
}

const (
	lengthHeader    = "content-length"
	encodingHeader  = "transfer-encoding"
	maxHeaderPrefix = len(encodingHeader)
)

// scan reports whether a head has both headers.
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

func (s *headScanner) endLine() {
	line := string(bytes.TrimRight(s.line, "\r"))
	switch {
	case line == "": // the end of the head
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
