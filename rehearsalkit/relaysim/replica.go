package relaysim

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"saffronfall/peer/desk"
	"saffronfall/peer/relay"
	"saffronfall/rule/ordered"
)

// Services of the simulated deployment. The models put out streams.
const (
	modelA, modelB = "model-a", "model-b"
	plainA, plainB = "plain-a", "plain-b"
)

func streams(service string) bool { return service == modelA || service == modelB }

func tokensPer(service string) int64 {
	if service == modelB {
		return tokensOf - 2
	}
	return tokensOf
}

// replica is one life of a stand-in replica.
type replica struct {
	world   *World
	id      string
	service string
	address string
	zone    string
	alive   bool
	leaving bool
	call    int64
	slots   int
	running int
	queue   []*job
	jobs    []*job
	target  *process
}

// job is one request at a replica.
type job struct {
	replica *replica
	sending *sending
	ended   bool
	within  time.Duration
	queued  time.Duration
}

func (w *World) startReplica(service, address string, zone int) *replica {
	w.marks++
	r := &replica{world: w, id: fmt.Sprintf("r%d-%s", w.marks, service), service: service, address: address, zone: fmt.Sprintf("zone-%d", zone%w.Params.Zones+1), alive: true, slots: 6}
	if streams(service) {
		r.slots = 8
	}
	w.replicas[address] = r
	r.beat(func() {})
	w.after(beatPeriod, r.beats)
	return r
}

func (r *replica) beats() {
	if r.alive {
		r.beat(func() {})
		r.world.after(r.world.between(beatPeriod*9/10, beatPeriod*11/10), r.beats)
	}
}

// beat announces the replica at a desk, and at the next where it is not heard
// within a second, as where the desk says that it can pass nothing on.
func (r *replica) beat(heard func()) {
	w := r.world
	if r.target == nil {
		r.target = w.anyDesk()
	}
	to, done := r.target, false
	r.call++
	word := desk.Replica{ID: r.id, Service: r.service, Address: r.address, Zone: r.zone, Slots: int64(r.slots), Leaving: r.leaving, Sequence: r.call}
	w.after(w.delay(), func() {
		if w.isCut(r.address, to.address) {
			return
		}
		to.do(func() {
			life := to.life
			to.announce(func(ticket uint64) desk.Output { return to.desk.Heartbeat(to.now(), ticket, word) }, func(reached bool) {
				if !reached {
					return
				}
				w.after(w.delay(), func() {
					if to.life == life && !done && r.alive {
						done = true
						if word.Leaving {
							w.Record.Words = append(w.Record.Words, Word{At: w.now, Replica: r.id})
						}
						heard()
					}
				})
			})
		})
	})
	w.after(time.Second, func() {
		if !done && r.alive {
			done, r.target = true, nil
			r.beat(heard)
		}
	})
}

// leave says that the replica goes, waits until it is heard and a little longer,
// takes its name off the list, and ends.
func (r *replica) leave(then func()) {
	w := r.world
	r.leaving = true
	w.Counts["replicas left in order"]++
	end := func() {
		if r.alive {
			to := w.anyDesk()
			to.do(func() { to.takeDesk(to.desk.Leave(to.now(), 0, r.id)) })
			w.after(w.between(50*time.Millisecond, 300*time.Millisecond), func() { r.end(then) })
		}
	}
	heard := false
	r.beat(func() {
		if !heard {
			heard = true
			w.after(w.Record.Limits.Drain+w.between(200*time.Millisecond, 800*time.Millisecond), end)
		}
	})
	w.after(6*time.Second, func() {
		if !heard {
			heard = true
			end()
		}
	})
}

// end ends a replica's life; requests that run there break off.
func (r *replica) end(then func()) {
	if !r.alive {
		return
	}
	r.alive = false
	delete(r.world.replicas, r.address)
	for _, j := range append(r.jobs, r.queue...) {
		if !j.ended {
			j.ended = true
			j.sending.back(func() { j.sending.over(relay.Outcome{Kind: relay.OutcomeInterrupted}) })
		}
	}
	r.jobs, r.queue = nil, nil
	then()
}

func (r *replica) load() *relay.Load {
	return &relay.Load{Running: int64(r.running), Waiting: int64(len(r.queue)), Slots: int64(r.slots)}
}

// arrive takes a request from a node.
func (r *replica) arrive(s *sending) {
	w := r.world
	at := Arrival{At: w.now, Replica: r.id, Service: r.service, Node: s.way.node.id, Life: s.way.life, Attempt: s.way.request.Attempt, Tenant: s.step.Tenant, Sent: s.sentAt}
	if s.step.Replica.ID != r.id {
		at.Moved = true
		w.Record.Arrivals = append(w.Record.Arrivals, at)
		w.Counts["moved"]++
		s.back(func() { s.over(relay.Outcome{Kind: relay.OutcomeNotRun, AddressReused: true}) })
		return
	}
	w.Record.Arrivals = append(w.Record.Arrivals, at)
	j := &job{replica: r, sending: s, within: w.now + s.step.Timeout, queued: w.now}
	s.job = j
	switch {
	case r.running < r.slots:
		r.begin(j)
	case len(r.queue) < 3:
		r.queue = append(r.queue, j)
		w.after(w.between(100*time.Millisecond, 400*time.Millisecond), func() { r.turnAway(j) })
	default:
		r.turnAway(j)
	}
}

