package placement

import "time"

// ServiceTime estimates how long requests of a service take at a replica that has room.
// Its zero value has seen none.
type ServiceTime struct {
	mean time.Duration
}

const (
	// firstServiceTime is assumed until a request has been seen.
	firstServiceTime = 100 * time.Millisecond
	// serviceTimeWeight is the weight of a new sample against the mean.
	serviceTimeWeight = 1.0 / 16
)

// Add takes the time that a request took.
func (s *ServiceTime) Add(took time.Duration) {
	if s.mean == 0 {
		s.mean = took
		return
	}
	s.mean += time.Duration(float64(took-s.mean) * serviceTimeWeight)
}

// Mean is the estimate.
func (s *ServiceTime) Mean() time.Duration {
	if s.mean == 0 {
		return firstServiceTime
	}
	return s.mean
}
