package program

import (
	"testing"
	"time"

	"saffronfall/rule/configuration"
)

func viewer() configuration.Role {
	return configuration.Role{
		Steps:              10,
		SessionSeconds:     120,
		ToolCalls:          20,
		ToolCallsPerType:   5,
		IdenticalToolCalls: 2,
		HistoryBytes:       1000,
		TurnTokens:         100,
		ProgramTokensSoft:  500,
		ProgramTokensHard:  1000,
	}
}

// Guards against another order of checks: the violations are cleared one by one.
func TestToolCheckOrder(t *testing.T) {
	service := configuration.Service{CallsPerMinute: 3, CallsPerHour: 100, ConcurrentCalls: 1, CooldownSeconds: 10}
	role := viewer()
	r := Record{ToolCalls: 20, Closed: true}
	usage := ToolUsage{Calls: 5, Running: 1, CooldownUntil: time.Hour, Identical: map[string]int64{"a": 2}}
	usage.Minute.Width, usage.Hour.Width = time.Minute, time.Hour
	usage.Minute.Add(190*time.Second, 3)
	r.Tools = map[string]ToolUsage{"x": usage}
	set := func(change func(u *ToolUsage)) func() {
		return func() {
			u := r.Tools["x"]
			change(&u)
			r.Tools["x"] = u
		}
	}
	clock := 200 * time.Second
	for _, c := range []struct {
		code  string
		clear func()
	}{
		{"program_closed", func() { r.Closed = false }},
		{"duration_reached", func() { r.OpenedAt = 190 * time.Second }},
		{"tool_calls_reached", func() { r.ToolCalls = 19 }},
		{"tool_calls_per_type_reached", set(func(u *ToolUsage) { u.Calls = 4 })},
		{"loop", set(func(u *ToolUsage) { u.Identical["a"] = 1 })},
		{"tool_cooling", set(func(u *ToolUsage) { u.CooldownUntil = 0 })},
		{"tool_rate_reached", func() { service.CallsPerMinute = 4 }},
		{"tool_busy", set(func(u *ToolUsage) { u.Running = 0 })},
		{"", func() {}},
	} {
		v := r.CheckToolCall(clock, "x", "a", role, service, 0.8)
		if v.Code != c.code {
			t.Fatalf("got %q, want %q", v.Code, c.code)
		}
		switch c.code {
		case "tool_cooling":
			if v.RetryAfter != time.Hour-clock {
				t.Errorf("retry after %v, want the rest of the cooldown", v.RetryAfter)
			}
		case "tool_rate_reached":
			if v.RetryAfter != 50*time.Second {
				t.Errorf("retry after %v, want 50s", v.RetryAfter)
			}
		case "":
			if len(v.Warnings) != 2 {
				t.Errorf("warnings at 80%%: %+v, want 2", v.Warnings)
			}
		}
		c.clear()
	}
}

// Guards against another order of checks: the violations are cleared one by one.
func TestTurnLimitOrder(t *testing.T) {
	role := viewer()
	r := Record{Closed: true, Steps: 10, ToolCalls: 20, Bytes: 1000, Tools: map[string]ToolUsage{"x": {Calls: 5, Identical: map[string]int64{"a": 2}}}}
	for _, c := range []struct {
		code  string
		clear func()
	}{
		{"program_closed", func() { r.Closed = false }},
		{"steps_reached", func() { r.Steps = 0 }},
		{"duration_reached", func() { r.OpenedAt = 190 * time.Second }},
		{"tool_calls_reached", func() { r.ToolCalls = 0 }},
		{"tool_calls_per_type_reached", func() { r.Tools["x"] = ToolUsage{Identical: map[string]int64{"a": 2}} }},
		{"loop", func() { r.Tools = nil }},
		{"history_full", func() { r.Bytes = 0 }},
		{"", func() {}},
	} {
		if v := r.CheckTurnLimits(200*time.Second, role, 0.8); v.Code != c.code {
			t.Fatalf("got %q, want %q", v.Code, c.code)
		}
		c.clear()
	}
}

// Guards against concurrent turns that exceed the hard limit by more than one turn.
func TestBudgetExceededByOneTurnAtMost(t *testing.T) {
	role := viewer()
	var r Record
	turns := 0
	for id := 'a'; ; id++ {
		if r.CheckTokenBudget(role).Refused() {
			break
		}
		r.ReserveTurn(string(id), string(id), 300)
		turns++
	}
	if turns != 4 || r.Charged() > role.ProgramTokensHard+300 {
		t.Errorf("%d turns, %d charged", turns, r.Charged())
	}
	r.CancelTurn("a")
	r.FinishTurn("b", 10, "prompt", "response")
	r.FailTurn("c")
	if r.Spent != 310 || r.Reserved() != 300 || r.Steps != 3 {
		t.Errorf("%+v", r)
	}
	r.ChargeRunning()
	if r.Spent != 610 || r.Reserved() != 0 {
		t.Errorf("after ChargeRunning: %+v", r)
	}
}

// Guards against digests that depend on the formatting of JSON or round numbers.
func TestArgumentsDigest(t *testing.T) {
	one, _ := ArgumentsDigest([]byte(`{"b":[1,2],"a":{"y":1,"x":"é"}}`))
	for text, same := range map[string]bool{
		` { "a" : {"x":"\u00e9","y":1}, "b":[1,2]}`: true,
		`{"b":[2,1],"a":{"y":1,"x":"é"}}`:           false,
		`{"b":[1,2.0],"a":{"y":1,"x":"é"}}`:         false,
		`{"b":[1,2],"a":{"y":"1","x":"é"}}`:         false,
	} {
		if two, err := ArgumentsDigest([]byte(text)); err != nil || (one == two) != same {
			t.Errorf("%s: same %v, %v", text, one == two, err)
		}
	}
	if _, err := ArgumentsDigest([]byte(`{`)); err == nil {
		t.Error("incomplete JSON was accepted")
	}
}
