// Package admission decides which requests a node refuses while the replicas of a service
// have more to do than they can, so that what is served is served in time.
//
// Load that lasts is kept up by its own late and repeated turns (Bronson and others, HotOS
// 2021): places are taken by programs that are late already, so others become late too. A
// Controller therefore raises the part of requests that are refused for as long as requests
// are delayed beyond a target, and lowers it when they are not. What is
// refused first is what loses least: turns of programs that are late already, then first
// turns of new programs, less urgent ones before more urgent ones. Turns of programs that
// can still be in time are never refused here.
//
// All nodes observe the same load, so their controllers agree without talking.
package admission

import (
	"hash/fnv"
	"time"
)

// Class is what a request is to the decision.
type Class int

// Classes of requests, in the order in which they are refused.
const (
	// Exempt: never refused here.
	Exempt Class = iota
	// Late: a turn of a program whose time is over.
	Late
	// New: the first turn of a program.
	New
	// NewUrgent: the first turn of a program that is more urgent than others.
	NewUrgent
)

const (
	// Target is how many requests may wait for each place before anything is refused: that
	// delays a request by as large a part of its time, which programs can bear.
	Target = 0.15
	// rise is how fast the controller's level rises, for each second in which requests
	// are delayed by their whole time beyond the target; fall is how fast it falls.
	rise, fall = 0.8, 2.0
	// mostLevel bounds the level, so that it falls soon after a long overload.
	mostLevel = 2.0
	// longestStep bounds the time that one observation stands for.
	longestStep = 500 * time.Millisecond
)

// Controller holds how much is refused now. Its zero value refuses nothing.
type Controller struct {
	level float64
	at    time.Duration
}

// Observe takes how many requests wait for each place that runs one; below zero, it is the
// part of the places that is free.
func (c *Controller) Observe(now time.Duration, waiting float64) {
	passed := min(now-c.at, longestStep).Seconds()
	c.at = now
	excess := waiting - Target
	if excess > 0 {
		c.level += rise * excess * passed
	} else {
		c.level += fall * excess * passed
	}
	c.level = min(max(c.level, 0), mostLevel)
}

// ramps say from which level on a class is refused, at which level most of it is, and how
// much that is: some of each class is always let in, so that none starves.
var ramps = map[Class]struct{ from, to, most float64 }{
	Late:      {from: 0, to: 0.4, most: 0.95},
	New:       {from: 0.1, to: 0.9, most: 0.85},
	NewUrgent: {from: 0.7, to: 1.7, most: 0.85},
}

// RefusedFraction is which part of a class is refused now.
func (c *Controller) RefusedFraction(class Class) float64 {
	ramp, ok := ramps[class]
	if !ok || c.level <= ramp.from {
		return 0
	}
	return ramp.most * min((c.level-ramp.from)/(ramp.to-ramp.from), 1)
}

// RetryAfter is after which time a refused request may come back: about when the level has
// fallen, if the load ended now.
func (c *Controller) RetryAfter() time.Duration {
	return shortestWait + time.Duration(c.level/(fall*Target)*float64(time.Second))
}

// shortestWait is the least time after which a refused request may come back.
const shortestWait = 200 * time.Millisecond

// Admits decides on a request of a program. All requests of one program are decided alike,
// at every node and however often they come back, until the level changes: a program that
// got in at its fifth try would have lost the time in which it could be done, and take the
// place of one that has it.
func (c *Controller) Admits(class Class, program string) bool {
	return place(program) >= c.RefusedFraction(class)
}

// place is where a program stands among all, from 0 up to 1.
func place(program string) float64 {
	h := fnv.New64a()
	h.Write([]byte(program))
	x := h.Sum64()
	// The low bits of this hash are spread better than the high ones.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
