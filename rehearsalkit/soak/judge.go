package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"
)

// Names of the rules in reports.
const (
	RuleOnce          = "runs at most once"
	RuleNotRun        = "refused is never run"
	RuleAnswers       = "answers are the replica's whole"
	RuleRequested     = "only what was asked runs, unchanged"
	RuleBudget        = "budget"
	RuleBudgetRefusal = "refused for its budget only when it cannot fit"
	RuleHistory       = "kept turns are found"
	RuleChain         = "replicas get the chain of former turns"
	RuleRate          = "rate"
	RuleTables        = "acknowledged tables stay"
	RuleRace          = "one table on one base"
	RuleLeaving       = "leaving replicas are left alone"
	RuleDeadline      = "no request is held beyond its time"
	RuleServed        = "served once the troubles are over"
	RuleReleased      = "nothing is held when requesters are gone"
	RuleExit          = "no process ends by itself, and all end when told"
	RuleInvariants    = "invariants hold in the code"
)

// requestKey identifies a request: attempt ids are unique within a tenant only.
func requestKey(tenant, attempt string) string { return tenant + "/" + attempt }

func (r *record) judge() []Breach {
	runs := map[string][]run{}
	for _, ran := range r.Runs {
		runs[requestKey(ran.Tenant, ran.Attempt)] = append(runs[requestKey(ran.Tenant, ran.Attempt)], ran)
	}
	list := r.Breaches
	for _, rule := range []func(runs map[string][]run) []Breach{
		r.judgeRuns, r.judgeAnswers, r.judgeRequested, r.judgeBudgets, r.judgeHistory, r.judgeRate,
		r.judgeTables, r.judgeLeaving, r.judgeDeadlines, r.judgeServed, r.judgeKeys,
	} {
		list = append(list, rule(runs)...)
	}
	return list
}

func breach(rule, format string, args ...any) Breach {
	return Breach{Rule: rule, Text: fmt.Sprintf(format, args...)}
}

// notRunStatuses guarantee that a request has not run and never will.
var notRunStatuses = map[int]bool{
	http.StatusPaymentRequired:    true,
	http.StatusUnauthorized:       true,
	http.StatusNotFound:           true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout:     true,
	http.StatusConflict:           true,
}

// judgeRuns finds once-only requests that ran twice and refused requests that ran.
func (r *record) judgeRuns(runs map[string][]run) (list []Breach) {
	for _, req := range r.Requests {
		ran := runs[requestKey(req.Tenant, req.Attempt)]
		if req.Repeats {
			continue
		}
		if (req.Kind == kindOnce || req.Kind == kindKept) && len(ran) > 1 {
			list = append(list, breach(RuleOnce, "%s at %s ran %d times: %+v", req.Attempt, req.Node, len(ran), ran))
		}
		if notRunStatuses[req.Status] && len(ran) > 0 {
			list = append(list, breach(RuleNotRun, "%s of %s at %s was answered %d at %v and ran at %v",
				req.Attempt, req.Tenant, req.Node, req.Status, req.Ended, ran[0].At))
		}
	}
	return list
}

// judgeAnswers finds successful answers that differ from what a replica sent.
func (r *record) judgeAnswers(runs map[string][]run) (list []Breach) {
	for _, req := range r.Requests {
		// judgeRepeats checks the answers to requests with operation keys.
		if !req.Whole || req.Status != http.StatusOK || req.OperationKey != "" {
			continue
		}
		given := false
		for _, ran := range runs[requestKey(req.Tenant, req.Attempt)] {
			given = given || ran.Gave == req.Answer
		}
		// A stream that was resumed at another replica joins the output of two runs.
		if req.Kind == kindChat && !given {
			for _, ran := range runs[requestKey(req.Tenant, req.Attempt)] {
				given = given || strings.HasSuffix(req.Answer, ran.Gave) && req.Answer == wholeStream(req.Attempt)
			}
		}
		if !given {
			list = append(list, breach(RuleAnswers, "%s of %s at %s got an answer that no replica sent: %.200q",
				req.Attempt, req.Tenant, req.Node, req.Answer))
		}
	}
	return list
}

func wholeStream(attempt string) string {
	var text strings.Builder
	for i := 1; i <= eventsOfTurn; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s/%d\n\n", i, attempt, i)
	}
	return text.String()
}

