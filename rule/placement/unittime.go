package placement

import (
	"slices"
	"time"
)

// UnitTime estimates a replica's time for a unit of work: one event of a stream after the
// first. The weight of a sample decays exponentially. Its zero value has no samples.
type UnitTime struct {
	busy      float64
	units     float64
	updatedAt time.Duration
}

const (
	// The time constant, in heartbeat intervals, is long as replicas seldom change machines.
	unitTimeHeartbeats = 8
	// minUnits is the total weight that an estimate requires.
	minUnits = 8
	// One in referenceDivisor replicas is faster than the reference, as the fastest one may be an
	// outlier.
	referenceDivisor = 6
	maxSlowness      = 8
)

// Add records the time that a number of units took.
func (u *UnitTime) Add(now, heartbeat time.Duration, busy time.Duration, units int64) {
	weight := decay(now-u.updatedAt, unitTimeHeartbeats*heartbeat)
	u.busy = u.busy*weight + float64(busy)
	u.units = u.units*weight + float64(units)
	u.updatedAt = now
}

// At returns the estimate, or zero if there are too few recent samples.
func (u *UnitTime) At(now, heartbeat time.Duration) time.Duration {
	if u.units*decay(now-u.updatedAt, unitTimeHeartbeats*heartbeat) < minUnits {
		return 0
	}
	return time.Duration(u.busy / u.units)
}

// ReferenceUnitTime returns the unit time of a fast replica, or zero if none is known.
func ReferenceUnitTime(replicas []*Replica) time.Duration {
	var unitTimes []time.Duration
	for _, r := range replicas {
		if r.unitTime > 0 {
			unitTimes = append(unitTimes, r.unitTime)
		}
	}
	if len(unitTimes) == 0 {
		return 0
	}
	slices.Sort(unitTimes)
	return unitTimes[len(unitTimes)/referenceDivisor]
}

// SetUnitTime sets the unit time aggregated over all nodes, or zero if unknown.
func (r *Replica) SetUnitTime(unitTime time.Duration) { r.unitTime = unitTime }

// Slowness returns the ratio of the unit time to the reference, from 1 to maxSlowness. It is 1 if
// either is unknown.
func (r *Replica) Slowness(reference time.Duration) float64 {
	if r.unitTime <= 0 || reference <= 0 {
		return 1
	}
	return min(max(float64(r.unitTime)/float64(reference), 1), maxSlowness)
}
