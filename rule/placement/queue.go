package placement

import "time"

// QueuePerSlot estimates the queued requests of a service per slot. A negative value is the
// fraction of free slots. A slot counts for less in proportion to its replica's slowness.
func (p *Policy) QueuePerSlot(now, referenceUnitTime time.Duration, replicas []*Replica) float64 {
	request := Request{ReferenceUnitTime: referenceUnitTime}
	running, slots := 0.0, 0.0
	for _, r := range replicas {
		running += float64(r.Running(now, p.reportValidity()))
		slots += float64(r.slots()) / p.slowness(request, r)
	}
	if slots == 0 {
		return 0
	}
	return running/slots - 1
}
