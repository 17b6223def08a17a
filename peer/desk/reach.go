package desk

import (
	"time"

	"saffronfall/rule/ordered"
)

const (
	// touchPulls is after how many pulls without a confirmation from the cores a
	// desk counts itself as cut off from them.
	touchPulls = 3
	// cutOffPulls is how many pulls a call may wait while the desk is cut off.
	cutOffPulls = 1
	// nodeMemory is for how many heartbeats a node that fell silent still counts
	// among those that a desk should reach.
	nodeMemory = 40
	// echoBeats is how many beats nodes have to tell what they heard: a word of
	// theirs comes every half a beat, and some get lost.
	echoBeats = 2
)

// reach is what a desk needs to know whom it reaches.
type reach struct {
	// pending has the calls that wait for the cores, by their tickets.
	pending map[uint64]pendingCall
	// departures are the words of leaving that are not acknowledged yet.
	departures []departure
	echo       echo
}

// echo is how a desk that is out of touch finds out whether nodes hear it: it
// counts its version on, and they say in their next words which one they have.
type echo struct {
	at time.Duration
	// told is the version that was counted on last, due the one before, which
	// whoever hears this desk must have by now.
	told, due uint64
}

// listenForEcho counts the version on every echoBeats, while out of touch.
func (m *Machine) listenForEcho(now time.Duration) {
	switch {
	case m.inTouch(now):
		m.echo = echo{}
	case now >= m.echo.at:
		m.version++
		m.echo = echo{at: now + echoBeats*m.params.Beat, told: m.version, due: m.echo.told}
	}
}

// pendingCall is an operator's call that waits for the cores.
type pendingCall struct {
	began time.Duration
	// unsure answers it when the cores can't be reached.
	unsure any
}

// await notes a call that was passed on to the cores.
func (m *Machine) await(now time.Duration, ticket uint64, unsure any) {
	m.pending[ticket] = pendingCall{began: now, unsure: unsure}
}

// settle answers a call, unless it was answered before.
func (m *Machine) settle(ticket uint64, body any) {
	if _, waiting := m.pending[ticket]; !waiting {
		return
	}
	delete(m.pending, ticket)
	m.answer(ticket, body)
}

// inTouch reports whether the cores confirmed the table in force lately.
func (m *Machine) inTouch(now time.Duration) bool {
	return m.confirmed >= 0 && now-m.confirmed < touchPulls*m.params.Core.PullInterval
}

// giveUpCalls answers calls that a desk can't have decided because it is cut off.
// The commands stay under way for their time: they bear being repeated, and the
// operator, who is told that the outcome is unsure, sends them again elsewhere.
func (m *Machine) giveUpCalls(now time.Duration) {
	if m.inTouch(now) {
		return
	}
	for _, ticket := range ordered.Keys(m.pending) {
		call := m.pending[ticket]
		if now >= call.began+cutOffPulls*m.params.Core.PullInterval {
			m.settle(ticket, call.unsure)
		}
	}
}

// Isolated reports whether a desk reaches neither the cores nor most of its
// nodes. What replicas say to it then stays with it, so they should say it
// elsewhere.
func (m *Machine) Isolated(now time.Duration) bool {
	if m.inTouch(now) {
		return false
	}
	known, reached := 0, 0
	for _, subscriber := range m.subscribers {
		if subscriber.desk {
			continue
		}
		known++
		if now < subscriber.heard+m.params.Beat && subscriber.has >= m.echo.due {
			reached++
		}
	}
	return 2*reached < known
}
