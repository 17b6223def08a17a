// Package stream carries messages between the processes of a fleet over TCP, as
// length-prefixed msgpack.
//
// A stream is one-way: a process dials one to every member that it sends to. The dialing
// side authenticates with the fleet's secret. Messages on a stream keep their order, but
// may be lost. Start reading at Transport.Send and Transport.Run.
package stream

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"maps"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/clock"
	"saffronfall/peer/socket"
	"saffronfall/rule/message"
)

// Params configure a Transport.
type Params struct {
	// Listen is the address that this process listens on, Advertise the one that others dial.
	Listen, Advertise string
	// Secret is the fleet's shared secret.
	Secret string
	// QueueSize bounds the messages that wait for one member, and those in In.
	QueueSize       int
	MaxMessageBytes int
	// Timeout limits a write and a handshake; a dial may take a third of it.
	Timeout time.Duration
	// IdleTimeout closes a stream without messages. Zero means one minute.
	IdleTimeout time.Duration
	// MaxHandshakes bounds the incoming connections that are not authenticated yet; beyond it the
	// oldest is closed. Zero means 512.
	MaxHandshakes int
}

// Incoming is a received message with the address that its sender advertises.
type Incoming struct {
	From string
	Body any
}

// Counters are increments of the transport's counters.
type Counters struct {
	// BadStreams counts streams closed for a failed handshake or an invalid message.
	BadStreams int64
	// AcceptFailures counts failures to accept a stream for want of a resource.
	AcceptFailures int64
	// UnknownTypes counts messages of types that this version does not have,
	// VersionMismatches peers of an incompatible version.
	UnknownTypes, VersionMismatches int64
	// PeerAddress and PeerVersion are set with VersionMismatches.
	PeerAddress string
	PeerVersion byte
}

// Add adds increments of the counts.
func (c *Counters) Add(increments Counters) {
	c.BadStreams += increments.BadStreams
	c.AcceptFailures += increments.AcceptFailures
	c.UnknownTypes += increments.UnknownTypes
	c.VersionMismatches += increments.VersionMismatches
}

// Traffic is the number and size of messages.
type Traffic struct{ Messages, Bytes int64 }

// Transport is a process's end of all its streams. Only one goroutine may call Send.
type Transport struct {
	// In has the received messages. Counts must be read too, or receiving stops.
	In     chan Incoming
	Counts chan Counters

	params        Params
	listener      net.Listener
	outbound      map[string]*outbound
	queued        map[string]Traffic
	nextIdleCheck time.Duration
	ctx           context.Context
	cancel        context.CancelFunc
}

type outbound struct {
	messages chan []byte
	lastUsed time.Duration
}

const (
	defaultIdleTimeout = time.Minute
	// A dial may take Timeout/dialTimeoutDivisor; dials start at least
	// Timeout/redialPauseDivisor apart.
	dialTimeoutDivisor = 3
	redialPauseDivisor = 10
	// idleChecksPerTimeout is how often idle streams are looked for per IdleTimeout.
	idleChecksPerTimeout = 2
	countsQueueSize      = 64
	readBufferBytes      = 16 << 10
)

// Listen opens the listening socket. Run then accepts streams.
func Listen(p Params) (*Transport, error) {
	if p.IdleTimeout <= 0 {
		p.IdleTimeout = defaultIdleTimeout
	}
	if p.MaxHandshakes <= 0 {
		p.MaxHandshakes = defaultMaxHandshakes
	}
	listener, err := net.Listen("tcp", p.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listening for streams")
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		In:       make(chan Incoming, p.QueueSize),
		Counts:   make(chan Counters, countsQueueSize),
		params:   p,
		listener: listener,
		outbound: map[string]*outbound{},
		queued:   map[string]Traffic{},
		ctx:      ctx,
		cancel:   cancel,
	}, nil
}

// Close closes the listener and all streams.
func (t *Transport) Close() {
	t.cancel()
	t.listener.Close()
}

func (t *Transport) count(c Counters) {
	select {
	case t.Counts <- c:
	case <-t.ctx.Done():
	}
}

