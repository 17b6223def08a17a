// Package admission decides which requests a node refuses while a service is overloaded.
//
// An overload sustains itself once replicas work on late requests and their retries (Bronson
// and others, Metastable Failures in Distributed Systems, HotOS 2021). A Controller refuses
// more requests while the queue of a service exceeds a target, and fewer otherwise. It never
// refuses a turn of an admitted program that can still meet its deadline. The controllers of all
// nodes agree without coordination, as they observe the same load. Start reading at Controller.
package admission

import (
	"hash/fnv"
	"time"
)

// Class is the priority class of a request.
type Class int

// Classes of requests. Those after Exempt are in the order in which they are refused: those that
// lose the least by it come first.
const (
	// Exempt requests are never refused by a Controller.
	Exempt Class = iota
	// LateTurn is a turn of a program that is past its deadline.
	LateTurn
	// FirstTurn is the first turn of a program.
	FirstTurn
	// UrgentFirstTurn is the first turn of an urgent program.
	UrgentFirstTurn
)

const (
	// TargetQueue is the number of queued requests per slot above which refusals increase. A queue
	// of this size delays a request by the same fraction of its time, which programs can tolerate.
	TargetQueue = 0.15
	// riseRate and fallRate are the changes of the level above and below TargetQueue, per second
	// and per queued request per slot.
	riseRate, fallRate = 0.8, 2.0
	// maxLevel lets the level fall soon after a long overload.
	maxLevel = 2.0
	// maxInterval bounds the time that one observation accounts for.
	maxInterval   = 500 * time.Millisecond
	minRetryAfter = 200 * time.Millisecond
)

// Controller is an integral controller of the refused fraction of each class. Its zero
// value refuses nothing. It is not safe for concurrent use.
type Controller struct {
	level      float64 // ramps maps it to refused fractions
	observedAt time.Duration
}

// Observe updates the level with the queued requests per slot. A negative value is the fraction
// of free slots.
func (c *Controller) Observe(now time.Duration, queuePerSlot float64) {
	elapsed := min(now-c.observedAt, maxInterval).Seconds()
	c.observedAt = now
	excess := queuePerSlot - TargetQueue
	if excess > 0 {
		c.level += riseRate * excess * elapsed
	} else {
		c.level += fallRate * excess * elapsed
	}
	c.level = min(max(c.level, 0), maxLevel)
}

// Between the levels from and to, the refused fraction of a class rises linearly from zero to
// max. Each max is below 1, so that no class starves.
var ramps = map[Class]struct{ from, to, max float64 }{
	LateTurn:        {from: 0, to: 0.4, max: 0.95},
	FirstTurn:       {from: 0.1, to: 0.9, max: 0.85},
	UrgentFirstTurn: {from: 0.7, to: 1.7, max: 0.85},
}

// RefusedFraction returns the refused fraction of a class, from 0 to 1.
func (c *Controller) RefusedFraction(class Class) float64 {
	ramp, ok := ramps[class]
	if !ok || c.level <= ramp.from {
		return 0
	}
	return ramp.max * min((c.level-ramp.from)/(ramp.to-ramp.from), 1)
}

// RetryAfter returns the delay before a retry: minRetryAfter and the time in which the level would
// reach zero with full slots and an empty queue.
func (c *Controller) RetryAfter() time.Duration {
	return minRetryAfter + time.Duration(c.level/(fallRate*TargetQueue)*float64(time.Second))
}

// Admits reports whether a request is admitted. At a given level the answer depends on the
// program alone: one that is admitted after several retries would have too little time left, and
// would take the slot of one that has enough.
func (c *Controller) Admits(class Class, program string) bool {
	return hashFraction(program) >= c.RefusedFraction(class)
}

// hashFraction returns a uniformly distributed number in [0, 1).
func hashFraction(program string) float64 {
	h := fnv.New64a()
	h.Write([]byte(program))
	x := h.Sum64()
	// FNV-1a distributes its high bits, which are used below, worse than its low bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
