package relay

import (
	"strconv"
	"time"

	"saffronfall/peer/core"
)

// reserve books the most that a turn may put out in its program's books.
func (m *Machine) reserveBudget(now time.Duration, req *activeRequest) {
	req.reserving = true
	m.reservations++
	req.reservationID = m.incarnation + "-" + strconv.FormatUint(m.reservations, 36)
	c := core.ReserveTurn{Tenant: m.tenantName(req), Program: req.spec.Program, Attempt: req.reservationID, Most: req.spec.MaxTokens, Budget: req.spec.TokenBudget, Keep: m.params.BookRetention}
	m.caller.Call(now, c, req.admissionDeadline, func(now time.Duration, o core.Outcome) {
		req.reserving = false
		r, ok := o.Answer.(core.TurnReserved)
		switch {
		case !ok:
			// It may have been booked; what never runs is booked out again.
			req.reserved = true
			m.refuseUnlessCompleted(now, req, CauseBudgetUnavailable)
		case !r.OK:
			req.budgetRefused = true
			if !req.completed {
				m.refuse(now, req, CauseBudget)
			}
		default:
			req.reserved = true
			if req.completed {
				m.settle(now, req, 0)
				return
			}
			m.sendWhenReady(now, req)
		}
	})
}

func (m *Machine) refuseUnlessCompleted(now time.Duration, req *activeRequest, cause Cause) {
	if req.completed {
		m.settle(now, req, 0)
		return
	}
	m.refuse(now, req, cause)
}

// settle books out what a turn put out; it is asked until the cores have it, as
// long as anyone may want to know.
func (m *Machine) settle(now time.Duration, req *activeRequest, tokens int64) {
	if !req.reserved {
		return
	}
	req.reserved = false
	m.Counters.Settlements++
	c := core.SettleTurn{Tenant: m.tenantName(req), Program: req.spec.Program, Attempt: req.reservationID, Tokens: tokens}
	m.caller.Call(now, c, now+m.params.BookRetention, func(time.Duration, core.Outcome) {})
}
