package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Services of the rehearsed table.
const (
	serviceModel = "model"
	serviceApp   = "app"
)

// eventsOfTurn is how many events a whole stream has, tokensPerEvent how many tokens
// each counts.
const (
	eventsOfTurn   = 5
	tokensPerEvent = 10
	eventsOfLarge  = 40
	turnTokens     = eventsOfTurn * tokensPerEvent
)

// replicas are all stand-in replicas, by places. A place has one replica after the
// other at one address.
type replicas struct {
	fleet     *Fleet
	endpoints []*endpoint
}

// place is an address that replicas come and go at.
type endpoint struct {
	fleet            *Fleet
	service, address string
	// behind is where its replicas listen: the address itself, or one behind a relay.
	listenAddress string
	incarnations  int
	current       *replica
	// busy lets one trouble at a time have the place.
	busy chan struct{}
}

// replica is one life of a replica.
type replica struct {
	endpoint *endpoint
	id       string
	server   net.Listener
	cancel   context.CancelFunc
	ctx      context.Context
	// leaving is closed when it begins to say that it leaves.
	leaving chan struct{}
}

func newReplicas(f *Fleet) *replicas {
	r := &replicas{fleet: f}
	for i := range 5 {
		service := serviceModel
		if i >= 3 {
			service = serviceApp
		}
		p := &endpoint{fleet: f, service: service, address: f.host(hostReplica, i+1) + ":7900", busy: make(chan struct{}, 1)}
		p.listenAddress = p.address
		if i%2 == 0 {
			// Those that are not behind a relay refuse connections while they are down.
			p.listenAddress = f.host(hostReplica, i+1) + ":7910"
		}
		r.endpoints = append(r.endpoints, p)
	}
	return r
}

// relay puts relays before the places that are behind one.
func (r *replicas) relay(ctx context.Context) error {
	for _, p := range r.endpoints {
		if p.listenAddress == p.address {
			continue
		}
		if err := r.fleet.links.Relay(ctx, p.address, p.listenAddress); err != nil {
			return err
		}
	}
	return nil
}

func (r *replicas) fill(ctx context.Context) {
	for _, p := range r.endpoints {
		p.start(ctx)
	}
}

// begin begins a new life at a place.
func (p *endpoint) start(ctx context.Context) {
	var listener net.Listener
	for range 100 {
		var err error
		if listener, err = net.Listen("tcp", p.listenAddress); err == nil {
			break
		}
		pause(ctx, 20*time.Millisecond)
	}
	if listener == nil {
		return
	}
	p.incarnations++
	lifetime, cancel := context.WithCancel(ctx)
	one := &replica{endpoint: p, id: fmt.Sprintf("%s-%s-%d", p.service, strings.ReplaceAll(p.address, ":", "."), p.incarnations), server: listener, ctx: lifetime, cancel: cancel, leaving: make(chan struct{})}
	p.current = one
	server := &http.Server{Handler: http.HandlerFunc(one.serve)}
	go server.Serve(listener)
	context.AfterFunc(lifetime, func() { server.Close() })
	go one.announce()
}

// crash ends a life without a word.
func (p *endpoint) crash() {
	if p.current != nil {
		p.current.cancel()
		p.current = nil
	}
}

// leave says that a replica leaves, serves on for a while and ends it. Some say it
// by their last word only.
func (p *endpoint) leave(ctx context.Context, deregisterFirst bool) {
	one := p.current
	if one == nil {
		return
	}
	if !deregisterFirst {
		close(one.leaving)
	} else {
		one.deregister()
	}
	pause(ctx, drainTimeout+time.Duration(rand.IntN(1000))*time.Millisecond)
	if !deregisterFirst {
		one.deregister()
	}
	p.crash()
}

