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

// scriptedResponse is the raw response to one request, in which ID stands for the attempt ID, and
// what happens to the connection then.
type scriptedResponse struct {
	raw  string
	then string
}

const (
	stays  = ""
	closes = "closes"
	resets = "resets"
)

type receivedRequest struct {
	connection int
	id         string
	request    *http.Request
	body       []byte
}

type fakeReplica struct {
	listener net.Listener
	requests chan receivedRequest
	ended    chan int
}

func newFakeReplica(t *testing.T, script []scriptedResponse) *fakeReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeReplica{listener: listener, requests: make(chan receivedRequest, 64), ended: make(chan int, 1)}
	next := make(chan scriptedResponse, len(script))
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

func (s *fakeReplica) serve(c net.Conn, number int, next <-chan scriptedResponse) {
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
		id := request.Header.Get(DefaultHeaders.Attempt)
		var r scriptedResponse
		select {
		case r = <-next:
		default:
			r = scriptedResponse{then: closes}
		}
		if r.then == resets {
			c.(*net.TCPConn).SetLinger(0)
		}
		io.WriteString(c, strings.ReplaceAll(r.raw, "ID", id))
		if r.then != stays {
			c.Close()
		}
		s.requests <- receivedRequest{connection: number, id: id, request: request, body: body}
		if r.then != stays {
			return
		}
	}
}

func (s *fakeReplica) pool() *Pool { return NewPool(s.listener.Addr().String(), 4, 2*time.Second) }

func newRequest(id string, timeout time.Duration) Request {
	return Request{
		Method:  "POST",
		URI:     "/a",
		Host:    "h",
		Header:  http.Header{DefaultHeaders.Attempt: {id}},
		Body:    [][]byte{[]byte("body")},
		Attempt: id,
		Timeout: timeout,
		HasBody: true,
	}
}

// sendRequest describes how a request ended.
func sendRequest(p *Pool, q Request) string {
	r, notSent, err := p.Do(context.Background(), DefaultHeaders, q)
	switch {
	case notSent:
		return "not sent"
	case err != nil:
		return "broken"
	}
	body, err := io.ReadAll(r.Body)
	r.Done(err == nil)
	switch {
	case r.Misdirected:
		return "misdirected"
	case r.NotRun:
		return "not run"
	case err != nil:
		return "truncated"
	case !r.Delimited():
		return "undelimited"
	}
	return string(body)
}

// waitIdleClosed waits until the idle connection, if any, got bytes or was closed.
func waitIdleClosed(t *testing.T, p *Pool) {
	t.Helper()
	deadline := time.After(5 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case c := <-p.idle:
			still := stillIdle(c)
			p.idle <- c
			if !still {
				return
			}
		default:
			return
		}
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatal("the idle connection received nothing")
		}
	}
}

