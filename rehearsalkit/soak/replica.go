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

const (
	serviceModel = "model"
	serviceApp   = "app"
	// serviceRecorded has a record of operation keys.
	serviceRecorded = "recorded"
)

// eventsOfTurn and eventsOfLarge are the events of complete streams.
const (
	eventsOfTurn   = 5
	tokensPerEvent = 10
	eventsOfLarge  = 40
	turnTokens     = eventsOfTurn * tokensPerEvent
)

type replicas struct {
	fleet     *Fleet
	endpoints []*endpoint
}

// endpoint is an address that has one replica after the other.
type endpoint struct {
	fleet            *Fleet
	service, address string
	// listenAddress differs from address if there is a relay.
	listenAddress string
	incarnations  int
	current       *replica
	// busy is a lock: one fault at a time.
	busy chan struct{}
}

type replica struct {
	endpoint *endpoint
	id       string
	server   net.Listener
	cancel   context.CancelFunc
	ctx      context.Context
	// leaving is closed when heartbeats start to announce that the replica leaves.
	leaving chan struct{}
}

func newReplicas(f *Fleet) *replicas {
	r := &replicas{fleet: f}
	services := []string{serviceModel, serviceModel, serviceModel, serviceApp, serviceApp, serviceRecorded, serviceRecorded}
	for i, service := range services {
		p := &endpoint{fleet: f, service: service, address: f.host(hostReplica, i+1) + ":7900", busy: make(chan struct{}, 1)}
		p.listenAddress = p.address
		if i%2 == 0 {
			// Endpoints without a relay refuse connections while they have no replica.
			p.listenAddress = f.host(hostReplica, i+1) + ":7910"
		}
		r.endpoints = append(r.endpoints, p)
	}
	return r
}

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
	r := &replica{
		endpoint: p,
		id:       fmt.Sprintf("%s-%s-%d", p.service, strings.ReplaceAll(p.address, ":", "."), p.incarnations),
		server:   listener,
		ctx:      lifetime,
		cancel:   cancel,
		leaving:  make(chan struct{}),
	}
	p.current = r
	server := &http.Server{Handler: http.HandlerFunc(r.serve)}
	go server.Serve(listener)
	context.AfterFunc(lifetime, func() { server.Close() })
	go r.announce()
}

// crash ends the replica without deregistering it.
func (p *endpoint) crash() {
	if p.current != nil {
		p.current.cancel()
		p.current = nil
	}
}

// leave announces that the replica leaves, by deregistration (deregisterFirst) or heartbeat,
// lets it serve for a while and ends it.
func (p *endpoint) leave(ctx context.Context, deregisterFirst bool) {
	r := p.current
	if r == nil {
		return
	}
	if !deregisterFirst {
		close(r.leaving)
	} else {
		r.deregister()
	}
	pause(ctx, drainTimeout+time.Duration(rand.IntN(1000))*time.Millisecond)
	if !deregisterFirst {
		r.deregister()
	}
	p.crash()
}

