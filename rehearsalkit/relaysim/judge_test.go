package relaysim

import (
	"fmt"
	"testing"
	"time"
)

const sec = time.Second

func routes(service string, more ...string) map[string]Route {
	list := map[string]Route{"/chat/": {Services: []string{service}, Stream: true, KeepsHistory: true}, "/tool/": {Services: []string{plainA}}, "/look/": {Services: []string{plainA}, Repeatable: true}}
	for _, prefix := range more {
		list[prefix] = Route{Services: []string{plainA}, Public: true, Repeatable: true}
	}
	return list
}

func validRecord() *Record {
	keys := map[string]string{"k-1a": "t1", "k-2a": "t2"}
	allowed := map[string]float64{"t1": 4}
	return &Record{
		Limits: Limits{Apply: 2 * sec, Contact: 3 * sec, ApplyWithoutStores: 5 * sec, Revert: sec / 4, Drain: 2 * sec, Settlement: sec, Window: 5 * sec, Retention: 20 * sec, Recovery: 12 * sec, FinalStep: 10 * sec},
		Nodes:  []string{"n1", "n2"}, End: 60 * sec,
		Tables: []*Table{
			{Number: 1, ID: "one", Valid: true, Routes: routes(modelA, "/probe-one/"), KeyTenants: keys, MaxPerWindow: allowed, Text: []byte("1"), SentAt: 1, AckedAt: sec, Acked: true},
			{Number: 3, Base: 1, ID: "two", Valid: true, Routes: routes(modelB, "/probe-two/"), KeyTenants: keys, MaxPerWindow: allowed, Text: []byte("3"), SentAt: 30 * sec, AckedAt: 31 * sec, Acked: true},
			{Number: 4, Base: 1, ID: "lost", Valid: true, Routes: routes("model-c", "/probe-lost/"), KeyTenants: keys, MaxPerWindow: allowed, Text: []byte("4"), SentAt: 30 * sec, Refused: true},
		},
		Requests: []*Request{
			{At: 10 * sec, Ended: 11 * sec, Arrived: true, LastStep: 11 * sec, Node: "n1", Incarnation: 1, Kind: "chat", Path: "/chat/x", Attempt: "a", Key: "k-1a", Tenant: "t1", Program: "p", Input: "A\n", Budget: 100, MaxTokens: 60, Outcome: Complete, Tokens: 60, Output: "a:1\na:2\n"},
			{At: 13 * sec, Ended: 14 * sec, Arrived: true, LastStep: 14 * sec, Node: "n2", Incarnation: 1, Kind: "chat", Path: "/chat/x", Attempt: "b", Key: "k-1a", Tenant: "t1", Program: "p", Previous: "a", Input: "B\n", Budget: 100, MaxTokens: 40, Outcome: Complete, Tokens: 40, Output: "b:1\n"},
			{At: 16 * sec, Ended: 16 * sec, Arrived: true, LastStep: 16 * sec, Node: "n1", Incarnation: 1, Kind: "chat", Path: "/chat/x", Attempt: "c", Key: "k-1a", Tenant: "t1", Program: "p", Previous: "b", Input: "C\n", Budget: 100, MaxTokens: 40, Outcome: Refused, Status: 402},
			{At: 17 * sec, Ended: 17 * sec, Arrived: true, LastStep: 17 * sec, Node: "n1", Incarnation: 1, Kind: "tool", Path: "/tool/x", Attempt: "d", Key: "k-1a", Tenant: "t1", Input: "D\n", Outcome: Complete},
			{At: 40 * sec, Ended: 40 * sec, Arrived: true, LastStep: 40 * sec, Node: "n1", Incarnation: 1, Kind: "probe", Path: "/probe-two/x", Attempt: "e", Input: "E\n", Outcome: Complete},
			{At: 41 * sec, Ended: 41 * sec, Arrived: true, LastStep: 41 * sec, Node: "n1", Incarnation: 1, Kind: "probe", Path: "/probe-one/x", Attempt: "f", Input: "F\n", Outcome: Refused, Status: 404},
			{At: 45 * sec, Ended: 45 * sec, Arrived: true, LastStep: 45 * sec, Node: "n1", Incarnation: 1, Kind: "chat", Path: "/chat/x", Attempt: "g", Key: "k-1a", Tenant: "t1", Program: "q", Previous: "a", Input: "G\n", Budget: 100, MaxTokens: 40, Outcome: Refused, Status: 404},
			{At: 52 * sec, Ended: 52 * sec, Arrived: true, LastStep: 52 * sec, Node: "n2", Incarnation: 1, Kind: "look", Path: "/look/x", Attempt: "h", Key: "k-2a", Tenant: "t2", Input: "H\n", Outcome: Complete},
		},
		Arrivals: []Arrival{
			{At: 10 * sec, Sent: 10 * sec, Replica: "r1", Service: modelA, Node: "n1", Incarnation: 1, Attempt: "a", Tenant: "t1"},
			{At: 13 * sec, Sent: 13 * sec, Replica: "r1", Service: modelA, Node: "n2", Incarnation: 1, Attempt: "b", Tenant: "t1"},
			{At: 17 * sec, Sent: 17 * sec, Replica: "r3", Service: plainA, Node: "n1", Incarnation: 1, Attempt: "d", Tenant: "t1"},
			{At: 40 * sec, Sent: 40 * sec, Replica: "r3", Service: plainA, Node: "n1", Incarnation: 1, Attempt: "e"},
			{At: 52 * sec, Sent: 52 * sec, Replica: "r3", Service: plainA, Node: "n2", Incarnation: 1, Attempt: "h", Tenant: "t2"},
		},
		Runs: []Execution{
			{At: 10 * sec, Sent: 10 * sec, Replica: "r1", Service: modelA, Node: "n1", Attempt: "a", Tenant: "t1", Text: "A\n", Output: "a:1\na:2\n", Events: 2, Complete: true},
			{At: 13 * sec, Sent: 13 * sec, Replica: "r1", Service: modelA, Node: "n2", Attempt: "b", Tenant: "t1", Text: "A\na:1\na:2\nB\n", Output: "b:1\n", Events: 1, Complete: true},
			{At: 17 * sec, Sent: 17 * sec, Replica: "r3", Service: plainA, Node: "n1", Attempt: "d", Tenant: "t1", Text: "D\n"},
			{At: 40 * sec, Sent: 40 * sec, Replica: "r3", Service: plainA, Node: "n1", Attempt: "e", Text: "E\n"},
			{At: 52 * sec, Sent: 52 * sec, Replica: "r3", Service: plainA, Node: "n2", Attempt: "h", Tenant: "t2", Text: "H\n"},
		},
		LeaveAcks:  []LeaveAck{{At: 16 * sec, Replica: "r1"}},
		FinalReads: []ReadBack{{At: 59 * sec, Number: 3, Text: []byte("3")}},
		ClosingAt:  37 * sec, RestoredAt: 38 * sec,
	}
}

