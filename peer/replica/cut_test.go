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

// TestCutAtEveryByte: a replica breaks off after each byte of its answer, by a
// close or by a reset. Only an answer that came to its last byte is whole, only
// a promise whose head came whole is one, the request is sent once, and the
// next one goes over a connection of its own.
func TestCutAtEveryByte(t *testing.T) {
	answers := map[string]struct {
		raw, end string
		// enough is how many bytes must have come for this end.
		enough int
	}{
		"by length":     {whole, "ok", len(whole)},
		"in chunks":     {whole2, "ok", len(whole2)},
		"a promise":     {promise, "not run", len(promise)},
		"hints first":   {"HTTP/1.1 103 Early Hints\r\n\r\n" + whole, "ok", len("HTTP/1.1 103 Early Hints\r\n\r\n" + whole)},
		"surplus first": {old + whole, "ok", len(old + whole)},
	}
	for name, answer := range answers {
		for _, then := range []string{closes, resets} {
			t.Run(name+" "+then, func(t *testing.T) {
				for cut := range len(answer.raw) + 1 {
					end := cutAfter(t, reaction{raw: answer.raw[:cut], then: then})
					if cut < answer.enough && end == answer.end {
						t.Errorf("%d bytes of %d look like %q", cut, len(answer.raw), end)
					}
					if cut == answer.enough && then == closes && end != answer.end {
						t.Errorf("all %d bytes end as %q", cut, end)
					}
					if end == "unreached" {
						t.Errorf("after %d bytes what was sent is called unreached", cut)
					}
				}
			})
		}
	}
}

// cutAfter sends a request that ends by a reaction, and one after it, and tells
// the first one's end. ID is two bytes long, as the ids are, so that a cut
// falls on the same byte of the answer as sent.
func cutAfter(t *testing.T, first reaction) string {
	t.Helper()
	s := newStandIn(t, []reaction{first, {raw: whole}})
	l := s.line()
	defer l.Close()
	end := sendOne(l, ask("i0", 5*time.Second))
	got := <-s.requests
	if got.id != "i0" || got.connection != 1 {
		t.Errorf("the replica first got %s on connection %d", got.id, got.connection)
	}
	idleSeen(t, l)
	if next := sendOne(l, ask("i1", 5*time.Second)); next != "ok" {
		t.Errorf("the next request ends as %q", next)
	}
	if got := <-s.requests; got.id != "i1" || got.connection != 2 {
		t.Errorf("the replica then got %s on connection %d", got.id, got.connection)
	}
	if len(s.requests) > 0 {
		t.Error("something was sent twice")
	}
	return end
}

// unrulyReplica answers each request with a body that names it, and does at
// random what replicas in trouble do: it answers twice, later than it should,
// for other requests, with surplus bytes, in part, or not at all.
type unrulyReplica struct {
	listener net.Listener
	lock     sync.Mutex
	random   *rand.Rand
	runs     map[string]int
	open     sync.WaitGroup
}

func newUnrulyReplica(t *testing.T, seed uint64) *unrulyReplica {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &unrulyReplica{listener: listener, random: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			u.open.Add(1)
			go u.serve(c)
		}
	}()
	return u
}

// draw notes a run and draws what is done with its answer.
func (u *unrulyReplica) draw(id string, among int) int {
	u.lock.Lock()
	defer u.lock.Unlock()
	u.runs[id]++
	return u.random.IntN(among)
}

// unrulyConnection is one connection of it. Nothing is written once an answer
// has broken off: bytes after that would stand within that answer, where no
// reader can tell them from it.
type unrulyConnection struct {
	net.Conn
	lock  sync.Mutex
	ended bool
}

// write writes an answer, unless one has broken off.
func (c *unrulyConnection) write(raw string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.ended {
		io.WriteString(c.Conn, raw)
	}
}

// breakOff writes a part of an answer, the last that is written.
func (c *unrulyConnection) breakOff(raw string) {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.ended = true
	io.WriteString(c.Conn, raw)
}

func (u *unrulyReplica) serve(plain net.Conn) {
	defer u.open.Done()
	defer plain.Close()
	c := &unrulyConnection{Conn: plain}
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get(OwnNames.Attempt)
		if !u.answer(c, id, u.draw(id, 10)) {
			return
		}
	}
}

