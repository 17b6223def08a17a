package shares

import (
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/rate"
)

// blocksPerWindow divides a limit into blocks that are written before they are used.
const blocksPerWindow = 8

// callBytes is the size of a call on one request and of its answer: tenant, ID and outcome.
const callBytes = frameBytes + 32

// counter counts a tenant's admissions in a sliding window. Like the ledger, it writes ahead: what
// a write has reserved counts as admitted for the next leader.
type counter struct {
	max      int64
	admitted []time.Duration
	// reserved may be admitted before the next write. written has the admissions at the last one.
	reserved int64
	written  []time.Duration
}

func (c *counter) used(now time.Duration) int64 { return int64(inWindow(c.admitted, now)) }

// admit returns the bytes that must be written before the answer.
func (c *counter) admit(now time.Duration) (ok bool, writeBytes int) {
	if c.used(now) >= c.max {
		return false, 0
	}
	if c.reserved == 0 {
		c.reserved = max(c.max/blocksPerWindow, 1)
		c.written = append([]time.Duration(nil), c.admitted...)
		writeBytes = writtenBytes
	}
	c.reserved--
	c.admitted = append(c.admitted, now)
	return true, writeBytes
}

func (c *counter) restore(now time.Duration) {
	c.admitted, c.reserved = c.written, 0
	for range max(c.max/blocksPerWindow, 1) {
		c.admitted = append(c.admitted, now)
	}
}

// writtenBytes is the size of a written counter: a ledger's durable state with full buckets.
var writtenBytes = frameBytes + len(message.Marshal(rate.DurableState{
	Limit: rate.Limit{Window: window, Max: 1000},
	Spent: make([]rate.Bucket, 20),
}))

// central counts at the leader only: each request asks it.
type central struct {
	*world
	counters []*counter
}

func (c *central) name() string { return "leader only" }

func (c *central) start(w *world) {
	c.world = w
	for _, t := range w.tenants {
		c.counters = append(c.counters, &counter{max: t.limit.Max})
	}
}

func (c *central) leaderMoved(partition int) { c.leaderLost(partition) }

func (c *central) leaderLost(partition int) {
	for t, counter := range c.counters {
		if c.partitionOf(t) == partition {
			counter.restore(c.now)
		}
	}
}

func (c *central) admit(req *request) {
	partition := c.partitionOf(req.tenant)
	c.ask(req, func() int { return c.leaderZone(c.now, partition) }, c.counters[req.tenant], nil)
}

// ask asks a counter at a leader about one request. Repeated calls have the first one's answer.
func (w *world) ask(req *request, zone func() int, c *counter, asked func()) {
	var ok, counted bool
	w.call(&call{
		node:      req.node,
		partition: w.partitionOf(req.tenant),
		zone:      zone,
		size:      callBytes,
		until:     req.at + maxWait,
		serve: func() reply {
			writeBytes := 0
			if !counted {
				ok, writeBytes = c.admit(w.now)
				counted = true
				if asked != nil {
					asked()
				}
			}
			return reply{size: callBytes, writeBytes: writeBytes, apply: func() { w.decide(req, ok) }}
		},
		failed: func() { w.decide(req, false) },
	})
}

// ideal counts all requests at once and without messages, as a bound for the other ways.
type ideal struct {
	*world
	counters []*counter
}

func (i *ideal) name() string { return "exact, no messages" }

func (i *ideal) start(w *world) {
	i.world = w
	for _, t := range w.tenants {
		i.counters = append(i.counters, &counter{max: t.limit.Max})
	}
}

func (i *ideal) leaderLost(int) {}

func (i *ideal) leaderMoved(int) {}

func (i *ideal) admit(req *request) {
	ok, _ := i.counters[req.tenant].admit(i.now)
	i.decide(req, ok)
}
