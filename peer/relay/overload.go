package relay

import (
	"time"

	"saffronfall/rule/admission"
	"saffronfall/rule/ordered"
	"saffronfall/rule/placement"
	"saffronfall/rule/route"
)

// observeLoad updates the reference speed and the admission controller of each service. Both need
// the registries' reports of other nodes' requests.
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

// refuseOverload reports whether it refused the request.
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

// maxFirstTurnSegments counts the shared prompt segment and the program's own.
const maxFirstTurnSegments = 2

// admissionClass exempts all but turns of programs, as a refused call would end its program.
func (m *Machine) admissionClass(req *activeRequest) admission.Class {
	// Without a history or a prompt, a first turn looks like any other.
	firstTurnVisible := req.route.KeepHistory || len(req.spec.Prompt) > 0
	switch {
	case req.route.Mode != route.Stream || req.spec.Program == "":
		return admission.Exempt
	case req.spec.Horizon.Known && req.spec.Horizon.Remaining <= 0:
		return admission.LateTurn
	case !firstTurnVisible || req.spec.Previous != "" || len(req.spec.Prompt) > maxFirstTurnSegments:
		return admission.Exempt
	case m.moreUrgentThanSomeRoute(req):
		return admission.UrgentFirstTurn
	}
	return admission.FirstTurn
}

func (m *Machine) moreUrgentThanSomeRoute(req *activeRequest) bool {
	urgency := req.urgency()
	for i := range req.table.Routes {
		if r := &req.table.Routes[i]; r.Mode == route.Stream && r.Urgency > urgency {
			return true
		}
	}
	return false
}

func (req *activeRequest) urgency() int64 {
	if req.tenant != nil && req.tenant.Urgency != nil {
		return *req.tenant.Urgency
	}
	return req.route.Urgency
}
