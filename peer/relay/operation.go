package relay

import (
	"slices"
	"strconv"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/route"
)

// keyState is a request's use of its operation key. The claim on the key is durable at the cores
// before the operation is sent, and the outcome is stored when the request ends.
type keyState struct {
	// claimID is this request's claim, empty if it claims no key.
	claimID  string
	claiming bool
	// ownsClaim: the claim won or may yet be stored, so this request must end it.
	ownsClaim bool
	// sharedClaim is the claim of another attempt at the operation. The operation is sent again
	// because its service runs each key only once.
	sharedClaim string
	// response is that of the attempt that ran, once it is complete.
	response *core.KeyResponse
	// keyEnded: the command that ends the claim was confirmed or needs no more attention.
	keyEnded bool
}

// usesKey reports whether a request's operation runs once in its key's window. A request without a
// key runs at most once itself. Keys count on routes of mode Once too, as the mode may change while
// they are stored.
func (req *activeRequest) usesKey() bool {
	if req.route == nil || req.spec.OperationKey == "" {
		return false
	}
	return req.route.Mode == route.Keyed || req.route.Mode == route.Once
}

// mayRunAgain reports whether a request that may have run may be sent again.
func (m *Machine) mayRunAgain(req *activeRequest) bool {
	return req.route.Retryable() || req.usesKey() && m.deduplicates(req, req.service)
}

// deduplicates reports whether a service of the request's route runs each operation key only once.
func (m *Machine) deduplicates(req *activeRequest, name string) bool {
	service, ok := req.table.Service(name)
	isTarget := func(target route.Target) bool { return target.Service == name && target.Weight > 0 }
	return ok && service.Deduplicates && slices.ContainsFunc(req.route.Targets, isTarget)
}

// claimKey claims a request's key, and answers from the stored record if an earlier attempt has
// claimed it.
func (m *Machine) claimKey(now time.Duration, req *activeRequest) {
	req.claiming = true
	m.lastClaim++
	req.claimID = m.incarnation + "-" + strconv.FormatUint(m.lastClaim, 36)
	command := core.ClaimKey{
		Tenant:  m.tenantName(req),
		Key:     req.spec.OperationKey,
		Claim:   req.claimID,
		Service: req.service,
		Working: req.deadline - now,
		Window:  m.params.KeyWindow,
	}
	for _, target := range req.route.Targets {
		if m.deduplicates(req, target.Service) {
			command.Deduplicating = append(command.Deduplicating, target.Service)
		}
	}
	m.caller.Call(now, command, req.admissionDeadline, func(now time.Duration, o core.Outcome) {
		if req.completed {
			// The claim was released when the request ended.
			return
		}
		req.claiming = false
		result, ok := o.Answer.(core.KeyResult)
		if !ok {
			// A claim that was sent may yet be stored.
			req.ownsClaim = o.Sent
			m.refuse(now, req, CauseKeyUnavailable)
			return
		}
		m.handleClaim(now, req, result)
	})
}

func (m *Machine) handleClaim(now time.Duration, req *activeRequest, result core.KeyResult) {
	switch {
	case result.State == core.KeyRejected:
		m.refuse(now, req, CauseKeysFull)
	case result.State == core.KeyReleased:
		m.refuse(now, req, CauseKeyUnavailable)
	case result.State == core.KeyClaimed && result.Claim == req.claimID:
		req.ownsClaim = true
		m.sendWhenReady(now, req)
	case result.State == core.KeyDone:
		m.finish(now, req, CauseRepeated, Step{
			Kind:      StepReplay,
			Status:    result.Response.Status,
			KeyedStep: KeyedStep{Response: &result.Response},
		})
	case result.Shared && m.deduplicates(req, result.Service):
		req.service, req.sharedClaim = result.Service, result.Claim
		m.sendWhenReady(now, req)
	case result.State == core.KeyClaimed && result.Working > 0:
		m.refuse(now, req, CauseKeyInProgress)
	default:
		m.abort(now, req, CauseKeyUncertain)
	}
}

// keepResponse remembers a complete response for later attempts with the key. The first response
// counts; another attempt's is stored only if it is a success, since the service then repeats the
// first one.
func (m *Machine) keepResponse(req *activeRequest, outcome Outcome) {
	if outcome.Kind != OutcomeComplete || outcome.Response == nil || req.sharedClaim != "" && outcome.Failed {
		return
	}
	req.response = outcome.Response
}

// keyOutcome returns the command that ends a request's claim, or false if it has none to end.
func (m *Machine) keyOutcome(req *activeRequest) (core.EndKey, bool) {
	command := core.EndKey{Tenant: m.tenantName(req), Key: req.spec.OperationKey, Claim: req.claimID}
	switch owned := req.ownsClaim || req.claiming; {
	case req.keyEnded:
		return command, false
	case req.sharedClaim != "" && req.response != nil:
		command.Claim, command.State = req.sharedClaim, core.KeyDone
	case !owned:
		return command, false
	case req.response != nil:
		command.State = core.KeyDone
	case req.mayHaveRun:
		command.State = core.KeyUncertain
	default:
		command.State = core.KeyReleased
	}
	if command.State == core.KeyDone {
		command.Response = *req.response
		if int64(command.Response.Size()) > m.params.MaxKeyResponse {
			command.State, command.Response = core.KeyNotStored, core.KeyResponse{}
		}
	}
	return command, true
}

// storeTimeDivisor divides the time left for a request into the part for storing its response.
const storeTimeDivisor = 2

// completeOperation stores the response before it delivers it, so that a repeat after the response
// gets the same one. The response is delivered without that if the cores do not answer soon.
func (m *Machine) completeOperation(now time.Duration, req *activeRequest, cause Cause, last Step) {
	command, ok := m.keyOutcome(req)
	if !ok {
		m.finish(now, req, cause, last)
		return
	}
	req.state = stateStoring
	storeUntil := min(now+m.params.Core.AttemptTimeout, now+(req.deadline-now)/storeTimeDivisor)
	m.caller.Call(now, command, storeUntil, func(now time.Duration, o core.Outcome) {
		_, req.keyEnded = o.Answer.(core.KeyResult)
		m.finish(now, req, cause, last)
	})
}

// releaseLeases is for how many member leases after its deadline a request's release is retried.
// Requesters have given up by then, and releases must not pile up while the cores are silent.
const releaseLeases = 2

// endKey ends a claim when its request has ended. An outcome is retried until the cores confirm it or
// the key's window has passed.
func (m *Machine) endKey(now time.Duration, req *activeRequest) {
	command, ok := m.keyOutcome(req)
	if !ok {
		return
	}
	req.keyEnded = true
	until := now + m.params.KeyWindow
	if command.State == core.KeyReleased {
		until = max(req.deadline, now) + releaseLeases*m.params.Core.MemberLease
	}
	m.caller.Call(now, command, until, func(time.Duration, core.Outcome) {})
}
