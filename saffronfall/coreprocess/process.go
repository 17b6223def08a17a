// Package coreprocess is the core role: a thin shell round the core's machine.
package coreprocess

import (
	"context"
	crypto "crypto/rand"
	"encoding/hex"
	"math/rand/v2"
	"net/http"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"saffronfall/peer/clock"
	"saffronfall/peer/core"
	"saffronfall/peer/disk"
	"saffronfall/peer/operator"
	"saffronfall/peer/stream"
	"saffronfall/rule/invariant"
	"saffronfall/rule/message"
	"saffronfall/saffronfall/params"
	"saffronfall/saffronfall/telemetry"
)

type written struct {
	upto uint64
	took time.Duration
	err  error
	// full says that there was no room and the batch is tried again.
	full bool
}

type batch struct {
	upto    uint64
	changes []core.Change
}

type process struct {
	params  params.Params
	adopt   <-chan params.Params
	others  map[string]byte
	log     logr.Logger
	machine *core.Machine
	streams *stream.Transport
	start   time.Duration
	calls   chan func(now time.Duration) core.Output
	drain   chan struct{}
	toDisk  chan batch
	onDisk  chan written

	violations *invariant.Counter
	changes    []core.Change
	issued     uint64
	synced     uint64
	busy       bool
	busyAt     time.Duration
	held       []heldSend
	answers    map[uint64]chan any
	next       uint64
	owned      int
	messages
	syncs    int64
	syncTime time.Duration
	stalled  bool
}

// messages counts what was said to and by other processes of the fleet.
type messages struct{ sent, dropped, received, bad int64 }

type heldSend struct {
	after uint64
	send  core.Send
}

// Run runs the role until the context ends, then hands its parts over.
func Run(ctx context.Context, p params.Params, adopt <-chan params.Params, log logr.Logger) error {
	return RunOn(ctx, disk.System, p, adopt, log)
}

// RunOn runs the role with its folder in a file system.
func RunOn(ctx context.Context, files disk.FileSystem, p params.Params, adopt <-chan params.Params, log logr.Logger) error {
	if p.DataDir == "" {
		return errors.New("a core needs a folder")
	}
	folder, stored, err := load(files, p.DataDir, log)
	if err != nil {
		return err
	}
	streams, err := stream.Listen(stream.Params{Listen: p.PeerListen, Advertise: p.PeerAdvertise, Secret: p.FleetSecret,
		QueueSize: int(p.BufferSize), MaxMessageBytes: 64 << 20, Timeout: p.Node().AnnouncementMaxAge})
	if err != nil {
		return err
	}
	s := &process{params: p, violations: telemetry.NewViolationCounts(p.StrictInvariants, log), adopt: adopt, others: map[string]byte{}, log: log, streams: streams, start: clock.Now(), calls: make(chan func(time.Duration) core.Output, 64),
		drain: make(chan struct{}, 1), toDisk: make(chan batch, 1), onDisk: make(chan written, 1), answers: map[uint64]chan any{}}
	var image core.Stored
	image.CopyFrom(stored)
	s.machine = core.New(core.Options{Params: p.Core(), ID: p.ID, Zone: p.Zone, Address: p.PeerAdvertise, Operator: p.OperatorAdvertise, Seeds: p.Seeds,
		Stored: stored, Now: s.now(), Random: rand.Float64, Violated: s.violations.Report})
	log.Info("core started", "id", p.ID, "incarnation", stored.Incarnation, "founded", s.machine.Founded())

	var group run.Group
	life, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return s.own(ctx, life) }, func(error) { cancel() })
	group.Add(streams.Run, func(error) { streams.Close() })
	writes := writer{folder: folder, image: image, batches: s.toDisk, done: s.onDisk, pause: p.Core().Partition.LeaseDuration}
	group.Add(func() error { return writes.run(life) }, func(error) { cancel() })
	telemetry.Serve(&group, p.MetricsListen, telemetry.Source{Role: "core", Snapshot: s.snapshot}, log)
	server := &http.Server{Addr: p.OperatorListen, Handler: operator.Handler(s, p.OperatorKey, s.drain), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: callTime, IdleTimeout: callTime}
	group.Add(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "operator address")
		}
		return nil
	}, func(error) { server.Close() })
	return group.Run()
}