// announce says all the time that the replica is there, at one desk or another.
func (r *replica) announce() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	desks := r.endpoint.fleet.withRole(roleDesk)
	at := rand.IntN(len(desks))
	for call := 1; ; call++ {
		leaving := false
		select {
		case <-r.leaving:
			leaving = true
		default:
		}
		body, _ := json.Marshal(map[string]any{"service": r.endpoint.service, "address": r.endpoint.address, "zone": "zone1", "slots": 8, "leaving": leaving, "call": call})
		if r.call(http.MethodPut, desks[at], body) {
			if leaving {
				r.endpoint.fleet.recordDeparture(r.id)
			}
		} else {
			at = (at + 1) % len(desks)
		}
		select {
		case <-ticker.C:
		case <-r.leaving:
			if !leaving {
				continue
			}
			pause(r.ctx, heartbeatInterval)
		case <-r.ctx.Done():
			return
		}
	}
}

// lastWord says that the replica goes, until a desk has heard it.
func (r *replica) deregister() {
	for _, desk := range r.endpoint.fleet.withRole(roleDesk) {
		if r.call(http.MethodDelete, desk, nil) {
			r.endpoint.fleet.recordDeparture(r.id)
			return
		}
	}
}

// left notes that a desk acknowledged that a replica leaves.
func (f *Fleet) recordDeparture(id string) {
	at := f.now()
	f.update(func(r *record) {
		for _, w := range r.Departures {
			if w.Replica == id {
				return
			}
		}
		r.Departures = append(r.Departures, departure{Replica: id, At: at})
	})
}

