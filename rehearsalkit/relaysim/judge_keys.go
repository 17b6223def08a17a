package relaysim

import (
	"sort"
	"time"

	"saffronfall/rule/ordered"
)

// Rules on operation keys.
const (
	RuleKeyRunsOnce     = "an operation runs once in its key's window"
	RuleFirstAnswer     = "a repeat gets the first run's answer"
	RuleRepeatAnswered  = "a calm repeat of an answered operation is answered"
	RuleInProgressEnds  = "in progress no longer than the first attempt"
	RuleKeyedServed     = "keyed requests are served in calm times"
	statusKeyInProgress = 409
	statusKeyUncertain  = 502
)

const (
	// inProgressGrace is how long after the first attempt's deadline an operation may be reported
	// as in progress: a run goes on when its node is lost, and a claim takes time to be stored.
	inProgressGrace = 2 * time.Second
	// electionGrace is the time after a disruption in which the cores elect leaders.
	electionGrace = time.Second
	// settledAnswer is the time after an answer in which its outcome is stored.
	settledAnswer = time.Second
)

// keyedOperation is what happened to one operation of a tenant, ordered by time.
type keyedOperation struct {
	tenant, name string
	attempts     []*Request
	runs         []*Execution
}

func (b *recordIndex) keyedOperations() (list []*keyedOperation) {
	byName := map[[2]string]*keyedOperation{}
	for _, q := range b.Requests {
		if q.Operation == "" {
			continue
		}
		name := [2]string{q.Tenant, q.Operation}
		o := byName[name]
		if o == nil {
			o = &keyedOperation{tenant: q.Tenant, name: q.Operation}
			byName[name] = o
			list = append(list, o)
		}
		o.attempts = append(o.attempts, q)
		o.runs = append(o.runs, b.runs[q.Attempt]...)
	}
	for _, o := range list {
		sort.SliceStable(o.runs, func(i, j int) bool { return o.runs[i].At < o.runs[j].At })
	}
	return list
}

// checkKeys checks all rules on operation keys.
func (b *recordIndex) checkKeys() (list []Breach) {
	operations := b.keyedOperations()
	for _, o := range operations {
		list = append(list, b.checkRunsOnce(o)...)
		list = append(list, b.checkFirstAnswer(o)...)
		list = append(list, b.checkRepeatAnswered(o)...)
		list = append(list, b.checkInProgress(o)...)
	}
	return append(list, b.checkKeyedServed(operations)...)
}

// checkRunsOnce measures the window from when the first run was sent. At a service with its own
// record, a run that broke off does not count.
func (b *recordIndex) checkRunsOnce(o *keyedOperation) (list []Breach) {
	var first *Execution
	for _, run := range o.runs {
		if deduplicates(run.Service) && !run.Complete {
			continue
		}
		if first != nil && run.At < first.Sent+b.Limits.KeyWindow {
			list = append(list, breach(RuleKeyRunsOnce, "%s of %s ran for %s at %v at %s, sent at %v by %s, and again for %s at %v at %s, sent at %v by %s",
				o.name, o.tenant, first.Attempt, first.At, first.Service, first.Sent, first.Node,
				run.Attempt, run.At, run.Service, run.Sent, run.Node))
		}
		first = run
	}
	return list
}

// checkFirstAnswer checks that every answer is that of a run of the operation; checkRunsOnce
// leaves no choice of runs within a window. An attempt answered as in progress must not run.
func (b *recordIndex) checkFirstAnswer(o *keyedOperation) (list []Breach) {
	for _, q := range o.attempts {
		if q.Outcome == Refused && q.Status == statusKeyInProgress && len(b.runs[q.Attempt]) > 0 {
			list = append(list, breach(RuleRefusedNotRun, "%s %s was answered %d at %v and ran at %v",
				q.Kind, q.Attempt, q.Status, q.Ended, b.runs[q.Attempt][0].At))
		}
		if q.Outcome != Complete && q.Outcome != Failed {
			continue
		}
		found := false
		for _, run := range o.runs {
			found = found || run.Complete && run.At <= q.Ended && run.Output == q.Output
		}
		if !found {
			list = append(list, breach(RuleFirstAnswer, "%s of %s, attempt %s, was answered at %v with %q, which no run returned",
				o.name, o.tenant, q.Attempt, q.Ended, q.Output))
		}
	}
	return list
}

