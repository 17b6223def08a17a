package placement

import (
	"math"
	"time"
)

const (
	// priorSuccesses is the number of successful requests that is assumed in addition to
	// the observed ones, so that a single failure weighs little.
	priorSuccesses = 2
	// minFailureRate is the failure rate below which an estimate is reported as zero:
	// requests occasionally fail at any replica.
	minFailureRate = 0.03
)

// FailureRate estimates the fraction of requests that fail. The weight of an observation
// decays exponentially with a given time constant, as replicas fail and recover within
// seconds. Its zero value has no observations.
type FailureRate struct {
	succeeded, failed float64
	updatedAt         time.Duration
}

// Add records the numbers of requests that succeeded and failed.
func (f *FailureRate) Add(now, timeConstant time.Duration, succeeded, failed int64) {
	weight := decay(now-f.updatedAt, timeConstant)
	f.succeeded = f.succeeded*weight + float64(succeeded)
	f.failed = f.failed*weight + float64(failed)
	f.updatedAt = now
}

// At returns the estimate at a given time, from 0 to 1.
func (f *FailureRate) At(now, timeConstant time.Duration) float64 {
	weight := decay(now-f.updatedAt, timeConstant)
	rate := f.failed * weight / ((f.failed+f.succeeded)*weight + priorSuccesses)
	if rate < minFailureRate {
		return 0
	}
	return rate
}

// decay returns the remaining weight of an observation of the given age.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / timeConstant.Seconds())
}
