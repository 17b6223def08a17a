// Package relayprocess runs the role of a node that relays requests by a routing table.
//
// It connects the state machine of peer/relay to sockets, clocks and replicas. One goroutine,
// process.run, calls the machine and owns all mutable state. Each request has a goroutine of its
// own, which hands its events to process.run over channels. Start reading at Run and process.run.
package relayprocess

import (
	"context"
	crypto "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"saffronfall/peer/clock"
	"saffronfall/peer/front"
	"saffronfall/peer/httpserver"
	"saffronfall/peer/operator"
	"saffronfall/peer/relay"
	"saffronfall/peer/replica"
	"saffronfall/peer/stream"
	"saffronfall/rule/invariant"
	"saffronfall/saffronfall/params"
	"saffronfall/saffronfall/role"
	"saffronfall/saffronfall/telemetry"
)

type nextStep struct {
	step relay.Step
	// pool is nil unless the step is a StepSend.
	pool      *replica.Pool
	createdAt time.Duration
}

// unpack reduces the step's timeout by the time since it was created.
func (n nextStep) unpack() (relay.Step, *replica.Pool, bool) {
	if n.step.Kind == relay.StepSend {
		n.step.Timeout -= clock.Now() - n.createdAt
	}
	return n.step, n.pool, true
}

// remaining returns the time left to a request's deadline, or -1 if it has passed. Reading its body
// and waiting for process.run count against the deadline.
func remaining(r relay.Request, now time.Duration) time.Duration {
	if r.Remaining <= 0 {
		return r.Remaining
	}
	if rest := r.Remaining - (now - r.HeadReceived); rest > 0 {
		return rest
	}
	return -1
}

type attemptOutcome struct {
	ticket  uint64
	outcome relay.Outcome
}

type process struct {
	params    params.Params
	updates   <-chan params.Params
	log       logr.Logger
	machine   *relay.Machine
	streams   *stream.Transport
	start     time.Duration
	requests  chan *request
	outcomes  chan attemptOutcome
	cancelled chan uint64
	calls     chan func(now time.Duration)
	draining  chan struct{}
	// ctx ends with the run method.
	ctx context.Context

	pending    map[uint64]*request
	pools      map[string]*pool
	lastTicket uint64
	messageCounts
	observer   *observer
	violations *invariant.Counter
	loggedState
}

// loggedState is what was last logged.
type loggedState struct {
	tableNumber      uint64
	unreadableTables telemetry.UnreadableTables
	ready            bool
	report           telemetry.StartReport
}

type messageCounts struct {
	sent, dropped int64
	incoming      stream.Counters
}

type pool struct {
	*replica.Pool
	address string
	usedAt  time.Duration
}

const (
	maxMessageBytes        = 64 << 20
	connectionsPerReplica  = 32
	incarnationBytes       = 6
	maxHeaderBytes         = 1 << 20
	requesterHeaderTimeout = 10 * time.Second
	readHeaderTimeout      = 5 * time.Second
	readinessTimeout       = time.Second
	// ticksPerPull is how often the machine is called during a pull interval.
	ticksPerPull = 3
	// poolIdleTimeout is how long a pool is kept after its last attempt.
	poolIdleTimeout = time.Minute
)

// Run runs the role until ctx ends, then drains it. Settings received on updates replace p. Names
// are the HTTP headers exchanged with requesters and replicas. The error is nil or that of a
// listener.
func Run(ctx context.Context, p params.Params, updates <-chan params.Params, log logr.Logger, names replica.Headers) error {
	raw := make([]byte, incarnationBytes)
	if _, err := crypto.Read(raw); err != nil {
		return err
	}
	streams, err := stream.Listen(stream.Params{Listen: p.PeerListen, Advertise: p.PeerAdvertise, Secret: p.FleetSecret,
		QueueSize: int(p.BufferSize), MaxMessageBytes: maxMessageBytes, Timeout: 2 * p.Core().PullInterval, MaxHandshakes: int(p.StreamHandshakes)})
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	s := &process{params: p, updates: updates, log: log, streams: streams, start: clock.Now(), ctx: runCtx,
		draining: make(chan struct{}), requests: make(chan *request, 64), outcomes: make(chan attemptOutcome, 64),
		cancelled: make(chan uint64, 64), calls: make(chan func(time.Duration), 16), pending: map[uint64]*request{},
		pools: map[string]*pool{}}
	s.violations = telemetry.NewViolationCounts(p.StrictInvariants, log)
	s.observer = newObserver(p.FleetSecret, hex.EncodeToString(raw), int(p.MaxFailures), log)
	s.machine = relay.New(relay.Options{Params: p.RelayNode(), ID: p.ID, Incarnation: hex.EncodeToString(raw), Zone: p.Zone,
		Address: p.PeerAdvertise, Seeds: p.Seeds, Now: s.now(), Random: rand.Float64, Violated: s.violations.Report})
	log.Info("relay started", "id", p.ID)

	var group run.Group
	group.Add(func() error { return s.run() }, func(error) { cancel() })
	group.Add(streams.Run, func(error) { streams.Close() })
	telemetry.Serve(&group, p.MetricsListen, p.MonitorLimits(), telemetry.Source{Role: "node", Snapshot: s.snapshot, Set: s.observer.set}, log)
	handler := front.Handler(front.Options{Dispatcher: s, Headers: names, HashKey: hashKey(p.FleetSecret),
		MaxBody: p.MaxRequestBytes, Draining: s.draining, BodyTimeout: time.Duration(p.BodyTimeoutMS) * time.Millisecond,
		IntakeBytes: p.IntakeBytes, AnswerBytes: p.AnswerBytes, OnRejected: s.rejected, Violated: s.violated})
	server := &http.Server{Addr: p.RequesterListen, Handler: handler, ReadHeaderTimeout: requesterHeaderTimeout,
		IdleTimeout: time.Minute, MaxHeaderBytes: maxHeaderBytes}
	role.AddServer(&group, server, func(server *http.Server) error {
		return front.Serve(server, p.RequesterLimits(p.MaxConnections))
	}, "requester address")
	if p.ReadyListen != "" {
		role.AddServer(&group, &http.Server{
			Addr:              p.ReadyListen,
			Handler:           http.HandlerFunc(s.serveReadiness),
			ReadHeaderTimeout: readHeaderTimeout,
		}, func(server *http.Server) error { return httpserver.ListenAndServe(server, p.MonitorLimits()) }, "readiness address")
	}
	if p.OperatorListen != "" && p.OperatorKey != "" {
		role.AddServer(&group, &http.Server{
			Addr:              p.OperatorListen,
			Handler:           operator.RequireKey(p.OperatorKey, s.operatorHandler()),
			ReadHeaderTimeout: readHeaderTimeout,
		}, func(server *http.Server) error { return httpserver.ListenAndServe(server, p.OperatorLimits()) }, "operator address")
	}
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
			return nil
		}
		s.drain(server)
		return nil
	}, func(error) { cancel() })
	return group.Run()
}

