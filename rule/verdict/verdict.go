// Package verdict defines the result of every decision about a request: whether and by which
// check it is refused, and whether the work may have been executed. Start reading at Verdict.
package verdict

import (
	"fmt"
	"time"
)

// Execution says whether the work of a request was executed.
type Execution string

// States of execution. NotExecuted guarantees that the request was not and will never be
// executed; MaybeExecuted applies if that cannot be known.
const (
	NotExecuted   Execution = "no"
	MaybeExecuted Execution = "maybe"
	Executed      Execution = "yes"
)

// Kind is the outcome of a decision.
type Kind string

// Kinds of verdicts.
const (
	Allow  Kind = "gate"
	Warn   Kind = "warn"
	Refuse Kind = "refuse"
)

// Warning reports a quota that is nearly used up or whose soft limit is exceeded.
type Warning struct {
	Scope string `json:"scope" msgpack:"s"`
	Used  int64  `json:"used" msgpack:"u"`
	Limit int64  `json:"of" msgpack:"o"`
}

// Verdict is the decision of one or more checks. Check names the one that refused. Status is an
// HTTP status, and Head the hash of the conversation's history, or empty.
type Verdict struct {
	Kind       Kind          `json:"verdict" msgpack:"k"`
	Check      string        `json:"check,omitempty" msgpack:"c"`
	Code       string        `json:"code,omitempty" msgpack:"d"`
	Reason     string        `json:"reason,omitempty" msgpack:"r"`
	Ran        Execution     `json:"ran" msgpack:"n"`
	Status     int           `json:"-" msgpack:"t"`
	RetryAfter time.Duration `json:"-" msgpack:"a"`
	Head       string        `json:"head,omitempty" msgpack:"h"`
	Warnings   []Warning     `json:"warnings,omitempty" msgpack:"w"`
}

// Error implements error for refusals.
func (v Verdict) Error() string {
	return fmt.Sprintf("%s (%s): %s; ran: %s", v.Code, v.Check, v.Reason, v.Ran)
}

// Refused reports whether the verdict is a refusal.
func (v Verdict) Refused() bool { return v.Kind == Refuse }

// Allowed returns an allowing verdict, of kind Warn if there are warnings.
func Allowed(ran Execution, warnings []Warning) Verdict {
	if len(warnings) > 0 {
		return Verdict{Kind: Warn, Ran: ran, Status: 200, Warnings: warnings}
	}
	return Verdict{Kind: Allow, Ran: ran, Status: 200}
}

// Refusal holds the parameters of Refused.
type Refusal struct {
	Check, Code, Reason string
	Status              int
	Ran                 Execution
	RetryAfter          time.Duration
	Head                string
}

// Refused returns a refusing verdict. An empty Ran means NotExecuted.
func Refused(r Refusal) Verdict {
	if r.Ran == "" {
		r.Ran = NotExecuted
	}
	return Verdict{Kind: Refuse, Check: r.Check, Code: r.Code, Reason: r.Reason,
		Ran: r.Ran, Status: r.Status, RetryAfter: r.RetryAfter, Head: r.Head}
}

// RetryLater returns a refusal with status 503 and no execution. The requester may retry after
// the given time.
func RetryLater(check, reason string, after time.Duration) Verdict {
	return Refused(Refusal{Check: check, Code: "come_back", Reason: reason, Status: 503, RetryAfter: after})
}
