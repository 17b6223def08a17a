package relaysim

import (
	"fmt"
	"time"

	"saffronfall/rule/invariant"
)

// What became of a request, as its requester saw it.
const (
	Whole     = "whole"
	Failed    = "failed"
	Refused   = "refused"
	Closed    = "closed"
	GaveUp    = "gave up"
	Unreached = "unreached"
)

// Request is one try, as its requester saw it.
type Request struct {
	At, Ended time.Duration
	Node      string
	// Life is the node's life that it arrived at; Arrived: it was read whole.
	Life     int
	Arrived  bool
	LastStep time.Duration
	Kind     string
	Path     string
	Attempt  string
	Key      string
	Tenant   string
	Program  string
	Previous string
	Input    string
	Budget   int64
	Most     int64
	Deadline time.Duration
	// Outcome, and the Status where the answer was a refusal. Check is only for
	// those who read what was broken.
	Outcome    string
	Status     int
	Check      string
	RetryAfter time.Duration
	// Tokens and Output are what the requester got.
	Tokens int64
	Output string

	failed bool
}

// Arrival is a request that reached a replica, whether or not it was run there.
// Moved: another replica was meant.
type Arrival struct {
	At, Sent         time.Duration
	Replica, Service string
	Node             string
	Life             int
	Attempt, Tenant  string
	Moved            bool
}

// Work is work that a replica began. Text is the whole body that it got, From how
// many events of its stream another run had put out before.
type Work struct {
	At, Sent         time.Duration
	Replica, Service string
	Node             string
	Life             int
	Attempt, Tenant  string
	Text             string
	From             int64
	Events           int64
	Output           string
	Whole            bool
}

// Word is that a replica was told that its leaving was heard.
type Word struct {
	At      time.Duration
	Replica string
}

// Table is one routing table that an operator handed over.
type Table struct {
	Number, Base uint64
	Mark         string
	// Valid tells whether it may be agreed at all.
	Valid   bool
	Routes  map[string]Route
	Holders map[string]string
	Allowed map[string]float64
	Text    []byte
	// Sent is when it was first handed over, Acked when that was acknowledged;
	// Refused: the answer was that it is not taken.
	Sent, Acked time.Duration
	IsAcked     bool
	Refused     bool
	// RefusedAt is when that answer came.
	RefusedAt time.Duration
}

// Route is one route of a table, by the judge's own books.
type Route struct {
	Services []string
	Open     bool
	Stream   bool
	Kept     bool
	// Repeats tells whether a request may run more than once.
	Repeats bool
}

// ReadBack is the table that a desk read back, asked From and answered At.
type ReadBack struct {
	From, At time.Duration
	Number   uint64
	Text     []byte
}

// Trouble is a time in which a machine, or any of the stores, was harmed. It has
// not ended while Until is below zero.
type Trouble struct {
	Who         string
	From, Until time.Duration
}

// Stores is who is in trouble when any machine with a disk is.
const Stores = "stores"

// Limits are the bounds that a run is judged by.
type Limits struct {
	Apply, Contact, Outer, Revert, Drain, Settling, Window, Keep, Recovery time.Duration
	// Longest is after what time a request that arrived must have had its last
	// step.
	Longest   time.Duration
	Overshoot float64
	Slack     float64
}

// Record is all that requesters, replicas and operators saw.
type Record struct {
	Limits   Limits
	Nodes    []string
	Requests []*Request
	Arrivals []Arrival
	Runs     []Work
	Words    []Word
	Tables   []*Table
	// Reads are those at the end, Readings the operators' own.
	Reads    []ReadBack
	Readings []ReadBack
	Troubles []Trouble
	// Violations are the invariants that machines found violated.
	Violations []invariant.Violation
	// Closing is when the closing fault began, Back when all machines were back;
	// zero: there was none. End is when the run ended.
	Closing, Back, End time.Duration
}

// Breach is one rule that was seen broken.
type Breach struct {
	Rule string
	Text string
}

func (b Breach) String() string { return b.Rule + ": " + b.Text }

func breach(rule, format string, args ...any) Breach {
	return Breach{Rule: rule, Text: fmt.Sprintf(format, args...)}
}

func statusText(status int) string { return fmt.Sprint(status) }
