package node

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/program"
	"saffronfall/rule/replay"
	"saffronfall/rule/verdict"
)

const (
	onceKeyDigestBytes = 16
	onceLeases         = 20 // member leases for which an outcome is retried
)

func onceKeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:onceKeyDigestBytes])
}

// startAction makes an action's intent durable before its only attempt. A repeated request gets the
// stored outcome, or a refusal because the action may have run.
func (m *Machine) startAction(now time.Duration, req *requestState) {
	request := req.request
	service, known := m.description.Services[request.Service]
	if !known || service.Kind != "once" {
		m.refuse(req, denied("unknown_service", "no such once-only service", 400))
		return
	}
	if !service.BypassesBreaker {
		if v := m.breakerVerdict(now); v.Refused() {
			m.refuse(req, v)
			return
		}
	}
	digest, err := program.ArgumentsDigest(request.Arguments)
	if err != nil {
		m.refuse(req, denied("bad_body", "the body is not JSON: "+err.Error(), 400))
		return
	}
	m.nextID++
	a := &attempt{req: req, triedReplicas: map[string]bool{}, claim: fmt.Sprintf("%s-%s-%d", m.params.ID, m.incarnation, m.nextID)}
	a.payload = Payload{Attempt: a.claim, Tenant: req.tenant, OnceKey: request.OnceKey, Body: request.Arguments}
	retention := time.Duration(m.description.OnceKeepSeconds) * time.Second
	command := core.ClaimOnce{
		Tenant: req.tenant, Service: request.Service, Key: onceKeyDigest(request.OnceKey),
		Claim: a.claim, Digest: digest, Retention: retention,
	}
	m.caller.Call(now, command, m.stepDeadline(now, req), func(now time.Duration, o core.Outcome) {
		once, ok := o.Answer.(core.OnceRecord)
		switch {
		case !ok:
			m.cancelAttempt(now, a, retryLater("the intent could not be made durable in time"))
		case once.Digest != digest:
			m.refuse(req, verdict.Refused(verdict.Refusal{
				Check: "once", Code: "once_key_reused",
				Reason: "the once-key was used with another body",
				Status: 409,
			}))
		case once.Claim == a.claim && once.State == core.OnceIntent:
			if req.done {
				m.cancelAttempt(now, a, verdict.Verdict{})
				return
			}
			m.admitAttempt(now, a)
		case once.State == core.OnceDone:
			m.finish(req, Frame{
				Kind: FrameBody, Status: once.Status, Body: once.Body,
				Verdict: verdict.Allowed(verdict.Executed, nil), FinishReason: "repeated",
			})
		default:
			m.refuse(req, verdict.Refused(verdict.Refusal{
				Check: "once", Code: "may_have_run",
				Reason: "it was begun before and may have run; it is not sent again",
				Status: 409, Ran: verdict.MaybeExecuted, RetryAfter: time.Second,
			}))
		}
	})
}

func (m *Machine) finishOnce(now time.Duration, a *attempt, state string, status int, body []byte, next func(now time.Duration, ok bool)) {
	command := core.EndOnce{
		Tenant:  a.req.tenant,
		Service: a.req.request.Service,
		Key:     onceKeyDigest(a.req.request.OnceKey),
		Claim:   a.claim,
		State:   state,
		Status:  status,
		Body:    body,
	}
	m.caller.Call(now, command, now+onceLeases*m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		_, ok := o.Answer.(core.OnceRecord)
		next(now, ok)
	})
}

// finishAction delivers an outcome only after it is stored.
func (m *Machine) finishAction(now time.Duration, a *attempt, e AttemptEvent) {
	req := a.req
	if e.Kind != EventDone {
		m.finishOnce(now, a, core.OnceUncertain, 0, nil, func(time.Duration, bool) {})
		m.abortRequest(now, req)
		return
	}
	m.finishOnce(now, a, core.OnceDone, e.Status, e.Body, func(now time.Duration, ok bool) {
		if !ok {
			m.abortRequest(now, req)
			return
		}
		m.countAdmitted(nil)
		m.recordSample(replay.Sample{
			KeyDigest: req.keyDigest,
			Tenant:    req.tenant,
			User:      req.request.User,
			Role:      req.role,
			Kind:      KindAction,
			Service:   req.request.Service,
		})
		m.finish(req, Frame{Kind: FrameBody, Status: e.Status, Body: e.Body, Verdict: verdict.Allowed(verdict.Executed, nil)})
	})
}
