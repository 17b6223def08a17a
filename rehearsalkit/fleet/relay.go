// Package fleet runs a whole fleet of processes on one machine, with stand-in
// requesters and back ends and links that can be cut.
package fleet

import (
	"context"
	"io"
	"net"
	"time"
)

// links owns which links between machines are cut. It is asked over a channel.
type links struct {
	ask chan linkAsk
	set chan linkSet
}

type linkAsk struct {
	from, to string
	answer   chan bool
}

type linkSet struct {
	from, to string
	cut      bool
}

func newLinks(ctx context.Context) *links {
	l := &links{ask: make(chan linkAsk), set: make(chan linkSet)}
	go func() {
		cut := map[[2]string]bool{}
		for {
			select {
			case a := <-l.ask:
				a.answer <- cut[[2]string{a.from, a.to}]
			case s := <-l.set:
				cut[[2]string{s.from, s.to}] = s.cut
			case <-ctx.Done():
				return
			}
		}
	}()
	return l
}

// whole reports whether a link carries, waiting while it does not.
func (l *links) whole(ctx context.Context, from, to string) bool {
	for {
		answer := make(chan bool, 1)
		select {
		case l.ask <- linkAsk{from: from, to: to, answer: answer}:
		case <-ctx.Done():
			return false
		}
		if !<-answer {
			return true
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return false
		}
	}
}

// Cut cuts, or mends, the link between two machines both ways.
func (l *links) Cut(ctx context.Context, a, b string, cut bool) {
	for _, s := range []linkSet{{a, b, cut}, {b, a, cut}} {
		select {
		case l.set <- s:
		case <-ctx.Done():
		}
	}
}

// relay carries streams to one machine and knows who sent them by IP number.
func (l *links) relay(ctx context.Context, at, to string) error {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	own, _, _ := net.SplitHostPort(at)
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer in.Close()
				from, _, _ := net.SplitHostPort(in.RemoteAddr().String())
				if !l.whole(ctx, from, own) {
					return
				}
				out, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer out.Close()
				stop := context.AfterFunc(ctx, func() { in.Close(); out.Close() })
				defer stop()
				ended := make(chan struct{}, 2)
				go l.pump(ctx, in, out, from, own, ended)
				go l.pump(ctx, out, in, own, from, ended)
				<-ended
			}()
		}
	}()
	return nil
}

func (l *links) pump(ctx context.Context, in io.Reader, out io.Writer, from, to string, ended chan<- struct{}) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := in.Read(buffer)
		if n > 0 {
			if !l.whole(ctx, from, to) {
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
