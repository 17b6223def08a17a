// Package placement chooses the replica that serves a request.
//
// A Replica is one node's view of a replica: its load, failures and cached prompt segments. A
// Policy compares replicas by the estimated cost of a request. The package reads no clock and
// has no source of randomness; the caller passes in both. Start reading at Policy.Choose.
package placement

import "time"

// PromptSegment is the unit in which replicas cache prompts.
type PromptSegment struct {
	ID     uint64
	Tokens int64
}

// LoadReport is a replica's report of its own load, in requests.
type LoadReport struct {
	Running, Waiting, Slots int64
}

// Result is the result of one attempt at a replica.
type Result int

// Results of attempts.
const (
	// Served means that the replica returned a complete answer.
	Served Result = iota
	// Rejected means that the replica guarantees not to have run the request.
	Rejected
	// Moved means that the address now belongs to another replica.
	Moved
	// Failed means an unreachable replica, a connection closed early or a server error.
	Failed
	// Canceled means that the requester disconnected. It says nothing about the replica.
	Canceled
)

// Replica is a node's view of one replica. Slots is the number of requests that it runs at a
// time. Warming means that it has just started.
type Replica struct {
	ID      string
	Zone    string
	Slots   int64
	Warming bool

	// Outstanding is the number of this node's requests in flight.
	Outstanding int64
	report      receivedReport
	shared      sharedLoad
	failures    FailureRate
	// Until movedUntil the replica's address is assumed to belong to another replica.
	movedUntil time.Duration
	// Until fullUntil the replica counts as full, as it has rejected a request.
	fullUntil time.Duration
	cache     promptCache
	idHash    uint64
	// unitTime is aggregated over all nodes; zero if unknown.
	unitTime time.Duration
	lastUse  lastUse
	// unreported are the outcomes since the last TakeOutcomes.
	unreported Outcomes
}

type lastUse struct {
	at    time.Duration
	known bool
}

type receivedReport struct {
	load LoadReport
	at   time.Duration
	// sentSince counts this node's requests after the report.
	sentSince int64
	known     bool
}

// sharedLoad is what other nodes reported of a replica.
type sharedLoad struct {
	outstanding int64
	failureRate float64
	validUntil  time.Duration
}

// Outcomes count the outcomes of attempts at a replica.
type Outcomes struct {
	Served, Failed int64
	// Busy is the time that Units of work took.
	Busy  time.Duration
	Units int64
}

// NewReplica returns the view of a replica that nothing is known of.
func NewReplica() *Replica {
	return &Replica{cache: newPromptCache()}
}

// RecordSent records that this node sent a request with the given prompt. The capacity of the
// replica's cache is in tokens.
func (r *Replica) RecordSent(now time.Duration, prompt []PromptSegment, cacheCapacity int64) {
	r.Outstanding++
	r.report.sentSince++
	r.cache.add(now, prompt, cacheCapacity)
}

// RecordResult records the result of an attempt. The load is the report that came with the answer,
// or nil.
func (r *Replica) RecordResult(now time.Duration, result Result, load *LoadReport, heartbeat, serviceTime time.Duration) {
	r.Outstanding--
	r.lastUse = lastUse{at: now, known: true}
	if load != nil {
		r.report = receivedReport{load: *load, at: now, known: true}
		if load.Slots > 0 {
			r.Slots = load.Slots
		}
	}
	switch result {
	case Served:
		r.failures.Add(now, heartbeat, 1, 0)
		r.unreported.Served++
	case Failed:
		r.failures.Add(now, heartbeat, 0, 1)
		r.unreported.Failed++
	case Rejected:
		r.recordRejection(now, heartbeat, serviceTime)
	case Moved:
		r.movedUntil = now + heartbeat
	}
}

// recordRejection counts a rejection despite free slots as a failure: otherwise the replica would
// look idle and attract all requests. A full replica counts as full for one service time.
func (r *Replica) recordRejection(now, heartbeat, serviceTime time.Duration) {
	if r.Running(now, 0) >= r.slots() {
		r.fullUntil = now + serviceTime
		return
	}
	r.failures.Add(now, heartbeat, 0, 1)
	r.unreported.Failed++
}

// SetShared sets the outstanding requests of other nodes and the failure rate over all nodes.
// Both are ignored from validUntil on.
func (r *Replica) SetShared(outstanding int64, failureRate float64, validUntil time.Duration) {
	r.shared = sharedLoad{outstanding: outstanding, failureRate: failureRate, validUntil: validUntil}
}

// RecordWork records the time that the replica took for units of work.
func (r *Replica) RecordWork(busy time.Duration, units int64) {
	r.unreported.Busy += busy
	r.unreported.Units += units
}

// TakeOutcomes returns the outcomes since its previous call.
func (r *Replica) TakeOutcomes() Outcomes {
	outcomes := r.unreported
	r.unreported = Outcomes{}
	return outcomes
}

func (r *Replica) slots() int64 { return max(1, r.Slots) }

// Running estimates the number of requests of all nodes at the replica. Its own report, if not
// older than reportValidity, plus the requests sent since is a lower bound.
func (r *Replica) Running(now, reportValidity time.Duration) int64 {
	running := r.Outstanding
	if now < r.shared.validUntil {
		running += r.shared.outstanding
	}
	if r.report.known && now <= r.report.at+reportValidity {
		running = max(running, r.report.load.Running+r.report.load.Waiting+r.report.sentSince)
	}
	return running
}

// FailureRate estimates the fraction of failing requests, from 0 to 1. It is the higher of this
// node's estimate and the shared one.
func (r *Replica) FailureRate(now, timeConstant time.Duration) float64 {
	rate := r.failures.At(now, timeConstant)
	if now < r.shared.validUntil {
		rate = max(rate, r.shared.failureRate)
	}
	return rate
}
