package node

import (
	"fmt"
	"time"

	"saffronfall/rule/breaker"
	"saffronfall/rule/program"
	"saffronfall/rule/replay"
	"saffronfall/rule/verdict"
)

// startTool starts an attempt once the call is durable.
func (m *Machine) startTool(now time.Duration, req *requestState, prog *ownedProgram) {
	name := req.request.Service
	service, known := m.description.Services[name]
	role := m.description.Roles[prog.record.Role]
	if !known || service.Kind != "tool" {
		m.refuse(req, denied("unknown_service", "no such tool", 400))
		return
	}
	arguments, err := program.ArgumentsDigest(req.request.Arguments)
	if err != nil {
		m.refuse(req, denied("bad_arguments", "arguments are not JSON: "+err.Error(), 400))
		return
	}
	if m.breakerState == breaker.HalfOpen && prog.record.ProbeNumber == 0 {
		m.refuse(req, probeSessionsOnly())
		return
	}
	v := prog.record.CheckToolCall(prog.clockOffset+now, name, arguments, role, service, m.description.WarnRatio)
	if v.Refused() {
		m.refuse(req, v)
		return
	}
	m.nextID++
	a := &attempt{req: req, prog: prog, requiresOwnership: true, triedReplicas: map[string]bool{}, argumentsDigest: arguments, warnings: v.Warnings}
	a.payload = Payload{
		Attempt:      fmt.Sprintf("%s-%s-%d", m.params.ID, m.incarnation, m.nextID),
		Tenant:       req.tenant,
		Program:      prog.record.ID,
		Conversation: req.request.Conversation,
		Body:         req.request.Arguments,
	}
	prog.record.StartToolCall(prog.clockOffset+now, name, arguments)
	m.save(now, prog, m.stepDeadline(now, req), func(now time.Duration, ok bool) {
		if !ok || req.done {
			m.cancelAttempt(now, a, retryLater("the call could not be made durable in time"))
			return
		}
		m.admitAttempt(now, a)
	})
}

// finishTool delivers an outcome only once it is durable.
func (m *Machine) finishTool(now time.Duration, a *attempt, e AttemptEvent) {
	req, prog := a.req, a.prog
	succeeded := e.Kind == EventDone && e.Status < 500
	if !prog.lost {
		longest := time.Duration(m.description.MaxCooldownSeconds) * time.Second
		prog.record.FinishToolCall(prog.clockOffset+now, req.request.Service, succeeded, m.description.Services[req.request.Service], longest)
	}
	if e.Kind != EventDone {
		if !prog.lost {
			m.resave(now, prog)
		}
		m.abortRequest(now, req)
		return
	}
	m.save(now, prog, req.deadline, func(now time.Duration, ok bool) {
		if !ok {
			m.abortRequest(now, req)
			return
		}
		m.countAdmitted(a.warnings)
		m.recordSample(replay.Sample{
			KeyDigest: req.keyDigest,
			Tenant:    req.tenant,
			User:      prog.record.User,
			Role:      prog.record.Role,
			Kind:      KindTool,
			Service:   req.request.Service,
		})
		m.finish(req, Frame{Kind: FrameBody, Status: e.Status, Body: e.Body, Verdict: verdict.Allowed(verdict.Executed, a.warnings)})
	})
}
