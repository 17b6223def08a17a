// Package nodeprocess is the node role: a thin shell round the node's machine.
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
	"saffronfall/peer/node"
	"saffronfall/peer/operator"
	"saffronfall/peer/replica"
	"saffronfall/peer/requester"
	"saffronfall/peer/stream"
	"saffronfall/saffronfall/params"
)

type inquiry struct {
	inquiry node.Request
	pieces  chan node.Frame
	gone    <-chan struct{}
}

type process struct {
	params  params.Params
	adopt   <-chan params.Params
	others  map[string]byte
	log     logr.Logger
	machine *node.Machine
	streams *stream.Transport
	sender  *replica.Sender
	start   time.Duration
	arrive  chan inquiry
	gone    chan uint64
	events  chan node.AttemptEvent
	calls   chan func(now time.Duration) node.Output
	life    context.Context
	drain   chan struct{}

	waiting  map[uint64]chan node.Frame
	shots    map[uint64]context.CancelFunc
	next     uint64
	sent     int64
	dropped  int64
	received int64
	bad      int64
	slow     int64
	version  uint64
	ready    bool
	breaker  string
}

// Run runs the role until the context ends, then drains it.
func Run(ctx context.Context, p params.Params, adopt <-chan params.Params, log logr.Logger) error {
	raw := make([]byte, 6)
	if _, err := crypto.Read(raw); err != nil {
		return err
	}
	streams, err := stream.Listen(stream.Params{Listen: p.PeerListen, Advertise: p.PeerAdvertise, Secret: p.FleetSecret,
		QueueSize: int(p.BufferSize), MaxMessageBytes: 64 << 20, Timeout: p.Node().AnnouncementMaxAge})
	if err != nil {
		return err
	}
	life, cancel := context.WithCancel(context.Background())
	s := &process{params: p, adopt: adopt, others: map[string]byte{}, log: log, streams: streams, start: clock.Now(), life: life, drain: make(chan struct{}, 1), breaker: "closed", arrive: make(chan inquiry, p.BufferSize), gone: make(chan uint64, p.BufferSize),
		events: make(chan node.AttemptEvent, p.BufferSize), calls: make(chan func(time.Duration) node.Output, 64),
		waiting: map[uint64]chan node.Frame{}, shots: map[uint64]context.CancelFunc{},
		sender: replica.NewSender(&net.Dialer{Timeout: p.Node().AnnouncementMaxAge}, p.MaxRequestBytes*16)}
	s.machine = node.New(node.Options{Params: p.Node(), ID: p.ID, Incarnation: hex.EncodeToString(raw), Zone: p.Zone, Address: p.PeerAdvertise,
		HTTP: p.RequesterAdvertise, Host: host(p.PeerListen), Seeds: p.Seeds, Now: s.now(), Random: rand.Float64})
	log.Info("node started", "id", p.ID, "incarnation", s.machine.Incarnation())

	var group run.Group
	group.Add(func() error { return s.own(ctx) }, func(error) { cancel() })
	group.Add(streams.Run, func(error) { streams.Close() })
	mux := http.NewServeMux()
	mux.Handle("/", requester.Handler(s, p.MaxRequestBytes))
	mux.Handle("POST /v1/replicas", replica.AnnouncementHandler(p.ReplicaKey, s.announce))
	listen := func(address string, handler http.Handler, what string) {
		server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
		group.Add(func() error {
			if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrap(err, what)
			}
			return nil
		}, func(error) {
			ending, done := context.WithTimeout(context.Background(), time.Second)
			defer done()
			server.Shutdown(ending)
			server.Close()
		})
	}
	listen(p.RequesterListen, mux, "requester address")
	listen(p.OperatorListen, operator.RequireKey(p.OperatorKey, s.operators()), "operator address")
	return group.Run()
}

// host names the address that this process has bound on this run of its
// machine: while it is bound here, no other process of the same machine and
// network has it.
func host(bound string) string {
	boot, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	network, err := os.Readlink("/proc/self/ns/net")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(boot)) + " " + network + " " + bound
}

// refuseVersion says once of each member that its version does not go with this
// one.
func (s *process) refuseVersion(c stream.Counters) {
	if s.others[c.PeerAddress] != c.PeerVersion {
		s.others[c.PeerAddress] = c.PeerVersion
		s.log.Info("member of another version refused; change a fleet one version at a time", "member", c.PeerAddress, "its version", c.PeerVersion, "own version", stream.Version)
	}
}

func (s *process) now() time.Duration { return clock.Now() - s.start }