// drain reports this node as not ready, keeps accepting requests until load balancers have noticed,
// and waits for those in flight, at most for the grace period.
func (s *process) drain(server *http.Server) {
	s.log.Info("relay is draining")
	var p params.Params
	if s.runInLoop(s.ctx, func(time.Duration) {
		s.machine.Drain()
		p = s.params
	}) != nil {
		// run has returned, and all requests ended with it.
		return
	}
	close(s.draining)
	wait := time.NewTimer(time.Duration(p.NotReadyDelayMS) * time.Millisecond)
	<-wait.C
	graceCtx, cancel := context.WithTimeout(context.Background(), p.Grace())
	defer cancel()
	err := server.Shutdown(graceCtx)
	s.log.Info("relay stopped", "whole", err == nil)
}

func (s *process) now() time.Duration { return clock.Now() - s.start }

// run is the event loop.
func (s *process) run() error {
	ticker := time.NewTicker(s.params.Core().PullInterval / ticksPerPull)
	defer ticker.Stop()
	for {
		select {
		case in := <-s.streams.In:
			s.apply(s.machine.Receive(s.now(), in.From, in.Body))
		case r := <-s.requests:
			s.lastTicket++
			r.ticket = s.lastTicket
			s.pending[r.ticket] = r
			r.spec.Remaining = remaining(r.spec, clock.Now())
			s.apply(s.machine.HandleRequest(s.now(), r.ticket, r.spec))
		case o := <-s.outcomes:
			s.apply(s.machine.HandleOutcome(s.now(), o.ticket, o.outcome))
		case ticket := <-s.cancelled:
			s.apply(s.machine.Cancel(s.now(), ticket))
		case call := <-s.calls:
			call(s.now())
		case s.params = <-s.updates:
		case c := <-s.streams.Counts:
			s.incoming.Add(c)
		case <-ticker.C:
			now := s.now()
			s.apply(s.machine.Tick(now))
			s.logChanges(now)
			s.closeIdlePools(now)
		case <-s.ctx.Done():
			return nil
		}
	}
}

func (s *process) logChanges(now time.Duration) {
	if number := s.machine.TableNumber(); number != s.tableNumber {
		s.tableNumber = number
		s.log.Info("routing table in force", "number", number)
	}
	if ready := s.machine.Ready(now); ready != s.ready {
		s.ready = ready
		s.log.Info("readiness", "ready", ready, "knows", s.machine.Describe(now), "after_ms", now.Milliseconds())
	}
	s.report.Record(now, s.streams.Queued, s.log)
}

func (s *process) closeIdlePools(now time.Duration) {
	for id, p := range s.pools {
		if now > p.usedAt+poolIdleTimeout {
			p.Close()
			delete(s.pools, id)
		}
	}
}

func (s *process) apply(o relay.Output) {
	s.unreadableTables.Record(o.UnreadableTable, s.log)
	for _, send := range o.Sends {
		s.sent++
		if !s.streams.Send(send.To, send.Body) {
			s.dropped++
		}
	}
	now := s.now()
	for _, c := range o.Completions {
		s.observer.completed(now, c)
	}
	for _, result := range o.Steps {
		r, ok := s.pending[result.Ticket]
		if !ok {
			continue
		}
		next := nextStep{step: result.Step, createdAt: clock.Now()}
		if result.Step.Kind == relay.StepSend {
			next.pool = s.poolTo(result.Step)
		} else {
			delete(s.pending, result.Ticket)
		}
		r.steps <- next
	}
}