// turnAway promises that a request was not run.
func (r *replica) turnAway(j *job) {
	if j.ended || slices.Contains(r.jobs, j) {
		return
	}
	if i := slices.Index(r.queue, j); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
	}
	j.ended = true
	r.world.Counts["turned away"]++
	o := relay.Outcome{Kind: relay.OutcomeNotRun, Load: r.load()}
	j.sending.back(func() { j.sending.over(o) })
}

func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// piece is what a replica puts out as one event of an attempt's stream.
func piece(attempt string, n int64) string { return fmt.Sprintf("%s:%d", attempt, n) }

// begin begins work: from here on the request has run.
func (r *replica) begin(j *job) {
	w, s := r.world, j.sending
	r.running++
	r.jobs = append(r.jobs, j)
	text := ""
	for _, before := range s.step.History {
		text += string(before)
	}
	w.Record.Runs = append(w.Record.Runs, Work{At: w.now, Sent: s.sentAt, Replica: r.id, Service: r.service, Node: s.way.node.id, Life: s.way.life, Attempt: s.way.request.Attempt,
		Tenant: s.step.Tenant, Text: text + s.way.request.Input, From: s.way.events})
	run := len(w.Record.Runs) - 1
	if !streams(r.service) {
		took := w.between(3*time.Millisecond, 40*time.Millisecond)
		fate := w.random.Float64()
		w.after(took, func() {
			if !r.finish(j) {
				return
			}
			o := relay.Outcome{Kind: relay.OutcomeComplete, Load: r.load()}
			switch {
			case fate < 0.02:
				w.Counts["answers lost"]++
				o = relay.Outcome{Kind: relay.OutcomeInterrupted}
			case fate < 0.04:
				o.Failed = true
			}
			s.back(func() { s.over(o) })
		})
		return
	}
	per := tokensPer(r.service)
	count := max(1, int64(hash(s.way.request.Attempt)%uint64(max(1, s.way.request.Most/per)))+1)
	if s.way.request.Most/per < count {
		count = s.way.request.Most / per
	}
	breakAt := int64(-1)
	if w.chance(0.05) {
		breakAt = s.way.events + int64(w.random.IntN(int(count)+1))
	}
	var next func(n int64)
	next = func(n int64) {
		if j.ended || !r.alive {
			return
		}
		if w.now >= j.within || n-1 == breakAt {
			if r.finish(j) {
				w.Counts["streams broken off"]++
				s.back(func() { s.over(relay.Outcome{Kind: relay.OutcomeInterrupted}) })
			}
			return
		}
		if n > count {
			if r.finish(j) {
				w.Record.Runs[run].Whole = true
				load := r.load()
				s.back(func() { s.over(relay.Outcome{Kind: relay.OutcomeComplete, Load: load}) })
			}
			return
		}
		w.Record.Runs[run].Events++
		w.Record.Runs[run].Output += piece(s.way.request.Attempt, n) + "\n"
		s.back(func() { s.event(n, per) })
		w.after(w.between(4*time.Millisecond, 30*time.Millisecond), func() { next(n + 1) })
	}
	w.after(w.between(5*time.Millisecond, 40*time.Millisecond), func() { next(s.way.events + 1) })
}

// finish ends a job and lets the next one begin.
func (r *replica) finish(j *job) bool {
	if j.ended || !r.alive {
		return false
	}
	j.ended = true
	r.free(j)
	return true
}

func (r *replica) free(j *job) {
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
			r.begin(next)
		}
	}
}

// drop ends a job whose connection closed.
func (j *job) drop() {
	if j.ended || !j.replica.alive {
		return
	}
	j.ended = true
	for _, other := range j.replica.jobs {
		if other == j {
			j.replica.free(j)
			return
		}
	}
}

// churn ends replicas, by crash or in order, and starts others in their place:
// at the same address, and not always of the same service.
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
	again := func() {
		service := r.service
		if w.chance(0.4) {
			service = []string{modelA, modelB, plainA, plainB}[w.random.IntN(4)]
		}
		for _, short := range []string{modelA, modelB, plainA, plainB} {
			if n := counts[short]; n < 3 && short != service {
				service = short
				break
			}
		}
		zone := w.random.IntN(3)
		w.after(w.between(2*time.Second, 3*time.Second), func() { w.startReplica(service, r.address, zone) })
	}
	if w.chance(0.5) {
		r.leave(again)
		return
	}
	w.Counts["replicas crashed"]++
	r.end(again)
}
