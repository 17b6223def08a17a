// Package replica is the HTTP client for replicas, the back ends that run requests, and the HTTP
// handler that registers them. Pool reuses connections to one replica; Sender opens a connection
// for each attempt.
//
// This package never sends a request twice: the caller decides on a retry by whether the attempt
// may have run. Start reading at Pool.Do.
package replica

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"saffronfall/peer/clock"
	"saffronfall/peer/socket"
)

// Headers are the header names between requesters, nodes and replicas. A replica sets NotRun if
// it did not run the request. A successful response without Seal counts as interrupted. Target is
// the ID of the intended replica.
type Headers struct {
	Attempt, Deadline, LastEvent, Target, Load, NotRun, Seal, Tenant, Key, Urgency, Affinity string
	// Operation carries the operation key.
	Operation string
	ProgramHeaders
}

// ProgramHeaders are the header names of a program's turns and calls. Horizon carries the
// milliseconds left until the program should be done.
type ProgramHeaders struct {
	Tokens, Prompt, Program, Session, Budget, Previous, Horizon string
}

// DefaultHeaders are the header names of this product.
var DefaultHeaders = Headers{
	Attempt:   "Saffronfall-Attempt",
	Deadline:  "Saffronfall-Deadline-Ms",
	LastEvent: "Last-Event-Id",
	Target:    "Saffronfall-Replica",
	Load:      "Saffronfall-Load",
	NotRun:    "Saffronfall-Not-Run",
	Seal:      "Saffronfall-Seal",
	Tenant:    "Saffronfall-Tenant",
	Key:       "Saffronfall-Key",
	Urgency:   "Saffronfall-Urgency",
	Affinity:  "Saffronfall-Affinity",
	Operation: "Saffronfall-Operation-Key",
	ProgramHeaders: ProgramHeaders{
		Tokens:   "Saffronfall-Tokens",
		Prompt:   "Saffronfall-Prompt",
		Program:  "Saffronfall-Program",
		Session:  "Saffronfall-Session",
		Budget:   "Saffronfall-Budget",
		Previous: "Saffronfall-Previous",
		Horizon:  "Saffronfall-Horizon-Ms",
	},
}

// Pool keeps idle connections to one replica, each for one request at a time. It is safe for
// concurrent use.
type Pool struct {
	address string
	dialer  *net.Dialer
	idle    chan *conn
}

type conn struct {
	net.Conn
	reader    *bufio.Reader
	idleUntil time.Duration
	// headBytesLeft limits what may still be read of the response head.
	headBytesLeft int
}

// Limits on what precedes a response body: bytes of heads, heads including informational (1xx)
// ones, and responses to earlier requests.
const (
	maxHeadBytes      = 256 << 10
	maxHeads          = 8
	maxStaleResponses = 2
)

// maxCombinedWrite is the size in bytes up to which head and body share one write.
const maxCombinedWrite = 64 << 10

const readBufferBytes = 4096

// defaultIdleTime applies if a replica sends no valid Keep-Alive timeout.
const defaultIdleTime = time.Minute

var errResponseHead = errors.New("the response head exceeds its bounds")

// Read reads within the limit on the response head.
func (c *conn) Read(p []byte) (int, error) {
	if c.headBytesLeft <= 0 {
		return 0, errResponseHead
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headBytesLeft)])
	c.headBytesLeft -= n
	return n, err
}

// NewPool returns a pool that keeps at most maxIdle idle connections. Data that is not
// acknowledged within twice dialTimeout ends a connection.
func NewPool(address string, maxIdle int, dialTimeout time.Duration) *Pool {
	return &Pool{
		address: address,
		idle:    make(chan *conn, maxIdle),
		dialer:  &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: socket.UserTimeout(2 * dialTimeout)},
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	for {
		select {
		case c := <-p.idle:
			c.Close()
		default:
			return
		}
	}
}

// errUnreachable means that no connection was made, so nothing was sent.
var errUnreachable = errors.New("the replica could not be reached")

func (p *Pool) acquire(ctx context.Context) (c *conn, dialed bool, err error) {
	for {
		select {
		case c := <-p.idle:
			if clock.Now() < c.idleUntil && stillIdle(c) {
				return c, false, nil
			}
			c.Close()
			continue
		default:
		}
		raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
		if err != nil {
			return nil, true, errors.WithSecondaryError(errUnreachable, err)
		}
		c := &conn{Conn: raw}
		c.reader = bufio.NewReaderSize(c, readBufferBytes)
		return c, true, nil
	}
}

// stillIdle reports whether a connection is open and has received nothing since its last
// response. Bytes on an idle connection belong to no request.
func stillIdle(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}

