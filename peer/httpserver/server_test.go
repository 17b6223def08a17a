package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	request     = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	slowRequest = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
	testTimeout = 5 * time.Second
	quietTime   = 100 * time.Millisecond
	testMemory  = 1 << 20
)

type testServer struct {
	t       *testing.T
	address string
	server  *http.Server
	// slow gets an entry for each slow request that is being served; each entry in proceed ends one.
	slow, proceed chan struct{}
}

func serve(t *testing.T, limits Limits) *testServer {
	t.Helper()
	socket, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, address: socket.Addr().String(), slow: make(chan struct{}, 64), proceed: make(chan struct{}, 64)}
	server := &http.Server{Handler: s}
	s.server = server
	ended := make(chan struct{})
	go func() {
		Serve(server, socket, limits)
		close(ended)
	}()
	t.Cleanup(func() {
		server.Close()
		<-ended
	})
	return s
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/large" {
		w.Write(make([]byte, 8<<20))
		return
	}
	if r.URL.Path == "/slow" {
		s.slow <- struct{}{}
		<-s.proceed
	}
}

func (s *testServer) dial(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	return c
}

func answered(c net.Conn) bool {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && response.StatusCode == http.StatusOK
}

// closedBy reports whether a connection without data to read is closed.
func closedBy(c net.Conn, within time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(within))
	_, err := c.Read(make([]byte, 1))
	timeout, ok := err.(net.Error)
	return err != nil && !(ok && timeout.Timeout())
}

// Connections above the limit must wait while all others are being served.
func TestConnectionLimit(t *testing.T) {
	const most = 4
	s := serve(t, Limits{Connections: most, RequestBytes: testMemory})
	var served []net.Conn
	for range most {
		served = append(served, s.dial(slowRequest))
	}
	for range most {
		<-s.slow
	}
	var waiting []net.Conn
	for range most {
		waiting = append(waiting, s.dial(slowRequest))
	}
	select {
	case <-s.slow:
		t.Fatal("a connection over the limit is being served")
	case <-time.After(quietTime):
	}
	for range 2 * most {
		s.proceed <- struct{}{}
	}
	for i, c := range append(served, waiting...) {
		if !answered(c) {
			t.Errorf("request %d has no answer", i)
		}
	}
}

func TestSilentConnectionsGiveWayLongestFirst(t *testing.T) {
	const most = 4
	s := serve(t, Limits{Connections: most, RequestBytes: testMemory})
	kept := s.dial(request)
	if !answered(kept) {
		t.Fatal("no answer")
	}
	var silent []net.Conn
	for range most - 1 {
		silent = append(silent, s.dial("GET / HT"))
		time.Sleep(quietTime / 10)
	}
	time.Sleep(2 * minReceiving)
	for i := range silent {
		if !answered(s.dial(request)) {
			t.Fatal("no answer")
		}
		if !closedBy(silent[i], testTimeout) {
			t.Errorf("silent connection %d is still open", i)
		}
	}
	if closedBy(kept, quietTime) {
		t.Error("a connection between requests was closed before the silent ones")
	}
	// Now all are between requests.
	if !answered(s.dial(request)) {
		t.Fatal("no answer")
	}
	if !closedBy(kept, testTimeout) {
		t.Error("the connection that was idle for longest is still open")
	}
}

func TestUnfinishedBodiesGiveWay(t *testing.T) {
	s := serve(t, Limits{Connections: 1, RequestBytes: testMemory})
	unfinished := s.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf")
	if !answered(s.dial(request)) || !closedBy(unfinished, testTimeout) {
		t.Error("a connection with an unfinished body did not give way")
	}
	if !answered(s.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n" + strings.Repeat("a", 10))) {
		t.Error("a whole body has no answer")
	}
}

// A request may arrive while its connection is evicted.
func TestEvictedRequestsAreNotServed(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	slots := make(chan struct{}, 1)
	slots <- struct{}{}
	c := newConnection(here, slots, newMemory(1))
	if !c.evict(phaseReceiving) {
		t.Fatal("not evicted")
	}
	body := requestBody{ReadCloser: io.NopCloser(strings.NewReader("whole")), conn: c, left: 5}
	if _, err := io.ReadAll(&body); err != errEvicted {
		t.Errorf("error %v", err)
	}
	if c.enter(phaseServing) || len(slots) != 0 {
		t.Error("an evicted connection is served, or keeps its slot")
	}
}

