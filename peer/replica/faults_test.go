package replica

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestCutAtEveryByte guards against taking a truncated response as complete, sending a request
// twice, and reusing the connection.
func TestCutAtEveryByte(t *testing.T) {
	responses := map[string]struct {
		raw, end string
		// complete is how many bytes must arrive for this end.
		complete int
	}{
		"by length":         {okResponse, "ok", len(okResponse)},
		"in chunks":         {okChunked, "ok", len(okChunked)},
		"not run":           {notRunResponse, "not run", len(notRunResponse)},
		"early hints first": {"HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse, "ok", len("HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse)},
		"stale first":       {staleResponse + okResponse, "ok", len(staleResponse + okResponse)},
	}
	for name, response := range responses {
		for _, then := range []string{closes, resets} {
			t.Run(name+" "+then, func(t *testing.T) {
				for cut := range len(response.raw) + 1 {
					end := endOfTruncated(t, scriptedResponse{raw: response.raw[:cut], then: then})
					if cut < response.complete && end == response.end {
						t.Errorf("%d bytes of %d look like %q", cut, len(response.raw), end)
					}
					if cut == response.complete && then == closes && end != response.end {
						t.Errorf("all %d bytes ended as %q", cut, end)
					}
					if end == "not sent" {
						t.Errorf("after %d bytes a request that was sent is reported as not sent", cut)
					}
				}
			})
		}
	}
}

// endOfTruncated returns how the request with the truncated response ended. The attempt IDs have
// two bytes like the placeholder ID, so that a cut falls on the same byte.
func endOfTruncated(t *testing.T, first scriptedResponse) string {
	t.Helper()
	s := newFakeReplica(t, []scriptedResponse{first, {raw: okResponse}})
	p := s.pool()
	defer p.Close()
	end := sendRequest(p, newRequest("i0", 5*time.Second))
	got := <-s.requests
	if got.id != "i0" || got.connection != 1 {
		t.Errorf("the replica first got %s on connection %d", got.id, got.connection)
	}
	waitIdleClosed(t, p)
	if next := sendRequest(p, newRequest("i1", 5*time.Second)); next != "ok" {
		t.Errorf("the next request ended as %q", next)
	}
	if got := <-s.requests; got.id != "i1" || got.connection != 2 {
		t.Errorf("the replica then got %s on connection %d", got.id, got.connection)
	}
	if len(s.requests) > 0 {
		t.Error("a request was sent twice")
	}
	return end
}

// faultyReplica answers each request with a body that names it, and with random faults.
type faultyReplica struct {
	listener net.Listener
	lock     sync.Mutex
	random   *rand.Rand
	runs     map[string]int
	open     sync.WaitGroup
}

func newFaultyReplica(t *testing.T, seed uint64) *faultyReplica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &faultyReplica{listener: listener, random: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			f.open.Add(1)
			go f.serve(c)
		}
	}()
	return f
}

func (f *faultyReplica) draw(id string, kinds int) int {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.runs[id]++
	return f.random.IntN(kinds)
}

// faultyConnection writes nothing after a truncated response, because a reader could not tell
// those bytes from the rest of it.
type faultyConnection struct {
	net.Conn
	lock  sync.Mutex
	ended bool
}

func (c *faultyConnection) write(raw string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.ended {
		io.WriteString(c.Conn, raw)
	}
}

func (c *faultyConnection) writeTruncated(raw string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.ended = true
	io.WriteString(c.Conn, raw)
}

func (f *faultyReplica) serve(plain net.Conn) {
	defer f.open.Done()
	defer plain.Close()
	c := &faultyConnection{Conn: plain}
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get(DefaultHeaders.Attempt)
		if !f.respond(c, id, f.draw(id, 10)) {
			return
		}
	}
}

