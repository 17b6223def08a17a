// Package stream carries messages between the fleet's own processes: TCP
// streams of length-prefixed msgpack, opened with proof of the fleet's secret.
package stream

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/clock"
	"saffronfall/peer/socket"
	"saffronfall/rule/message"
)

// Params bound what streams may use.
type Params struct {
	// Listen is where this process takes streams; Advertise is what others dial.
	Listen, Advertise string
	Secret            string
	// Buffer is how many messages may wait for one member.
	Buffer int
	// Largest is the size of the largest message.
	Largest int
	// Patience is how long a dial, a write or a proof may take.
	Patience time.Duration
	// Idle is after how long a stream that nothing was sent on ends; zero: a minute.
	Idle time.Duration
}

// Incoming is a message that came, with the address that its sender told.
type Incoming struct {
	From string
	Body any
}

// Counters are sent over a channel as they happen.
type Counters struct {
	Sent, Dropped, Received, BadStreams int64
	// Unknown counts messages of types that this version does not have, Version
	// members of a version that does not go with this one: which, and theirs.
	Unknown, Version int64
	Other            string
	Theirs           byte
}

// Streams is one process's end of all its streams. Send belongs to one
// goroutine, the owner; what comes in is read from In.
type Streams struct {
	In     chan Incoming
	Counts chan Counters

	params   Params
	listener net.Listener
	outward  map[string]*outward
	forgetAt time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
}

// outward is a stream to one member, as its sender sees it.
type outward struct {
	messages chan []byte
	usedAt   time.Duration
}

// defaultIdle is after how long a stream that nothing was sent on ends.
const defaultIdle = time.Minute

// Listen begins to take streams.
func Listen(p Params) (*Streams, error) {
	if p.Idle <= 0 {
		p.Idle = defaultIdle
	}
	listener, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Streams{In: make(chan Incoming, p.Buffer), Counts: make(chan Counters, 64), params: p, listener: listener, outward: map[string]*outward{}, ctx: ctx, cancel: cancel}, nil
}

// Run accepts streams until Close.
func (s *Streams) Run() error {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			if s.ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accepting streams")
		}
		go s.serve(c)
	}
}

// Close ends all streams.
func (s *Streams) Close() {
	s.cancel()
	s.listener.Close()
}

func (s *Streams) count(c Counters) {
	select {
	case s.Counts <- c:
	case <-s.ctx.Done():
	}
}

// Send packs a message and hands it to the stream of a member. A full buffer
// drops it: every message may be lost, and none is waited for.
func (s *Streams) Send(to string, body any) bool {
	now := clock.Now()
	s.forget(now)
	out := s.outward[to]
	if out == nil {
		out = &outward{messages: make(chan []byte, s.params.Buffer)}
		s.outward[to] = out
		go s.carry(to, out.messages)
	}
	out.usedAt = now
	raw := message.Pack(body)
	if len(raw) > s.params.Largest {
		return false
	}
	select {
	case out.messages <- raw:
		return true
	default:
		return false
	}
}

// forget ends the streams to members that nothing was said to for long: machines are
// replaced, mostly at new addresses.
func (s *Streams) forget(now time.Duration) {
	if now < s.forgetAt {
		return
	}
	s.forgetAt = now + s.params.Idle/2
	for address, out := range s.outward {
		if now > out.usedAt+s.params.Idle {
			close(out.messages)
			delete(s.outward, address)
		}
	}
}

func (s *Streams) carry(to string, out chan []byte) {
	var c net.Conn
	var frames []byte
	dialled := -s.params.Patience
	for {
		var raw []byte
		open := false
		select {
		case raw, open = <-out:
		case <-s.ctx.Done():
		}
		if !open {
			// The process ends, or nothing is said to this member any more.
			if c != nil {
				c.Close()
			}
			return
		}
		if c == nil {
			if clock.Now()-dialled < s.params.Patience/10 {
				continue
			}
			dialled = clock.Now()
			if c = s.dial(to); c == nil {
				continue
			}
		}
		// What waits meanwhile goes out in the same write.
		frames = append(binary.LittleEndian.AppendUint32(frames[:0], uint32(len(raw))), raw...)
		for more := true; more && len(frames) < batch; {
			select {
			case raw, open = <-out:
				if !open {
					more = false
					break
				}
				frames = append(binary.LittleEndian.AppendUint32(frames, uint32(len(raw))), raw...)
			default:
				more = false
			}
		}
		c.SetWriteDeadline(clock.Deadline(s.params.Patience))
		_, err := c.Write(frames)
		if cap(frames) > 4*batch {
			frames = nil
		}
		if err != nil {
			c.Close()
			c = nil
		}
	}
}

