package node

import (
	"fmt"
	"time"

	"saffronfall/rule/breaker"
	"saffronfall/rule/program"
	"saffronfall/rule/rehearsal"
	"saffronfall/rule/verdict"
)

func (m *Machine) tool(now time.Duration, w *way, h *held) {
	name := w.inquiry.Service
	service, known := m.description.Services[name]
	role := m.description.Roles[h.record.Role]
	if !known || service.Kind != "tool" {
		m.refuse(w, denied("unknown_service", "no such tool", 400))
		return
	}
	arguments, err := program.Arguments(w.inquiry.Arguments)
	if err != nil {
		m.refuse(w, denied("bad_arguments", "arguments are not JSON: "+err.Error(), 400))
		return
	}
	if m.breakerState == breaker.HalfOpen && h.record.Test == 0 {
		m.refuse(w, onlyTests())
		return
	}
	v := h.record.Tool(h.offset+now, name, arguments, role, service, m.description.WarnRatio)
	if v.Refused() {
		m.refuse(w, v)
		return
	}
	m.nextID++
	s := &shot{way: w, held: h, fenced: true, tried: map[string]bool{}, arguments: arguments, warnings: v.Warnings}
	s.payload = Payload{Shot: fmt.Sprintf("%s-%s-%d", m.params.ID, m.incarnation, m.nextID), Tenant: w.tenant, Program: h.record.ID, Line: w.inquiry.Line, Body: w.inquiry.Arguments}
	h.record.CallTool(h.offset+now, name, arguments)
	m.save(now, h, m.patient(now, w), func(now time.Duration, ok bool) {
		if !ok || w.over {
			m.undo(now, s, unsure("the call could not be made durable in time"))
			return
		}
		m.launch(now, s)
	})
}

func (m *Machine) endTool(now time.Duration, s *shot, e Event) {
	w, h := s.way, s.held
	good := e.Kind == EventDone && e.Status < 500
	if !h.lost {
		longest := time.Duration(m.description.MaxCooldownSeconds) * time.Second
		h.record.ToolDone(h.offset+now, w.inquiry.Service, good, m.description.Services[w.inquiry.Service], longest)
	}
	if e.Kind != EventDone {
		if !h.lost {
			m.resave(now, h)
		}
		m.breakOff(now, w)
		return
	}
	m.save(now, h, w.until, func(now time.Duration, ok bool) {
		if !ok {
			m.breakOff(now, w)
			return
		}
		m.count(s.warnings)
		m.sample(rehearsal.Sample{KeySum: w.keySum, Tenant: w.tenant, User: h.record.User, Role: h.record.Role, Kind: Tool, Service: w.inquiry.Service})
		m.end(w, Piece{Kind: PieceBody, Status: e.Status, Body: e.Body, Verdict: verdict.Allowed(verdict.Executed, s.warnings)})
	})
}
