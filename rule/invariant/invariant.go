// Package invariant names the invariants of a running process and counts their violations.
//
// A check is one comparison at the place where the checked state changes, and is always
// enabled. In production a violation is counted, exported as a metric and logged once per
// invariant. In tests and soak runs it panics.
//
// A check repairs nothing and does not replace error handling. Faults of other processes,
// clients and replicas are no violations: an invariant is what this code guarantees despite
// them. Start reading at Reporter and Counter.
package invariant

import (
	"fmt"

	"saffronfall/rule/ordered"
)

// Name identifies an invariant in logs and metrics. Values that differ from their constants are
// fixed outer names: in them, "tries" are attempts and "paid" means covered by a grant.
type Name string

// Invariants of a node that relays requests.
const (
	// TableNeverOlder: an incarnation of a node never replaces its routing table by one
	// with a lower number.
	TableNeverOlder Name = "table_never_older"
	// RunsOnce: a request that must not run more than once is sent to no other replica
	// after it may have run.
	RunsOnce Name = "runs_once"
	// AttemptsWithinRoute: a request has at most as many attempts as its route allows.
	AttemptsWithinRoute Name = "tries_within_route"
	// RefusedNeverRan: a refused request has run at no replica and is not in flight.
	RefusedNeverRan Name = "refused_never_ran"
	// GrantedBeforeSent: each attempt for a tenant with a rate limit is covered by a grant
	// that was not used for another attempt that may have run.
	GrantedBeforeSent Name = "paid_before_sent"
	// SpentWithinGrant: a node spends no more of a tenant's rate than it was granted.
	SpentWithinGrant Name = "spent_within_grant"
	// ReservedBeforeSent: a turn with a budget is sent only after its reservation is
	// durable.
	ReservedBeforeSent Name = "reserved_before_sent"
	// LeavingNeverChosen: a replica that is known to be leaving is not chosen.
	LeavingNeverChosen Name = "leaving_never_chosen"
	// EndedByDeadline: no request is in flight long after its deadline.
	EndedByDeadline Name = "held_within_time"
	// EndedOnce: each request ends exactly once, with one cause.
	EndedOnce Name = "ended_once"
	// AnswerMatches: an answer is forwarded only to the requester of the attempt that it
	// names.
	AnswerMatches Name = "answer_matches"
	// TurnKeptUntilDeadline: a turn that this node received completely can be found until
	// its deadline.
	TurnKeptUntilDeadline Name = "turn_kept_for_its_time"
	// CountsAgree: a count that is kept in two ways has one value.
	CountsAgree Name = "counts_agree"
)

// Invariants of cores, the processes that store the replicated state.
const (
	// PromisedTermNeverLower: a replica of a partition never promises, nor accepts from, a
	// term below the one that it has promised.
	PromisedTermNeverLower Name = "promise_never_back"
	// AcknowledgedAfterSync: a message that depends on a write is sent only after the
	// write is synced.
	AcknowledgedAfterSync Name = "acknowledged_after_sync"
	// GrantedWithinLimit: a grant does not bring the outstanding and spent requests of a
	// tenant above its rate limit.
	GrantedWithinLimit Name = "granted_within_limit"
)

// Violation describes one violation of an invariant.
type Violation struct {
	Name   Name
	Detail string
}

// Error returns the name of the invariant and the details of the violation.
func (v Violation) Error() string { return "invariant " + string(v.Name) + " violated: " + v.Detail }

// Reporter handles violations. A nil Reporter panics.
type Reporter func(v Violation)

// Violated reports a violation whose details are formatted as by fmt.Sprintf.
func (r Reporter) Violated(name Name, format string, args ...any) {
	v := Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	if r == nil {
		panic(v)
	}
	r(v)
}

// Counter counts the violations in one process. It is not safe for concurrent use.
type Counter struct {
	// OnFirst, if not nil, is called at the first violation of each invariant.
	OnFirst func(v Violation)
	counts  map[Name]int64
}

// Report counts a violation. It can be used as a Reporter.
func (c *Counter) Report(v Violation) {
	if c.counts == nil {
		c.counts = map[Name]int64{}
	}
	c.counts[v.Name]++
	if c.counts[v.Name] == 1 && c.OnFirst != nil {
		c.OnFirst(v)
	}
}

// Each calls visit with the count of each violated invariant, in the order of their names.
func (c *Counter) Each(visit func(name Name, count int64)) {
	for _, name := range ordered.Keys(c.counts) {
		visit(name, c.counts[name])
	}
}

// Total returns the number of all violations.
func (c *Counter) Total() int64 {
	var total int64
	for _, n := range c.counts {
		total += n
	}
	return total
}
