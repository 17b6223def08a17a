package simulator

import (
	"encoding/json"
	"fmt"
	"time"

	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/program"
)

// ask sends one inquiry to a node and tells its outcome.
func (w *World) submit(p *process, q node.Request, done func(a judge.Request, last node.Frame)) {
	a := judge.Request{At: w.now, Kind: q.Kind, Node: p.id, Tenant: tenantOf(q.Key), User: q.User, Program: q.Program, Conversation: q.Conversation, ID: q.Prompt, Service: q.Service}
	if q.Kind == node.KindAction || q.Kind == node.KindTool {
		a.ID = requestIDOf(q.Arguments)
		a.OnceKey = q.OnceKey
	}
	over := false
	finish := func(last node.Frame) {
		if over {
			return
		}
		over = true
		a.Ended = w.now
		w.Record.Requests = append(w.Record.Requests, a)
		w.Counts["asked "+a.Kind+" "+a.Outcome]++
		if a.Outcome == judge.Refused {
			w.Counts["refused "+a.Code]++
		}
		done(a, last)
	}
	w.after(w.between(200*time.Microsecond, 2*time.Millisecond), func() {
		if !p.alive {
			a.Outcome = judge.Silent
			finish(node.Frame{})
			return
		}
		w.tickets++
		ticket := w.tickets
		w.pendingResponses[ticket] = &pendingResponse{node: p, deliver: func(frame node.Frame) {
			if over {
				return
			}
			switch frame.Kind {
			case node.FrameChunk:
				a.Text += frame.Text
				a.Tokens += frame.Tokens
			case node.FrameClose:
				// A requester need not count; the judge does.
				a.Outcome = judge.Whole
				finish(frame)
			case node.FrameAbort:
				a.Outcome = judge.Broken
				finish(frame)
			case node.FrameVerdict:
				a.Outcome, a.Code, a.Ran, a.Status = judge.Refused, frame.Verdict.Code, string(frame.Verdict.Ran), frame.Status
				a.RetryAfter = frame.Verdict.RetryAfter
				finish(frame)
			case node.FrameBody:
				a.Outcome, a.Status = judge.Whole, frame.Status
				if a.Program == "" {
					a.Program = frame.Text
				}
				finish(frame)
			}
		}}
		p.do(func() { p.handleNodeOutput(p.nodeM.Submit(p.now(), ticket, q)) })
		cancel := func() {
			if over {
				return
			}
			delete(w.pendingResponses, ticket)
			p.do(func() { p.handleNodeOutput(p.nodeM.CancelRequest(p.now(), ticket)) })
			a.Outcome = judge.Silent
			finish(node.Frame{})
		}
		if w.Params.Faults && q.Kind == node.KindTurn && w.chance(0.02) {
			w.Counts["requesters gone"]++
			w.after(w.between(5*time.Millisecond, 200*time.Millisecond), cancel)
		}
		w.after(q.Timeout+300*time.Millisecond, cancel)
	})
}

func tenantOf(key string) string {
	var tenant string
	fmt.Sscanf(key, "key-%s", &tenant)
	return tenant
}

type user struct {
	world   *World
	name    string
	key     string
	program string
	heads   map[string]string
	turns   int
}

func (w *World) anyNode() *process { return w.nodes[w.random.IntN(len(w.nodes))] }

func (w *World) newID(kind string) string {
	w.lastID++
	return fmt.Sprintf("%s-%d", kind, w.lastID)
}

func (u *user) pause(least, most time.Duration, next func()) {
	u.world.after(u.world.between(least, most), next)
}

// live is a user's whole life: open, take turns at any node, call tools, send
// alerts, close, and again.
func (u *user) startSession() {
	w := u.world
	if w.now > w.Params.Length {
		return
	}
	u.heads, u.turns = map[string]string{"": program.EmptyHead}, 0
	w.submit(w.anyNode(), node.Request{Kind: node.KindOpen, Key: u.key, User: u.name, Timeout: 3 * time.Second}, func(a judge.Request, last node.Frame) {
		if a.Outcome != judge.Whole {
			u.pause(300*time.Millisecond, 900*time.Millisecond, u.startSession)
			return
		}
		u.program = a.Program
		u.nextStep()
	})
}

