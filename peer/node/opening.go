package node

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/breaker"
	"saffronfall/rule/program"
	"saffronfall/rule/rehearsal"
	"saffronfall/rule/verdict"
)

// openProgram is a session start: the breaker came first; the user's windows,
// lockout, concurrency and day follow at the user's part, in that order, and
// the tenant's day last.
func (m *Machine) openProgram(now time.Duration, w *way) {
	role := m.description.Roles[w.role]
	m.nextID++
	id := fmt.Sprintf("p-%s-%s-%d", m.params.ID, m.incarnation, m.nextID)
	next := func(now time.Duration, test int) {
		m.caller.Call(now, core.OpenUser{Tenant: w.tenant, User: w.inquiry.User, Program: id, Role: role, WarnRatio: m.description.WarnRatio}, m.patient(now, w), func(now time.Duration, o core.Outcome) {
			v, ok := o.Answer.(verdict.Verdict)
			switch {
			case w.over:
				m.closeUser(now, w, id, 0)
			case !ok:
				m.closeUser(now, w, id, 0)
				m.refuse(w, unsure("the user's windows could not be asked"))
			case v.Refused():
				m.refuse(w, v)
			default:
				m.openDay(now, w, id, test, v.Warnings)
			}
		})
	}
	if m.breakerState != breaker.HalfOpen {
		next(now, 0)
		return
	}
	m.caller.Call(now, core.AdmitProbe{Program: id, Limits: m.limits()}, m.patient(now, w), func(now time.Duration, o core.Outcome) {
		t, ok := o.Answer.(core.ProbeResult)
		switch {
		case w.over:
		case !ok:
			m.refuse(w, unsure("the breaker could not be asked"))
		case t.State == string(breaker.Closed):
			next(now, 0)
		case t.Number == 0:
			m.refuse(w, verdict.Refused(verdict.Refusal{Check: "breaker", Code: "breaker_half_open", Reason: "only a few test sessions are gated", Status: 503, RetryAfter: max(t.Left, time.Second)}))
		default:
			next(now, t.Number)
		}
	})
}

func (m *Machine) closeUser(now time.Duration, w *way, id string, charged int64) {
	m.caller.Call(now, core.ChargeUser{Tenant: w.tenant, User: w.inquiry.User, Program: id, Charged: charged, Closed: true}, now+10*m.params.Core.MemberLease, func(time.Duration, core.Outcome) {})
}

func (m *Machine) openDay(now time.Duration, w *way, id string, test int, warnings []verdict.Warning) {
	s := m.dayOf(w.tenant)
	m.draw(now, s, 1, m.dayChunk(w.tenant), m.patient(now, w), m.askDay(w.tenant, s), func(now time.Duration, ok, told bool) {
		if w.over || !ok {
			m.closeUser(now, w, id, 0)
			m.refuse(w, m.dayVerdict(told))
			return
		}
		r := program.Record{Fence: 1, ID: id, Tenant: w.tenant, User: w.inquiry.User, Role: w.role, Node: m.params.ID, Incarnation: m.incarnation, Address: m.params.Address, Test: test,
			Keep: time.Duration(m.description.KeepSeconds) * time.Second}
		fresh := held{record: r}
		covered := program.Cover(m.description.Roles[w.role], 0)
		m.cover(&fresh)
		r = fresh.record
		m.caller.Call(now, core.OpenProgram{Record: r}, m.patient(now, w), func(now time.Duration, o core.Outcome) {
			p, ok := o.Answer.(core.ProgramResult)
			if !ok || !p.Owned || w.over || p.Record.Incarnation != m.incarnation {
				m.closeUser(now, w, id, 0)
				m.refuse(w, unsure("the program's record could not be made durable in time"))
				return
			}
			m.hold(now, p).dayCovered = covered
			m.count(warnings)
			m.sample(rehearsal.Sample{KeySum: w.keySum, Tenant: w.tenant, Program: id, User: w.inquiry.User, Role: w.role, Kind: Open})
			m.end(w, Piece{Kind: PieceBody, Status: 201, Head: program.Start, Verdict: verdict.Allowed(verdict.Executed, warnings), Text: id})
		})
	})
}

func (m *Machine) count(warnings []verdict.Warning) {
	m.Counters.Gated++
	if len(warnings) > 0 {
		m.Counters.Warned++
	}
}

func (m *Machine) dayVerdict(told bool) verdict.Verdict {
	if !told {
		return unsure("no share of the tenant's day could be had in time")
	}
	return verdict.Refused(verdict.Refusal{Check: "tenant_day", Code: "tenant_day_tokens_spent", Reason: "the tenant's day is spent, or its shares are all held", Status: 429, RetryAfter: m.params.Core.MemberLease})
}
