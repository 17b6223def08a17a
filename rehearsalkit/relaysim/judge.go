package relaysim

import (
	"math"
	"sort"
	"strings"
	"time"

	"saffronfall/rule/ordered"
)

// Names of the rules that a run is judged by.
const (
	RuleTwice    = "runs at most once"
	RulePromised = "refused is never run"
	RuleBudget   = "budget"
	RuleSpent    = "refused for its budget only when it cannot fit"
	RuleKept     = "kept turns are found"
	RuleChain    = "replicas get the chain of former turns"
	RuleWhole    = "answers are the replica's whole"
	RuleRate     = "rate"
	RuleAllowed  = "only what a table allows"
	RuleLost     = "acknowledged tables stay"
	RuleRace     = "one table on one base"
	RuleBack     = "a life never goes back to an older table"
	RuleFollow   = "calm nodes follow in time"
	RuleLeaving  = "leaving replicas are left alone"
	RuleServed   = "served again after the closing fault"
	RuleHeld     = "every request gets a last step"
	RuleChecked  = "invariants hold in the code"
)

// books are the record, sorted for judging.
type books struct {
	*Record
	runs     map[string][]*Work
	requests map[string]*Request
	arrivals map[string][]*Arrival
	byNumber []*Table
}

// Judge looks for broken rules.
func (r *Record) Judge() []Breach {
	b := r.books()
	return all(b.ran, b.budgets, b.spent, b.kept, b.chains, b.answers, b.rates, b.tables, b.linear, b.handling, b.leaving, b.served, b.heldUp, b.checked)
}

// JudgeTables looks for broken rules of routing tables only.
func (r *Record) JudgeTables() []Breach {
	b := r.books()
	return all(b.ran, b.tables, b.linear, b.handling, b.heldUp, b.checked)
}

// checked tells of invariants that the machines found violated.
func (b *books) checked() (list []Breach) {
	for _, v := range b.Violations {
		list = append(list, breach(RuleChecked, "%s", v.Error()))
	}
	return list
}

func all(rules ...func() []Breach) (list []Breach) {
	for _, rule := range rules {
		list = append(list, rule()...)
	}
	return list
}

func (r *Record) books() *books {
	b := &books{Record: r, runs: map[string][]*Work{}, requests: map[string]*Request{}, arrivals: map[string][]*Arrival{}}
	for i := range r.Runs {
		b.runs[r.Runs[i].Attempt] = append(b.runs[r.Runs[i].Attempt], &r.Runs[i])
	}
	for i := range r.Arrivals {
		b.arrivals[r.Arrivals[i].Attempt] = append(b.arrivals[r.Arrivals[i].Attempt], &r.Arrivals[i])
	}
	for _, q := range r.Requests {
		b.requests[q.Attempt] = q
	}
	b.byNumber = append(b.byNumber, r.Tables...)
	sort.SliceStable(b.byNumber, func(i, j int) bool { return b.byNumber[i].Number < b.byNumber[j].Number })
	return b
}

// repeats tells whether a request of a path may run more than once. Tables never
// change that of a path.
func (b *books) repeats(path string) bool {
	for _, t := range b.Tables {
		if r, ok := t.route(path); ok {
			return r.Repeats
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

func promises(q *Request) bool {
	if q.Outcome != Refused {
		return false
	}
	switch q.Status {
	case 400, 401, 402, 404, 408, 413, 421, 429, 431, 503:
		return true
	}
	return false
}

func (b *books) ran() (list []Breach) {
	for _, attempt := range ordered.Keys(b.runs) {
		runs, q := b.runs[attempt], b.requests[attempt]
		switch {
		case q == nil:
			list = append(list, breach(RuleAllowed, "%s ran at %v and was never asked", attempt, runs[0].At))
			continue
		case len(runs) > 1 && !b.repeats(q.Path):
			list = append(list, breach(RuleTwice, "%s %s ran %d times, at %v and %v", q.Kind, attempt, len(runs), runs[0].At, runs[1].At))
		}
		if promises(q) {
			list = append(list, breach(RulePromised, "%s %s was answered %d (%s) at %v and ran at %v", q.Kind, attempt, q.Status, q.Check, q.Ended, runs[0].At))
		}
	}
	return list
}

func (b *books) budgets() (list []Breach) {
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
			list = append(list, breach(RuleBudget, "program %s got %d tokens, of a budget of %d and a largest turn of %d", p, sum[p], budget[p], largest[p]))
		}
	}
	return list
}

// spent: when a turn is refused for its program's budget, that could not hold
// one more, with all that had not ended whole or refused long enough before
// counted at their most.
func (b *books) spent() (list []Breach) {
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
		sum := q.Most
		for _, other := range programs[q.Program] {
			switch {
			case other == q || other.At > q.Ended:
			case other.Ended >= 0 && other.Ended <= q.At-b.Limits.Settling && other.Outcome == Whole:
				sum += other.Tokens
			case other.Ended >= 0 && other.Ended <= q.At-b.Limits.Settling && promises(other):
			case !other.Arrived:
			default:
				sum += other.Most
			}
		}
		if sum <= q.Budget {
			list = append(list, breach(RuleSpent, "%s at %s was refused 402 at %v with %d of %d used at most", q.Attempt, q.Node, q.Ended, sum-q.Most, q.Budget))
		}
	}
	return list
}

