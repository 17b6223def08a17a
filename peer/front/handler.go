// Package front is the HTTP server of a relay node. It reads requests, asks a Dispatcher for each
// step, sends attempts to replicas and returns their responses.
//
// A buffered response is forwarded only if it arrived complete. A stream is forwarded in whole
// events, and an interrupted one never looks complete to the requester. Memory, connections and
// time that requesters can hold are limited. Start reading at handler.ServeHTTP.
package front

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/clock"
	"saffronfall/peer/relay"
	"saffronfall/peer/replica"
	"saffronfall/rule/invariant"
)

// Dispatcher decides what happens to requests: admission, replica choice and retries.
type Dispatcher interface {
	// Dispatch submits a request and waits for its first step. The pool is that of the replica
	// for relay.StepSend. The bool is false if the node stops first.
	Dispatch(ctx context.Context, spec relay.Request) (DispatchedRequest, relay.Step, *replica.Pool, bool)
}

// DispatchedRequest is a request that a Dispatcher has accepted.
type DispatchedRequest interface {
	// Next reports the last attempt's outcome and waits for the next step, like Dispatch.
	Next(o relay.Outcome) (relay.Step, *replica.Pool, bool)
}

// Options configure a handler.
type Options struct {
	Dispatcher Dispatcher
	Headers    replica.Headers
	// MaxBody limits the bodies from requesters and replicas, in bytes.
	MaxBody int64
	// Draining is closed when the node drains; responses then close their connections.
	Draining <-chan struct{}
	// BodyTimeout limits how long a body may take to arrive, in addition to the request's
	// deadline. IntakeBytes limits the memory for the bodies of open requests. Zero selects the
	// defaults.
	BodyTimeout time.Duration
	IntakeBytes int64
	// HashKey is the fleet's secret key for hashing requester-chosen names.
	HashKey [2]uint64
	// OnRejected, if set, is called on the request's goroutine for malformed or incomplete
	// requests.
	OnRejected func(e relay.Completion)
	// Violated reports violated invariants; if it is nil, they panic.
	Violated invariant.Reporter
}

// Handler returns the handler that serves requesters.
func Handler(o Options) http.Handler {
	if o.BodyTimeout <= 0 {
		o.BodyTimeout = defaultBodyTimeout
	}
	return &handler{Options: o, intake: newIntake(o.IntakeBytes)}
}

type handler struct {
	Options
	intake *intake
}

// exchange is one request and its response.
type exchange struct {
	*handler
	w           http.ResponseWriter
	r           *http.Request
	controller  *http.ResponseController
	body        []byte
	spec        relay.Request
	dispatched  DispatchedRequest
	started     bool
	lastEventID string
	output      []byte
}

// ServeHTTP follows the dispatcher's steps until the request is answered. A response that has
// begun and cannot be completed is aborted with its connection.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-h.Draining:
		w.Header().Set("Connection", "close")
	default:
		if ambiguousLength(r) {
			w.Header().Set("Connection", "close")
		}
	}
	x := &exchange{handler: h, w: w, r: r, controller: http.NewResponseController(w)}
	// net/http flushes the response after the handler returns.
	defer x.setWriteTimeout(responseTimeout)
	arrived := clock.Now()
	spec, fault := h.parseHead(r)
	x.spec = spec
	if fault != "" {
		x.discardBody()
		x.reject(relay.CauseMalformed, relay.Step{Status: 400, Check: "request", Reason: fault})
		return
	}
	b := body{intake: h.intake}
	defer b.release()
	if err := x.receiveBody(&b); err != nil {
		x.rejectBody(err)
		return
	}
	x.body = b.raw
	x.spec.Input, x.spec.BodyBytes, x.spec.HeadReceived = x.body, int64(len(x.body)), arrived
	dispatched, step, pool, ok := h.Dispatcher.Dispatch(r.Context(), x.spec)
	x.dispatched = dispatched
	for ok {
		switch step.Kind {
		case relay.StepSend:
			step, pool, ok = x.send(step, pool)
			continue
		case relay.StepDeliver:
			return
		case relay.StepAbort:
			if x.started || r.Context().Err() != nil {
				panic(http.ErrAbortHandler)
			}
		default:
			if x.started {
				panic(http.ErrAbortHandler)
			}
		}
		x.refuse(step)
		return
	}
	panic(http.ErrAbortHandler)
}

func (x *exchange) receiveBody(b *body) error {
	timeout := x.BodyTimeout
	if x.spec.Remaining > 0 {
		timeout = min(timeout, x.spec.Remaining)
	}
	x.setWriteTimeout(timeout)
	x.setReadTimeout(timeout)
	if err := b.read(x.r, x.MaxBody); err != nil {
		return err
	}
	// From here on, net/http reads only to detect a disconnect.
	x.setReadTimeout(0)
	return nil
}

// discardBody makes the response close the connection if there is a body. The server still reads
// for a limited time: closing with unread data would reset the connection, and the requester
// could lose the response.
func (x *exchange) discardBody() {
	if x.r.ContentLength == 0 {
		return
	}
	x.w.Header().Set("Connection", "close")
	x.setReadTimeout(min(x.BodyTimeout, discardTimeout))
}

