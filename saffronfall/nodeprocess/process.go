// Package nodeprocess runs the role of a node that serves turns and tool calls of programs.
//
// It connects the state machine of peer/node to sockets, clocks and replicas. One goroutine,
// process.run, calls the machine and owns all mutable state; the others reach it over channels.
// Start reading at Run and process.run.
package nodeprocess

import (
	"context"
	crypto "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"saffronfall/peer/clock"
	"saffronfall/peer/httpserver"
	"saffronfall/peer/node"
	"saffronfall/peer/operator"
	"saffronfall/peer/replica"
	"saffronfall/peer/requester"
	"saffronfall/peer/stream"
	"saffronfall/saffronfall/params"
	"saffronfall/saffronfall/telemetry"
)

type request struct {
	spec   node.Request
	frames chan node.Frame
	// gone is closed when the requester is gone.
	gone <-chan struct{}
}

const (
	// framesPerRequest is how far a requester may fall behind before its request is cancelled.
	framesPerRequest = 256
	maxMessageBytes  = 64 << 20
	// maxResponseRatio bounds a replica's response, in sizes of the largest request.
	maxResponseRatio  = 16
	incarnationBytes  = 6
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = time.Second
	readinessTimeout  = time.Second
	// ticksPerPull is how often the machine is called during a pull interval.
	ticksPerPull = 15
)

type process struct {
	params          params.Params
	updates         <-chan params.Params
	refusedVersions telemetry.RefusedVersions
	log             logr.Logger
	machine         *node.Machine
	streams         *stream.Transport
	sender          *replica.Sender
	start           time.Duration
	requests        chan request
	cancelled       chan uint64
	events          chan node.AttemptEvent
	calls           chan func(now time.Duration) node.Output
	// ctx ends with the run method.
	ctx   context.Context
	drain chan struct{}

	// pending is keyed by ticket.
	pending        map[uint64]chan node.Frame
	attempts       map[uint64]context.CancelFunc
	lastTicket     uint64
	sent           int64
	dropped        int64
	received       int64
	incoming       stream.Counters
	slowRequesters int64
	version        uint64
	ready          bool
	breaker        string
}

// Run runs the role until ctx ends, then drains it. Settings received on updates replace p. The
// error is nil or that of a listener.
func Run(ctx context.Context, p params.Params, updates <-chan params.Params, log logr.Logger) error {
	raw := make([]byte, incarnationBytes)
	if _, err := crypto.Read(raw); err != nil {
		return err
	}
	streams, err := stream.Listen(stream.Params{Listen: p.PeerListen, Advertise: p.PeerAdvertise, Secret: p.FleetSecret,
		QueueSize: int(p.BufferSize), MaxMessageBytes: maxMessageBytes, Timeout: p.Node().AnnouncementMaxAge, MaxHandshakes: int(p.StreamHandshakes)})
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancel(context.Background())
	s := &process{
		params: p, updates: updates, log: log, streams: streams,
		start: clock.Now(), ctx: runCtx, drain: make(chan struct{}, 1), breaker: "closed",
		requests: make(chan request, p.BufferSize), cancelled: make(chan uint64, p.BufferSize),
		events: make(chan node.AttemptEvent, p.BufferSize),
		calls:  make(chan func(time.Duration) node.Output, 64), pending: map[uint64]chan node.Frame{},
		attempts: map[uint64]context.CancelFunc{},
		sender:   replica.NewSender(&net.Dialer{Timeout: p.Node().AnnouncementMaxAge}, p.MaxRequestBytes*maxResponseRatio),
	}
	s.machine = node.New(node.Options{
		Params: p.Node(), ID: p.ID, Incarnation: hex.EncodeToString(raw), Zone: p.Zone,
		Address: p.PeerAdvertise, HTTP: p.RequesterAdvertise, Host: hostIdentity(p.PeerListen), Seeds: p.Seeds,
		Now: s.now(), Random: rand.Float64,
	})
	log.Info("node started", "id", p.ID, "incarnation", s.machine.Incarnation())

	var group run.Group
	group.Add(func() error { return s.run(ctx) }, func(error) { cancel() })
	group.Add(streams.Run, func(error) { streams.Close() })
	mux := http.NewServeMux()
	mux.Handle("/", requester.Handler(s, p.MaxRequestBytes))
	mux.Handle("POST /v1/replicas", replica.AnnouncementHandler(p.ReplicaKey, s.announce))
	listen := func(address string, handler http.Handler, limits httpserver.Limits, name string) {
		server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
		group.Add(func() error {
			if err := httpserver.ListenAndServe(server, limits); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrap(err, name)
			}
			return nil
		}, func(error) {
			shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
			defer cancel()
			server.Shutdown(shutdownCtx)
			server.Close()
		})
	}
	listen(p.RequesterListen, mux, p.RequesterLimits(p.MaxConnections), "requester address")
	listen(p.OperatorListen, operator.RequireKey(p.OperatorKey, s.operatorHandler()), p.OperatorLimits(), "operator address")
	return group.Run()
}

