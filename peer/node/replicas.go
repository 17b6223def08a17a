package node

import (
	"time"
)

type condition struct {
	outstanding int64
	failures    int
	until       time.Duration
	usedAt      time.Duration
}

// choose picks a replica: of two at random the less loaded, near ones first.
func (m *Machine) choose(now time.Duration, service string, may func(id string) bool) (Replica, bool) {
	var near, far []Replica
	limit := m.description.Services[service].AttemptsPerReplica
	for _, r := range m.present(now, service) {
		c := m.conditions[service+"/"+r.ID]
		if !may(r.ID) || (c != nil && (now < c.until || c.outstanding >= limit)) {
			continue
		}
		if r.Zone == m.params.Zone {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	list := near
	if len(near) < 2 {
		list = append(near, far...)
	}
	if len(list) == 0 {
		return Replica{}, false
	}
	a := list[int(m.random()*float64(len(list)))%len(list)]
	b := list[int(m.random()*float64(len(list)))%len(list)]
	if m.load(b) < m.load(a) {
		return b, true
	}
	return a, true
}

func (m *Machine) load(r Replica) int64 {
	load := r.Load
	if c := m.conditions[r.Service+"/"+r.ID]; c != nil {
		load += c.outstanding
	}
	return load
}

func (m *Machine) conditionOf(r Replica) *condition {
	key := r.Service + "/" + r.ID
	c := m.conditions[key]
	if c == nil {
		c = &condition{}
		m.conditions[key] = c
	}
	c.usedAt = m.now
	return c
}
