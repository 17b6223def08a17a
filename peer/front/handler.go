// Package front is the side of a relaying node that requesters see: it reads
// requests, asks the node's machine what is to be done, and carries answers
// from replicas back as they come.
package front

import (
	"bufio"
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"saffronfall/peer/relay"
	"saffronfall/peer/replica"
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
}

// Handler serves requesters.
func Handler(o Options) http.Handler { return &handler{Options: o} }

type handler struct{ Options }

// exchange is one request with its answer.
type exchange struct {
	*handler
	w       http.ResponseWriter
	r       *http.Request
	body    []byte
	ask     relay.Ask
	way     Way
	started bool
	lastID  string
	output  []byte
}

func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case <-h.Closing:
		w.Header().Set("Connection", "close")
	default:
	}
	x := &exchange{handler: h, w: w, r: r}
	var err error
	if r.ContentLength > 0 && r.ContentLength <= h.Most {
		x.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, x.body)
	} else if r.ContentLength != 0 {
		x.body, err = io.ReadAll(io.LimitReader(r.Body, h.Most+1))
	}
	switch {
	case err != nil:
		// The request did not come whole.
		w.Header().Set("Connection", "close")
		x.refuse(relay.Step{Status: 400, Check: "body", Reason: "the body did not come whole"})
		return
	case int64(len(x.body)) > h.Most:
		w.Header().Set("Connection", "close")
		x.refuse(relay.Step{Status: 413, Check: "limits", Reason: "the body is larger than any allowed"})
		return
	}
	fault := ""
	if x.ask, fault = h.read(r, x.body); fault != "" {
		x.refuse(relay.Step{Status: 400, Check: "request", Reason: fault})
		return
	}
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

func (h *handler) read(r *http.Request, body []byte) (relay.Ask, string) {
	n := h.Names
	a := relay.Ask{Host: r.Host, Path: r.URL.Path, Attempt: r.Header.Get(n.Attempt), Program: r.Header.Get(n.Program), Session: r.Header.Get(n.Session),
		Previous: r.Header.Get(n.Previous), Key: r.Header.Get(n.Key), BodyBytes: int64(len(body)), Input: body}
	_, a.HasKey = r.Header[http.CanonicalHeaderKey(n.Key)]
	if i := strings.IndexByte(r.RequestURI, '?'); i >= 0 {
		a.Path = r.RequestURI[:i]
	} else if r.RequestURI != "" {
		a.Path = r.RequestURI
	}
	if a.Attempt == "" {
		return a, n.Attempt + " is missing"
	}
	a.HeadBytes = int64(len(r.Method) + len(r.RequestURI) + 12)
	for name, values := range r.Header {
		for _, value := range values {
			a.HeadBytes += int64(len(name) + len(value) + 4)
		}
	}
	if text := r.Header.Get(n.Deadline); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return a, n.Deadline + " is not a number"
		}
		a.Left = time.Duration(ms * float64(time.Millisecond))
		if a.Left == 0 {
			a.Left = -1
		}
	}
	if text := r.Header.Get(n.Budget); text != "" {
		budget, err := strconv.ParseInt(text, 10, 64)
		if err != nil || budget < 0 {
			return a, n.Budget + " is not a count"
		}
		// A spent budget is a budget.
		a.Budget = max(budget, 1)
	}
	if text := r.Header.Get(n.Tokens); text != "" {
		_, most, ok := strings.Cut(text, ",")
		count, err := strconv.ParseInt(strings.TrimSpace(most), 10, 64)
		if !ok || err != nil || count < 0 {
			return a, n.Tokens + " is not two counts"
		}
		a.Most = count
	}
	if text := r.Header.Get(n.Prompt); text != "" {
		for _, field := range strings.Split(text, ",") {
			id, tokens, _ := strings.Cut(strings.TrimSpace(field), ":")
			count, err := strconv.ParseInt(tokens, 10, 64)
			if err != nil {
				continue
			}
			hash := fnv.New64a()
			io.WriteString(hash, id)
			a.Prompt = append(a.Prompt, relay.Piece{ID: hash.Sum64(), Tokens: count})
		}
	}
	return a, ""
}

