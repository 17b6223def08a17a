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
	unreachableRetries = 20
	// probeRetries is how many retries lie between two probes of a node that is cut
	// off.
	probeRetries = 2
)

// cutOff reports whether this node has reached no core for long.
func (m *Machine) coresUnreachable(now time.Duration) bool {
	return m.caller.Silent(now) > unreachableRetries*m.params.Core.Retry
}

// reachesCores reports whether cores answer this node, as far as it asked them.
func (m *Machine) coresResponsive(now time.Duration) bool {
	return m.caller.Silent(now) <= unreadyRetries*m.params.Core.Retry
}

// needsCores reports whether a request can't go on without the cores' answer.
func (req *activeRequest) needsCores() bool { return req.reserving || req.fetching }

// tickTouch goes on while a node is cut off: what waits for the cores is refused
// at once, so that its client can try another node, and the cores are probed, as
// there may be no other command that would show that they are back.
func (m *Machine) checkCores(now time.Duration) {
	if m.coresResponsive(now) {
		return
	}
	m.probeCores(now)
	if !m.coresUnreachable(now) {
		return
	}
	for _, ticket := range ordered.Keys(m.active) {
		if req := m.active[ticket]; req.state == stateAdmitting && req.needsCores() {
			m.refuseCoresUnreachable(now, req)
		}
	}
}

func (m *Machine) probeCores(now time.Duration) {
	if now < m.probeAt || len(m.topology.Owners) == 0 {
		return
	}
	wait := probeRetries * m.params.Core.Retry
	m.probeAt = now + wait
	m.caller.Call(now, core.ReadSeats{Part: core.ConfigurationPart}, now+wait, func(time.Duration, core.Outcome) {})
}

// refuseCutOff ends a request that has not run, before it is sent anywhere. The
// reservation under way may still be booked; it is settled from now on, and not
// only when its answer comes.
func (m *Machine) refuseCoresUnreachable(now time.Duration, req *activeRequest) {
	req.reserved = req.reserved || req.reserving
	m.refuse(now, req, CauseCoresUnreachable)
}
