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

// deciding is an owner that takes its steps by outcomes, as a node's machine
// does for a request that may run once: what did not run goes to the next
// replica, what may have run ends.
type deciding struct {
	lines []*replica.Pool
	first relay.Step
	asked atomic.Int64
}

func (d *deciding) Arrive(context.Context, relay.Ask) (Way, relay.Step, *replica.Pool, bool) {
	d.asked.Add(1)
	return &decidingWay{owner: d}, d.first, d.lines[0], true
}

type decidingWay struct {
	owner *deciding
	at    int
}

func (w *decidingWay) Came(o relay.Outcome) (relay.Step, *replica.Pool, bool) {
	switch {
	case o.Kind == relay.Whole:
		return pass, nil, true
	case o.Kind == relay.NotRun && w.at+1 < len(w.owner.lines):
		w.at++
		return w.owner.first, w.owner.lines[w.at], true
	case o.Kind == relay.NotRun:
		return relay.Step{Kind: relay.StepRefuse, Status: 503, Check: "replicas", Reason: "none is left"}, nil, true
	}
	return broke, nil, true
}

// decidingNode is a handler with such an owner on a real server.
func decidingNode(t *testing.T, first relay.Step, addresses ...string) (*node, *deciding) {
	t.Helper()
	owner := &deciding{first: first}
	for _, address := range addresses {
		owner.lines = append(owner.lines, replica.NewPool(address, 4, time.Second))
	}
	server := httptest.NewServer(Handler(Options{Owner: owner, Names: replica.DefaultHeaders, Most: 1 << 20, Closing: make(chan struct{})}))
	t.Cleanup(func() {
		server.Close()
		for _, line := range owner.lines {
			line.Close()
		}
	})
	return &node{server: server}, owner
}

const (
	byLength = sealed + "Content-Length: 2\r\n\r\nok"
	inChunks = sealed + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
	streamed = streamHead + "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"
	twoParts = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	notRun   = "HTTP/1.1 503 X\r\nSaffronfall-Attempt: a1\r\nSaffronfall-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	failed   = "HTTP/1.1 500 X\r\nSaffronfall-Attempt: a1\r\nSaffronfall-Seal: s\r\nContent-Length: 4\r\n\r\noops"
)

// TestRunsOnceWhereverTheReplicaBreaksOff: a replica breaks off after each byte
// of its answer. A request that may run once is sent to the next replica only
// after a promise that it did not run, and its requester has a complete answer
// only when the replica's came to its last byte.
func TestRunsOnceWhereverTheReplicaBreaksOff(t *testing.T) {
	for name, c := range map[string]struct {
		step   relay.Step
		answer string
		want   string
		status int
	}{
		"by length":   {send, byLength, "ok", 200},
		"in chunks":   {send, inChunks, "ok", 200},
		"a stream":    {stream(false), streamed, twoParts, 200},
		"a kept turn": {stream(true), streamed, twoParts, 200},
		"a failure":   {send, failed, "oops", 500},
		"a promise":   {send, notRun, "next", 200},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				for cut := range len(c.answer) + 1 {
					got := breakOff(t, c.step, c.answer[:cut], reset)
					got.check(t, c.answer, cut, reset, c.want, c.status)
				}
			})
		}
	}
}

// brokenOff is what came of a request whose replica broke off.
type brokenOff struct {
	status   int
	body     string
	complete bool
	// sent tells how often each replica had it.
	first, second int
}

func (b brokenOff) check(t *testing.T, answer string, cut int, reset bool, want string, status int) {
	t.Helper()
	promised := strings.Contains(answer, "Not-Run")
	head := strings.Index(answer, "\r\n\r\n") + len("\r\n\r\n")
	if b.first != 1 {
		t.Errorf("cut at %d: the first replica had it %d times", cut, b.first)
	}
	if b.second > 0 && (!promised || cut < head) {
		t.Errorf("cut at %d: it was sent to another replica though it may have run", cut)
	}
	if cut == len(answer) && !reset && (!b.complete || b.status != status || b.body != want) {
		t.Errorf("whole: %+v", b)
	}
	if cut < len(answer) && !promised && b.complete && b.status != broke.Status {
		t.Errorf("cut at %d of %d: complete for its requester: %+v", cut, len(answer), b)
	}
	if b.complete && b.status/100 == 2 && b.body != want {
		t.Errorf("cut at %d: a success with %q", cut, b.body)
	}
	if !b.complete && !strings.HasPrefix(want, b.body) {
		t.Errorf("cut at %d: %q is no beginning of the answer", cut, b.body)
	}
	if b.complete && b.status == http.StatusServiceUnavailable && b.second == 0 {
		t.Errorf("cut at %d: refused, though it may have run", cut)
	}
}

