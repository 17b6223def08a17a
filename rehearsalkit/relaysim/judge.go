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
	var list []Breach
	for _, rule := range []func() []Breach{b.ran, b.budgets, b.spent, b.kept, b.chains, b.answers, b.rates, b.tables, b.linear, b.handling, b.leaving, b.served, b.heldUp} {
		list = append(list, rule()...)
	}
	return list
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

// said is a turn's chain: what a turn that goes on from it must be given before
// its own input.
func (b *books) said(attempt, tenant string, depth int) (string, bool) {
	q := b.requests[attempt]
	if q == nil || q.Tenant != tenant || depth > 1000 {
		return "", false
	}
	before := ""
	if q.Previous != "" {
		var ok bool
		if before, ok = b.said(q.Previous, tenant, depth+1); !ok {
			return "", false
		}
	}
	output, whole := b.output(attempt)
	return before + q.Input + output, whole
}

// output joins what the runs of an attempt put out, and tells whether the last
// one came to its end.
func (b *books) output(attempt string) (string, bool) {
	var joined []string
	whole := false
	for _, run := range b.runs[attempt] {
		pieces := strings.SplitAfter(run.Output, "\n")
		for i, p := range pieces {
			if at := int(run.From) + i; p != "" && at == len(joined) {
				joined = append(joined, p)
			}
		}
		whole = whole || run.Whole
	}
	return strings.Join(joined, ""), whole
}

func (b *books) chains() (list []Breach) {
	for i := range b.Runs {
		run := &b.Runs[i]
		q := b.requests[run.Attempt]
		if q == nil {
			continue
		}
		want := q.Input
		if q.Previous != "" {
			before, ok := b.said(q.Previous, q.Tenant, 0)
			if !ok {
				list = append(list, breach(RuleChain, "%s ran at %v and goes on from %s, which is no turn of its tenant", run.Attempt, run.At, q.Previous))
				continue
			}
			want = before + want
		}
		if run.Text != want {
			list = append(list, breach(RuleChain, "%s ran at %v with %q and not with %q", run.Attempt, run.At, run.Text, want))
		}
	}
	return list
}

