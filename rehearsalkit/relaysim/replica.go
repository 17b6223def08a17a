package relaysim

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"saffronfall/peer/registry"
	"saffronfall/peer/relay"
	"saffronfall/rule/ordered"
)

// The models stream their output.
const (
	modelA, modelB = "model-a", "model-b"
	plainA, plainB = "plain-a", "plain-b"
)

const (
	heartbeatTimeout = time.Second
	// leaveTimeout is when a replica stops without an acknowledgement that it leaves.
	leaveTimeout = 6 * time.Second
	maxQueued    = 3
	// Fractions of plain services' answers, and of streams that break.
	lostAnswerRate   = 0.02
	failedAnswerRate = 0.02
	brokenStreamRate = 0.05
)

func isStreaming(service string) bool { return service == modelA || service == modelB }

func tokensPerEvent(service string) int64 {
	if service == modelB {
		return defaultTokensPerEvent - 2
	}
	return defaultTokensPerEvent
}

// replica is one incarnation of a simulated replica.
type replica struct {
	world           *World
	id              string
	service         string
	address         string
	zone            string
	alive           bool
	leaving         bool
	sequence        int64
	slots           int
	running         int
	queue           []*job
	jobs            []*job
	currentRegistry *process
}

type job struct {
	replica  *replica
	dispatch *dispatch
	ended    bool
	deadline time.Duration
	queued   time.Duration
}

func (w *World) startReplica(service, address string, zone int) *replica {
	w.lastID++
	r := &replica{
		world:   w,
		id:      fmt.Sprintf("r%d-%s", w.lastID, service),
		service: service,
		address: address,
		zone:    fmt.Sprintf("zone-%d", zone%w.Params.Zones+1),
		alive:   true,
		slots:   6,
	}
	if isStreaming(service) {
		r.slots = 8
	}
	w.replicas[address] = r
	r.heartbeat(func() {})
	w.after(heartbeatInterval, r.heartbeats)
	return r
}

func (r *replica) heartbeats() {
	if r.alive {
		r.heartbeat(func() {})
		r.world.after(r.world.between(heartbeatInterval*9/10, heartbeatInterval*11/10), r.heartbeats)
	}
}

// heartbeat announces the replica, and tries another registry if it is not acknowledged in time.
func (r *replica) heartbeat(acknowledged func()) {
	w := r.world
	if r.currentRegistry == nil {
		r.currentRegistry = w.anyRegistry()
	}
	to, done := r.currentRegistry, false
	r.sequence++
	announcement := registry.Replica{
		ID:       r.id,
		Service:  r.service,
		Address:  r.address,
		Zone:     r.zone,
		Slots:    int64(r.slots),
		Leaving:  r.leaving,
		Sequence: r.sequence,
	}
	w.after(w.delay(), func() {
		if w.isCut(r.address, to.address) {
			return
		}
		to.do(func() {
			incarnation := to.incarnation
			to.announce(func(ticket uint64) registry.Output { return to.registry.Heartbeat(to.now(), ticket, announcement) }, func(accepted bool) {
				if !accepted {
					return
				}
				w.after(w.delay(), func() {
					if to.incarnation == incarnation && !done && r.alive {
						done = true
						if announcement.Leaving {
							w.Record.LeaveAcks = append(w.Record.LeaveAcks, LeaveAck{At: w.now, Replica: r.id})
						}
						acknowledged()
					}
				})
			})
		})
	})
	w.after(heartbeatTimeout, func() {
		if !done && r.alive {
			done, r.currentRegistry = true, nil
			r.heartbeat(acknowledged)
		}
	})
}

// leave announces that the replica leaves, waits for the acknowledgement and the drain time,
// deregisters and stops.
func (r *replica) leave(then func()) {
	w := r.world
	r.leaving = true
	w.Counts["replicas left in order"]++
	end := func() {
		if r.alive {
			to := w.anyRegistry()
			to.do(func() { to.applyRegistryOutput(to.registry.Leave(to.now(), 0, r.id)) })
			w.after(w.between(50*time.Millisecond, 300*time.Millisecond), func() { r.stop(then) })
		}
	}
	acknowledged := false
	r.heartbeat(func() {
		if !acknowledged {
			acknowledged = true
			w.after(w.Record.Limits.Drain+w.between(200*time.Millisecond, 800*time.Millisecond), end)
		}
	})
	w.after(leaveTimeout, func() {
		if !acknowledged {
			acknowledged = true
			end()
		}
	})
}

