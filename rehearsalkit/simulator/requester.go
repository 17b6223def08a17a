package simulator

import (
	"encoding/json"
	"fmt"
	"time"

	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/program"
)

func (w *World) countInFlight(onceKey string, change int) {
	if onceKey == "" {
		return
	}
	if w.Record.InFlight == nil {
		w.Record.InFlight = map[string]int{}
	}
	w.Record.InFlight[onceKey] += change
}

// submit sends a request and calls done once, with its outcome.
func (w *World) submit(p *process, request node.Request, done func(result judge.Request, last node.Frame)) {
	result := judge.Request{At: w.now, Kind: request.Kind, Node: p.id, Tenant: tenantOf(request.Key), User: request.User, Program: request.Program, Conversation: request.Conversation, ID: request.Prompt, Service: request.Service}
	if request.Kind == node.KindAction || request.Kind == node.KindTool {
		result.ID = requestIDOf(request.Arguments)
		result.OnceKey = request.OnceKey
	}
	finished := false
	w.countInFlight(result.OnceKey, 1)
	finish := func(last node.Frame) {
		if finished {
			return
		}
		finished, result.Ended = true, w.now
		w.countInFlight(result.OnceKey, -1)
		w.Record.Requests = append(w.Record.Requests, result)
		w.Counts["asked "+result.Kind+" "+result.Outcome]++
		if result.Outcome == judge.Refused {
			w.Counts["refused "+result.Code]++
		}
		done(result, last)
	}
	w.after(w.between(minDelay, maxRequesterDelay), func() {
		if !p.alive {
			result.Outcome = judge.Silent
			finish(node.Frame{})
			return
		}
		w.tickets++
		ticket := w.tickets
		w.pendingResponses[ticket] = &pendingResponse{node: p, deliver: func(frame node.Frame) {
			if finished {
				return
			}
			switch frame.Kind {
			case node.FrameChunk:
				result.Text += frame.Text
				result.Tokens += frame.Tokens
			case node.FrameClose:
				result.Outcome = judge.Whole
				finish(frame)
			case node.FrameAbort:
				result.Outcome = judge.Broken
				finish(frame)
			case node.FrameVerdict:
				result.Outcome, result.Code, result.Ran, result.Status = judge.Refused, frame.Verdict.Code, string(frame.Verdict.Ran), frame.Status
				result.RetryAfter = frame.Verdict.RetryAfter
				finish(frame)
			case node.FrameBody:
				result.Outcome, result.Status = judge.Whole, frame.Status
				if result.Program == "" {
					result.Program = frame.Text
				}
				finish(frame)
			}
		}}
		p.do(func() { p.handleNodeOutput(p.nodeMachine.Submit(p.now(), ticket, request)) })
		cancel := func() {
			if finished {
				return
			}
			delete(w.pendingResponses, ticket)
			p.do(func() { p.handleNodeOutput(p.nodeMachine.CancelRequest(p.now(), ticket)) })
			result.Outcome = judge.Silent
			finish(node.Frame{})
		}
		if w.Params.Faults && request.Kind == node.KindTurn && w.chance(0.02) {
			w.Counts["requesters gone"]++
			w.after(w.between(5*time.Millisecond, 200*time.Millisecond), cancel)
		}
		w.after(request.Timeout+300*time.Millisecond, cancel)
	})
}

func tenantOf(key string) string {
	var tenant string
	fmt.Sscanf(key, "key-%s", &tenant)
	return tenant
}

// user is a simulated requester with one session at a time.
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

func (u *user) pause(shortest, longest time.Duration, next func()) {
	u.world.after(u.world.between(shortest, longest), next)
}

// startSession opens a session, and a new one after its end.
func (u *user) startSession() {
	w := u.world
	if w.now > w.Params.LoadTime {
		return
	}
	u.heads, u.turns = map[string]string{"": program.EmptyHead}, 0
	w.submit(w.anyNode(), node.Request{
		Kind:    node.KindOpen,
		Key:     u.key,
		User:    u.name,
		Timeout: 3 * time.Second,
	}, func(result judge.Request, last node.Frame) {
		if result.Outcome != judge.Whole {
			u.pause(300*time.Millisecond, 900*time.Millisecond, u.startSession)
			return
		}
		u.program = result.Program
		u.nextStep()
	})
}

func (u *user) nextStep() {
	w := u.world
	if w.now > w.Params.LoadTime {
		return
	}
	u.turns++
	switch {
	case u.turns > 1 && isStrict(u.key) && w.chance(0.1):
		// These users start a session without closing the old one, to exceed their limits.
		u.startSession()
	case u.turns > 14 || w.chance(0.04):
		w.submit(w.anyNode(), node.Request{
			Kind:    node.KindClose,
			Key:     u.key,
			Program: u.program,
			Timeout: 3 * time.Second,
		}, func(judge.Request, node.Frame) {
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
	request := node.Request{
		Kind:         node.KindTurn,
		Key:          u.key,
		Program:      u.program,
		Conversation: conversation,
		Service:      "model",
		PreviousHead: before,
		Prompt:       id,
		Timeout:      w.between(800*time.Millisecond, 5*time.Second),
	}
	w.submit(w.anyNode(), request, func(result judge.Request, last node.Frame) {
		switch {
		case result.Outcome == judge.Whole:
			if want := program.NextHead(before, id, result.Text); want != last.Head {
				w.Record.Requests[len(w.Record.Requests)-1].Text += " (head does not follow)"
			}
			u.heads[conversation] = last.Head
		case result.Outcome == judge.Refused && result.Code == "wrong_history":
			u.heads[conversation] = last.Verdict.Head
		case result.Outcome == judge.Refused && (result.Code == "program_tokens_spent" ||
			result.Code == "steps_reached" || result.Code == "duration_reached" ||
			result.Code == "unknown_program" || result.Code == "loop" ||
			result.Code == "tool_calls_per_type_reached"):
			u.turns = 100 // closes the session
		case result.Outcome == judge.Refused && last.Verdict.RetryAfter > 0:
			u.pause(min(last.Verdict.RetryAfter, 2*time.Second), min(last.Verdict.RetryAfter, 2*time.Second)+50*time.Millisecond, u.nextStep)
			return
		}
		u.pauseThenContinue()
	})
}

func (u *user) tool() {
	w := u.world
	id := w.newID("tool")
	raw, _ := json.Marshal(map[string]string{"mark": id})
	w.submit(w.anyNode(), node.Request{
		Kind:      node.KindTool,
		Key:       u.key,
		Program:   u.program,
		Service:   "search",
		Arguments: raw,
		Timeout:   2 * time.Second,
	}, func(judge.Request, node.Frame) { u.pauseThenContinue() })
}

// alert sends a once-only alert, half of the time to two nodes at once, and retries while the
// outcome is uncertain.
func (u *user) alert() {
	w := u.world
	id := w.newID("once")
	raw, _ := json.Marshal(map[string]string{"mark": id})
	request := node.Request{
		Kind:      node.KindAction,
		Key:       u.key,
		User:      u.name,
		Service:   "alert",
		OnceKey:   id,
		Arguments: raw,
		Timeout:   2 * time.Second,
	}
	attempts := 0
	var try func(then func())
	try = func(then func()) {
		w.submit(w.anyNode(), request, func(result judge.Request, last node.Frame) {
			attempts++
			if result.Outcome != judge.Whole && attempts < 5 {
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
