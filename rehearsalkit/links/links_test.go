package links

import (
	"bufio"
	"context"
	"net"
	"testing"
	"time"
)

// startEchoServer echoes each line.
func startEchoServer(t *testing.T, at string) {
	t.Helper()
	listener, err := net.Listen("tcp", at)
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
			go func() {
				defer c.Close()
				for lines := bufio.NewScanner(c); lines.Scan(); {
					c.Write(append(lines.Bytes(), '\n'))
				}
			}()
		}
	}()
}

// A cut in either direction holds data back, a delay postpones it, and a reset closes connections.
func TestLinks(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const client, server = "127.4.0.1", "127.4.0.2"
	startEchoServer(t, server+":7900")
	l := New(ctx)
	if err := l.Relay(ctx, server+":7901", server+":7900"); err != nil {
		t.Fatal(err)
	}
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(client)}}).Dial("tcp", server+":7901")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	answered := func(within time.Duration) bool {
		c.SetReadDeadline(time.Now().Add(within))
		_, err := reader.ReadString('\n')
		return err == nil
	}
	send := func() {
		if _, err := c.Write([]byte("a\n")); err != nil {
			t.Fatal(err)
		}
	}
	const long, short = 5 * time.Second, 100 * time.Millisecond
	if send(); !answered(long) {
		t.Fatal("no answer over a link without faults")
	}
	for _, cut := range []direction{{client, server}, {server, client}} {
		l.CutOneWay(ctx, cut.from, cut.to, true)
		if send(); answered(short) {
			t.Fatalf("answered although %v is cut", cut)
		}
		l.CutOneWay(ctx, cut.from, cut.to, false)
		if !answered(long) {
			t.Fatalf("no answer after %v was restored", cut)
		}
	}
	l.Delay(ctx, client, server, 2*short)
	if send(); answered(short) || !answered(long) {
		t.Fatal("the answer was not delayed, or was lost")
	}
	l.Delay(ctx, client, server, 0)
	l.Reset(ctx, client)
	if answered(long) {
		t.Fatal("the connection still works after a reset")
	}
}
