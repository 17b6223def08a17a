package desk

import (
	"time"

	"saffronfall/rule/ordered"
)

// Heard answers a replica's heartbeat or leave. Where it is not Reached, what the
// replica said may be known to this desk alone, and it should tell another.
type Acknowledgment struct{ Accepted bool }

// departureBeats is for how many heartbeats, at most, a replica that leaves waits until
// what it said is known beyond this desk.
const departureHeartbeats = 0.6

// DepartureWithin is how long a replica's word that it leaves may take to be answered.
func (p Params) DepartureTimeout() time.Duration {
	return time.Duration(departureHeartbeats * float64(p.HeartbeatInterval))
}

// departure is a replica's word that it leaves, or has left, which is acknowledged once
// it outlives this desk.
type departure struct {
	ticket uint64
	// version is the desk's version that has the word.
	version   uint64
	startedAt time.Duration
}

// acknowledge answers a replica. What is no word of leaving needs nobody else: the next
// heartbeat says it again.
func (m *Machine) acknowledge(now time.Duration, ticket uint64, entry *trackedReplica) {
	if ticket == 0 {
		return
	}
	if !entry.isDeparting() {
		m.addAnswer(ticket, Acknowledgment{Accepted: !m.Isolated(now)})
		return
	}
	m.departures = append(m.departures, departure{ticket: ticket, version: entry.Version, startedAt: now})
	m.answerDepartures(now)
}

// answerDepartures acknowledges the words of leaving that others hold by now, and tells
// replicas to go elsewhere whose word nobody confirmed in time.
func (m *Machine) answerDepartures(now time.Duration) {
	within := m.params.DepartureTimeout()
	if !m.coresReachable(now) {
		within = disconnectedCallPulls * m.params.Core.Pull
	}
	waiting := m.departures[:0]
	for _, d := range m.departures {
		switch {
		case m.isReplicated(now, d.version):
			m.addAnswer(d.ticket, Acknowledgment{Accepted: !m.Isolated(now)})
		case now >= d.startedAt+within:
			m.addAnswer(d.ticket, Acknowledgment{})
		default:
			waiting = append(waiting, d)
		}
	}
	m.departures = waiting
}

// heldElsewhere reports whether a version of this desk's list outlives it: as many other
// desks hold it as may be lost at once, or, where no other desk speaks, all nodes that
// speak.
func (m *Machine) isReplicated(now time.Duration, version uint64) bool {
	desks, holding, nodesLack := 0, 0, false
	for _, address := range ordered.Keys(m.subscribers) {
		s := m.subscribers[address]
		if !s.isActive(now, m.params.HeartbeatInterval) {
			continue
		}
		has := s.confirmedVersion >= version
		switch {
		case s.isDesk && has:
			desks, holding = desks+1, holding+1
		case s.isDesk:
			desks++
		default:
			nodesLack = nodesLack || !has
		}
	}
	if desks == 0 {
		return !nodesLack
	}
	return holding >= min(desks, m.toleratedLosses())
}

// lossesBorne is how many machines may be lost at once: groups have one member more than
// twice as many.
func (m *Machine) toleratedLosses() int { return max((m.params.GroupSize-1)/2, 1) }
