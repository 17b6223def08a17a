package placement

import (
	"slices"
	"time"
)

// Pace estimates how long a replica takes for a unit of work, which is an event of a stream
// after the first. Old samples lose their weight in the same
// way as those of a FailureRate. Its zero value has seen nothing.
type Pace struct {
	busy  float64
	units float64
	at    time.Duration
}

const (
	// paceBeats is for how many heartbeats samples of a pace keep weight: replicas differ
	// by their machines, which change seldom.
	paceBeats = 8
	// fewUnits is how many units are needed before a pace is told.
	fewUnits = 8
)

// Add takes work that was done.
func (p *Pace) Add(now, beat time.Duration, busy time.Duration, units int64) {
	weight := faded(now-p.at, paceBeats*beat)
	p.busy = p.busy*weight + float64(busy)
	p.units = p.units*weight + float64(units)
	p.at = now
}

// At is the time that a unit takes, or zero where too little was seen.
func (p *Pace) At(now, beat time.Duration) time.Duration {
	if p.units*faded(now-p.at, paceBeats*beat) < fewUnits {
		return 0
	}
	return time.Duration(p.busy / p.units)
}

// referenceShare is which part of the replicas is faster than the reference: the fastest
// ones, but for a few whose figures are odd.
const referenceShare = 6

// Reference is the pace that those of replicas are compared with, or zero where none is
// known.
func Reference(replicas []*Replica) time.Duration {
	var paces []time.Duration
	for _, r := range replicas {
		if r.pace > 0 {
			paces = append(paces, r.pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/referenceShare]
}

// mostSlowness bounds how slow a replica is taken to be.
const mostSlowness = 8

// SetPace takes how long a replica takes for a unit of work, by what all nodes saw.
func (r *Replica) SetPace(pace time.Duration) { r.pace = pace }

// Slowness is how much longer a replica takes than the reference; at least 1, and 1 where
// it is not known.
func (r *Replica) Slowness(reference time.Duration) float64 {
	if r.pace <= 0 || reference <= 0 {
		return 1
	}
	return min(max(float64(r.pace)/float64(reference), 1), mostSlowness)
}