func (b *books) kept() (list []Breach) {
	for _, q := range b.Requests {
		if q.Outcome != Refused || q.Status != 404 && q.Status != 410 || q.Previous == "" {
			continue
		}
		p := b.requests[q.Previous]
		if p != nil && p.Outcome == Whole && p.Tenant == q.Tenant && q.Ended < p.Ended+b.Limits.Keep {
			list = append(list, breach(RuleKept, "%s at %s got %d (%s) at %v, and its former turn %s had come whole at %v", q.Attempt, q.Node, q.Status, q.Check, q.Ended, p.Attempt, p.Ended))
		}
	}
	return list
}

// inTrouble reports whether someone was harmed at some time of a span.
func (b *books) inTrouble(who string, from, until time.Duration) bool {
	for _, t := range b.Troubles {
		if (t.Who == who || t.Who == Everyone) && t.From <= until && (t.Until < 0 || t.Until >= from) {
			return true
		}
	}
	return false
}

// Everyone is who is in trouble in a closing fault.
const Everyone = "everyone"

// calm reports whether a node was in touch throughout a span.
func (b *books) calm(node string, from, until time.Duration) bool {
	from -= b.Limits.Contact
	return !b.inTrouble(node, from, until) && !b.inTrouble(Stores, from, until)
}

// outer reports whether a node itself was well while stores may not have been.
func (b *books) outer(node string, from, until time.Duration) bool {
	return !b.inTrouble(node, from-b.Limits.Contact, until)
}

// binds is from when on a table is in force at every node: the first time, long
// enough after its acknowledgement, by which all have been in touch.
func (b *books) binds(t *Table) time.Duration {
	at := t.Acked + b.Limits.Apply
	for _, n := range b.Nodes {
		for !b.calm(n, at, at) {
			at += 100 * time.Millisecond
			if at > b.End {
				return math.MaxInt64 / 4
			}
		}
	}
	return at
}

// rates: in every span of a window's length, what runs of a tenant stays within
// the largest limit that may have been in force.
func (b *books) rates() (list []Breach) {
	bound := map[*Table]time.Duration{}
	for _, t := range b.Tables {
		if t.IsAcked {
			bound[t] = b.binds(t)
		}
	}
	allowed := func(tenant string, from time.Duration) float64 {
		most, known := 0.0, false
		for _, t := range b.Tables {
			if t.Refused || t.Sent > from+b.Limits.Window {
				continue
			}
			superseded := false
			for newer, at := range bound {
				superseded = superseded || newer.Number > t.Number && at+b.Limits.Window <= from
			}
			if superseded {
				continue
			}
			if one, ok := t.Allowed[tenant]; ok {
				known = true
				most = max(most, one)
			} else if t.Valid {
				return math.Inf(1)
			}
		}
		if !known {
			return math.Inf(1)
		}
		return most*(1+b.Limits.Overshoot) + b.Limits.Slack
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
			if most := allowed(tenant, all[first]); float64(last-first) > most {
				list = append(list, breach(RuleRate, "%d requests of %s ran within %v from %v on, of %.1f", last-first, tenant, b.Limits.Window, all[first], most))
				break
			}
		}
	}
	return list
}

func (b *books) leaving() (list []Breach) {
	heard := map[string]time.Duration{}
	for _, w := range b.Words {
		if at, ok := heard[w.Replica]; !ok || w.At < at {
			heard[w.Replica] = w.At
		}
	}
	for _, a := range b.Arrivals {
		at, ok := heard[a.Replica]
		if ok && !a.Moved && a.At > at+b.Limits.Drain && b.calm(a.Node, at, a.At) {
			list = append(list, breach(RuleLeaving, "%s reached %s at %v by %s, and it was heard at %v that this one leaves", a.Attempt, a.Replica, a.At, a.Node, at))
		}
	}
	return list
}

// served: from the recovery time on a quarter of what may be served is, of all
// requests and of each kind that there are many of.
func (b *books) served() (list []Breach) {
	if b.Back == 0 {
		return nil
	}
	const many = 20
	whole, all := map[string]int{}, map[string]int{"": 0}
	for _, q := range b.Requests {
		if q.At <= b.Back+b.Limits.Recovery || q.Ended < 0 || q.Kind == "probe" || q.Outcome == Refused && q.Status != 503 {
			continue
		}
		for _, kind := range []string{"", q.Kind} {
			all[kind]++
			if q.Outcome == Whole {
				whole[kind]++
			}
		}
	}
	for _, kind := range ordered.Keys(all) {
		if (kind == "" || all[kind] >= many) && (all[kind] == 0 || whole[kind]*4 < all[kind]) {
			list = append(list, breach(RuleServed, "%d of %d requests %s were served from %v on, after the closing fault's end at %v", whole[kind], all[kind], kind, b.Back+b.Limits.Recovery, b.Back))
		}
	}
	return list
}

func (b *books) heldUp() (list []Breach) {
	for _, q := range b.Requests {
		if q.Arrived && q.LastStep == 0 && q.At+b.Limits.Longest < b.End && !b.inTrouble(q.Node, q.At, b.End) {
			list = append(list, breach(RuleHeld, "%s %s arrived at %s at %v and got no last step", q.Kind, q.Attempt, q.Node, q.At))
		}
	}
	return list
}