func (r *replica) stop(then func()) {
	if !r.alive {
		return
	}
	r.alive = false
	delete(r.world.replicas, r.address)
	for _, j := range append(r.jobs, r.queue...) {
		if !j.ended {
			j.ended = true
			j.forgetUnfinished()
			j.dispatch.respond(func() { j.dispatch.finish(relay.Outcome{Kind: relay.OutcomeInterrupted}) })
		}
	}
	r.jobs, r.queue = nil, nil
	then()
}

func (r *replica) load() *relay.Load {
	return &relay.Load{Running: int64(r.running), Waiting: int64(len(r.queue)), Slots: int64(r.slots)}
}

func (r *replica) receive(s *dispatch) {
	w := r.world
	arrival := Arrival{
		At:          w.now,
		Replica:     r.id,
		Service:     r.service,
		Node:        s.request.node.id,
		Incarnation: s.request.incarnation,
		Attempt:     s.request.request.Attempt,
		Tenant:      s.step.Tenant,
		Sent:        s.sentAt,
	}
	if s.step.Replica.ID != r.id {
		arrival.Misdirected = true
		w.Record.Arrivals = append(w.Record.Arrivals, arrival)
		w.Counts["moved"]++
		s.respond(func() { s.finish(relay.Outcome{Kind: relay.OutcomeNotRun, AddressReused: true}) })
		return
	}
	w.Record.Arrivals = append(w.Record.Arrivals, arrival)
	j := &job{replica: r, dispatch: s, deadline: w.now + s.step.Timeout, queued: w.now}
	s.job = j
	switch {
	case r.running < r.slots:
		r.start(j)
	case len(r.queue) < maxQueued:
		r.queue = append(r.queue, j)
		w.after(w.between(100*time.Millisecond, 400*time.Millisecond), func() { r.reject(j) })
	default:
		r.reject(j)
	}
}

// reject refuses a queued request; the answer promises that it was not run.
func (r *replica) reject(j *job) {
	if j.ended || slices.Contains(r.jobs, j) {
		return
	}
	if i := slices.Index(r.queue, j); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
	}
	j.ended = true
	r.world.Counts["turned away"]++
	o := relay.Outcome{Kind: relay.OutcomeNotRun, Load: r.load()}
	j.dispatch.respond(func() { j.dispatch.finish(o) })
}

func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

func streamEvent(attempt string, n int64) string { return fmt.Sprintf("%s:%d", attempt, n) }

// start runs a job: from here on the request counts as executed.
func (r *replica) start(j *job) {
	if r.answerFromRecord(j) {
		return
	}
	w, s := r.world, j.dispatch
	r.running++
	r.jobs = append(r.jobs, j)
	text := ""
	for _, entry := range s.step.History {
		text += string(entry)
	}
	w.Record.Runs = append(w.Record.Runs, Execution{At: w.now, Sent: s.sentAt, Replica: r.id, Service: r.service, Node: s.request.node.id, Incarnation: s.request.incarnation, Attempt: s.request.request.Attempt,
		Tenant: s.step.Tenant, Text: text + s.request.request.Input, FirstEvent: s.request.events})
	run := len(w.Record.Runs) - 1
	switch {
	case s.request.request.Operation != "":
		r.runKeyed(j, run)
	case isStreaming(r.service):
		r.runStream(j, run)
	default:
		r.runPlain(j)
	}
}