// checkRepeatAnswered checks that an attempt is not told that the outcome is unknown or pending
// if an earlier one was answered and everything was undisturbed since.
func (b *recordIndex) checkRepeatAnswered(o *keyedOperation) (list []Breach) {
	for _, first := range o.attempts {
		if first.Outcome != Complete || len(first.Output) > maxKeyResponse {
			continue
		}
		for _, q := range o.attempts {
			if q.Outcome != Refused || q.Status != statusKeyUncertain && q.Status != statusKeyInProgress ||
				q.At < first.Ended+settledAnswer || len(o.runs) == 0 || q.Ended > o.runs[0].Sent+b.Limits.KeyWindow ||
				!b.contactUndisturbed(first.Node, first.At, q.Ended) || !b.contactUndisturbed(q.Node, first.At, q.Ended) {
				continue
			}
			list = append(list, breach(RuleRepeatAnswered, "%s of %s was answered at %v, and attempt %s at %s at %v with %d (%s)",
				o.name, o.tenant, first.Ended, q.Attempt, q.Node, q.Ended, q.Status, q.Check))
		}
	}
	return list
}

// checkInProgress checks that an attempt that is told of another one in progress is told so within
// that one's time. The cores' clock may stand still while stores are disrupted.
func (b *recordIndex) checkInProgress(o *keyedOperation) (list []Breach) {
	for _, q := range o.attempts {
		if q.Outcome != Refused || q.Status != statusKeyInProgress {
			continue
		}
		justified, latest := false, time.Duration(0)
		for _, other := range o.attempts {
			if other == q || other.At > q.Ended || !mayHoldKey(other) {
				continue
			}
			until := other.At + other.Deadline
			if other.Outcome == Refused && other.Status == 429 {
				// It released its claim when it got no unit of its tenant's rate.
				until = other.Ended
			}
			until += inProgressGrace + b.storeDisruption(other.At, q.Ended)
			justified, latest = justified || q.Ended <= until, max(latest, until)
		}
		if !justified {
			list = append(list, breach(RuleInProgressEnds, "%s of %s: attempt %s at %s was answered %d at %v, and every other attempt's time with grace ended by %v",
				o.name, o.tenant, q.Attempt, q.Node, q.Status, q.Ended, latest))
		}
	}
	return list
}

// mayHoldKey reports whether an attempt may have claimed its key.
func mayHoldKey(q *Request) bool {
	if !q.Arrived || q.Outcome != Refused {
		return q.Arrived
	}
	return q.Status == statusKeyUncertain || q.Status == 429 || q.Status == 503
}

// storeDisruption is how long the cores' clock may have stood still in an interval: while stores
// were disrupted, and the time of an election after each disruption.
func (b *recordIndex) storeDisruption(from, until time.Duration) (sum time.Duration) {
	for _, d := range b.Disruptions {
		if d.Machine != AnyStore && d.Machine != AllMachines {
			continue
		}
		end := until
		if d.Until >= 0 {
			end = min(until, d.Until+electionGrace)
		}
		sum += max(0, end-max(from, d.From))
	}
	return sum
}

// checkKeyedServed checks that at least a quarter of the first attempts in undisturbed times is
// served, of each kind, not counting those beyond their tenant's rate.
func (b *recordIndex) checkKeyedServed(operations []*keyedOperation) (list []Breach) {
	const minRequests = 20
	served, all := map[string]int{}, map[string]int{}
	for _, o := range operations {
		q := o.attempts[0]
		if q.Ended < 0 || q.Outcome == Refused && q.Status == 429 || !b.contactUndisturbed(q.Node, q.At, q.Ended) {
			continue
		}
		all[q.Kind]++
		if q.Outcome == Complete {
			served[q.Kind]++
		}
	}
	for _, kind := range ordered.Keys(all) {
		if all[kind] >= minRequests && served[kind]*4 < all[kind] {
			list = append(list, breach(RuleKeyedServed, "%d of %d first attempts %s were served in undisturbed times", served[kind], all[kind], kind))
		}
	}
	return list
}
