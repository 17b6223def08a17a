package relaysim

import (
	"fmt"
	"testing"
	"time"
)

const s = time.Second

func routes(service string, more ...string) map[string]Route {
	list := map[string]Route{"/chat/": {Services: []string{service}, Stream: true, KeepsHistory: true}, "/tool/": {Services: []string{plainA}}, "/look/": {Services: []string{plainA}, Repeatable: true}}
	for _, prefix := range more {
		list[prefix] = Route{Services: []string{plainA}, Public: true, Repeatable: true}
	}
	return list
}

// validRecord is a record without breaches.
func validRecord() *Record {
	keys := map[string]string{"k-1a": "t1", "k-2a": "t2"}
	allowed := map[string]float64{"t1": 4}
	return &Record{
		Limits: Limits{Apply: 2 * s, Contact: 3 * s, ApplyWithoutStores: 5 * s, Revert: s / 4, Drain: 2 * s, Settlement: s, Window: 5 * s, Retention: 20 * s, Recovery: 12 * s, FinalStep: 10 * s},
		Nodes:  []string{"n1", "n2"}, End: 60 * s,
		Tables: []*Table{
			{Number: 1, ID: "one", Valid: true, Routes: routes(modelA, "/probe-one/"), KeyTenants: keys, MaxPerWindow: allowed, Text: []byte("1"), SentAt: 1, AckedAt: s, Acked: true},
			{Number: 3, Base: 1, ID: "two", Valid: true, Routes: routes(modelB, "/probe-two/"), KeyTenants: keys, MaxPerWindow: allowed, Text: []byte("3"), SentAt: 30 * s, AckedAt: 31 * s, Acked: true},
			{Number: 4, Base: 1, ID: "lost", Valid: true, Routes: routes("model-c", "/probe-lost/"), KeyTenants: keys, MaxPerWindow: allowed, Text: []byte("4"), SentAt: 30 * s, Refused: true},
		},
		Requests: []*Request{
			{At: 10 * s, Ended: 11 * s, Arrived: true, LastStep: 11 * s, Node: "n1", Incarnation: 1, Kind: "chat", Path: "/chat/x", Attempt: "a", Key: "k-1a", Tenant: "t1", Program: "p", Input: "A\n", Budget: 100, MaxTokens: 60, Outcome: Complete, Tokens: 60, Output: "a:1\na:2\n"},
			{At: 13 * s, Ended: 14 * s, Arrived: true, LastStep: 14 * s, Node: "n2", Incarnation: 1, Kind: "chat", Path: "/chat/x", Attempt: "b", Key: "k-1a", Tenant: "t1", Program: "p", Previous: "a", Input: "B\n", Budget: 100, MaxTokens: 40, Outcome: Complete, Tokens: 40, Output: "b:1\n"},
			{At: 16 * s, Ended: 16 * s, Arrived: true, LastStep: 16 * s, Node: "n1", Incarnation: 1, Kind: "chat", Path: "/chat/x", Attempt: "c", Key: "k-1a", Tenant: "t1", Program: "p", Previous: "b", Input: "C\n", Budget: 100, MaxTokens: 40, Outcome: Refused, Status: 402},
			{At: 17 * s, Ended: 17 * s, Arrived: true, LastStep: 17 * s, Node: "n1", Incarnation: 1, Kind: "tool", Path: "/tool/x", Attempt: "d", Key: "k-1a", Tenant: "t1", Input: "D\n", Outcome: Complete},
			{At: 40 * s, Ended: 40 * s, Arrived: true, LastStep: 40 * s, Node: "n1", Incarnation: 1, Kind: "probe", Path: "/probe-two/x", Attempt: "e", Input: "E\n", Outcome: Complete},
			{At: 41 * s, Ended: 41 * s, Arrived: true, LastStep: 41 * s, Node: "n1", Incarnation: 1, Kind: "probe", Path: "/probe-one/x", Attempt: "f", Input: "F\n", Outcome: Refused, Status: 404},
			{At: 45 * s, Ended: 45 * s, Arrived: true, LastStep: 45 * s, Node: "n1", Incarnation: 1, Kind: "chat", Path: "/chat/x", Attempt: "g", Key: "k-1a", Tenant: "t1", Program: "q", Previous: "a", Input: "G\n", Budget: 100, MaxTokens: 40, Outcome: Refused, Status: 404},
			{At: 52 * s, Ended: 52 * s, Arrived: true, LastStep: 52 * s, Node: "n2", Incarnation: 1, Kind: "look", Path: "/look/x", Attempt: "h", Key: "k-2a", Tenant: "t2", Input: "H\n", Outcome: Complete},
		},
		Arrivals: []Arrival{
			{At: 10 * s, Sent: 10 * s, Replica: "r1", Service: modelA, Node: "n1", Incarnation: 1, Attempt: "a", Tenant: "t1"},
			{At: 13 * s, Sent: 13 * s, Replica: "r1", Service: modelA, Node: "n2", Incarnation: 1, Attempt: "b", Tenant: "t1"},
			{At: 17 * s, Sent: 17 * s, Replica: "r3", Service: plainA, Node: "n1", Incarnation: 1, Attempt: "d", Tenant: "t1"},
			{At: 40 * s, Sent: 40 * s, Replica: "r3", Service: plainA, Node: "n1", Incarnation: 1, Attempt: "e"},
			{At: 52 * s, Sent: 52 * s, Replica: "r3", Service: plainA, Node: "n2", Incarnation: 1, Attempt: "h", Tenant: "t2"},
		},
		Runs: []Execution{
			{At: 10 * s, Sent: 10 * s, Replica: "r1", Service: modelA, Node: "n1", Attempt: "a", Tenant: "t1", Text: "A\n", Output: "a:1\na:2\n", Events: 2, Complete: true},
			{At: 13 * s, Sent: 13 * s, Replica: "r1", Service: modelA, Node: "n2", Attempt: "b", Tenant: "t1", Text: "A\na:1\na:2\nB\n", Output: "b:1\n", Events: 1, Complete: true},
			{At: 17 * s, Sent: 17 * s, Replica: "r3", Service: plainA, Node: "n1", Attempt: "d", Tenant: "t1", Text: "D\n"},
			{At: 40 * s, Sent: 40 * s, Replica: "r3", Service: plainA, Node: "n1", Attempt: "e", Text: "E\n"},
			{At: 52 * s, Sent: 52 * s, Replica: "r3", Service: plainA, Node: "n2", Attempt: "h", Tenant: "t2", Text: "H\n"},
		},
		LeaveAcks:  []LeaveAck{{At: 16 * s, Replica: "r1"}},
		FinalReads: []ReadBack{{At: 59 * s, Number: 3, Text: []byte("3")}},
		ClosingAt:  37 * s, RestoredAt: 38 * s,
	}
}

