package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// rudeness is one way in which a requester misbehaves.
type rudeness func(f *Fleet, ctx context.Context, name string)

// rude are all ways.
var rude = []rudeness{halfBody, readsNothing, closesEarly, dripsHead, pipelines, repeatsAttempt, wrongKey, hugeHead, announcesMuch}

// rudeAtOnce is how many rude requesters there are at a time.
const rudeAtOnce = 6

// beRude lets rude requesters come one after the other.
func (f *Fleet) beRude(ctx context.Context) {
	places, over := make(chan struct{}, rudeAtOnce), 0
	done := make(chan struct{}, 1<<16)
	for number := 0; ctx.Err() == nil; number++ {
		places <- struct{}{}
		over++
		go func() {
			rude[rand.IntN(len(rude))](f, ctx, fmt.Sprint("rude", number))
			<-places
			done <- struct{}{}
		}()
		pause(ctx, 50*time.Millisecond)
	}
	for range over {
		<-done
	}
}

// rudely makes a request that counts as rude, on a connection of its own.
func (f *Fleet) rudely(kind, method, name, body string) (*request, *connection) {
	return f.begins(rudeRequest(kind, method, name, body))
}

func rudeRequest(kind, method, name, body string) *request {
	return &request{Attempt: name, Kind: kind, Tenant: tenantFirst, Method: method, Path: "/" + kind + "/x", Body: body, Rude: true}
}

// begins opens a connection for a request. Without one there is no request.
func (f *Fleet) begins(q *request) (*request, *connection) {
	c, err := dialNode(f.anyNode())
	if err != nil {
		return nil, nil
	}
	f.begin(q, c.node)
	return q, c
}

// patient is how long a rude requester stays: longer than any request may be held.
const patient = 12 * time.Second

// stay keeps a connection open without reading.
func stay(ctx context.Context, c net.Conn) {
	pause(ctx, patient)
	c.Close()
}

func halfBody(f *Fleet, ctx context.Context, name string) {
	if q, c := f.rudely(kindOnce, http.MethodPost, name, strings.Repeat("b", 4000)); c != nil {
		io.WriteString(c, q.head(keyOf(q.Tenant))+q.Body[:rand.IntN(len(q.Body))])
		stay(ctx, c)
	}
}

// announcesMuch tells of a large body and sends none of it.
func announcesMuch(f *Fleet, ctx context.Context, name string) {
	if q, c := f.rudely(kindOnce, http.MethodPost, name, ""); c != nil {
		io.WriteString(c, strings.Replace(q.head(keyOf(q.Tenant)), "Content-Length: 0", "Content-Length: 900000", 1))
		stay(ctx, c)
	}
}

// readsNothing asks for a large stream and takes nothing of it.
func readsNothing(f *Fleet, ctx context.Context, name string) {
	large := rudeRequest(kindChat, http.MethodPost, name, "much")
	large.Path = pathLarge
	q, c := f.begins(large)
	if c == nil {
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetReadBuffer(4096)
	}
	io.WriteString(c, q.head(keyOf(q.Tenant))+q.Body)
	stay(ctx, c)
}

func closesEarly(f *Fleet, ctx context.Context, name string) {
	kind := []string{kindAlert, kindOnce, kindChat}[rand.IntN(3)]
	method, body := http.MethodPost, "bye"
	if kind == kindAlert {
		method, body = http.MethodGet, ""
	}
	if q, c := f.rudely(kind, method, name, body); c != nil {
		io.WriteString(c, q.head(keyOf(q.Tenant))+q.Body)
		pause(ctx, time.Duration(rand.IntN(40))*time.Millisecond)
		if t, ok := c.Conn.(*net.TCPConn); ok && rand.IntN(2) == 0 {
			t.SetLinger(0)
		}
		c.Close()
	}
}

func dripsHead(f *Fleet, ctx context.Context, name string) {
	q, c := f.rudely(kindAlert, http.MethodGet, name, "")
	if c == nil {
		return
	}
	defer c.Close()
	for _, letter := range q.head(keyOf(q.Tenant)) {
		if _, err := io.WriteString(c, string(letter)); err != nil || ctx.Err() != nil {
			return
		}
		pause(ctx, 15*time.Millisecond)
	}
}

// pipelines sends two requests at once.
func pipelines(f *Fleet, ctx context.Context, name string) {
	first, c := f.rudely(kindAlert, http.MethodGet, name+"a", "")
	if c == nil {
		return
	}
	defer c.Close()
	second := &request{Attempt: name + "b", Kind: kindOnce, Tenant: tenantFirst, Method: http.MethodPost, Path: "/" + kindOnce + "/x", Body: "second", Rude: true}
	f.begin(second, c.node)
	c.SetDeadline(time.Now().Add(deadline + held))
	io.WriteString(c, first.head(keyOf(tenantFirst))+second.head(keyOf(tenantFirst))+second.Body)
	if f.answer(c, first) {
		f.answer(c, second)
	}
}

// repeatsAttempt uses one id for all turns of a program.
func repeatsAttempt(f *Fleet, ctx context.Context, name string) {
	for range 6 {
		c, err := dialNode(f.anyNode())
		if err != nil || ctx.Err() != nil {
			return
		}
		q := &request{Attempt: name, Kind: kindChat, Tenant: tenantFirst, Method: http.MethodPost, Path: "/" + kindChat + "/x", Body: "again", Program: "p-" + name, Budget: 2*turnTokens + 5, Rude: true, Repeats: true}
		f.ask(c, q)
		c.Close()
	}
}

func wrongKey(f *Fleet, ctx context.Context, name string) {
	stranger := rudeRequest(kindOnce, http.MethodPost, name, "with a wrong key")
	stranger.Tenant = ""
	if q, c := f.begins(stranger); c != nil {
		c.SetDeadline(time.Now().Add(deadline + held))
		io.WriteString(c, q.head("no key of anybody")+q.Body)
		f.answer(c, q)
		c.Close()
	}
}

func hugeHead(f *Fleet, ctx context.Context, name string) {
	if q, c := f.rudely(kindAlert, http.MethodGet, name, ""); c != nil {
		c.SetDeadline(time.Now().Add(deadline + held))
		io.WriteString(c, q.head(keyOf(q.Tenant), "Padding: "+strings.Repeat("p", 40<<10)))
		f.answer(c, q)
		c.Close()
	}
}
