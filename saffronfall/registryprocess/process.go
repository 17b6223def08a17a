// Package registryprocess runs the role of a registry, where replicas register and operators apply
// routing tables. Operators know it as "desk" (in settings, metrics and stored data).
//
// It connects the state machine of peer/registry to sockets, clocks and a data directory. One
// goroutine, process.run, calls the machine and owns all mutable state. The stored replicas and
// peers only speed up a restart: a registry also works without them. Start reading at Run,
// process.run and process.store.
package registryprocess

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
	"saffronfall/peer/core"
	"saffronfall/peer/httpserver"
	"saffronfall/peer/registry"
	"saffronfall/peer/stream"
	"saffronfall/saffronfall/params"
	"saffronfall/saffronfall/role"
	"saffronfall/saffronfall/telemetry"
)

type process struct {
	params  params.Params
	updates <-chan params.Params
	log     logr.Logger
	machine *registry.Machine
	streams *stream.Transport
	start   time.Duration
	calls   chan func(now time.Duration) registry.Output
	// ctx ends with the run method.
	ctx        context.Context
	answers    map[uint64]chan any
	lastTicket uint64
	traffic    trafficCounts
	refusals   *refusalLog
	operator   *operatorCalls
	loggedState
	storage
}

// loggedState is what was last logged.
type loggedState struct {
	tableNumber uint64
	confirmed   bool
	unreadable  telemetry.UnreadableTables
	report      telemetry.StartReport
}

// trafficCounts counts the messages to other processes, and streams that could not be read.
type trafficCounts struct {
	sent, dropped int64
	incoming      stream.Counters
}

const (
	maxMessageBytes   = 64 << 20
	incarnationBytes  = 6
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = time.Second
	// ticksPerPull is how often the machine is called during a pull interval.
	ticksPerPull = 3
)

// callTimeout bounds reading a request, and answering it, which includes waiting for the cores.
const callTimeout = time.Minute

// Run runs the role until ctx ends. Settings received on updates replace p. The handler of
// newHandler serves replicas and operators. The error is nil or that of a listener.
func Run(
	ctx context.Context, p params.Params, updates <-chan params.Params, log logr.Logger,
	newHandler func(api registry.API) http.Handler,
) error {
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
		calls: make(chan func(time.Duration) registry.Output, 64), answers: map[uint64]chan any{}, refusals: newRefusalLog(), operator: newOperatorCalls()}
	var stored storedState
	if p.DataDir != "" {
		s.dataDir, stored = open(p.DataDir, log)
	}
	duty := s.resumeFounding(stored.founding, p.Bootstrap)
	s.machine = registry.New(registry.Options{Params: p.Registry(), ID: p.ID, Zone: p.Zone, Incarnation: hex.EncodeToString(raw),
		Address: p.PeerAdvertise, Seeds: p.Seeds, FoundingDuty: duty, KnownReplicas: stored.replicaList(), KnownPeers: stored.peers,
		Now: s.now(), Random: rand.Float64})
	log.Info("registry started", "id", p.ID, "founds", duty.MayFound)
	var group run.Group
	group.Add(func() error { return s.run() }, func(error) { cancel() })
	group.Add(streams.Run, func(error) { streams.Close() })
	telemetry.Serve(&group, p.MetricsListen, p.MonitorLimits(), telemetry.Source{Role: "desk", Snapshot: s.snapshot}, log)
	server := &http.Server{Addr: p.OperatorListen, Handler: newHandler(s), ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout: callTimeout, WriteTimeout: callTimeout, IdleTimeout: time.Minute}
	listen := func(server *http.Server) error { return httpserver.ListenAndServe(server, p.OperatorLimits()) }
	role.AddServer(&group, server, listen, "operator address")
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
			return nil
		}
		log.Info("registry is shutting down")
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		server.Shutdown(shutdownCtx)
		return nil
	}, func(error) { cancel() })
	return group.Run()
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
		case call := <-s.calls:
			s.apply(call(s.now()))
		case s.params = <-s.updates:
		case c := <-s.streams.Counts:
			s.traffic.incoming.Add(c)
		case <-ticker.C:
			now := s.now()
			s.apply(s.machine.Tick(now))
			s.logProgress(now)
		case <-s.ctx.Done():
			return nil
		}
	}
}

// logProgress logs what the registry has learned since its start, with the time that it took.
func (s *process) logProgress(now time.Duration) {
	if number := s.machine.TableNumber(); number != s.tableNumber {
		s.tableNumber = number
		s.log.Info("received a routing table", "number", number, "after_ms", now.Milliseconds())
	}
	if _, confirmed := s.machine.ConfirmationAge(now); confirmed && !s.confirmed {
		s.confirmed = true
		s.log.Info("the cores confirmed the routing table for the first time", "after_ms", now.Milliseconds())
	}
	s.report.Record(now, s.streams.Queued, s.log)
}

// apply stores changes before it sends messages and answers.
func (s *process) apply(o registry.Output) {
	s.unreadable.Record(o.UnreadableTable, s.log)
	s.store(o.ChangedReplicas, o.Peers)
	if o.FoundingDuty != nil && !s.storeFounding(*o.FoundingDuty) {
		s.machine.AbandonFounding()
		return
	}
	for _, send := range o.Sends {
		s.traffic.sent++
		if !s.streams.Send(send.To, send.Body) {
			s.traffic.dropped++
		}
	}
	for _, a := range o.Answers {
		age, _ := s.machine.ConfirmationAge(s.now())
		s.operator.end(s.now(), a, age, s.log)
		if answer, ok := s.answers[a.Ticket]; ok {
			delete(s.answers, a.Ticket)
			answer <- a.Body
		}
	}
}

