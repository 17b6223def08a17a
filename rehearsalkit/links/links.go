// Package links relays TCP connections between the machines of a test fleet and injects partitions,
// delays and resets. Machines are identified by their IP addresses. A cut holds bytes back and
// delivers them once the link is restored, as TCP does. Start reading at Links.Relay.
package links

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Links holds the state of all links. One goroutine owns it and serves others over channels.
type Links struct {
	queries       chan query
	changes       chan func(m map[direction]state)
	registrations chan registration
	resets        chan string
	closed        chan *stream
}

type direction struct{ from, to string }

// state is the fault of one direction. The zero value is none.
type state struct {
	cut   bool
	delay time.Duration
}

type query struct {
	direction direction
	answer    chan state
}

type stream struct {
	a, b  string
	close func()
}

type registration struct {
	stream *stream
	done   chan struct{}
}

// New returns links without faults. They stop when the context ends.
func New(ctx context.Context) *Links {
	l := &Links{
		queries:       make(chan query),
		changes:       make(chan func(map[direction]state)),
		registrations: make(chan registration),
		resets:        make(chan string),
		closed:        make(chan *stream),
	}
	go l.run(ctx)
	return l
}

func (l *Links) run(ctx context.Context) {
	states, streams := map[direction]state{}, map[*stream]bool{}
	for {
		select {
		case a := <-l.queries:
			a.answer <- states[a.direction]
		case change := <-l.changes:
			change(states)
		case r := <-l.registrations:
			streams[r.stream] = true
			close(r.done)
		case s := <-l.closed:
			delete(streams, s)
		case machine := <-l.resets:
			for s := range streams {
				if s.a == machine || s.b == machine {
					s.close()
				}
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l *Links) change(ctx context.Context, apply func(m map[direction]state)) {
	select {
	case l.changes <- apply:
	case <-ctx.Done():
	}
}

// CutOneWay cuts or restores one direction of a link.
func (l *Links) CutOneWay(ctx context.Context, from, to string, cut bool) {
	l.change(ctx, func(m map[direction]state) {
		s := m[direction{from, to}]
		s.cut = cut
		m[direction{from, to}] = s
	})
}

// Cut cuts or restores a link in both directions.
func (l *Links) Cut(ctx context.Context, a, b string, cut bool) {
	l.CutOneWay(ctx, a, b, cut)
	l.CutOneWay(ctx, b, a, cut)
}

// Delay delays each piece of data in one direction; 0 ends the delay.
func (l *Links) Delay(ctx context.Context, from, to string, delay time.Duration) {
	l.change(ctx, func(m map[direction]state) {
		s := m[direction{from, to}]
		s.delay = delay
		m[direction{from, to}] = s
	})
}

// Reset closes all connections of a machine.
func (l *Links) Reset(ctx context.Context, machine string) {
	select {
	case l.resets <- machine:
	case <-ctx.Done():
	}
}

const cutPollInterval = 10 * time.Millisecond

// waitOpen waits while a direction is cut, and for its delay. It returns false if the context ends.
func (l *Links) waitOpen(ctx context.Context, from, to string) bool {
	for waited := false; ; {
		a := query{direction: direction{from, to}, answer: make(chan state, 1)}
		select {
		case l.queries <- a:
		case <-ctx.Done():
			return false
		}
		s := <-a.answer
		pause := cutPollInterval
		switch {
		case !s.cut && (s.delay == 0 || waited):
			return true
		case !s.cut:
			pause, waited = s.delay, true
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// Relay listens on one address and forwards every connection to another until the context ends.
func (l *Links) Relay(ctx context.Context, at, to string) error {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return errors.Wrapf(err, "relay from %s to %s", at, to)
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	local, _, err := net.SplitHostPort(at)
	if err != nil {
		return errors.Wrapf(err, "relay from %s to %s", at, to)
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(ctx, in, local, to)
		}
	}()
	return nil
}

// serve forwards one connection until either side closes it.
func (l *Links) serve(ctx context.Context, in net.Conn, local, to string) {
	defer in.Close()
	from, _, err := net.SplitHostPort(in.RemoteAddr().String())
	if err != nil || !l.waitOpen(ctx, from, local) {
		return
	}
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	s := &stream{a: from, b: local, close: func() {
		in.Close()
		out.Close()
	}}
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	r := registration{stream: s, done: make(chan struct{})}
	select {
	case l.registrations <- r:
		<-r.done
	case <-ctx.Done():
		return
	}
	ended := make(chan struct{}, 2)
	go l.forward(ctx, in, out, from, local, ended)
	go l.forward(ctx, out, in, local, from, ended)
	<-ended
	select {
	case l.closed <- s:
	case <-ctx.Done():
	}
}

func (l *Links) forward(ctx context.Context, in io.Reader, out io.Writer, from, to string, ended chan<- struct{}) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := in.Read(buffer)
		if n > 0 {
			if !l.waitOpen(ctx, from, to) {
				break
			}
			if _, err := out.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	ended <- struct{}{}
}
