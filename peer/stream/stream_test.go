package stream

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"saffronfall/rule/message"
)

type testMessage struct{ Text string }

func init() {
	message.Register(map[string]any{
		"stream.word": testMessage{},
	})
}

func listen(t *testing.T, secret string) *Transport {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	probe.Close()
	s, err := Listen(Params{Listen: address, Advertise: address, Secret: secret, QueueSize: 16, MaxMessageBytes: 1 << 16, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	go s.Run()
	t.Cleanup(s.Close)
	return s
}

func connect(t *testing.T, to *Transport, secret string) net.Conn {
	t.Helper()
	return connectAs(t, to, secret, version())
}

func connectAs(t *testing.T, to *Transport, secret string, peerVersion byte) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", to.params.Listen)
	if err != nil {
		t.Fatal(err)
	}
	nonce := make([]byte, nonceSize)
	if _, err := io.ReadFull(c, nonce); err != nil {
		t.Fatal(err)
	}
	peer := Transport{params: Params{Secret: secret}}
	c.Write(append(peer.handshakeMAC(nonce, "x"), peerVersion, 1, 'x'))
	return c
}

func frame(raw []byte) []byte {
	return append(binary.LittleEndian.AppendUint32(nil, uint32(len(raw))), raw...)
}

// TestBadPeers checks that invalid input closes its stream and affects no other.
func TestBadPeers(t *testing.T) {
	to := listen(t, "a secret of some length")
	good := listen(t, "a secret of some length")
	for name, send := range map[string]func() net.Conn{
		"wrong secret":  func() net.Conn { return connect(t, to, "another secret") },
		"not a message": func() net.Conn { c := connect(t, to, to.params.Secret); c.Write(frame([]byte{0xc1, 0xc1})); return c },
		"wrong body": func() net.Conn {
			c := connect(t, to, to.params.Secret)
			c.Write(frame(append([]byte("\xabstream.word"), 0xc1)))
			return c
		},
		"oversized length": func() net.Conn {
			c := connect(t, to, to.params.Secret)
			c.Write([]byte{0xff, 0xff, 0xff, 0x7f})
			return c
		},
	} {
		c := send()
		select {
		case n := <-to.Counts:
			if n.BadStreams != 1 {
				t.Errorf("%s: %+v", name, n)
			}
		case <-time.After(5 * time.Second):
			t.Errorf("%s was not counted", name)
		}
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Errorf("%s: the stream stays open", name)
		}
		c.Close()
		good.Send(to.params.Listen, testMessage{name})
		select {
		case in := <-to.In:
			if in.Body != (testMessage{name}) || in.From != good.params.Advertise {
				t.Errorf("%s: %+v", name, in)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("after %s a good member is not received", name)
		}
	}
}

// TestVersions checks that unknown message types are skipped only from a compatible version.
func TestVersions(t *testing.T) {
	to := listen(t, "a secret of some length")
	c := connect(t, to, to.params.Secret)
	defer c.Close()
	c.Write(frame([]byte("\xa4what\x80")))
	if n := <-to.Counts; n.UnknownTypes != 1 || n.BadStreams != 0 {
		t.Errorf("unknown type: %+v", n)
	}
	c.Write(frame(message.Pack(testMessage{"after"})))
	if in := <-to.In; in.Body != (testMessage{"after"}) {
		t.Errorf("message after an unknown type: %+v", in)
	}
	other := connectAs(t, to, to.params.Secret, 9)
	defer other.Close()
	if n := <-to.Counts; n.VersionMismatches != 1 || n.PeerAddress != "x" || n.PeerVersion != 9 {
		t.Errorf("incompatible version: %+v", n)
	}
}