// Send queues a message for a member. It never blocks: it returns false and drops the
// message if that is too large or the queue is full. A queued message may still be lost.
func (t *Transport) Send(to string, body any) bool {
	now := clock.Now()
	t.closeIdle(now)
	out := t.outbound[to]
	if out == nil {
		out = &outbound{messages: make(chan []byte, t.params.QueueSize)}
		t.outbound[to] = out
		go t.writeLoop(to, out.messages)
	}
	out.lastUsed = now
	raw := message.Pack(body)
	if len(raw) > t.params.MaxMessageBytes {
		return false
	}
	select {
	case out.messages <- raw:
		t.countQueued(body, len(raw))
		return true
	default:
		return false
	}
}

func (t *Transport) countQueued(body any, bytes int) {
	name := message.NameOf(body)
	total := t.queued[name]
	total.Messages++
	total.Bytes += int64(bytes)
	t.queued[name] = total
}

// Queued returns the messages that Send accepted, by the outer name of their type. Only the goroutine
// that calls Send may call it.
func (t *Transport) Queued() map[string]Traffic { return maps.Clone(t.queued) }

// closeIdle closes idle streams. Machines are replaced, mostly at new addresses, so unused
// streams would accumulate.
func (t *Transport) closeIdle(now time.Duration) {
	if now < t.nextIdleCheck {
		return
	}
	t.nextIdleCheck = now + t.params.IdleTimeout/idleChecksPerTimeout
	for address, out := range t.outbound {
		if now > out.lastUsed+t.params.IdleTimeout {
			close(out.messages)
			delete(t.outbound, address)
		}
	}
}

// writeLoop writes queued messages to a member, and drops them while it is unreachable.
func (t *Transport) writeLoop(to string, messages chan []byte) {
	var conn net.Conn
	var frames []byte
	dialedAt := -t.params.Timeout // lets the first dial start at once
	for {
		var raw []byte
		open := false
		select {
		case raw, open = <-messages:
		case <-t.ctx.Done():
		}
		if !open {
			// The transport is closed, or the stream is idle.
			if conn != nil {
				conn.Close()
			}
			return
		}
		if conn == nil {
			if clock.Now()-dialedAt < t.params.Timeout/redialPauseDivisor {
				// Too soon after the last dial.
				continue
			}
			dialedAt = clock.Now()
			if conn = t.dial(to); conn == nil {
				continue
			}
		}
		frames = append(binary.LittleEndian.AppendUint32(frames[:0], uint32(len(raw))), raw...)
		for more := true; more && len(frames) < batchBytes; {
			select {
			case raw, open = <-messages:
				if !open {
					more = false
					break
				}
				frames = append(binary.LittleEndian.AppendUint32(frames, uint32(len(raw))), raw...)
			default:
				more = false
			}
		}
		conn.SetWriteDeadline(clock.Deadline(t.params.Timeout))
		_, err := conn.Write(frames)
		if cap(frames) > 4*batchBytes {
			frames = nil
		}
		if err != nil {
			conn.Close()
			conn = nil
		}
	}
}

// batchBytes is the size from which no more messages are added to a write.
const batchBytes = 32 << 10

// Sizes in bytes. The dialing side responds to the nonce with a MAC, its version, the
// length of its address and the address.
const (
	nonceSize = 32
	macSize   = sha256.Size
	helloSize = macSize + 2
)

// dial opens a stream to a member. It returns nil on failure.
func (t *Transport) dial(to string) net.Conn {
	// Without the user timeout, a stream would stay silent long after a network partition
	// has healed. The dial timeout is short, so that a dial to an unreachable machine does
	// not block long after the machine is back.
	dialer := net.Dialer{
		Timeout:   t.params.Timeout / dialTimeoutDivisor,
		KeepAlive: -1,
		Control:   socket.UserTimeout(t.params.Timeout),
	}
	if host, _, err := net.SplitHostPort(t.params.Advertise); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: ip}
		}
	}
	conn, err := dialer.DialContext(t.ctx, "tcp", to)
	if err != nil {
		return nil
	}
	conn.SetDeadline(clock.Deadline(t.params.Timeout))
	nonce := make([]byte, nonceSize)
	if _, err := io.ReadFull(conn, nonce); err != nil {
		conn.Close()
		return nil
	}
	hello := append(t.handshakeMAC(nonce, t.params.Advertise), version(), byte(len(t.params.Advertise)))
	if _, err := conn.Write(append(hello, t.params.Advertise...)); err != nil {
		conn.Close()
		return nil
	}
	conn.SetDeadline(time.Time{})
	// The peer never sends on this stream, so a read returns when the stream ends.
	buffer := make([]byte, 1)
	go func() {
		conn.Read(buffer)
		conn.Close()
	}()
	return conn
}

