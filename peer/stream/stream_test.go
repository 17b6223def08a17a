package stream

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"saffronfall/rule/message"
)

type word struct{ Text string }

func init() {
	message.Register(map[string]any{
		"stream.word": word{},
	})
}

func listen(t *testing.T, secret string) *Streams {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	probe.Close()
	s, err := Listen(Params{Listen: address, Advertise: address, Secret: secret, Buffer: 16, Largest: 1 << 16, Patience: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	go s.Run()
	t.Cleanup(s.Close)
	return s
}

func greeted(t *testing.T, to *Streams, secret string) net.Conn {
	t.Helper()
	return greetedAs(t, to, secret, version())
}

func greetedAs(t *testing.T, to *Streams, secret string, of byte) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", to.params.Listen)
	if err != nil {
		t.Fatal(err)
	}
	nonce := make([]byte, 32)
	if _, err := io.ReadFull(c, nonce); err != nil {
		t.Fatal(err)
	}
	liar := Streams{params: Params{Secret: secret}}
	c.Write(append(liar.proof(nonce, "x"), of, 1, 'x'))
	return c
}

func frame(raw []byte) []byte {
	return append(binary.LittleEndian.AppendUint32(nil, uint32(len(raw))), raw...)
}

// TestBadMembers: whatever a bad member sends closes that stream, is counted,
// and harms nothing else.
func TestBadMembers(t *testing.T) {
	to := listen(t, "a secret of some length")
	good := listen(t, "a secret of some length")
	for name, harm := range map[string]func() net.Conn{
		"wrong secret": func() net.Conn { return greeted(t, to, "another secret") },
		"no message":   func() net.Conn { c := greeted(t, to, to.params.Secret); c.Write(frame([]byte{0xc1, 0xc1})); return c },
		"wrong body": func() net.Conn {
			c := greeted(t, to, to.params.Secret)
			c.Write(frame(append([]byte("\xabstream.word"), 0xc1)))
			return c
		},
		"larger than is": func() net.Conn {
			c := greeted(t, to, to.params.Secret)
			c.Write([]byte{0xff, 0xff, 0xff, 0x7f})
			return c
		},
	} {
		c := harm()
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
		good.Send(to.params.Listen, word{name})
		select {
		case in := <-to.In:
			if in.Body != (word{name}) || in.From != good.params.Advertise {
				t.Errorf("%s: %+v", name, in)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("after %s a good member is not heard", name)
		}
	}
}

// TestVersions: a member of the next version is understood but for what this one
// has no word for; one of a version further off is told apart and named.
func TestVersions(t *testing.T) {
	to := listen(t, "a secret of some length")
	c := greeted(t, to, to.params.Secret)
	defer c.Close()
	c.Write(frame([]byte("\xa4what\x80")))
	if n := <-to.Counts; n.Unknown != 1 || n.BadStreams != 0 {
		t.Errorf("%+v", n)
	}
	c.Write(frame(message.Pack(word{"after"})))
	if in := <-to.In; in.Body != (word{"after"}) {
		t.Errorf("%+v", in)
	}
	other := greetedAs(t, to, to.params.Secret, 9)
	defer other.Close()
	if n := <-to.Counts; n.Version != 1 || n.Other != "x" || n.Theirs != 9 {
		t.Errorf("%+v", n)
	}
}
