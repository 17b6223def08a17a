package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Tenants of the routing table. Rate is in requests a second.
const (
	tenantFirst   = "first"
	tenantSecond  = "second"
	tenantLimited = "limited"
	limitedRate   = 20
	limitedBurst  = 20
)

// deadline is sent with each request.
const deadline = 2500 * time.Millisecond

// answerGrace is how long after its deadline a request may still be unanswered.
const answerGrace = 1500 * time.Millisecond

func keyOf(tenant string) string { return "key of " + tenant }

const requestHost = "soak.example"

type connection struct {
	net.Conn
	reader *bufio.Reader
	node   *process
	// untilGone: the connection is used although an answer announced its end.
	untilGone bool
}

func dialNode(node *process) (*connection, error) {
	port := requesterPort
	if rand.IntN(2) == 0 {
		port = relayedRequesterPort
	}
	c, err := net.DialTimeout("tcp", node.address(port), time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReader(c), node: node}, nil
}

// head formats the request line and the headers, with more at the end.
func (req *request) head(key string, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nSaffronfall-Attempt: %s\r\nSaffronfall-Key: %s\r\nSaffronfall-Deadline-Ms: %d\r\n",
		req.Method, req.Path, requestHost, req.Attempt, key, deadline.Milliseconds())
	if req.Program != "" {
		fmt.Fprintf(&b, "Saffronfall-Program: %s\r\nSaffronfall-Budget: %d\r\nSaffronfall-Tokens: 10,%d\r\n", req.Program, req.Budget, turnTokens)
	}
	if req.Previous != "" {
		fmt.Fprintf(&b, "Saffronfall-Previous: %s\r\n", req.Previous)
	}
	if req.OperationKey != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", operationKeyHeader, req.OperationKey)
	}
	for _, line := range more {
		b.WriteString(line + "\r\n")
	}
	if req.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(req.Body))
	}
	return b.String() + "\r\n"
}

// recordStart records a request. It must be called before any byte of it is sent.
func (f *Fleet) recordStart(req *request, node *process) {
	req.Node, req.Began, req.Ended = node.name, f.now(), -1
	f.update(func(r *record) { r.Requests = append(r.Requests, req) })
}

func (f *Fleet) recordEnd(req *request, end result) {
	end.Ended = f.now()
	f.update(func(*record) { req.result = end })
}

// ask reports whether the connection can be reused.
func (f *Fleet) ask(c *connection, req *request) bool {
	f.recordStart(req, c.node)
	c.SetDeadline(time.Now().Add(deadline + answerGrace + time.Second))
	if _, err := io.WriteString(c, req.head(keyOf(req.Tenant))+req.Body); err != nil {
		f.recordEnd(req, result{})
		return false
	}
	return f.answer(c, req)
}

// answer reports whether the connection can be reused.
func (f *Fleet) answer(c *connection, req *request) bool {
	got, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
	if err != nil {
		f.recordEnd(req, result{})
		return false
	}
	body, err := io.ReadAll(got.Body)
	// judgeRepeats checks the seals of requests with operation keys.
	seal := got.Header.Get("Saffronfall-Seal")
	if err == nil && got.StatusCode == http.StatusOK && req.OperationKey == "" && seal != "seal-"+req.Attempt {
		f.recordBreach(RuleAnswers, "attempt %s at %s got a success with seal %q", req.Attempt, req.Node, seal)
	}
	if id := got.Header.Get("Saffronfall-Attempt"); id != "" && id != req.Attempt {
		f.recordBreach(RuleAnswers, "attempt %s at %s got the answer to %s", req.Attempt, req.Node, id)
	}
	f.recordEnd(req, result{Status: got.StatusCode, Whole: err == nil, Answer: string(body), Seal: seal})
	return err == nil && (c.untilGone || !got.Close)
}

func (f *Fleet) anyNode() *process {
	nodes := f.withRole(roleNode)
	return nodes[rand.IntN(len(nodes))]
}

// requester is one simulated requester. With keepAlive it reuses its connection.
type requester struct {
	fleet     *Fleet
	tenant    string
	name      string
	count     int
	keepAlive bool
	idle      *connection
}

func (r *requester) attempt() string {
	r.count++
	return fmt.Sprintf("%s-%d", r.name, r.count)
}

