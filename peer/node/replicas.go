package node

import (
	"time"
)

// replicaHealth counts this node's attempts in progress and consecutive failures at a replica.
type replicaHealth struct {
	outstanding  int64
	failures     int
	ejectedUntil time.Duration
	lastUsed     time.Duration
}

// chooseReplica picks the less loaded of two random replicas, preferably in this node's zone.
func (m *Machine) chooseReplica(now time.Duration, service string, isAllowed func(id string) bool) (Replica, bool) {
	var local, remote []Replica
	limit := m.description.Services[service].AttemptsPerReplica
	for _, r := range m.currentReplicas(now, service) {
		h := m.health[service+"/"+r.ID]
		if !isAllowed(r.ID) || (h != nil && (now < h.ejectedUntil || h.outstanding >= limit)) {
			continue
		}
		if r.Zone == m.params.Zone {
			local = append(local, r)
		} else {
			remote = append(remote, r)
		}
	}
	list := local
	if len(local) < 2 {
		list = append(local, remote...)
	}
	if len(list) == 0 {
		return Replica{}, false
	}
	first := list[int(m.random()*float64(len(list)))%len(list)]
	second := list[int(m.random()*float64(len(list)))%len(list)]
	if m.loadOf(second) < m.loadOf(first) {
		return second, true
	}
	return first, true
}

func (m *Machine) loadOf(r Replica) int64 {
	load := r.Load
	if h := m.health[r.Service+"/"+r.ID]; h != nil {
		load += h.outstanding
	}
	return load
}

func (m *Machine) healthOf(r Replica) *replicaHealth {
	key := r.Service + "/" + r.ID
	h := m.health[key]
	if h == nil {
		h = &replicaHealth{}
		m.health[key] = h
	}
	h.lastUsed = m.now
	return h
}
