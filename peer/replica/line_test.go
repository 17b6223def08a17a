package replica

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/clock"
)

// reaction is what a stand-in does with one request: bytes (ID stands for the
// request's id), then what becomes of the connection.
type reaction struct {
	raw  string
	then string
}

// What becomes of a connection after a reaction.
const (
	stays  = ""
	closes = "closes"
	resets = "resets"
)

type seen struct {
	connection int
	id         string
	request    *http.Request
	body       []byte
}

// standIn is a replica that speaks raw TCP and answers by a script.
type standIn struct {
	listener net.Listener
	requests chan seen
	ended    chan int
}

func newStandIn(t *testing.T, script []reaction) *standIn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{listener: listener, requests: make(chan seen, 64), ended: make(chan int, 1)}
	next := make(chan reaction, len(script))
	for _, r := range script {
		next <- r
	}
	connections := make(chan net.Conn, 64)
	t.Cleanup(func() {
		listener.Close()
		for range <-s.ended {
			(<-connections).Close()
		}
	})
	go func() {
		made := 0
		defer func() { s.ended <- made }()
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			made++
			connections <- c
			go s.serve(c, made, next)
		}
	}()
	return s
}

func (s *standIn) serve(c net.Conn, number int, next <-chan reaction) {
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		id := request.Header.Get(OwnNames.Attempt)
		var r reaction
		select {
		case r = <-next:
		default:
			r = reaction{then: closes}
		}
		if r.then == resets {
			c.(*net.TCPConn).SetLinger(0)
		}
		io.WriteString(c, strings.ReplaceAll(r.raw, "ID", id))
		if r.then != stays {
			c.Close()
		}
		s.requests <- seen{connection: number, id: id, request: request, body: body}
		if r.then != stays {
			return
		}
	}
}

func (s *standIn) line() *Line { return NewLine(s.listener.Addr().String(), 4, 2*time.Second) }

func ask(id string, within time.Duration) Request {
	return Request{Method: "POST", URI: "/a", Host: "h", Header: http.Header{OwnNames.Attempt: {id}}, Body: [][]byte{[]byte("body")}, Attempt: id, Within: within, HasBody: true}
}

// sendOne sends as a node does and says what became of it.
func sendOne(l *Line, q Request) string {
	r, unreached, err := l.Do(context.Background(), OwnNames, q)
	switch {
	case unreached:
		return "unreached"
	case err != nil:
		return "broken"
	}
	body, err := io.ReadAll(r.Body)
	r.Done(err == nil)
	switch {
	case r.Moved:
		return "moved"
	case r.NotRun:
		return "not run"
	case err != nil:
		return "cut"
	case !r.Delimited():
		return "endless"
	}
	return string(body)
}

// idleSeen waits until an idle connection has noticed what came on it, or that
// it was closed.
func idleSeen(t *testing.T, l *Line) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case c := <-l.idle:
			still := quiet(c)
			l.idle <- c
			if !still {
				return
			}
		default:
			return
		}
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatal("nothing came on the idle connection")
		}
	}
}