func (t *Transport) handshakeMAC(nonce []byte, address string) []byte {
	mac := hmac.New(sha256.New, []byte(t.params.Secret))
	mac.Write(nonce)
	mac.Write([]byte(address))
	return mac.Sum(nil)
}

func (t *Transport) serve(conn *incoming) {
	defer conn.Close()
	stop := context.AfterFunc(t.ctx, func() { conn.Close() })
	defer stop()
	from, err := t.handshake(conn)
	conn.settled.Store(true)
	if err != nil {
		t.count(Counters{BadStreams: 1})
		return
	}
	lengthPrefix := make([]byte, 4)
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	for {
		if _, err := io.ReadFull(reader, lengthPrefix); err != nil {
			return
		}
		size := binary.LittleEndian.Uint32(lengthPrefix)
		if size > uint32(t.params.MaxMessageBytes) {
			t.count(Counters{BadStreams: 1})
			return
		}
		raw, err := readMessage(reader, int(size))
		if err != nil {
			return
		}
		body, err := message.Open(raw)
		if errors.Is(err, message.ErrUnknownType) {
			// A member of the next version may send types that this one does not have.
			t.count(Counters{UnknownTypes: 1})
			continue
		}
		if err != nil {
			t.count(Counters{BadStreams: 1})
			return
		}
		select {
		case t.In <- Incoming{From: from, Body: body}:
		case <-t.ctx.Done():
			return
		}
	}
}

// firstReadBytes is the memory for a message of which nothing has arrived.
const firstReadBytes = 64 << 10

// readMessage takes memory as the message arrives, at most twice what has arrived.
func readMessage(reader io.Reader, size int) ([]byte, error) {
	var raw []byte
	for len(raw) < size {
		grown := make([]byte, min(size, max(firstReadBytes, 2*len(raw))))
		copy(grown, raw)
		if _, err := io.ReadFull(reader, grown[len(raw):]); err != nil {
			return nil, err
		}
		raw = grown
	}
	return raw, nil
}

// handshake authenticates the dialing side and returns its advertised address.
func (t *Transport) handshake(conn net.Conn) (string, error) {
	nonce := make([]byte, nonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return "", err
	}
	conn.SetDeadline(clock.Deadline(t.params.Timeout))
	if _, err := conn.Write(nonce); err != nil {
		return "", err
	}
	hello := make([]byte, helloSize)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return "", err
	}
	address := make([]byte, hello[macSize+1])
	if _, err := io.ReadFull(conn, address); err != nil {
		return "", err
	}
	if !hmac.Equal(hello[:macSize], t.handshakeMAC(nonce, string(address))) {
		return "", errors.New("peer does not know the secret")
	}
	if peerVersion := hello[macSize]; peerVersion+1 < version() || peerVersion > version()+1 {
		t.count(Counters{VersionMismatches: 1, PeerAddress: string(address), PeerVersion: peerVersion})
		return "", errors.Newf("version %d of %s is not compatible with version %d", peerVersion, address, version())
	}
	conn.SetDeadline(time.Time{})
	return string(address), nil
}

// Version is the protocol version, a decimal number of one byte. It is compatible with the
// previous and the next one, so that a fleet can be upgraded process by process. Builds
// that test an upgrade override it.
var Version = "2"

func version() byte {
	n, err := strconv.ParseUint(Version, 10, 8)
	if err != nil {
		panic("invalid protocol version " + Version)
	}
	return byte(n)
}