// TestJudge breaks each rule in a valid record and checks that the judge reports that
// rule.
func TestJudge(t *testing.T) {
	if b := validRecord().Judge(); len(b) > 0 {
		t.Fatalf("a good record: %v", b)
	}
	rerun := func(r *Record, i int, at time.Duration) {
		w := r.Runs[i]
		w.At = at
		r.Runs = append(r.Runs, w)
	}
	chat := func(r *Record, attempt string, at time.Duration, status int) {
		r.Requests = append(r.Requests, &Request{At: at, Ended: at, Arrived: true, LastStep: at, Node: "n2", Incarnation: 1, Kind: "chat", Path: "/chat/x", Attempt: attempt, Key: "k-1a", Tenant: "t1", Program: "z", Input: "A\n", Budget: 100, MaxTokens: 60, Outcome: Refused, Status: status})
	}
	for _, c := range []struct {
		name, rule string
		inject     func(r *Record)
	}{
		{"a tool call that ran twice", RuleAtMostOnce, func(r *Record) { rerun(r, 2, 18*s) }},
		{"a stream that ran twice", RuleAtMostOnce, func(r *Record) { rerun(r, 0, 18*s) }},
		{"refused 402 and run later", RuleRefusedNotRun, func(r *Record) {
			r.Runs = append(r.Runs, Execution{At: 50 * s, Attempt: "c", Text: "A\na:1\na:2\nB\nb:1\nC\n"})
		}},
		{"refused 503 and run before", RuleRefusedNotRun, func(r *Record) { r.Requests[3].Outcome, r.Requests[3].Status = Refused, 503 }},
		{"refused 429 and run, though it may run again", RuleRefusedNotRun, func(r *Record) { r.Requests[7].Outcome, r.Requests[7].Status = Refused, 429 }},
		{"more tokens than the budget and a turn", RuleBudget, func(r *Record) {
			r.Requests[0].Tokens, r.Requests[1].Tokens, r.Requests[0].Budget, r.Requests[1].Budget, r.Requests[2].Budget = 60, 60, 50, 50, 50
		}},
		{"refused 402 with room left", RuleBudgetRefusal, func(r *Record) { r.Requests[2].MaxTokens, r.Requests[1].Tokens = 30, 10 }},
		{"a kept turn not found", RuleTurnKept, func(r *Record) { r.Requests[6].At, r.Requests[6].Ended, r.Requests[6].LastStep = 30*s, 30*s, 30*s }},
		{"a chain that lacks a turn", RuleHistory, func(r *Record) { r.Runs[1].Text = "B\n" }},
		{"a turn that goes on from another tenant's", RuleHistory, func(r *Record) { r.Requests[0].Tenant = "t2" }},
		{"a turn that goes on from none", RuleHistory, func(r *Record) { r.Requests[1].Previous = "none" }},
		{"another body", RuleHistory, func(r *Record) { r.Runs[2].Text = "X\n" }},
		{"an answer that lacks an event", RuleAnswerComplete, func(r *Record) { r.Requests[0].Output = "a:1\n" }},
		{"an answer that ended before the last event", RuleAnswerComplete, func(r *Record) { r.Runs[1].Complete = false }},
		{"an answer to what never ran", RuleAnswerComplete, func(r *Record) { r.Runs = r.Runs[:4] }},
		{"more than the rate in a window", RuleRate, func(r *Record) {
			for i := 0; i < 4; i++ {
				rerun(r, 2, 17*s+time.Duration(i+1)*s/10)
			}
		}},
		{"a lower limit that binds everywhere by now", RuleRate, func(r *Record) {
			r.Tables[1].MaxPerWindow = map[string]float64{"t1": 1}
			rerun(r, 2, 50*s)
			rerun(r, 2, 51*s)
		}},
		{"run and never asked", RuleTableAllows, func(r *Record) { r.Runs = append(r.Runs, Execution{At: s, Attempt: "nobody"}) }},
		{"run as another tenant", RuleTableAllows, func(r *Record) { r.Arrivals[2].Tenant = "t2" }},
		{"a key refused that every table has", RuleTableAllows, func(r *Record) { chat(r, "i", 20*s, 401) }},
		{"a route not found that every table has", RuleTableAllows, func(r *Record) { chat(r, "i", 20*s, 404) }},
		{"run with a key that no table has", RuleTableAllows, func(r *Record) { r.Requests[3].Key = "stolen" }},
		{"sent where only a refused table says", RuleTableAllows, func(r *Record) { r.Arrivals[1].At, r.Arrivals[1].Service = 33*s, "model-c" }},
		{"a table lost", RuleDurable, func(r *Record) { r.FinalReads[0] = ReadBack{At: 59 * s, Number: 1, Text: []byte("1")} }},
		{"a table read back that was refused", RuleDurable, func(r *Record) { r.FinalReads[0] = ReadBack{At: 59 * s, Number: 4, Text: []byte("4")} }},
		{"a table read back otherwise than it was sent", RuleDurable, func(r *Record) { r.FinalReads[0].Text = []byte("x") }},
		{"no table read back", RuleDurable, func(r *Record) { r.FinalReads = nil }},
		{"two tables on one base", RuleTableRace, func(r *Record) { r.Tables[2].Refused, r.Tables[2].Acked, r.Tables[2].AckedAt = false, true, 31*s }},
		{"an invalid table acknowledged", RuleTableRace, func(r *Record) { r.Tables[1].Valid = false }},
		{"a calm node on an old table", RuleTableLag, func(r *Record) { r.Requests[4].Path, r.Requests[5].Path = "/probe-one/x", "/probe-one/z" }},
		{"a calm node that refuses what is new", RuleTableLag, func(r *Record) {
			r.Requests[4].Outcome, r.Requests[4].Status, r.Arrivals, r.Runs = Refused, 404, r.Arrivals[:3], r.Runs[:3]
			r.Requests = r.Requests[:7]
			r.RestoredAt, r.ClosingAt = 0, 0
		}},
		{"a node that goes back", RuleNoRollback, func(r *Record) {
			r.Tables[1].AckedAt = 39 * s
			r.Disruptions = append(r.Disruptions, Disruption{Who: AllMachines, From: 0, Until: 60 * s})
			r.Arrivals = append(r.Arrivals, Arrival{At: 42 * s, Replica: "r9", Service: modelA, Node: "n1", Incarnation: 1, Attempt: "a", Tenant: "t1"})
			r.Requests[0].At = 42 * s
		}},
		{"a leaving replica still sent to", RuleDraining, func(r *Record) { r.LeaveAcks[0].At = 10 * s }},
		{"not served after the closing fault", RuleRecovery, func(r *Record) {
			for _, n := range []string{"u", "v", "w", "x"} {
				chat(r, n, 53*s, 503)
			}
		}},
		{"one kind not served after the closing fault", RuleRecovery, func(r *Record) {
			for i := 0; i < 25; i++ {
				chat(r, fmt.Sprint("u", i), 53*s, 503)
				chat(r, fmt.Sprint("v", i), 53*s, 0)
				last := r.Requests[len(r.Requests)-1]
				last.Kind, last.Path, last.Outcome = "look", "/look/x", Complete
				r.Runs = append(r.Runs, Execution{At: 53 * s, Attempt: last.Attempt, Tenant: "t2", Text: "A\n"})
			}
		}},
		{"a request without a last step", RuleFinalStep, func(r *Record) { r.Requests[3].LastStep = 0 }},
	} {
		r := validRecord()
		c.inject(r)
		found := false
		breaches := r.Judge()
		for _, b := range breaches {
			found = found || b.Rule == c.rule
		}
		if !found {
			t.Errorf("%s: no breach of %q, only %v", c.name, c.rule, breaches)
		}
	}
}

// TestDisruptionExemptsTimeBounds checks that time bounds are waived only for disrupted
// nodes.
func TestDisruptionExemptsTimeBounds(t *testing.T) {
	r := validRecord()
	r.LeaveAcks[0].At = 10 * s
	r.Disruptions = []Disruption{{Who: "n2", From: 9 * s, Until: 11 * s}}
	if b := r.Judge(); len(b) > 0 {
		t.Errorf("a node that was just harmed: %v", b)
	}
	r.Disruptions = []Disruption{{Who: "n1", From: 9 * s, Until: 11 * s}}
	if b := r.Judge(); len(b) == 0 {
		t.Error("another node's trouble excuses nothing")
	}
}
