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
	"saffronfall/peer/httpserver"
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
	// deadline. IntakeBytes limits the memory for the bodies of open requests, and AnswerBytes that for
	// large buffered answers. Zero selects the defaults.
	BodyTimeout time.Duration
	IntakeBytes int64
	AnswerBytes int64
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
	return &handler{Options: o, intake: newIntake(o.IntakeBytes), answers: newAnswerRoom(o.AnswerBytes)}
}

type handler struct {
	Options
	intake  *intake
	answers *answerRoom
}

// exchange is one request with its response. output collects a stream's data for storing.
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
	b := h.intake.newBuffer()
	defer b.releaseAll()
	if err := x.receiveBody(b); err != nil {
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
		case relay.StepReplay:
			if !x.replay(step.Response) {
				panic(http.ErrAbortHandler)
			}
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

func (x *exchange) receiveBody(b *buffer) error {
	timeout := x.BodyTimeout
	if x.spec.Remaining > 0 {
		timeout = min(timeout, x.spec.Remaining)
	}
	x.setWriteTimeout(timeout)
	x.setReadTimeout(timeout)
	if err := readBody(b, x.r, x.MaxBody); err != nil {
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

const intakeRetryAfter = 500 * time.Millisecond

func (x *exchange) reject(cause relay.Cause, step relay.Step) {
	if x.OnRejected != nil {
		x.OnRejected(relay.Completion{Cause: cause, Attempt: x.spec.Attempt, Program: x.spec.Program, Status: step.Status})
	}
	x.refuse(step)
}

func (x *exchange) refuse(step relay.Step) {
	x.setWriteTimeout(responseTimeout)
	body, _ := json.Marshal(map[string]string{"error": step.Reason, "check": step.Check})
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if x.spec.Attempt != "" {
		header.Set(x.Headers.Attempt, x.spec.Attempt)
	}
	if step.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(step.RetryAfter.Seconds(), 'f', 3, 64))
	}
	x.w.WriteHeader(step.Status)
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

func (x *exchange) send(step relay.Step, pool *replica.Pool) (relay.Step, *replica.Pool, bool) {
	if step.Timeout <= 0 {
		// The timeout expired before the attempt started.
		return x.dispatched.Next(relay.Outcome{Kind: relay.OutcomeNotRun, Unreachable: true})
	}
	x.setWriteTimeout(step.Timeout)
	names := x.Headers
	request := replica.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Attempt: x.spec.Attempt, Timeout: step.Timeout,
		HasBody: x.r.ContentLength != 0 || x.r.Method == http.MethodPost,
		Header:  endToEnd(x.r.Header, names.Attempt, names.Key, names.Tenant, names.Target, names.Deadline, names.Urgency, "Expect"),
		Body:    append(append([][]byte(nil), step.History...), x.body),
	}
	request.NodeHeaders = append(request.NodeHeaders,
		[2]string{names.Attempt, x.spec.Attempt},
		[2]string{names.Target, step.Replica.ID},
		[2]string{names.Deadline, strconv.FormatInt(max(1, step.Timeout.Milliseconds()), 10)})
	if step.Tenant != "" {
		request.NodeHeaders = append(request.NodeHeaders, [2]string{names.Tenant, step.Tenant})
	}
	if names.Urgency != "" && step.Stream {
		request.NodeHeaders = append(request.NodeHeaders, [2]string{names.Urgency, strconv.FormatInt(step.Urgency, 10)})
	}
	if x.lastEventID != "" {
		delete(request.Header, http.CanonicalHeaderKey(names.LastEvent))
		request.NodeHeaders = append(request.NodeHeaders, [2]string{names.LastEvent, x.lastEventID})
	}
	ctx := x.r.Context()
	if step.RunToEnd {
		ctx = context.WithoutCancel(ctx)
	}
	response, notSent, err := pool.Do(ctx, names, request)
	disconnected := x.r.Context().Err() != nil
	switch {
	case notSent:
		return x.dispatched.Next(relay.Outcome{
			Kind: relay.OutcomeNotRun, Unreachable: true, RequesterDisconnected: disconnected, NewConnection: true})
	case err != nil:
		return x.dispatched.Next(relay.Outcome{Kind: relay.OutcomeInterrupted, RequesterDisconnected: disconnected})
	}
	outcome := relay.Outcome{Load: parseLoad(response.Header.Get(names.Load)), NewConnection: response.NewConnection}
	ok := response.StatusCode >= 200 && response.StatusCode < 300
	switch {
	case response.NotRun:
		size, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxNotRunBody))
		response.Done(err == nil && size < maxNotRunBody)
		outcome.Kind, outcome.AddressReused = relay.OutcomeNotRun, response.Misdirected
		outcome.InProgress = response.StatusCode == http.StatusConflict
	case ok && (response.Header.Get(names.Seal) == "" || !response.Delimited()):
		response.Done(false)
		outcome.Kind = relay.OutcomeInterrupted
	case ok && step.Stream:
		outcome = x.relayStream(response, step, outcome)
	default:
		return x.relayBuffered(ctx, response, step, outcome)
	}
	outcome.RequesterDisconnected = outcome.RequesterDisconnected || x.r.Context().Err() != nil
	return x.dispatched.Next(outcome)
}

