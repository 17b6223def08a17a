package relay

import (
	"strconv"
	"time"

	"saffronfall/peer/core"
)

func (m *Machine) reserveBudget(now time.Duration, req *activeRequest) {
	req.reservingBudget = true
	m.lastReservation++
	req.reservationID = m.incarnation + "-" + strconv.FormatUint(m.lastReservation, 36)
	command := core.ReserveTurn{
		Tenant:    m.tenantName(req),
		Program:   req.spec.Program,
		Attempt:   req.reservationID,
		MaxTokens: req.spec.MaxTokens,
		Budget:    req.spec.TokenBudget,
		Retention: m.params.BudgetRetention,
	}
	m.caller.Call(now, command, req.admissionDeadline, func(now time.Duration, o core.Outcome) {
		req.reservingBudget = false
		result, ok := o.Answer.(core.ReserveTurnResult)
		switch {
		case !ok:
			// The reservation may have been made, so it is settled when the request ends.
			req.budgetReserved = true
			m.refuseUnlessCompleted(now, req, CauseBudgetUnavailable)
		case !result.OK:
			req.budgetRefused = true
			if !req.completed {
				m.refuse(now, req, CauseBudget)
			}
		default:
			req.budgetReserved = true
			if req.completed {
				m.settle(now, req, 0)
				return
			}
			m.sendWhenReady(now, req)
		}
	})
}

// refuseUnlessCompleted refuses a request, or settles its reservation if it has already ended.
func (m *Machine) refuseUnlessCompleted(now time.Duration, req *activeRequest, cause Cause) {
	if req.completed {
		m.settle(now, req, 0)
		return
	}
	m.refuse(now, req, cause)
}

// settle replaces a turn's reservation by its actual output, and is retried until the cores confirm
// it or the budget has expired.
func (m *Machine) settle(now time.Duration, req *activeRequest, tokens int64) {
	if !req.budgetReserved {
		return
	}
	req.budgetReserved = false
	m.Counters.Settlements++
	command := core.SettleTurn{Tenant: m.tenantName(req), Program: req.spec.Program, Attempt: req.reservationID, Tokens: tokens}
	m.caller.Call(now, command, now+m.params.BudgetRetention, func(time.Duration, core.Outcome) {})
}
