package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saffronfall/peer/clock"
	"saffronfall/peer/relay"
	"saffronfall/peer/replica"
)

// outcomeDispatcher allows one run: a request that did not run goes to the next replica, and one
// that may have run ends.
type outcomeDispatcher struct {
	pools      []*replica.Pool
	first      relay.Step
	dispatched atomic.Int64
}

func (d *outcomeDispatcher) Dispatch(context.Context, relay.Request) (DispatchedRequest, relay.Step, *replica.Pool, bool) {
	d.dispatched.Add(1)
	return &outcomeRequest{dispatcher: d}, d.first, d.pools[0], true
}

type outcomeRequest struct {
	dispatcher *outcomeDispatcher
	at         int
}

func (r *outcomeRequest) Next(o relay.Outcome) (relay.Step, *replica.Pool, bool) {
	switch {
	case o.Kind == relay.OutcomeComplete:
		return deliverStep, nil, true
	case o.Kind == relay.OutcomeNotRun && r.at+1 < len(r.dispatcher.pools):
		r.at++
		return r.dispatcher.first, r.dispatcher.pools[r.at], true
	case o.Kind == relay.OutcomeNotRun:
		return relay.Step{Kind: relay.StepRefuse, Status: 503, Check: "replicas", Reason: "no replica is left"}, nil, true
	}
	return abortStep, nil, true
}

func newDispatcherNode(t *testing.T, first relay.Step, addresses ...string) (*node, *outcomeDispatcher) {
	t.Helper()
	dispatcher := &outcomeDispatcher{first: first}
	for _, address := range addresses {
		dispatcher.pools = append(dispatcher.pools, replica.NewPool(address, 4, time.Second))
	}
	server := httptest.NewServer(Handler(Options{Dispatcher: dispatcher, Headers: replica.DefaultHeaders, MaxBody: 1 << 20, Draining: make(chan struct{})}))
	t.Cleanup(func() {
		server.Close()
		for _, pool := range dispatcher.pools {
			pool.Close()
		}
	})
	return &node{server: server}, dispatcher
}

const (
	lengthAnswer  = okHead + "Content-Length: 2\r\n\r\nok"
	chunkedAnswer = okHead + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
	streamAnswer  = streamHead + "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"
	twoEvents     = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	notRunAnswer  = "HTTP/1.1 503 X\r\nSaffronfall-Attempt: a1\r\nSaffronfall-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	failedAnswer  = "HTTP/1.1 500 X\r\nSaffronfall-Attempt: a1\r\nSaffronfall-Seal: s\r\nContent-Length: 4\r\n\r\noops"
)

// A request may go to the next replica only if the first says that it did not run it, and must
// look complete only if the replica's response was.
func TestReplicaDisconnectsAtEveryByte(t *testing.T) {
	for name, c := range map[string]struct {
		step     relay.Step
		response string
		want     string
		status   int
	}{
		"by length":     {sendStep, lengthAnswer, "ok", 200},
		"in chunks":     {sendStep, chunkedAnswer, "ok", 200},
		"a stream":      {streamStep(false), streamAnswer, twoEvents, 200},
		"a stored turn": {streamStep(true), streamAnswer, twoEvents, 200},
		"a failure":     {sendStep, failedAnswer, "oops", 500},
		"not run":       {sendStep, notRunAnswer, "next", 200},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				for cut := range len(c.response) + 1 {
					got := interruptResponse(t, c.step, c.response[:cut], reset)
					got.check(t, c.response, cut, reset, c.want, c.status)
				}
			})
		}
	}
}

type interruptedResult struct {
	status   int
	body     string
	complete bool
	// first and second count how often each replica received the request.
	first, second int
}

func (r interruptedResult) check(t *testing.T, response string, cut int, reset bool, want string, status int) {
	t.Helper()
	notRun := strings.Contains(response, "Not-Run")
	head := strings.Index(response, "\r\n\r\n") + len("\r\n\r\n")
	if r.first != 1 {
		t.Errorf("cut at %d: the first replica received the request %d times", cut, r.first)
	}
	if r.second > 0 && (!notRun || cut < head) {
		t.Errorf("cut at %d: the request was sent to another replica though it may have run", cut)
	}
	if cut == len(response) && !reset && (!r.complete || r.status != status || r.body != want) {
		t.Errorf("complete response: %+v", r)
	}
	if cut < len(response) && !notRun && r.complete && r.status != abortStep.Status {
		t.Errorf("cut at %d of %d: the requester got a complete response: %+v", cut, len(response), r)
	}
	if r.complete && r.status/100 == 2 && r.body != want {
		t.Errorf("cut at %d: success with body %q", cut, r.body)
	}
	if !r.complete && !strings.HasPrefix(want, r.body) {
		t.Errorf("cut at %d: %q is not a prefix of the response", cut, r.body)
	}
	if r.complete && r.status == http.StatusServiceUnavailable && r.second == 0 {
		t.Errorf("cut at %d: refused, though it may have run", cut)
	}
}

