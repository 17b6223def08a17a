package front

import (
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"saffronfall/peer/clock"
	"saffronfall/peer/relay"
	"saffronfall/peer/replica"
)

// A stalled requester must hold no replica slot, no open request, and no memory beyond what it
// has sent.
func TestSlowRequesters(t *testing.T) {
	t.Run("reads nothing of a stream", readsNoStream)
	t.Run("sends half a body", sendsPartialBody)
	t.Run("announces bodies that do not come", announcesBodies)
	t.Run("is malformed and sends half a body", malformedWithPartialBody)
	t.Run("sends half a body and goes on waiting", waitsAfterPartialBody)
}

// The replica's connection and the request must end with the attempt's time limit.
func readsNoStream(t *testing.T) {
	event := "data: " + strings.Repeat("x", 32<<10) + "\n\n"
	ended := make(chan error, 1)
	r := newReplica(t, func(c net.Conn, h capturedRequest) {
		_, err := io.WriteString(c, streamHead)
		for err == nil {
			_, err = io.WriteString(c, chunk(event))
		}
		ended <- err
	})
	step := streamStep(true)
	step.Timeout = 300 * time.Millisecond
	n := newNode(t, []relay.Step{step, abortStep}, r)
	q := n.dial(t)
	q.write(request)
	select {
	case <-n.outcomes:
	case <-time.After(testTimeout / 2):
		t.Fatal("the request is still open after its time limit")
	}
	if err := <-ended; strings.Contains(err.Error(), "timeout") {
		t.Errorf("the replica's connection was not closed: %v", err)
	}
}

// The requester must get 408 once its deadline has passed.
func sendsPartialBody(t *testing.T) {
	n := newNode(t, nil)
	q := n.dial(t)
	q.write("POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nSaffronfall-Deadline-Ms: 200\r\nContent-Length: 100\r\n\r\nhalf")
	q.SetDeadline(clock.Deadline(testTimeout / 2))
	got := q.read("POST")
	if got.StatusCode != 408 || !got.Close {
		t.Errorf("%d, closes %v", got.StatusCode, got.Close)
	}
}

func newNodeWithBodyTimeout(t *testing.T, bodyTimeout time.Duration) *node {
	dispatcher := &scriptedDispatcher{t: t, dispatched: make(chan relay.Request, 16), outcomes: make(chan relay.Outcome, 16)}
	server := httptest.NewServer(Handler(Options{
		Dispatcher:  dispatcher,
		Headers:     replica.DefaultHeaders,
		MaxBody:     1 << 20,
		Draining:    make(chan struct{}),
		BodyTimeout: bodyTimeout,
	}))
	t.Cleanup(server.Close)
	return &node{scriptedDispatcher: dispatcher, server: server}
}

// A request refused for its head must not hold its connection while its body stalls.
func malformedWithPartialBody(t *testing.T) {
	for _, head := range []string{
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nhalf",
		"POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nSaffronfall-Budget: x\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
	} {
		n := newNodeWithBodyTimeout(t, 200*time.Millisecond)
		q := n.dial(t)
		q.write(head)
		q.SetDeadline(clock.Deadline(testTimeout / 2))
		if got := q.read("POST"); got.StatusCode != 400 {
			t.Errorf("%q: %d", head, got.StatusCode)
		}
		checkCloses(t, q, head)
	}
}

// A requester that got 408 must not hold its connection.
func waitsAfterPartialBody(t *testing.T) {
	n := newNodeWithBodyTimeout(t, 200*time.Millisecond)
	q := n.dial(t)
	q.write("POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nContent-Length: 1000\r\n\r\nhalf")
	q.SetDeadline(clock.Deadline(testTimeout / 2))
	if got := q.read("POST"); got.StatusCode != 408 {
		t.Errorf("%d", got.StatusCode)
	}
	checkCloses(t, q, "a late body")
}

func checkCloses(t *testing.T, q *requesterConn, what string) {
	t.Helper()
	if _, err := io.Copy(io.Discard, q.reader); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Errorf("%s: the connection was not closed", what)
	}
}

// Memory must not be reserved for announced lengths.
func announcesBodies(t *testing.T) {
	const requesters, announced = 200, 1 << 20
	n := newNode(t, nil)
	before := heap()
	for i := 0; i < requesters; i++ {
		q := n.dial(t)
		q.write(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a%d\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", i, announced))
		// "100 Continue" shows that the body is being read.
		if _, err := q.reader.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	if grown := heap() - before; grown > requesters*announced/10 {
		t.Errorf("%d requesters that sent only heads hold %d MiB", requesters, grown>>20)
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// A body beyond the shared intake must be refused; ended requests must free their share.
func TestIntakeLimit(t *testing.T) {
	release := make(chan struct{})
	r := newReplica(t, func(c net.Conn, h capturedRequest) {
		<-release
		io.WriteString(c, strings.Replace(lengthAnswer, "a1", h.request.Header.Get("Saffronfall-Attempt"), 1))
	})
	dispatcher := &scriptedDispatcher{
		t:          t,
		steps:      []relay.Step{sendStep, deliverStep},
		dispatched: make(chan relay.Request, 16),
		outcomes:   make(chan relay.Outcome, 16),
		pools:      []*replica.Pool{replica.NewPool(r.address, 4, time.Second)},
	}
	rejected := make(chan relay.Completion, 16)
	server := httptest.NewServer(Handler(Options{
		Dispatcher:  dispatcher,
		Headers:     replica.DefaultHeaders,
		MaxBody:     1 << 20,
		Draining:    make(chan struct{}),
		IntakeBytes: 3 * bodyChunk,
		OnRejected:  func(e relay.Completion) { rejected <- e },
	}))
	t.Cleanup(server.Close)
	n := &node{scriptedDispatcher: dispatcher, server: server}
	post := func(attempt string, size int) *requesterConn {
		q := n.dial(t)
		q.write(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, size, strings.Repeat("b", size)))
		return q
	}
	first := post("first", 2*bodyChunk-1)
	<-r.received
	refused := post("second", 2*bodyChunk-1).read("POST")
	if refused.StatusCode != 503 || refused.Header.Get("Retry-After") == "" || !refused.Close {
		t.Errorf("over the limit: %d, Retry-After %q, closes %v", refused.StatusCode, refused.Header.Get("Retry-After"), refused.Close)
	}
	if e := <-rejected; e.Cause != relay.CauseIntakeFull || e.Attempt != "second" {
		t.Errorf("reported %+v", e)
	}
	close(release)
	if got := first.read("POST"); got.StatusCode != 200 {
		t.Errorf("first request: status %d", got.StatusCode)
	}
	first.Close()
	third := post("third", 2*bodyChunk-1)
	if got := third.read("POST"); got.StatusCode != 200 {
		t.Errorf("after the first has ended: status %d", got.StatusCode)
	}
}

// An attempt may expire before it starts, for example in a paused process.
func TestExpiredAttemptIsNotSent(t *testing.T) {
	r := newStaticReplica(t, lengthAnswer)
	late := sendStep
	late.Timeout = -time.Second
	n := newNode(t, []relay.Step{late, {Kind: relay.StepRefuse, Status: 503}}, r)
	q := n.dial(t)
	q.write(request)
	if got := q.read("POST"); got.StatusCode != 503 {
		t.Errorf("status %d", got.StatusCode)
	}
	if o := <-n.outcomes; o.Kind != relay.OutcomeNotRun || !o.Unreachable {
		t.Errorf("%+v", o)
	}
	select {
	case <-r.received:
		t.Error("the attempt was sent")
	default:
	}
}