// maxNotRunBody is how many bytes of a not-run response are read. A connection with more is not
// reused.
const maxNotRunBody = 64 << 10

const streamBufferBytes = 4096

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

func (x *exchange) copyHead(response *replica.Response) {
	if id := response.Header.Get(x.Headers.Attempt); id != "" && id != x.spec.Attempt {
		x.Violated.Violated(invariant.AnswerMatches, "the answer to attempt %s is passed on as that to attempt %s", id, x.spec.Attempt)
	}
	header := x.w.Header()
	for name, values := range endToEnd(response.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value stops net/http from guessing the type.
		header["Content-Type"] = nil
	}
}

// relayBuffered forwards a response only if it arrived complete.
func (x *exchange) relayBuffered(ctx context.Context, response *replica.Response, sent relay.Step, outcome relay.Outcome) (relay.Step, *replica.Pool, bool) {
	ctx, cancel := context.WithTimeout(ctx, sent.Timeout)
	defer cancel()
	answer := x.answers.newAnswer(ctx)
	defer answer.close()
	body, err := answer.read(response, x.MaxBody)
	response.Done(err == nil)
	outcome.RequesterDisconnected = x.r.Context().Err() != nil
	if err != nil || x.started || !response.Delimited() {
		outcome.Kind = relay.OutcomeInterrupted
		return x.dispatched.Next(outcome)
	}
	outcome.Kind, outcome.Failed, outcome.Status = relay.OutcomeComplete, response.StatusCode >= 300, response.StatusCode
	if sent.RunToEnd {
		outcome.Response = x.storableResponse(response, body)
	}
	step, pool, ok := x.dispatched.Next(outcome)
	if ok && step.Kind == relay.StepDeliver {
		answer.deliver(x.abortConnection, func() { x.writeBuffered(response, body) })
	}
	return step, pool, ok
}

func (x *exchange) writeBuffered(response *replica.Response, body []byte) {
	x.setWriteTimeout(responseTimeout)
	x.copyHead(response)
	size := int64(len(body))
	if x.r.Method == http.MethodHead {
		size = response.ContentLength
	}
	x.w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	x.w.WriteHeader(response.StatusCode)
	x.w.Write(body)
	x.started = true
}

// abortConnection ends a pending write to the requester, whose connection is then closed.
func (x *exchange) abortConnection() {
	if !httpserver.Abort(x.r) {
		_ = x.controller.SetWriteDeadline(clock.Deadline(-time.Second))
	}
}

// relayStream forwards a stream event by event, without an incomplete last event.
func (x *exchange) relayStream(response *replica.Response, step relay.Step, outcome relay.Outcome) relay.Outcome {
	reader := bufio.NewReaderSize(response.Body, streamBufferBytes)
	var e event
	lineStart := 0
	var firstAt time.Duration
	end := func(kind string, complete bool) relay.Outcome {
		response.Done(complete)
		if outcome.Events > 0 {
			outcome.StreamDuration = clock.Now() - firstAt
		}
		outcome.Kind = kind
		return outcome
	}
	forward := func() bool {
		if !x.writeEvent(response, e.raw) {
			outcome.RequesterDisconnected = true
			return false
		}
		if e.hasData {
			if outcome.Events == 0 {
				firstAt = clock.Now()
			}
			outcome.Events++
			outcome.Started = true
			if step.ReturnOutput {
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
			outcome.Started, outcome.Output = x.started, x.output
			return end(relay.OutcomeComplete, true)
		}
	}
}

type event struct {
	raw, data []byte
	id        string
	hasData   bool
}

// parseLine reports whether the line is blank.
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
func (x *exchange) writeEvent(response *replica.Response, event []byte) bool {
	if !x.started {
		x.copyHead(response)
		x.w.WriteHeader(response.StatusCode)
		x.started = true
	}
	if _, err := x.w.Write(event); err != nil {
		return false
	}
	return x.controller.Flush() == nil
}