const (
	whole      = "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nContent-Length: 2\r\n\r\nok"
	whole2     = "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	old        = "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: old\r\nContent-Length: 3\r\n\r\nold"
	oldChunked = "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: old\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
	promise    = "HTTP/1.1 503 Service Unavailable\r\nSaffronfall-Attempt: ID\r\nSaffronfall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// TestReplicaManners: three requests are sent one after the other; each comes to
// an end of its own, none is sent twice, and a connection serves the next
// request exactly when nothing about it was odd.
func TestReplicaManners(t *testing.T) {
	one := []reaction{{raw: whole}, {raw: whole}, {raw: whole}}
	with := func(first reaction) []reaction { return append([]reaction{first}, one[1:]...) }
	second := func(r reaction) []reaction { return []reaction{one[0], r, one[2]} }
	endless := strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20)
	for _, c := range []struct {
		name   string
		script []reaction
		ends   string
		// connections is which connection served each request that came.
		connections string
		// unread: something is left on the idle connection after the first.
		unread bool
	}{
		{"well", one, "ok ok ok", "1 1 1", false},
		{"well in chunks", with(reaction{raw: whole2}), "ok ok ok", "1 1 1", false},
		{"empty", with(reaction{raw: "HTTP/1.1 204 No Content\r\nSaffronfall-Attempt: ID\r\n\r\n"}), " ok ok", "1 1 1", false},
		{"a failure", with(reaction{raw: "HTTP/1.1 500 Oops\r\nSaffronfall-Attempt: ID\r\nContent-Length: 1\r\n\r\nx"}), "x ok ok", "1 1 1", false},
		{"cut short of its length", with(reaction{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nContent-Length: 9\r\n\r\nok", then: closes}), "cut ok ok", "1 2 2", false},
		{"cut within its chunks", with(reaction{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", then: closes}), "cut ok ok", "1 2 2", false},
		{"cut within a chunk", with(reaction{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", then: closes}), "cut ok ok", "1 2 2", false},
		{"cut within its head", with(reaction{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Att", then: closes}), "broken ok ok", "1 2 2", false},
		{"a wrong chunk", with(reaction{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nok\r\n"}), "cut ok ok", "1 2 2", false},
		{"two lengths", with(reaction{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!"}), "broken ok ok", "1 2 2", false},
		{"bytes that are no answer", with(reaction{raw: "\x00\x01what is this\r\n\r\n"}), "broken ok ok", "1 2 2", false},
		{"a head without end", with(reaction{raw: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*mostHeadBytes)}), "broken ok ok", "1 2 2", false},
		{"silence and then a close", with(reaction{then: closes}), "broken ok ok", "1 2 2", false},
		{"silence and then a reset", with(reaction{then: resets}), "broken ok ok", "1 2 2", false},
		{"a surplus answer at once", with(reaction{raw: whole + old}), "ok ok ok", "1 2 2", false},
		{"surplus bytes at once", with(reaction{raw: whole + "x"}), "ok ok ok", "1 2 2", false},
		{"a surplus answer where the next is due", second(reaction{raw: old + whole}), "ok ok ok", "1 1 2", false},
		{"a surplus answer in chunks where the next is due", second(reaction{raw: oldChunked + whole}), "ok ok ok", "1 1 2", false},
		{"two surplus answers where the next is due", second(reaction{raw: old + old + whole}), "ok ok ok", "1 1 2", false},
		{"three surplus answers where the next is due", second(reaction{raw: old + old + old + whole}), "ok broken ok", "1 1 2", false},
		{"only a surplus answer", second(reaction{raw: old, then: closes}), "ok broken ok", "1 1 2", false},
		{"a surplus answer cut short", second(reaction{raw: old[:len(old)-1], then: closes}), "ok broken ok", "1 1 2", false},
		{"the end of an idle connection", with(reaction{raw: whole, then: closes}), "ok ok ok", "1 2 2", true},
		{"an idle connection that is reset", with(reaction{raw: whole, then: resets}), "ok ok ok", "1 2 2", true},
		{"an idle connection that is reset by its next request", second(reaction{then: resets}), "ok broken ok", "1 1 2", false},
		{"an idle connection that ends at its next request", second(reaction{then: closes}), "ok broken ok", "1 1 2", false},
		{"said to be closed", with(reaction{raw: strings.Replace(whole, "Content-L", "Connection: close\r\nContent-L", 1)}), "ok ok ok", "1 2 2", false},
		{"an older version of the protocol", with(reaction{raw: strings.Replace(whole, "HTTP/1.1", "HTTP/1.0", 1)}), "ok ok ok", "1 2 2", false},
		{"kept for no time", with(reaction{raw: strings.Replace(whole, "Content-L", "Keep-Alive: timeout=0\r\nContent-L", 1)}), "ok ok ok", "1 2 2", false},
		{"without id", with(reaction{raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}), "broken ok ok", "1 2 2", false},
		{"early hints before it", with(reaction{raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole}), "ok ok ok", "1 1 1", false},
		{"early hints without end", with(reaction{raw: endless}), "broken ok ok", "1 2 2", false},
		{"another protocol", with(reaction{raw: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"}), "broken ok ok", "1 2 2", false},
		{"another replica's place", with(reaction{raw: "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"}), "moved ok ok", "1 1 1", false},
		{"a promise", with(reaction{raw: promise}), "not run ok ok", "1 1 1", false},
		{"a promise without id", with(reaction{raw: strings.Replace(promise, "Saffronfall-Attempt: ID\r\n", "", 1)}), "not run ok ok", "1 1 1", false},
		{"a promise to another request", second(reaction{raw: strings.Replace(promise, "ID", "old", 1) + whole}), "ok ok ok", "1 1 2", false},
		{"a failure that promises nothing", with(reaction{raw: strings.Replace(promise, "Saffronfall-Not-Run: 1\r\n", "", 1)}), " ok ok", "1 1 1", false},
		{"a promise and its end", with(reaction{raw: strings.Replace(promise, "Content-L", "Connection: close\r\nContent-L", 1), then: closes}), "not run ok ok", "1 2 2", false},
		{"neither length nor chunks", with(reaction{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\n\r\nok", then: closes}), "endless ok ok", "1 2 2", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStandIn(t, c.script)
			l := s.line()
			defer l.Close()
			var ends []string
			sent := map[string]int{}
			var served []string
			began := clock.Now()
			for i := range c.script {
				ends = append(ends, sendOne(l, ask(fmt.Sprintf("id%d", i), 10*time.Second)))
				got := <-s.requests
				sent[got.id]++
				served = append(served, fmt.Sprint(got.connection))
				if string(got.body) != "body" || got.request.RequestURI != "/a" || got.request.Host != "h" {
					t.Errorf("the replica got %s %s %q", got.request.Host, got.request.RequestURI, got.body)
				}
				if i == 0 && c.unread {
					idleSeen(t, l)
				}
			}
			if took := clock.Now() - began; took > 5*time.Second {
				t.Errorf("only its deadline ended it, after %v", took)
			}
			if text := strings.Join(ends, " "); text != c.ends {
				t.Errorf("ends %q, want %q", text, c.ends)
			}
			if text := strings.Join(served, " "); text != c.connections {
				t.Errorf("connections %q, want %q", text, c.connections)
			}
			s.listener.Close()
			made := <-s.ended
			s.ended <- made
			if text := c.connections[len(c.connections)-1:]; fmt.Sprint(made) != text {
				t.Errorf("%d connections were made, want %s", made, text)
			}
			for id, n := range sent {
				if n != 1 {
					t.Errorf("%s was sent %d times", id, n)
				}
			}
			if len(s.requests) > 0 {
				t.Errorf("more than was asked for: %+v", <-s.requests)
			}
		})
	}
}

// TestLateSurplus: an answer that comes while its connection is idle is thrown
// away with the connection, and the next request goes on another.
func TestLateSurplus(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	late, made := make(chan struct{}), make(chan int, 8)
	go func() {
		for n := 1; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			made <- n
			go func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					io.Copy(io.Discard, request.Body)
					io.WriteString(c, strings.ReplaceAll(whole, "ID", request.Header.Get(OwnNames.Attempt)))
					if n == 1 {
						<-late
						io.WriteString(c, strings.ReplaceAll(old, "old", "xxx"))
					}
				}
			}()
		}
	}()
	l := NewLine(listener.Addr().String(), 4, time.Second)
	defer l.Close()
	if end := sendOne(l, ask("a", 5*time.Second)); end != "ok" {
		t.Fatal(end)
	}
	close(late)
	idleSeen(t, l)
	if end := sendOne(l, ask("b", 5*time.Second)); end != "ok" {
		t.Fatal(end)
	}
	if len(made) != 2 {
		t.Fatalf("%d connections", len(made))
	}
}

// TestIdleTime: an idle connection is used for less time than its replica said.
func TestIdleTime(t *testing.T) {
	for header, most := range map[string]time.Duration{"timeout=1": time.Second, "max=9, timeout=1": time.Second, "timeout=20": 20 * time.Second, "timeout=0": 1, "timeout=x": 61 * time.Second, "": 61 * time.Second} {
		s := newStandIn(t, []reaction{{raw: strings.Replace(whole, "Content-L", "Keep-Alive: "+header+"\r\nContent-L", 1)}, {raw: whole}, {raw: whole}})
		l := s.line()
		sendOne(l, ask("a", 5*time.Second))
		first := <-s.requests
		c := <-l.idle
		if left := c.until - clock.Now(); left >= most || most > time.Second && left < most/2 {
			t.Errorf("%q: kept for %v", header, left)
		}
		// Its time is over.
		c.until = clock.Now()
		l.idle <- c
		sendOne(l, ask("b", 5*time.Second))
		if second := <-s.requests; first.connection != 1 || second.connection != 2 {
			t.Errorf("%q: connections %d, %d", header, first.connection, second.connection)
		}
		l.Close()
	}
}

// TestUnreached: only what was never sent is called unreached.
func TestUnreached(t *testing.T) {
	l := NewLine("127.0.0.1:1", 4, time.Second)
	if end := sendOne(l, ask("a", time.Second)); end != "unreached" {
		t.Errorf("nobody there: %s", end)
	}
	s := newStandIn(t, []reaction{{raw: whole}})
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	if _, unreached, err := s.line().Do(gone, OwnNames, ask("b", time.Second)); !unreached || err == nil {
		t.Errorf("nobody waits any more: %v %v", unreached, err)
	}
	if len(s.requests) != 0 {
		t.Error("it was sent")
	}
	// A replica that is silent has it.
	s = newStandIn(t, []reaction{{}})
	if end := sendOne(s.line(), ask("c", 50*time.Millisecond)); end != "broken" {
		t.Errorf("silence: %s", end)
	}
	if got := <-s.requests; got.id != "c" {
		t.Errorf("the silent replica got %s", got.id)
	}
}

// TestGoneClosesConnection: when nobody waits any more, the replica sees its
// connection end, before its answer and within it.
func TestGoneClosesConnection(t *testing.T) {
	for _, begun := range []string{"", "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		read, ended := make(chan struct{}), make(chan error, 1)
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			reader := bufio.NewReader(c)
			request, _ := http.ReadRequest(reader)
			io.Copy(io.Discard, request.Body)
			io.WriteString(c, begun)
			close(read)
			c.SetReadDeadline(clock.Deadline(5 * time.Second))
			_, err = reader.ReadByte()
			ended <- err
		}()
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-read
			cancel()
		}()
		l := NewLine(listener.Addr().String(), 4, time.Second)
		r, unreached, err := l.Do(ctx, OwnNames, ask("a", 10*time.Second))
		if unreached {
			t.Error("what was sent is called unreached")
		}
		if err == nil {
			_, err = io.ReadAll(r.Body)
			r.Done(err == nil)
		}
		if err == nil {
			t.Error("an answer that was given up looks whole")
		}
		var slow net.Error
		if err := <-ended; err == nil || errors.As(err, &slow) && slow.Timeout() {
			t.Errorf("the replica's connection did not end: %v", err)
		}
		if len(l.idle) != 0 {
			t.Error("a connection that was given up is kept")
		}
		listener.Close()
	}
}

// TestLargeBodies: the body arrives byte for byte, in one write or several.
func TestLargeBodies(t *testing.T) {
	for _, size := range []int{0, 1, 64 << 10, 64<<10 + 1, 3 << 20} {
		s := newStandIn(t, []reaction{{raw: whole}, {raw: whole}})
		l := s.line()
		body := bytes.Repeat([]byte("0123456789abcdef\r\n\r\n"), size/20+1)[:size]
		q := ask("a", 10*time.Second)
		q.Body = [][]byte{body[:size/3], nil, body[size/3:]}
		if end := sendOne(l, q); end != "ok" {
			t.Errorf("%d bytes: %s", size, end)
		}
		if got := <-s.requests; !bytes.Equal(got.body, body) || got.request.ContentLength != int64(size) {
			t.Errorf("%d bytes: %d arrived", size, len(got.body))
		}
		sendOne(l, ask("b", 10*time.Second))
		if got := <-s.requests; got.connection != 1 {
			t.Errorf("%d bytes: the connection was not used again", size)
		}
		l.Close()
	}
}

// FuzzAnswer: whatever a replica sends, a request comes to its end, an answer
// that is taken bears the request's id or promises that it did not run, and a
// connection with anything left on it is not used again.
func FuzzAnswer(f *testing.F) {
	for _, seed := range []string{whole, whole2, promise, old + whole, oldChunked + whole, whole + old, "HTTP/1.1 100 Continue\r\n\r\n" + whole,
		"HTTP/1.1 421 Misdirected Request\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nok", "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nContent-Length: -1\r\n\r\n", "\x00", ""} {
		f.Add([]byte(strings.ReplaceAll(seed, "ID", "id")))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Skip(err)
		}
		defer listener.Close()
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			request, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			c.Write(raw)
		}()
		l := NewLine(listener.Addr().String(), 4, time.Second)
		defer l.Close()
		r, unreached, err := l.Do(context.Background(), OwnNames, ask("id", 5*time.Second))
		if unreached {
			t.Fatal("what was sent is called unreached")
		}
		if err != nil {
			if len(l.idle) != 0 {
				t.Fatal("a broken connection is kept")
			}
			return
		}
		if id := r.Header.Get(OwnNames.Attempt); id != "id" && !(id == "" && r.NotRun) {
			t.Fatalf("an answer to %q was taken", id)
		}
		body, err := io.ReadAll(r.Body)
		r.Done(err == nil)
		if len(l.idle) == 0 {
			return
		}
		c := <-l.idle
		if err != nil || !r.Delimited() || r.Close || c.reader.Buffered() != 0 {
			t.Fatalf("an odd connection is kept after %q", body)
		}
		l.idle <- c
	})
}
