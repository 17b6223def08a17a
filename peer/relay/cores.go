package relay

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
)

const (
	// unreadyRetries is after how many periods of AttemptTimeout without an answer a node is not
	// ready, so that requesters use nodes that reach the cores.
	unreadyRetries = 8
	// unreachableRetries is after how many such periods a node refuses requests that need the
	// cores. It exceeds the recovery time after all cores were down: then no node reaches
	// them, and waiting is better than trying another.
	unreachableRetries = 20
	// probeRetries is the number of retry periods between probes.
	probeRetries = 2
)

func (m *Machine) coresUnreachable(now time.Duration) bool {
	return m.caller.SilentFor(now) > unreachableRetries*m.params.Core.AttemptTimeout
}

// coresResponsive is also true if there were no commands.
func (m *Machine) coresResponsive(now time.Duration) bool {
	return m.caller.SilentFor(now) <= unreadyRetries*m.params.Core.AttemptTimeout
}

func (req *activeRequest) needsCores() bool {
	return req.reservingBudget || req.historyState.pending() || req.claiming
}

// checkCores refuses requests that wait for unreachable cores, so that requesters can try another
// node. It probes the cores because no other command may show that they are back.
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

// refuseCoresUnreachable also settles a reservation in progress, which may still be made.
func (m *Machine) refuseCoresUnreachable(now time.Duration, req *activeRequest) {
	req.budgetReserved = req.budgetReserved || req.reservingBudget
	m.refuse(now, req, CauseCoresUnreachable)
}
