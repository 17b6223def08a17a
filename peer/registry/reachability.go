package registry

import (
	"time"

	"saffronfall/rule/ordered"
)

const (
	// maxUnconfirmedPulls is the number of pull intervals without a confirmation after which
	// a registry considers itself disconnected from the cores.
	maxUnconfirmedPulls = 3
	// disconnectedCallPulls is the number of pull intervals that a call may wait while the
	// registry is disconnected.
	disconnectedCallPulls = 1
	// nodeRetention is the number of heartbeat intervals for which a silent node still counts
	// as one that the registry should reach.
	nodeRetention = 40
	// probeHeartbeats is the number of heartbeat intervals in which nodes must confirm a probe.
	// Nodes renew twice per interval, so a single lost message causes no failure.
	probeHeartbeats = 2
)

// reachability tracks which processes the registry can reach, and the calls that depend on it.
type reachability struct {
	// pending has the calls that wait for the cores, by ticket.
	pending map[uint64]pendingCall
	// departures are not acknowledged yet.
	departures []departure
	probe      reachabilityProbe
}

// reachabilityProbe checks whether nodes receive the messages of a disconnected registry: it
// increments its version, and nodes report the version that they have when they renew.
type reachabilityProbe struct {
	nextAt time.Duration
	// version is that of the latest probe. previous is that of the one before, which
	// every reachable node has confirmed by now.
	version, previous uint64
}

// probeReachability sends a probe every probeHeartbeats while the registry is disconnected.
func (m *Machine) probeReachability(now time.Duration) {
	switch {
	case m.coresReachable(now):
		m.probe = reachabilityProbe{}
	case now >= m.probe.nextAt:
		m.version++
		m.probe = reachabilityProbe{nextAt: now + probeHeartbeats*m.params.HeartbeatInterval, version: m.version, previous: m.probe.version}
	}
}

// pendingCall is an operator's call that waits for the cores.
type pendingCall struct {
	startedAt time.Duration
	// timeoutAnswer answers the call if the cores are unreachable.
	timeoutAnswer any
}

// addPending records a call that was sent to the cores.
func (m *Machine) addPending(now time.Duration, ticket uint64, timeoutAnswer any) {
	m.pending[ticket] = pendingCall{startedAt: now, timeoutAnswer: timeoutAnswer}
}

// resolve answers a call unless it was answered already.
func (m *Machine) resolve(ticket uint64, body any) {
	if _, isPending := m.pending[ticket]; !isPending {
		return
	}
	delete(m.pending, ticket)
	m.addAnswer(ticket, body)
}

// coresReachable reports whether the cores recently confirmed the current table.
func (m *Machine) coresReachable(now time.Duration) bool {
	return m.lastConfirmed >= 0 && now-m.lastConfirmed < maxUnconfirmedPulls*m.params.Core.PullInterval
}

// expireCalls answers calls as uncertain while the registry is disconnected from the cores. Their
// commands are retried until they time out. That is safe because they are idempotent, and the
// operator, who learns that the outcome is unknown, can repeat the call at another registry.
func (m *Machine) expireCalls(now time.Duration) {
	if m.coresReachable(now) {
		return
	}
	for _, ticket := range ordered.Keys(m.pending) {
		call := m.pending[ticket]
		if now >= call.startedAt+disconnectedCallPulls*m.params.Core.PullInterval {
			m.resolve(ticket, call.timeoutAnswer)
		}
	}
}

// Isolated reports whether a registry reaches neither the cores nor at least half of its nodes.
// Replicas should then report to another registry, since this one can't pass their reports on.
func (m *Machine) Isolated(now time.Duration) bool {
	if m.coresReachable(now) {
		return false
	}
	known, reached := 0, 0
	for _, s := range m.subscribers {
		if s.isRegistry {
			continue
		}
		known++
		if now < s.lastSeen+m.params.HeartbeatInterval && s.confirmedVersion >= m.probe.previous {
			reached++
		}
	}
	return 2*reached < known
}