func (r *replica) runPlain(j *job) {
	w, s := r.world, j.dispatch
	took := w.between(3*time.Millisecond, 40*time.Millisecond)
	draw := w.random.Float64()
	w.after(took, func() {
		if !r.finish(j) {
			return
		}
		o := relay.Outcome{Kind: relay.OutcomeComplete, Load: r.load()}
		switch {
		case draw < lostAnswerRate:
			w.Counts["answers lost"]++
			o = relay.Outcome{Kind: relay.OutcomeInterrupted}
		case draw < lostAnswerRate+failedAnswerRate:
			o.Failed = true
		}
		s.respond(func() { s.finish(o) })
	})
}

// runStream streams a started job's events. run is the index of its execution.
func (r *replica) runStream(j *job, run int) {
	w, s := r.world, j.dispatch
	eventTokens := tokensPerEvent(r.service)
	count := max(1, int64(hash(s.request.request.Attempt)%uint64(max(1, s.request.request.MaxTokens/eventTokens)))+1)
	if s.request.request.MaxTokens/eventTokens < count {
		count = s.request.request.MaxTokens / eventTokens
	}
	breakAt := int64(-1)
	if w.chance(brokenStreamRate) {
		breakAt = s.request.events + int64(w.random.IntN(int(count)+1))
	}
	var next func(n int64)
	next = func(n int64) {
		if j.ended || !r.alive {
			return
		}
		if w.now >= j.deadline || n-1 == breakAt {
			if r.finish(j) {
				w.Counts["streams broken off"]++
				s.respond(func() { s.finish(relay.Outcome{Kind: relay.OutcomeInterrupted}) })
			}
			return
		}
		if n > count {
			if r.finish(j) {
				w.Record.Runs[run].Complete = true
				load := r.load()
				s.respond(func() { s.finish(relay.Outcome{Kind: relay.OutcomeComplete, Load: load}) })
			}
			return
		}
		w.Record.Runs[run].Events++
		w.Record.Runs[run].Output += streamEvent(s.request.request.Attempt, n) + "\n"
		s.respond(func() { s.relayEvent(n, eventTokens) })
		w.after(w.between(4*time.Millisecond, 30*time.Millisecond), func() { next(n + 1) })
	}
	w.after(w.between(5*time.Millisecond, 40*time.Millisecond), func() { next(s.request.events + 1) })
}

// finish ends a job and starts the next; false if the job had already ended.
func (r *replica) finish(j *job) bool {
	if j.ended || !r.alive {
		return false
	}
	j.ended = true
	r.release(j)
	return true
}

func (r *replica) release(j *job) {
	r.running--
	for i, other := range r.jobs {
		if other == j {
			r.jobs = append(r.jobs[:i:i], r.jobs[i+1:]...)
			break
		}
	}
	for len(r.queue) > 0 && r.running < r.slots {
		next := r.queue[0]
		r.queue = r.queue[1:]
		if !next.ended {
			r.start(next)
		}
	}
}

func (j *job) cancel() {
	if j.ended || !j.replica.alive {
		return
	}
	j.ended = true
	j.forgetUnfinished()
	for _, other := range j.replica.jobs {
		if other == j {
			j.replica.release(j)
			return
		}
	}
}

// churn stops replicas, by crash or in order, and starts others at the same address, possibly for
// another service.
func (w *World) churn() {
	if w.closing {
		return
	}
	w.after(w.between(700*time.Millisecond, 2500*time.Millisecond), w.churn)
	addresses := ordered.Keys(w.replicas)
	counts := map[string]int{}
	for _, a := range addresses {
		if !w.replicas[a].leaving {
			counts[w.replicas[a].service]++
		}
	}
	r := w.replicas[addresses[w.random.IntN(len(addresses))]]
	if r.leaving || counts[r.service] < 2 {
		return
	}
	restart := func() {
		service := r.service
		if w.chance(0.4) {
			service = allServices()[w.random.IntN(len(allServices()))]
		}
		for _, scarce := range allServices() {
			if n := counts[scarce]; n < 3 && scarce != service {
				service = scarce
				break
			}
		}
		zone := w.random.IntN(3)
		w.after(w.between(2*time.Second, 3*time.Second), func() { w.startReplica(service, r.address, zone) })
	}
	if w.chance(0.5) {
		r.leave(restart)
		return
	}
	w.Counts["replicas crashed"]++
	r.stop(restart)
}
