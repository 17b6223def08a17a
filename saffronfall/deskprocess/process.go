// Package deskprocess is the desk's role: a thin shell round the desk's machine,
// with a surface for replicas and operators.
package deskprocess

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
	"saffronfall/peer/desk"
	"saffronfall/peer/disk"
	"saffronfall/peer/stream"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/saffronfall/params"
	"saffronfall/saffronfall/telemetry"
)

type process struct {
	params  params.Params
	adopt   <-chan params.Params
	log     logr.Logger
	machine *desk.Machine
	streams *stream.Transport
	start   time.Duration
	calls   chan func(now time.Duration) desk.Output
	life    context.Context
	answers map[uint64]chan any
	next    uint64
	sent    int64
	dropped int64
	bad     int64
	table   uint64
	folder  *disk.Store
}

// kept is what a desk writes down: a state, or what changed of it. Frames of a
// former version are a bare list.
type kept struct {
	List  []desk.ReplicaEntry `msgpack:"l"`
	Peers *desk.Peers         `msgpack:"p"`
}

// memory is what an earlier life of a desk has left.
type memory struct {
	list  map[string]desk.ReplicaEntry
	peers *desk.Peers
}

func (k *memory) read(raw []byte) {
	var one kept
	if message.Unmarshal(raw, &one.List) != nil && message.Unmarshal(raw, &one) != nil {
		return
	}
	for _, l := range one.List {
		k.list[l.Replica.ID] = l
	}
	if one.Peers != nil {
		k.peers = one.Peers
	}
}

// open reads the list and the addresses that an earlier life kept. They are a
// help and no more: a desk whose folder is lost begins without.
func open(path string, log logr.Logger) (*disk.Store, []desk.ReplicaEntry, *desk.Peers) {
	folder, held, err := disk.Open(path)
	if errors.Is(err, disk.ErrDamaged) {
		if err = disk.SetAside(path); err == nil {
			folder, held, err = disk.Open(path)
		}
	}
	if err == nil && held.Empty {
		err = folder.Replace(message.Marshal(kept{}))
	}
	if err != nil {
		log.Info("no list is kept", "reason", err.Error())
		return nil, nil, nil
	}
	before := memory{list: map[string]desk.ReplicaEntry{}}
	for _, raw := range append([][]byte{held.State}, held.Records...) {
		if raw != nil {
			before.read(raw)
		}
	}
	var known []desk.ReplicaEntry
	for _, id := range ordered.Keys(before.list) {
		known = append(known, before.list[id])
	}
	return folder, known, before.peers
}

// logBound is how long the log may grow before the whole is written anew.
const logBound = 256 << 10

// keep writes changes down before anybody hears of them. While the disk is full
// they are left out, as the list is a help and no more; a folder that fails is not
// used any more.
func (s *process) keep(changes []desk.ReplicaEntry, peers *desk.Peers) {
	if s.folder == nil || len(changes) == 0 && peers == nil {
		return
	}
	err := s.folder.Append(message.Marshal(kept{List: changes, Peers: peers}))
	if err == nil && s.folder.Size() > logBound {
		known := s.machine.Peers()
		err = s.folder.Replace(message.Marshal(kept{List: s.machine.List(), Peers: &known}))
	}
	if err != nil && !errors.Is(err, disk.ErrFull) {
		s.log.Info("no list is kept any more", "reason", err.Error())
		s.folder.Close()
		s.folder = nil
	}
}

// callTime bounds how long a call may take to send and to read, beside the time that
// the cores have for it.
const callTime = time.Minute

// Run runs the role until the context ends. The surface makes the handler of
// what replicas and operators call.
func Run(ctx context.Context, p params.Params, adopt <-chan params.Params, log logr.Logger, surface func(calls desk.API) http.Handler) error {
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
	s := &process{params: p, adopt: adopt, log: log, streams: streams, start: clock.Now(), life: life, calls: make(chan func(time.Duration) desk.Output, 64), answers: map[uint64]chan any{}}
	var known []desk.ReplicaEntry
	var peers *desk.Peers
	if p.DataDir != "" {
		s.folder, known, peers = open(p.DataDir, log)
	}
	s.machine = desk.New(desk.Options{Params: p.Desk(), ID: p.ID, Incarnation: hex.EncodeToString(raw), Address: p.PeerAdvertise, Seeds: p.Seeds, FoundsFleet: p.Bootstrap, KnownReplicas: known, KnownPeers: peers, Now: s.now(), Random: rand.Float64})
	log.Info("desk started", "id", p.ID, "founds", p.Bootstrap)
	var group run.Group
	group.Add(func() error { return s.own() }, func(error) { cancel() })
	group.Add(streams.Run, func(error) { streams.Close() })
	telemetry.Serve(&group, p.MetricsListen, telemetry.Source{Role: "desk", Snapshot: s.snapshot}, log)
	server := &http.Server{Addr: p.OperatorListen, Handler: surface(s), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: callTime, WriteTimeout: callTime, IdleTimeout: time.Minute}
	ended := make(chan struct{})
	group.Add(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "operator address")
		}
		<-ended
		return nil
	}, func(error) {
		server.Close()
		close(ended)
	})
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-life.Done():
			return nil
		}
		log.Info("desk leaves")
		ending, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		server.Shutdown(ending)
		return nil
	}, func(error) { cancel() })
	return group.Run()
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
		case call := <-s.calls:
			s.take(call(s.now()))
		case s.params = <-s.adopt:
		case c := <-s.streams.Counts:
			s.bad += c.BadStreams
		case <-ticker.C:
			s.take(s.machine.Tick(s.now()))
			if table := s.machine.TableNumber(); table != s.table {
				s.table = table
				s.log.Info("routing table known", "number", table)
			}
		case <-s.life.Done():
			return nil
		}
	}
}

