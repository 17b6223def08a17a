package relay

import (
	"time"

	"saffronfall/rule/admission"
	"saffronfall/rule/ordered"
	"saffronfall/rule/placement"
	"saffronfall/rule/route"
)

// observeLoad updates the reference speed of each service and the load that its admission
// controller sees. Both need the registries' reports of other nodes' requests.
func (m *Machine) observeLoad(now time.Duration) {
	if m.params.LoadReportInterval <= 0 || now < m.loadObservedAt+m.params.LoadReportInterval {
		return
	}
	m.loadObservedAt = now
	for _, name := range ordered.Keys(m.services) {
		s := m.services[name]
		s.referenceUnitTime = placement.ReferenceUnitTime(s.replicas)
		if m.params.ShedOverload {
			s.admission.Observe(now, m.policy.QueuePerSlot(now, s.referenceUnitTime, s.replicas))
		}
	}
}

// refuseOverload refuses a request if the service's admission controller rejects it, and
// reports whether it did.
func (m *Machine) refuseOverload(now time.Duration, req *activeRequest) bool {
	if !m.params.ShedOverload {
		return false
	}
	class := m.admissionClass(req)
	control := &m.serviceOf(req.service).admission
	if control.Admits(class, req.spec.Program) {
		return false
	}
	m.refuseWithRetry(now, req, CauseOverload, control.RetryAfter())
	return true
}

// maxFirstTurnSegments is the maximum number of prompt segments of a program's first turn:
// a shared one and its own.
const maxFirstTurnSegments = 2

// admissionClass returns the class of a request for the service's admission controller. Only
// turns of programs are refused by it, as a refused call would end its program.
func (m *Machine) admissionClass(req *activeRequest) admission.Class {
	known := req.route.KeepHistory || len(req.spec.Prompt) > 0
	switch {
	case req.route.Mode != route.Stream || req.spec.Program == "":
		return admission.Exempt
	case req.spec.Horizon.Known && req.spec.Horizon.Remaining <= 0:
		return admission.LateTurn
	case !known || req.spec.Previous != "" || len(req.spec.Prompt) > maxFirstTurnSegments:
		return admission.Exempt
	case m.moreUrgentThanOthers(req):
		return admission.UrgentFirstTurn
	}
	return admission.FirstTurn
}

// moreUrgentThanOthers reports whether the table has a less urgent streaming route.
func (m *Machine) moreUrgentThanOthers(req *activeRequest) bool {
	urgency := req.urgency()
	for i := range req.table.Routes {
		if r := &req.table.Routes[i]; r.Mode == route.Stream && r.Urgency > urgency {
			return true
		}
	}
	return false
}

// urgency returns the tenant's urgency if it has one, and otherwise the route's.
func (req *activeRequest) urgency() int64 {
	if req.tenant != nil && req.tenant.Urgency != nil {
		return *req.tenant.Urgency
	}
	return req.route.Urgency
}
