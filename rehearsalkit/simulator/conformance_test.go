package simulator

import (
	"encoding/json"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/configuration"
	"saffronfall/rule/program"
)

type tree = map[string]any

func configurationWith(change func(role, tenant, services, breaker tree)) func(string) []byte {
	return func(key string) []byte {
		role, tenant, breaker := tree{}, tree{"keys": []any{tree{"sha256": configuration.KeyDigest("key-t1"), "role": "viewer"}}}, tree{}
		services := tree{"model": tree{"kind": "model"}, "search": tree{"kind": "tool"}, "alert": tree{"kind": "once", "urgent": true}}
		if change != nil {
			change(role, tenant, services, breaker)
		}
		text, _ := json.Marshal(tree{"roles": tree{"viewer": role}, "tenants": tree{"t1": tenant, "probe": tree{"keys": []any{tree{"sha256": configuration.KeyDigest(key)}}}},
			"services": services, "breaker": breaker})
		return text
	}
}

func smallWorld(change func(role, tenant, services, breaker tree)) *World {
	p := defaults(7)
	p.Cores, p.Nodes, p.Users = 3, 3, 0
	p.Configuration = configurationWith(change)
	return NewWithoutFaults(p)
}

func callTool(w *World, at int, id, arguments string) (judge.Request, node.Frame) {
	return w.Do(at, node.Request{Kind: node.KindTool, Key: "key-t1", Program: id, Service: "search", Arguments: []byte(arguments)})
}

func wantCode(t *testing.T, what string, result judge.Request, code string) {
	t.Helper()
	got := result.Code
	if result.Outcome == judge.Whole {
		got = ""
	} else if got == "" {
		got = result.Outcome
	}
	if got != code {
		t.Errorf("%s: got %q, want %q", what, got, code)
	}
}

// The checks come in order: breaker, lockout and windows, concurrent sessions, daily allowance.
func TestCheckOrderAtSessionStart(t *testing.T) {
	for _, c := range []struct {
		name                             string
		breaker, locked, concurrent, day bool
		code                             string
	}{
		{"all", true, true, true, true, "breaker_open"},
		{"no breaker", false, true, true, true, "locked_out"},
		{"no lockout", false, false, true, true, "concurrent_sessions"},
		{"only the day", false, false, false, true, "user_day_tokens_spent"},
		{"none", false, false, false, false, ""},
		{"breaker and day", true, false, false, true, "breaker_open"},
		{"lockout and day", false, true, false, true, "locked_out"},
	} {
		w := smallWorld(func(role, tenant, services, breaker tree) {
			role["sessions_per_minute"], role["concurrent_sessions"] = 4, 2
			role["turn_tokens"] = 1000
			if c.day {
				// The first session may precharge two turns.
				role["user_day_tokens_hard"], role["user_day_tokens_soft"] = 2100, 2000
			}
			if c.breaker {
				// 1000 tokens cost 0.01 dollars, so the reservations of two turns pass.
				breaker["minute_dollars"] = 0.025
			}
		})
		_, first := open(w, 0, "u")
		second, _ := open(w, 1, "u")
		wantCode(t, c.name+": second session", second, "")
		head := program.EmptyHead
		for i, code := 0, ""; i < 5 || (c.breaker && i < 9 && code != "breaker_open"); i++ {
			result, last := turn(w, i%3, first.Text, head, 1000)
			if code = result.Code; result.Outcome == judge.Whole {
				head = last.Head
			}
		}
		if !c.concurrent {
			w.Do(0, node.Request{Kind: node.KindClose, Key: "key-t1", Program: first.Text})
			w.Do(0, node.Request{Kind: node.KindClose, Key: "key-t1", Program: second.Program})
		}
		if c.locked {
			for i := 0; i < 5; i++ {
				open(w, i%3, "u")
			}
		}
		w.Advance(300 * time.Millisecond)
		result, _ := open(w, 2, "u")
		wantCode(t, c.name, result, c.code)
	}
}