func (s *process) take(o desk.Output) {
	s.keep(o.ChangedReplicas, o.Peers)
	for _, send := range o.Sends {
		s.sent++
		if !s.streams.Send(send.To, send.Body) {
			s.dropped++
		}
	}
	for _, a := range o.Answers {
		if waiting, ok := s.answers[a.Ticket]; ok {
			delete(s.answers, a.Ticket)
			waiting <- a.Body
		}
	}
}

// call runs a step on the owner's goroutine and waits for its answer.
func call[T any](ctx context.Context, s *process, step func(m *desk.Machine, now time.Duration, ticket uint64) desk.Output) (T, error) {
	var none T
	waiting := make(chan any, 1)
	select {
	case s.calls <- func(now time.Duration) desk.Output {
		s.next++
		s.answers[s.next] = waiting
		return step(s.machine, now, s.next)
	}:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case body := <-waiting:
		value, ok := body.(T)
		if !ok {
			return none, errors.Newf("unexpected answer %T", body)
		}
		return value, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// errIsolated says that what a replica told this desk may be known to nobody else.
var errIsolated = errors.New("this desk can't pass it on now; tell another")

// heard turns the answer to a replica into an error where it should tell another.
func heard(h desk.Acknowledgment, err error) error {
	if err == nil && !h.Accepted {
		return errIsolated
	}
	return err
}

// Heartbeat records the state that a replica reports.
func (s *process) Heartbeat(ctx context.Context, r desk.Replica) error {
	return heard(call[desk.Acknowledgment](ctx, s, func(m *desk.Machine, now time.Duration, ticket uint64) desk.Output {
		return m.Heartbeat(now, ticket, r)
	}))
}

// Leave takes a replica off the list.
func (s *process) Leave(ctx context.Context, id string) error {
	return heard(call[desk.Acknowledgment](ctx, s, func(m *desk.Machine, now time.Duration, ticket uint64) desk.Output {
		return m.Leave(now, ticket, id)
	}))
}

// Apply hands a routing table over.
func (s *process) Apply(ctx context.Context, base uint64, text []byte, digest string) (desk.OrderResult, error) {
	return call[desk.OrderResult](ctx, s, func(m *desk.Machine, now time.Duration, ticket uint64) desk.Output {
		return m.Apply(now, ticket, base, text, digest)
	})
}

// Amend hands over an amendment of the routing table in force.
func (s *process) Amend(ctx context.Context, a desk.Amendment) (desk.OrderResult, error) {
	return call[desk.OrderResult](ctx, s, func(m *desk.Machine, now time.Duration, ticket uint64) desk.Output {
		return m.Amend(now, ticket, a)
	})
}

// Read reads the routing table in force.
func (s *process) Read(ctx context.Context) (core.CurrentTable, error) {
	return call[core.CurrentTable](ctx, s, func(m *desk.Machine, now time.Duration, ticket uint64) desk.Output { return m.Read(now, ticket) })
}

// Retire asks for a core to be emptied.
func (s *process) Retire(ctx context.Context, id string) (desk.RetirementStatus, error) {
	return call[desk.RetirementStatus](ctx, s, func(m *desk.Machine, now time.Duration, ticket uint64) desk.Output { return m.Retire(now, ticket, id) })
}

// RetirementStatus reports how far the retirement of a core is.
func (s *process) RetirementStatus(ctx context.Context, id string) (desk.RetirementStatus, error) {
	return call[desk.RetirementStatus](ctx, s, func(m *desk.Machine, now time.Duration, ticket uint64) desk.Output {
		return m.RetirementStatus(now, ticket, id)
	})
}

// snapshot is what this process counts now.
func (s *process) snapshot(ctx context.Context) (telemetry.Snapshot, error) {
	values, err := s.Counters(ctx)
	return telemetry.Snapshot{Values: values}, err
}

// Counters are this process's counts.
func (s *process) Counters(ctx context.Context) (map[string]int64, error) {
	return call[map[string]int64](ctx, s, func(m *desk.Machine, now time.Duration, ticket uint64) desk.Output {
		counts := m.Status(now)
		counts["messages_sent"], counts["messages_dropped"], counts["bad_streams"] = s.sent, s.dropped, s.bad
		return desk.Output{Answers: []desk.Answer{{Ticket: ticket, Body: counts}}}
	})
}