func TestMemoryIsTakenFromTheLongestReceiving(t *testing.T) {
	m := newMemory(4 * reservationBytes)
	var conns []*connection
	for range 5 {
		here, there := net.Pipe()
		defer there.Close()
		slots := make(chan struct{}, 1)
		slots <- struct{}{}
		conns = append(conns, newConnection(here, slots, m))
	}
	conns[0].enter(phaseServing)
	for _, c := range conns[:4] {
		if !m.reserve(c, reservationBytes) {
			t.Fatal("no memory within the limit")
		}
	}
	if !m.reserve(conns[4], 2*reservationBytes) {
		t.Error("no memory though connections are receiving")
	}
	for i, want := range []phase{phaseServing, phaseEvicted, phaseEvicted, phaseReceiving, phaseReceiving} {
		if got := conns[i].current(); got != want {
			t.Errorf("connection %d is in phase %d, want %d", i, got, want)
		}
	}
	conns[3].enter(phaseServing)
	conns[4].enter(phaseServing)
	if m.reserve(conns[4], reservationBytes) || m.total != m.limit {
		t.Errorf("memory beyond the limit though all are being served; %d of %d", m.total, m.limit)
	}
	for _, c := range conns {
		m.release(c)
	}
	if !m.reserve(conns[3], 2*m.limit) || m.reserve(conns[4], 1) {
		t.Error("a request that is the only one has no memory, or another has some beside it")
	}
}

// A crowd of unfinished heads, each within the limit of one, must not keep others from an answer.
func TestLargeHeadsWithinTheMemoryOfAll(t *testing.T) {
	s := serve(t, Limits{Connections: 64, RequestBytes: testMemory})
	field := "X-Filler: " + strings.Repeat("a", 4000) + "\r\n"
	var crowd []net.Conn
	for range 16 {
		crowd = append(crowd, s.dial("GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat(field, 20)))
	}
	large := s.dial("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat(field, 50) + "\r\n")
	if !answered(large) || !answered(s.dial(request)) {
		t.Error("no answer")
	}
	closed := 0
	for _, c := range crowd {
		if closedBy(c, quietTime/10) {
			closed++
		}
	}
	if closed == 0 || closed == len(crowd) {
		t.Errorf("%d of %d unfinished heads gave way", closed, len(crowd))
	}
}

// A server that is shut down finishes large requests under way.
func TestLargeRequestsDuringShutdown(t *testing.T) {
	s := serve(t, Limits{Connections: 4, RequestBytes: testMemory, CountBodies: true})
	body := strings.Repeat("a", testMemory/8)
	c := s.dial("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: " + strconv.Itoa(2*len(body)) + "\r\n\r\n")
	// The request is under way once its handler asks for the body: net/http drops one that it has not begun
	// to read when it is shut down.
	const goOn = "HTTP/1.1 100 Continue\r\n\r\n"
	asked := make([]byte, len(goOn))
	if _, err := io.ReadFull(c, asked); err != nil || string(asked) != goOn {
		t.Fatalf("the server answers %q, %v", asked, err)
	}
	if _, err := io.WriteString(c, body); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.server.Shutdown(t.Context()) }()
	time.Sleep(quietTime)
	if _, err := io.WriteString(c, body); err != nil || !answered(c) {
		t.Error("a request under way has no answer")
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func TestCountedBodiesWithinTheMemoryOfAll(t *testing.T) {
	s := serve(t, Limits{Connections: 64, RequestBytes: testMemory, CountBodies: true})
	body := strings.Repeat("a", testMemory/4)
	for range 16 {
		s.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000000\r\n\r\n" + body[:1000])
	}
	if !answered(s.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)) {
		t.Error("no answer")
	}
}

func readWhole(c net.Conn) bool {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

// Clients that don't read their answers must not keep others out.
func TestUnreadAnswersGiveWay(t *testing.T) {
	const most = 4
	s := serve(t, Limits{Connections: most, RequestBytes: testMemory})
	var unread []net.Conn
	for range most {
		unread = append(unread, s.dial("GET /large HTTP/1.1\r\nHost: h\r\n\r\n"))
	}
	if !answered(s.dial(request)) {
		t.Error("a request was not answered beside clients that don't read")
	}
	cut := 0
	for _, c := range unread {
		if !readWhole(c) {
			cut++
		}
		c.Close()
	}
	if cut != 1 {
		t.Errorf("%d of %d answers were cut off, want 1", cut, most)
	}
}
