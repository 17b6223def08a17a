package relaysim

import (
	"fmt"
	"time"

	"saffronfall/rule/invariant"
)

// Outcomes of a request at its requester. The values are part of printed labels.
const (
	Complete    = "whole"
	Failed      = "failed"
	Refused     = "refused"
	Closed      = "closed"
	GaveUp      = "gave up"
	Unreachable = "unreached"
)

// Request is one attempt of a request, as its requester saw it. Ended is negative while it is
// pending; LastStep is when the node's last step came, zero before.
type Request struct {
	At, Ended time.Duration
	Node      string
	// Incarnation is the node's at arrival; Arrived means the node has read the whole request.
	Incarnation int
	Arrived     bool
	LastStep    time.Duration
	Kind        string
	Path        string
	Attempt     string
	Key         string
	Tenant      string
	Program     string
	Previous    string
	Input       string
	Budget      int64
	MaxTokens   int64
	Deadline    time.Duration
	// Status goes with a refusal.
	Outcome string
	Status  int
	// Tokens and Output are what the requester received.
	Tokens int64
	Output string
	KeyedCall
	AnswerDetails
}

// AnswerDetails say more of a request's answer. Check is for diagnosis only.
type AnswerDetails struct {
	Check      string
	RetryAfter time.Duration
	failed     bool
}

// Arrival is a request that reached a replica, run or not. Misdirected means that it was meant for
// another replica.
type Arrival struct {
	At, Sent         time.Duration
	Replica, Service string
	Node             string
	Incarnation      int
	Attempt, Tenant  string
	Misdirected      bool
}

// Execution is a request that a replica began to run. Text is its whole input; FirstEvent is the
// number of events that earlier executions had streamed.
type Execution struct {
	At, Sent         time.Duration
	Replica, Service string
	Node             string
	Incarnation      int
	Attempt, Tenant  string
	Text             string
	FirstEvent       int64
	Events           int64
	Output           string
	Complete         bool
}

// LeaveAck is an acknowledgement to a replica that it leaves.
type LeaveAck struct {
	At      time.Duration
	Replica string
}

// Table is one routing table that an operator sent.
type Table struct {
	Number, Base uint64
	ID           string
	// Valid reports whether the table may be accepted at all.
	Valid        bool
	Routes       map[string]Route
	KeyTenants   map[string]string
	MaxPerWindow map[string]float64
	Text         []byte
	// SentAt is when the table was first sent. Refused is set once an answer refused it.
	SentAt, AckedAt time.Duration
	Acked           bool
	Refused         bool
	RefusedAt       time.Duration
}

// Route is the judge's own description of one route of a table.
type Route struct {
	Services     []string
	Public       bool
	Stream       bool
	KeepsHistory bool
	// Repeatable reports whether a request may run more than once.
	Repeatable bool
}

// ReadBack is the answer to a table read that began at From and ended at At.
type ReadBack struct {
	From, At time.Duration
	Number   uint64
	Text     []byte
}

// Disruption is an interval in which a machine, or any store, was disturbed. It is active while
// Until is negative.
type Disruption struct {
	Machine     string
	From, Until time.Duration
}

// AnyStore is the Machine of any store's Disruption.
const AnyStore = "stores"

// Limits are the time bounds and tolerances that a run is judged by.
type Limits struct {
	// Apply is the time from a table's acknowledgement until nodes must use it, with
	// ApplyWithoutStores added while stores are disrupted. Revert is how long a node may still
	// use an older table than before.
	// Contact is the contact timeout, Drain the time in which a leaving replica may get requests.
	// Settlement is when an ended request's actual tokens replace its maximum.
	Apply, Contact, ApplyWithoutStores, Revert, Drain, Settlement, Window, Retention, Recovery time.Duration
	// FinalStep is the time within which a request that arrived must get its final step.
	FinalStep time.Duration
	// KeyWindow is how long after it was sent an operation must not run again.
	KeyWindow time.Duration
	Overshoot float64
	Slack     float64
}

// Record is all that requesters, replicas and operators saw.
type Record struct {
	Limits    Limits
	Nodes     []string
	Requests  []*Request
	Arrivals  []Arrival
	Runs      []Execution
	LeaveAcks []LeaveAck
	Tables    []*Table
	// FinalReads are the reads at the end of the run.
	FinalReads    []ReadBack
	OperatorReads []ReadBack
	Disruptions   []Disruption
	// Violations are the invariants that state machines found violated.
	Violations []invariant.Violation
	// ClosingAt is when the closing fault began, RestoredAt when all machines ran again; zero
	// without a closing fault.
	ClosingAt, RestoredAt, End time.Duration
}

// Breach is one violation of a rule.
type Breach struct {
	Rule string
	Text string
}

func (b Breach) String() string { return b.Rule + ": " + b.Text }

func breach(rule, format string, args ...any) Breach {
	return Breach{Rule: rule, Text: fmt.Sprintf(format, args...)}
}

func itoa(status int) string { return fmt.Sprint(status) }