func interruptResponse(t *testing.T, step relay.Step, written string, reset bool) interruptedResult {
	t.Helper()
	first := newReplica(t, func(c net.Conn, h capturedRequest) {
		if reset {
			c.(*net.TCPConn).SetLinger(0)
		}
		io.WriteString(c, written)
	})
	second := newStaticReplica(t, okHead+"Content-Length: 4\r\n\r\nnext")
	n, _ := newDispatcherNode(t, step, first.address, second.address)
	q := n.dial(t)
	q.write(request)
	var b interruptedResult
	r, err := http.ReadResponse(q.reader, &http.Request{Method: "POST"})
	if err == nil {
		var body []byte
		body, err = io.ReadAll(r.Body)
		b.status, b.body = r.StatusCode, string(body)
	}
	b.complete = err == nil
	b.first, b.second = len(first.received), len(second.received)
	return b
}

func requestWithID(id string) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
}

// newEchoReplica answers requests with their bodies and returns its address.
func newEchoReplica(t *testing.T, received chan<- string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go echo(c, received)
		}
	}()
	return listener.Addr().String()
}

func echo(c net.Conn, received chan<- string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		c.SetDeadline(clock.Deadline(testTimeout))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(replica.DefaultHeaders.Attempt)
		received <- id
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: %s\r\nSaffronfall-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
}

// Each pipelined request must run once and get its own response, in order.
func TestPipelinedRequests(t *testing.T) {
	received := make(chan string, 64)
	n, dispatcher := newDispatcherNode(t, sendStep, newEchoReplica(t, received))
	q := n.dial(t)
	ids := []string{"first", "the second", "third"}
	var all string
	for _, id := range ids {
		all += requestWithID(id)
	}
	q.write(all)
	for _, id := range ids {
		got := q.read("POST")
		body, err := io.ReadAll(got.Body)
		if err != nil || string(body) != id || got.Header.Get(replica.DefaultHeaders.Attempt) != id {
			t.Errorf("%s got %q %v", id, body, err)
		}
		if ran := <-received; ran != id {
			t.Errorf("%s ran, want %s", ran, id)
		}
	}
	if dispatched := dispatcher.dispatched.Load(); dispatched != int64(len(ids)) || len(received) > 0 {
		t.Errorf("%d requests were dispatched, want %d", dispatched, len(ids))
	}
}

// No replica may get a part of a request, and the request before it must run once.
func TestRequesterDisconnectsAtEveryByte(t *testing.T) {
	received := make(chan string, 4096)
	n, _ := newDispatcherNode(t, sendStep, newEchoReplica(t, received))
	second := requestWithID("the second")
	for cut := range len(second) {
		q := n.dial(t)
		q.write(requestWithID("first"))
		if body, err := io.ReadAll(q.read("POST").Body); err != nil || string(body) != "first" {
			t.Errorf("%q %v", body, err)
		}
		q.write(second[:cut])
		if cut%2 == 0 {
			q.Conn.(*net.TCPConn).SetLinger(0)
		}
		q.Close()
	}
	// A complete request afterwards shows that the others have ended.
	q := n.dial(t)
	q.write(requestWithID("last"))
	if body, err := io.ReadAll(q.read("POST").Body); err != nil || string(body) != "last" {
		t.Errorf("%q %v", body, err)
	}
	n.server.Close()
	runs := map[string]int{}
	for len(received) > 0 {
		runs[<-received]++
	}
	if len(runs) != 2 || runs["first"] != len(second) || runs["last"] != 1 {
		t.Errorf("runs %v, want %d of the first and one of the last", runs, len(second))
	}
}