// Guards against rules that the judge no longer detects.
func TestJudge(t *testing.T) {
	if b := validRecord().Judge(); len(b) > 0 {
		t.Fatalf("valid record: %v", b)
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
		{"a tool call that ran twice", RuleAtMostOnce, func(r *Record) { rerun(r, 2, 18*sec) }},
		{"a stream that ran twice", RuleAtMostOnce, func(r *Record) { rerun(r, 0, 18*sec) }},
		{"refused 402 and run later", RuleRefusedNotRun, func(r *Record) {
			r.Runs = append(r.Runs, Execution{At: 50 * sec, Attempt: "c", Text: "A\na:1\na:2\nB\nb:1\nC\n"})
		}},
		{"refused 503 and run before", RuleRefusedNotRun, func(r *Record) { r.Requests[3].Outcome, r.Requests[3].Status = Refused, 503 }},
		{"refused 429 and run, though it may run again", RuleRefusedNotRun, func(r *Record) { r.Requests[7].Outcome, r.Requests[7].Status = Refused, 429 }},
		{"more tokens than the budget and a turn", RuleBudget, func(r *Record) {
			r.Requests[0].Tokens, r.Requests[1].Tokens, r.Requests[0].Budget, r.Requests[1].Budget, r.Requests[2].Budget = 60, 60, 50, 50, 50
		}},
		{"refused 402 with room left", RuleBudgetRefusal, func(r *Record) { r.Requests[2].MaxTokens, r.Requests[1].Tokens = 30, 10 }},
		{"a stored turn not found", RuleTurnKept, func(r *Record) {
			r.Requests[6].At, r.Requests[6].Ended, r.Requests[6].LastStep = 30*sec, 30*sec, 30*sec
		}},
		{"a history that lacks a turn", RuleHistory, func(r *Record) { r.Runs[1].Text = "B\n" }},
		{"a turn that continues another tenant's", RuleHistory, func(r *Record) { r.Requests[0].Tenant = "t2" }},
		{"a turn that continues none", RuleHistory, func(r *Record) { r.Requests[1].Previous = "none" }},
		{"another body", RuleHistory, func(r *Record) { r.Runs[2].Text = "X\n" }},
		{"an answer that lacks an event", RuleAnswerComplete, func(r *Record) { r.Requests[0].Output = "a:1\n" }},
		{"an answer that ended before the last event", RuleAnswerComplete, func(r *Record) { r.Runs[1].Complete = false }},
		{"an answer to a request that never ran", RuleAnswerComplete, func(r *Record) { r.Runs = r.Runs[:4] }},
		{"more than the rate in a window", RuleRate, func(r *Record) {
			for i := 0; i < 4; i++ {
				rerun(r, 2, 17*sec+time.Duration(i+1)*sec/10)
			}
		}},
		{"a lower limit in force everywhere", RuleRate, func(r *Record) {
			r.Tables[1].MaxPerWindow = map[string]float64{"t1": 1}
			rerun(r, 2, 50*sec)
			rerun(r, 2, 51*sec)
		}},
		{"run and never requested", RuleTableAllows, func(r *Record) { r.Runs = append(r.Runs, Execution{At: sec, Attempt: "nobody"}) }},
		{"run as another tenant", RuleTableAllows, func(r *Record) { r.Arrivals[2].Tenant = "t2" }},
		{"a key refused that every table has", RuleTableAllows, func(r *Record) { chat(r, "i", 20*sec, 401) }},
		{"a route not found that every table has", RuleTableAllows, func(r *Record) { chat(r, "i", 20*sec, 404) }},
		{"run with a key that no table has", RuleTableAllows, func(r *Record) { r.Requests[3].Key = "stolen" }},
		{"sent to a service that only a refused table names", RuleTableAllows, func(r *Record) { r.Arrivals[1].At, r.Arrivals[1].Service = 33*sec, "model-c" }},
		{"a table lost", RuleDurable, func(r *Record) { r.FinalReads[0] = ReadBack{At: 59 * sec, Number: 1, Text: []byte("1")} }},
		{"a table read back that was refused", RuleDurable, func(r *Record) { r.FinalReads[0] = ReadBack{At: 59 * sec, Number: 4, Text: []byte("4")} }},
		{"a table read back with another text", RuleDurable, func(r *Record) { r.FinalReads[0].Text = []byte("x") }},
		{"no table read back", RuleDurable, func(r *Record) { r.FinalReads = nil }},
		{"two tables on one base", RuleTableRace, func(r *Record) { r.Tables[2].Refused, r.Tables[2].Acked, r.Tables[2].AckedAt = false, true, 31*sec }},
		{"an invalid table acknowledged", RuleTableRace, func(r *Record) { r.Tables[1].Valid = false }},
		{"an undisturbed node on an old table", RuleTableLag, func(r *Record) { r.Requests[4].Path, r.Requests[5].Path = "/probe-one/x", "/probe-one/z" }},
		{"an undisturbed node that refuses a new route", RuleTableLag, func(r *Record) {
			r.Requests[4].Outcome, r.Requests[4].Status, r.Arrivals, r.Runs = Refused, 404, r.Arrivals[:3], r.Runs[:3]
			r.Requests = r.Requests[:7]
			r.RestoredAt, r.ClosingAt = 0, 0
		}},
		{"a node that falls back to an older table", RuleNoRollback, func(r *Record) {
			r.Tables[1].AckedAt = 39 * sec
			r.Disruptions = append(r.Disruptions, Disruption{Machine: AllMachines, From: 0, Until: 60 * sec})
			r.Arrivals = append(r.Arrivals, Arrival{At: 42 * sec, Replica: "r9", Service: modelA, Node: "n1", Incarnation: 1, Attempt: "a", Tenant: "t1"})
			r.Requests[0].At = 42 * sec
		}},
		{"a leaving replica still sent to", RuleDraining, func(r *Record) { r.LeaveAcks[0].At = 10 * sec }},
		{"not served after the closing fault", RuleRecovery, func(r *Record) {
			for _, n := range []string{"u", "v", "w", "x"} {
				chat(r, n, 53*sec, 503)
			}
		}},
		{"one kind not served after the closing fault", RuleRecovery, func(r *Record) {
			for i := 0; i < 25; i++ {
				chat(r, fmt.Sprint("u", i), 53*sec, 503)
				chat(r, fmt.Sprint("v", i), 53*sec, 0)
				last := r.Requests[len(r.Requests)-1]
				last.Kind, last.Path, last.Outcome = "look", "/look/x", Complete
				r.Runs = append(r.Runs, Execution{At: 53 * sec, Attempt: last.Attempt, Tenant: "t2", Text: "A\n"})
			}
		}},
		{"a request without a final step", RuleFinalStep, func(r *Record) { r.Requests[3].LastStep = 0 }},
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

func TestDisruptionExemptsTimeBounds(t *testing.T) {
	r := validRecord()
	r.LeaveAcks[0].At = 10 * sec
	r.Disruptions = []Disruption{{Machine: "n2", From: 9 * sec, Until: 11 * sec}}
	if b := r.Judge(); len(b) > 0 {
		t.Errorf("a node disrupted just before: %v", b)
	}
	r.Disruptions = []Disruption{{Machine: "n1", From: 9 * sec, Until: 11 * sec}}
	if b := r.Judge(); len(b) == 0 {
		t.Error("a disruption of another node waived the bound")
	}
}
