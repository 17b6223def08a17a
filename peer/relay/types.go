// Package relay is the state machine of a relay node, which forwards requests to replicas by a
// routing table. It does no I/O and has no clock: every call takes the current time and returns an
// Output for the caller to carry out. Rates, budgets and histories are durable at the cores. Start
// reading at Machine and HandleRequest.
//
// Its main invariants: a request that may have run is never refused, and is sent again only on a
// route that allows it; a request is sent only after its rate was charged and its budget reserved;
// a leaving replica is not chosen; an older routing table never replaces a newer one.
package relay

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/rule/placement"
)

// Horizon is the time left until the program of a request should be done, if known.
type Horizon struct {
	Remaining time.Duration
	Known     bool
}

// Request is a request whose body has been received in full.
type Request struct {
	Host, Path string
	// Key is the tenant's key; HasKey is false if the header is missing.
	Key    string
	HasKey bool
	// Attempt is the requester's ID, which need not be unique.
	Attempt string
	Operation
	// Previous is the attempt ID of the stored turn that this one continues.
	Previous string
	// TokenBudget limits the output of all turns of the program, MaxTokens that of this one, in
	// tokens.
	TokenBudget, MaxTokens int64
	PlacementHints
	// Remaining is the time left until the requester's deadline, negative if it has passed, zero
	// if it set none.
	Remaining time.Duration
	Horizon   Horizon
	// Input is the body.
	Input []byte
	Arrival
}

// Operation names what a request belongs to.
type Operation struct {
	// OperationKey is the same for all attempts of a requester at one operation.
	OperationKey     string
	Program, Session string
}

// PlacementHints say which replicas suit a request. Affinity is the hash of its affinity key, which
// is zero if none was given.
type PlacementHints struct {
	Prompt   []placement.PromptSegment
	Affinity uint64
}

// Arrival is the size of a request in bytes and the time when its head was received, on the
// machine's clock.
type Arrival struct {
	HeadBytes, BodyBytes int64
	HeadReceived         time.Duration
}

// Kinds of steps.
const (
	// StepRefuse answers with a refusal: the request has not run and will not.
	StepRefuse = "refuse"
	// StepSend sends the request to a replica.
	StepSend = "send"
	// StepDeliver completes the replica's response to the requester.
	StepDeliver = "pass"
	// StepReplay answers with the stored response of an earlier attempt at the operation.
	StepReplay = "replay"
	// StepAbort ends a request that may have run.
	StepAbort = "break"
)

// Step is the next action for a request.
type Step struct {
	Kind string
	// Status, Check, Reason and RetryAfter describe a refusal or an abort.
	Status     int
	Check      string
	Reason     string
	RetryAfter time.Duration
	// The fields below are for StepSend. Replica is where it sends the request.
	Replica registry.Replica
	Service string
	Tenant  string
	// Urgency 0 is the most urgent.
	Urgency int64
	// History holds the inputs and outputs of previous turns, oldest first. The replica gets them
	// before the input.
	History [][]byte
	// ReturnOutput asks for the response body in Outcome.Output.
	ReturnOutput bool
	// Stream: the response is an event stream. Resumable: another replica may continue it.
	Stream, Resumable bool
	Timeout           time.Duration
	KeyedStep
}

// KeyedStep is the part of a step for requests with an operation key.
type KeyedStep struct {
	// RunToEnd: the attempt continues when the requester disconnects, and its response is returned
	// in Outcome.Response.
	RunToEnd bool
	// Response is what StepReplay answers with.
	Response *core.KeyResponse
}

// TicketStep is the next step of the request with the given ticket.
type TicketStep struct {
	Ticket uint64
	Step   Step
}

// Kinds of outcomes of one attempt at a replica.
const (
	// OutcomeNotRun: the replica promised that the request did not run, or was never reached.
	OutcomeNotRun = "not run"
	// OutcomeInterrupted: the response is incomplete; the request may have run.
	OutcomeInterrupted = "broken"
	// OutcomeComplete: the response is complete.
	OutcomeComplete = "whole"
)

// Load is what a replica reports of its own load.
type Load = placement.LoadReport

// Outcome is the result of one attempt at a replica.
type Outcome struct {
	Kind string
	// AddressReused: another replica answered here. Unreachable: no connection was established.
	AddressReused, Unreachable bool
	// InProgress: the replica did not run the request because its service is running the
	// operation already.
	InProgress bool
	// Started: the requester has received part of the response. Events counts events with data.
	Started bool
	Events  int64
	// StreamDuration lasts from the first event to the end.
	StreamDuration time.Duration
	// Output is the response body, if the step asked for it.
	Output []byte
	// Response is the complete response, if the step asked for it.
	Response *core.KeyResponse
	// Failed: the response reports a failure, so its turn isn't stored. Status is the replica's.
	Failed                bool
	Status                int
	Load                  *Load
	RequesterDisconnected bool
	NewConnection         bool
}

// Send is a message to the process at an address.
type Send struct {
	To   string
	Body any
}

// Output lists the actions that the caller carries out after a call of the machine.
type Output struct {
	Sends       []Send
	Steps       []TicketStep
	Completions []Completion
	// UnreadableTable is an accepted table that was dropped, because this version cannot read it;
	// nil if there is none.
	UnreadableTable *registry.Refusal
}

// Params are the intervals, limits and policies of a node.
type Params struct {
	Core core.Params
	// HeartbeatInterval is the time between two heartbeats of a replica.
	HeartbeatInterval time.Duration
	// UpdateInterval is the time between two requests for updates to each registry.
	UpdateInterval time.Duration
	// RateWindow is the sliding window of tenants' rates. It may exceed its limit by the fraction
	// RateOvershoot and by RateSlack requests.
	RateWindow    time.Duration
	RateOvershoot float64
	RateSlack     int64
	Placement     placement.Settings
	// LoadReportInterval is the time between load reports to and from registries; zero disables
	// them.
	LoadReportInterval time.Duration
	// ResendUnrun excludes attempts that certainly did not run from the route's limit.
	ResendUnrun bool
	// ShedOverload refuses late or new turns of programs while the replicas are overloaded.
	ShedOverload bool
	// MaxRequests limits the requests in progress.
	MaxRequests int
	// CacheBytes limits the cache of stored turns.
	CacheBytes int64
	// HistoryBytes limits the stored turns that requests under way continue; zero means
	// defaultHistoryBytes.
	HistoryBytes int64
	// BudgetRetention is how long a program's budget is stored after its last turn.
	BudgetRetention time.Duration
	KeyParams
}

// KeyParams bound what is stored of operation keys.
type KeyParams struct {
	// KeyWindow is how long after an operation was sent its key is stored.
	KeyWindow time.Duration
	// MaxKeyResponse is the size in bytes up to which responses are stored.
	MaxKeyResponse int64
}

// Counters count events since the start. Draws counts commands, DrawsAnswered tenants' answers.
type Counters struct {
	Requests, Sent, Completed, Interrupted, NotRun, Resent, Resumed           int64
	Turns, CacheHits, CacheMisses, Draws, DrawsAnswered, Updates, BadMessages int64
	NewConnections, BadDifferences, Settlements                               int64
}
