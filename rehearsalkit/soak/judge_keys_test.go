package soak

import (
	"net/http"
	"testing"
	"time"
)

// answeredOperation is a record with one operation that ran once and was answered.
func answeredOperation() *record {
	first := &request{Attempt: "first", Kind: kindKeyed, Tenant: tenantFirst, Began: time.Second}
	first.OperationKey = "k"
	first.result = result{Ended: 2 * time.Second, Status: http.StatusOK, Whole: true, Answer: "ran", Seal: "seal-first"}
	return &record{
		KeyWindow: time.Minute,
		Requests:  []*request{first},
		Runs:      []run{{At: 1500 * time.Millisecond, Attempt: "first", Tenant: tenantFirst, OperationKey: "k", Gave: "ran"}},
	}
}

// repeat adds a repeat that began at a time.
func (r *record) repeat(at time.Duration, end result) {
	repeat := &request{Attempt: "second", Kind: kindKeyed, Tenant: tenantFirst, Began: at, result: end}
	repeat.OperationKey, repeat.Repeat = "k", true
	repeat.Ended = at + time.Second
	r.Requests = append(r.Requests, repeat)
}

func TestJudgeKeys(t *testing.T) {
	success := result{Status: http.StatusOK, Whole: true, Answer: "ran", Seal: "seal-first"}
	ranAgain := run{At: 20 * time.Second, Attempt: "second", Tenant: tenantFirst, OperationKey: "k", Gave: "ran again"}
	cases := map[string]struct {
		change func(r *record)
		rule   string
	}{
		"a repeat with the first answer": {func(r *record) { r.repeat(10*time.Second, success) }, ""},
		"a second run":                   {func(r *record) { r.Runs = append(r.Runs, ranAgain) }, RuleKeyOnce},
		"a run of another tenant": {func(r *record) {
			other := ranAgain
			other.Tenant = tenantSecond
			r.Runs = append(r.Runs, other)
		}, ""},
		"a run after the window": {func(r *record) {
			r.KeyWindow = 10 * time.Second
			r.Runs = append(r.Runs, ranAgain)
		}, ""},
		"a second run that broke off": {func(r *record) {
			brokenOff := ranAgain
			brokenOff.BrokenOff = true
			r.Runs = append(r.Runs, brokenOff)
		}, ""},
		"a repeat with another answer": {func(r *record) {
			r.repeat(10*time.Second, result{Status: http.StatusOK, Whole: true, Answer: "other", Seal: "seal-first"})
		}, RuleKeyAnswers},
		"a repeat with its own seal": {func(r *record) {
			r.repeat(10*time.Second, result{Status: http.StatusOK, Whole: true, Answer: "ran", Seal: "seal-second"})
		}, RuleKeyAnswers},
		"in progress while the first is at work": {func(r *record) {
			r.repeat(1500*time.Millisecond, result{Status: http.StatusConflict, Whole: true})
		}, ""},
		"in progress when nothing is at work": {func(r *record) {
			r.repeat(10*time.Second, result{Status: http.StatusConflict, Whole: true})
		}, RuleKeyProgress},
		"in progress after a freeze": {func(r *record) {
			r.Faults = []fault{{Kind: "freeze", From: time.Second, To: 7 * time.Second}}
			r.repeat(10*time.Second, result{Status: http.StatusConflict, Whole: true})
		}, ""},
		"repeats of an answered operation fail": {func(r *record) {
			for i := range leastRepeats {
				r.repeat(time.Duration(10+i)*time.Second, result{Status: http.StatusBadGateway, Whole: true})
			}
		}, RuleKeyServed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := answeredOperation()
			c.change(r)
			var rules []string
			for _, b := range r.judgeKeys(nil) {
				rules = append(rules, b.Rule)
			}
			if c.rule == "" && len(rules) > 0 || c.rule != "" && (len(rules) != 1 || rules[0] != c.rule) {
				t.Errorf("breaches of %q, want of %q", rules, c.rule)
			}
		})
	}
}
