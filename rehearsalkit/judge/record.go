package judge

import (
	"fmt"
	"time"
)

// Attempt is one piece of work that reached a back end. Times count from the start of the
// run.
type Attempt struct {
	At           time.Duration
	Ended        time.Duration
	Service      string
	Replica      string
	Tenant       string
	Program      string
	Conversation string
	RequestID    string
	History      []Turn
	Text         string
	Tokens       int64
	MaxTokens    int64
	OnceKey      string
	// Tool marks a tool call.
	Tool bool
	// OverLimit marks an attempt whose replica produced more than MaxTokens.
	OverLimit bool
}

// Turn is one turn of the history that a replica receives.
type Turn struct {
	Prompt string `json:"Say"`
	Answer string `json:"Got"`
}

// Request is what a requester sent and received. Times count from the start of the run.
// Attempts and histories refer to its ID. Outcome is one of this package's constants. Ran is
// the response's statement on whether the request ran: "no" or "maybe".
type Request struct {
	At, Ended    time.Duration
	Kind         string
	Node         string
	Tenant       string
	User         string
	Program      string
	Conversation string
	ID           string
	Outcome      string
	Code         string
	Ran          string
	Status       int
	RetryAfter   time.Duration
	Text         string
	Tokens       int64
	OnceKey      string
	Service      string
}

// Limits are the limits that the rules check against. Maps are by tenant unless noted.
type Limits struct {
	ProgramTokens int64
	TurnTokens    int64
	// Rate is in attempts a second.
	Rate      map[string]float64
	Burst     map[string]float64
	Retention time.Duration
	// PropagationLimit is how long a change may take to reach all processes.
	PropagationLimit time.Duration
	// DayTokens is the daily limit of each tenant, Users the limits of its users.
	DayTokens map[string]int64
	Users     map[string]UserLimits
	// MinuteDollars is the breaker's first threshold, Price each service's price in dollars
	// per million tokens.
	MinuteDollars float64
	Price         map[string]float64
	// ClockDrift is the largest relative difference between the rates of two clocks.
	ClockDrift float64
}

// UserLimits are the limits of each user of a tenant.
type UserLimits struct {
	PerMinute  int64
	Lockout    time.Duration
	Concurrent int64
	Session    time.Duration
	DayTokens  int64
}

// Leaving records when a node first received a replica's announcement that it leaves.
type Leaving struct {
	At      time.Duration
	Replica string
}

// Probe is the version in force at a node, across its restarts: the node accepted this
// version's own key between At and Ended. Final probes follow some time after all faults.
type Probe struct {
	At, Ended time.Duration
	Node      string
	Version   uint64
	Final     bool
}

// Restart is the restart of a process.
type Restart struct {
	At      time.Duration
	Process string
}

// Decision is the answer to an operator's configuration: accepted or refused.
type Decision struct {
	At      time.Duration
	Version uint64
	ID      string
	Refused bool
	// RevokedTenant is a tenant that has no key in this configuration.
	RevokedTenant string
}

// Submission is a configuration that an operator began to send, based on a version.
type Submission struct {
	At      time.Duration
	BasedOn uint64
}

// Record holds everything observed in a run.
type Record struct {
	Limits      Limits
	Attempts    []Attempt
	Requests    []Request
	Leaving     []Leaving
	Probes      []Probe
	Decisions   []Decision
	Submissions []Submission
	// Nodes are the nodes that must have the last accepted configuration at the end.
	Nodes    []string
	Restarts []Restart
	// InFlight counts the unfinished requests by their once-key.
	InFlight map[string]int
}

// Breach is a violation of a rule.
type Breach struct {
	Rule   int
	Detail string
}

func (b Breach) String() string { return fmt.Sprintf("rule %d: %s", b.Rule, b.Detail) }
