// Package front is the side of a relaying node that requesters see: it reads
// requests, asks the node's machine what is to be done, and carries answers
// from replicas back as they come.
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

// Owner is the node's machine as this side needs it.
type Owner interface {
	// Arrive hands a request over and waits for its first step. The line is that
	// to the replica of a sending step.
	Arrive(ctx context.Context, a relay.Ask) (Way, relay.Step, *replica.Line, bool)
}

// Way is a request under way: each outcome is answered by the next step.
type Way interface {
	Came(o relay.Outcome) (relay.Step, *replica.Line, bool)
}

// Options make a handler.
type Options struct {
	Owner Owner
	Names replica.Names
	// Most is the largest body that is read at all.
	Most int64
	// Closing is closed when the node drains: answers then end their
	// connections.
	Closing <-chan struct{}
	// BodyTime is how long a requester may take to send a body, besides the deadline
	// that it names. IntakeSize is how many bytes the bodies of all requests under way
	// may take. Zero: defaults.
	BodyTime   time.Duration
	IntakeSize int64
	// HashKey is the fleet's secret key of hashes of what requesters choose.
	HashKey [2]uint64
	// Rejected, where it is set, is told of requests that did not arrive whole, on
	// the goroutine that found it.
	Rejected func(e relay.Ended)
	// Violated takes violated invariants; without it they panic.
	Violated invariant.Reporter
}

// Handler serves requesters.
func Handler(o Options) http.Handler {
	if o.BodyTime <= 0 {
		o.BodyTime = defaultBodyTime
	}
	return &handler{Options: o, intake: newIntake(o.IntakeSize)}
}

type handler struct {
	Options
	intake *intake
}

// exchange is one request with its answer.
type exchange struct {
	*handler
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	body       []byte
	ask        relay.Ask
	way        Way
	started    bool
	lastID     string
	output     []byte
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-h.Closing:
		w.Header().Set("Connection", "close")
	default:
		if ambiguous(r) {
			w.Header().Set("Connection", "close")
		}
	}
	x := &exchange{handler: h, w: w, r: r, controller: http.NewResponseController(w)}
	// What is left in the connection's buffer is written when the handler has ended.
	defer x.mayWrite(answerTime)
	came := clock.Now()
	ask, fault := h.read(r)
	x.ask = ask
	if fault != "" {
		x.abandonBody()
		x.reject(relay.CauseMalformed, relay.Step{Status: 400, Check: "request", Reason: fault})
		return
	}
	held := body{intake: h.intake}
	defer held.release()
	if err := x.receive(&held); err != nil {
		x.rejectBody(err)
		return
	}
	x.body = held.raw
	x.ask.Input, x.ask.BodyBytes, x.ask.Came = x.body, int64(len(x.body)), came
	way, step, line, ok := h.Owner.Arrive(r.Context(), x.ask)
	x.way = way
	for ok {
		switch step.Kind {
		case relay.StepSend:
			step, line, ok = x.send(step, line)
			continue
		case relay.StepPass:
			return
		case relay.StepBreak:
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

// receive reads the body, within the time that the requester has for it.
func (x *exchange) receive(held *body) error {
	within := x.BodyTime
	if x.ask.Left > 0 {
		within = min(within, x.ask.Left)
	}
	x.mayWrite(within)
	x.mayRead(within)
	if err := held.read(x.r, x.Most); err != nil {
		return err
	}
	// From here on, reading only serves to notice that the requester goes away.
	x.mayRead(0)
	return nil
}

// abandonBody ends the connection of a request whose body is not wanted, with its
// answer. The server still reads what is under way, so that the answer is not lost, and
// for a bounded time.
func (x *exchange) abandonBody() {
	if x.r.ContentLength == 0 {
		return
	}
	x.w.Header().Set("Connection", "close")
	x.mayRead(min(x.BodyTime, discardTime))
}

// rejectBody ends a request whose body did not come as it should. What may still come
// on its connection belongs to nothing.
func (x *exchange) rejectBody(err error) {
	x.abandonBody()
	switch {
	case errors.Is(err, errBodyTooLarge):
		x.reject(relay.CauseBodyTooLarge, relay.Step{Status: 413, Check: "limits", Reason: err.Error()})
	case errors.Is(err, errIntakeFull):
		x.reject(relay.CauseIntakeFull, relay.Step{Status: 503, Check: "intake", Reason: err.Error(), RetryAfter: intakeRetry})
	case late(err):
		x.reject(relay.CauseBodyLate, relay.Step{Status: 408, Check: "body", Reason: "the body did not come in time"})
	default:
		x.reject(relay.CauseBodyIncomplete, relay.Step{Status: 400, Check: "body", Reason: "the body did not come whole"})
	}
}

// intakeRetry is after how long a request may come back that found no room.
const intakeRetry = 500 * time.Millisecond

// reject ends a request that has not arrived whole.
func (x *exchange) reject(cause relay.Cause, s relay.Step) {
	if x.Rejected != nil {
		x.Rejected(relay.Ended{Cause: cause, Attempt: x.ask.Attempt, Program: x.ask.Program, Status: s.Status})
	}
	x.refuse(s)
}

// refuse writes an answer of the node's own.
func (x *exchange) refuse(s relay.Step) {
	x.mayWrite(answerTime)
	body, _ := json.Marshal(map[string]string{"error": s.Reason, "check": s.Check})
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if x.ask.Attempt != "" {
		header.Set(x.Names.Attempt, x.ask.Attempt)
	}
	if s.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(s.RetryAfter.Seconds(), 'f', 3, 64))
	}
	x.w.WriteHeader(s.Status)
	x.w.Write(body)
}

