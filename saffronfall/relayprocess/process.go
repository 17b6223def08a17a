// Package relayprocess is the role of a node that relays requests by a routing
// table: a thin shell round the relay's machine.
package relayprocess

import (
	"context"
	crypto "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"saffronfall/peer/clock"
	"saffronfall/peer/front"
	"saffronfall/peer/operator"
	"saffronfall/peer/relay"
	"saffronfall/peer/replica"
	"saffronfall/peer/stream"
	"saffronfall/rule/invariant"
	"saffronfall/saffronfall/params"
	"saffronfall/saffronfall/telemetry"
)

type told struct {
	step relay.Step
	line *replica.Pool
	at   time.Duration
}

// taken is a step as its request's goroutine takes it up: some of its time may have
// passed since the owner made it.
func (t told) taken() (relay.Step, *replica.Pool, bool) {
	if t.step.Kind == relay.StepSend {
		t.step.Timeout -= clock.Now() - t.at
	}
	return t.step, t.line, true
}

// left is how much of its time a request still has when the owner takes it: reading
// its body and waiting for the owner took some.
func left(a relay.Request, now time.Duration) time.Duration {
	if a.Remaining <= 0 {
		return a.Remaining
	}
	if rest := a.Remaining - (now - a.HeadReceived); rest > 0 {
		return rest
	}
	return -1
}

type came struct {
	ticket  uint64
	outcome relay.Outcome
}

type process struct {
	params  params.Params
	adopt   <-chan params.Params
	log     logr.Logger
	machine *relay.Machine
	streams *stream.Transport
	start   time.Duration
	arrive  chan *way
	came    chan came
	gone    chan uint64
	calls   chan func(now time.Duration)
	closing chan struct{}
	life    context.Context

	waiting map[uint64]*way
	lines   map[string]*line
	next    uint64
	messages
	observer   *observer
	violations *invariant.Counter
	number     uint64
	ready      bool
}

// messages counts what was said to and by other processes of the fleet.
type messages struct{ sent, dropped, bad int64 }

type line struct {
	*replica.Pool
	address string
	usedAt  time.Duration
}

// Run runs the role until the context ends, then drains it. Names are the
// headers that requesters and replicas speak with.
func Run(ctx context.Context, p params.Params, adopt <-chan params.Params, log logr.Logger, names replica.Headers) error {
	raw := make([]byte, 6)
	if _, err := crypto.Read(raw); err != nil {
		return err
	}
	streams, err := stream.Listen(stream.Params{Listen: p.PeerListen, Advertise: p.PeerAdvertise, Secret: p.FleetSecret,
		QueueSize: int(p.BufferSize), MaxMessageBytes: 64 << 20, Timeout: 2 * p.Core().PullInterval})
	if err != nil {
		return err
	}
	life, cancel := context.WithCancel(context.Background())
	s := &process{params: p, adopt: adopt, log: log, streams: streams, start: clock.Now(), life: life, closing: make(chan struct{}),
		arrive: make(chan *way, 64), came: make(chan came, 64), gone: make(chan uint64, 64), calls: make(chan func(time.Duration), 16),
		waiting: map[uint64]*way{}, lines: map[string]*line{}}
	s.violations = telemetry.NewViolationCounts(p.StrictInvariants, log)
	s.observer = newObserver(p.FleetSecret, hex.EncodeToString(raw), int(p.MaxFailures), log)
	s.machine = relay.New(relay.Options{Params: p.RelayNode(), ID: p.ID, Incarnation: hex.EncodeToString(raw), Zone: p.Zone, Address: p.PeerAdvertise, Seeds: p.Seeds, Now: s.now(), Random: rand.Float64, Violated: s.violations.Report})
	log.Info("relay started", "id", p.ID)

	var group run.Group
	group.Add(func() error { return s.own() }, func(error) { cancel() })
	group.Add(streams.Run, func(error) { streams.Close() })
	telemetry.Serve(&group, p.MetricsListen, telemetry.Source{Role: "node", Snapshot: s.snapshot, Set: s.observer.set}, log)
	handler := front.Handler(front.Options{Dispatcher: s, Headers: names, HashKey: hashKey(p.FleetSecret), MaxBody: p.MaxRequestBytes, Draining: s.closing,
		BodyTimeout: time.Duration(p.BodyTimeoutMS) * time.Millisecond, IntakeBytes: p.IntakeBytes, OnRejected: s.rejected, Violated: s.violated})
	server := &http.Server{Addr: p.RequesterListen, Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 1 << 20}
	serve(&group, server, func(server *http.Server) error { return front.Serve(server, int(p.MaxConnections)) }, "requester address")
	if p.ReadyListen != "" {
		serve(&group, &http.Server{Addr: p.ReadyListen, Handler: http.HandlerFunc(s.tellReady), ReadHeaderTimeout: 5 * time.Second}, (*http.Server).ListenAndServe, "readiness address")
	}
	if p.OperatorListen != "" && p.OperatorKey != "" {
		serve(&group, &http.Server{Addr: p.OperatorListen, Handler: operator.RequireKey(p.OperatorKey, s.operators()), ReadHeaderTimeout: 5 * time.Second}, (*http.Server).ListenAndServe, "operator address")
	}
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-life.Done():
			return nil
		}
		s.drain(server)
		return nil
	}, func(error) { cancel() })
	return group.Run()
}