func (r *requester) send(req *request) *request {
	c := r.idle
	r.idle = nil
	if c == nil {
		var err error
		if c, err = dialNode(r.fleet.anyNode()); err != nil {
			return req
		}
	}
	if r.fleet.ask(c, req) && r.keepAlive {
		r.idle = c
		return req
	}
	c.Close()
	return req
}

func (r *requester) close() {
	if r.idle != nil {
		r.idle.Close()
		r.idle = nil
	}
}

func (r *requester) request(kind, method, body string) *request {
	return &request{Attempt: r.attempt(), Kind: kind, Tenant: r.tenant, Method: method, Path: "/" + kind + "/x", Body: body}
}

// run calls step until the context ends, with random pauses shorter than maxPause.
func (r *requester) run(ctx context.Context, step func(ctx context.Context), maxPause time.Duration) {
	defer r.close()
	for ctx.Err() == nil {
		step(ctx)
		pause(ctx, time.Duration(rand.Int64N(int64(maxPause))))
	}
}

func (r *requester) alert(context.Context) { r.send(r.request(kindAlert, http.MethodGet, "")) }

func (r *requester) once(context.Context) {
	r.send(r.request(kindOnce, http.MethodPost, "notice of "+r.name+strings.Repeat("-", rand.IntN(2000))))
}

// program runs turns of one program, at most until its token budget is spent.
func (r *requester) program(ctx context.Context) {
	program := "p-" + r.attempt()
	budget := int64(turnTokens*3 + 20)
	for turns := 0; turns < 8 && ctx.Err() == nil; turns++ {
		req := r.request(kindChat, http.MethodPost, "say more")
		req.Program, req.Budget = program, budget
		if r.send(req); req.Status == http.StatusPaymentRequired {
			return
		}
	}
}

// conversation runs turns that each continue the last one that succeeded.
func (r *requester) conversation(ctx context.Context) {
	previous, before := "", ""
	for turns := 0; turns < 6 && ctx.Err() == nil; turns++ {
		req := r.request(kindKept, http.MethodPost, fmt.Sprintf("turn %d of %s;", turns, r.tenant))
		req.Previous, req.Before = previous, before
		if r.send(req); req.Whole && req.Status == http.StatusOK {
			previous, before = req.Attempt, before+req.Body+eventText(req.Answer)
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// eventText returns the data of a stream's events as lines.
func eventText(stream string) string {
	var text strings.Builder
	for _, line := range strings.Split(stream, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			text.WriteString(data + "\n")
		}
	}
	return text.String()
}

// startRequesters also starts an operator. It returns a function that stops all of them and a
// channel that is closed once all have returned.
func (f *Fleet) startRequesters(parent context.Context) (stop context.CancelFunc, stopped <-chan struct{}) {
	ctx, cancel := context.WithCancel(parent)
	done, count := make(chan struct{}), 0
	start := func(run func()) {
		count++
		go func() {
			run()
			done <- struct{}{}
		}()
	}
	for i := range 2 {
		for _, tenant := range []string{tenantFirst, tenantSecond} {
			// The tenants share attempt ids, which are unique within a tenant only.
			named := func(kind string) *requester {
				return &requester{fleet: f, tenant: tenant, name: fmt.Sprintf("%s%d", kind, i), keepAlive: i == 0}
			}
			alerts, notices, programs, conversations := named("a"), named("o"), named("c"), named("k")
			start(func() { alerts.run(ctx, alerts.alert, 60*time.Millisecond) })
			start(func() { notices.run(ctx, notices.once, 60*time.Millisecond) })
			start(func() { programs.run(ctx, programs.program, 100*time.Millisecond) })
			start(func() { conversations.run(ctx, conversations.conversation, 100*time.Millisecond) })
		}
	}
	for _, tenant := range []string{tenantFirst, tenantSecond} {
		for _, kind := range keyedKinds {
			// The tenants share operation keys, which are unique within a tenant only.
			operations := newOperationRequester(f, kind, tenant, kind)
			start(func() { operations.run(ctx) })
		}
	}
	for i := range 3 {
		flood := &requester{fleet: f, tenant: tenantLimited, name: fmt.Sprint("l", i), keepAlive: true}
		start(func() { flood.run(ctx, flood.alert, 20*time.Millisecond) })
	}
	start(func() { f.runMisbehaving(ctx) })
	start(func() { f.operator.operate(ctx) })
	allStopped := make(chan struct{})
	go func() {
		for range count {
			<-done
		}
		close(allStopped)
	}()
	return cancel, allStopped
}