// A violation of the minute window locks a user out at every node.
func TestLockout(t *testing.T) {
	w := smallWorld(func(role, tenant, services, breaker tree) { role["concurrent_sessions"] = 100 })
	for i := 0; i < 2; i++ {
		result, _ := open(w, i, "u")
		wantCode(t, "within the minute", result, "")
	}
	result, last := open(w, 2, "u")
	wantCode(t, "third in a minute", result, "sessions_per_minute")
	if last.Verdict.RetryAfter != 600*time.Second {
		t.Errorf("the violation has a retry time of %v, want 600s", last.Verdict.RetryAfter)
	}
	w.Advance(100 * time.Second)
	result, last = open(w, 0, "u")
	wantCode(t, "locked out", result, "locked_out")
	if left := last.Verdict.RetryAfter; left < 495*time.Second || left > 505*time.Second {
		t.Errorf("after 100 s %v remain of 600 s", left)
	}
	result, _ = open(w, 1, "other")
	wantCode(t, "another user", result, "")
	locked := 0
	for n := range w.Params.Partitions {
		w.Operate(w.cores[0], func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
			return m.RunCommand(now, ticket, core.ReadLockedUsers{Partition: n}, time.Second)
		}, func(body any) {
			list, _ := body.(core.Outcome).Answer.(core.LockedUsers)
			for _, u := range list.Users {
				if locked++; u.Remaining <= 0 || u.Remaining > 600*time.Second {
					t.Errorf("%s is locked out for %v", u.Name, u.Remaining)
				}
			}
		})
	}
	w.Advance(time.Second)
	if locked != 1 {
		t.Errorf("operators see %d lockouts", locked)
	}
	// Clocks may be slow by 5 %.
	w.Advance(532 * time.Second)
	result, _ = open(w, 1, "u")
	wantCode(t, "after the lockout", result, "")
}

// A refusal by the hour window names the time at which its oldest session leaves it.
func TestWindows(t *testing.T) {
	w := smallWorld(func(role, tenant, services, breaker tree) {
		role["concurrent_sessions"], role["sessions_per_hour"] = 100, 4
	})
	for i := 0; i < 4; i++ {
		result, _ := open(w, i%3, "u")
		wantCode(t, "within the hour", result, "")
		w.Advance(40 * time.Second)
	}
	result, last := open(w, 0, "u")
	wantCode(t, "fifth in an hour", result, "sessions_per_hour")
	if left := last.Verdict.RetryAfter; left < 3300*time.Second || left > 3500*time.Second {
		t.Errorf("retry time %v", left)
	}
}

// Warnings start at 80 % of a cap; a reached cap stops the next turn.
func TestProgramCaps(t *testing.T) {
	w := smallWorld(nil)
	_, p := open(w, 0, "steps")
	head, warned := program.EmptyHead, 0
	for i := 0; i < 10; i++ {
		result, last := turn(w, i%3, p.Text, head, 10)
		wantCode(t, "a step", result, "")
		head = last.Head
		for _, one := range last.Verdict.Warnings {
			if one.Scope == "steps" {
				warned++
			}
		}
	}
	if warned != 2 {
		t.Errorf("%d warnings of steps before the cap; from 80%% on there are two", warned)
	}
	result, last := turn(w, 1, p.Text, head, 10)
	wantCode(t, "an eleventh step", result, "steps_reached")
	if last.Verdict.RetryAfter != 0 {
		t.Errorf("a reached cap has a retry time of %v; it is permanent", last.Verdict.RetryAfter)
	}

	_, p = open(w, 1, "same")
	for i, arguments := range []string{`{"a":1,"b":[2]}`, ` { "b":[2], "a":1 }`} {
		result, _ := callTool(w, i, p.Text, arguments)
		wantCode(t, "the same call", result, "")
	}
	result, _ = callTool(w, 2, p.Text, `{"b":[2],"a":1}`)
	wantCode(t, "the same call a third time", result, "loop")
	result, _ = turn(w, 2, p.Text, program.EmptyHead, 10)
	wantCode(t, "the turn after a loop", result, "loop")

	_, p = open(w, 1, "type")
	for i := 0; i < 5; i++ {
		result, _ := callTool(w, i%3, p.Text, `{"n":`+string(rune('0'+i))+`}`)
		wantCode(t, "a call", result, "")
	}
	result, _ = callTool(w, 2, p.Text, `{"n":9}`)
	wantCode(t, "a sixth call of one tool", result, "tool_calls_per_type_reached")
	result, _ = turn(w, 0, p.Text, program.EmptyHead, 10)
	wantCode(t, "the turn after", result, "tool_calls_per_type_reached")

	_, p = open(w, 1, "time")
	w.Advance(121 * time.Second)
	result, _ = turn(w, 0, p.Text, program.EmptyHead, 10)
	wantCode(t, "a turn after 120 s", result, "duration_reached")
}

