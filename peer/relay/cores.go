package relay

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
)

const (
	// unreadyRetries is for how many retry periods commands may be unanswered before a node
	// is no longer ready, so that clients use nodes that reach the cores.
	unreadyRetries = 8
	// unreachableRetries is after how many retry periods a node refuses requests that need the cores. It
	// exceeds the time in which cores recover after all of them were down: in that case no
	// node reaches them, and waiting is better than trying another.
	unreachableRetries = 20
	// probeRetries is the number of retry periods between two probes of unresponsive cores.
	probeRetries = 2
)

// coresUnreachable reports whether commands have been unanswered for long.
func (m *Machine) coresUnreachable(now time.Duration) bool {
	return m.caller.SilentFor(now) > unreachableRetries*m.params.Core.AttemptTimeout
}

// coresResponsive reports whether the cores answer this node's commands, if there were any.
func (m *Machine) coresResponsive(now time.Duration) bool {
	return m.caller.SilentFor(now) <= unreadyRetries*m.params.Core.AttemptTimeout
}

// needsCores reports whether a request waits for an answer of the cores.
func (req *activeRequest) needsCores() bool { return req.reserving || req.fetching }

// checkCores refuses the requests that wait for unreachable cores at once, so that their
// clients can try another node, and probes the cores, as no other command may show that
// they are back.
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
	if now < m.probeAt || len(m.topology.Leaders) == 0 {
		return
	}
	wait := probeRetries * m.params.Core.AttemptTimeout
	m.probeAt = now + wait
	m.caller.Call(now, core.ReadGroup{Partition: core.ConfigurationPartition}, now+wait, func(time.Duration, core.Outcome) {})
}

// refuseCoresUnreachable refuses a request that has not been sent. A reservation in
// progress may still be made, so it is settled as if it had been.
func (m *Machine) refuseCoresUnreachable(now time.Duration, req *activeRequest) {
	req.reserved = req.reserved || req.reserving
	m.refuse(now, req, CauseCoresUnreachable)
}
