package placement

import "time"

// Excess is by how much the requests at a service's replicas are more than its places, as a
// part of these; below zero, it is the part that is free. A slow replica's places carry
// less.
func (p *Policy) Excess(now, reference time.Duration, replicas []*Replica) float64 {
	request := Request{Reference: reference}
	running, places := 0.0, 0.0
	for _, r := range replicas {
		running += float64(r.Running(now, p.Settings.Beat/4))
		places += float64(r.slots()) / p.slowness(request, r)
	}
	if places == 0 {
		return 0
	}
	return running/places - 1
}
