package relaysim

import (
	"math"
	"sort"
	"strings"
	"time"

	"saffronfall/rule/ordered"
)

// Rules that every run is checked against. The values are printed with each breach.
const (
	RuleAtMostOnce     = "runs at most once"
	RuleRefusedNotRun  = "refused is never run"
	RuleBudget         = "budget"
	RuleBudgetRefusal  = "refused for its budget only when it cannot fit"
	RuleTurnKept       = "kept turns are found"
	RuleHistory        = "replicas get the chain of former turns"
	RuleAnswerComplete = "answers are the replica's whole"
	RuleRate           = "rate"
	RuleTableAllows    = "only what a table allows"
	RuleDurable        = "acknowledged tables stay"
	RuleTableRace      = "one table on one base"
	RuleNoRollback     = "a life never goes back to an older table"
	RuleTableLag       = "calm nodes follow in time"
	RuleDraining       = "leaving replicas are left alone"
	RuleRecovery       = "served again after the closing fault"
	RuleFinalStep      = "every request gets a last step"
	RuleInvariant      = "invariants hold in the code"
)

type recordIndex struct {
	*Record
	runs           map[string][]*Execution
	requests       map[string]*Request
	arrivals       map[string][]*Arrival
	tablesByNumber []*Table
}

// Judge returns the breaches of all rules.
func (r *Record) Judge() []Breach {
	b := r.index()
	return checkAll(
		b.checkRuns, b.checkBudgets, b.checkBudgetRefusals,
		b.checkKeptTurns, b.checkHistories, b.checkAnswers, b.checkRates,
		b.checkTables, b.checkLinearizable, b.checkHandling, b.checkDraining,
		b.checkRecovery, b.checkKeys, b.checkFinalSteps, b.checkInvariants,
	)
}

// JudgeTables returns the breaches of the rules on routing tables.
func (r *Record) JudgeTables() []Breach {
	b := r.index()
	return checkAll(b.checkRuns, b.checkTables, b.checkLinearizable, b.checkHandling, b.checkFinalSteps, b.checkInvariants)
}

func (b *recordIndex) checkInvariants() (list []Breach) {
	for _, v := range b.Violations {
		list = append(list, breach(RuleInvariant, "%s", v.Error()))
	}
	return list
}

func checkAll(rules ...func() []Breach) (list []Breach) {
	for _, rule := range rules {
		list = append(list, rule()...)
	}
	return list
}

func (r *Record) index() *recordIndex {
	b := &recordIndex{Record: r, runs: map[string][]*Execution{}, requests: map[string]*Request{}, arrivals: map[string][]*Arrival{}}
	for i := range r.Runs {
		b.runs[r.Runs[i].Attempt] = append(b.runs[r.Runs[i].Attempt], &r.Runs[i])
	}
	for i := range r.Arrivals {
		b.arrivals[r.Arrivals[i].Attempt] = append(b.arrivals[r.Arrivals[i].Attempt], &r.Arrivals[i])
	}
	for _, q := range r.Requests {
		b.requests[q.Attempt] = q
	}
	b.tablesByNumber = append(b.tablesByNumber, r.Tables...)
	sort.SliceStable(b.tablesByNumber, func(i, j int) bool { return b.tablesByNumber[i].Number < b.tablesByNumber[j].Number })
	return b
}

// repeatable reports whether requests to a path may run more than once. All tables agree on it.
func (b *recordIndex) repeatable(path string) bool {
	for _, t := range b.Tables {
		if r, ok := t.route(path); ok {
			return r.Repeatable
		}
	}
	return false
}

func (t *Table) route(path string) (Route, bool) {
	best := ""
	for prefix := range t.Routes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(best) {
			best = prefix
		}
	}
	return t.Routes[best], best != ""
}

func promisesNotRun(q *Request) bool {
	if q.Outcome != Refused {
		return false
	}
	switch q.Status {
	case 400, 401, 402, 404, 408, 413, 421, 429, 431, 503:
		return true
	}
	return false
}

