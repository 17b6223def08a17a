package placement

import (
	"math"
	"time"
)

const (
	// goodFaith is how many good requests a replica is believed to have had before any
	// were seen.
	goodFaith = 2
	// faultFloor is up to where a rate of failures says nothing: services fail now and
	// then wherever a request goes.
	faultFloor = 0.03
)

// FailureRate estimates how often requests fail, by what was seen lately: in each memory
// period what was seen loses its weight to a factor of e, as replicas break and recover
// within seconds. Its zero value has seen nothing.
type FailureRate struct {
	good, failed float64
	at           time.Duration
}

// Add takes requests that ended.
func (f *FailureRate) Add(now, memory time.Duration, good, failed int64) {
	weight := faded(now-f.at, memory)
	f.good = f.good*weight + float64(good)
	f.failed = f.failed*weight + float64(failed)
	f.at = now
}

// At is the estimate at a moment.
func (f *FailureRate) At(now, memory time.Duration) float64 {
	weight := faded(now-f.at, memory)
	rate := f.failed * weight / ((f.failed+f.good)*weight + goodFaith)
	if rate < faultFloor {
		return 0
	}
	return rate
}

func faded(passed, memory time.Duration) float64 {
	return math.Exp(-max(passed, 0).Seconds() / memory.Seconds())
}