func (u *user) nextStep() {
	w := u.world
	if w.now > w.Params.Length {
		return
	}
	u.turns++
	switch {
	case u.turns > 1 && isStrict(u.key) && w.chance(0.1):
		// Some begin anew without an end, and more often than they may.
		u.startSession()
	case u.turns > 14 || w.chance(0.04):
		w.submit(w.anyNode(), node.Request{Kind: node.KindClose, Key: u.key, Program: u.program, Timeout: 3 * time.Second}, func(judge.Request, node.Frame) {
			u.pause(100*time.Millisecond, 600*time.Millisecond, u.startSession)
		})
	case w.chance(0.15):
		u.alert()
	case w.chance(0.15):
		u.tool()
	default:
		u.turn()
	}
}

func (u *user) pauseThenContinue() { u.pause(20*time.Millisecond, 400*time.Millisecond, u.nextStep) }

func (u *user) turn() {
	w := u.world
	conversation := ""
	if w.chance(0.2) {
		conversation = "helper"
	}
	if u.heads[conversation] == "" {
		u.heads[conversation] = program.EmptyHead
	}
	before, id := u.heads[conversation], w.newID("turn")
	q := node.Request{Kind: node.KindTurn, Key: u.key, Program: u.program, Conversation: conversation, Service: "model", PreviousHead: before, Prompt: id, Timeout: w.between(800*time.Millisecond, 5*time.Second)}
	w.submit(w.anyNode(), q, func(a judge.Request, last node.Frame) {
		switch {
		case a.Outcome == judge.Whole:
			if want := program.NextHead(before, id, a.Text); want != last.Head {
				w.Record.Requests[len(w.Record.Requests)-1].Text += " (head does not follow)"
			}
			u.heads[conversation] = last.Head
		case a.Outcome == judge.Refused && a.Code == "wrong_history":
			u.heads[conversation] = last.Verdict.Head
		case a.Outcome == judge.Refused && (a.Code == "program_tokens_spent" || a.Code == "steps_reached" || a.Code == "duration_reached" || a.Code == "unknown_program" || a.Code == "loop" || a.Code == "tool_calls_per_type_reached"):
			u.turns = 100
		case a.Outcome == judge.Refused && last.Verdict.RetryAfter > 0:
			u.pause(min(last.Verdict.RetryAfter, 2*time.Second), min(last.Verdict.RetryAfter, 2*time.Second)+50*time.Millisecond, u.nextStep)
			return
		}
		u.pauseThenContinue()
	})
}

func (u *user) tool() {
	w := u.world
	mark := w.newID("tool")
	raw, _ := json.Marshal(map[string]string{"mark": mark})
	w.submit(w.anyNode(), node.Request{Kind: node.KindTool, Key: u.key, Program: u.program, Service: "search", Arguments: raw, Timeout: 2 * time.Second}, func(judge.Request, node.Frame) { u.pauseThenContinue() })
}

// alert sends a once-only alert, often at two nodes at once, and asks again
// while it is unsure.
func (u *user) alert() {
	w := u.world
	mark := w.newID("once")
	raw, _ := json.Marshal(map[string]string{"mark": mark})
	q := node.Request{Kind: node.KindAction, Key: u.key, User: u.name, Service: "alert", OnceKey: mark, Arguments: raw, Timeout: 2 * time.Second}
	tries := 0
	var try func(then func())
	try = func(then func()) {
		w.submit(w.anyNode(), q, func(a judge.Request, last node.Frame) {
			tries++
			if a.Outcome != judge.Whole && tries < 5 {
				u.pause(50*time.Millisecond, 800*time.Millisecond, func() { try(then) })
				return
			}
			then()
		})
	}
	if w.chance(0.5) {
		try(func() {})
	}
	try(u.pauseThenContinue)
}