// batch is how many bytes of messages go out in one write, at the least.
const batch = 32 << 10

func (s *Streams) dial(to string) net.Conn {
	// A stream whose bytes are not acknowledged, as behind a cut, is given up and
	// dialled anew: left alone, it would stay silent long after the cut is over.
	// A machine that is away lets a dial hang; it must not hang long after the
	// machine is back.
	dialer := net.Dialer{Timeout: s.params.Patience / 3, KeepAlive: -1, Control: socket.UserTimeout(s.params.Patience)}
	if host, _, err := net.SplitHostPort(s.params.Advertise); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	c, err := dialer.DialContext(s.ctx, "tcp", to)
	if err != nil {
		return nil
	}
	c.SetDeadline(clock.Deadline(s.params.Patience))
	nonce := make([]byte, 32)
	if _, err := io.ReadFull(c, nonce); err != nil {
		c.Close()
		return nil
	}
	hello := append(s.proof(nonce, s.params.Advertise), version(), byte(len(s.params.Advertise)))
	if _, err := c.Write(append(hello, s.params.Advertise...)); err != nil {
		c.Close()
		return nil
	}
	c.SetDeadline(time.Time{})
	gone := make([]byte, 1)
	go func() {
		c.Read(gone)
		c.Close()
	}()
	return c
}

func (s *Streams) proof(nonce []byte, address string) []byte {
	mac := hmac.New(sha256.New, []byte(s.params.Secret))
	mac.Write(nonce)
	mac.Write([]byte(address))
	return mac.Sum(nil)
}

func (s *Streams) serve(c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(s.ctx, func() { c.Close() })
	defer stop()
	from, err := s.greet(c)
	if err != nil {
		s.count(Counters{BadStreams: 1})
		return
	}
	head := make([]byte, 4)
	reader := bufio.NewReaderSize(c, 16<<10)
	for {
		if _, err := io.ReadFull(reader, head); err != nil {
			return
		}
		size := binary.LittleEndian.Uint32(head)
		if size > uint32(s.params.Largest) {
			s.count(Counters{BadStreams: 1})
			return
		}
		raw := make([]byte, size)
		if _, err := io.ReadFull(reader, raw); err != nil {
			return
		}
		body, err := message.Open(raw)
		if errors.Is(err, message.ErrUnknown) {
			// A member of the next version may say what this one has no word for.
			s.count(Counters{Unknown: 1})
			continue
		}
		if err != nil {
			s.count(Counters{BadStreams: 1})
			return
		}
		select {
		case s.In <- Incoming{From: from, Body: body}:
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Streams) greet(c net.Conn) (string, error) {
	nonce := make([]byte, 32)
	if _, err := rand.Read(nonce); err != nil {
		return "", err
	}
	c.SetDeadline(clock.Deadline(s.params.Patience))
	if _, err := c.Write(nonce); err != nil {
		return "", err
	}
	hello := make([]byte, 34)
	if _, err := io.ReadFull(c, hello); err != nil {
		return "", err
	}
	address := make([]byte, hello[33])
	if _, err := io.ReadFull(c, address); err != nil {
		return "", err
	}
	if !hmac.Equal(hello[:32], s.proof(nonce, string(address))) {
		return "", errors.New("wrong secret")
	}
	if theirs := hello[32]; theirs+1 < version() || theirs > version()+1 {
		s.count(Counters{Version: 1, Other: string(address), Theirs: theirs})
		return "", errors.Newf("version %d at %s does not go with version %d", theirs, address, version())
	}
	c.SetDeadline(time.Time{})
	return string(address), nil
}

// Version is what processes say of themselves to each other. One version goes
// with the one before it and the one after it, so that a fleet can be changed
// process by process. A build may set it, to rehearse that.
var Version = "2"

func version() byte {
	n, err := strconv.ParseUint(Version, 10, 8)
	if err != nil {
		panic("version " + Version)
	}
	return byte(n)
}
