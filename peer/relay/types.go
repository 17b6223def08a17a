// Package relay is the node that passes requests on by a routing table: it
// admits them by tenants' rates and programs' budgets, keeps histories, chooses
// replicas, and says what may have run. Its books are the cores'.
package relay

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
	"saffronfall/rule/placement"
)

// Horizon is the time left until a program should be done, where that is told.
type Horizon struct {
	Remaining time.Duration
	Known     bool
}

// Ask is a request that arrived whole.
type Request struct {
	Host, Path string
	Key        string
	HasKey     bool
	Attempt    string
	Program    string
	Session    string
	// Previous names the kept turn that this one goes on from.
	Previous string
	// Budget is what all turns of the program may put out, Most what this one
	// may.
	TokenBudget, MaxTokens int64
	PlacementHints
	Remaining time.Duration
	Horizon   Horizon
	Input     []byte
	Arrival
}

// Subject is what a request is about: the parts of its prompt, and the hash of the thing
// that it concerns; zero: not told.
type PlacementHints struct {
	Prompt   []placement.PromptSegment
	Affinity uint64
}

// Arrival is how a request came: the sizes of its parts, and when its head came, on
// the clock of the machine.
type Arrival struct {
	HeadBytes, BodyBytes int64
	HeadReceived         time.Duration
}

// Kinds of steps.
const (
	// StepRefuse: it has not run and never will.
	StepRefuse = "refuse"
	// StepSend: send it to a replica.
	StepSend = "send"
	// StepPass: what the replica answered may be ended and passed on.
	StepDeliver = "pass"
	// StepBreak: it may have run; nothing is promised.
	StepAbort = "break"
)

// Step is what is to be done next with a request.
type Step struct {
	Kind       string
	Status     int
	Check      string
	Reason     string
	RetryAfter time.Duration
	Replica    desk.Replica
	Service    string
	Tenant     string
	Urgency    int64
	// Before is what kept turns put before the input.
	History [][]byte
	// Kept asks for the output to be told with the outcome.
	ReturnOutput bool
	// Stream: the answer is a row of events. Resumable: it may be taken up.
	Stream, Resumable bool
	// Within is how long the replica may take.
	Timeout time.Duration
}

// Return hands a step to whoever waits under a ticket.
type TicketStep struct {
	Ticket uint64
	Step   Step
}

// Kinds of outcomes of one sending.
const (
	// NotRun: the replica promised that it did not run, or was never reached.
	OutcomeNotRun = "not run"
	// Broken: it may have run.
	OutcomeInterrupted = "broken"
	// Whole: the replica answered whole.
	OutcomeComplete = "whole"
)

// Load is what a replica said of its own load.
type Load = placement.LoadReport

// Outcome is what became of one sending.
type Outcome struct {
	Kind string
	// Moved: another replica answered at this address. Unreached: no
	// connection came up.
	AddressReused, Unreachable bool
	// Begun: the requester has had a part of the answer.
	Started bool
	Events  int64
	// Streamed is how long it took from the first event to the end.
	StreamDuration time.Duration
	// Output is what a kept turn put out.
	Output []byte
	// Failed: the answer is a failure, which keeps nothing. Status is the replica's.
	Failed bool
	Status int
	Load   *Load
	// Gone: the requester has gone away.
	RequesterGone bool
	// Cold counts a connection that had to be opened.
	NewConnection bool
}

// Send is a message for the process at an address.
type Send struct {
	To   string
	Body any
}

// Output is what a step of the machine wants done.
type Output struct {
	Sends []Send
	Steps []TicketStep
	// Ended tells of the requests that ended in this step.
	Completions []Completion
}

// Params bound a node's timing and room; all else are ratios to these.
type Params struct {
	Core core.Params
	// Beat is how often replicas announce themselves.
	HeartbeatInterval time.Duration
	// Follow is how often desks are asked for what was missed.
	FollowInterval time.Duration
	// Window is what tenants' rates are counted in; Overshoot and Slack are by
	// how much a window may pass its limit, of which half is used.
	RateWindow    time.Duration
	RateOvershoot float64
	RateSlack     int64
	// Placement names the parts of the policy by which replicas are chosen.
	Placement placement.Settings
	// LoadPeriod is how often nodes tell desks what they have at replicas, and desks
	// tell nodes; zero: never.
	LoadReportInterval time.Duration
	// ResendUnrun sends what surely did not run to further replicas beyond the
	// route's number.
	ResendUnrun bool
	// ShedOverload refuses late and new programs' turns while replicas have more to do
	// than they can.
	ShedOverload bool
	// Buffer is how many requests may be under way.
	MaxRequests int
	// Cache is how many bytes of kept turns are held.
	CacheBytes int64
	// BookKeep is how long a program's books are kept after its last turn.
	BookRetention time.Duration
}

// Counters are what a node counts, besides how requests ended.
type Counters struct {
	Requests, Sent, Completed, Interrupted, NotRun, Resent, Resumed           int64
	Turns, CacheHits, CacheMisses, Draws, DrawsAnswered, Updates, BadMessages int64
	NewConnections, BadDifferences, Settlements                               int64
}
