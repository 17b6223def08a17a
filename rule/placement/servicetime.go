package placement

import "time"

// ServiceTime is a moving average of the time that requests of a service take at a replica
// with a free slot. Its zero value has no samples.
type ServiceTime struct {
	mean time.Duration
}

const (
	// defaultServiceTime is the mean while there are no samples.
	defaultServiceTime = 100 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample in the mean.
	serviceTimeWeight = 1.0 / 16
)

// Add records the duration of one request.
func (s *ServiceTime) Add(duration time.Duration) {
	if s.mean == 0 {
		s.mean = duration
		return
	}
	s.mean += time.Duration(float64(duration-s.mean) * serviceTimeWeight)
}

// Mean returns the moving average.
func (s *ServiceTime) Mean() time.Duration {
	if s.mean == 0 {
		return defaultServiceTime
	}
	return s.mean
}
