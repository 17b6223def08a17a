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
	ask      chan ask
	set      chan func(m map[way]state)
	register chan registration
	reset    chan string
	dropped  chan *stream
}

// way is one direction between two machines.
type way struct{ from, to string }

// state is what befalls the bytes of one direction.
type state struct {
	cut   bool
	delay time.Duration
}

type ask struct {
	way    way
	answer chan state
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
	l := &Links{ask: make(chan ask), set: make(chan func(map[way]state)), register: make(chan registration), reset: make(chan string), dropped: make(chan *stream)}
	go l.own(ctx)
	return l
}

func (l *Links) own(ctx context.Context) {
	states, streams := map[way]state{}, map[*stream]bool{}
	for {
		select {
		case a := <-l.ask:
			a.answer <- states[a.way]
		case change := <-l.set:
			change(states)
		case r := <-l.register:
			streams[r.stream] = true
			close(r.done)
		case s := <-l.dropped:
			delete(streams, s)
		case machine := <-l.reset:
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

func (l *Links) change(ctx context.Context, to func(m map[way]state)) {
	select {
	case l.set <- to:
	case <-ctx.Done():
	}
}

// CutOneWay cuts, or mends, what one machine says to another.
func (l *Links) CutOneWay(ctx context.Context, from, to string, cut bool) {
	l.change(ctx, func(m map[way]state) {
		s := m[way{from, to}]
		s.cut = cut
		m[way{from, to}] = s
	})
}

// Cut cuts, or mends, the link between two machines both ways.
func (l *Links) Cut(ctx context.Context, a, b string, cut bool) {
	l.CutOneWay(ctx, a, b, cut)
	l.CutOneWay(ctx, b, a, cut)
}

// Delay holds up what one machine says to another.
func (l *Links) Delay(ctx context.Context, from, to string, delay time.Duration) {
	l.change(ctx, func(m map[way]state) {
		s := m[way{from, to}]
		s.delay = delay
		m[way{from, to}] = s
	})
}

// Reset ends all connections of a machine.
func (l *Links) Reset(ctx context.Context, machine string) {
	select {
	case l.reset <- machine:
	case <-ctx.Done():
	}
}

// pollEvery is how often a link that is cut is looked at again.
const pollEvery = 10 * time.Millisecond

// carries waits while a direction is cut, and as long as it delays. It reports
// false once the context has ended.
func (l *Links) carries(ctx context.Context, from, to string) bool {
	for waited := false; ; {
		a := ask{way: way{from, to}, answer: make(chan state, 1)}
		select {
		case l.ask <- a:
		case <-ctx.Done():
			return false
		}
		s := <-a.answer
		pause := pollEvery
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
			go l.carry(ctx, in, own, to)
		}
	}()
	return nil
}

// carry carries one connection until either side ends it.
func (l *Links) carry(ctx context.Context, in net.Conn, own, to string) {
	defer in.Close()
	from, _, err := net.SplitHostPort(in.RemoteAddr().String())
	if err != nil || !l.carries(ctx, from, own) {
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
	case l.register <- r:
		<-r.done
	case <-ctx.Done():
		return
	}
	ended := make(chan struct{}, 2)
	go l.pump(ctx, in, out, from, own, ended)
	go l.pump(ctx, out, in, own, from, ended)
	<-ended
	select {
	case l.dropped <- s:
	case <-ctx.Done():
	}
}

func (l *Links) pump(ctx context.Context, in io.Reader, out io.Writer, from, to string, ended chan<- struct{}) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := in.Read(buffer)
		if n > 0 {
			if !l.carries(ctx, from, to) {
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
