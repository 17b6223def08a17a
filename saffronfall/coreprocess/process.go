// Package coreprocess runs the role of a core, which stores partitions of the fleet's state.
//
// It connects the state machine of peer/core to sockets, clocks and the disk. One goroutine,
// process.run, calls the machine and owns all mutable state; another, writer.run, writes to the
// disk. Messages that depend on changes are held back until the changes are synced. Start reading
// at RunOn, process.run and process.apply.
package coreprocess

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"saffronfall/peer/clock"
	"saffronfall/peer/core"
	"saffronfall/peer/disk"
	"saffronfall/peer/httpserver"
	"saffronfall/peer/operator"
	"saffronfall/peer/stream"
	"saffronfall/rule/invariant"
	"saffronfall/saffronfall/params"
	"saffronfall/saffronfall/telemetry"
)

type writeResult struct {
	// upTo is that of the batch.
	upTo     uint64
	duration time.Duration
	err      error
	// full means that the disk was full and the writer retries the batch.
	full bool
}

// batch holds changes to write, up to the machine's output with the number upTo.
type batch struct {
	upTo    uint64
	changes []core.Change
}

type process struct {
	params          params.Params
	updates         <-chan params.Params
	refusedVersions telemetry.RefusedVersions
	log             logr.Logger
	machine         *core.Machine
	streams         *stream.Transport
	start           time.Duration
	calls           chan func(now time.Duration) core.Output
	drain           chan struct{}
	writes          chan batch
	written         chan writeResult

	violations *invariant.Counter
	// changes are not handed to the writer yet.
	changes []core.Change
	// Outputs with changes are numbered from 1. issued is the last one of the machine, synced the
	// last one on the disk.
	issued     uint64
	synced     uint64
	writing    bool
	writeStart time.Duration
	held       []heldSend
	answers    map[uint64]chan any
	lastTicket uint64
	messageCounts
	syncs    int64
	syncTime time.Duration
	loggedState
}

// loggedState is what was last logged. stalled is also what the machine was told of the disk.
type loggedState struct {
	leading  int
	silences []core.Silence
	exposed  []int
	// redundancyCheckAt is when silences and exposed are next checked.
	redundancyCheckAt time.Duration
	stalled           bool
	report            telemetry.StartReport
}

type messageCounts struct {
	sent, dropped, received int64
	incoming                stream.Counters
}

// heldSend is a message to send once the outputs up to after are synced.
type heldSend struct {
	after uint64
	send  core.Send
}

// Run runs the role until ctx ends, then hands its partitions over. Settings received on updates
// replace p. The error is nil or that of the disk or of a listener.
func Run(ctx context.Context, p params.Params, updates <-chan params.Params, log logr.Logger) error {
	return RunOn(ctx, disk.System, p, updates, log)
}

// RunOn is like Run, with the data directory in the given file system.
func RunOn(ctx context.Context, files disk.FileSystem, p params.Params, updates <-chan params.Params, log logr.Logger) error {
	if p.DataDir == "" {
		return errors.New("a core needs a data directory: the setting folder is missing")
	}
	store, stored, err := load(files, p.DataDir, p.ColdStart, log)
	if err != nil {
		return err
	}
	streams, err := stream.Listen(stream.Params{Listen: p.PeerListen, Advertise: p.PeerAdvertise, Secret: p.FleetSecret,
		QueueSize: int(p.BufferSize), MaxMessageBytes: maxMessageBytes, Timeout: p.Node().AnnouncementMaxAge, MaxHandshakes: int(p.StreamHandshakes)})
	if err != nil {
		return err
	}
	s := &process{
		params: p, violations: telemetry.NewViolationCounts(p.StrictInvariants, log), updates: updates,
		log: log, streams: streams, start: clock.Now(),
		calls: make(chan func(time.Duration) core.Output, 64), drain: make(chan struct{}, 1),
		writes: make(chan batch, 1), written: make(chan writeResult, 1), answers: map[uint64]chan any{},
	}
	var image core.Stored
	image.CopyFrom(stored)
	s.machine = core.New(core.Options{
		Params: p.Core(), ID: p.ID, Zone: p.Zone, Address: p.PeerAdvertise, Operator: p.OperatorAdvertise,
		Seeds: p.Seeds, Stored: stored, Now: s.now(), Random: rand.Float64, Violated: s.violations.Report,
	})
	log.Info("core started", "id", p.ID, "incarnation", stored.Incarnation, "founded", s.machine.Founded())

	var group run.Group
	runCtx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return s.run(ctx, runCtx) }, func(error) { cancel() })
	group.Add(streams.Run, func(error) { streams.Close() })
	diskWriter := writer{store: store, image: image, batches: s.writes, results: s.written, retryInterval: p.Core().Partition.LeaseDuration}
	group.Add(func() error { return diskWriter.run(runCtx) }, func(error) { cancel() })
	telemetry.Serve(&group, p.MetricsListen, p.MonitorLimits(), telemetry.Source{Role: "core", Snapshot: s.snapshot}, log)
	server := &http.Server{
		Addr:              p.OperatorListen,
		Handler:           operator.Handler(s, p.OperatorKey, s.drain),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       callTimeout,
		IdleTimeout:       callTimeout,
	}
	group.Add(func() error {
		if err := httpserver.ListenAndServe(server, p.OperatorLimits()); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "operator address")
		}
		return nil
	}, func(error) { server.Close() })
	return group.Run()
}