func (x *exchange) rejectBody(err error) {
	x.discardBody()
	switch {
	case errors.Is(err, errBodyTooLarge):
		x.reject(relay.CauseBodyTooLarge, relay.Step{Status: 413, Check: "limits", Reason: err.Error()})
	case errors.Is(err, errIntakeFull):
		x.reject(relay.CauseIntakeFull, relay.Step{Status: 503, Check: "intake", Reason: err.Error(), RetryAfter: intakeRetryAfter})
	case timedOut(err):
		x.reject(relay.CauseBodyLate, relay.Step{Status: 408, Check: "body", Reason: "the body did not come in time"})
	default:
		x.reject(relay.CauseBodyIncomplete, relay.Step{Status: 400, Check: "body", Reason: "the body did not come whole"})
	}
}

// intakeRetryAfter is the Retry-After when the intake is full.
const intakeRetryAfter = 500 * time.Millisecond

func (x *exchange) reject(cause relay.Cause, s relay.Step) {
	if x.OnRejected != nil {
		x.OnRejected(relay.Completion{Cause: cause, Attempt: x.spec.Attempt, Program: x.spec.Program, Status: s.Status})
	}
	x.refuse(s)
}

// refuse writes the node's own response.
func (x *exchange) refuse(s relay.Step) {
	x.setWriteTimeout(responseTimeout)
	body, _ := json.Marshal(map[string]string{"error": s.Reason, "check": s.Check})
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if x.spec.Attempt != "" {
		header.Set(x.Headers.Attempt, x.spec.Attempt)
	}
	if s.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(s.RetryAfter.Seconds(), 'f', 3, 64))
	}
	x.w.WriteHeader(s.Status)
	x.w.Write(body)
}

// hopByHop are the headers of one connection, and Content-Length, which is set anew.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
}

// endToEnd copies headers except the hop-by-hop ones and those named by skip.
func endToEnd(from http.Header, skip ...string) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		if !hopByHop[name] {
			to[name] = values
		}
	}
	for _, field := range from["Connection"] {
		for _, name := range strings.Split(field, ",") {
			delete(to, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range skip {
		delete(to, http.CanonicalHeaderKey(name))
	}
	return to
}

func (x *exchange) send(s relay.Step, pool *replica.Pool) (relay.Step, *replica.Pool, bool) {
	if s.Timeout <= 0 {
		// The timeout expired before the attempt started.
		return x.dispatched.Next(relay.Outcome{Kind: relay.OutcomeNotRun, Unreachable: true})
	}
	x.setWriteTimeout(s.Timeout)
	n := x.Headers
	q := replica.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Attempt: x.spec.Attempt, Timeout: s.Timeout,
		HasBody: x.r.ContentLength != 0 || x.r.Method == http.MethodPost,
		Header:  endToEnd(x.r.Header, n.Attempt, n.Key, n.Tenant, n.Target, n.Deadline, n.Urgency, "Expect"),
		Body:    append(append([][]byte(nil), s.History...), x.body),
	}
	q.NodeHeaders = append(q.NodeHeaders,
		[2]string{n.Attempt, x.spec.Attempt},
		[2]string{n.Target, s.Replica.ID},
		[2]string{n.Deadline, strconv.FormatInt(max(1, s.Timeout.Milliseconds()), 10)})
	if s.Tenant != "" {
		q.NodeHeaders = append(q.NodeHeaders, [2]string{n.Tenant, s.Tenant})
	}
	if n.Urgency != "" && s.Stream {
		q.NodeHeaders = append(q.NodeHeaders, [2]string{n.Urgency, strconv.FormatInt(s.Urgency, 10)})
	}
	if x.lastEventID != "" {
		delete(q.Header, http.CanonicalHeaderKey(n.LastEvent))
		q.NodeHeaders = append(q.NodeHeaders, [2]string{n.LastEvent, x.lastEventID})
	}
	r, notSent, err := pool.Do(x.r.Context(), n, q)
	disconnected := x.r.Context().Err() != nil
	switch {
	case notSent:
		return x.dispatched.Next(relay.Outcome{
			Kind: relay.OutcomeNotRun, Unreachable: true, RequesterDisconnected: disconnected, NewConnection: true})
	case err != nil:
		return x.dispatched.Next(relay.Outcome{Kind: relay.OutcomeInterrupted, RequesterDisconnected: disconnected})
	}
	o := relay.Outcome{Load: parseLoad(r.Header.Get(n.Load)), NewConnection: r.NewConnection}
	ok := r.StatusCode >= 200 && r.StatusCode < 300
	switch {
	case r.NotRun:
		size, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxNotRunBody))
		r.Done(err == nil && size < maxNotRunBody)
		o.Kind, o.AddressReused = relay.OutcomeNotRun, r.Misdirected
	case ok && (r.Header.Get(n.Seal) == "" || !r.Delimited()):
		r.Done(false)
		o.Kind = relay.OutcomeInterrupted
	case ok && s.Stream:
		o = x.relayStream(r, s, o)
	default:
		return x.relayBuffered(r, o)
	}
	o.RequesterDisconnected = o.RequesterDisconnected || x.r.Context().Err() != nil
	return x.dispatched.Next(o)
}