// respond reports whether the connection stays open.
func (f *faultyReplica) respond(c *faultyConnection, id string, fault int) bool {
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nSaffronfall-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nSaffronfall-Attempt: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(id), id)
	stale := "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: other\r\nContent-Length: 5\r\n\r\nother"
	switch fault {
	case 0:
		c.write(response + response)
	case 1:
		c.write(response)
		time.AfterFunc(time.Duration(len(id))*time.Millisecond/4, func() { c.write(response) })
	case 2:
		c.write(stale + response)
	case 3:
		c.write(response + "surplus")
	case 4:
		c.writeTruncated(response[:len(response)-1])
		return false
	case 5:
		c.Conn.(*net.TCPConn).SetLinger(0)
		return false
	case 6:
		c.write(chunked)
	case 7:
		c.writeTruncated(chunked[:len(chunked)-3])
		return false
	default:
		c.write(response)
	}
	return true
}

// Each request must get its own response or none, and run once.
func TestConnectionsReusedUnderLoad(t *testing.T) {
	const requesters, each = 24, 60
	f := newFaultyReplica(t, 7)
	p := NewPool(f.listener.Addr().String(), 4, 2*time.Second)
	var answered, broken int64
	var lock sync.Mutex
	var requestersDone sync.WaitGroup
	for requester := range requesters {
		requestersDone.Add(1)
		go func() {
			defer requestersDone.Done()
			for i := range each {
				id := fmt.Sprintf("request-%02d-%02d", requester, i)
				end := sendRequest(p, newRequest(id, 5*time.Second))
				lock.Lock()
				switch end {
				case id:
					answered++
				case "broken", "truncated":
					broken++
				default:
					t.Errorf("%s got %q", id, end)
				}
				lock.Unlock()
			}
		}()
	}
	requestersDone.Wait()
	p.Close()
	f.listener.Close()
	f.open.Wait()
	if answered < requesters*each/2 || broken == 0 {
		t.Errorf("%d answered, %d broken: the replica did not produce the intended faults", answered, broken)
	}
	for id, runs := range f.runs {
		if runs != 1 {
			t.Errorf("%s ran %d times", id, runs)
		}
	}
	if len(f.runs) != requesters*each {
		t.Errorf("%d of %d requests arrived", len(f.runs), requesters*each)
	}
}

func TestStaleResponseIsNeverAccepted(t *testing.T) {
	late := strings.ReplaceAll(okResponse, "ID", "i0")
	for name, script := range map[string][]scriptedResponse{
		"before the response": {{raw: okResponse}, {raw: late + okResponse}},
		"alone":               {{raw: okResponse}, {raw: late, then: closes}},
		"after the response":  {{raw: okResponse + late}, {raw: okResponse}},
		"not run, late":       {{raw: okResponse}, {raw: strings.ReplaceAll(notRunResponse, "ID", "i0"), then: closes}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeReplica(t, script)
			p := s.pool()
			defer p.Close()
			sendRequest(p, newRequest("i0", 5*time.Second))
			end := sendRequest(p, newRequest("i1", 5*time.Second))
			if alone := script[1].then == closes; alone && end != "broken" || !alone && end != "ok" {
				t.Errorf("ended as %q", end)
			}
		})
	}
}

// TestLeftOverBytesEndAConnection guards against reusing a connection with unread bytes, both at
// the end of a response and in the pool.
func TestLeftOverBytesEndAConnection(t *testing.T) {
	leftOver := func() *conn {
		near, far := net.Pipe()
		t.Cleanup(func() {
			near.Close()
			far.Close()
		})
		c := &conn{Conn: near, headBytesLeft: math.MaxInt}
		c.reader = bufio.NewReader(io.MultiReader(strings.NewReader("old"), near))
		if _, err := c.reader.Peek(1); err != nil {
			t.Fatal(err)
		}
		return c
	}
	pool := NewPool("127.0.0.1:1", 4, time.Second)
	r := &Response{Response: &http.Response{ContentLength: 2}, pool: pool, conn: leftOver(), detach: func() bool { return true }}
	r.Done(true)
	if len(pool.idle) != 0 {
		t.Error("the connection is kept after its response")
	}
	if stillIdle(leftOver()) {
		t.Error("the connection is reused")
	}
}