// breakOff sends a request to a replica that writes some bytes and breaks off.
func breakOff(t *testing.T, step relay.Step, written string, reset bool) brokenOff {
	t.Helper()
	first := newReplica(t, func(c net.Conn, h heard) {
		if reset {
			c.(*net.TCPConn).SetLinger(0)
		}
		io.WriteString(c, written)
	})
	second := answering(t, sealed+"Content-Length: 4\r\n\r\nnext")
	n, _ := decidingNode(t, step, first.address, second.address)
	q := n.dial(t)
	q.say(request)
	var b brokenOff
	r, err := http.ReadResponse(q.reader, &http.Request{Method: "POST"})
	if err == nil {
		var body []byte
		body, err = io.ReadAll(r.Body)
		b.status, b.body = r.StatusCode, string(body)
	}
	b.complete = err == nil
	b.first, b.second = len(first.heard), len(second.heard)
	return b
}

// numbered is a request with an id and a body of its own.
func numbered(id string) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
}

// echoing is a replica that answers each request with its body, several on a
// connection.
func echoing(t *testing.T, heard chan<- string) string {
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
			go echo(c, heard)
		}
	}()
	return listener.Addr().String()
}

func echo(c net.Conn, heard chan<- string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		c.SetDeadline(clock.Deadline(patience))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(replica.DefaultHeaders.Attempt)
		heard <- id
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: %s\r\nSaffronfall-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
}

// TestPipelinedRequests: a requester sends several requests at once. Each gets
// its own answer, in order, and runs once.
func TestPipelinedRequests(t *testing.T) {
	heard := make(chan string, 64)
	n, owner := decidingNode(t, send, echoing(t, heard))
	q := n.dial(t)
	ids := []string{"first", "the second", "third"}
	var all string
	for _, id := range ids {
		all += numbered(id)
	}
	q.say(all)
	for _, id := range ids {
		got := q.read("POST")
		body, err := io.ReadAll(got.Body)
		if err != nil || string(body) != id || got.Header.Get(replica.DefaultHeaders.Attempt) != id {
			t.Errorf("%s got %q %v", id, body, err)
		}
		if ran := <-heard; ran != id {
			t.Errorf("%s ran, want %s", ran, id)
		}
	}
	if asked := owner.asked.Load(); asked != int64(len(ids)) || len(heard) > 0 {
		t.Errorf("%d were asked for", asked)
	}
}

// TestRequestCutAtEveryByte: a requester breaks off within its second request.
// No replica ever has a part of it, and the first one has run once.
func TestRequestCutAtEveryByte(t *testing.T) {
	heard := make(chan string, 4096)
	n, _ := decidingNode(t, send, echoing(t, heard))
	second := numbered("the second")
	for cut := range len(second) {
		q := n.dial(t)
		q.say(numbered("first"))
		if body, err := io.ReadAll(q.read("POST").Body); err != nil || string(body) != "first" {
			t.Errorf("%q %v", body, err)
		}
		q.say(second[:cut])
		if cut%2 == 0 {
			q.Conn.(*net.TCPConn).SetLinger(0)
		}
		q.Close()
	}
	// A request that comes whole afterwards shows that the others are over.
	q := n.dial(t)
	q.say(numbered("last"))
	if body, err := io.ReadAll(q.read("POST").Body); err != nil || string(body) != "last" {
		t.Errorf("%q %v", body, err)
	}
	n.server.Close()
	runs := map[string]int{}
	for len(heard) > 0 {
		runs[<-heard]++
	}
	if len(runs) != 2 || runs["first"] != len(second) || runs["last"] != 1 {
		t.Errorf("runs %v, want %d of the first and one of the last", runs, len(second))
	}
}