// maxNotRunBody is how many bytes of a not-run response are read. A connection with more is not
// reused.
const maxNotRunBody = 64 << 10

// parseLoad reads a load header, "running,waiting,slots". It returns nil if malformed.
func parseLoad(text string) *relay.Load {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return nil
	}
	var counts [3]int64
	for i, field := range fields {
		n, err := strconv.ParseInt(strings.TrimSpace(field), 10, 64)
		if err != nil || n < 0 {
			return nil
		}
		counts[i] = n
	}
	return &relay.Load{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
}

func (x *exchange) copyHead(r *replica.Response) {
	if id := r.Header.Get(x.Headers.Attempt); id != "" && id != x.spec.Attempt {
		x.Violated.Violated(invariant.AnswerMatches, "the answer to attempt %s is passed on as that to attempt %s", id, x.spec.Attempt)
	}
	header := x.w.Header()
	for name, values := range endToEnd(r.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value stops net/http from guessing the type.
		header["Content-Type"] = nil
	}
}

var errResponseTooLarge = errors.New("the replica's answer is larger than the largest allowed body")

// relayBuffered forwards a response only if it arrived complete.
func (x *exchange) relayBuffered(r *replica.Response, o relay.Outcome) (relay.Step, *replica.Pool, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, x.MaxBody+1))
	if int64(len(body)) > x.MaxBody {
		err = errResponseTooLarge
	}
	r.Done(err == nil)
	o.RequesterDisconnected = x.r.Context().Err() != nil
	if err != nil || x.started || !r.Delimited() {
		o.Kind = relay.OutcomeInterrupted
		return x.dispatched.Next(o)
	}
	o.Kind, o.Failed, o.Status = relay.OutcomeComplete, r.StatusCode >= 300, r.StatusCode
	step, pool, ok := x.dispatched.Next(o)
	if ok && step.Kind == relay.StepDeliver {
		x.setWriteTimeout(responseTimeout)
		x.copyHead(r)
		size := int64(len(body))
		if x.r.Method == http.MethodHead {
			size = r.ContentLength
		}
		x.w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		x.w.WriteHeader(r.StatusCode)
		x.w.Write(body)
		x.started = true
	}
	return step, pool, ok
}

// relayStream forwards a stream event by event, without an incomplete last event.
func (x *exchange) relayStream(r *replica.Response, s relay.Step, o relay.Outcome) relay.Outcome {
	reader := bufio.NewReaderSize(r.Body, 4096)
	var e event
	lineStart := 0
	var firstAt time.Duration
	end := func(kind string, complete bool) relay.Outcome {
		r.Done(complete)
		if o.Events > 0 {
			o.StreamDuration = clock.Now() - firstAt
		}
		o.Kind = kind
		return o
	}
	forward := func() bool {
		if !x.writeEvent(r, e.raw) {
			o.RequesterDisconnected = true
			return false
		}
		if e.hasData {
			if o.Events == 0 {
				firstAt = clock.Now()
			}
			o.Events++
			o.Started = true
			if s.ReturnOutput {
				x.output = append(append(x.output, e.data...), '\n')
			}
		}
		if e.id != "" {
			x.lastEventID = e.id
		}
		e, lineStart = event{raw: e.raw[:0], data: e.data[:0]}, 0
		return true
	}
	for {
		line, err := reader.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case err != nil && err != io.EOF && err != bufio.ErrBufferFull, int64(len(e.raw)) > x.MaxBody:
			return end(relay.OutcomeInterrupted, false)
		case err == bufio.ErrBufferFull:
			continue
		}
		if blank := e.parseLine(e.raw[lineStart:]); blank && err == nil {
			if !forward() {
				return end(relay.OutcomeInterrupted, false)
			}
			continue
		}
		lineStart = len(e.raw)
		if err == io.EOF {
			// A complete stream may end its last event without a blank line.
			if (len(e.raw) > 0 || !x.started) && !forward() {
				return end(relay.OutcomeInterrupted, false)
			}
			o.Started, o.Output = x.started, x.output
			return end(relay.OutcomeComplete, true)
		}
	}
}

type event struct {
	raw, data []byte
	id        string
	hasData   bool
}

func (e *event) parseLine(line []byte) bool {
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id = string(value)
	case "data":
		if e.hasData {
			e.data = append(e.data, '\n')
		}
		e.data, e.hasData = append(e.data, value...), true
	}
	return len(line) == 0
}

// writeEvent writes and flushes an event, after the head if it is the first.
func (x *exchange) writeEvent(r *replica.Response, event []byte) bool {
	if !x.started {
		x.copyHead(r)
		x.w.WriteHeader(r.StatusCode)
		x.started = true
	}
	if _, err := x.w.Write(event); err != nil {
		return false
	}
	return x.controller.Flush() == nil
}