// callTimeout bounds the reading of an operator's request.
const callTimeout = time.Minute

const (
	maxMessageBytes   = 64 << 20
	incarnationBytes  = 8
	readHeaderTimeout = 5 * time.Second
	// ticksPerLease is how often the machine is called during a leader's lease.
	ticksPerLease = 20
)

func (s *process) now() time.Duration { return clock.Now() - s.start }

// run is the event loop. When ctx ends or an operator drains the core, run hands its partitions
// over, and returns once none is led here or the grace period is over. The end of runCtx ends it at
// once.
func (s *process) run(ctx, runCtx context.Context) error {
	runtime.LockOSThread()
	ticker := time.NewTicker(s.params.Core().Partition.LeaseDuration / ticksPerLease)
	defer ticker.Stop()
	var drainDeadline time.Duration
	stop, drain := ctx.Done(), s.drain
	for {
		select {
		case in := <-s.streams.In:
			s.received++
			s.apply(s.machine.Receive(s.now(), in.From, in.Body))
			for n := len(s.streams.In); n > 0; n-- {
				in := <-s.streams.In
				s.received++
				s.apply(s.machine.Receive(s.now(), in.From, in.Body))
			}
		case call := <-s.calls:
			s.apply(call(s.now()))
		case result := <-s.written:
			if result.full {
				s.log.Info("disk is full; the core stores nothing until there is space", "cause", result.err.Error())
				continue
			}
			if result.err != nil {
				return errors.Wrap(result.err, "writing to the disk failed; what it now stores is unknown")
			}
			s.writing = false
			s.synced = result.upTo
			s.syncs++
			s.syncTime += result.duration
			s.sendHeld()
		case s.params = <-s.updates:
		case c := <-s.streams.Counts:
			s.incoming.Add(c)
			s.refusedVersions.Record(c, s.log)
		case <-ticker.C:
			s.apply(s.machine.Tick(s.now()))
			s.monitor()
			if drainDeadline > 0 && (s.now() >= drainDeadline || len(s.machine.LeadingPartitions(s.now())) == 0) {
				s.log.Info("core stopped", "partitions_still_led", len(s.machine.LeadingPartitions(s.now())))
				return nil
			}
		case <-stop:
			stop, drain, drainDeadline = nil, nil, s.startDrain()
		case <-drain:
			stop, drain, drainDeadline = nil, nil, s.startDrain()
		case <-runCtx.Done():
			return nil
		}
		s.writeChanges()
	}
}

// startDrain returns the end of the grace period.
func (s *process) startDrain() time.Duration {
	s.machine.Drain()
	s.log.Info("core is draining", "partitions", len(s.machine.LeadingPartitions(s.now())))
	return s.now() + s.params.Grace()
}

// monitor tells the machine whether the disk stalls, and logs changes of that, of leadership and of
// the cores that are silent.
func (s *process) monitor() {
	stalled := s.writing && s.now()-s.writeStart > s.params.Core().Partition.LeaseDuration
	if stalled != s.stalled {
		s.stalled = stalled
		s.machine.SetStalled(stalled)
		s.log.Info("disk", "stalled", stalled)
	}
	if leading := len(s.machine.LeadingPartitions(s.now())); leading != s.leading {
		s.leading = leading
		s.log.Info("ownership", "parts", leading)
	}
	if s.now() >= s.redundancyCheckAt {
		s.redundancyCheckAt = s.now() + redundancyCheckInterval
		s.logRedundancy()
	}
	s.report.Record(s.now(), s.streams.Queued, s.log)
}

// redundancyCheckInterval is the time between checks for changes to log.
const redundancyCheckInterval = 250 * time.Millisecond

// logRedundancy logs changes of the silent cores and of the groups that could lose their majority.
func (s *process) logRedundancy() {
	if silences := s.machine.Silences(s.now()); !slices.Equal(silences, s.silences) {
		s.silences = silences
		s.log.Info("silent cores", "cores", silences)
	}
	if exposed := s.machine.ExposedPartitions(); !slices.Equal(exposed, s.exposed) {
		s.exposed = exposed
		s.log.Info("partitions that the tolerated losses could take", "parts", exposed)
	}
}