// callTime bounds how long an operator's call may take to send.
const callTime = time.Minute

func load(files disk.FileSystem, path string, log logr.Logger) (*disk.Store, core.Stored, error) {
	folder, found, err := disk.OpenIn(files, path)
	if errors.Is(err, disk.ErrDamaged) {
		log.Info("copy lost; this core begins as a new one without a vote", "cause", err.Error())
		if err := disk.SetAside(path); err != nil {
			return nil, core.Stored{}, err
		}
		folder, found, err = disk.OpenIn(files, path)
	}
	if err != nil {
		return nil, core.Stored{}, err
	}
	var stored core.Stored
	if found.Empty {
		raw := make([]byte, 8)
		if _, err := crypto.Read(raw); err != nil {
			return nil, core.Stored{}, err
		}
		stored.Incarnation = hex.EncodeToString(raw)
		return folder, stored, folder.Replace(message.Marshal(stored))
	}
	if err := message.Unmarshal(found.State, &stored); err != nil {
		return nil, core.Stored{}, errors.Wrap(err, "slot")
	}
	for _, frame := range found.Records {
		var changes []core.Change
		if err := message.Unmarshal(frame, &changes); err != nil {
			return nil, core.Stored{}, errors.Wrap(err, "log")
		}
		for _, c := range changes {
			stored.Apply(c)
		}
	}
	return folder, stored, nil
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

// own is the one goroutine that drives the machine.
func (s *process) own(ctx, life context.Context) error {
	runtime.LockOSThread()
	ticker := time.NewTicker(s.params.Core().Partition.LeaseDuration / 20)
	defer ticker.Stop()
	var leaveBy time.Duration
	stop, drain := ctx.Done(), s.drain
	for {
		select {
		case in := <-s.streams.In:
			s.received++
			s.take(s.machine.Receive(s.now(), in.From, in.Body))
			for n := len(s.streams.In); n > 0; n-- {
				in := <-s.streams.In
				s.received++
				s.take(s.machine.Receive(s.now(), in.From, in.Body))
			}
		case call := <-s.calls:
			s.take(call(s.now()))
		case w := <-s.onDisk:
			if w.full {
				s.log.Info("disk full; this core takes nothing until there is room", "cause", w.err.Error())
				continue
			}
			if w.err != nil {
				return errors.Wrap(w.err, "the disk failed; nothing after this is certain")
			}
			s.busy = false
			s.synced = w.upto
			s.syncs++
			s.syncTime += w.took
			s.flushHeld()
		case s.params = <-s.adopt:
		case c := <-s.streams.Counts:
			s.bad += c.BadStreams
			if c.VersionMismatches > 0 {
				s.refuseVersion(c)
			}
		case <-ticker.C:
			s.take(s.machine.Tick(s.now()))
			s.watch()
			if leaveBy > 0 && (s.now() >= leaveBy || len(s.machine.LeadingPartitions(s.now())) == 0) {
				s.log.Info("core stopped", "parts left", len(s.machine.LeadingPartitions(s.now())))
				return nil
			}
		case <-stop:
			stop, drain, leaveBy = nil, nil, s.leave()
		case <-drain:
			stop, drain, leaveBy = nil, nil, s.leave()
		case <-life.Done():
			return nil
		}
		s.pushDisk()
	}
}

func (s *process) leave() time.Duration {
	s.machine.Drain()
	s.log.Info("core leaves", "parts", len(s.machine.LeadingPartitions(s.now())))
	return s.now() + s.params.Grace()
}

func (s *process) watch() {
	stalled := s.busy && s.now()-s.busyAt > s.params.Core().Partition.LeaseDuration
	if stalled != s.stalled {
		s.stalled = stalled
		s.machine.SetStalled(stalled)
		s.log.Info("disk", "stalled", stalled)
	}
	if owned := len(s.machine.LeadingPartitions(s.now())); owned != s.owned {
		s.owned = owned
		s.log.Info("ownership", "parts", owned)
	}
}

func (s *process) take(o core.Output) {
	if len(o.Changes) > 0 {
		s.changes = append(s.changes, o.Changes...)
		s.issued++
	}
	for _, send := range o.Sends {
		if send.Synced && s.issued > s.synced {
			s.held = append(s.held, heldSend{after: s.issued, send: send})
			continue
		}
		s.sendSynced(send, s.issued)
	}
	for _, a := range o.Answers {
		if waiting, ok := s.answers[a.Ticket]; ok {
			delete(s.answers, a.Ticket)
			waiting <- a.Body
		}
	}
}

// sendSynced sends what rests on the changes that were issued up to a number.
func (s *process) sendSynced(send core.Send, rests uint64) {
	if send.Synced && rests > s.synced {
		invariant.Reporter(s.violations.Report).Violated(invariant.AcknowledgedAfterSync, "%T to %s rests on change %d; %d are synced", send.Body, send.To, rests, s.synced)
	}
	s.send(send)
}

func (s *process) send(send core.Send) {
	if send.To == s.params.PeerAdvertise {
		s.take(s.machine.Receive(s.now(), send.To, send.Body))
		return
	}
	s.sent++
	if !s.streams.Send(send.To, send.Body) {
		s.dropped++
	}
}

func (s *process) flushHeld() {
	ready := s.held
	s.held = nil
	for _, h := range ready {
		if h.after <= s.synced {
			s.sendSynced(h.send, h.after)
		} else {
			s.held = append(s.held, h)
		}
	}
}

func (s *process) pushDisk() {
	if s.busy || len(s.changes) == 0 {
		return
	}
	s.busy, s.busyAt = true, s.now()
	s.toDisk <- batch{upto: s.issued, changes: s.changes}
	s.changes = nil
}

// Call runs a step on the owner's goroutine and waits for its answer.
func (s *process) Call(ctx context.Context, step func(m *core.Machine, now time.Duration, ticket uint64) core.Output) (any, error) {
	waiting := make(chan any, 1)
	call := func(now time.Duration) core.Output {
		s.next++
		s.answers[s.next] = waiting
		return step(s.machine, now, s.next)
	}
	select {
	case s.calls <- call:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case body := <-waiting:
		return body, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Inspect runs a function on the owner's goroutine.
func (s *process) Inspect(ctx context.Context, look func(m *core.Machine, now time.Duration) any) (any, error) {
	return s.Call(ctx, func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return core.Output{Answers: []core.Answer{{Ticket: ticket, Body: look(m, now)}}}
	})
}

// snapshot is what this process counts now.
func (s *process) snapshot(ctx context.Context) (told telemetry.Snapshot, err error) {
	if told.Values, err = s.Counters(ctx); err != nil {
		return told, err
	}
	violations, err := s.Inspect(ctx, func(*core.Machine, time.Duration) any { return telemetry.ViolationCounts(s.violations) })
	told.Violations, _ = violations.(map[invariant.Name]int64)
	return told, err
}

// Counters are this process's counts.
func (s *process) Counters(ctx context.Context) (map[string]int64, error) {
	body, err := s.Inspect(ctx, func(m *core.Machine, now time.Duration) any {
		p := m.PartitionCounters()
		return map[string]int64{"messages": m.Counters.Messages, "commands": m.Counters.Commands, "commands_moved": m.Counters.Redirected,
			"commands_unsure": m.Counters.Uncertain, "pulls": m.Counters.Pulls, "refused_while_stalled": m.Counters.RefusedWhileStalled, "returns_with_empty_folder": m.Counters.Rejoins, "bad_messages": m.Counters.BadMessages,
			"stands": p.Elections, "seated": p.Elected, "writes": p.Writes, "entries_written": p.Entries, "copies_mended": p.SnapshotsSent,
			"sweeps": p.Sweeps, "marks_dropped": p.TombstonesPurged, "parts_owned": int64(len(m.LeadingPartitions(now))), "sent": s.sent, "dropped": s.dropped,
			"received": s.received, "bad_streams": s.bad, "syncs": s.syncs, "sync_micros": s.syncTime.Microseconds(), "disk_stalled": flag(s.stalled)}
	})
	if err != nil {
		return nil, err
	}
	return body.(map[string]int64), nil
}

func flag(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
