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

// misbehavior breaks the protocol or holds a connection.
type misbehavior func(f *Fleet, ctx context.Context, name string)

var misbehaviors = []misbehavior{
	halfBody, readsNothing, closesEarly, dripsHead, pipelines, repeatsAttempt,
	wrongKey, hugeHead, announcesMuch,
}

const misbehavingAtOnce = 6

func (f *Fleet) runMisbehaving(ctx context.Context) {
	slots, started := make(chan struct{}, misbehavingAtOnce), 0
	done := make(chan struct{}, 1<<16)
	for number := 0; ctx.Err() == nil; number++ {
		slots <- struct{}{}
		started++
		go func() {
			misbehaviors[rand.IntN(len(misbehaviors))](f, ctx, fmt.Sprint("rude", number))
			<-slots
			done <- struct{}{}
		}()
		pause(ctx, 50*time.Millisecond)
	}
	for range started {
		<-done
	}
}

func (f *Fleet) openMisbehaving(kind, method, name, body string) (*request, *connection) {
	return f.open(misbehavingRequest(kind, method, name, body))
}

func misbehavingRequest(kind, method, name, body string) *request {
	return &request{Attempt: name, Kind: kind, Tenant: tenantFirst, Method: method, Path: "/" + kind + "/x", Body: body, Misbehaving: true}
}

// open opens a connection and records the request, or returns nil for both if that fails.
func (f *Fleet) open(req *request) (*request, *connection) {
	c, err := dialNode(f.anyNode())
	if err != nil {
		return nil, nil
	}
	f.recordStart(req, c.node)
	return req, c
}

// holdTime is longer than any request may last.
const holdTime = 12 * time.Second

func hold(ctx context.Context, c net.Conn) {
	pause(ctx, holdTime)
	c.Close()
}

func halfBody(f *Fleet, ctx context.Context, name string) {
	if req, c := f.openMisbehaving(kindOnce, http.MethodPost, name, strings.Repeat("b", 4000)); c != nil {
		io.WriteString(c, req.head(keyOf(req.Tenant))+req.Body[:rand.IntN(len(req.Body))])
		hold(ctx, c)
	}
}

func announcesMuch(f *Fleet, ctx context.Context, name string) {
	if req, c := f.openMisbehaving(kindOnce, http.MethodPost, name, ""); c != nil {
		io.WriteString(c, strings.Replace(req.head(keyOf(req.Tenant)), "Content-Length: 0", "Content-Length: 900000", 1))
		hold(ctx, c)
	}
}

func readsNothing(f *Fleet, ctx context.Context, name string) {
	large := misbehavingRequest(kindChat, http.MethodPost, name, "much")
	large.Path = pathLarge
	req, c := f.open(large)
	if c == nil {
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetReadBuffer(4096)
	}
	io.WriteString(c, req.head(keyOf(req.Tenant))+req.Body)
	hold(ctx, c)
}

// closesEarly closes or resets the connection soon after a complete request.
func closesEarly(f *Fleet, ctx context.Context, name string) {
	kind := []string{kindAlert, kindOnce, kindChat}[rand.IntN(3)]
	method, body := http.MethodPost, "bye"
	if kind == kindAlert {
		method, body = http.MethodGet, ""
	}
	if req, c := f.openMisbehaving(kind, method, name, body); c != nil {
		io.WriteString(c, req.head(keyOf(req.Tenant))+req.Body)
		pause(ctx, time.Duration(rand.IntN(40))*time.Millisecond)
		if t, ok := c.Conn.(*net.TCPConn); ok && rand.IntN(2) == 0 {
			t.SetLinger(0)
		}
		c.Close()
	}
}

func dripsHead(f *Fleet, ctx context.Context, name string) {
	req, c := f.openMisbehaving(kindAlert, http.MethodGet, name, "")
	if c == nil {
		return
	}
	defer c.Close()
	for _, character := range req.head(keyOf(req.Tenant)) {
		if _, err := io.WriteString(c, string(character)); err != nil || ctx.Err() != nil {
			return
		}
		pause(ctx, 15*time.Millisecond)
	}
}

func pipelines(f *Fleet, ctx context.Context, name string) {
	first, c := f.openMisbehaving(kindAlert, http.MethodGet, name+"a", "")
	if c == nil {
		return
	}
	defer c.Close()
	second := &request{
		Attempt:     name + "b",
		Kind:        kindOnce,
		Tenant:      tenantFirst,
		Method:      http.MethodPost,
		Path:        "/" + kindOnce + "/x",
		Body:        "second",
		Misbehaving: true,
	}
	f.recordStart(second, c.node)
	c.SetDeadline(time.Now().Add(deadline + answerGrace))
	io.WriteString(c, first.head(keyOf(tenantFirst))+second.head(keyOf(tenantFirst))+second.Body)
	if f.answer(c, first) {
		f.answer(c, second)
	}
}

// repeatsAttempt uses one attempt id for all turns of a program.
func repeatsAttempt(f *Fleet, ctx context.Context, name string) {
	for range 6 {
		c, err := dialNode(f.anyNode())
		if err != nil || ctx.Err() != nil {
			return
		}
		req := &request{
			Attempt:     name,
			Kind:        kindChat,
			Tenant:      tenantFirst,
			Method:      http.MethodPost,
			Path:        "/" + kindChat + "/x",
			Body:        "again",
			Program:     "p-" + name,
			Budget:      2*turnTokens + 5,
			Misbehaving: true,
			Repeats:     true,
		}
		f.ask(c, req)
		c.Close()
	}
}

func wrongKey(f *Fleet, ctx context.Context, name string) {
	unknown := misbehavingRequest(kindOnce, http.MethodPost, name, "with a wrong key")
	unknown.Tenant = ""
	if req, c := f.open(unknown); c != nil {
		c.SetDeadline(time.Now().Add(deadline + answerGrace))
		io.WriteString(c, req.head("no key of anybody")+req.Body)
		f.answer(c, req)
		c.Close()
	}
}

// hugeHead sends a request head above the limit.
func hugeHead(f *Fleet, ctx context.Context, name string) {
	if req, c := f.openMisbehaving(kindAlert, http.MethodGet, name, ""); c != nil {
		c.SetDeadline(time.Now().Add(deadline + answerGrace))
		io.WriteString(c, req.head(keyOf(req.Tenant), "Padding: "+strings.Repeat("p", 40<<10)))
		f.answer(c, req)
		c.Close()
	}
}
