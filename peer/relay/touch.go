package relay

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
)

const (
	// unreadyRetries is after how many retries of commands without a word from any
	// core a node is no longer ready: clients do better at nodes that reach them.
	unreadyRetries = 8
	// cutOffRetries is after how many a node refuses what needs the cores. It is
	// longer than cores need to serve again after all were down, as then every node
	// is silent and waiting is better than trying another.
	cutOffRetries = 20
	// probeRetries is how many retries lie between two probes of a node that is cut
	// off.
	probeRetries = 2
)

// cutOff reports whether this node has reached no core for long.
func (m *Machine) cutOff(now time.Duration) bool {
	return m.caller.Silent(now) > cutOffRetries*m.params.Core.AttemptTimeout
}

// reachesCores reports whether cores answer this node, as far as it asked them.
func (m *Machine) reachesCores(now time.Duration) bool {
	return m.caller.Silent(now) <= unreadyRetries*m.params.Core.AttemptTimeout
}

// needsCores reports whether a request can't go on without the cores' answer.
func (w *way) needsCores() bool { return w.reserving || w.fetching }

// tickTouch goes on while a node is cut off: what waits for the cores is refused
// at once, so that its client can try another node, and the cores are probed, as
// there may be no other command that would show that they are back.
func (m *Machine) tickTouch(now time.Duration) {
	if m.reachesCores(now) {
		return
	}
	m.probeCores(now)
	if !m.cutOff(now) {
		return
	}
	for _, ticket := range ordered.Keys(m.live) {
		if w := m.live[ticket]; w.state == stateAdmitting && w.needsCores() {
			m.refuseCutOff(now, w)
		}
	}
}

func (m *Machine) probeCores(now time.Duration) {
	if now < m.probeAt || len(m.topology.Leaders) == 0 {
		return
	}
	wait := probeRetries * m.params.Core.AttemptTimeout
	m.probeAt = now + wait
	m.caller.Call(now, core.ReadGroup{Partition: core.ConfigurationPartition}, now+wait, func(time.Duration, core.Outcome) {})
}

// refuseCutOff ends a request that has not run, before it is sent anywhere. The
// reservation under way may still be booked; it is settled from now on, and not
// only when its answer comes.
func (m *Machine) refuseCutOff(now time.Duration, w *way) {
	w.reserved = w.reserved || w.reserving
	m.refuse(now, w, CauseCutOff)
}
