package relaysim

import (
	"fmt"
	"testing"
	"time"
)

const s = time.Second

func routes(service string, more ...string) map[string]Route {
	list := map[string]Route{"/chat/": {Services: []string{service}, Stream: true, Kept: true}, "/tool/": {Services: []string{plainA}}, "/look/": {Services: []string{plainA}, Repeats: true}}
	for _, prefix := range more {
		list[prefix] = Route{Services: []string{plainA}, Open: true, Repeats: true}
	}
	return list
}

// good is a record in which no rule is broken.
func good() *Record {
	keys := map[string]string{"k-1a": "t1", "k-2a": "t2"}
	allowed := map[string]float64{"t1": 4}
	return &Record{
		Limits: Limits{Apply: 2 * s, Contact: 3 * s, Outer: 5 * s, Revert: s / 4, Drain: 2 * s, Settling: s, Window: 5 * s, Keep: 20 * s, Recovery: 12 * s, Longest: 10 * s},
		Nodes:  []string{"n1", "n2"}, End: 60 * s,
		Tables: []*Table{
			{Number: 1, Mark: "one", Valid: true, Routes: routes(modelA, "/probe-one/"), Holders: keys, Allowed: allowed, Text: []byte("1"), Sent: 1, Acked: s, IsAcked: true},
			{Number: 3, Base: 1, Mark: "two", Valid: true, Routes: routes(modelB, "/probe-two/"), Holders: keys, Allowed: allowed, Text: []byte("3"), Sent: 30 * s, Acked: 31 * s, IsAcked: true},
			{Number: 4, Base: 1, Mark: "lost", Valid: true, Routes: routes("model-c", "/probe-lost/"), Holders: keys, Allowed: allowed, Text: []byte("4"), Sent: 30 * s, Refused: true},
		},
		Requests: []*Request{
			{At: 10 * s, Ended: 11 * s, Arrived: true, LastStep: 11 * s, Node: "n1", Life: 1, Kind: "chat", Path: "/chat/x", Attempt: "a", Key: "k-1a", Tenant: "t1", Program: "p", Input: "A\n", Budget: 100, Most: 60, Outcome: Whole, Tokens: 60, Output: "a:1\na:2\n"},
			{At: 13 * s, Ended: 14 * s, Arrived: true, LastStep: 14 * s, Node: "n2", Life: 1, Kind: "chat", Path: "/chat/x", Attempt: "b", Key: "k-1a", Tenant: "t1", Program: "p", Previous: "a", Input: "B\n", Budget: 100, Most: 40, Outcome: Whole, Tokens: 40, Output: "b:1\n"},
			{At: 16 * s, Ended: 16 * s, Arrived: true, LastStep: 16 * s, Node: "n1", Life: 1, Kind: "chat", Path: "/chat/x", Attempt: "c", Key: "k-1a", Tenant: "t1", Program: "p", Previous: "b", Input: "C\n", Budget: 100, Most: 40, Outcome: Refused, Status: 402},
			{At: 17 * s, Ended: 17 * s, Arrived: true, LastStep: 17 * s, Node: "n1", Life: 1, Kind: "tool", Path: "/tool/x", Attempt: "d", Key: "k-1a", Tenant: "t1", Input: "D\n", Outcome: Whole},
			{At: 40 * s, Ended: 40 * s, Arrived: true, LastStep: 40 * s, Node: "n1", Life: 1, Kind: "probe", Path: "/probe-two/x", Attempt: "e", Input: "E\n", Outcome: Whole},
			{At: 41 * s, Ended: 41 * s, Arrived: true, LastStep: 41 * s, Node: "n1", Life: 1, Kind: "probe", Path: "/probe-one/x", Attempt: "f", Input: "F\n", Outcome: Refused, Status: 404},
			{At: 45 * s, Ended: 45 * s, Arrived: true, LastStep: 45 * s, Node: "n1", Life: 1, Kind: "chat", Path: "/chat/x", Attempt: "g", Key: "k-1a", Tenant: "t1", Program: "q", Previous: "a", Input: "G\n", Budget: 100, Most: 40, Outcome: Refused, Status: 404},
			{At: 52 * s, Ended: 52 * s, Arrived: true, LastStep: 52 * s, Node: "n2", Life: 1, Kind: "look", Path: "/look/x", Attempt: "h", Key: "k-2a", Tenant: "t2", Input: "H\n", Outcome: Whole},
		},
		Arrivals: []Arrival{
			{At: 10 * s, Sent: 10 * s, Replica: "r1", Service: modelA, Node: "n1", Life: 1, Attempt: "a", Tenant: "t1"},
			{At: 13 * s, Sent: 13 * s, Replica: "r1", Service: modelA, Node: "n2", Life: 1, Attempt: "b", Tenant: "t1"},
			{At: 17 * s, Sent: 17 * s, Replica: "r3", Service: plainA, Node: "n1", Life: 1, Attempt: "d", Tenant: "t1"},
			{At: 40 * s, Sent: 40 * s, Replica: "r3", Service: plainA, Node: "n1", Life: 1, Attempt: "e"},
			{At: 52 * s, Sent: 52 * s, Replica: "r3", Service: plainA, Node: "n2", Life: 1, Attempt: "h", Tenant: "t2"},
		},
		Runs: []Work{
			{At: 10 * s, Sent: 10 * s, Replica: "r1", Service: modelA, Node: "n1", Attempt: "a", Tenant: "t1", Text: "A\n", Output: "a:1\na:2\n", Events: 2, Whole: true},
			{At: 13 * s, Sent: 13 * s, Replica: "r1", Service: modelA, Node: "n2", Attempt: "b", Tenant: "t1", Text: "A\na:1\na:2\nB\n", Output: "b:1\n", Events: 1, Whole: true},
			{At: 17 * s, Sent: 17 * s, Replica: "r3", Service: plainA, Node: "n1", Attempt: "d", Tenant: "t1", Text: "D\n"},
			{At: 40 * s, Sent: 40 * s, Replica: "r3", Service: plainA, Node: "n1", Attempt: "e", Text: "E\n"},
			{At: 52 * s, Sent: 52 * s, Replica: "r3", Service: plainA, Node: "n2", Attempt: "h", Tenant: "t2", Text: "H\n"},
		},
		Words:   []Word{{At: 16 * s, Replica: "r1"}},
		Reads:   []ReadBack{{At: 59 * s, Number: 3, Text: []byte("3")}},
		Closing: 37 * s, Back: 38 * s,
	}
}