func (s *process) own(ctx context.Context) error {
	runtime.LockOSThread()
	ticker := time.NewTicker(s.params.Core().PullInterval / 15)
	defer ticker.Stop()
	stop, drain := ctx.Done(), s.drain
	var leaveBy time.Duration
	quit := false
	for {
		select {
		case in := <-s.streams.In:
			s.received++
			s.take(s.machine.Receive(s.now(), in.From, in.Body))
		case q := <-s.arrive:
			s.next++
			ticket := s.next
			s.waiting[ticket] = q.pieces
			go s.watch(ticket, q.gone)
			s.take(s.machine.Submit(s.now(), ticket, q.inquiry))
		case ticket := <-s.gone:
			delete(s.waiting, ticket)
			s.take(s.machine.CancelRequest(s.now(), ticket))
		case e := <-s.events:
			s.take(s.machine.HandleAttemptEvent(s.now(), e))
			if e.Kind != node.EventChunk {
				if cancel, ok := s.shots[e.Attempt]; ok {
					cancel()
					delete(s.shots, e.Attempt)
				}
			}
		case call := <-s.calls:
			s.take(call(s.now()))
		case s.params = <-s.adopt:
			s.take(s.machine.UpdateParams(s.params.Node()))
		case c := <-s.streams.Counts:
			s.bad += c.BadStreams
			if c.VersionMismatches > 0 {
				s.refuseVersion(c)
			}
		case <-ticker.C:
			s.take(s.machine.Tick(s.now()))
			s.report()
			if leaveBy > 0 && s.now() >= leaveBy {
				s.log.Info("grace is over", "inquiries left", len(s.waiting))
				s.take(s.machine.Shutdown(s.now()))
				leaveBy = s.now() + s.params.Core().AttemptTimeout
				if quit {
					return nil
				}
				quit = true
			}
			if s.machine.Drained(s.now()) {
				s.log.Info("node stopped", "inquiries left", len(s.waiting))
				return nil
			}
		case <-stop:
			stop, drain, leaveBy = nil, nil, s.leave()
		case <-drain:
			stop, drain, leaveBy = nil, nil, s.leave()
		case <-s.life.Done():
			return nil
		}
	}
}

func (s *process) leave() time.Duration {
	s.log.Info("node leaves")
	s.take(s.machine.Drain(s.now()))
	return s.now() + s.params.Grace()
}

func (s *process) report() {
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
		s.log.Info("term", "ready", ready, "incarnation", s.machine.Incarnation())
	}
}

func (s *process) watch(ticket uint64, gone <-chan struct{}) {
	select {
	case <-gone:
	case <-s.life.Done():
		return
	}
	select {
	case s.gone <- ticket:
	case <-s.life.Done():
	}
}

func (s *process) take(o node.Output) {
	for _, send := range o.Sends {
		if send.To == s.params.PeerAdvertise {
			s.take(s.machine.Receive(s.now(), send.To, send.Body))
			continue
		}
		s.sent++
		if !s.streams.Send(send.To, send.Body) {
			s.dropped++
		}
	}
	for _, r := range o.Responses {
		pieces, ok := s.waiting[r.Ticket]
		if !ok {
			continue
		}
		select {
		case pieces <- r.Frame:
			if r.Frame.Last() {
				delete(s.waiting, r.Ticket)
				close(pieces)
			}
		default:
			s.slow++
			delete(s.waiting, r.Ticket)
			close(pieces)
			s.take(s.machine.CancelRequest(s.now(), r.Ticket))
		}
	}
	for _, shoot := range o.Attempts {
		ctx, cancel := context.WithCancel(s.life)
		s.shots[shoot.Attempt] = cancel
		go s.sender.Send(ctx, shoot, func(e node.AttemptEvent) {
			select {
			case s.events <- e:
			case <-s.life.Done():
			}
		})
	}
	for _, shot := range o.Cancels {
		if cancel, ok := s.shots[shot]; ok {
			cancel()
			delete(s.shots, shot)
		}
	}
}

// Submit hands a request to the goroutine that owns the machine.
func (s *process) Submit(ctx context.Context, q node.Request) (<-chan node.Frame, bool) {
	pieces := make(chan node.Frame, 256)
	select {
	case s.arrive <- inquiry{inquiry: q, pieces: pieces, gone: ctx.Done()}:
		return pieces, true
	default:
		return nil, false
	}
}

func (s *process) announce(ctx context.Context, r node.Replica, stamp string) (node.AnnounceReply, error) {
	return look(ctx, s, func(now time.Duration) node.AnnounceReply { return s.machine.Announce(now, r, stamp) })
}

func look[T any](ctx context.Context, s *process, of func(now time.Duration) T) (T, error) {
	got := make(chan T, 1)
	var none T
	select {
	case s.calls <- func(now time.Duration) node.Output {
		got <- of(now)
		return node.Output{}
	}:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case value := <-got:
		return value, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// Ready reports whether requesters should be sent here.
func (s *process) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	ready, err := look(ctx, s, func(now time.Duration) bool { return s.machine.Ready(now) })
	return err == nil && ready
}

// Counters are this process's counts.
func (s *process) Counters(ctx context.Context) (any, error) {
	return look(ctx, s, func(now time.Duration) map[string]any {
		c := s.machine.Status(now)
		c["sent"], c["dropped"], c["received"], c["bad_streams"], c["slow_requesters"] = s.sent, s.dropped, s.received, s.bad, s.slow
		return c
	})
}

func (s *process) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/drain", operator.DrainHandler(s.drain))
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, r *http.Request) {
		counts, err := s.Counters(r.Context())
		if err != nil {
			operator.WriteJSON(w, 503, operator.ErrorResponse{Code: "unsure", Reason: err.Error(), Executed: "no"})
			return
		}
		operator.WriteJSON(w, 200, counts)
	})
	return mux
}