func (s *process) poolTo(step relay.Step) *replica.Pool {
	p := s.pools[step.Replica.ID]
	if p != nil && p.address != step.Replica.Address {
		p.Close()
		p = nil
	}
	if p == nil {
		p = &pool{
			Pool:    replica.NewPool(step.Replica.Address, connectionsPerReplica, time.Duration(s.params.DialTimeoutMS)*time.Millisecond),
			address: step.Replica.Address,
		}
		s.pools[step.Replica.ID] = p
	}
	p.usedAt = s.now()
	return p.Pool
}

// request is a request in flight. Its methods are called by its own goroutine; ticket and spec
// belong to process.run once the request is handed over.
type request struct {
	process *process
	ctx     context.Context
	spec    relay.Request
	ticket  uint64
	steps   chan nextStep
}

// Dispatch returns a request's first step. It returns false if the process ends first.
func (s *process) Dispatch(ctx context.Context, spec relay.Request) (front.DispatchedRequest, relay.Step, *replica.Pool, bool) {
	r := &request{process: s, ctx: ctx, spec: spec, steps: make(chan nextStep, 2)}
	select {
	case s.requests <- r:
	case <-s.ctx.Done():
		return nil, relay.Step{}, nil, false
	}
	step, pool, ok := r.wait()
	return r, step, pool, ok
}

// wait returns the next step. If the requester is gone, it cancels the request first.
func (r *request) wait() (relay.Step, *replica.Pool, bool) {
	select {
	case next := <-r.steps:
		return next.unpack()
	case <-r.process.ctx.Done():
		return relay.Step{}, nil, false
	case <-r.ctx.Done():
	}
	select {
	case next := <-r.steps:
		return next.unpack()
	case r.process.cancelled <- r.assignedTicket():
	case <-r.process.ctx.Done():
		return relay.Step{}, nil, false
	}
	select {
	case next := <-r.steps:
		return next.unpack()
	case <-r.process.ctx.Done():
		return relay.Step{}, nil, false
	}
}

// assignedTicket asks process.run, which assigns the ticket.
func (r *request) assignedTicket() uint64 {
	result := make(chan uint64, 1)
	select {
	case r.process.calls <- func(time.Duration) { result <- r.ticket }:
	case <-r.process.ctx.Done():
		return 0
	}
	select {
	case ticket := <-result:
		return ticket
	case <-r.process.ctx.Done():
		return 0
	}
}

// violated and rejected are called by requests' goroutines.
func (s *process) violated(v invariant.Violation) {
	select {
	case s.calls <- func(time.Duration) { s.violations.Report(v) }:
	case <-s.ctx.Done():
	}
}

func (s *process) rejected(c relay.Completion) {
	select {
	case s.calls <- func(now time.Duration) { s.observer.completed(now, c) }:
	case <-s.ctx.Done():
	}
}

// Next reports an attempt's outcome and returns the next step, or false if the process ends first.
func (r *request) Next(o relay.Outcome) (relay.Step, *replica.Pool, bool) {
	select {
	case r.process.outcomes <- attemptOutcome{ticket: r.ticket, outcome: o}:
	case <-r.process.ctx.Done():
		return relay.Step{}, nil, false
	}
	return r.wait()
}

// runInLoop calls step on the goroutine of run and waits until it returns.
func (s *process) runInLoop(ctx context.Context, step func(now time.Duration)) error {
	done := make(chan struct{})
	select {
	case s.calls <- func(now time.Duration) {
		step(now)
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

func (s *process) serveReadiness(w http.ResponseWriter, r *http.Request) {
	ready := false
	ctx, cancel := context.WithTimeout(r.Context(), readinessTimeout)
	defer cancel()
	if err := s.runInLoop(ctx, func(now time.Duration) { ready = s.machine.Ready(now) }); err != nil || !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *process) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, r *http.Request) {
		snapshot, err := s.snapshot(r.Context())
		if err != nil {
			operator.WriteJSON(w, http.StatusServiceUnavailable, operator.ErrorResponse{Code: "unsure", Reason: err.Error(), Executed: "no"})
			return
		}
		operator.WriteJSON(w, http.StatusOK, snapshot.Values)
	})
	return mux
}

func (s *process) snapshot(ctx context.Context) (snapshot telemetry.Snapshot, err error) {
	err = s.runInLoop(ctx, func(now time.Duration) {
		snapshot = telemetry.Snapshot{
			Values:     s.machine.Status(now),
			Violations: telemetry.ViolationCounts(s.violations),
			Failures:   s.observer.failures(),
			Sent:       s.streams.Queued(),
		}
		snapshot.Values["messages_sent"], snapshot.Values["messages_dropped"] = s.sent, s.dropped
		snapshot.Values["bad_streams"], snapshot.Values["accept_failures"] = s.incoming.BadStreams, s.incoming.AcceptFailures
	})
	return snapshot, err
}
