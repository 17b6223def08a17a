package judge

import (
	"fmt"
	"time"
)

// Shot is a piece of work that reached a back end.
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
	Tool         bool
	// Overran says that the replica gave more than it was asked for.
	OverLimit bool
}

// Turn is one turn of a history.
type Turn struct {
	Prompt string `json:"Say"`
	Answer string `json:"Got"`
}

// Asked is what a requester asked and got.
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

// Limits are what the rules are measured against, per tenant or overall.
type Limits struct {
	ProgramTokens int64
	TurnTokens    int64
	Rate          map[string]float64
	Burst         map[string]float64
	Retention     time.Duration
	// Late is how long what was learned may still be ignored.
	PropagationLimit time.Duration
	// DayTokens and Users are the limits of a tenant's day and of its users.
	DayTokens map[string]int64
	Users     map[string]UserLimits
	// MinuteDollars is the breaker's first threshold, Price that of a million
	// tokens of a service, in dollars.
	MinuteDollars float64
	Price         map[string]float64
	// Drift is by how much clocks may differ in their rates.
	ClockDrift float64
}

// UserLimits are what a tenant's users may do.
type UserLimits struct {
	PerMinute  int64
	Lockout    time.Duration
	Concurrent int64
	Session    time.Duration
	DayTokens  int64
}

// Leaving is a replica that said so, and when the first node got it.
type Leaving struct {
	At      time.Duration
	Replica string
}

// Probe is one look at which configuration is in force at a node, whatever its
// life: the version whose own key the node takes between two moments. The last
// probes are made when all has been mended for some time.
type Probe struct {
	At, Ended time.Duration
	Node      string
	Version   uint64
	Final     bool
}

// Restart is a process that was started again.
type Restart struct {
	At      time.Duration
	Process string
}

// Taken is a configuration that an operator was told is taken, or refused.
type Decision struct {
	At      time.Duration
	Version uint64
	ID      string
	Refused bool
	// Revoked is a tenant that has no key in it.
	RevokedTenant string
}

// Handed is a description that an operator began to hand over.
type Submission struct {
	At      time.Duration
	BasedOn uint64
}

// Record is all that was seen in a run.
type Record struct {
	Limits      Limits
	Attempts    []Attempt
	Requests    []Request
	Leaving     []Leaving
	Probes      []Probe
	Decisions   []Decision
	Submissions []Submission
	// Nodes are those that must follow the last configuration in the end.
	Nodes    []string
	Restarts []Restart
}

// Breach is a broken rule.
type Breach struct {
	Rule   int
	Detail string
}

func (b Breach) String() string { return fmt.Sprintf("rule %d: %s", b.Rule, b.Detail) }
