package registry

import (
	"time"

	"saffronfall/rule/ordered"
)

type trackedReplica struct {
	ReplicaEntry
	lastSeen time.Duration
}

// Heartbeat records the state that a replica reports and sends a change to subscribers at once.
// The ticket is answered with an Acknowledgment; ticket zero gets no answer.
func (m *Machine) Heartbeat(now time.Duration, ticket uint64, r Replica) Output {
	m.out = &Output{}
	m.Counters.Heartbeats++
	m.acknowledge(now, ticket, m.applyHeartbeat(now, r))
	return *m.out
}

func (m *Machine) applyHeartbeat(now time.Duration, reported Replica) *trackedReplica {
	entry, ok := m.replicas[reported.ID]
	if ok && reported.Sequence < entry.Replica.Sequence {
		return entry
	}
	if ok && (entry.Final || entry.Removed && reported.Sequence <= entry.Replica.Sequence) {
		return entry
	}
	if !ok {
		entry = &trackedReplica{}
		m.replicas[reported.ID] = entry
	}
	entry.lastSeen = now
	previous := entry.Replica
	if previous.Leaving {
		reported.Leaving = true
	}
	changed := !ok || entry.Removed ||
		previous.Leaving != reported.Leaving || previous.Address != reported.Address ||
		previous.Service != reported.Service || previous.Slots != reported.Slots
	entry.Replica, entry.Removed = reported, false
	if changed {
		m.recordChange(now, entry)
	}
	return entry
}

// Leave marks a replica as permanently removed. The ticket is answered as by Heartbeat.
func (m *Machine) Leave(now time.Duration, ticket uint64, id string) Output {
	m.out = &Output{}
	entry, ok := m.replicas[id]
	if !ok {
		entry = &trackedReplica{ReplicaEntry: ReplicaEntry{Replica: Replica{ID: id}}}
		m.replicas[id] = entry
	}
	entry.lastSeen = now
	if !entry.Final {
		entry.Removed, entry.Final = true, true
		m.recordChange(now, entry)
	}
	m.acknowledge(now, ticket, entry)
	return *m.out
}

// isDeparting reports whether a replica is leaving or has left; it never returns under its id.
func (r *trackedReplica) isDeparting() bool { return r.Replica.Leaving || r.Final }

func (m *Machine) applyDeparture(now time.Duration, reported ReplicaEntry) {
	entry, known := m.replicas[reported.Replica.ID]
	switch {
	case !reported.Replica.Leaving && !reported.Final, known && entry.Final, known && entry.Replica.Leaving && !reported.Final:
		return
	case !known:
		entry = &trackedReplica{ReplicaEntry: reported}
		m.replicas[reported.Replica.ID] = entry
	}
	entry.lastSeen = now
	entry.Replica.Leaving = entry.Replica.Leaving || reported.Replica.Leaving
	if reported.Final {
		entry.Removed, entry.Final = true, true
	}
	m.recordChange(now, entry)
}

func (m *Machine) recordChange(now time.Duration, entry *trackedReplica) {
	m.Counters.Changes++
	m.version++
	entry.Version = m.version
	m.out.ChangedReplicas = append(m.out.ChangedReplicas, entry.ReplicaEntry)
	if entry.isDeparting() {
		m.notifyAll(now)
		return
	}
	m.notifyPaced(now)
}

// List returns all entries, ordered by id.
func (m *Machine) List() []ReplicaEntry {
	var entries []ReplicaEntry
	for _, id := range ordered.Keys(m.replicas) {
		entries = append(entries, m.replicas[id].ReplicaEntry)
	}
	return entries
}
