// Package links puts a relay on every link between the machines of a rehearsed
// fleet, so that links can be cut, one way or both, delayed and reset while real
// processes speak over real sockets. Machines are told apart by their IP numbers.
package links

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Links owns the state of all links. One goroutine holds it; others ask it over
// channels.
type Links struct {
	queries       chan query
	changes       chan func(m map[direction]state)
	registrations chan registration
	resets        chan string
	closed        chan *stream
}

// way is one direction between two machines.
type direction struct{ from, to string }

// state is what befalls the bytes of one direction.
type state struct {
	cut   bool
	delay time.Duration
}

type query struct {
	direction direction
	answer    chan state
}

// stream is one relayed connection.
type stream struct {
	a, b  string
	close func()
}

type registration struct {
	stream *stream
	done   chan struct{}
}

// New makes links that carry everything, until the context ends.
func New(ctx context.Context) *Links {
	l := &Links{queries: make(chan query), changes: make(chan func(map[direction]state)), registrations: make(chan registration), resets: make(chan string), closed: make(chan *stream)}
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

func (l *Links) change(ctx context.Context, to func(m map[direction]state)) {
	select {
	case l.changes <- to:
	case <-ctx.Done():
	}
}

// CutOneWay cuts, or mends, what one machine says to another.
func (l *Links) CutOneWay(ctx context.Context, from, to string, cut bool) {
	l.change(ctx, func(m map[direction]state) {
		s := m[direction{from, to}]
		s.cut = cut
		m[direction{from, to}] = s
	})
}

// Cut cuts, or mends, the link between two machines both ways.
func (l *Links) Cut(ctx context.Context, a, b string, cut bool) {
	l.CutOneWay(ctx, a, b, cut)
	l.CutOneWay(ctx, b, a, cut)
}

// Delay holds up what one machine says to another.
func (l *Links) Delay(ctx context.Context, from, to string, delay time.Duration) {
	l.change(ctx, func(m map[direction]state) {
		s := m[direction{from, to}]
		s.delay = delay
		m[direction{from, to}] = s
	})
}

// Reset ends all connections of a machine.
func (l *Links) Reset(ctx context.Context, machine string) {
	select {
	case l.resets <- machine:
	case <-ctx.Done():
	}
}

// pollEvery is how often a link that is cut is looked at again.
const cutPollInterval = 10 * time.Millisecond

// carries waits while a direction is cut, and as long as it delays. It reports
// false once the context has ended.
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

// Relay takes connections at one address and carries them to another.
func (l *Links) Relay(ctx context.Context, at, to string) error {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	own, _, err := net.SplitHostPort(at)
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(ctx, in, own, to)
		}
	}()
	return nil
}

// carry carries one connection until either side ends it.
func (l *Links) serve(ctx context.Context, in net.Conn, own, to string) {
	defer in.Close()
	from, _, err := net.SplitHostPort(in.RemoteAddr().String())
	if err != nil || !l.waitOpen(ctx, from, own) {
		return
	}
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer out.Close()
	s := &stream{a: from, b: own, close: func() {
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
	go l.forward(ctx, in, out, from, own, ended)
	go l.forward(ctx, out, in, own, from, ended)
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