func (r *record) judgeRequested(map[string][]run) (list []Breach) {
	requested := map[string]*request{}
	for _, req := range r.Requests {
		requested[requestKey(req.Tenant, req.Attempt)] = req
	}
	services := map[string][]string{
		kindAlert:    {serviceApp},
		kindOnce:     {serviceApp},
		kindChat:     {serviceModel},
		kindKept:     {serviceModel},
		kindKeyed:    {serviceApp},
		kindRecorded: {serviceRecorded},
		kindMoved:    {serviceApp, serviceRecorded},
	}
	for _, ran := range r.Runs {
		req := requested[requestKey(ran.Tenant, ran.Attempt)]
		switch {
		case req == nil:
			list = append(list, breach(RuleRequested, "%s of tenant %q ran at %s and was never requested", ran.Attempt, ran.Tenant, ran.Replica))
		case req.Method != ran.Method || req.Path != ran.Path || !slices.Contains(services[req.Kind], ran.Service):
			list = append(list, breach(RuleRequested, "%s ran as %s %s at %s", req.Attempt, ran.Method, ran.Path, ran.Service))
		case req.OperationKey != ran.OperationKey:
			list = append(list, breach(RuleRequested, "%s of operation %q ran as %q", req.Attempt, req.OperationKey, ran.OperationKey))
		case ran.Got != req.Before+req.Body && ran.Got != unread:
			rule := RuleRequested
			if req.Kind == kindKept {
				rule = RuleChain
			}
			list = append(list, breach(rule, "%s of %s ran with %.300q, wanted %.300q", req.Attempt, req.Tenant, ran.Got, req.Before+req.Body))
		}
	}
	return list
}

// judgeBudgets finds exceeded budgets, and turns refused although the budget sufficed.
func (r *record) judgeBudgets(map[string][]run) (list []Breach) {
	type spending struct{ received, budget, requested int64 }
	programs := map[string]*spending{}
	sort.SliceStable(r.Requests, func(i, k int) bool { return r.Requests[i].Began < r.Requests[k].Began })
	for _, req := range r.Requests {
		if req.Program == "" {
			continue
		}
		usage := programs[requestKey(req.Tenant, req.Program)]
		if usage == nil {
			usage = &spending{budget: req.Budget}
			programs[requestKey(req.Tenant, req.Program)] = usage
		}
		if req.Status == http.StatusPaymentRequired && usage.requested+turnTokens <= usage.budget {
			list = append(list, breach(RuleBudgetRefusal, "%s was refused although program %s had requested at most %d of its %d tokens",
				req.Attempt, req.Program, usage.requested, usage.budget))
		}
		usage.requested += turnTokens
		usage.received += tokensPerEvent * int64(strings.Count(req.Answer, "data: "))
	}
	for program, usage := range programs {
		if usage.received > usage.budget+turnTokens {
			list = append(list, breach(RuleBudget, "program %s got %d tokens; its budget is %d and the limit of a turn %d",
				program, usage.received, usage.budget, turnTokens))
		}
	}
	return list
}

// judgeHistory finds turns answered 404 although the turn that they continue was complete
// and retained.
func (r *record) judgeHistory(map[string][]run) (list []Breach) {
	completed := map[string]time.Duration{}
	for _, req := range r.Requests {
		if req.Kind == kindKept && req.Whole && req.Status == http.StatusOK {
			completed[requestKey(req.Tenant, req.Attempt)] = req.Ended
		}
	}
	for _, req := range r.Requests {
		ended, ok := completed[requestKey(req.Tenant, req.Previous)]
		if req.Status == http.StatusNotFound && req.Previous != "" && ok && req.Began < ended+historyRetention {
			list = append(list, breach(RuleHistory, "%s of %s at %s got 404 at %v; %s was complete at %v",
				req.Attempt, req.Tenant, req.Node, req.Ended, req.Previous, ended))
		}
	}
	return list
}

// judgeRate checks the rate-limited tenant in a sliding window.
func (r *record) judgeRate(map[string][]run) []Breach {
	limit := int((limitedRate*rateWindow.Seconds()+limitedBurst)*(1+rateOvershoot)) + rateSlack
	var window []time.Duration
	for _, ran := range r.Runs {
		if ran.Tenant != tenantLimited {
			continue
		}
		window = append(window, ran.At)
		for window[0] <= ran.At-rateWindow {
			window = window[1:]
		}
		if len(window) > limit {
			return []Breach{breach(RuleRate, "%d requests of tenant %s ran in the %v up to %v; the limit is %d",
				len(window), tenantLimited, rateWindow, ran.At, limit)}
		}
	}
	return nil
}