// TestHiddenRequests: bytes after a request's end are the next request or none
// at all; a request with two ways to tell its length, or an unreadable head,
// reaches no replica.
func TestHiddenRequests(t *testing.T) {
	hidden := numbered("hidden")
	for name, raw := range map[string]string{
		"two lengths":            "POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nContent-Length: 0\r\nContent-Length: " + fmt.Sprint(len(hidden)) + "\r\n\r\n" + hidden,
		"chunks named otherwise": "POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nTransfer-Encoding: xchunked\r\n\r\n" + hidden,
		"space before the colon": "POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nContent-Length : " + fmt.Sprint(len(hidden)) + "\r\n\r\n" + hidden,
		"a length with a sign":   "POST /a HTTP/1.1\r\nHost: h\r\nSaffronfall-Attempt: a1\r\nContent-Length: +0\r\n\r\n" + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			heard := make(chan string, 64)
			n, _ := decidingNode(t, send, echoing(t, heard))
			q := n.dial(t)
			q.say(raw)
			io.Copy(io.Discard, readUntilQuiet(q))
			n.server.CloseClientConnections()
			n.server.Close()
			for len(heard) > 0 {
				if id := <-heard; id == "hidden" {
					t.Error("the hidden request ran")
				}
			}
		})
	}
}

// readUntilQuiet reads what comes within a moment.
func readUntilQuiet(q *client) io.Reader {
	q.SetReadDeadline(clock.Deadline(200 * time.Millisecond))
	return q.reader
}

// TestRequestersConnectionsReusedUnderLoad: requesters reuse and cut their
// connections while they share few connections to one replica. Each complete
// answer is the requester's own, and nothing runs twice.
func TestRequestersConnectionsReusedUnderLoad(t *testing.T) {
	const requesters, each = 16, 40
	heard := make(chan string, requesters*each*2)
	n, _ := decidingNode(t, send, echoing(t, heard))
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
	for len(heard) > 0 {
		runs[<-heard]++
	}
	for id, count := range runs {
		if count != 1 {
			t.Errorf("%s ran %d times", id, count)
		}
	}
}

// useConnections sends requests over one connection after the other: every
// fifth request is given up, with its connection, before its answer is read.
func useConnections(t *testing.T, n *node, requester, each int) {
	q := n.dial(t)
	for i := range each {
		id := fmt.Sprintf("%d-%d", requester, i)
		if _, err := io.WriteString(q, numbered(id)); err != nil {
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

// FuzzStream: whatever a replica sends for a stream, its requester gets whole
// lines from its beginning, and an end that looks complete only when the
// replica's answer had one.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{streamed, streamHead, byLength, inChunks, notRun, failed, streamed[:len(streamed)-4], streamHead + "5\r\ndata:\r\n0\r\n\r\n",
		strings.Replace(streamed, "a1", "other", 1) + streamed, streamHead + chunk("id: 1\r\rdata: x\n\n") + "0\r\n\r\n", streamed + streamed, "\x00"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		given := giveStream(t, raw)
		if given.first != 1 {
			t.Fatalf("it was sent %d times", given.first)
		}
		if given.status/100 != 2 || given.body == "" || given.second > 0 {
			return
		}
		whole, complete := readWhole(raw)
		if given.complete && (!complete || given.body != whole) {
			t.Fatalf("a complete %q of %q", given.body, whole)
		}
		if !given.complete && (!strings.HasPrefix(whole, given.body) || !strings.HasSuffix(given.body, "\n")) {
			t.Fatalf("a part %q of %q", given.body, whole)
		}
	})
}

// giveStream sends a request for a stream to a replica that writes raw bytes.
func giveStream(t *testing.T, raw []byte) brokenOff {
	t.Helper()
	return breakOff(t, stream(false), string(raw), false)
}

// readWhole reads the answer to the request out of what a replica sent, as any
// client of the protocol would.
func readWhole(raw []byte) (body string, complete bool) {
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
