package httpserver

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// The end of a head is found for any segmentation.
func TestHeadsEndAtTheFirstBlankLine(t *testing.T) {
	for read, want := range map[string]int{
		"GET / HTTP/1.1\r\na: b\r\n":            -1,
		"GET / HTTP/1.1\r\na: b\r\n\r\nbody\n":  len("GET / HTTP/1.1\r\na: b\r\n\r\n"),
		"GET / HTTP/1.1\na: b\n\nb\r\n\r\n":     len("GET / HTTP/1.1\na: b\n\n"),
		"\r\n\r\nGET / HTTP/1.1\r\na: b\r\n":    -1,
		"\n\nGET / HTTP/1.1\n\r\nGET / HTTP/1.": len("\n\nGET / HTTP/1.1\n\r\n"),
		"\r\n":                                  -1,
	} {
		for segment := 1; segment <= len(read); segment++ {
			var p position
			for rest := read; rest != ""; {
				size := min(segment, len(rest))
				p.advance([]byte(rest[:size]))
				rest = rest[size:]
			}
			if p.ended != (want >= 0) || p.ended && p.head != int64(want) {
				t.Errorf("%q by %d: ended %v at %d, want %d", read, segment, p.ended, p.head, want)
			}
		}
	}
}

// A part of the next request that was read along with one is counted while that one is awaited.
func TestBufferedPartOfTheNextRequestIsCounted(t *testing.T) {
	const clients = 8
	fields := strings.Repeat("a:\n", 1200)
	next := "GET / HTTP/1.1\r\n" + fields
	for name, segments := range map[string][]string{
		"no body":            {request + next},
		"body":               {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody" + next},
		"chunked body":       {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + next},
		"end of body apart":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo", "dy" + next},
		"blank line apart":   {strings.TrimSuffix(request, "\r\n"), "\r\n" + next},
		"line feed apart":    {strings.TrimSuffix(request, "\n"), "\n" + next},
		"two requests":       {request + request + next},
		"second head apart":  {request + strings.TrimSuffix(request, "\r\n"), "\r\n" + next},
		"line ends between":  {strings.Replace(request, "GET", "POST", 1) + "\r\n\r\n" + next},
		"after a clean one":  {request, request + next},
		"after a longer one": {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 6000) + "\r\n\r\n" + next},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, Limits{Connections: 64, RequestBytes: testMemory})
			var conns []net.Conn
			for range clients {
				c := s.dial(segments[0])
				for _, segment := range segments[1:] {
					time.Sleep(quietTime / 5)
					io.WriteString(c, segment)
				}
				if !answered(c) {
					t.Fatal("no answer")
				}
				conns = append(conns, c)
			}
			closed := 0
			for _, c := range conns {
				if closedAfterAnswers(c) {
					closed++
				}
			}
			if closed < clients/2 {
				t.Errorf("%d of %d connections gave way", closed, clients)
			}
		})
	}
}

// closedAfterAnswers reports whether a connection is closed once what it has to read is read.
func closedAfterAnswers(c net.Conn) bool {
	c.SetReadDeadline(time.Now().Add(quietTime))
	_, err := io.Copy(io.Discard, c)
	timeout, ok := err.(net.Error)
	return !(ok && timeout.Timeout())
}

// TestNextRequestBegunByTheWatchForADisconnect guards against sound clients' connections that are closed
// because net/http's watch for a disconnect has read the first byte of their next request.
func TestNextRequestBegunByTheWatchForADisconnect(t *testing.T) {
	const head, body = "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n", "\n\n\n\n\n"
	client, accepted := net.Pipe()
	defer client.Close()
	slots := make(chan struct{}, 1)
	slots <- struct{}{}
	c := newConnection(accepted, slots, newMemory(0))
	receive := func(sent string, buffer []byte) {
		t.Helper()
		go io.WriteString(client, sent)
		if n, err := c.Read(buffer); n != len(sent) || err != nil {
			t.Fatalf("%d bytes of %q are read, %v", n, sent, err)
		}
	}
	first := head
	for range 3 {
		receive(first, make([]byte, serverBufferBytes))
		c.inBody, c.position.body = true, int64(len(body))
		receive(body, make([]byte, serverBufferBytes))
		c.enter(phaseServing)
		receive(head[:1], make([]byte, 1))
		c.freeMemory()
		c.awaitRequest()
		if c.position.lost || c.position.head != 1 || c.usage.text != 1 || c.current() != phaseReceiving {
			t.Fatalf("after a response: %+v, %+v, phase %v", c.position, c.usage, c.current())
		}
		first = head[1:]
	}
}

// Clients that wait for each response take nothing beyond a request, whatever its body holds.
func TestOrdinaryRequestsAreCountedExactly(t *testing.T) {
	s := serve(t, Limits{Connections: 64, RequestBytes: reservationBytes})
	body := strings.Repeat("\n", 3000)
	var conns []net.Conn
	for range 8 {
		c := s.dial("")
		conns = append(conns, c)
		for range 3 {
			if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n"+body); err != nil || !answered(c) {
				t.Fatal("no answer")
			}
		}
	}
	for i, c := range conns {
		if closedBy(c, quietTime/10) {
			t.Errorf("connection %d is closed", i)
		}
	}
}