// refuse writes an answer of the node's own.
func (x *exchange) refuse(s relay.Step) {
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
	n := x.Names
	q := replica.Request{Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Attempt: x.ask.Attempt, Within: s.Within, HasBody: x.r.ContentLength != 0 || x.r.Method == http.MethodPost,
		Header: passable(x.r.Header, n.Key, n.Tenant, n.Target, n.Deadline, n.Urgency, "Expect"), Body: append(append([][]byte(nil), s.Before...), x.body)}
	q.Own = append(q.Own, [2]string{n.Target, s.Replica.ID}, [2]string{n.Deadline, strconv.FormatInt(max(1, s.Within.Milliseconds()), 10)})
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
		_, err := io.Copy(io.Discard, io.LimitReader(r.Body, 1<<16))
		r.Done(err == nil)
		o.Kind, o.Moved = relay.NotRun, r.Moved
	case ok && (r.Header.Get(n.Seal) == "" || !r.Delimited()):
		r.Done(false)
		o.Kind = relay.Broken
	case ok && s.Stream:
		o = x.relay(r, s, o)
	default:
		return x.pass(r, o)
	}
	o.Gone = x.r.Context().Err() != nil
	return x.way.Came(o)
}

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
	header := x.w.Header()
	for name, values := range passable(r.Header) {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
}

// pass carries an answer that is not streamed. It is passed on only when it came
// whole.
func (x *exchange) pass(r *replica.Response, o relay.Outcome) (relay.Step, *replica.Line, bool) {
	body, err := io.ReadAll(r.Body)
	r.Done(err == nil)
	o.Gone = x.r.Context().Err() != nil
	if err != nil || x.started || !r.Delimited() {
		o.Kind = relay.Broken
		return x.way.Came(o)
	}
	o.Kind, o.Failed = relay.Whole, r.StatusCode >= 300
	step, line, ok := x.way.Came(o)
	if ok && step.Kind == relay.StepPass {
		x.head(r)
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		x.w.WriteHeader(r.StatusCode)
		x.w.Write(body)
		x.started = true
	}
	return step, line, ok
}

// relay carries a stream, event by event. What of an event did not come whole is
// not passed on.
func (x *exchange) relay(r *replica.Response, s relay.Step, o relay.Outcome) relay.Outcome {
	controller := http.NewResponseController(x.w)
	reader := bufio.NewReaderSize(r.Body, 4096)
	var event []byte
	var data []byte
	id, has := "", false
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			r.Done(err == io.EOF)
			if err != io.EOF {
				o.Kind = relay.Broken
				return o
			}
			if len(event) > 0 || !x.started {
				x.write(r, event, controller)
			}
			o.Kind, o.Begun, o.Output = relay.Whole, x.started, x.output
			return o
		}
		whole := event
		if i := lastLine(event); i >= 0 {
			whole = event[i:]
		}
		text := strings.TrimRight(string(whole), "\r\n")
		switch {
		case text == "":
			if !x.write(r, event, controller) {
				r.Done(false)
				o.Kind = relay.Broken
				return o
			}
			if has {
				o.Events++
				o.Begun = true
				if s.Kept {
					x.output = append(append(x.output, data...), '\n')
				}
			}
			if id != "" {
				x.lastID = id
			}
			event, data, id, has = event[:0], data[:0], "", false
		case strings.HasPrefix(text, "id:"):
			id = strings.TrimPrefix(text[3:], " ")
		case strings.HasPrefix(text, "data:"):
			if has {
				data = append(data, '\n')
			}
			data, has = append(data, strings.TrimPrefix(text[5:], " ")...), true
		}
	}
}

// lastLine is where the last line of what was read begins.
func lastLine(b []byte) int {
	for i := len(b) - 2; i >= 0; i-- {
		if b[i] == '\n' {
			return i + 1
		}
	}
	return -1
}

func (x *exchange) write(r *replica.Response, event []byte, controller *http.ResponseController) bool {
	if !x.started {
		x.head(r)
		x.w.WriteHeader(r.StatusCode)
		x.started = true
	}
	if _, err := x.w.Write(event); err != nil {
		return false
	}
	return controller.Flush() == nil
}
