package judge

import (
	"fmt"
	"testing"
	"time"
)

func validRecord() *Record {
	s := time.Second
	return &Record{
		Limits: Limits{
			ProgramTokens:    100,
			TurnTokens:       10,
			Rate:             map[string]float64{"t": 1},
			Burst:            map[string]float64{"t": 2},
			Retention:        time.Hour,
			PropagationLimit: 2 * s,
			DayTokens:        map[string]int64{"t": 1000},
			Users:            map[string]UserLimits{"t": {PerMinute: 9, Lockout: 10 * s, Concurrent: 9, Session: time.Minute, DayTokens: 10}},
			MinuteDollars:    1,
			Price:            map[string]float64{"model": 15},
			ClockDrift:       0.02,
		},
		Attempts: []Attempt{
			{At: 1 * s, Service: "model", Replica: "m1", Tenant: "t", Program: "p", RequestID: "a", Text: "A", Tokens: 5, MaxTokens: 10},
			{At: 3 * s, Service: "model", Replica: "m1", Tenant: "t", Program: "p", RequestID: "b", Text: "B", Tokens: 5, MaxTokens: 10, History: []Turn{{"a", "A"}}},
			{At: 5 * s, Service: "alert", Replica: "a1", Tenant: "t", RequestID: "o", OnceKey: "o"},
		},
		Requests: []Request{
			{At: 1 * s, Ended: 2 * s, Kind: "turn", Tenant: "t", Program: "p", ID: "a", Outcome: Whole, Text: "A", Tokens: 5},
			{At: 3 * s, Ended: 4 * s, Kind: "turn", Tenant: "t", Program: "p", ID: "b", Outcome: Whole, Text: "B", Tokens: 5},
			{At: 5 * s, Ended: 6 * s, Kind: "action", Tenant: "t", ID: "o", OnceKey: "o", Outcome: Whole},
			{At: 7 * s, Ended: 7 * s, Kind: "turn", Tenant: "t", Program: "p", ID: "c", Outcome: Refused, Code: "come_back", Ran: "no", Status: 503},
			{At: 0, Ended: s / 10, Kind: "open", Tenant: "t", User: "u", Program: "p", Outcome: Whole, Status: 201},
			{At: 10 * s, Ended: 10 * s, Kind: "open", Tenant: "t", User: "u", Outcome: Refused, Code: "sessions_per_minute", Ran: "no", Status: 429, RetryAfter: 10 * s},
			{At: 15 * s, Ended: 15 * s, Kind: "open", Tenant: "t", User: "u", Outcome: Refused, Code: "locked_out", Ran: "no", Status: 429, RetryAfter: 5 * s},
			{At: 16 * s, Ended: 16 * s, Kind: "open", Tenant: "t", User: "u", Outcome: Refused, Code: "unsure", Ran: "no", Status: 503},
		},
		Leaving:   []Leaving{{At: 4 * s, Replica: "m1"}},
		Decisions: []Decision{{At: 2 * s, Version: 2}},
		Probes:    []Probe{{At: 3 * s, Ended: 3 * s, Node: "n", Version: 1}, {At: 5 * s, Ended: 5 * s, Node: "n", Version: 2, Final: true}},
		Nodes:     []string{"n"},
	}
}