// hostIdentity identifies a listen address, where only one process at a time can listen, within a
// boot and a network namespace. It is empty if one of them is unknown.
func hostIdentity(listen string) string {
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	network, err := os.Readlink("/proc/self/ns/net")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(boot)) + " " + network + " " + listen
}

func (s *process) now() time.Duration { return clock.Now() - s.start }

// run is the event loop. When ctx ends or an operator asks for it, run drains the node, and returns
// once that is done or the grace period is over.
func (s *process) run(ctx context.Context) error {
	runtime.LockOSThread()
	ticker := time.NewTicker(s.params.Core().PullInterval / ticksPerPull)
	defer ticker.Stop()
	stop, drain := ctx.Done(), s.drain
	var drainDeadline time.Duration
	shutDown := false
	for {
		select {
		case in := <-s.streams.In:
			s.received++
			s.apply(s.machine.Receive(s.now(), in.From, in.Body))
		case r := <-s.requests:
			s.lastTicket++
			ticket := s.lastTicket
			s.pending[ticket] = r.frames
			go s.watchRequester(ticket, r.gone)
			s.apply(s.machine.Submit(s.now(), ticket, r.spec))
		case ticket := <-s.cancelled:
			delete(s.pending, ticket)
			s.apply(s.machine.CancelRequest(s.now(), ticket))
		case e := <-s.events:
			s.apply(s.machine.HandleAttemptEvent(s.now(), e))
			if e.Kind != node.EventChunk {
				if cancel, ok := s.attempts[e.Attempt]; ok {
					cancel()
					delete(s.attempts, e.Attempt)
				}
			}
		case call := <-s.calls:
			s.apply(call(s.now()))
		case s.params = <-s.updates:
			s.apply(s.machine.UpdateParams(s.params.Node()))
		case c := <-s.streams.Counts:
			s.incoming.Add(c)
			s.refusedVersions.Record(c, s.log)
		case <-ticker.C:
			s.apply(s.machine.Tick(s.now()))
			s.logChanges()
			if drainDeadline > 0 && s.now() >= drainDeadline {
				s.log.Info("grace period is over; requests in flight are ended", "requests", len(s.pending))
				s.apply(s.machine.Shutdown(s.now()))
				drainDeadline = s.now() + s.params.Core().AttemptTimeout
				if shutDown {
					return nil
				}
				shutDown = true
			}
			if s.machine.Drained(s.now()) {
				s.log.Info("node stopped", "requests", len(s.pending))
				return nil
			}
		case <-stop:
			stop, drain, drainDeadline = nil, nil, s.startDrain()
		case <-drain:
			stop, drain, drainDeadline = nil, nil, s.startDrain()
		case <-s.ctx.Done():
			return nil
		}
	}
}

// startDrain returns the end of the grace period.
func (s *process) startDrain() time.Duration {
	s.log.Info("node is draining")
	s.apply(s.machine.Drain(s.now()))
	return s.now() + s.params.Grace()
}