func (b *recordIndex) checkRuns() (list []Breach) {
	for _, attempt := range ordered.Keys(b.runs) {
		runs, q := b.runs[attempt], b.requests[attempt]
		switch {
		case q == nil:
			list = append(list, breach(RuleTableAllows, "%s ran at %v and was never asked", attempt, runs[0].At))
			continue
		case len(runs) > 1 && !b.repeatable(q.Path) && !deduplicates(runs[0].Service):
			list = append(list, breach(RuleAtMostOnce, "%s %s ran %d times, at %v and %v", q.Kind, attempt, len(runs), runs[0].At, runs[1].At))
		}
		if promisesNotRun(q) {
			list = append(list, breach(RuleRefusedNotRun,
				"%s %s was answered %d (%s) at %v and ran at %v",
				q.Kind, attempt, q.Status, q.Check, q.Ended, runs[0].At))
		}
	}
	return list
}

func (b *recordIndex) checkBudgets() (list []Breach) {
	sum, largest, budget := map[string]int64{}, map[string]int64{}, map[string]int64{}
	for _, q := range b.Requests {
		if q.Program != "" && q.Budget > 0 {
			sum[q.Program] += q.Tokens
			largest[q.Program] = max(largest[q.Program], q.Tokens)
			budget[q.Program] = q.Budget
		}
	}
	for _, p := range ordered.Keys(sum) {
		if sum[p] > budget[p]+largest[p] {
			list = append(list, breach(RuleBudget,
				"program %s got %d tokens, of a budget of %d and a largest turn of %d",
				p, sum[p], budget[p], largest[p]))
		}
	}
	return list
}

// checkBudgetRefusals checks that a turn is refused for its budget only if the budget could not
// hold it. Other turns count with their maximum, unless they completed or were refused at least
// the settlement time earlier.
func (b *recordIndex) checkBudgetRefusals() (list []Breach) {
	programs := map[string][]*Request{}
	for _, q := range b.Requests {
		if q.Program != "" && q.Budget > 0 {
			programs[q.Program] = append(programs[q.Program], q)
		}
	}
	for _, q := range b.Requests {
		if q.Outcome != Refused || q.Status != 402 {
			continue
		}
		sum := q.MaxTokens
		for _, other := range programs[q.Program] {
			switch {
			case other == q || other.At > q.Ended:
			case other.Ended >= 0 && other.Ended <= q.At-b.Limits.Settlement && other.Outcome == Complete:
				sum += other.Tokens
			case other.Ended >= 0 && other.Ended <= q.At-b.Limits.Settlement && promisesNotRun(other):
			case !other.Arrived:
			default:
				sum += other.MaxTokens
			}
		}
		if sum <= q.Budget {
			list = append(list, breach(RuleBudgetRefusal,
				"%s at %s was refused 402 at %v with %d of %d used at most",
				q.Attempt, q.Node, q.Ended, sum-q.MaxTokens, q.Budget))
		}
	}
	return list
}

func (b *recordIndex) checkKeptTurns() (list []Breach) {
	for _, q := range b.Requests {
		if q.Outcome != Refused || q.Status != 404 && q.Status != 410 || q.Previous == "" {
			continue
		}
		p := b.requests[q.Previous]
		if p != nil && p.Outcome == Complete && p.Tenant == q.Tenant && q.Ended < p.Ended+b.Limits.Retention {
			list = append(list, breach(RuleTurnKept,
				"%s at %s got %d (%s) at %v, and its former turn %s had come whole at %v",
				q.Attempt, q.Node, q.Status, q.Check, q.Ended, p.Attempt, p.Ended))
		}
	}
	return list
}

func (b *recordIndex) disrupted(machine string, from, until time.Duration) bool {
	for _, t := range b.Disruptions {
		if (t.Machine == machine || t.Machine == AllMachines) && t.From <= until && (t.Until < 0 || t.Until >= from) {
			return true
		}
	}
	return false
}

// AllMachines is the Machine of a closing fault's Disruption.
const AllMachines = "everyone"

// contactUndisturbed reports whether a node and all stores were undisturbed in an interval and
// for the contact timeout before it.
func (b *recordIndex) contactUndisturbed(node string, from, until time.Duration) bool {
	from -= b.Limits.Contact
	return !b.disrupted(node, from, until) && !b.disrupted(AnyStore, from, until)
}

// nodeUndisturbed is contactUndisturbed without regard to the stores.
func (b *recordIndex) nodeUndisturbed(node string, from, until time.Duration) bool {
	return !b.disrupted(node, from-b.Limits.Contact, until)
}