// call calls step on the goroutine of run and waits for the machine's answer to the ticket.
func call[T any](
	ctx context.Context, s *process, kind callKind,
	step func(m *registry.Machine, now time.Duration, ticket uint64) registry.Output,
) (T, error) {
	var none T
	answer := make(chan any, 1)
	select {
	case s.calls <- func(now time.Duration) registry.Output {
		s.lastTicket++
		s.answers[s.lastTicket] = answer
		s.operator.start(now, s.lastTicket, kind)
		return step(s.machine, now, s.lastTicket)
	}:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case body := <-answer:
		value, ok := body.(T)
		if !ok {
			return none, errors.Newf("unexpected answer %T", body)
		}
		return value, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// errIsolated means that this registry may be unable to pass a report on. The replica should report
// to another one.
var errIsolated = errors.New("this desk can't pass it on now; tell another")

func acknowledged(ack registry.Acknowledgment, err error) error {
	if err == nil && !ack.Accepted {
		return errIsolated
	}
	return err
}

// Heartbeat records the state that a replica reports.
func (s *process) Heartbeat(ctx context.Context, r registry.Replica) error {
	return acknowledged(call[registry.Acknowledgment](ctx, s, callOther, func(m *registry.Machine, now time.Duration, ticket uint64) registry.Output {
		return m.Heartbeat(now, ticket, r)
	}))
}

// Leave removes a replica from the list.
func (s *process) Leave(ctx context.Context, id string) error {
	return acknowledged(call[registry.Acknowledgment](ctx, s, callOther, func(m *registry.Machine, now time.Duration, ticket uint64) registry.Output {
		return m.Leave(now, ticket, id)
	}))
}

// Apply replaces the routing table numbered base by the one in text.
func (s *process) Apply(ctx context.Context, base uint64, text []byte, digest string) (registry.OrderResult, error) {
	return call[registry.OrderResult](ctx, s, callApply, func(m *registry.Machine, now time.Duration, ticket uint64) registry.Output {
		return m.Apply(now, ticket, base, text, digest)
	})
}

func (s *process) Amend(ctx context.Context, a registry.Amendment) (registry.OrderResult, error) {
	return call[registry.OrderResult](ctx, s, callAmend, func(m *registry.Machine, now time.Duration, ticket uint64) registry.Output {
		return m.Amend(now, ticket, a)
	})
}

func (s *process) Read(ctx context.Context) (core.CurrentTable, error) {
	return call[core.CurrentTable](ctx, s, callRead, func(m *registry.Machine, now time.Duration, ticket uint64) registry.Output {
		return m.Read(now, ticket)
	})
}

// ReportRefusal does not wait until the refusal is recorded.
func (s *process) ReportRefusal(ctx context.Context, refusal registry.Refusal) {
	select {
	case s.calls <- func(now time.Duration) registry.Output {
		s.refusals.record(now, refusal, s.log)
		return registry.Output{}
	}:
	case <-ctx.Done():
	}
}

// Retire starts to retire a core.
func (s *process) Retire(ctx context.Context, id string) (registry.RetirementStatus, error) {
	return call[registry.RetirementStatus](ctx, s, callRetire, func(m *registry.Machine, now time.Duration, ticket uint64) registry.Output {
		return m.Retire(now, ticket, id)
	})
}

// RetirementStatus returns the progress of retiring a core.
func (s *process) RetirementStatus(ctx context.Context, id string) (registry.RetirementStatus, error) {
	return call[registry.RetirementStatus](ctx, s, callRetirementStatus, func(m *registry.Machine, now time.Duration, ticket uint64) registry.Output {
		return m.RetirementStatus(now, ticket, id)
	})
}

func (s *process) snapshot(ctx context.Context) (telemetry.Snapshot, error) {
	values, err := s.Counters(ctx)
	if err != nil {
		return telemetry.Snapshot{}, err
	}
	sent, err := s.sentByKind(ctx)
	return telemetry.Snapshot{Values: values, Sent: sent}, err
}

func (s *process) sentByKind(ctx context.Context) (map[string]stream.Traffic, error) {
	return call[map[string]stream.Traffic](ctx, s, callOther, func(_ *registry.Machine, _ time.Duration, ticket uint64) registry.Output {
		return registry.Output{Answers: []registry.Answer{{Ticket: ticket, Body: s.streams.Queued()}}}
	})
}

func (s *process) Counters(ctx context.Context) (map[string]int64, error) {
	return call[map[string]int64](ctx, s, callOther, func(m *registry.Machine, now time.Duration, ticket uint64) registry.Output {
		counts := m.Status(now)
		counts["messages_sent"], counts["messages_dropped"] = s.traffic.sent, s.traffic.dropped
		counts["bad_streams"], counts["accept_failures"] = s.traffic.incoming.BadStreams, s.traffic.incoming.AcceptFailures
		s.refusals.addMetrics(counts)
		s.operator.addMetrics(counts)
		return registry.Output{Answers: []registry.Answer{{Ticket: ticket, Body: counts}}}
	})
}