func (s *process) logChanges() {
	if state := s.machine.BreakerState(); state != s.breaker {
		s.breaker = state
		s.log.Info("breaker", "state", state)
	}
	if v := s.machine.ConfigurationVersion(); v != s.version {
		s.version = v
		s.log.Info("configuration in force", "version", v)
	}
	if ready := s.machine.Ready(s.now()); ready != s.ready {
		s.ready = ready
		s.log.Info("readiness", "ready", ready, "incarnation", s.machine.Incarnation())
	}
}

// watchRequester cancels a request when its requester is gone.
func (s *process) watchRequester(ticket uint64, gone <-chan struct{}) {
	select {
	case <-gone:
	case <-s.ctx.Done():
		return
	}
	select {
	case s.cancelled <- ticket:
	case <-s.ctx.Done():
	}
}

func (s *process) apply(o node.Output) {
	for _, send := range o.Sends {
		if send.To == s.params.PeerAdvertise {
			s.apply(s.machine.Receive(s.now(), send.To, send.Body))
			continue
		}
		s.sent++
		if !s.streams.Send(send.To, send.Body) {
			s.dropped++
		}
	}
	for _, r := range o.Responses {
		frames, ok := s.pending[r.Ticket]
		if !ok {
			continue
		}
		select {
		case frames <- r.Frame:
			if r.Frame.Last() {
				delete(s.pending, r.Ticket)
				close(frames)
			}
		default:
			s.slowRequesters++
			delete(s.pending, r.Ticket)
			close(frames)
			s.apply(s.machine.CancelRequest(s.now(), r.Ticket))
		}
	}
	for _, attempt := range o.Attempts {
		ctx, cancel := context.WithCancel(s.ctx)
		s.attempts[attempt.Attempt] = cancel
		go s.sender.Send(ctx, attempt, func(e node.AttemptEvent) {
			select {
			case s.events <- e:
			case <-s.ctx.Done():
			}
		})
	}
	for _, attempt := range o.Cancels {
		if cancel, ok := s.attempts[attempt]; ok {
			cancel()
			delete(s.attempts, attempt)
		}
	}
}

func (s *process) Submit(ctx context.Context, spec node.Request) (<-chan node.Frame, bool) {
	frames := make(chan node.Frame, framesPerRequest)
	select {
	case s.requests <- request{spec: spec, frames: frames, gone: ctx.Done()}:
		return frames, true
	default:
		return nil, false
	}
}

func (s *process) announce(ctx context.Context, r node.Replica, token string) (node.AnnounceReply, error) {
	return runInLoop(ctx, s, func(now time.Duration) node.AnnounceReply { return s.machine.Announce(now, r, token) })
}

// runInLoop calls step on the goroutine of run.
func runInLoop[T any](ctx context.Context, s *process, step func(now time.Duration) T) (T, error) {
	result := make(chan T, 1)
	var none T
	select {
	case s.calls <- func(now time.Duration) node.Output {
		result <- step(now)
		return node.Output{}
	}:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case value := <-result:
		return value, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (s *process) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	ready, err := runInLoop(ctx, s, func(now time.Duration) bool { return s.machine.Ready(now) })
	return err == nil && ready
}

func (s *process) Counters(ctx context.Context) (any, error) {
	return runInLoop(ctx, s, func(now time.Duration) map[string]any {
		counts := s.machine.Status(now)
		counts["sent"], counts["dropped"], counts["received"], counts["slow_requesters"] =
			s.sent, s.dropped, s.received, s.slowRequesters
		counts["bad_streams"], counts["accept_failures"] = s.incoming.BadStreams, s.incoming.AcceptFailures
		return counts
	})
}

func (s *process) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/drain", operator.DrainHandler(s.drain))
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, r *http.Request) {
		counts, err := s.Counters(r.Context())
		if err != nil {
			operator.WriteJSON(w, http.StatusServiceUnavailable, operator.ErrorResponse{
				Code:     "unsure",
				Reason:   err.Error(),
				Executed: "no",
			})
			return
		}
		operator.WriteJSON(w, http.StatusOK, counts)
	})
	return mux
}
