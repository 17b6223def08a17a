package judge

import (
	"fmt"
	"testing"
	"time"
)

func good() *Record {
	s := time.Second
	return &Record{
		Limits: Limits{ProgramTokens: 100, TurnTokens: 10, Rate: map[string]float64{"t": 1}, Burst: map[string]float64{"t": 2}, Keep: time.Hour, Late: 2 * s},
		Shots: []Shot{
			{At: 1 * s, Service: "model", Replica: "m1", Tenant: "t", Program: "p", Mark: "a", Text: "A", Tokens: 5, Most: 10},
			{At: 3 * s, Service: "model", Replica: "m1", Tenant: "t", Program: "p", Mark: "b", Text: "B", Tokens: 5, Most: 10, History: []Turn{{"a", "A"}}},
			{At: 5 * s, Service: "alert", Replica: "a1", Tenant: "t", Mark: "o", Once: "o"},
		},
		Asked: []Asked{
			{At: 1 * s, Ended: 2 * s, Kind: "turn", Tenant: "t", Program: "p", Mark: "a", Outcome: Whole, Text: "A", Tokens: 5},
			{At: 3 * s, Ended: 4 * s, Kind: "turn", Tenant: "t", Program: "p", Mark: "b", Outcome: Whole, Text: "B", Tokens: 5},
			{At: 5 * s, Ended: 6 * s, Kind: "action", Tenant: "t", Mark: "o", Once: "o", Outcome: Whole},
			{At: 7 * s, Ended: 7 * s, Kind: "turn", Tenant: "t", Program: "p", Mark: "c", Outcome: Refused, Code: "come_back", Ran: "no", Status: 503},
		},
		Leaving: []Leaving{{At: 4 * s, Replica: "m1"}},
		Taken:   []Taken{{At: 2 * s, Version: 2}},
		Probes:  []Probe{{At: 3 * s, Node: "n", Version: 1}, {At: 5 * s, Node: "n", Version: 2}},
	}
}

// TestJudge breaks each rule in a record that breaks none, and wants that very
// rule named.
func TestJudge(t *testing.T) {
	if b := good().Judge(); len(b) > 0 {
		t.Fatalf("a good record: %v", b)
	}
	for _, c := range []struct {
		name string
		rule int
		harm func(r *Record)
	}{
		{"more output than budget and a turn", 1, func(r *Record) { r.Limits.ProgramTokens = -1; r.Limits.TurnTokens = 1 }},
		{"a turn longer than asked for", 1, func(r *Record) { r.Shots[0].Most = 4 }},
		{"refused for the breaker and run", 2, func(r *Record) {
			r.Asked[3].Code = "breaker_open"
			r.Shots = append(r.Shots, Shot{At: 9 * time.Second, Tenant: "t", Program: "p", Mark: "c", Most: 10, History: []Turn{{"a", "A"}, {"b", "B"}}})
		}},
		{"once-key twice", 3, func(r *Record) {
			again := r.Shots[2]
			again.At += 9 * time.Second
			r.Shots = append(r.Shots, again)
		}},
		{"refused as not run and run", 4, func(r *Record) {
			r.Shots = append(r.Shots, Shot{At: 9 * time.Second, Tenant: "t", Program: "p", Mark: "c", Most: 10, History: []Turn{{"a", "A"}, {"b", "B"}}})
		}},
		{"once-key refused as not run and run", 4, func(r *Record) { r.Asked[2].Outcome, r.Asked[2].Ran = Refused, "no" }},
		{"gone too early", 5, func(r *Record) { r.Asked[3].Status, r.Asked[3].Code = 410, "gone" }},
		{"another tenant's", 6, func(r *Record) { r.Shots[1].Tenant = "u" }},
		{"a turn missing from a history", 6, func(r *Record) { r.Shots[1].History = nil }},
		{"a foreign answer in a history", 6, func(r *Record) { r.Shots[1].History[0].Got = "X" }},
		{"faster than the quota", 7, func(r *Record) { r.Limits.Rate["t"], r.Limits.Burst["t"] = 0.01, 1 }},
		{"a taken version ignored", 8, func(r *Record) { r.Probes[1].Version = 1 }},
		{"a node slides back", 8, func(r *Record) { r.Probes = append(r.Probes, Probe{At: 6 * time.Second, Node: "n", Version: 1}) }},
		{"a refused description in force", 9, func(r *Record) {
			r.Taken = append(r.Taken, Taken{Version: 7, Refused: true})
			r.Probes = append(r.Probes, Probe{At: 6 * time.Second, Node: "n", Version: 7})
		}},
		{"work for a leaving replica", 10, func(r *Record) { r.Leaving[0].At = 500 * time.Millisecond }},
		{"mixed answers", 11, func(r *Record) { r.Asked[0].Text = "B" }},
		{"whole and never run", 11, func(r *Record) { r.Shots = r.Shots[1:] }},
	} {
		r := good()
		c.harm(r)
		found := false
		for _, b := range r.Judge() {
			found = found || b.Rule == c.rule
		}
		if !found {
			t.Errorf("%s: rule %d was not named: %s", c.name, c.rule, fmt.Sprint(r.Judge()))
		}
	}
}
