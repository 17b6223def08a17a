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

// Names are the headers that requesters, nodes and replicas speak with.
type Names struct {
	Attempt, Deadline, LastEvent, Target, Load, NotRun, Seal, Tenant, Key, Urgency, Affinity string
	ProgramNames
}

// ProgramNames are the headers of programs' turns and calls. Horizon is how many
// milliseconds are left until the program should be done.
type ProgramNames struct {
	Tokens, Prompt, Program, Session, Budget, Previous, Horizon string
}

// OwnNames are the product's own.
var OwnNames = Names{Attempt: "Saffronfall-Attempt", Deadline: "Saffronfall-Deadline-Ms", LastEvent: "Last-Event-Id", Target: "Saffronfall-Replica",
	Load: "Saffronfall-Load", NotRun: "Saffronfall-Not-Run", Seal: "Saffronfall-Seal", Tenant: "Saffronfall-Tenant", Key: "Saffronfall-Key", Urgency: "Saffronfall-Urgency", Affinity: "Saffronfall-Affinity",
	ProgramNames: ProgramNames{Tokens: "Saffronfall-Tokens", Prompt: "Saffronfall-Prompt", Program: "Saffronfall-Program", Session: "Saffronfall-Session", Budget: "Saffronfall-Budget", Previous: "Saffronfall-Previous", Horizon: "Saffronfall-Horizon-Ms"}}

// Line keeps the idle connections to one replica. They are shared by all
// requests of this node, one request on each at a time.
type Line struct {
	address string
	dialer  *net.Dialer
	idle    chan *conn
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	until  time.Duration
	// room is how many bytes may still come before the head of an answer has
	// ended.
	room int
}

// Bounds on what stands before the body of an answer: bytes and heads.
const (
	mostHeadBytes = 256 << 10
	mostHeads     = 8
	mostSurplus   = 2
)

var errHead = errors.New("no head of an answer within its bounds")

// Read reads what a replica sends, within what a head may take.
func (c *conn) Read(p []byte) (int, error) {
	if c.room <= 0 {
		return 0, errHead
	}
	n, err := c.Conn.Read(p[:min(len(p), c.room)])
	c.room -= n
	return n, err
}

// NewLine makes a line that keeps at most so many idle connections.
func NewLine(address string, idle int, patience time.Duration) *Line {
	return &Line{address: address, idle: make(chan *conn, idle), dialer: &net.Dialer{Timeout: patience, KeepAlive: -1, Control: socket.UserTimeout(2 * patience)}}
}

// Close closes what is idle.
func (l *Line) Close() {
	for {
		select {
		case c := <-l.idle:
			c.Close()
		default:
			return
		}
	}
}

// errUnreached says that no connection came up, so nothing was sent.
var errUnreached = errors.New("unreached")

func (l *Line) take(ctx context.Context) (c *conn, cold bool, err error) {
	for {
		select {
		case c := <-l.idle:
			if clock.Now() < c.until && quiet(c) {
				return c, false, nil
			}
			c.Close()
			continue
		default:
		}
		raw, err := l.dialer.DialContext(ctx, "tcp", l.address)
		if err != nil {
			return nil, true, errors.WithSecondaryError(errUnreached, err)
		}
		c := &conn{Conn: raw}
		c.reader = bufio.NewReaderSize(c, 4096)
		return c, true, nil
	}
}

// quiet reports whether nothing came on an idle connection, neither bytes that
// belong to no request nor its end.
func quiet(c *conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		still = err == unix.EAGAIN
		return true
	})
	return err == nil && still
}

func (l *Line) keep(c *conn, until time.Duration) {
	c.until = until
	c.SetDeadline(time.Time{})
	select {
	case l.idle <- c:
	default:
		c.Close()
	}
}

// Request is one sending.
type Request struct {
	Method, URI string
	Host        string
	// Header is what is passed on besides what the node itself says.
	Header    http.Header
	Own       [][2]string
	Body      [][]byte
	Attempt   string
	Within    time.Duration
	HasBody   bool
	LastEvent string
}

// Response is a replica's answer whose body is still to be read.
type Response struct {
	*http.Response
	// NotRun: the replica promised that it did not run. Moved: another replica
	// has the address.
	NotRun, Moved bool
	Cold          bool

	line   *Line
	conn   *conn
	stop   func() bool
	odd    bool
	closed bool
}

// Do sends a request and reads the head of its answer. Unreached says that
// nothing was sent; after any other error it may have run. Nothing is ever sent
// twice.
func (l *Line) Do(ctx context.Context, names Names, q Request) (r *Response, unreached bool, err error) {
	c, cold, err := l.take(ctx)
	if err != nil {
		return nil, true, err
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	fail := func(err error) (*Response, bool, error) {
		stop()
		c.Close()
		return nil, false, err
	}
	c.SetDeadline(clock.Deadline(q.Within))
	head := q.head()
	size := len(head)
	for _, part := range q.Body {
		size += len(part)
	}
	if size <= 64<<10 {
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
	asked := &http.Request{Method: q.Method}
	r = &Response{line: l, conn: c, stop: stop, Cold: cold}
	c.room = mostHeadBytes
	for heads, surplus := 0, 0; ; heads++ {
		if heads == mostHeads {
			return fail(errHead)
		}
		r.Response, err = http.ReadResponse(c.reader, asked)
		if err != nil {
			return fail(err)
		}
		if r.StatusCode >= 100 && r.StatusCode < 200 && r.StatusCode != 101 {
			continue
		}
		id := r.Header.Get(names.Attempt)
		if id == "" || id == q.Attempt {
			break
		}
		// A surplus answer to an earlier request stands where this one's is due.
		r.odd = true
		if surplus++; surplus > mostSurplus {
			return fail(errors.New("answers to other requests"))
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return fail(err)
		}
	}
	c.room = math.MaxInt
	r.NotRun = r.Header.Get(names.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
	r.Moved = r.StatusCode == http.StatusMisdirectedRequest
	if !r.NotRun && r.Header.Get(names.Attempt) == "" {
		return fail(errors.New("an answer to nobody knows what"))
	}
	return r, false, nil
}

// Done ends an answer. A whole one leaves its connection to the next request,
// unless anything about it was odd.
func (r *Response) Done(whole bool) {
	if r.closed {
		return
	}
	r.closed = true
	if !r.stop() {
		return
	}
	if !whole || r.odd || r.Close || r.conn.reader.Buffered() > 0 || (r.ContentLength < 0 && len(r.TransferEncoding) == 0) {
		r.conn.Close()
		return
	}
	r.line.keep(r.conn, clock.Now()+keepAlive(r.Header.Get("Keep-Alive")))
}

// Delimited reports whether the answer says itself where it ends.
func (r *Response) Delimited() bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// keepAlive is how long an idle connection is used: a margin before the other
// end closes it.
func keepAlive(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if n, err := strconv.Atoi(value); err == nil && n >= 0 {
				return time.Duration(n) * time.Second * 3 / 4
			}
		}
	}
	return time.Minute
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
	for _, own := range q.Own {
		b = append(append(append(append(b, own[0]...), ": "...), own[1]...), "\r\n"...)
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
