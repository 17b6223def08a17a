package desk

import (
	"time"

	"saffronfall/rule/ordered"
)

const (
	// touchPulls is after how many pulls without a confirmation from the cores a
	// desk counts itself as cut off from them.
	maxUnconfirmedPulls = 3
	// cutOffPulls is how many pulls a call may wait while the desk is cut off.
	disconnectedCallPulls = 1
	// nodeMemory is for how many heartbeats a node that fell silent still counts
	// among those that a desk should reach.
	nodeRetention = 40
	// echoBeats is how many beats nodes have to tell what they heard: a word of
	// theirs comes every half a beat, and some get lost.
	probeHeartbeats = 2
)

// reach is what a desk needs to know whom it reaches.
type reachability struct {
	// pending has the calls that wait for the cores, by their tickets.
	pending map[uint64]pendingCall
	// departures are the words of leaving that are not acknowledged yet.
	departures []departure
	probe      reachabilityProbe
}

// echo is how a desk that is out of touch finds out whether nodes hear it: it
// counts its version on, and they say in their next words which one they have.
type reachabilityProbe struct {
	nextAt time.Duration
	// told is the version that was counted on last, due the one before, which
	// whoever hears this desk must have by now.
	version, previous uint64
}

// listenForEcho counts the version on every echoBeats, while out of touch.
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
	// unsure answers it when the cores can't be reached.
	timeoutAnswer any
}

// await notes a call that was passed on to the cores.
func (m *Machine) addPending(now time.Duration, ticket uint64, unsure any) {
	m.pending[ticket] = pendingCall{startedAt: now, timeoutAnswer: unsure}
}

// settle answers a call, unless it was answered before.
func (m *Machine) resolve(ticket uint64, body any) {
	if _, waiting := m.pending[ticket]; !waiting {
		return
	}
	delete(m.pending, ticket)
	m.addAnswer(ticket, body)
}

// inTouch reports whether the cores confirmed the table in force lately.
func (m *Machine) coresReachable(now time.Duration) bool {
	return m.lastConfirmed >= 0 && now-m.lastConfirmed < maxUnconfirmedPulls*m.params.Core.Pull
}

// giveUpCalls answers calls that a desk can't have decided because it is cut off.
// The commands stay under way for their time: they bear being repeated, and the
// operator, who is told that the outcome is unsure, sends them again elsewhere.
func (m *Machine) expireCalls(now time.Duration) {
	if m.coresReachable(now) {
		return
	}
	for _, ticket := range ordered.Keys(m.pending) {
		call := m.pending[ticket]
		if now >= call.startedAt+disconnectedCallPulls*m.params.Core.Pull {
			m.resolve(ticket, call.timeoutAnswer)
		}
	}
}

// Isolated reports whether a desk reaches neither the cores nor most of its
// nodes. What replicas say to it then stays with it, so they should say it
// elsewhere.
func (m *Machine) Isolated(now time.Duration) bool {
	if m.coresReachable(now) {
		return false
	}
	known, reached := 0, 0
	for _, subscriber := range m.subscribers {
		if subscriber.isDesk {
			continue
		}
		known++
		if now < subscriber.lastHeard+m.params.HeartbeatInterval && subscriber.confirmedVersion >= m.probe.previous {
			reached++
		}
	}
	return 2*reached < known
}
