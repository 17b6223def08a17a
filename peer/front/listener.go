package front

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"saffronfall/peer/httpserver"
)

// Serve listens on the server's address and serves it within the limits, so that requesters cannot
// exhaust the descriptors needed for replicas and cores.
//
// It detects heads with both Content-Length and Transfer-Encoding, so that the handler can close
// their connections after the response (RFC 9112, section 6.1). net/http drops the length
// and keeps them, which would allow request smuggling.
func Serve(server *http.Server, limits httpserver.Limits) error {
	listener, err := httpserver.Listen(server.Addr)
	if err != nil {
		return err
	}
	return ServeOn(server, listener, limits)
}

// ServeOn is Serve on an existing listener.
func ServeOn(server *http.Server, listener net.Listener, limits httpserver.Limits) error {
	return httpserver.Serve(server, scanningListener{listener}, limits)
}

// scanningListener accepts connections that scan what is read from them.
type scanningListener struct{ net.Listener }

func (l scanningListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: accepted}, nil
}

type connection struct {
	net.Conn
	scanner headScanner
	// ambiguous is set once a head had both Content-Length and Transfer-Encoding.
	ambiguous atomic.Bool
}

// Read reads from the connection and scans the bytes for ambiguous heads.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.scanner.scan(p[:n]) {
		c.ambiguous.Store(true)
	}
	return n, err
}

// SetLinger is that of a TCP connection.
func (c *connection) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetLinger(seconds)
}

// ambiguousLength reports whether any head on the request's connection was ambiguous.
func ambiguousLength(r *http.Request) bool {
	c, ok := httpserver.Accepted(r).(*connection)
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