// inForceFrom is the first time, at least the apply limit after a table's acknowledgement, at
// which contact is undisturbed at all nodes.
func (b *recordIndex) inForceFrom(t *Table) time.Duration {
	at := t.AckedAt + b.Limits.Apply
	for _, n := range b.Nodes {
		for !b.contactUndisturbed(n, at, at) {
			at += 100 * time.Millisecond
			if at > b.End {
				return math.MaxInt64 / 4
			}
		}
	}
	return at
}

// checkRates checks that a tenant's executions in every rate window stay within the largest limit
// that may have been in force.
func (b *recordIndex) checkRates() (list []Breach) {
	inForceAt := map[*Table]time.Duration{}
	for _, t := range b.Tables {
		if t.Acked {
			inForceAt[t] = b.inForceFrom(t)
		}
	}
	allowed := func(tenant string, from time.Duration) float64 {
		limit, known := 0.0, false
		for _, t := range b.Tables {
			if t.Refused || t.SentAt > from+b.Limits.Window {
				continue
			}
			superseded := false
			for newer, at := range inForceAt {
				superseded = superseded || newer.Number > t.Number && at+b.Limits.Window <= from
			}
			if superseded {
				continue
			}
			if perWindow, ok := t.MaxPerWindow[tenant]; ok {
				known = true
				limit = max(limit, perWindow)
			} else if t.Valid {
				return math.Inf(1)
			}
		}
		if !known {
			return math.Inf(1)
		}
		return limit*(1+b.Limits.Overshoot) + b.Limits.Slack
	}
	times := map[string][]time.Duration{}
	for _, run := range b.Runs {
		times[run.Tenant] = append(times[run.Tenant], run.At)
	}
	for _, tenant := range ordered.Keys(times) {
		all := times[tenant]
		sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
		last := 0
		for first := range all {
			for last < len(all) && all[last] <= all[first]+b.Limits.Window {
				last++
			}
			if limit := allowed(tenant, all[first]); float64(last-first) > limit {
				list = append(list, breach(RuleRate,
					"%d requests of %s ran within %v from %v on, of %.1f",
					last-first, tenant, b.Limits.Window, all[first], limit))
				break
			}
		}
	}
	return list
}

func (b *recordIndex) checkDraining() (list []Breach) {
	acknowledged := map[string]time.Duration{}
	for _, ack := range b.LeaveAcks {
		if at, ok := acknowledged[ack.Replica]; !ok || ack.At < at {
			acknowledged[ack.Replica] = ack.At
		}
	}
	for _, a := range b.Arrivals {
		at, ok := acknowledged[a.Replica]
		if ok && !a.Misdirected && a.At > at+b.Limits.Drain && b.contactUndisturbed(a.Node, at, a.At) {
			list = append(list, breach(RuleDraining,
				"%s reached %s at %v by %s, and it was heard at %v that this one leaves",
				a.Attempt, a.Replica, a.At, a.Node, at))
		}
	}
	return list
}

// checkRecovery checks that after the recovery time at least a quarter of the requests is served,
// in total and of each frequent kind.
func (b *recordIndex) checkRecovery() (list []Breach) {
	if b.RestoredAt == 0 {
		return nil
	}
	const minRequests = 20
	served, all := map[string]int{}, map[string]int{"": 0}
	for _, q := range b.Requests {
		if q.At <= b.RestoredAt+b.Limits.Recovery || q.Ended < 0 || q.Kind == "probe" || q.Outcome == Refused && q.Status != 503 {
			continue
		}
		for _, kind := range []string{"", q.Kind} {
			all[kind]++
			if q.Outcome == Complete {
				served[kind]++
			}
		}
	}
	for _, kind := range ordered.Keys(all) {
		if (kind == "" || all[kind] >= minRequests) && (all[kind] == 0 || served[kind]*4 < all[kind]) {
			list = append(list, breach(RuleRecovery,
				"%d of %d requests %s were served from %v on, after the closing fault's end at %v",
				served[kind], all[kind], kind, b.RestoredAt+b.Limits.Recovery, b.RestoredAt))
		}
	}
	return list
}

func (b *recordIndex) checkFinalSteps() (list []Breach) {
	for _, q := range b.Requests {
		if q.Arrived && q.LastStep == 0 && q.At+b.Limits.FinalStep < b.End && !b.disrupted(q.Node, q.At, b.End) {
			list = append(list, breach(RuleFinalStep, "%s %s arrived at %s at %v and got no last step", q.Kind, q.Attempt, q.Node, q.At))
		}
	}
	return list
}