// TestJudge breaks each rule in a record that breaks none, and wants that very
// rule named.
func TestJudge(t *testing.T) {
	if b := good().Judge(); len(b) > 0 {
		t.Fatalf("a good record: %v", b)
	}
	again := func(r *Record, i int, at time.Duration) {
		w := r.Runs[i]
		w.At = at
		r.Runs = append(r.Runs, w)
	}
	chat := func(r *Record, attempt string, at time.Duration, status int) {
		r.Requests = append(r.Requests, &Request{At: at, Ended: at, Arrived: true, LastStep: at, Node: "n2", Life: 1, Kind: "chat", Path: "/chat/x", Attempt: attempt, Key: "k-1a", Tenant: "t1", Program: "z", Input: "A\n", Budget: 100, Most: 60, Outcome: Refused, Status: status})
	}
	for _, c := range []struct {
		name, rule string
		harm       func(r *Record)
	}{
		{"a tool call that ran twice", RuleTwice, func(r *Record) { again(r, 2, 18*s) }},
		{"a stream that ran twice", RuleTwice, func(r *Record) { again(r, 0, 18*s) }},
		{"refused 402 and run later", RulePromised, func(r *Record) {
			r.Runs = append(r.Runs, Work{At: 50 * s, Attempt: "c", Text: "A\na:1\na:2\nB\nb:1\nC\n"})
		}},
		{"refused 503 and run before", RulePromised, func(r *Record) { r.Requests[3].Outcome, r.Requests[3].Status = Refused, 503 }},
		{"refused 429 and run, though it may run again", RulePromised, func(r *Record) { r.Requests[7].Outcome, r.Requests[7].Status = Refused, 429 }},
		{"more tokens than the budget and a turn", RuleBudget, func(r *Record) {
			r.Requests[0].Tokens, r.Requests[1].Tokens, r.Requests[0].Budget, r.Requests[1].Budget, r.Requests[2].Budget = 60, 60, 50, 50, 50
		}},
		{"refused 402 with room left", RuleSpent, func(r *Record) { r.Requests[2].Most, r.Requests[1].Tokens = 30, 10 }},
		{"a kept turn not found", RuleKept, func(r *Record) { r.Requests[6].At, r.Requests[6].Ended, r.Requests[6].LastStep = 30*s, 30*s, 30*s }},
		{"a chain that lacks a turn", RuleChain, func(r *Record) { r.Runs[1].Text = "B\n" }},
		{"a turn that goes on from another tenant's", RuleChain, func(r *Record) { r.Requests[0].Tenant = "t2" }},
		{"a turn that goes on from none", RuleChain, func(r *Record) { r.Requests[1].Previous = "none" }},
		{"another body", RuleChain, func(r *Record) { r.Runs[2].Text = "X\n" }},
		{"an answer that lacks an event", RuleWhole, func(r *Record) { r.Requests[0].Output = "a:1\n" }},
		{"an answer that ended before the last event", RuleWhole, func(r *Record) { r.Runs[1].Whole = false }},
		{"an answer to what never ran", RuleWhole, func(r *Record) { r.Runs = r.Runs[:4] }},
		{"more than the rate in a window", RuleRate, func(r *Record) {
			for i := 0; i < 4; i++ {
				again(r, 2, 17*s+time.Duration(i+1)*s/10)
			}
		}},
		{"a lower limit that binds everywhere by now", RuleRate, func(r *Record) {
			r.Tables[1].Allowed = map[string]float64{"t1": 1}
			again(r, 2, 50*s)
			again(r, 2, 51*s)
		}},
		{"run and never asked", RuleAllowed, func(r *Record) { r.Runs = append(r.Runs, Work{At: s, Attempt: "nobody"}) }},
		{"run as another tenant", RuleAllowed, func(r *Record) { r.Arrivals[2].Tenant = "t2" }},
		{"a key refused that every table has", RuleAllowed, func(r *Record) { chat(r, "i", 20*s, 401) }},
		{"a route not found that every table has", RuleAllowed, func(r *Record) { chat(r, "i", 20*s, 404) }},
		{"run with a key that no table has", RuleAllowed, func(r *Record) { r.Requests[3].Key = "stolen" }},
		{"sent where only a refused table says", RuleAllowed, func(r *Record) { r.Arrivals[1].At, r.Arrivals[1].Service = 33*s, "model-c" }},
		{"a table lost", RuleLost, func(r *Record) { r.Reads[0] = ReadBack{At: 59 * s, Number: 1, Text: []byte("1")} }},
		{"a table read back that was refused", RuleLost, func(r *Record) { r.Reads[0] = ReadBack{At: 59 * s, Number: 4, Text: []byte("4")} }},
		{"a table read back otherwise than it was sent", RuleLost, func(r *Record) { r.Reads[0].Text = []byte("x") }},
		{"no table read back", RuleLost, func(r *Record) { r.Reads = nil }},
		{"two tables on one base", RuleRace, func(r *Record) { r.Tables[2].Refused, r.Tables[2].IsAcked, r.Tables[2].Acked = false, true, 31*s }},
		{"an invalid table acknowledged", RuleRace, func(r *Record) { r.Tables[1].Valid = false }},
		{"a calm node on an old table", RuleFollow, func(r *Record) { r.Requests[4].Path, r.Requests[5].Path = "/probe-one/x", "/probe-one/z" }},
		{"a calm node that refuses what is new", RuleFollow, func(r *Record) {
			r.Requests[4].Outcome, r.Requests[4].Status, r.Arrivals, r.Runs = Refused, 404, r.Arrivals[:3], r.Runs[:3]
			r.Requests = r.Requests[:7]
			r.Back, r.Closing = 0, 0
		}},
		{"a node that goes back", RuleBack, func(r *Record) {
			r.Tables[1].Acked = 39 * s
			r.Troubles = append(r.Troubles, Trouble{Who: Everyone, From: 0, Until: 60 * s})
			r.Arrivals = append(r.Arrivals, Arrival{At: 42 * s, Replica: "r9", Service: modelA, Node: "n1", Life: 1, Attempt: "a", Tenant: "t1"})
			r.Requests[0].At = 42 * s
		}},
		{"a leaving replica still sent to", RuleLeaving, func(r *Record) { r.Words[0].At = 10 * s }},
		{"not served after the closing fault", RuleServed, func(r *Record) {
			for _, n := range []string{"u", "v", "w", "x"} {
				chat(r, n, 53*s, 503)
			}
		}},
		{"one kind not served after the closing fault", RuleServed, func(r *Record) {
			for i := 0; i < 25; i++ {
				chat(r, fmt.Sprint("u", i), 53*s, 503)
				chat(r, fmt.Sprint("v", i), 53*s, 0)
				last := r.Requests[len(r.Requests)-1]
				last.Kind, last.Path, last.Outcome = "look", "/look/x", Whole
				r.Runs = append(r.Runs, Work{At: 53 * s, Attempt: last.Attempt, Tenant: "t2", Text: "A\n"})
			}
		}},
		{"a request without a last step", RuleHeld, func(r *Record) { r.Requests[3].LastStep = 0 }},
	} {
		r := good()
		c.harm(r)
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

// TestTroubleExcuses wants bounds in time to hold only for nodes in touch, and
// all else always.
func TestTroubleExcuses(t *testing.T) {
	r := good()
	r.Words[0].At = 10 * s
	r.Troubles = []Trouble{{Who: "n2", From: 9 * s, Until: 11 * s}}
	if b := r.Judge(); len(b) > 0 {
		t.Errorf("a node that was just harmed: %v", b)
	}
	r.Troubles = []Trouble{{Who: "n1", From: 9 * s, Until: 11 * s}}
	if b := r.Judge(); len(b) == 0 {
		t.Error("another node's trouble excuses nothing")
	}
}
