package shares

import (
	"math/rand/v2"
	"time"

	"saffronfall/rehearsalkit/eventqueue"
)

const (
	localDelay = 200 * time.Microsecond
	// One message in lossOdds is lost, one in stallOdds takes up to maxStall longer.
	lossOdds  = 1000
	stallOdds = 500
	maxStall  = 250 * time.Millisecond
	// A call is sent again after callRetry without an answer.
	callRetry = 150 * time.Millisecond
	// The write of a group: a message and its acknowledgement for each other member, and a sync.
	groupSize = 5
	syncDelay = 4 * time.Millisecond
	// frameBytes is the overhead of a message.
	frameBytes = 48
	// A request waits at most maxWait for its admission.
	maxWait = 1500 * time.Millisecond
	// The way of an admitted request to its replica takes at most maxSendDelay.
	maxSendDelay = 3 * time.Millisecond
)

// way is a way to hold rates. It decides each request by calling world.decide.
type way interface {
	// name is the way's row in the table.
	name() string
	start(w *world)
	admit(req *request)
	// leaderLost tells that the successor of the partition's leader, or of another process in its
	// place and zone, has only what was written.
	leaderLost(partition int)
	// leaderMoved tells that a partition's leader was cut off and has a successor elsewhere.
	leaderMoved(partition int)
}

type request struct {
	arrival
	decided bool
}

// world runs a scenario with one way.
type world struct {
	*scenario
	way    way
	now    time.Duration
	events eventqueue.Queue
	random *rand.Rand
	record record
	// blocked has the holders that could not write: all later answers of a partition wait for a write.
	blocked map[holder]bool
}

// holder is the process in a zone that counts for a partition.
type holder struct{ partition, zone int }

func run(s *scenario, way way) *measures {
	w := &world{scenario: s, way: way, random: rand.New(rand.NewPCG(s.seed, 2)), blocked: map[holder]bool{}}
	w.record = newRecord(len(s.tenants))
	way.start(w)
	for _, a := range s.arrivals {
		w.events.Add(a.at, func() { w.arrive(a) })
	}
	w.events.Add(leaderBackAt, func() { way.leaderLost(s.partitionOf(s.hot)) })
	w.events.Add(leadersMovedAt, func() {
		for partition := range partitions {
			if s.firstLeaderZone(partition) == s.cutZone {
				way.leaderMoved(partition)
			}
		}
	})
	w.events.Run(scenarioDuration, &w.now)
	return w.record.measure(s)
}

// arrive gives a request to its node, or to the next one that runs.
func (w *world) arrive(a arrival) {
	for !w.up(w.now, a.node) {
		a.node = (a.node + 1) % w.nodes
	}
	req := &request{arrival: a}
	w.events.Add(w.now+maxWait, func() { w.decide(req, false) })
	w.way.admit(req)
}

// decide ends the admission of a request; only the first decision counts.
func (w *world) decide(req *request, admitted bool) {
	if req.decided {
		return
	}
	req.decided = true
	if admitted && !w.up(w.now, req.node) {
		return
	}
	sent := w.now + time.Duration(w.random.Int64N(int64(maxSendDelay)))
	w.record.decided(w.now, req, admitted, sent, w.tenants[req.tenant].plain)
}

// every runs a step of a running node periodically, with the nodes spread over the interval.
func (w *world) every(interval time.Duration, node int, step func()) {
	var tick func()
	tick = func() {
		if w.gone(w.now, node) {
			return
		}
		if w.up(w.now, node) {
			step()
		}
		w.events.Add(w.now+interval, tick)
	}
	w.events.Add(interval*time.Duration(node)/time.Duration(w.nodes), tick)
}

// deliver sends a message between zones, or loses it.
func (w *world) deliver(from, to, size int, receive func()) {
	w.record.sent(size)
	delay := localDelay
	if from != to {
		delay = w.crossDelay
	}
	delay += time.Duration(w.random.Int64N(int64(delay)))
	if w.random.IntN(stallOdds) == 0 {
		delay += time.Duration(w.random.Int64N(int64(maxStall)))
	}
	if w.random.IntN(lossOdds) == 0 || !w.connected(w.now, from, to) {
		return
	}
	w.events.Add(w.now+delay, receive)
}

// reply is a leader's answer to a call. A written one is first replicated in the leader's group.
type reply struct {
	size       int
	writeBytes int
	apply      func()
}

// call is a call from a node to a leader. Serve runs at each arrival there, so it must be
// idempotent; the apply of one reply runs at the node.
type call struct {
	node, partition int
	// zone is that of the leader at the time of an attempt.
	zone    func() int
	size    int
	until   time.Duration
	serve   func() reply
	failed  func()
	settled bool
}

func (w *world) call(c *call) {
	if c.settled || w.gone(w.now, c.node) {
		return
	}
	if w.now >= c.until {
		c.settled = true
		c.failed()
		return
	}
	zone := c.zone()
	w.deliver(w.zoneOf(c.node), zone, c.size, func() { w.serve(c, zone) })
	w.events.Add(w.now+min(callRetry, c.until-w.now), func() { w.call(c) })
}

func (w *world) serve(c *call, zone int) {
	if !w.holderUp(w.now, c.partition, zone) || zone != c.zone() ||
		w.blocked[holder{c.partition, zone}] && !w.canWrite(w.now, zone) {
		return
	}
	answer := c.serve()
	back := func() {
		if w.holderUp(w.now, c.partition, zone) {
			w.deliver(zone, w.zoneOf(c.node), answer.size, func() { w.receive(c, answer) })
		}
	}
	if answer.writeBytes == 0 {
		back()
		return
	}
	for range groupSize - 1 {
		w.record.sent(answer.writeBytes)
		w.record.sent(frameBytes)
	}
	if !w.canWrite(w.now, zone) {
		w.blocked[holder{c.partition, zone}] = true
		return
	}
	w.events.Add(w.now+2*w.crossDelay+syncDelay, back)
}

// receive applies an answer, at a suspended node when it runs again.
func (w *world) receive(c *call, answer reply) {
	if c.settled || w.gone(w.now, c.node) {
		return
	}
	if !w.up(w.now, c.node) {
		w.events.Add(frozenUntil, func() { w.receive(c, answer) })
		return
	}
	c.settled = true
	answer.apply()
}