func (b *books) answers() (list []Breach) {
	for _, q := range b.Requests {
		if q.Outcome != Whole && q.Outcome != Failed {
			continue
		}
		if len(b.runs[q.Attempt]) == 0 {
			list = append(list, breach(RuleWhole, "%s was answered at %v and never ran", q.Attempt, q.Ended))
			continue
		}
		if output, whole := b.output(q.Attempt); q.Output != output || output != "" && !whole {
			list = append(list, breach(RuleWhole, "%s ended as whole at %v with %q, and was %q", q.Attempt, q.Ended, q.Output, output))
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

func (b *books) tables() (list []Breach) {
	onBase := map[uint64]*Table{}
	var newest *Table
	for _, t := range b.Tables {
		if !t.IsAcked {
			continue
		}
		if !t.Valid {
			list = append(list, breach(RuleRace, "table %d (%s) is invalid and was acknowledged at %v", t.Number, t.Mark, t.Acked))
		}
		if other := onBase[t.Base]; other != nil {
			list = append(list, breach(RuleRace, "tables %d (%s) and %d (%s) were both acknowledged on base %d", other.Number, other.Mark, t.Number, t.Mark, t.Base))
		}
		onBase[t.Base] = t
		if newest == nil || newest.Number < t.Number {
			newest = t
		}
	}
	for _, read := range b.Reads {
		if newest != nil && read.Number < newest.Number {
			list = append(list, breach(RuleLost, "table %d was read back at %v, and %d had been acknowledged", read.Number, read.At, newest.Number))
			continue
		}
		sent, refused := false, false
		for _, t := range b.Tables {
			if t.Number == read.Number && string(t.Text) == string(read.Text) {
				sent, refused = true, t.Refused || !t.Valid
			}
		}
		if !sent || refused {
			list = append(list, breach(RuleLost, "table %d was read back at %v: not what was sent under its number, or refused", read.Number, read.At))
		}
	}
	if newest != nil && len(b.Reads) == 0 && b.End > 0 {
		list = append(list, breach(RuleLost, "no table could be read back at the end"))
	}
	return list
}

// handled is one sign of which tables a node may have had in force.
type handled struct {
	request *Request
	at      time.Duration
	sent    time.Duration
	node    string
	life    int
	fits    func(t *Table) bool
	what    string
}

// signs lists what tells which tables were in force where.
func (b *books) signs() (list []handled) {
	for i := range b.Arrivals {
		a := &b.Arrivals[i]
		q := b.requests[a.Attempt]
		if q == nil || a.Moved {
			continue
		}
		list = append(list, handled{request: q, at: a.At, sent: q.At, node: a.Node, life: a.Life, what: "sent to " + a.Service + " as " + a.Tenant, fits: func(t *Table) bool {
			r, ok := t.route(q.Path)
			if !ok {
				return false
			}
			holder := t.Holders[q.Key]
			if holder != a.Tenant || holder == "" && !r.Open {
				return false
			}
			for _, s := range r.Services {
				if s == a.Service {
					return true
				}
			}
			return false
		}})
	}
	for _, q := range b.Requests {
		if q.Outcome != Refused {
			continue
		}
		var fits func(t *Table) bool
		switch {
		case q.Status == 404 && q.Previous == "":
			fits = func(t *Table) bool { _, ok := t.route(q.Path); return !ok }
		case q.Status == 401:
			fits = func(t *Table) bool {
				r, ok := t.route(q.Path)
				return ok && !r.Open && t.Holders[q.Key] == ""
			}
		case q.Status == 429 || q.Status == 402:
			fits = func(t *Table) bool {
				r, ok := t.route(q.Path)
				return ok && (r.Open || t.Holders[q.Key] != "")
			}
		default:
			continue
		}
		list = append(list, handled{request: q, at: q.Ended, sent: q.At, node: q.Node, life: q.Life, what: "answered " + statusText(q.Status), fits: fits})
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	return list
}

// handling judges by which tables requests were handled.
func (b *books) handling() (list []Breach) {
	type proof struct {
		at     time.Duration
		number uint64
	}
	proofs := map[string][]proof{}
	told := map[string]bool{}
	add := func(rule, life, format string, args ...any) {
		if !told[rule+life] {
			told[rule+life] = true
			list = append(list, breach(rule, format, args...))
		}
	}
	for _, s := range b.signs() {
		life := s.node + "/" + statusText(s.life)
		var lowest, highest uint64
		fits, any := 0, false
		for _, t := range b.byNumber {
			if t.Sent > s.at {
				continue
			}
			any = true
			if t.Refused || !t.Valid || !s.fits(t) {
				continue
			}
			if fits == 0 {
				lowest = t.Number
			}
			highest = t.Number
			fits++
		}
		if !any {
			continue
		}
		q := s.request
		if fits == 0 {
			add(RuleAllowed, life, "%s %s was %s at %v by %s, which no table that was handed over and not refused allows", q.Kind, q.Attempt, s.what, s.at, s.node)
			continue
		}
		for _, t := range b.byNumber {
			if !t.IsAcked || t.Number <= highest {
				continue
			}
			late := s.sent > t.Acked+b.Limits.Apply && b.calm(s.node, min(t.Acked, s.sent-b.Limits.Contact), s.at)
			late = late || s.sent > t.Acked+b.Limits.Apply+b.Limits.Outer && b.outer(s.node, t.Acked, s.at)
			if late {
				add(RuleFollow, life, "%s %s, sent at %v to %s, was %s, as only tables up to %d allow; %d had been acknowledged at %v", q.Kind, q.Attempt, s.sent, s.node, s.what, highest, t.Number, t.Acked)
				break
			}
		}
		for _, p := range proofs[life] {
			if p.number > highest && s.sent > p.at+b.Limits.Revert {
				add(RuleBack, life, "%s %s, sent at %v, was %s by %s, as only tables up to %d allow; the same life had shown %d at %v", q.Kind, q.Attempt, s.sent, s.what, s.node, highest, p.number, p.at)
				break
			}
		}
		if list := proofs[life]; len(list) == 0 || list[len(list)-1].number < lowest {
			proofs[life] = append(list, proof{at: s.at, number: lowest})
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
