// Package admission decides which requests a node refuses while a service is overloaded.
//
// An overload sustains itself once replicas spend their time on requests that are already
// late and on their retries (Bronson and others, Metastable Failures in Distributed
// Systems, HotOS 2021). A Controller therefore raises the fraction of refused requests
// while the queue of a service exceeds a target, and lowers it otherwise. Turns of programs
// that are past their deadline are refused first, then first turns of new programs, and
// urgent new programs last. Turns of admitted programs that can still meet their deadline
// are never refused.
//
// All nodes observe the same load, so their controllers agree without coordination. Start
// reading at Controller.
package admission

import (
	"hash/fnv"
	"time"
)

// Class is the priority class of a request.
type Class int

// Classes of requests; all but Exempt are listed in the order in which they are refused.
const (
	// Exempt requests are never refused by a Controller.
	Exempt Class = iota
	// LateTurn is a turn of a program that is past its deadline.
	LateTurn
	// FirstTurn is the first turn of a program.
	FirstTurn
	// UrgentFirstTurn is the first turn of a program that is more urgent than others.
	UrgentFirstTurn
)

const (
	// TargetQueue is the number of queued requests per slot above which a Controller
	// starts to refuse requests.
	TargetQueue = 0.15
	// riseRate and fallRate are the changes of the level per second and per queued
	// request per slot above and below TargetQueue.
	riseRate, fallRate = 0.8, 2.0
	// maxLevel bounds the level, so that it falls soon after a long overload.
	maxLevel = 2.0
	// maxInterval bounds the time that one observation accounts for.
	maxInterval = 500 * time.Millisecond
	// minRetryAfter is the lower bound of RetryAfter.
	minRetryAfter = 200 * time.Millisecond
)

// Controller is an integral controller of the refused fraction of each class. Its zero
// value refuses nothing. It is not safe for concurrent use.
type Controller struct {
	level      float64
	observedAt time.Duration
}

// Observe updates the level with the number of queued requests per slot. A negative queue
// is the fraction of slots that are free.
func (c *Controller) Observe(now time.Duration, queue float64) {
	elapsed := min(now-c.observedAt, maxInterval).Seconds()
	c.observedAt = now
	excess := queue - TargetQueue
	if excess > 0 {
		c.level += riseRate * excess * elapsed
	} else {
		c.level += fallRate * excess * elapsed
	}
	c.level = min(max(c.level, 0), maxLevel)
}

// ramps maps a class to the levels between which its refused fraction rises linearly from
// zero to max. Each max is below 1, so that no class starves.
var ramps = map[Class]struct{ from, to, max float64 }{
	LateTurn:        {from: 0, to: 0.4, max: 0.95},
	FirstTurn:       {from: 0.1, to: 0.9, max: 0.85},
	UrgentFirstTurn: {from: 0.7, to: 1.7, max: 0.85},
}

// RefusedFraction returns the fraction of a class that is currently refused, from 0 to 1.
func (c *Controller) RefusedFraction(class Class) float64 {
	ramp, ok := ramps[class]
	if !ok || c.level <= ramp.from {
		return 0
	}
	return ramp.max * min((c.level-ramp.from)/(ramp.to-ramp.from), 1)
}

// RetryAfter returns the delay after which a refused request may be retried: about the time
// that the level needs to reach zero if the load ended now.
func (c *Controller) RetryAfter() time.Duration {
	return minRetryAfter + time.Duration(c.level/(fallRate*TargetQueue)*float64(time.Second))
}

// Admits reports whether a request of a program is admitted. At a given level the decision
// depends on the program alone, at every node and for every retry: a program admitted after
// several retries would have too little time left, and would take a slot from one that has
// enough.
func (c *Controller) Admits(class Class, program string) bool {
	return hashFraction(program) >= c.RefusedFraction(class)
}

// hashFraction maps a program to a uniformly distributed number in [0, 1).
func hashFraction(program string) float64 {
	h := fnv.New64a()
	h.Write([]byte(program))
	x := h.Sum64()
	// FNV-1a distributes its low bits better than its high bits, which are used below.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