// answer misbehaves in one of ten ways, and tells whether the connection stays.
func (u *unrulyReplica) answer(c *unrulyConnection, id string, way int) bool {
	own := fmt.Sprintf("HTTP/1.1 200 OK\r\nSaffronfall-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nSaffronfall-Attempt: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(id), id)
	other := "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: other\r\nContent-Length: 5\r\n\r\nother"
	switch way {
	case 0:
		c.write(own + own)
	case 1:
		c.write(own)
		time.AfterFunc(time.Duration(len(id))*time.Millisecond/4, func() { c.write(own) })
	case 2:
		c.write(other + own)
	case 3:
		c.write(own + "surplus")
	case 4:
		c.breakOff(own[:len(own)-1])
		return false
	case 5:
		c.Conn.(*net.TCPConn).SetLinger(0)
		return false
	case 6:
		c.write(chunked)
	case 7:
		c.breakOff(chunked[:len(chunked)-3])
		return false
	default:
		c.write(own)
	}
	return true
}

// TestConnectionsReusedUnderLoad: many requests share few connections to an
// unruly replica. Each gets its own answer or none, and each runs once.
func TestConnectionsReusedUnderLoad(t *testing.T) {
	const clients, each = 24, 60
	u := newUnrulyReplica(t, 7)
	l := NewLine(u.listener.Addr().String(), 4, 2*time.Second)
	var answered, broken int64
	var lock sync.Mutex
	var sending sync.WaitGroup
	for client := range clients {
		sending.Add(1)
		go func() {
			defer sending.Done()
			for i := range each {
				id := fmt.Sprintf("request-%02d-%02d", client, i)
				end := sendOne(l, ask(id, 5*time.Second))
				lock.Lock()
				switch end {
				case id:
					answered++
				case "broken", "cut":
					broken++
				default:
					t.Errorf("%s got %q", id, end)
				}
				lock.Unlock()
			}
		}()
	}
	sending.Wait()
	l.Close()
	u.listener.Close()
	u.open.Wait()
	if answered < clients*each/2 || broken == 0 {
		t.Errorf("%d answered, %d broken: the replica was not unruly as meant", answered, broken)
	}
	for id, runs := range u.runs {
		if runs != 1 {
			t.Errorf("%s ran %d times", id, runs)
		}
	}
	if len(u.runs) != clients*each {
		t.Errorf("%d requests came of %d", len(u.runs), clients*each)
	}
}

// TestLateAnswerToAnotherIsNeverTaken: the answer to a request that was given
// up comes after all, at each moment of the next request. The next one never
// takes it.
func TestLateAnswerToAnotherIsNeverTaken(t *testing.T) {
	late := strings.ReplaceAll(whole, "ID", "i0")
	for name, script := range map[string][]reaction{
		"with its own answer": {{raw: whole}, {raw: late + whole}},
		"alone":               {{raw: whole}, {raw: late, then: closes}},
		"after its own":       {{raw: whole + late}, {raw: whole}},
		"a promise, late":     {{raw: whole}, {raw: strings.ReplaceAll(promise, "ID", "i0"), then: closes}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStandIn(t, script)
			l := s.line()
			defer l.Close()
			sendOne(l, ask("i0", 5*time.Second))
			end := sendOne(l, ask("i1", 5*time.Second))
			if alone := script[1].then == closes; alone && end != "broken" || !alone && end != "ok" {
				t.Errorf("ends as %q", end)
			}
		})
	}
}

// TestLeftOverBytesEndAConnection: bytes that wait behind an answer belong to no
// request, so its connection is not used again. Two guards see to it, each by itself:
// one when the answer has ended, one when the connection is taken up.
func TestLeftOverBytesEndAConnection(t *testing.T) {
	leftOver := func() *conn {
		near, far := net.Pipe()
		t.Cleanup(func() {
			near.Close()
			far.Close()
		})
		c := &conn{Conn: near, room: math.MaxInt}
		c.reader = bufio.NewReader(io.MultiReader(strings.NewReader("old"), near))
		if _, err := c.reader.Peek(1); err != nil {
			t.Fatal(err)
		}
		return c
	}
	line := NewLine("127.0.0.1:1", 4, time.Second)
	r := &Response{Response: &http.Response{ContentLength: 2}, line: line, conn: leftOver(), stop: func() bool { return true }}
	r.Done(true)
	if len(line.idle) != 0 {
		t.Error("kept after its answer")
	}
	if quiet(leftOver()) {
		t.Error("taken up again")
	}
}
