package relay

import (
	"strconv"
	"time"

	"saffronfall/peer/core"
)

// reserve books the most that a turn may put out in its program's books.
func (m *Machine) reserve(now time.Duration, w *way) {
	w.reserving = true
	m.reservations++
	w.reservation = m.life + "-" + strconv.FormatUint(m.reservations, 36)
	c := core.ReserveTurn{Tenant: m.tenantName(w), Program: w.ask.Program, Attempt: w.reservation, MaxTokens: w.ask.Most, Budget: w.ask.Budget, Retention: m.params.BookKeep}
	m.caller.Call(now, c, w.patience, func(now time.Duration, o core.Outcome) {
		w.reserving = false
		r, ok := o.Answer.(core.ReserveTurnResult)
		switch {
		case !ok:
			// It may have been booked; what never runs is booked out again.
			w.reserved = true
			m.unsure(now, w, CauseBudgetUnsure)
		case !r.OK:
			w.refused = true
			if !w.ended {
				m.refuse(now, w, CauseBudget)
			}
		default:
			w.reserved = true
			if w.ended {
				m.settle(now, w, 0)
				return
			}
			m.proceed(now, w)
		}
	})
}

func (m *Machine) unsure(now time.Duration, w *way, cause Cause) {
	if w.ended {
		m.settle(now, w, 0)
		return
	}
	m.refuse(now, w, cause)
}

// settle books out what a turn put out; it is asked until the cores have it, as
// long as anyone may want to know.
func (m *Machine) settle(now time.Duration, w *way, tokens int64) {
	if !w.reserved {
		return
	}
	w.reserved = false
	m.Counters.Settles++
	c := core.SettleTurn{Tenant: m.tenantName(w), Program: w.ask.Program, Attempt: w.reservation, Tokens: tokens}
	m.caller.Call(now, c, now+m.params.BookKeep, func(time.Duration, core.Outcome) {})
}
