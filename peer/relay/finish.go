package relay

import (
	"time"

	"saffronfall/rule/invariant"
)

// refuse ends a request that has not run. One that may have run is aborted instead.
func (m *Machine) refuse(now time.Duration, req *activeRequest, cause Cause) {
	m.refuseWithRetry(now, req, cause, 0)
}

// refuseWithRetry is like refuse; a retry of zero selects the cause's retryFactor.
func (m *Machine) refuseWithRetry(now time.Duration, req *activeRequest, cause Cause, retry time.Duration) {
	if req.mayHaveRun {
		m.abort(now, req, cause)
		return
	}
	response := requesterResponses[cause]
	if retry == 0 {
		retry = time.Duration(response.retryFactor * float64(m.params.Core.AttemptTimeout))
	}
	m.finish(now, req, cause, Step{
		Kind:       StepRefuse,
		Status:     response.status,
		Check:      response.check,
		Reason:     response.reason,
		RetryAfter: retry,
	})
}

// abort ends a request that may have run.
func (m *Machine) abort(now time.Duration, req *activeRequest, cause Cause) {
	response := requesterResponses[cause]
	step := Step{Kind: StepAbort, Status: response.status, Check: response.check, Reason: response.reason}
	if step.Status != statusRequesterDisconnected {
		step.Status = requesterResponses[CauseReplicaInterrupted].status
	}
	m.finish(now, req, cause, step)
}

// finish ends a request once, and returns or settles what it held.
func (m *Machine) finish(now time.Duration, req *activeRequest, cause Cause, lastStep Step) {
	if req.completed {
		return
	}
	req.completed = true
	if _, active := m.active[req.ticket]; !active {
		m.violated.Violated(invariant.EndedOnce, "attempt %s completes with cause %s but is not in progress", req.spec.Attempt, cause)
	}
	if lastStep.Kind == StepRefuse && (req.mayHaveRun || req.outstanding) {
		m.violated.Violated(invariant.RefusedNeverRan, "attempt %s is refused with cause %s; may have run %v, outstanding at a replica %v",
			req.spec.Attempt, cause, req.mayHaveRun, req.outstanding)
	}
	delete(m.active, req.ticket)
	m.releaseHistory(req)
	if !req.mayHaveRun {
		m.refund(req)
	}
	m.settle(now, req, m.tokensUsed(req))
	m.endKey(now, req)
	m.recordCompletion(now, req, cause, lastStep)
	m.emit(req, lastStep)
}
