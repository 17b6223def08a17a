// Package invariant names the invariants of a running process and counts their violations.
//
// A check is one comparison where the checked state changes. It is always enabled and repairs
// nothing. In production violations are counted and logged once per invariant; in tests they
// panic. Invariants hold despite faults of other processes, requesters and replicas. Start reading
// at Reporter and Counter.
package invariant

import (
	"fmt"

	"saffronfall/rule/ordered"
)

// Name is the fixed name of an invariant in logs and metrics. In names, "tries" means attempts
// and "paid" means granted.
type Name string

// Invariants of a node that relays requests.
const (
	// TableNeverOlder: table numbers never decrease within one incarnation of a node.
	TableNeverOlder Name = "table_never_older"
	// RunsOnce: a request that must not run twice is sent nowhere else once it may have run.
	RunsOnce Name = "runs_once"
	// AttemptsWithinRoute: a request has no more attempts than its route allows.
	AttemptsWithinRoute Name = "tries_within_route"
	// RefusedNeverRan: a refused request has not run and is not in flight.
	RefusedNeverRan Name = "refused_never_ran"
	// GrantedBeforeSent: an attempt under a rate limit is sent only with a grant that no other
	// attempt may have used.
	GrantedBeforeSent Name = "paid_before_sent"
	// SpentWithinGrant: a node spends no more of a rate limit than it was granted.
	SpentWithinGrant Name = "spent_within_grant"
	// ReservedBeforeSent: a turn with a budget is sent only after its reservation is durable.
	ReservedBeforeSent Name = "reserved_before_sent"
	// ClaimedBeforeSent: an operation with a key is sent only under a durable claim on the key.
	ClaimedBeforeSent Name = "claimed_before_sent"
	// LeavingNeverChosen: a replica known to be leaving is not chosen.
	LeavingNeverChosen Name = "leaving_never_chosen"
	// EndedByDeadline: no request is in flight long after its deadline.
	EndedByDeadline Name = "held_within_time"
	// EndedOnce: each request ends exactly once, with one cause.
	EndedOnce Name = "ended_once"
	// AnswerMatches: an answer goes only to the requester of the attempt that it names.
	AnswerMatches Name = "answer_matches"
	// TurnKeptUntilDeadline: a turn received completely can be found until its deadline.
	TurnKeptUntilDeadline Name = "turn_kept_for_its_time"
	// CountsAgree: two ways of keeping a count give one value.
	CountsAgree Name = "counts_agree"
)

// Invariants of cores, the processes that store the replicated state.
const (
	// PromisedTermNeverLower: a replica promises or accepts no term below its promised one.
	PromisedTermNeverLower Name = "promise_never_back"
	// AcknowledgedAfterSync: a message is sent only after the sync of writes it depends on.
	AcknowledgedAfterSync Name = "acknowledged_after_sync"
	// GrantedWithinLimit: outstanding and spent requests stay within the rate limit.
	GrantedWithinLimit Name = "granted_within_limit"
)

// Violation describes one violation of an invariant.
type Violation struct {
	Name   Name
	Detail string
}

// Error implements error.
func (v Violation) Error() string { return "invariant " + string(v.Name) + " violated: " + v.Detail }

// Reporter handles violations. A nil Reporter panics.
type Reporter func(v Violation)

// Violated reports a violation with details formatted as by fmt.Sprintf.
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

// Report counts a violation; it is a Reporter.
func (c *Counter) Report(v Violation) {
	if c.counts == nil {
		c.counts = map[Name]int64{}
	}
	c.counts[v.Name]++
	if c.counts[v.Name] == 1 && c.OnFirst != nil {
		c.OnFirst(v)
	}
}

// Each calls visit for each violated invariant in the order of their names.
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