// Helpers charge their root program. A user's daily allowance refuses new sessions only, a tenant's
// refuses turns.
func TestScopes(t *testing.T) {
	w := smallWorld(func(role, tenant, services, breaker tree) {
		role["program_tokens_soft"], role["program_tokens_hard"], role["turn_tokens"] = 50, 100, 60
		role["user_day_tokens_soft"], role["user_day_tokens_hard"] = 60, 90
		role["sessions_per_minute"], role["concurrent_sessions"] = 10, 10
	})
	_, p := open(w, 0, "u")
	heads := map[string]string{"": program.EmptyHead, "helper": program.EmptyHead}
	warned, stopped := false, false
	for i := 0; i < 10 && !stopped; i++ {
		conversation := []string{"", "helper"}[i%2]
		result, last := w.Do(i%3, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: p.Text, Conversation: conversation, Service: "model", PreviousHead: heads[conversation], Prompt: w.newID("say"), MaxTokens: 30})
		stopped = result.Code == "program_tokens_spent"
		heads[conversation] = last.Head
		for _, one := range last.Verdict.Warnings {
			warned = warned || one.Scope == "program_tokens"
		}
	}
	if !warned || !stopped {
		t.Errorf("warned from the soft limit: %v, stopped at the hard one: %v", warned, stopped)
	}
	result, _ := open(w, 1, "u")
	wantCode(t, "a session of a spent user", result, "user_day_tokens_spent")
	result, _ = open(w, 1, "v")
	wantCode(t, "another user's session", result, "")

	w = smallWorld(func(role, tenant, services, breaker tree) { tenant["day_tokens"] = 2500 })
	_, p = open(w, 0, "u")
	head, refused := program.EmptyHead, false
	for i := 0; i < 8 && !refused; i++ {
		result, last := turn(w, 0, p.Text, head, 1000)
		refused = result.Code == "tenant_day_tokens_spent"
		head = last.Head
	}
	if !refused {
		t.Error("a tenant beyond its day was not refused")
	}
}

// A tripped breaker refuses for its recovery window, then admits a few test sessions, and closes
// when they succeed.
func TestBreaker(t *testing.T) {
	w := smallWorld(func(role, tenant, services, breaker tree) {
		breaker["minute_dollars"], breaker["recovery_seconds"], breaker["tests"] = 0.025, 90, 2
		role["sessions_per_minute"], role["concurrent_sessions"] = 50, 50
	})
	_, p := open(w, 0, "u")
	head := program.EmptyHead
	tripped := false
	for i := 0; i < 6 && !tripped; i++ {
		result, last := turn(w, 0, p.Text, head, 1000)
		tripped = result.Code == "breaker_open"
		head = last.Head
	}
	if !tripped {
		t.Fatal("the breaker did not trip")
	}
	w.Advance(400 * time.Millisecond)
	for i := 0; i < 3; i++ {
		result, last := open(w, i, "v")
		wantCode(t, "a session at an open breaker", result, "breaker_open")
		if left := last.Verdict.RetryAfter; left < 80*time.Second || left > 91*time.Second {
			t.Errorf("node %d has a retry time of %v of 90 s", i, left)
		}
		result, _ = turn(w, i, p.Text, head, 10)
		wantCode(t, "a turn at an open breaker", result, "breaker_open")
	}
	w.Advance(95 * time.Second)
	var tests []string
	for i := 0; i < 4; i++ {
		result, last := open(w, i%3, "w")
		if result.Outcome == judge.Whole {
			tests = append(tests, last.Text)
		} else {
			wantCode(t, "beyond the tests", result, "breaker_half_open")
		}
	}
	if len(tests) != 2 {
		t.Fatalf("%d test sessions; 2 are allowed", len(tests))
	}
	result, _ := turn(w, 0, p.Text, head, 10)
	wantCode(t, "an old session while half-open", result, "breaker_half_open")
	for _, id := range tests {
		result, _ := turn(w, 0, id, program.EmptyHead, 10)
		wantCode(t, "a test's turn", result, "")
	}
	w.Advance(500 * time.Millisecond)
	result, _ = open(w, 2, "x")
	wantCode(t, "after the tests", result, "")
}

// Each error doubles the cooldown of a tool, up to an hour.
func TestCooldown(t *testing.T) {
	var r program.Record
	service := configuration.Service{CooldownSeconds: 10}
	clock := time.Duration(0)
	for i, rest := range []time.Duration{10, 20, 40, 80, 160, 320, 640, 1280, 2560, 3600, 3600} {
		r.StartToolCall(clock, "x", "a")
		r.FinishToolCall(clock, "x", false, service, time.Hour)
		if got := r.Tools["x"].CooldownUntil - clock; got != rest*time.Second {
			t.Errorf("error %d: cooldown of %v, want %v s", i+1, got, int(rest))
		}
		clock += rest * time.Second
	}
	r.FinishToolCall(clock, "x", true, service, time.Hour)
	if r.Tools["x"].CooldownUntil != 0 {
		t.Error("a successful call did not end the cooldown")
	}
}
