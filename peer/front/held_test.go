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

// TestRequestersHoldNothingForLong: a requester that stops reading or sending
// keeps neither a replica's place, nor a request under way, nor memory beyond what
// it has sent.
func TestRequestersHoldNothingForLong(t *testing.T) {
	t.Run("reads nothing of a stream", readsNothingOfAStream)
	t.Run("sends half a body", sendsHalfABody)
	t.Run("announces bodies that do not come", announcesBodies)
	t.Run("is malformed and sends half a body", malformedHalfABody)
	t.Run("sends half a body and goes on waiting", waitsAfterHalfABody)
}

// readsNothingOfAStream: the replica's connection and the request end with the
// request's time.
func readsNothingOfAStream(t *testing.T) {
	event := "data: " + strings.Repeat("x", 32<<10) + "\n\n"
	ended := make(chan error, 1)
	r := newReplica(t, func(c net.Conn, h heard) {
		_, err := io.WriteString(c, streamHead)
		for err == nil {
			_, err = io.WriteString(c, chunk(event))
		}
		ended <- err
	})
	step := stream(true)
	step.Within = 300 * time.Millisecond
	n := newNode(t, []relay.Step{step, broke}, r)
	q := n.dial(t)
	q.say(request)
	select {
	case <-n.outcomes:
	case <-time.After(patience / 2):
		t.Fatal("the request is still under way long after its time")
	}
	if err := <-ended; strings.Contains(err.Error(), "timeout") {
		t.Errorf("the replica was never let go: %v", err)
	}
}

// sendsHalfABody: it is told so once its deadline has passed.
func sendsHalfABody(t *testing.T) {
	n := newNode(t, nil)
	q := n.dial(t)
	q.say("POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nSaffronfall-Deadline-Ms: 200\r\nContent-Length: 100\r\n\r\nhalf")
	q.SetDeadline(clock.Deadline(patience / 2))
	got := q.read("POST")
	if got.StatusCode != 408 || !got.Close {
		t.Errorf("%d, closes %v", got.StatusCode, got.Close)
	}
}

// newImpatientNode is a node that gives requesters little time for their bodies.
func newImpatientNode(t *testing.T, bodyTime time.Duration) *node {
	owner := &scripted{t: t, asked: make(chan relay.Ask, 16), outcomes: make(chan relay.Outcome, 16)}
	server := httptest.NewServer(Handler(Options{Owner: owner, Names: replica.DefaultHeaders, Most: 1 << 20, Closing: make(chan struct{}), BodyTime: bodyTime}))
	t.Cleanup(server.Close)
	return &node{scripted: owner, server: server}
}

// malformedHalfABody: a request that is refused for its head alone does not hold its
// connection while its body stalls.
func malformedHalfABody(t *testing.T) {
	for _, head := range []string{
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nhalf",
		"POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nSaffronfall-Budget: x\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
	} {
		n := newImpatientNode(t, 200*time.Millisecond)
		q := n.dial(t)
		q.say(head)
		q.SetDeadline(clock.Deadline(patience / 2))
		if got := q.read("POST"); got.StatusCode != 400 {
			t.Errorf("%q: %d", head, got.StatusCode)
		}
		ends(t, q, head)
	}
}

// waitsAfterHalfABody: a requester that was told that its body came late does not hold
// its connection either.
func waitsAfterHalfABody(t *testing.T) {
	n := newImpatientNode(t, 200*time.Millisecond)
	q := n.dial(t)
	q.say("POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nContent-Length: 1000\r\n\r\nhalf")
	q.SetDeadline(clock.Deadline(patience / 2))
	if got := q.read("POST"); got.StatusCode != 408 {
		t.Errorf("%d", got.StatusCode)
	}
	ends(t, q, "a late body")
}

// ends wants a node to end a connection.
func ends(t *testing.T, q *client, what string) {
	t.Helper()
	if _, err := io.Copy(io.Discard, q.reader); err != nil && strings.Contains(err.Error(), "timeout") {
		t.Errorf("%s: the connection is held", what)
	}
}

// announcesBodies: memory is taken for what came, not for what was announced.
func announcesBodies(t *testing.T) {
	const requesters, announced = 200, 1 << 20
	n := newNode(t, nil)
	before := heap()
	for i := 0; i < requesters; i++ {
		q := n.dial(t)
		q.say(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a%d\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", i, announced))
		// The word to go on shows that the body is being read.
		if _, err := q.reader.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	if grown := heap() - before; grown > requesters*announced/10 {
		t.Errorf("%d requesters that sent heads alone hold %d MiB", requesters, grown>>20)
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestIntakeIsShared: bodies of all requests under way share their room. What finds
// none is refused as not run, with a time to come back, and the room comes back with
// the requests that end.
func TestIntakeIsShared(t *testing.T) {
	release := make(chan struct{})
	r := newReplica(t, func(c net.Conn, h heard) {
		<-release
		io.WriteString(c, strings.Replace(byLength, "a1", h.request.Header.Get("Saffronfall-Attempt"), 1))
	})
	owner := &scripted{t: t, steps: []relay.Step{send, pass}, asked: make(chan relay.Ask, 16), outcomes: make(chan relay.Outcome, 16), lines: []*replica.Pool{replica.NewPool(r.address, 4, time.Second)}}
	rejected := make(chan relay.Ended, 16)
	server := httptest.NewServer(Handler(Options{Owner: owner, Names: replica.DefaultHeaders, Most: 1 << 20, Closing: make(chan struct{}), IntakeSize: 3 * bodyStep, Rejected: func(e relay.Ended) { rejected <- e }}))
	t.Cleanup(server.Close)
	n := &node{scripted: owner, server: server}
	say := func(attempt string, size int) *client {
		q := n.dial(t)
		q.say(fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, size, strings.Repeat("b", size)))
		return q
	}
	first := say("first", 2*bodyStep-1)
	<-r.heard
	refused := say("second", 2*bodyStep-1).read("POST")
	if refused.StatusCode != 503 || refused.Header.Get("Retry-After") == "" || !refused.Close {
		t.Errorf("beyond the room: %d, come back after %q, closes %v", refused.StatusCode, refused.Header.Get("Retry-After"), refused.Close)
	}
	if e := <-rejected; e.Cause != relay.CauseIntakeFull || e.Attempt != "second" {
		t.Errorf("told of %+v", e)
	}
	close(release)
	if got := first.read("POST"); got.StatusCode != 200 {
		t.Errorf("the first is answered %d", got.StatusCode)
	}
	first.Close()
	third := say("third", 2*bodyStep-1)
	if got := third.read("POST"); got.StatusCode != 200 {
		t.Errorf("after the first has ended: %d", got.StatusCode)
	}
}

// TestNothingIsSentAfterItsTime: a sending whose time ended before it was taken up, as
// when the process was stopped in between, reaches no replica.
func TestNothingIsSentAfterItsTime(t *testing.T) {
	r := answering(t, byLength)
	late := send
	late.Within = -time.Second
	n := newNode(t, []relay.Step{late, {Kind: relay.StepRefuse, Status: 503}}, r)
	q := n.dial(t)
	q.say(request)
	if got := q.read("POST"); got.StatusCode != 503 {
		t.Errorf("answered %d", got.StatusCode)
	}
	if o := <-n.outcomes; o.Kind != relay.NotRun || !o.Unreached {
		t.Errorf("%+v", o)
	}
	select {
	case <-r.heard:
		t.Error("it was sent")
	default:
	}
}
