package program

import (
	"testing"
	"time"

	"saffronfall/rule/configuration"
)

func viewer() configuration.Role {
	return configuration.Role{Steps: 10, SessionSeconds: 120, ToolCalls: 20, ToolCallsPerType: 5, IdenticalToolCalls: 2, HistoryBytes: 1000, TurnTokens: 100, ProgramTokensSoft: 500, ProgramTokensHard: 1000}
}

// TestToolOrder puts a program in the way of every check of a tool call and
// takes them away one by one.
func TestToolOrder(t *testing.T) {
	service := configuration.Service{CallsPerMinute: 3, CallsPerHour: 100, ConcurrentCalls: 1, CooldownSeconds: 10}
	role := viewer()
	r := Record{ToolCalls: 20, Closed: true}
	book := ToolBook{Calls: 5, Running: 1, CoolTill: time.Hour, Same: map[string]int64{"a": 2}}
	book.Minute.Width, book.Hour.Width = time.Minute, time.Hour
	book.Minute.Add(190*time.Second, 3)
	r.Tools = map[string]ToolBook{"x": book}
	set := func(change func(b *ToolBook)) func() {
		return func() {
			b := r.Tools["x"]
			change(&b)
			r.Tools["x"] = b
		}
	}
	clock := 200 * time.Second
	for _, c := range []struct {
		code  string
		clear func()
	}{
		{"program_closed", func() { r.Closed = false }},
		{"duration_reached", func() { r.Opened = 190 * time.Second }},
		{"tool_calls_reached", func() { r.ToolCalls = 19 }},
		{"tool_calls_per_type_reached", set(func(b *ToolBook) { b.Calls = 4 })},
		{"loop", set(func(b *ToolBook) { b.Same["a"] = 1 })},
		{"tool_cooling", set(func(b *ToolBook) { b.CoolTill = 0 })},
		{"tool_rate_reached", func() { service.CallsPerMinute = 4 }},
		{"tool_busy", set(func(b *ToolBook) { b.Running = 0 })},
		{"", func() {}},
	} {
		v := r.Tool(clock, "x", "a", role, service, 0.8)
		if v.Code != c.code {
			t.Fatalf("got %q, want %q", v.Code, c.code)
		}
		switch c.code {
		case "tool_cooling":
			if v.RetryAfter != time.Hour-clock {
				t.Errorf("rests %v", v.RetryAfter)
			}
		case "tool_rate_reached":
			if v.RetryAfter != 50*time.Second {
				t.Errorf("room after %v", v.RetryAfter)
			}
		case "":
			if len(v.Warnings) != 2 {
				t.Errorf("warnings at 80%%: %+v", v.Warnings)
			}
		}
		c.clear()
	}
}

// TestTurnOrder does the same for the caps of a turn.
func TestTurnOrder(t *testing.T) {
	role := viewer()
	r := Record{Closed: true, Steps: 10, ToolCalls: 20, Bytes: 1000, Tools: map[string]ToolBook{"x": {Calls: 5, Same: map[string]int64{"a": 2}}}}
	for _, c := range []struct {
		code  string
		clear func()
	}{
		{"program_closed", func() { r.Closed = false }},
		{"steps_reached", func() { r.Steps = 0 }},
		{"duration_reached", func() { r.Opened = 190 * time.Second }},
		{"tool_calls_reached", func() { r.ToolCalls = 0 }},
		{"tool_calls_per_type_reached", func() { r.Tools["x"] = ToolBook{Same: map[string]int64{"a": 2}} }},
		{"loop", func() { r.Tools = nil }},
		{"history_full", func() { r.Bytes = 0 }},
		{"", func() {}},
	} {
		if v := r.Caps(200*time.Second, role, 0.8); v.Code != c.code {
			t.Fatalf("got %q, want %q", v.Code, c.code)
		}
		c.clear()
	}
}

// TestOneTurnCrosses: whatever helpers run at once, what is made never passes
// the hard limit by more than one turn.
func TestOneTurnCrosses(t *testing.T) {
	role := viewer()
	var r Record
	turns := 0
	for line := 'a'; ; line++ {
		if r.Budget(role).Refused() {
			break
		}
		r.Reserve(string(line), string(line), 300)
		turns++
	}
	if turns != 4 || r.Charged() > role.ProgramTokensHard+300 {
		t.Errorf("%d turns, %d charged", turns, r.Charged())
	}
	r.Unreserve("a")
	r.Finish("b", 10, "say", "got")
	r.Fail("c")
	if r.Spent != 310 || r.Reserved() != 300 || r.Steps != 3 {
		t.Errorf("%+v", r)
	}
	r.Settle()
	if r.Spent != 610 || r.Reserved() != 0 {
		t.Errorf("settled: %+v", r)
	}
}

// TestArguments: the same call is known however it is written, and numbers
// count as they are.
func TestArguments(t *testing.T) {
	one, _ := Arguments([]byte(`{"b":[1,2],"a":{"y":1,"x":"é"}}`))
	for text, same := range map[string]bool{
		` { "a" : {"x":"\u00e9","y":1}, "b":[1,2]}`: true,
		`{"b":[2,1],"a":{"y":1,"x":"é"}}`:           false,
		`{"b":[1,2.0],"a":{"y":1,"x":"é"}}`:         false,
		`{"b":[1,2],"a":{"y":"1","x":"é"}}`:         false,
	} {
		if two, err := Arguments([]byte(text)); err != nil || (one == two) != same {
			t.Errorf("%s: same %v, %v", text, one == two, err)
		}
	}
	if _, err := Arguments([]byte(`{`)); err == nil {
		t.Error("no JSON was taken")
	}
}