// tell says something to a desk, and reports whether it was acknowledged in time.
func (r *replica) call(method string, desk *process, body []byte) bool {
	ctx, cancel := context.WithTimeout(r.ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+desk.address(operatorPort)+"/v1/replicas/"+r.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	q.Header.Set("Authorization", "Bearer "+replicaKey)
	answer, err := r.endpoint.fleet.client.Do(q)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return err == nil && answer.StatusCode == http.StatusOK
}

// manner is how a replica treats one request.
type behavior int

// Manners of replicas.
const (
	behaviorGood behavior = iota
	// mannerFull promises that it did not run.
	behaviorFull
	// mannerFails answers 500 after it ran.
	behaviorFails
	// mannerSwallows runs and ends the connection without an answer.
	behaviorSwallows
	// mannerResets does so by a reset.
	behaviorResets
	// mannerHalf breaks off in the middle of its answer.
	behaviorHalf
	// mannerSurplus sends bytes after its whole answer.
	behaviorSurplus
	// mannerSurplusLater sends another answer where the next request's is due.
	behaviorSurplusLater
	// mannerSilent never answers.
	behaviorSilent
	// mannerNonsense sends bytes that are no answer.
	behaviorNonsense
	// mannerEarly answers before it has read the body.
	behaviorEarly
	// mannerLate answers after a pause.
	behaviorLate
	behaviorCount
)

// pick is good mostly, and else one of the others.
func pickBehavior() behavior {
	if rand.Float64() < 0.82 {
		return behaviorGood
	}
	return behavior(1 + rand.IntN(int(behaviorCount)-1))
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("Saffronfall-Attempt")
	w.Header().Set("Saffronfall-Attempt", attempt)
	if target := q.Header.Get("Saffronfall-Replica"); target != r.id || attempt == "" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	how := pickBehavior()
	if how == behaviorFull {
		w.Header().Set("Saffronfall-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var got []byte
	if how != behaviorEarly {
		var err error
		if got, err = io.ReadAll(q.Body); err != nil {
			return
		}
	}
	f := r.endpoint.fleet
	stream := strings.HasPrefix(q.URL.Path, "/"+kindChat+"/") || strings.HasPrefix(q.URL.Path, "/"+kindKept+"/")
	one := run{At: f.now(), Replica: r.id, Service: r.endpoint.service, Attempt: attempt, Tenant: q.Header.Get("Saffronfall-Tenant"), Method: q.Method, Path: q.URL.Path, Got: string(got), Gave: r.answer(q, stream)}
	if how == behaviorEarly {
		one.Got = unread
	}
	f.update(func(r *record) { r.Runs = append(r.Runs, one) })
	pause(q.Context(), time.Duration(5+rand.IntN(30))*time.Millisecond)
	if how == behaviorLate {
		pause(q.Context(), time.Duration(rand.IntN(2500))*time.Millisecond)
	}
	w.Header().Set("Saffronfall-Seal", "seal-"+attempt)
	w.Header().Set("Saffronfall-Load", "1,0,8")
	switch how {
	case behaviorGood, behaviorLate, behaviorEarly:
		r.writeAnswer(w, one, stream)
	case behaviorFails:
		w.WriteHeader(http.StatusInternalServerError)
		io.WriteString(w, "failed "+attempt)
	default:
		r.misbehave(w, q, one, how, stream)
	}
}

// unread stands for a body that a replica answered before.
const unread = "(not read)"

// pathLarge is asked for by who takes nothing of it: its streams are larger than what
// sockets hold.
const pathLarge = "/" + kindChat + "/large"

// answer is the whole of what a replica answers to a request.
func (r *replica) answer(q *http.Request, stream bool) string {
	attempt := q.Header.Get("Saffronfall-Attempt")
	if !stream {
		return r.id + " ran " + attempt + strings.Repeat(".", 200)
	}
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	var text strings.Builder
	padding, events := "", eventsOfTurn
	if q.URL.Path == pathLarge {
		padding, events = strings.Repeat("+", 300<<10), eventsOfLarge
	}
	for i := first; i <= events; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s/%d%s\n\n", i, attempt, i, padding)
	}
	return text.String()
}

// give answers in good order: a stream event by event.
func (r *replica) writeAnswer(w http.ResponseWriter, one run, stream bool) {
	if !stream {
		io.WriteString(w, one.Gave)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for _, event := range strings.SplitAfter(one.Gave, "\n\n") {
		io.WriteString(w, event)
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		pause(r.ctx, time.Duration(rand.IntN(15))*time.Millisecond)
	}
}

// misbehave answers by hand, and mostly badly.
func (r *replica) misbehave(w http.ResponseWriter, q *http.Request, one run, how behavior, stream bool) {
	head := "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: " + one.Attempt + "\r\nSaffronfall-Seal: seal-" + one.Attempt + "\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(one.Gave))
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, buffer, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	say := func(text string) {
		c.SetWriteDeadline(time.Now().Add(time.Second))
		io.WriteString(c, text)
	}
	switch how {
	case behaviorSwallows:
		// Nothing is said, and the connection ends.
	case behaviorResets:
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
	case behaviorHalf:
		cut := rand.IntN(len(one.Gave))
		say(head + length + one.Gave[:cut])
	case behaviorSurplus:
		say(head + length + one.Gave + surplusAnswer)
		r.waitForByte(c, buffer.Reader, 300*time.Millisecond)
	case behaviorSurplusLater:
		say(head + length + one.Gave)
		if r.waitForByte(c, buffer.Reader, time.Second) {
			say(surplusAnswer)
			r.waitForByte(c, buffer.Reader, 300*time.Millisecond)
		}
	case behaviorSilent:
		r.waitForByte(c, buffer.Reader, 10*time.Second)
	case behaviorNonsense:
		say("no answer at all\r\n\r\n")
	}
}

// surplusAnswer is an answer that belongs to no request.
const surplusAnswer = "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: other\r\nSaffronfall-Seal: s\r\nContent-Length: 7\r\n\r\nsurplus"

// linger keeps a connection until its other end closes it, or for a time. It reports
// whether more was said on it.
func (r *replica) waitForByte(c net.Conn, reader *bufio.Reader, within time.Duration) bool {
	stop := context.AfterFunc(r.ctx, func() { c.Close() })
	defer stop()
	c.SetReadDeadline(time.Now().Add(within))
	_, err := reader.ReadByte()
	return err == nil
}