const (
	okResponse     = "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nContent-Length: 2\r\n\r\nok"
	okChunked      = "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	staleResponse  = "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: old\r\nContent-Length: 3\r\n\r\nold"
	staleChunked   = "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: old\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nold\r\n0\r\n\r\n"
	notRunResponse = "HTTP/1.1 503 Service Unavailable\r\nSaffronfall-Attempt: ID\r\nSaffronfall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// No request may be sent twice, and a connection must be reused exactly when its response allows
// it.
func TestResponses(t *testing.T) {
	one := []scriptedResponse{{raw: okResponse}, {raw: okResponse}, {raw: okResponse}}
	with := func(first scriptedResponse) []scriptedResponse { return append([]scriptedResponse{first}, one[1:]...) }
	second := func(r scriptedResponse) []scriptedResponse { return []scriptedResponse{one[0], r, one[2]} }
	endlessHints := strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 20)
	for _, c := range []struct {
		name   string
		script []scriptedResponse
		ends   string
		// connections lists the connection that served each request.
		connections string
		// unread means that the idle connection gets bytes after the first request.
		unread bool
	}{
		{"complete", one, "ok ok ok", "1 1 1", false},
		{"complete in chunks", with(scriptedResponse{raw: okChunked}), "ok ok ok", "1 1 1", false},
		{"empty", with(scriptedResponse{raw: "HTTP/1.1 204 No Content\r\nSaffronfall-Attempt: ID\r\n\r\n"}), " ok ok", "1 1 1", false},
		{"status 500", with(scriptedResponse{raw: "HTTP/1.1 500 Oops\r\nSaffronfall-Attempt: ID\r\nContent-Length: 1\r\n\r\nx"}), "x ok ok", "1 1 1", false},
		{"truncated body", with(scriptedResponse{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nContent-Length: 9\r\n\r\nok", then: closes}), "truncated ok ok", "1 2 2", false},
		{"truncated between chunks", with(scriptedResponse{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", then: closes}), "truncated ok ok", "1 2 2", false},
		{"truncated within a chunk", with(scriptedResponse{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", then: closes}), "truncated ok ok", "1 2 2", false},
		{"truncated head", with(scriptedResponse{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Att", then: closes}), "broken ok ok", "1 2 2", false},
		{"a wrong chunk", with(scriptedResponse{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nok\r\n"}), "truncated ok ok", "1 2 2", false},
		{"two lengths", with(scriptedResponse{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!"}), "broken ok ok", "1 2 2", false},
		{"not HTTP", with(scriptedResponse{raw: "\x00\x01what is this\r\n\r\n"}), "broken ok ok", "1 2 2", false},
		{"a head without end", with(scriptedResponse{raw: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeadBytes)}), "broken ok ok", "1 2 2", false},
		{"close without a response", with(scriptedResponse{then: closes}), "broken ok ok", "1 2 2", false},
		{"reset without a response", with(scriptedResponse{then: resets}), "broken ok ok", "1 2 2", false},
		{"a stale response behind the response", with(scriptedResponse{raw: okResponse + staleResponse}), "ok ok ok", "1 2 2", false},
		{"extra bytes behind the response", with(scriptedResponse{raw: okResponse + "x"}), "ok ok ok", "1 2 2", false},
		{"a stale response before the next", second(scriptedResponse{raw: staleResponse + okResponse}), "ok ok ok", "1 1 2", false},
		{"a chunked stale response before the next", second(scriptedResponse{raw: staleChunked + okResponse}), "ok ok ok", "1 1 2", false},
		{"two stale responses before the next", second(scriptedResponse{raw: staleResponse + staleResponse + okResponse}), "ok ok ok", "1 1 2", false},
		{"three stale responses before the next", second(scriptedResponse{raw: staleResponse + staleResponse + staleResponse + okResponse}), "ok broken ok", "1 1 2", false},
		{"only a stale response", second(scriptedResponse{raw: staleResponse, then: closes}), "ok broken ok", "1 1 2", false},
		{"a truncated stale response", second(scriptedResponse{raw: staleResponse[:len(staleResponse)-1], then: closes}), "ok broken ok", "1 1 2", false},
		{"an idle connection that is closed", with(scriptedResponse{raw: okResponse, then: closes}), "ok ok ok", "1 2 2", true},
		{"an idle connection that is reset", with(scriptedResponse{raw: okResponse, then: resets}), "ok ok ok", "1 2 2", true},
		{"an idle connection that is reset on its next request", second(scriptedResponse{then: resets}), "ok broken ok", "1 1 2", false},
		{"an idle connection that is closed on its next request", second(scriptedResponse{then: closes}), "ok broken ok", "1 1 2", false},
		{"Connection: close", with(scriptedResponse{raw: strings.Replace(okResponse, "Content-L", "Connection: close\r\nContent-L", 1)}), "ok ok ok", "1 2 2", false},
		{"HTTP 1.0", with(scriptedResponse{raw: strings.Replace(okResponse, "HTTP/1.1", "HTTP/1.0", 1)}), "ok ok ok", "1 2 2", false},
		{"keep-alive timeout of zero", with(scriptedResponse{raw: strings.Replace(okResponse, "Content-L", "Keep-Alive: timeout=0\r\nContent-L", 1)}), "ok ok ok", "1 2 2", false},
		{"no attempt ID", with(scriptedResponse{raw: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}), "broken ok ok", "1 2 2", false},
		{"early hints", with(scriptedResponse{raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse}), "ok ok ok", "1 1 1", false},
		{"early hints without end", with(scriptedResponse{raw: endlessHints}), "broken ok ok", "1 2 2", false},
		{"switching protocols", with(scriptedResponse{raw: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"}), "broken ok ok", "1 2 2", false},
		{"misdirected", with(scriptedResponse{raw: "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"}), "misdirected ok ok", "1 1 1", false},
		{"not run", with(scriptedResponse{raw: notRunResponse}), "not run ok ok", "1 1 1", false},
		{"not run, no attempt ID", with(scriptedResponse{raw: strings.Replace(notRunResponse, "Saffronfall-Attempt: ID\r\n", "", 1)}), "not run ok ok", "1 1 1", false},
		{"not run, for another request", second(scriptedResponse{raw: strings.Replace(notRunResponse, "ID", "old", 1) + okResponse}), "ok ok ok", "1 1 2", false},
		{"status 503 without the not-run header", with(scriptedResponse{raw: strings.Replace(notRunResponse, "Saffronfall-Not-Run: 1\r\n", "", 1)}), " ok ok", "1 1 1", false},
		{"not run, and Connection: close", with(scriptedResponse{raw: strings.Replace(notRunResponse, "Content-L", "Connection: close\r\nContent-L", 1), then: closes}), "not run ok ok", "1 2 2", false},
		{"neither a length nor chunks", with(scriptedResponse{raw: "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: ID\r\n\r\nok", then: closes}), "undelimited ok ok", "1 2 2", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeReplica(t, c.script)
			p := s.pool()
			defer p.Close()
			var ends []string
			sent := map[string]int{}
			var served []string
			began := clock.Now()
			for i := range c.script {
				ends = append(ends, sendRequest(p, newRequest(fmt.Sprintf("id%d", i), 10*time.Second)))
				got := <-s.requests
				sent[got.id]++
				served = append(served, fmt.Sprint(got.connection))
				if string(got.body) != "body" || got.request.RequestURI != "/a" || got.request.Host != "h" {
					t.Errorf("the replica got %s %s %q", got.request.Host, got.request.RequestURI, got.body)
				}
				if i == 0 && c.unread {
					waitIdleClosed(t, p)
				}
			}
			if took := clock.Now() - began; took > 5*time.Second {
				t.Errorf("it ended only at its deadline, after %v", took)
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
				t.Errorf("unexpected request: %+v", <-s.requests)
			}
		})
	}
}

// A response on an idle connection must be discarded with the connection.
func TestStaleResponseOnIdleConnection(t *testing.T) {
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
					io.WriteString(c, strings.ReplaceAll(okResponse, "ID", request.Header.Get(DefaultHeaders.Attempt)))
					if n == 1 {
						<-late
						io.WriteString(c, strings.ReplaceAll(staleResponse, "old", "xxx"))
					}
				}
			}()
		}
	}()
	p := NewPool(listener.Addr().String(), 4, time.Second)
	defer p.Close()
	if end := sendRequest(p, newRequest("a", 5*time.Second)); end != "ok" {
		t.Fatal(end)
	}
	close(late)
	waitIdleClosed(t, p)
	if end := sendRequest(p, newRequest("b", 5*time.Second)); end != "ok" {
		t.Fatal(end)
	}
	if len(made) != 2 {
		t.Fatalf("%d connections", len(made))
	}
}

// An idle connection must be used for less time than the Keep-Alive timeout.
func TestIdleTime(t *testing.T) {
	for header, most := range map[string]time.Duration{"timeout=1": time.Second, "max=9, timeout=1": time.Second, "timeout=20": 20 * time.Second, "timeout=0": 1, "timeout=x": 61 * time.Second, "": 61 * time.Second} {
		s := newFakeReplica(t, []scriptedResponse{{raw: strings.Replace(okResponse, "Content-L", "Keep-Alive: "+header+"\r\nContent-L", 1)}, {raw: okResponse}, {raw: okResponse}})
		p := s.pool()
		sendRequest(p, newRequest("a", 5*time.Second))
		first := <-s.requests
		c := <-p.idle
		if left := c.idleUntil - clock.Now(); left >= most || most > time.Second && left < most/2 {
			t.Errorf("%q: kept for %v", header, left)
		}
		c.idleUntil = clock.Now()
		p.idle <- c
		sendRequest(p, newRequest("b", 5*time.Second))
		if second := <-s.requests; first.connection != 1 || second.connection != 2 {
			t.Errorf("%q: connections %d, %d", header, first.connection, second.connection)
		}
		p.Close()
	}
}

// Only a request that was never sent may be reported as not sent.
func TestNotSent(t *testing.T) {
	p := NewPool("127.0.0.1:1", 4, time.Second)
	if end := sendRequest(p, newRequest("a", time.Second)); end != "not sent" {
		t.Errorf("unreachable address: %s", end)
	}
	s := newFakeReplica(t, []scriptedResponse{{raw: okResponse}})
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	if _, notSent, err := s.pool().Do(gone, DefaultHeaders, newRequest("b", time.Second)); !notSent || err == nil {
		t.Errorf("canceled context: %v %v", notSent, err)
	}
	if len(s.requests) != 0 {
		t.Error("a canceled request was sent")
	}
	// A replica that does not respond has received the request.
	s = newFakeReplica(t, []scriptedResponse{{}})
	if end := sendRequest(s.pool(), newRequest("c", 50*time.Millisecond)); end != "broken" {
		t.Errorf("silence: %s", end)
	}
	if got := <-s.requests; got.id != "c" {
		t.Errorf("the silent replica got %s", got.id)
	}
}

func TestCancelClosesConnection(t *testing.T) {
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
		p := NewPool(listener.Addr().String(), 4, time.Second)
		r, notSent, err := p.Do(ctx, DefaultHeaders, newRequest("a", 10*time.Second))
		if notSent {
			t.Error("a request that was sent is reported as not sent")
		}
		if err == nil {
			_, err = io.ReadAll(r.Body)
			r.Done(err == nil)
		}
		if err == nil {
			t.Error("a canceled response looks complete")
		}
		var slow net.Error
		if err := <-ended; err == nil || errors.As(err, &slow) && slow.Timeout() {
			t.Errorf("the replica's connection did not end: %v", err)
		}
		if len(p.idle) != 0 {
			t.Error("the connection of a canceled request is kept")
		}
		listener.Close()
	}
}

func TestLargeBodies(t *testing.T) {
	for _, size := range []int{0, 1, 64 << 10, 64<<10 + 1, 3 << 20} {
		s := newFakeReplica(t, []scriptedResponse{{raw: okResponse}, {raw: okResponse}})
		p := s.pool()
		body := bytes.Repeat([]byte("0123456789abcdef\r\n\r\n"), size/20+1)[:size]
		q := newRequest("a", 10*time.Second)
		q.Body = [][]byte{body[:size/3], nil, body[size/3:]}
		if end := sendRequest(p, q); end != "ok" {
			t.Errorf("%d bytes: %s", size, end)
		}
		if got := <-s.requests; !bytes.Equal(got.body, body) || got.request.ContentLength != int64(size) {
			t.Errorf("%d bytes: %d arrived", size, len(got.body))
		}
		sendRequest(p, newRequest("b", 10*time.Second))
		if got := <-s.requests; got.connection != 1 {
			t.Errorf("%d bytes: the connection was not used again", size)
		}
		p.Close()
	}
}

// The request must end, an accepted response must name the attempt or say that it was not run,
// and a connection with unread bytes must not be reused.
func FuzzPoolDo(f *testing.F) {
	for _, seed := range []string{okResponse, okChunked, notRunResponse, staleResponse + okResponse, staleChunked + okResponse, okResponse + staleResponse, "HTTP/1.1 100 Continue\r\n\r\n" + okResponse,
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
		p := NewPool(listener.Addr().String(), 4, time.Second)
		defer p.Close()
		r, notSent, err := p.Do(context.Background(), DefaultHeaders, newRequest("id", 5*time.Second))
		if notSent {
			t.Fatal("a request that was sent is reported as not sent")
		}
		if err != nil {
			if len(p.idle) != 0 {
				t.Fatal("a broken connection is kept")
			}
			return
		}
		if id := r.Header.Get(DefaultHeaders.Attempt); id != "id" && !(id == "" && r.NotRun) {
			t.Fatalf("a response to %q was accepted", id)
		}
		body, err := io.ReadAll(r.Body)
		r.Done(err == nil)
		if len(p.idle) == 0 {
			return
		}
		c := <-p.idle
		if err != nil || !r.Delimited() || r.Close || c.reader.Buffered() != 0 {
			t.Fatalf("an unusable connection is kept after %q", body)
		}
		p.idle <- c
	})
}
