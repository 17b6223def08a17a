// Package httpserver runs HTTP servers whose clients may keep to no limits.
//
// It bounds how many connections are open, and the memory of the requests that they send. When either
// is used up, connections without a whole request give way, the one that has waited for longest first; a
// connection whose request is being served never does. Start reading at Serve, listener.Accept and
// memory.reserve.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/socket"
)

// defaultIdleTimeout closes connections between requests at servers without an IdleTimeout.
const defaultIdleTimeout = time.Minute

const (
	// receiveBufferBytes is what may arrive unread on one connection. It holds the largest head in the
	// common limits twice.
	receiveBufferBytes = 32 << 10
	// sendBufferBytes is what may wait unsent on one connection. A smaller buffer waits for delayed
	// acknowledgments on links with segments of 64 KiB.
	sendBufferBytes = 64 << 10
)

// Limits bound what the clients of one server can hold.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// RequestBytes is the memory for the heads of all requests together, beside a small one that each
	// connection has.
	RequestBytes int64
	// CountBodies is set for handlers that hold whole bodies without a limit of their own on all of them:
	// RequestBytes are for the bodies too.
	CountBodies bool
}

// ListenAndServe listens on the server's address and serves it within the limits, until the server is
// closed. The error is never nil; after a shutdown it is http.ErrServerClosed.
func ListenAndServe(server *http.Server, limits Limits) error {
	listener, err := Listen(server.Addr)
	if err != nil {
		return err
	}
	return Serve(server, listener, limits)
}

// Listen opens a listening socket for Serve, whose connections have small buffers.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: socket.Buffers(receiveBufferBytes, sendBufferBytes)}
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, errors.Wrap(err, "listen")
}

// Serve is ListenAndServe on an existing listener. It sets the server's ConnContext and ConnState, and
// wraps its handler. Without an IdleTimeout it is one minute.
func Serve(server *http.Server, listener net.Listener, limits Limits) error {
	if server.IdleTimeout == 0 {
		server.IdleTimeout = defaultIdleTimeout
	}
	memory := newMemory(limits.RequestBytes)
	go memory.run()
	bounded := newListener(listener, limits.Connections, memory)
	defer func() { go memory.stopAfter(bounded.slots) }()
	server.Handler = requestTracker{next: server.Handler, countBodies: limits.CountBodies}
	server.ConnContext = withConnection
	server.ConnState = followState
	return server.Serve(bounded)
}

type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

func connectionOf(ctx context.Context) *connection {
	conn, _ := ctx.Value(connectionKey{}).(*connection)
	return conn
}

// Accepted returns the connection of a request as the listener given to Serve accepted it, or nil.
func Accepted(r *http.Request) net.Conn {
	if conn := connectionOf(r.Context()); conn != nil {
		return conn.Conn
	}
	return nil
}

// Abort closes a request's connection to make room and drops what it has not sent yet. It is safe for
// concurrent use with the request's handler. It returns false if Serve doesn't serve the request.
func Abort(r *http.Request) bool {
	conn := connectionOf(r.Context())
	if conn == nil {
		return false
	}
	conn.abort()
	return true
}

// followState tells a connection when its request has ended.
func followState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.freeMemory()
		c.awaitRequest()
	case http.StateClosed:
		c.freeMemory()
	}
}
