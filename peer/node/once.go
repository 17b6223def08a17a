package node

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/program"
	"saffronfall/rule/rehearsal"
	"saffronfall/rule/verdict"
)

func onceKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:16])
}

// action does what may happen only once: its intent is durable before its only
// shot, and whoever asks again gets the outcome, or that it may have run.
func (m *Machine) action(now time.Duration, w *way) {
	q := w.inquiry
	service, known := m.description.Services[q.Service]
	if !known || service.Kind != "once" {
		m.refuse(w, denied("unknown_service", "no such once-only service", 400))
		return
	}
	if !service.BypassesBreaker {
		if v := m.breakerVerdict(now); v.Refused() {
			m.refuse(w, v)
			return
		}
	}
	digest, err := program.Arguments(q.Arguments)
	if err != nil {
		m.refuse(w, denied("bad_body", "the body is not JSON: "+err.Error(), 400))
		return
	}
	m.nextID++
	s := &shot{way: w, tried: map[string]bool{}, claim: fmt.Sprintf("%s-%s-%d", m.params.ID, m.incarnation, m.nextID)}
	s.payload = Payload{Shot: s.claim, Tenant: w.tenant, OnceKey: q.OnceKey, Body: q.Arguments}
	keep := time.Duration(m.description.OnceKeepSeconds) * time.Second
	claim := core.ClaimOnce{Tenant: w.tenant, Service: q.Service, Key: onceKey(q.OnceKey), Claim: s.claim, Digest: digest, Retention: keep}
	m.caller.Call(now, claim, m.patient(now, w), func(now time.Duration, o core.Outcome) {
		c, ok := o.Answer.(core.OnceRecord)
		switch {
		case !ok:
			m.undo(now, s, unsure("the intent could not be made durable in time"))
		case c.Digest != digest:
			m.refuse(w, verdict.Refused(verdict.Refusal{Check: "once", Code: "once_key_reused", Reason: "the once-key was used with another body", Status: 409}))
		case c.Claim == s.claim && c.State == core.OnceIntent:
			if w.over {
				m.undo(now, s, verdict.Verdict{})
				return
			}
			m.launch(now, s)
		case c.State == core.OnceDone:
			m.end(w, Piece{Kind: PieceBody, Status: c.Status, Body: c.Body, Verdict: verdict.Allowed(verdict.Executed, nil), End: "repeated"})
		default:
			m.refuse(w, verdict.Refused(verdict.Refusal{Check: "once", Code: "may_have_run", Reason: "it was begun before and may have run; it is not sent again", Status: 409, Ran: verdict.MaybeExecuted, RetryAfter: time.Second}))
		}
	})
}

func (m *Machine) endOnce(now time.Duration, s *shot, state string, status int, body []byte, next func(now time.Duration, ok bool)) {
	end := core.EndOnce{Tenant: s.way.tenant, Service: s.way.inquiry.Service, Key: onceKey(s.way.inquiry.OnceKey), Claim: s.claim, State: state, Status: status, Body: body}
	m.caller.Call(now, end, now+20*m.params.Core.MemberLease, func(now time.Duration, o core.Outcome) {
		_, ok := o.Answer.(core.OnceRecord)
		next(now, ok)
	})
}

func (m *Machine) endAction(now time.Duration, s *shot, e Event) {
	w := s.way
	if e.Kind != EventDone {
		m.endOnce(now, s, core.OnceUncertain, 0, nil, func(time.Duration, bool) {})
		m.breakOff(now, w)
		return
	}
	m.endOnce(now, s, core.OnceDone, e.Status, e.Body, func(now time.Duration, ok bool) {
		if !ok {
			m.breakOff(now, w)
			return
		}
		m.count(nil)
		m.sample(rehearsal.Sample{KeySum: w.keySum, Tenant: w.tenant, User: w.inquiry.User, Role: w.role, Kind: Action, Service: w.inquiry.Service})
		m.end(w, Piece{Kind: PieceBody, Status: e.Status, Body: e.Body, Verdict: verdict.Allowed(verdict.Executed, nil)})
	})
}
