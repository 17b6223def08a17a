// Package invariant names what must hold in a running process whatever fails
// around it, and counts where it did not. Checks stand in the code where the state
// that they speak of changes, cost one comparison while they hold, and are on
// everywhere: in production a violation is counted, logged once for each name and
// exported with the metrics; in tests and soak runs it panics.
//
// A check never repairs anything and is no substitute for handling an error. What
// other processes, requesters or replicas may do wrong is no violation; what this
// code must not do, given all that they do, is.
package invariant

import (
	"fmt"

	"saffronfall/rule/ordered"
)

// Name is one invariant.
type Name string

// Invariants of a node that relays requests.
const (
	// TableNeverOlder: within one life, the routing table in force is never
	// replaced by one with a lower number.
	TableNeverOlder Name = "table_never_older"
	// RunsOnce: a request that may run once is sent to no further replica once it
	// may have run.
	RunsOnce Name = "runs_once"
	// TriesWithinRoute: a request is sent to no more replicas than its route allows.
	TriesWithinRoute Name = "tries_within_route"
	// RefusedNeverRan: a request that is refused has run nowhere and is not under
	// way.
	RefusedNeverRan Name = "refused_never_ran"
	// PaidBeforeSent: each sending of a tenant with a rate is covered by a grant
	// that was not used for another one that may have run.
	PaidBeforeSent Name = "paid_before_sent"
	// SpentWithinGrant: a node spends no more of a tenant's rate than it was granted.
	SpentWithinGrant Name = "spent_within_grant"
	// ReservedBeforeSent: a turn with a budget is sent only when its reservation is
	// durable.
	ReservedBeforeSent Name = "reserved_before_sent"
	// LeavingNeverChosen: a replica that is known to leave is not chosen.
	LeavingNeverChosen Name = "leaving_never_chosen"
	// HeldWithinTime: no request is under way long after its time has ended.
	HeldWithinTime Name = "held_within_time"
	// EndedOnce: each request ends once, by one cause.
	EndedOnce Name = "ended_once"
	// AnswerMatches: an answer is passed on to the requester of the attempt that it
	// names.
	AnswerMatches Name = "answer_matches"
	// TurnKeptForItsTime: a turn that came whole at this node is found until its time is
	// over.
	TurnKeptForItsTime Name = "turn_kept_for_its_time"
	// CountsAgree: counts kept in two ways agree.
	CountsAgree Name = "counts_agree"
)

// Invariants of cores.
const (
	// PromiseNeverBack: a replica of a partition never promises, nor accepts from, a
	// term below the one that it promised.
	PromiseNeverBack Name = "promise_never_back"
	// AcknowledgedAfterSync: what rests on a write leaves the process only once that
	// write is synced.
	AcknowledgedAfterSync Name = "acknowledged_after_sync"
	// GrantedWithinLimit: what is out and spent of a tenant's rate stays within its
	// limit when more is granted.
	GrantedWithinLimit Name = "granted_within_limit"
)

// Violation is one case in which an invariant did not hold.
type Violation struct {
	Name   Name
	Detail string
}

// Error says which one, and what was seen.
func (v Violation) Error() string { return "invariant " + string(v.Name) + " violated: " + v.Detail }

// Report takes violations. Machines are handed one; without one, a violation panics.
type Report func(v Violation)

// Violated reports a violation.
func (r Report) Violated(name Name, format string, args ...any) {
	v := Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	if r == nil {
		panic(v)
	}
	r(v)
}

// Counts counts the violations of one process. It belongs to the goroutine that
// owns the state which is checked.
type Counts struct {
	// First is called at the first violation of each name.
	First  func(v Violation)
	counts map[Name]int64
}

// Report counts a violation.
func (c *Counts) Report(v Violation) {
	if c.counts == nil {
		c.counts = map[Name]int64{}
	}
	c.counts[v.Name]++
	if c.counts[v.Name] == 1 && c.First != nil {
		c.First(v)
	}
}

// Each tells the count of every invariant that was violated, by name.
func (c *Counts) Each(tell func(name Name, count int64)) {
	for _, name := range ordered.Keys(c.counts) {
		tell(name, c.counts[name])
	}
}

// Total is how many violations there were.
func (c *Counts) Total() int64 {
	var total int64
	for _, n := range c.counts {
		total += n
	}
	return total
}