// announce sends heartbeats, and changes to the next registry after a failure.
func (r *replica) announce() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	registries := r.endpoint.fleet.withRole(roleRegistry)
	at := rand.IntN(len(registries))
	for call := 1; ; call++ {
		leaving := false
		select {
		case <-r.leaving:
			leaving = true
		default:
		}
		body, _ := json.Marshal(map[string]any{
			"service": r.endpoint.service,
			"address": r.endpoint.address,
			"zone":    "zone1",
			"slots":   8,
			"leaving": leaving,
			"call":    call,
		})
		if r.call(http.MethodPut, registries[at], body) {
			if leaving {
				r.endpoint.fleet.recordDeparture(r.id)
			}
		} else {
			at = (at + 1) % len(registries)
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

// deregister tries the registries in turn until one acknowledges.
func (r *replica) deregister() {
	for _, registry := range r.endpoint.fleet.withRole(roleRegistry) {
		if r.call(http.MethodDelete, registry, nil) {
			r.endpoint.fleet.recordDeparture(r.id)
			return
		}
	}
}

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

// call sends a heartbeat or a deregistration and reports whether it was acknowledged.
func (r *replica) call(method string, registry *process, body []byte) bool {
	ctx, cancel := context.WithTimeout(r.ctx, heartbeatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+registry.address(operatorPort)+"/v1/replicas/"+r.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+replicaKey)
	answer, err := r.endpoint.fleet.client.Do(req)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	_, err = io.Copy(io.Discard, answer.Body)
	return err == nil && answer.StatusCode == http.StatusOK
}

// behavior is how a replica handles one request.
type behavior int

const (
	behaviorGood behavior = iota
	// behaviorFull answers that the request has not run.
	behaviorFull
	// behaviorFails answers 500 after the run.
	behaviorFails
	// behaviorSwallows closes the connection without an answer after the run.
	behaviorSwallows
	behaviorResets
	// behaviorHalf closes the connection within the answer.
	behaviorHalf
	// behaviorSurplus sends more bytes right after the complete answer.
	behaviorSurplus
	// behaviorSurplusLater sends an unrelated answer to the next request on the connection.
	behaviorSurplusLater
	behaviorSilent
	// behaviorNonsense sends bytes that are not an HTTP response.
	behaviorNonsense
	// behaviorEarly answers without reading the body.
	behaviorEarly
	behaviorLate
	behaviorCount
)

const goodShare = 0.82

func pickBehavior() behavior {
	if rand.Float64() < goodShare {
		return behaviorGood
	}
	return behavior(1 + rand.IntN(int(behaviorCount)-1))
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("Saffronfall-Attempt")
	w.Header().Set("Saffronfall-Attempt", attempt)
	if target := req.Header.Get("Saffronfall-Replica"); target != r.id || attempt == "" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	how := pickBehavior()
	if r.endpoint.service == serviceRecorded {
		r.serveRecorded(w, req, how)
		return
	}
	if how == behaviorFull {
		w.Header().Set("Saffronfall-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var got []byte
	if how != behaviorEarly {
		var err error
		if got, err = io.ReadAll(req.Body); err != nil {
			return
		}
	}
	f := r.endpoint.fleet
	stream := strings.HasPrefix(req.URL.Path, "/"+kindChat+"/") || strings.HasPrefix(req.URL.Path, "/"+kindKept+"/")
	ran := run{
		At:      f.now(),
		Replica: r.id,
		Service: r.endpoint.service,
		Attempt: attempt,
		Tenant:  req.Header.Get("Saffronfall-Tenant"),
		Method:  req.Method,
		Path:    req.URL.Path,
		Got:     string(got),
		Gave:    r.answer(req, stream),

		OperationKey: req.Header.Get(operationKeyHeader),
	}
	if how == behaviorEarly {
		ran.Got = unread
	}
	f.update(func(r *record) { r.Runs = append(r.Runs, ran) })
	pause(req.Context(), time.Duration(5+rand.IntN(30))*time.Millisecond)
	if how == behaviorLate {
		pause(req.Context(), time.Duration(rand.IntN(2500))*time.Millisecond)
	}
	w.Header().Set("Saffronfall-Seal", "seal-"+attempt)
	w.Header().Set("Saffronfall-Load", "1,0,8")
	switch how {
	case behaviorGood, behaviorLate, behaviorEarly:
		r.writeAnswer(w, ran, stream)
	case behaviorFails:
		w.WriteHeader(http.StatusInternalServerError)
		io.WriteString(w, "failed "+attempt)
	default:
		r.misbehave(w, req, ran, how)
	}
}

// unread is recorded for a body that was not read.
const unread = "(not read)"

// pathLarge is the path of streams larger than socket buffers, which requesters do not read.
const pathLarge = "/" + kindChat + "/large"

func (r *replica) answer(req *http.Request, stream bool) string {
	attempt := req.Header.Get("Saffronfall-Attempt")
	if !stream {
		return r.id + " ran " + attempt + strings.Repeat(".", 200)
	}
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	var text strings.Builder
	padding, events := "", eventsOfTurn
	if req.URL.Path == pathLarge {
		padding, events = strings.Repeat("+", 300<<10), eventsOfLarge
	}
	for i := first; i <= events; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s/%d%s\n\n", i, attempt, i, padding)
	}
	return text.String()
}

func (r *replica) writeAnswer(w http.ResponseWriter, ran run, stream bool) {
	if !stream {
		io.WriteString(w, ran.Gave)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for _, event := range strings.SplitAfter(ran.Gave, "\n\n") {
		io.WriteString(w, event)
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		pause(r.ctx, time.Duration(rand.IntN(15))*time.Millisecond)
	}
}

func (r *replica) misbehave(w http.ResponseWriter, req *http.Request, ran run, how behavior) {
	head := "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: " + req.Header.Get("Saffronfall-Attempt") + "\r\nSaffronfall-Seal: seal-" + ran.Attempt + "\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(ran.Gave))
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, buffer, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	write := func(text string) {
		c.SetWriteDeadline(time.Now().Add(time.Second))
		io.WriteString(c, text)
	}
	switch how {
	case behaviorSwallows:
		// The deferred Close ends the connection.
	case behaviorResets:
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
	case behaviorHalf:
		cut := rand.IntN(len(ran.Gave))
		write(head + length + ran.Gave[:cut])
	case behaviorSurplus:
		write(head + length + ran.Gave + surplusAnswer)
		r.waitForByte(c, buffer.Reader, 300*time.Millisecond)
	case behaviorSurplusLater:
		write(head + length + ran.Gave)
		if r.waitForByte(c, buffer.Reader, time.Second) {
			write(surplusAnswer)
			r.waitForByte(c, buffer.Reader, 300*time.Millisecond)
		}
	case behaviorSilent:
		r.waitForByte(c, buffer.Reader, 10*time.Second)
	case behaviorNonsense:
		write("no answer at all\r\n\r\n")
	}
}

// surplusAnswer is an answer that belongs to no request.
const surplusAnswer = "HTTP/1.1 200 OK\r\nSaffronfall-Attempt: other\r\nSaffronfall-Seal: s\r\nContent-Length: 7\r\n\r\nsurplus"

// waitForByte waits until the peer sends a byte or closes the connection, or for timeout. It
// reports whether a byte came.
func (r *replica) waitForByte(c net.Conn, reader *bufio.Reader, timeout time.Duration) bool {
	stop := context.AfterFunc(r.ctx, func() { c.Close() })
	defer stop()
	c.SetReadDeadline(time.Now().Add(timeout))
	_, err := reader.ReadByte()
	return err == nil
}