func (p *Pool) release(c *conn, until time.Duration) {
	c.idleUntil = until
	c.SetDeadline(time.Time{})
	select {
	case p.idle <- c:
	default:
		c.Close()
	}
}

// Request is one attempt of a request. Its body is the concatenation of Body. HasBody sends a
// Content-Length even if it is empty.
type Request struct {
	Method, URI string
	Host        string
	// Header comes from the requester. NodeHeaders are the names and values that the node adds.
	Header      http.Header
	NodeHeaders [][2]string
	Body        [][]byte
	Attempt     string
	Timeout     time.Duration
	HasBody     bool
}

// Response is a replica's response. The caller reads its body and then calls Done.
type Response struct {
	*http.Response
	// NotRun means that the replica states that it did not run the request; Misdirected, that
	// another replica now has its address (status 421).
	NotRun, Misdirected bool
	NewConnection       bool

	pool *Pool
	conn *conn
	// detach stops the request context from closing the connection. It reports whether it did so
	// in time.
	detach  func() bool
	noReuse bool
	done    bool
}

// Do sends a request once and reads the head of its response. If notSent is true, nothing was
// sent; after any other error the request may have run.
func (p *Pool) Do(ctx context.Context, headers Headers, q Request) (r *Response, notSent bool, err error) {
	c, dialed, err := p.acquire(ctx)
	if err != nil {
		return nil, true, err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	fail := func(err error) (*Response, bool, error) {
		stop()
		c.Close()
		return nil, false, err
	}
	c.SetDeadline(clock.Deadline(q.Timeout))
	head := q.head()
	size := len(head)
	for _, part := range q.Body {
		size += len(part)
	}
	if size <= maxCombinedWrite {
		for _, part := range q.Body {
			head = append(head, part...)
		}
		_, err = c.Write(head)
	} else {
		buffers := append(net.Buffers{head}, q.Body...)
		_, err = buffers.WriteTo(c.Conn)
	}
	if err != nil {
		return fail(err)
	}
	request := &http.Request{Method: q.Method}
	r = &Response{pool: p, conn: c, detach: stop, NewConnection: dialed}
	c.headBytesLeft = maxHeadBytes
	for heads, stale := 0, 0; ; heads++ {
		if heads == maxHeads {
			return fail(errResponseHead)
		}
		r.Response, err = http.ReadResponse(c.reader, request)
		if err != nil {
			return fail(err)
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 && r.StatusCode != 101 {
			continue
		}
		id := r.Header.Get(headers.Attempt)
		if id == "" || id == q.Attempt {
			break
		}
		// A surplus response to an earlier request came where this one's is due.
		r.noReuse = true
		if stale++; stale > maxStaleResponses {
			return fail(errors.New("too many responses to earlier requests"))
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return fail(err)
		}
	}
	c.headBytesLeft = math.MaxInt
	r.NotRun = r.Header.Get(headers.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
	r.Misdirected = r.StatusCode == http.StatusMisdirectedRequest
	if !r.NotRun && r.Header.Get(headers.Attempt) == "" {
		return fail(errors.New("the response names no attempt and does not say that it was not run"))
	}
	return r, false, nil
}

// Done ends a response. The connection is reused only if the body was read completely
// and the response states where its body ends.
func (r *Response) Done(complete bool) {
	if r.done {
		return
	}
	r.done = true
	if !r.detach() {
		return
	}
	if !complete || r.noReuse || r.Close || r.conn.reader.Buffered() > 0 || (r.ContentLength < 0 && len(r.TransferEncoding) == 0) {
		r.conn.Close()
		return
	}
	r.pool.release(r.conn, clock.Now()+idleTime(r.Header.Get("Keep-Alive")))
}

// Delimited reports whether the response itself says where its body ends.
func (r *Response) Delimited() bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// idleTime is less than the replica's Keep-Alive timeout, so that the replica does not close an
// idle connection first.
func idleTime(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil && n >= 0 {
				return time.Duration(n) * time.Second * 3 / 4
			}
		}
	}
	return defaultIdleTime
}

func (q *Request) head() []byte {
	b := make([]byte, 0, 1024)
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, q.Host...)
	b = append(b, "\r\n"...)
	for name, values := range q.Header {
		for _, value := range values {
			b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
		}
	}
	for _, header := range q.NodeHeaders {
		b = append(append(append(append(b, header[0]...), ": "...), header[1]...), "\r\n"...)
	}
	size := 0
	for _, part := range q.Body {
		size += len(part)
	}
	if q.HasBody || size > 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(size), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}