// Each corruption of a valid record must be reported under its rule.
func TestJudge(t *testing.T) {
	if b := validRecord().Judge(); len(b) > 0 {
		t.Fatalf("a valid record has breaches: %v", b)
	}
	for _, c := range []struct {
		name    string
		rule    int
		corrupt func(r *Record)
	}{
		{"more tokens than the budget and one turn", 1, func(r *Record) { r.Limits.ProgramTokens = -1; r.Limits.TurnTokens = 1 }},
		{"a turn above its token limit", 1, func(r *Record) { r.Attempts[0].MaxTokens = 4 }},
		{"refused for the breaker but run", 2, func(r *Record) {
			r.Requests[3].Code = "breaker_open"
			r.Attempts = append(r.Attempts, Attempt{At: 9 * time.Second, Tenant: "t", Program: "p", RequestID: "c", MaxTokens: 10, History: []Turn{{"a", "A"}, {"b", "B"}}})
		}},
		{"once-key run twice", 3, func(r *Record) {
			again := r.Attempts[2]
			again.At += 9 * time.Second
			r.Attempts = append(r.Attempts, again)
		}},
		{"refused as not run but run", 4, func(r *Record) {
			r.Attempts = append(r.Attempts, Attempt{At: 9 * time.Second, Tenant: "t", Program: "p", RequestID: "c", MaxTokens: 10, History: []Turn{{"a", "A"}, {"b", "B"}}})
		}},
		{"once-key refused as not run but run", 4, func(r *Record) { r.Requests[2].Outcome, r.Requests[2].Ran = Refused, "no" }},
		{"reported gone too early", 5, func(r *Record) { r.Requests[3].Status, r.Requests[3].Code = 410, "gone" }},
		{"a request under another tenant", 6, func(r *Record) { r.Attempts[1].Tenant = "u" }},
		{"a turn missing from a history", 6, func(r *Record) { r.Attempts[1].History = nil }},
		{"a foreign answer in a history", 6, func(r *Record) { r.Attempts[1].History[0].Answer = "X" }},
		{"faster than the quota", 7, func(r *Record) { r.Limits.Rate["t"], r.Limits.Burst["t"] = 0.01, 1 }},
		{"an accepted version ignored", 8, func(r *Record) { r.Probes[1].Version = 1 }},
		{"a node returns to an older version", 8, func(r *Record) { r.Probes = append(r.Probes, Probe{At: 6 * time.Second, Node: "n", Version: 1}) }},
		{"a refused configuration in force", 9, func(r *Record) {
			r.Decisions = append(r.Decisions, Decision{Version: 7, Refused: true})
			r.Probes = append(r.Probes, Probe{At: 6 * time.Second, Node: "n", Version: 7})
		}},
		{"work for a leaving replica", 10, func(r *Record) { r.Leaving[0].At = 500 * time.Millisecond }},
		{"a node returns to an older version after a restart", 8, func(r *Record) {
			r.Decisions, r.Nodes = nil, nil
			r.Probes = []Probe{{At: 3 * time.Second, Ended: 3 * time.Second, Node: "n", Version: 2}, {At: 4 * time.Second, Ended: 5 * time.Second, Node: "n", Version: 1}}
		}},
		{"the last accepted version is not in force at the end", 9, func(r *Record) { r.Probes[1].Final = false }},
		{"work for a revoked key", 8, func(r *Record) { r.Decisions[0].At, r.Decisions[0].RevokedTenant = 500*time.Millisecond, "t" }},
		{"a turn twice in a history", 6, func(r *Record) { r.Attempts[1].History = append(r.Attempts[1].History, r.Attempts[1].History[0]) }},
		{"part of a complete turn in a history", 6, func(r *Record) {
			r.Attempts[0].Text, r.Requests[0].Text = "AAA", "AAA"
			r.Attempts[1].History[0].Answer = "A"
		}},
		{"a broken turn shorter than what was relayed", 6, func(r *Record) {
			r.Attempts[0].Text, r.Requests[0].Text, r.Requests[0].Outcome = "ABC", "AB", Broken
			r.Attempts[1].History[0].Answer = "A"
		}},
		{"turns out of order", 6, func(r *Record) {
			r.Attempts = append(r.Attempts, Attempt{At: 8 * time.Second, Tenant: "t", Program: "p", RequestID: "c", MaxTokens: 1, History: []Turn{{"b", "B"}, {"a", "A"}}})
			r.Requests[3].Ran = "maybe"
		}},
		{"a history that does not extend the previous one", 6, func(r *Record) {
			r.Requests[0].Outcome, r.Requests[3].Ran = Broken, "maybe"
			r.Attempts = append(r.Attempts, Attempt{At: 8 * time.Second, Tenant: "t", Program: "p", RequestID: "c", MaxTokens: 1, History: []Turn{{"b", "B"}}})
		}},
		{"a retry at another replica above the quota", 7, func(r *Record) {
			again := r.Attempts[1]
			again.Replica = "m2"
			r.Attempts = append(r.Attempts, again, again, again)
		}},
		{"a tenant's daily limit exceeded", 2, func(r *Record) { r.Limits.DayTokens["t"] = 9 }},
		{"the breaker's limit per minute exceeded", 2, func(r *Record) { r.Limits.MinuteDollars = 0.0001 }},
		{"work long after a trip was reported", 2, func(r *Record) {
			r.Requests[6].Kind, r.Requests[6].Code, r.Requests[6].Ended, r.Requests[6].At, r.Requests[6].RetryAfter = "turn", "breaker_open", 0, 0, time.Minute
		}},
		{"work after the program's tokens were reported spent", 2, func(r *Record) {
			r.Requests[3].Code, r.Requests[3].ID, r.Requests[3].At, r.Requests[3].Ended = "program_tokens_spent", "z", 2*time.Second, 2*time.Second
		}},
		{"a session admitted during a lockout", 12, func(r *Record) {
			r.Requests[7].Outcome, r.Requests[7].Code, r.Requests[7].Program = Whole, "", "q"
			r.Limits.Users["t"] = UserLimits{PerMinute: 9, Lockout: 10 * time.Second, Concurrent: 9, Session: time.Minute, DayTokens: 100}
		}},
		{"a refusal by a later check during a lockout", 12, func(r *Record) { r.Requests[7].Code = "concurrent_sessions" }},
		{"a lockout that ends before its announced end", 12, func(r *Record) { r.Requests[6].RetryAfter = time.Second }},
		{"a lockout longer than the limit", 12, func(r *Record) { r.Requests[6].RetryAfter = 11 * time.Second }},
		{"more sessions in a minute than allowed", 12, func(r *Record) {
			r.Requests[5] = r.Requests[4]
			r.Requests[5].At = time.Second
			r.Limits.Users["t"] = UserLimits{PerMinute: 1, Concurrent: 9, DayTokens: 100}
		}},
		{"more concurrent sessions than allowed", 12, func(r *Record) {
			r.Requests[5] = r.Requests[4]
			r.Requests[5].At, r.Requests[5].Ended = time.Second, time.Second
			r.Limits.Users["t"] = UserLimits{PerMinute: 9, Concurrent: 1, Session: time.Minute, DayTokens: 100}
		}},
		{"a session after the daily tokens were spent", 12, func(r *Record) {
			r.Requests[5] = r.Requests[4]
			r.Requests[5].At, r.Requests[5].Ended = 9*time.Second, 9*time.Second
		}},
		{"an answer of another request", 11, func(r *Record) { r.Requests[0].Text = "B" }},
		{"answered completely but never run", 11, func(r *Record) { r.Attempts = r.Attempts[1:] }},
	} {
		r := validRecord()
		c.corrupt(r)
		found := false
		for _, b := range r.Judge() {
			found = found || b.Rule == c.rule
		}
		if !found {
			t.Errorf("%s: rule %d was not reported: %s", c.name, c.rule, fmt.Sprint(r.Judge()))
		}
	}
}

// TestRunOfAnUnfinishedRequestIsNoBreach guards against blaming earlier refusals for a request that had no answer yet at the end.
func TestRunOfAnUnfinishedRequestIsNoBreach(t *testing.T) {
	r := validRecord()
	r.Requests[2].Outcome, r.Requests[2].Ran = Refused, "no"
	if len(r.Judge()) == 0 {
		t.Fatal("refused as not run, but run: no breach")
	}
	r.InFlight = map[string]int{r.Requests[2].OnceKey: 1}
	if b := r.Judge(); len(b) != 0 {
		t.Errorf("another request with the key was under way: %v", b)
	}
}
