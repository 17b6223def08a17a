// Package placement decides which replica a request goes to.
//
// A Replica holds what one node knows of one replica: its own sendings, what other
// nodes told of theirs, how often it failed of late, and which parts of prompts it has
// kept. A Policy compares some replicas by when a request would be done there. Nothing
// here reads a clock or draws a random number; both are handed in. Start reading at
// Policy.Choose.
package placement

import "time"

// Part is a piece of a prompt that a replica may have kept.
type Part struct {
	ID     uint64
	Tokens int64
}

// Report is what a replica said of its own load.
type Report struct {
	Running, Waiting, Slots int64
}

// Result is how one sending to a replica ended.
type Result int

// Results of sendings.
const (
	// Served: the replica answered whole.
	Served Result = iota
	// TurnedAway: the replica promised that it did not run the request.
	TurnedAway
	// Moved: another replica has the address.
	Moved
	// Failed: the replica was not reached, broke off, or answered with a fault of its
	// own.
	Failed
	// Abandoned: the requester went away; nothing is known of the replica.
	Abandoned
)

// Replica is what a node knows of one replica.
type Replica struct {
	ID      string
	Zone    string
	Slots   int64
	Warming bool

	// Outstanding is how many requests this node has there.
	Outstanding int64
	report      reported
	shared      shared
	own         FailureRate
	// movedUntil is how long another replica is known to have the address, fullUntil
	// how long it counts as full after it turned a request away.
	movedUntil, fullUntil time.Duration
	kept                  keptParts
	hashed                uint64
	// pace is how long it takes for a unit of work, by what all nodes saw; zero: not
	// known.
	pace    time.Duration
	lastUse lastUse
	// toTell is what ended here since other nodes were told of it.
	toTell Outcomes
}

// lastUse is when a request last ended at a replica: its connection may still be open.
type lastUse struct {
	at    time.Duration
	known bool
}

// reported is a replica's last own word of its load.
type reported struct {
	load Report
	at   time.Duration
	// since counts what this node has sent after it.
	since int64
	known bool
}

// shared is what other nodes told.
type shared struct {
	others  int64
	failing float64
	until   time.Duration
}

// Outcomes count how sendings ended.
type Outcomes struct {
	Served, Failed int64
	// Busy is the time that Units of work took.
	Busy  time.Duration
	Units int64
}

// NewReplica makes the record of a replica that nothing is known of yet.
func NewReplica() *Replica {
	return &Replica{kept: newKeptParts()}
}

// Sent notes that this node sends a request there, and which parts of its prompt the
// replica will keep within its room for them.
func (r *Replica) Sent(now time.Duration, prompt []Part, room int64) {
	r.Outstanding++
	r.report.since++
	r.kept.add(now, prompt, room)
}

// Ended notes how a sending ended. The load is what the replica said of it, or nil.
// Slots counts as full for a while where a request was turned away: for as long as one
// of its requests takes.
func (r *Replica) Ended(now time.Duration, result Result, load *Report, beat, service time.Duration) {
	r.Outstanding--
	r.lastUse = lastUse{at: now, known: true}
	if load != nil {
		r.report = reported{load: *load, at: now, known: true}
		if load.Slots > 0 {
			r.Slots = load.Slots
		}
	}
	switch result {
	case Served:
		r.own.Add(now, beat, 1, 0)
		r.toTell.Served++
	case Failed:
		r.own.Add(now, beat, 0, 1)
		r.toTell.Failed++
	case TurnedAway:
		r.turnedAway(now, beat, service)
	case Moved:
		r.movedUntil = now + beat
	}
}

// turnedAway tells a replica that is full, as its load says, from one that turns
// requests away though it has room: that is a failure.
func (r *Replica) turnedAway(now, beat, service time.Duration) {
	if r.Running(now, 0) >= r.slots() {
		r.fullUntil = now + service
		return
	}
	r.own.Add(now, beat, 0, 1)
	r.toTell.Failed++
}

// Share takes what other nodes have there and how often it fails for all, which holds
// until a moment.
func (r *Replica) Share(others int64, failing float64, until time.Duration) {
	r.shared = shared{others: others, failing: failing, until: until}
}

// Worked notes how long a replica took for units of work.
func (r *Replica) Worked(busy time.Duration, units int64) {
	r.toTell.Busy += busy
	r.toTell.Units += units
}

// TakeOutcomes returns what ended here since it was last called.
func (r *Replica) TakeOutcomes() Outcomes {
	told := r.toTell
	r.toTell = Outcomes{}
	return told
}

func (r *Replica) slots() int64 { return max(1, r.Slots) }

// Running estimates how many requests the replica has now. Its own word counts while it
// is fresh, with what this node has sent since; otherwise what other nodes told, with
// what this node has there.
func (r *Replica) Running(now, reportFresh time.Duration) int64 {
	running := r.Outstanding
	if now < r.shared.until {
		running += r.shared.others
	}
	if r.report.known && now <= r.report.at+reportFresh {
		running = max(running, r.report.load.Running+r.report.load.Waiting+r.report.since)
	}
	return running
}

// Failing estimates how likely the replica is to fail a request.
func (r *Replica) Failing(now, memory time.Duration) float64 {
	failing := r.own.At(now, memory)
	if now < r.shared.until {
		failing = max(failing, r.shared.failing)
	}
	return failing
}
