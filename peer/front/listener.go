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

// Serve serves requesters on an address, as http.Server.ListenAndServe does,
// and also notices heads that tell their body's length in two ways. The library
// takes the chunks and forgets the length, and would go on with the connection;
// whatever the length covered would then run as a request of its own. RFC 9112,
// section 6.1, wants the connection to end with the answer.
//
// It takes no more connections at a time than most: descriptors that requesters hold,
// the node lacks towards replicas and cores. Others wait in the listener's queue.
func Serve(server *http.Server, most int) error {
	listener, err := net.Listen("tcp", server.Addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	return ServeOn(server, listener, most)
}

// ServeOn is Serve on a listener that is there already.
func ServeOn(server *http.Server, listener net.Listener, most int) error {
	server.ConnContext = withConnection
	return server.Serve(&watchedListener{Listener: listener, places: make(chan struct{}, most), closed: make(chan struct{})})
}

// watchedListener accepts connections whose heads are watched, and which are counted.
type watchedListener struct {
	net.Listener
	// places has one entry for each open connection.
	places  chan struct{}
	closed  chan struct{}
	closing atomic.Bool
}

// Accept waits for a place and the next connection.
func (l *watchedListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	plain, ok := c.(*net.TCPConn)
	if err == nil && ok {
		return &connection{TCPConn: plain, places: l.places}, nil
	}
	<-l.places
	return c, err
}

// Close ends the listener, also while it waits for a place.
func (l *watchedListener) Close() error {
	if l.closing.CompareAndSwap(false, true) {
		close(l.closed)
	}
	return l.Listener.Close()
}

// connection is a requester's connection.
type connection struct {
	*net.TCPConn
	places <-chan struct{}
	closed atomic.Bool
	watch  headWatch
	// ambiguous: a head told its body's length in two ways.
	ambiguous atomic.Bool
}

// Close closes the connection and gives its place back.
func (c *connection) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		<-c.places
	}
	return c.TCPConn.Close()
}

// Read reads what the requester sends.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.watch.see(p[:n]) {
		c.ambiguous.Store(true)
	}
	return n, err
}

type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// ambiguous reports whether a head on a request's connection told its body's
// length in two ways.
func ambiguous(r *http.Request) bool {
	c, ok := r.Context().Value(connectionKey{}).(*connection)
	return ok && c.ambiguous.Load()
}

// headWatch looks for two headers within one run of lines without a blank one.
// It sees heads and bodies alike: a body that looks like such a head costs its
// requester a connection, and nothing more.
type headWatch struct {
	// line is the beginning of the line that is not over yet.
	line             []byte
	length, encoding bool
}

// Names of the headers, in lower case, and the longest of them.
const (
	lengthHeader   = "content-length"
	encodingHeader = "transfer-encoding"
	longestHeader  = len(encodingHeader)
)

// see takes the next bytes, and reports whether both headers stand in one head.
func (w *headWatch) see(raw []byte) bool {
	both := false
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n')
		part := raw
		if end >= 0 {
			part = raw[:end]
		}
		if room := longestHeader - len(w.line); room > 0 {
			w.line = append(w.line, part[:min(len(part), room)]...)
		}
		if end < 0 {
			break
		}
		w.endLine()
		both = both || w.length && w.encoding
		raw = raw[end+1:]
	}
	return both
}

// endLine takes the line that has ended; a blank one ends a head.
func (w *headWatch) endLine() {
	line := string(bytes.TrimRight(w.line, "\r"))
	switch {
	case line == "":
		w.length, w.encoding = false, false
	case hasName(line, lengthHeader):
		w.length = true
	case hasName(line, encodingHeader):
		w.encoding = true
	}
	w.line = w.line[:0]
}

// hasName reports whether a line begins with a header's name.
func hasName(line, name string) bool {
	return len(line) >= len(name) && strings.EqualFold(line[:len(name)], name)
}
