package relaysim

import (
	"fmt"
	"testing"
	"time"
)

// validKeyedRecord has an operation at a service without a record of keys, which ran once, and one
// at a ledger, whose first run broke off.
func validKeyedRecord() *Record {
	r := validRecord()
	r.Limits.KeyWindow = 20 * sec
	for _, t := range r.Tables {
		t.Routes[keyedPrefix] = Route{Services: []string{plainA}}
		t.Routes[ledgerPrefix] = Route{Services: []string{ledgerA}}
	}
	attempt := func(kind, name, operation string, at time.Duration, outcome string, status int, output string) {
		r.Requests = append(r.Requests, &Request{At: at, Ended: at + sec/10, Arrived: true, LastStep: at, Node: "n2", Incarnation: 1, Kind: kind, Path: "/" + kind + "/x", Attempt: name,
			Key: "k-2a", Tenant: "t2", Input: "K\n", Deadline: sec, Outcome: outcome, Status: status, Output: output, KeyedCall: KeyedCall{Operation: operation}})
	}
	run := func(service, name string, at time.Duration, complete bool, output string) {
		r.Runs = append(r.Runs, Execution{At: at, Sent: at, Replica: "r-" + service, Service: service, Node: "n2", Attempt: name, Tenant: "t2", Text: "K\n", Output: output, Complete: complete})
	}
	attempt("keyed", "ka", "one", 5*sec, Complete, 200, "ka run")
	attempt("keyed", "kb", "one", 7*sec, Complete, 200, "ka run")
	attempt("keyed", "kc", "one", 30*sec, Complete, 200, "kc run")
	run(plainA, "ka", 5*sec, true, "ka run")
	run(plainA, "kc", 30*sec, true, "kc run")
	attempt("ledger", "la", "two", 5*sec, Closed, 0, "")
	attempt("ledger", "lb", "two", 6*sec, Refused, statusKeyInProgress, "")
	attempt("ledger", "lc", "two", 7*sec, Complete, 200, "lc run")
	run(ledgerA, "la", 5*sec, false, "")
	run(ledgerA, "lc", 7*sec, true, "lc run")
	return r
}

func (r *Record) attemptNamed(name string) *Request {
	for _, q := range r.Requests {
		if q.Attempt == name {
			return q
		}
	}
	return nil
}

// Guards against rules on operation keys that the judge no longer detects.
func TestJudgeKeys(t *testing.T) {
	if b := validKeyedRecord().Judge(); len(b) > 0 {
		t.Fatalf("valid record: %v", b)
	}
	run := func(r *Record, service, name string, at time.Duration, complete bool) {
		r.Runs = append(r.Runs, Execution{At: at, Sent: at, Replica: "r-" + service, Service: service, Node: "n2", Attempt: name, Tenant: "t2", Text: "K\n", Output: name + " run", Complete: complete})
	}
	for _, c := range []struct {
		name, rule string
		inject     func(r *Record)
	}{
		{"a second run for another attempt", RuleKeyRunsOnce, func(r *Record) { run(r, plainA, "kb", 7*sec, true) }},
		{"a second run for the same attempt", RuleKeyRunsOnce, func(r *Record) { run(r, plainA, "ka", 6*sec, true) }},
		{"a run that broke off without a record of keys", RuleKeyRunsOnce, func(r *Record) { run(r, plainA, "kb", 7*sec, false) }},
		{"a second run at the end of the window", RuleKeyRunsOnce, func(r *Record) { run(r, plainA, "kc", 25*sec-1, true) }},
		{"a second run at another ledger", RuleKeyRunsOnce, func(r *Record) { run(r, ledgerB, "lb", 7*sec, true) }},
		{"an answer of another operation", RuleFirstAnswer, func(r *Record) { r.attemptNamed("kb").Output = "lc run" }},
		{"an answer that no run returned", RuleFirstAnswer, func(r *Record) { r.attemptNamed("lc").Output = "" }},
		{"the answer of a run that broke off", RuleFirstAnswer, func(r *Record) { r.Runs[len(r.Runs)-1].Complete = false }},
		{"an attempt that ran and was told of another in progress", RuleRefusedNotRun, func(r *Record) { run(r, ledgerA, "lb", 6*sec, false) }},
		{"a run of an attempt that was refused", RuleRefusedNotRun, func(r *Record) {
			kc := r.attemptNamed("kc")
			kc.Outcome, kc.Status = Refused, 503
		}},
		{"an unknown outcome after an answer", RuleRepeatAnswered, func(r *Record) {
			kb := r.attemptNamed("kb")
			kb.Outcome, kb.Status, kb.Output = Refused, statusKeyUncertain, ""
		}},
		{"in progress after an answer", RuleRepeatAnswered, func(r *Record) {
			kb := r.attemptNamed("kb")
			kb.Outcome, kb.Status, kb.Output = Refused, statusKeyInProgress, ""
		}},
		{"in progress after the first attempt's time", RuleInProgressEnds, func(r *Record) {
			lb := r.attemptNamed("lb")
			lb.At, lb.Ended = 9*sec, 9*sec
			r.attemptNamed("lc").At, r.attemptNamed("lc").Ended = 10*sec, 10*sec
			r.Runs[len(r.Runs)-1].At = 10 * sec
		}},
		{"all keyed requests refused", RuleKeyedServed, func(r *Record) {
			for i := range 20 {
				r.Requests = append(r.Requests, &Request{At: 20 * sec, Ended: 20 * sec, Arrived: true, LastStep: 20 * sec, Node: "n2", Incarnation: 1, Kind: "keyed", Path: "/keyed/x", Attempt: fmt.Sprint("kd", i),
					Key: "k-2a", Tenant: "t2", Outcome: Refused, Status: 503, KeyedCall: KeyedCall{Operation: fmt.Sprint("o", i)}})
			}
		}},
	} {
		r := validKeyedRecord()
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

func TestKeysOfTenantsAreIndependent(t *testing.T) {
	r := validKeyedRecord()
	kb := r.attemptNamed("kb")
	kb.Tenant, kb.Key, kb.Output = "t1", "k-1a", "kb run"
	r.Runs = append(r.Runs, Execution{At: 7 * sec, Sent: 7 * sec, Replica: "r-plain", Service: plainA, Node: "n2", Attempt: "kb", Tenant: "t1", Text: "K\n", Output: "kb run", Complete: true})
	if b := r.Judge(); len(b) > 0 {
		t.Errorf("two tenants with one key: %v", b)
	}
	kb.Output = "ka run"
	if b := r.Judge(); len(b) == 0 {
		t.Error("a tenant got another one's answer")
	}
}
