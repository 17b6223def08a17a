package node

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/breaker"
	"saffronfall/rule/program"
	"saffronfall/rule/replay"
	"saffronfall/rule/verdict"
)

// openProgram checks a half-open breaker, then the user's limits at the user's partition, then the
// tenant's day. An open breaker was checked before.
func (m *Machine) openProgram(now time.Duration, req *requestState) {
	role := m.description.Roles[req.role]
	m.nextID++
	id := fmt.Sprintf("p-%s-%s-%d", m.params.ID, m.incarnation, m.nextID)
	next := func(now time.Duration, probeNumber int) {
		m.caller.Call(now, core.OpenUser{
			Tenant:    req.tenant,
			User:      req.request.User,
			Program:   id,
			Role:      role,
			WarnRatio: m.description.WarnRatio,
		}, m.stepDeadline(now, req), func(now time.Duration, o core.Outcome) {
			v, ok := o.Answer.(verdict.Verdict)
			switch {
			case req.done:
				m.closeSession(now, req, id, 0)
			case !ok:
				m.closeSession(now, req, id, 0)
				m.refuse(req, retryLater("the user's windows could not be asked"))
			case v.Refused():
				m.refuse(req, v)
			default:
				m.openWithDayShare(now, req, id, probeNumber, v.Warnings)
			}
		})
	}
	if m.breakerState != breaker.HalfOpen {
		next(now, 0)
		return
	}
	command := core.AdmitProbe{Program: id, Limits: m.breakerLimits()}
	m.caller.Call(now, command, m.stepDeadline(now, req), func(now time.Duration, o core.Outcome) {
		probe, ok := o.Answer.(core.ProbeResult)
		switch {
		case req.done:
		case !ok:
			m.refuse(req, retryLater("the breaker could not be asked"))
		case probe.State == string(breaker.Closed):
			next(now, 0)
		case probe.Number == 0:
			m.refuse(req, verdict.Refused(verdict.Refusal{
				Check: "breaker", Code: "breaker_half_open",
				Reason: "only a few test sessions are gated",
				Status: 503, RetryAfter: max(probe.Remaining, time.Second),
			}))
		default:
			next(now, probe.Number)
		}
	})
}

// reportLeases bounds, in member leases, the retries of user charges and probe reports.
const reportLeases = 10

func (m *Machine) closeSession(now time.Duration, req *requestState, id string, charged int64) {
	m.caller.Call(now, core.ChargeUser{
		Tenant:  req.tenant,
		User:    req.request.User,
		Program: id,
		Charged: charged,
		Closed:  true,
	}, now+reportLeases*m.params.Core.MemberLease, func(time.Duration, core.Outcome) {})
}

func (m *Machine) openWithDayShare(now time.Duration, req *requestState, id string, probeNumber int, warnings []verdict.Warning) {
	s := m.dayShareOf(req.tenant)
	command := m.dayShareCommand(req.tenant, s)
	m.drawShare(now, s, 1, m.dayChunk(req.tenant), m.stepDeadline(now, req), command, func(now time.Duration, ok, answered bool) {
		if req.done || !ok {
			m.closeSession(now, req, id, 0)
			m.refuse(req, m.dayShareRefusal(answered))
			return
		}
		record := program.Record{
			Fence: 1, ID: id, Tenant: req.tenant, User: req.request.User, Role: req.role,
			Node: m.params.ID, Incarnation: m.incarnation, Address: m.params.Address,
			ProbeNumber: probeNumber, Retention: time.Duration(m.description.KeepSeconds) * time.Second,
		}
		prog := ownedProgram{record: record}
		precharged := program.PrechargeTarget(m.description.Roles[req.role], 0)
		m.prepareRecord(&prog)
		record = prog.record
		m.caller.Call(now, core.OpenProgram{Record: record}, m.stepDeadline(now, req), func(now time.Duration, o core.Outcome) {
			answer, ok := o.Answer.(core.ProgramResult)
			if !ok || !answer.Owned || req.done || answer.Record.Incarnation != m.incarnation {
				m.closeSession(now, req, id, 0)
				m.refuse(req, retryLater("the program's record could not be made durable in time"))
				return
			}
			m.adoptProgram(now, answer).dayPrecharged = precharged
			m.countAdmitted(warnings)
			m.recordSample(replay.Sample{
				KeyDigest: req.keyDigest,
				Tenant:    req.tenant,
				Program:   id,
				User:      req.request.User,
				Role:      req.role,
				Kind:      KindOpen,
			})
			m.finish(req, Frame{
				Kind:    FrameBody,
				Status:  201,
				Head:    program.EmptyHead,
				Verdict: verdict.Allowed(verdict.Executed, warnings),
				Text:    id,
			})
		})
	})
}

func (m *Machine) countAdmitted(warnings []verdict.Warning) {
	m.Counters.Admitted++
	if len(warnings) > 0 {
		m.Counters.Warned++
	}
}

func (m *Machine) dayShareRefusal(answered bool) verdict.Verdict {
	if !answered {
		return retryLater("no share of the tenant's day could be had in time")
	}
	return verdict.Refused(verdict.Refusal{
		Check: "tenant_day", Code: "tenant_day_tokens_spent",
		Reason: "the tenant's day is spent, or its shares are all held",
		Status: 429, RetryAfter: m.params.Core.MemberLease,
	})
}