func serve(group *run.Group, server *http.Server, listen func(*http.Server) error, what string) {
	ended := make(chan struct{})
	group.Add(func() error {
		if err := listen(server); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, what)
		}
		<-ended
		return nil
	}, func(error) {
		server.Close()
		close(ended)
	})
}

// drain says that this node is not ready, and goes on until nobody sends new
// connections here and what runs has ended.
func (s *process) drain(server *http.Server) {
	s.log.Info("relay leaves")
	var p params.Params
	if s.look(s.life, func(time.Duration) {
		s.machine.Drain()
		p = s.params
	}) != nil {
		// The owner has ended, and all requests with it.
		return
	}
	close(s.closing)
	wait := time.NewTimer(time.Duration(p.NotReadyDelayMS) * time.Millisecond)
	<-wait.C
	ending, cancel := context.WithTimeout(context.Background(), p.Grace())
	defer cancel()
	err := server.Shutdown(ending)
	s.log.Info("relay stopped", "whole", err == nil)
}

func (s *process) now() time.Duration { return clock.Now() - s.start }

// own is the one goroutine that drives the machine.
func (s *process) own() error {
	ticker := time.NewTicker(s.params.Core().PullInterval / 3)
	defer ticker.Stop()
	for {
		select {
		case in := <-s.streams.In:
			s.take(s.machine.Receive(s.now(), in.From, in.Body))
		case w := <-s.arrive:
			s.next++
			w.ticket = s.next
			s.waiting[w.ticket] = w
			w.ask.Remaining = left(w.ask, clock.Now())
			s.take(s.machine.HandleRequest(s.now(), w.ticket, w.ask))
		case c := <-s.came:
			s.take(s.machine.HandleOutcome(s.now(), c.ticket, c.outcome))
		case ticket := <-s.gone:
			s.take(s.machine.Cancel(s.now(), ticket))
		case call := <-s.calls:
			call(s.now())
		case s.params = <-s.adopt:
		case c := <-s.streams.Counts:
			s.bad += c.BadStreams
		case <-ticker.C:
			now := s.now()
			s.take(s.machine.Tick(now))
			s.report(now)
		case <-s.life.Done():
			return nil
		}
	}
}

func (s *process) report(now time.Duration) {
	if number := s.machine.TableNumber(); number != s.number {
		s.number = number
		s.log.Info("routing table in force", "number", number)
	}
	if ready := s.machine.Ready(now); ready != s.ready {
		s.ready = ready
		s.log.Info("readiness", "ready", ready, "knows", s.machine.Describe(now))
	}
	for id, l := range s.lines {
		if now > l.usedAt+time.Minute {
			l.Close()
			delete(s.lines, id)
		}
	}
}

func (s *process) take(o relay.Output) {
	for _, send := range o.Sends {
		s.sent++
		if !s.streams.Send(send.To, send.Body) {
			s.dropped++
		}
	}
	now := s.now()
	for _, e := range o.Completions {
		s.observer.ended(now, e)
	}
	for _, r := range o.Steps {
		w, ok := s.waiting[r.Ticket]
		if !ok {
			continue
		}
		t := told{step: r.Step, at: clock.Now()}
		if r.Step.Kind == relay.StepSend {
			t.line = s.lineTo(r.Step)
		} else {
			delete(s.waiting, r.Ticket)
		}
		w.answers <- t
	}
}

