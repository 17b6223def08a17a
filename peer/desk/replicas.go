package desk

import (
	"time"

	"saffronfall/rule/ordered"
)

type trackedReplica struct {
	ReplicaEntry
	lastHeard time.Duration
}

// Heartbeat records the state that a replica reports and notifies subscribers of a change at
// once. The ticket is answered with an Acknowledgment; ticket zero gets no answer.
func (m *Machine) Heartbeat(now time.Duration, ticket uint64, r Replica) Output {
	m.out = &Output{}
	m.Counters.Heartbeats++
	m.acknowledge(now, ticket, m.applyHeartbeat(now, r))
	return *m.out
}

// applyHeartbeat updates the list from a heartbeat, unless a later one was received.
func (m *Machine) applyHeartbeat(now time.Duration, r Replica) *trackedReplica {
	entry, ok := m.replicas[r.ID]
	if ok && r.Sequence < entry.Replica.Sequence {
		return entry
	}
	if ok && (entry.Final || entry.Gone && r.Sequence <= entry.Replica.Sequence) {
		return entry
	}
	if !ok {
		entry = &trackedReplica{}
		m.replicas[r.ID] = entry
	}
	entry.lastHeard = now
	previous := entry.Replica
	if previous.Leaving {
		r.Leaving = true
	}
	changed := !ok || entry.Gone || previous.Leaving != r.Leaving || previous.Address != r.Address || previous.Service != r.Service || previous.Slots != r.Slots
	entry.Replica, entry.Gone = r, false
	if changed {
		m.recordChange(now, entry)
	}
	return entry
}

// Leave marks a replica as gone for good. The ticket is answered as by Heartbeat.
func (m *Machine) Leave(now time.Duration, ticket uint64, id string) Output {
	m.out = &Output{}
	entry, ok := m.replicas[id]
	if !ok {
		entry = &trackedReplica{ReplicaEntry: ReplicaEntry{Replica: Replica{ID: id}}}
		m.replicas[id] = entry
	}
	entry.lastHeard = now
	if !entry.Final {
		entry.Gone, entry.Final = true, true
		m.recordChange(now, entry)
	}
	m.acknowledge(now, ticket, entry)
	return *m.out
}

// isDeparting reports whether a replica said that it is leaving or has left. It never returns
// under its id.
func (l *trackedReplica) isDeparting() bool { return l.Replica.Leaving || l.Final }

// applyDeparture records a departure that was reported to another desk.
func (m *Machine) applyDeparture(now time.Duration, reported ReplicaEntry) {
	entry, known := m.replicas[reported.Replica.ID]
	switch {
	case !reported.Replica.Leaving && !reported.Final, known && entry.Final, known && entry.Replica.Leaving && !reported.Final:
		return
	case !known:
		entry = &trackedReplica{ReplicaEntry: reported}
		m.replicas[reported.Replica.ID] = entry
	}
	entry.lastHeard = now
	entry.Replica.Leaving = entry.Replica.Leaving || reported.Replica.Leaving
	if reported.Final {
		entry.Gone, entry.Final = true, true
	}
	m.recordChange(now, entry)
}

func (m *Machine) recordChange(now time.Duration, entry *trackedReplica) {
	m.Counters.Changes++
	m.version++
	entry.Version = m.version
	m.out.ChangedReplicas = append(m.out.ChangedReplicas, entry.ReplicaEntry)
	m.notifyAll(now)
}

// List returns all entries, ordered by id.
func (m *Machine) List() []ReplicaEntry {
	var entries []ReplicaEntry
	for _, id := range ordered.Keys(m.replicas) {
		entries = append(entries, m.replicas[id].ReplicaEntry)
	}
	return entries
}