// judgeTables finds acknowledged tables that are invalid, share a base or are not read back.
func (r *record) judgeTables(map[string][]run) (list []Breach) {
	acknowledged := map[uint64]uint64{}
	for _, update := range r.TableUpdates {
		if update.Status != http.StatusOK {
			continue
		}
		if !update.Valid {
			list = append(list, breach(RuleRace, "the invalid table %d was acknowledged", update.Number))
		}
		if other, ok := acknowledged[update.Base]; ok && other != update.Number {
			list = append(list, breach(RuleRace, "tables %d and %d were both acknowledged on %d", other, update.Number, update.Base))
		}
		acknowledged[update.Base] = update.Number
	}
	for _, read := range r.TableReads {
		for _, update := range r.TableUpdates {
			if update.Status == http.StatusOK && update.Ended+applyTimeout < read.Began && read.Number < update.Number {
				list = append(list, breach(RuleTables, "%s returned table %d at %v; table %d was acknowledged at %v",
					read.Registry, read.Number, read.Ended, update.Number, update.Ended))
			}
		}
	}
	return list
}

// judgeLeaving finds requests that reached a replica more than drainTimeout after a registry
// acknowledged its departure, if there was no fault.
func (r *record) judgeLeaving(map[string][]run) (list []Breach) {
	departures := map[string]time.Duration{}
	for _, w := range r.Departures {
		departures[w.Replica] = w.At
	}
	nodes := map[string]string{}
	for _, req := range r.Requests {
		nodes[requestKey(req.Tenant, req.Attempt)] = req.Node
	}
	for _, ran := range r.Runs {
		at, ok := departures[ran.Replica]
		if ok && ran.At > at+drainTimeout && r.faultFree(at, ran.At) {
			list = append(list, breach(RuleLeaving, "%s ran at %s by %s at %v; a desk had acknowledged at %v that it leaves",
				ran.Attempt, ran.Replica, nodes[requestKey(ran.Tenant, ran.Attempt)], ran.At, at))
		}
	}
	return list
}

// faultFree ignores faults of replicas. Others count until contactTimeout after their end.
func (r *record) faultFree(from, to time.Duration) bool {
	for _, t := range r.Faults {
		if !strings.HasPrefix(t.Kind, "replica") && t.From < to && from < t.To+contactTimeout {
			return false
		}
	}
	return true
}

// judgeDeadlines finds requests that ended late although their node had no fault.
func (r *record) judgeDeadlines(map[string][]run) (list []Breach) {
	for _, req := range r.Requests {
		if req.Misbehaving || req.Ended < 0 || req.Ended-req.Began < deadline+answerGrace ||
			r.affected(req.Node, req.Began-time.Second, req.Ended) {
			continue
		}
		list = append(list, breach(RuleDeadline, "%s of kind %s at %s was sent at %v and ended at %v with %d",
			req.Attempt, req.Kind, req.Node, req.Began, req.Ended, req.Status))
	}
	return list
}

// affected counts a fault of the process until a second after its end.
func (r *record) affected(process string, from, to time.Duration) bool {
	for _, t := range r.Faults {
		if slices.Contains(strings.Fields(t.Target), process) && t.From < to && from < t.To+time.Second {
			return true
		}
	}
	return false
}

// servedShare is the least share of requests to be served after the faults. It is below 1
// because replicas still misbehave.
const servedShare = 0.5

func (r *record) lastFault() (last time.Duration) {
	for _, t := range r.Faults {
		last = max(last, t.To)
	}
	return last
}

func (r *record) judgeServed(map[string][]run) (list []Breach) {
	lastFault := r.lastFault()
	requested, served := map[string]int{}, map[string]int{}
	for _, req := range r.Requests {
		// judgeRepeatsServed checks the repeats.
		if req.Misbehaving || req.Repeat || req.Tenant == tenantLimited || req.Began < lastFault+contactTimeout ||
			req.Ended < 0 || req.Status == http.StatusPaymentRequired {
			continue
		}
		requested[req.Kind]++
		if req.Whole && req.Status < 300 {
			served[req.Kind]++
		}
	}
	for kind, count := range requested {
		if count >= 20 && float64(served[kind]) < servedShare*float64(count) {
			list = append(list, breach(RuleServed, "%d of %d requests of kind %s were served", served[kind], count, kind))
		}
	}
	return list
}
