package registry

import (
	"time"

	"saffronfall/rule/ordered"
)

const (
	// maxUnconfirmedPulls is in pull intervals: a registry without a confirmation for so long
	// considers itself disconnected from the cores.
	maxUnconfirmedPulls = 3
	// disconnectedCallPulls bounds a call of a disconnected registry, in pull intervals.
	disconnectedCallPulls = 1
	// startPulls is how long after its start a registry without a confirmation does not yet count as
	// disconnected, in pull intervals: all others may have started at the same moment.
	startPulls = 4
	// nodeRetention is in heartbeat intervals: a node silent for less counts as one that the
	// registry should reach.
	nodeRetention = 40
	// probeHeartbeats bounds the confirmation of a probe, in heartbeat intervals. Nodes renew
	// twice per interval, so a single lost message causes no failure.
	probeHeartbeats = 2
)

// reachability tracks which processes the registry can reach, and the calls that depend on it.
type reachability struct {
	pending    map[uint64]pendingCall // by ticket
	departures []departure
	probe      reachabilityProbe
}

// reachabilityProbe checks whether nodes receive the messages of a disconnected registry: it
// increments its version, which nodes report when they renew.
type reachabilityProbe struct {
	nextAt time.Duration
	// previous is the version of the probe before, which every reachable node has confirmed.
	version, previous uint64
}

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
	startedAt     time.Duration
	timeoutAnswer any
}

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

// ConfirmationAge returns the time since the cores confirmed this registry's table, or false if they
// have not since its start.
func (m *Machine) ConfirmationAge(now time.Duration) (time.Duration, bool) {
	return now - m.lastConfirmed, m.lastConfirmed >= 0
}

// expireCalls answers calls as uncertain while the registry is disconnected from the cores. Their
// commands are still retried until they time out, which is safe because they are idempotent. The
// operator can repeat the call at another registry.
func (m *Machine) expireCalls(now time.Duration) {
	if m.coresReachable(now) || now < m.startedAt+startPulls*m.params.Core.PullInterval {
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
// Replicas should then report elsewhere, because it can't pass their reports on.
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
