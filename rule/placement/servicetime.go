package placement

import "time"

// ServiceTime averages the durations of a service's requests at replicas with a free slot. Its
// zero value has no samples.
type ServiceTime struct {
	mean time.Duration
}

const (
	defaultServiceTime = 100 * time.Millisecond
	serviceTimeWeight  = 1.0 / 16
)

// Add records the duration of one request.
func (s *ServiceTime) Add(duration time.Duration) {
	if s.mean == 0 {
		s.mean = duration
		return
	}
	s.mean += time.Duration(float64(duration-s.mean) * serviceTimeWeight)
}

// Mean returns the moving average, or a default without samples.
func (s *ServiceTime) Mean() time.Duration {
	if s.mean == 0 {
		return defaultServiceTime
	}
	return s.mean
}