func (s *process) lineTo(step relay.Step) *replica.Pool {
	l := s.lines[step.Replica.ID]
	if l != nil && l.address != step.Replica.Address {
		l.Close()
		l = nil
	}
	if l == nil {
		l = &line{Pool: replica.NewPool(step.Replica.Address, 32, time.Duration(s.params.DialTimeoutMS)*time.Millisecond), address: step.Replica.Address}
		s.lines[step.Replica.ID] = l
	}
	l.usedAt = s.now()
	return l.Pool
}

// way is one request, as its own goroutine sees it.
type way struct {
	process *process
	ctx     context.Context
	ask     relay.Request
	ticket  uint64
	answers chan told
}

// Dispatch hands a request to the owner's goroutine and waits for its first step.
func (s *process) Dispatch(ctx context.Context, a relay.Request) (front.DispatchedRequest, relay.Step, *replica.Pool, bool) {
	w := &way{process: s, ctx: ctx, ask: a, answers: make(chan told, 2)}
	select {
	case s.arrive <- w:
	case <-s.life.Done():
		return nil, relay.Step{}, nil, false
	}
	step, line, ok := w.wait()
	return w, step, line, ok
}

func (w *way) wait() (relay.Step, *replica.Pool, bool) {
	select {
	case t := <-w.answers:
		return t.taken()
	case <-w.process.life.Done():
		return relay.Step{}, nil, false
	case <-w.ctx.Done():
	}
	select {
	case t := <-w.answers:
		return t.taken()
	case w.process.gone <- w.ticketOf():
	case <-w.process.life.Done():
		return relay.Step{}, nil, false
	}
	select {
	case t := <-w.answers:
		return t.taken()
	case <-w.process.life.Done():
		return relay.Step{}, nil, false
	}
}

func (w *way) ticketOf() uint64 {
	got := make(chan uint64, 1)
	select {
	case w.process.calls <- func(time.Duration) { got <- w.ticket }:
	case <-w.process.life.Done():
		return 0
	}
	select {
	case ticket := <-got:
		return ticket
	case <-w.process.life.Done():
		return 0
	}
}

// violated takes a violated invariant from a request's goroutine.
func (s *process) violated(v invariant.Violation) {
	select {
	case s.calls <- func(time.Duration) { s.violations.Report(v) }:
	case <-s.life.Done():
	}
}

// rejected takes a request that did not arrive whole.
func (s *process) rejected(e relay.Completion) {
	select {
	case s.calls <- func(now time.Duration) { s.observer.ended(now, e) }:
	case <-s.life.Done():
	}
}

// Next reports the outcome of an attempt and waits for the next step.
func (w *way) Next(o relay.Outcome) (relay.Step, *replica.Pool, bool) {
	select {
	case w.process.came <- came{ticket: w.ticket, outcome: o}:
	case <-w.process.life.Done():
		return relay.Step{}, nil, false
	}
	return w.wait()
}

func (s *process) look(ctx context.Context, of func(now time.Duration)) error {
	done := make(chan struct{})
	select {
	case s.calls <- func(now time.Duration) {
		of(now)
		close(done)
	}:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *process) tellReady(w http.ResponseWriter, r *http.Request) {
	ready := false
	ctx, cancel := context.WithTimeout(r.Context(), time.Second)
	defer cancel()
	if err := s.look(ctx, func(now time.Duration) { ready = s.machine.Ready(now) }); err != nil || !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *process) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, r *http.Request) {
		told, err := s.snapshot(r.Context())
		if err != nil {
			operator.WriteJSON(w, 503, operator.ErrorResponse{Code: "unsure", Reason: err.Error(), Executed: "no"})
			return
		}
		operator.WriteJSON(w, 200, told.Values)
	})
	return mux
}

// snapshot is what this process counts now.
func (s *process) snapshot(ctx context.Context) (told telemetry.Snapshot, err error) {
	err = s.look(ctx, func(now time.Duration) {
		told = telemetry.Snapshot{Values: s.machine.Status(now), Violations: telemetry.ViolationCounts(s.violations), Failures: s.observer.failures()}
		told.Values["messages_sent"], told.Values["messages_dropped"], told.Values["bad_streams"] = s.sent, s.dropped, s.bad
	})
	return told, err
}