// hop are headers that concern one connection only.
var hop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true}

func passable(from http.Header, skip ...string) http.Header {
	to := make(http.Header, len(from))
	for name, values := range from {
		if !hop[name] {
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

// send makes one sending and tells what became of it.
func (x *exchange) send(s relay.Step, line *replica.Line) (relay.Step, *replica.Line, bool) {
	if s.Within <= 0 {
		// Its time ended while it was on its way here.
		return x.way.Came(relay.Outcome{Kind: relay.NotRun, Unreached: true})
	}
	x.mayWrite(s.Within)
	n := x.Names
	q := replica.Request{Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Attempt: x.ask.Attempt, Within: s.Within, HasBody: x.r.ContentLength != 0 || x.r.Method == http.MethodPost,
		Header: passable(x.r.Header, n.Attempt, n.Key, n.Tenant, n.Target, n.Deadline, n.Urgency, "Expect"), Body: append(append([][]byte(nil), s.Before...), x.body)}
	q.Own = append(q.Own, [2]string{n.Attempt, x.ask.Attempt}, [2]string{n.Target, s.Replica.ID}, [2]string{n.Deadline, strconv.FormatInt(max(1, s.Within.Milliseconds()), 10)})
	if s.Tenant != "" {
		q.Own = append(q.Own, [2]string{n.Tenant, s.Tenant})
	}
	if n.Urgency != "" && s.Stream {
		q.Own = append(q.Own, [2]string{n.Urgency, strconv.FormatInt(s.Urgency, 10)})
	}
	if x.lastID != "" {
		delete(q.Header, http.CanonicalHeaderKey(n.LastEvent))
		q.Own = append(q.Own, [2]string{n.LastEvent, x.lastID})
	}
	r, unreached, err := line.Do(x.r.Context(), n, q)
	gone := x.r.Context().Err() != nil
	switch {
	case unreached:
		return x.way.Came(relay.Outcome{Kind: relay.NotRun, Unreached: true, Gone: gone, Cold: true})
	case err != nil:
		return x.way.Came(relay.Outcome{Kind: relay.Broken, Gone: gone})
	}
	o := relay.Outcome{Load: load(r.Header.Get(n.Load)), Cold: r.Cold}
	ok := r.StatusCode >= 200 && r.StatusCode < 300
	switch {
	case r.NotRun:
		size, err := io.Copy(io.Discard, io.LimitReader(r.Body, mostPromise))
		r.Done(err == nil && size < mostPromise)
		o.Kind, o.Moved = relay.NotRun, r.Moved
	case ok && (r.Header.Get(n.Seal) == "" || !r.Delimited()):
		r.Done(false)
		o.Kind = relay.Broken
	case ok && s.Stream:
		o = x.relay(r, s, o)
	default:
		return x.pass(r, o)
	}
	o.Gone = o.Gone || x.r.Context().Err() != nil
	return x.way.Came(o)
}

// mostPromise is how much is read of an answer that promises that nothing ran.
const mostPromise = 64 << 10

func load(text string) *relay.Load {
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

func (x *exchange) head(r *replica.Response) {
	if id := r.Header.Get(x.Names.Attempt); id != "" && id != x.ask.Attempt {
		x.Violated.Violated(invariant.AnswerMatches, "the answer to %s is passed on to %s", id, x.ask.Attempt)
	}
	header := x.w.Header()
	for name, values := range passable(r.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
}

var errTooLarge = errors.New("more than any answer may hold")

// pass carries an answer that is not streamed. It is passed on only when it came
// whole.
func (x *exchange) pass(r *replica.Response, o relay.Outcome) (relay.Step, *replica.Line, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, x.Most+1))
	if int64(len(body)) > x.Most {
		err = errTooLarge
	}
	r.Done(err == nil)
	o.Gone = x.r.Context().Err() != nil
	if err != nil || x.started || !r.Delimited() {
		o.Kind = relay.Broken
		return x.way.Came(o)
	}
	o.Kind, o.Failed, o.Status = relay.Whole, r.StatusCode >= 300, r.StatusCode
	step, line, ok := x.way.Came(o)
	if ok && step.Kind == relay.StepPass {
		x.mayWrite(answerTime)
		x.head(r)
		size := int64(len(body))
		if x.r.Method == http.MethodHead {
			size = r.ContentLength
		}
		x.w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		x.w.WriteHeader(r.StatusCode)
		x.w.Write(body)
		x.started = true
	}
	return step, line, ok
}

// relay carries a stream, event by event. What of an event did not come whole is
// not passed on.
func (x *exchange) relay(r *replica.Response, s relay.Step, o relay.Outcome) relay.Outcome {
	reader := bufio.NewReaderSize(r.Body, 4096)
	var e event
	at := 0
	var first time.Duration
	end := func(kind string, whole bool) relay.Outcome {
		r.Done(whole)
		if o.Events > 0 {
			o.Streamed = clock.Now() - first
		}
		o.Kind = kind
		return o
	}
	dispatch := func() bool {
		if !x.write(r, e.raw) {
			o.Gone = true
			return false
		}
		if e.has {
			if o.Events == 0 {
				first = clock.Now()
			}
			o.Events++
			o.Begun = true
			if s.Kept {
				x.output = append(append(x.output, e.data...), '\n')
			}
		}
		if e.id != "" {
			x.lastID = e.id
		}
		e, at = event{raw: e.raw[:0], data: e.data[:0]}, 0
		return true
	}
	for {
		line, err := reader.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case err != nil && err != io.EOF && err != bufio.ErrBufferFull, int64(len(e.raw)) > x.Most:
			return end(relay.Broken, false)
		case err == bufio.ErrBufferFull:
			continue
		}
		if blank := e.take(e.raw[at:]); blank && err == nil {
			if !dispatch() {
				return end(relay.Broken, false)
			}
			continue
		}
		at = len(e.raw)
		if err == io.EOF {
			// A whole stream ends its last event, with or without a blank line.
			if (len(e.raw) > 0 || !x.started) && !dispatch() {
				return end(relay.Broken, false)
			}
			o.Begun, o.Output = x.started, x.output
			return end(relay.Whole, true)
		}
	}
}

// event is one event of a stream, as far as it has been read.
type event struct {
	raw, data []byte
	id        string
	has       bool
}

// take reads one line of an event, and reports whether it is blank.
func (e *event) take(line []byte) bool {
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id = string(value)
	case "data":
		if e.has {
			e.data = append(e.data, '\n')
		}
		e.data, e.has = append(e.data, value...), true
	}
	return len(line) == 0
}

func (x *exchange) write(r *replica.Response, event []byte) bool {
	if !x.started {
		x.head(r)
		x.w.WriteHeader(r.StatusCode)
		x.started = true
	}
	if _, err := x.w.Write(event); err != nil {
		return false
	}
	return x.controller.Flush() == nil
}
