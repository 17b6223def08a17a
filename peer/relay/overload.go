package relay

import (
	"time"

	"saffronfall/rule/admission"
	"saffronfall/rule/ordered"
	"saffronfall/rule/placement"
	"saffronfall/rule/route"
)

// observeLoad lets each service see how fast its replicas are and its admission how much is
// under way there. Both are only known where desks tell what other nodes have.
func (m *Machine) observeLoad(now time.Duration) {
	if m.params.LoadPeriod <= 0 || now < m.loadSeenAt+m.params.LoadPeriod {
		return
	}
	m.loadSeenAt = now
	for _, name := range ordered.Keys(m.services) {
		s := m.services[name]
		s.reference = placement.ReferenceUnitTime(s.estimates)
		if m.params.ShedOverload {
			s.admission.Observe(now, m.policy.QueuePerSlot(now, s.reference, s.estimates))
		}
	}
}

// overloaded refuses a request that the service's replicas should be spared, and reports
// whether it did.
func (m *Machine) overloaded(now time.Duration, w *way) bool {
	if !m.params.ShedOverload {
		return false
	}
	class := m.admissionClass(w)
	control := &m.serviceOf(w.service).admission
	if control.Admits(class, w.ask.Program) {
		return false
	}
	m.refuseFor(now, w, CauseOverload, control.RetryAfter())
	return true
}

// sharedParts is how many parts the prompt of a program's first turn has at most: one
// that many share, and its own.
const sharedParts = 2

// admissionClass tells what a request is to the service's admission. Only programs' turns
// are ever refused by it: a call that is refused would end its program.
func (m *Machine) admissionClass(w *way) admission.Class {
	known := w.route.KeepHistory || len(w.ask.Prompt) > 0
	switch {
	case w.route.Mode != route.Stream || w.ask.Program == "":
		return admission.Exempt
	case w.ask.Horizon.Known && w.ask.Horizon.Left <= 0:
		return admission.LateTurn
	case !known || w.ask.Previous != "" || len(w.ask.Prompt) > sharedParts:
		return admission.Exempt
	case m.moreUrgentThanOthers(w):
		return admission.UrgentFirstTurn
	}
	return admission.FirstTurn
}

// moreUrgentThanOthers reports whether the table has a less urgent stream.
func (m *Machine) moreUrgentThanOthers(w *way) bool {
	urgency := w.urgency()
	for i := range w.table.Routes {
		if r := &w.table.Routes[i]; r.Mode == route.Stream && r.Urgency > urgency {
			return true
		}
	}
	return false
}

// urgency is the tenant's, where it has one, and else the route's.
func (w *way) urgency() int64 {
	if w.tenant != nil && w.tenant.Urgency != nil {
		return *w.tenant.Urgency
	}
	return w.route.Urgency
}