// Bytes after a request with conflicting or malformed lengths must not run as another request.
func TestRequestSmuggling(t *testing.T) {
	hidden := requestWithID("hidden")
	for name, raw := range map[string]string{
		"two lengths":            "POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nContent-Length: 0\r\nContent-Length: " + fmt.Sprint(len(hidden)) + "\r\n\r\n" + hidden,
		"unknown encoding":       "POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nTransfer-Encoding: xchunked\r\n\r\n" + hidden,
		"space before the colon": "POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nContent-Length : " + fmt.Sprint(len(hidden)) + "\r\n\r\n" + hidden,
		"signed length":          "POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nContent-Length: +0\r\n\r\n" + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan string, 64)
			n, _ := newDispatcherNode(t, sendStep, newEchoReplica(t, received))
			q := n.dial(t)
			q.write(raw)
			io.Copy(io.Discard, readBriefly(q))
			n.server.CloseClientConnections()
			n.server.Close()
			for len(received) > 0 {
				if id := <-received; id == "hidden" {
					t.Error("the hidden request ran")
				}
			}
		})
	}
}

func readBriefly(q *requesterConn) io.Reader {
	q.SetReadDeadline(clock.Deadline(200 * time.Millisecond))
	return q.reader
}

// No response may go to another request, and no request may run twice.
func TestConnectionReuseUnderLoad(t *testing.T) {
	const requesters, each = 16, 40
	received := make(chan string, requesters*each*2)
	n, _ := newDispatcherNode(t, sendStep, newEchoReplica(t, received))
	var done sync.WaitGroup
	for requester := range requesters {
		done.Add(1)
		go func() {
			defer done.Done()
			useConnections(t, n, requester, each)
		}()
	}
	done.Wait()
	n.server.Close()
	runs := map[string]int{}
	for len(received) > 0 {
		runs[<-received]++
	}
	for id, count := range runs {
		if count != 1 {
			t.Errorf("%s ran %d times", id, count)
		}
	}
}

// useConnections closes the connection of every fifth request without reading the response.
func useConnections(t *testing.T, n *node, requester, each int) {
	q := n.dial(t)
	for i := range each {
		id := fmt.Sprintf("%d-%d", requester, i)
		if _, err := io.WriteString(q, requestWithID(id)); err != nil {
			t.Error(err)
			return
		}
		if i%5 == 4 {
			q.Close()
			q = n.dial(t)
			continue
		}
		r, err := http.ReadResponse(q.reader, &http.Request{Method: "POST"})
		if err != nil {
			t.Errorf("%s: %v", id, err)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || string(body) != id || r.Header.Get(replica.DefaultHeaders.Attempt) != id {
			t.Errorf("%s got %q of %s: %v", id, body, r.Header.Get(replica.DefaultHeaders.Attempt), err)
			return
		}
	}
}

// The requester must get a prefix of whole lines, and a complete response only if the replica's
// was complete.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{streamAnswer, streamHead, lengthAnswer, chunkedAnswer, notRunAnswer, failedAnswer, streamAnswer[:len(streamAnswer)-4], streamHead + "5\r\ndata:\r\n0\r\n\r\n",
		strings.Replace(streamAnswer, "a1", "other", 1) + streamAnswer, streamHead + chunk("id: 1\r\rdata: x\n\n") + "0\r\n\r\n", streamAnswer + streamAnswer, "\x00"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		got := interruptStream(t, raw)
		if got.first != 1 {
			t.Fatalf("the request was sent %d times", got.first)
		}
		if got.status/100 != 2 || got.body == "" || got.second > 0 {
			return
		}
		full, complete := readAsClient(raw)
		if got.complete && (!complete || got.body != full) {
			t.Fatalf("complete response %q, replica sent %q", got.body, full)
		}
		if !got.complete && (!strings.HasPrefix(full, got.body) || !strings.HasSuffix(got.body, "\n")) {
			t.Fatalf("partial response %q, replica sent %q", got.body, full)
		}
	})
}

func interruptStream(t *testing.T, raw []byte) interruptedResult {
	t.Helper()
	return interruptResponse(t, streamStep(false), string(raw), false)
}

// readAsClient reads a response as any HTTP client would.
func readAsClient(raw []byte) (body string, complete bool) {
	reader := bufio.NewReader(strings.NewReader(string(raw)))
	for {
		r, err := http.ReadResponse(reader, &http.Request{Method: "POST"})
		if err != nil {
			return "", false
		}
		text, err := io.ReadAll(r.Body)
		if id := r.Header.Get(replica.DefaultHeaders.Attempt); r.StatusCode < 200 || id != "" && id != "a1" {
			continue
		}
		return string(text), err == nil && (r.ContentLength >= 0 || len(r.TransferEncoding) > 0)
	}
}
