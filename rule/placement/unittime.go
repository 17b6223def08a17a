package placement

import (
	"slices"
	"time"
)

// UnitTime estimates the time that a replica takes for a unit of work: one event of a
// stream after the first. The weight of a sample decays as that of a FailureRate does. Its
// zero value has no samples.
type UnitTime struct {
	busy      float64
	units     float64
	updatedAt time.Duration
}

const (
	// unitTimeHeartbeats is the time constant of a UnitTime in heartbeat intervals. It is
	// long, as replicas differ by their machines, which seldom change.
	unitTimeHeartbeats = 8
	// minUnits is the weight of samples that an estimate requires.
	minUnits = 8
	// referenceDivisor selects the reference replica: one in referenceDivisor replicas is
	// faster. The fastest replica is not used, as its estimate may be an outlier.
	referenceDivisor = 6
	// maxSlowness bounds Replica.Slowness.
	maxSlowness = 8
)

// Add records that a number of units took the given time.
func (u *UnitTime) Add(now, heartbeat time.Duration, busy time.Duration, units int64) {
	weight := decay(now-u.updatedAt, unitTimeHeartbeats*heartbeat)
	u.busy = u.busy*weight + float64(busy)
	u.units = u.units*weight + float64(units)
	u.updatedAt = now
}

// At returns the estimate at a given time, or zero if there are too few recent samples.
func (u *UnitTime) At(now, heartbeat time.Duration) time.Duration {
	if u.units*decay(now-u.updatedAt, unitTimeHeartbeats*heartbeat) < minUnits {
		return 0
	}
	return time.Duration(u.busy / u.units)
}

// ReferenceUnitTime returns the unit time of a fast replica, to which others are compared,
// or zero if no replica's unit time is known.
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

// SetUnitTime sets the replica's unit time as aggregated over all nodes; zero if unknown.
func (r *Replica) SetUnitTime(unitTime time.Duration) { r.unitTime = unitTime }

// Slowness returns the ratio of the replica's unit time to the reference, from 1 to
// maxSlowness. It is 1 if either is unknown.
func (r *Replica) Slowness(reference time.Duration) float64 {
	if r.unitTime <= 0 || reference <= 0 {
		return 1
	}
	return min(max(float64(r.unitTime)/float64(reference), 1), maxSlowness)
}