// apply carries out the machine's output. A message that depends on changes is sent only once they
// are synced: otherwise a power failure could undo what it says.
func (s *process) apply(o core.Output) {
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
		if answer, ok := s.answers[a.Ticket]; ok {
			delete(s.answers, a.Ticket)
			answer <- a.Body
		}
	}
}

// sendSynced reports a violated invariant if the message depends on unsynced changes.
func (s *process) sendSynced(send core.Send, upTo uint64) {
	if send.Synced && upTo > s.synced {
		invariant.Reporter(s.violations.Report).Violated(
			invariant.AcknowledgedAfterSync,
			"%T to %s depends on change %d; changes up to %d are synced", send.Body, send.To, upTo,
			s.synced,
		)
	}
	s.send(send)
}

func (s *process) send(send core.Send) {
	if send.To == s.params.PeerAdvertise {
		s.apply(s.machine.Receive(s.now(), send.To, send.Body))
		return
	}
	s.sent++
	if !s.streams.Send(send.To, send.Body) {
		s.dropped++
	}
}

func (s *process) sendHeld() {
	held := s.held
	s.held = nil
	for _, h := range held {
		if h.after <= s.synced {
			s.sendSynced(h.send, h.after)
		} else {
			s.held = append(s.held, h)
		}
	}
}

func (s *process) writeChanges() {
	if s.writing || len(s.changes) == 0 {
		return
	}
	s.writing, s.writeStart = true, s.now()
	s.writes <- batch{upTo: s.issued, changes: s.changes}
	s.changes = nil
}

// Call calls step on the goroutine of run and waits for the machine's answer to the ticket.
func (s *process) Call(ctx context.Context, step func(m *core.Machine, now time.Duration, ticket uint64) core.Output) (any, error) {
	answer := make(chan any, 1)
	call := func(now time.Duration) core.Output {
		s.lastTicket++
		s.answers[s.lastTicket] = answer
		return step(s.machine, now, s.lastTicket)
	}
	select {
	case s.calls <- call:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case body := <-answer:
		return body, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Inspect calls read on the goroutine of run and returns its result.
func (s *process) Inspect(ctx context.Context, read func(m *core.Machine, now time.Duration) any) (any, error) {
	return s.Call(ctx, func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return core.Output{Answers: []core.Answer{{Ticket: ticket, Body: read(m, now)}}}
	})
}

func (s *process) snapshot(ctx context.Context) (snapshot telemetry.Snapshot, err error) {
	if snapshot.Values, err = s.Counters(ctx); err != nil {
		return snapshot, err
	}
	violations, err := s.Inspect(ctx, func(*core.Machine, time.Duration) any { return telemetry.ViolationCounts(s.violations) })
	if err != nil {
		return snapshot, err
	}
	snapshot.Violations, _ = violations.(map[invariant.Name]int64)
	sent, err := s.Inspect(ctx, func(*core.Machine, time.Duration) any { return s.streams.Queued() })
	snapshot.Sent, _ = sent.(map[string]stream.Traffic)
	return snapshot, err
}

func (s *process) Counters(ctx context.Context) (map[string]int64, error) {
	body, err := s.Inspect(ctx, func(m *core.Machine, now time.Duration) any {
		p := m.PartitionCounters()
		silentSeats := 0
		for _, silence := range m.Silences(now) {
			silentSeats += silence.Seats
		}
		return map[string]int64{
			"messages":                  m.Counters.Messages,
			"commands":                  m.Counters.Commands,
			"commands_moved":            m.Counters.Redirected,
			"commands_unsure":           m.Counters.Uncertain,
			"pulls":                     m.Counters.Pulls,
			"refused_while_stalled":     m.Counters.RefusedWhileStalled,
			"returns_with_empty_folder": m.Counters.Rejoins,
			"bad_messages":              m.Counters.BadMessages,
			"exposed_groups":            int64(len(m.ExposedPartitions())),
			"seats_of_silent_cores":     int64(silentSeats),
			"retirements_refused":       m.Counters.RetirementsRefused,
			"retirements_undecided":     m.Counters.RetirementsUndecided,
			"stands":                    p.Elections,
			"seated":                    p.Elected,
			"writes":                    p.Writes,
			"entries_written":           p.Entries,
			"copies_mended":             p.SnapshotsSent,
			"sweeps":                    p.Sweeps,
			"marks_dropped":             p.TombstonesPurged,
			"most_turn_bytes_of_a_part": int64(m.LargestTurnUsage(now)),
			"parts_owned":               int64(len(m.LeadingPartitions(now))),
			"sent":                      s.sent,
			"dropped":                   s.dropped,
			"received":                  s.received,
			"bad_streams":               s.incoming.BadStreams,
			"accept_failures":           s.incoming.AcceptFailures,
			"syncs":                     s.syncs,
			"sync_micros":               s.syncTime.Microseconds(),
			"disk_stalled":              boolGauge(s.stalled),
		}
	})
	if err != nil {
		return nil, err
	}
	return body.(map[string]int64), nil
}

func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
