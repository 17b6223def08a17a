// Package verdict holds the one type that every decision about an inquiry is
// returned as: whether it was gated, warned or refused, by which check, and
// whether the work may have run.
package verdict

import (
	"fmt"
	"time"
)

// Ran says whether the work that an inquiry asked for was done.
type Ran string

// The three states of work. No is a promise: the work was not done and never
// will be on behalf of this inquiry.
const (
	No    Ran = "no"
	Maybe Ran = "maybe"
	Yes   Ran = "yes"
)

// Kind is the outcome of a decision.
type Kind string

// The three outcomes.
const (
	Gate   Kind = "gate"
	Warn   Kind = "warn"
	Refuse Kind = "refuse"
)

// Warning is one allowance that is nearly or softly used up.
type Warning struct {
	Scope string `json:"scope" msgpack:"s"`
	Used  int64  `json:"used" msgpack:"u"`
	Of    int64  `json:"of" msgpack:"o"`
}

// Verdict is what a check, or a chain of checks, decided.
type Verdict struct {
	Kind       Kind          `json:"verdict" msgpack:"k"`
	Check      string        `json:"check,omitempty" msgpack:"c"`
	Code       string        `json:"code,omitempty" msgpack:"d"`
	Reason     string        `json:"reason,omitempty" msgpack:"r"`
	Ran        Ran           `json:"ran" msgpack:"n"`
	Status     int           `json:"-" msgpack:"t"`
	RetryAfter time.Duration `json:"-" msgpack:"a"`
	Head       string        `json:"head,omitempty" msgpack:"h"`
	Warnings   []Warning     `json:"warnings,omitempty" msgpack:"w"`
}

// Error makes a refusing verdict usable as an error.
func (v Verdict) Error() string {
	return fmt.Sprintf("%s (%s): %s; ran: %s", v.Code, v.Check, v.Reason, v.Ran)
}

// Refused reports whether the verdict is a refusal.
func (v Verdict) Refused() bool { return v.Kind == Refuse }

// Gated is a gating verdict, or a warning one where there are warnings.
func Gated(ran Ran, warnings []Warning) Verdict {
	if len(warnings) > 0 {
		return Verdict{Kind: Warn, Ran: ran, Status: 200, Warnings: warnings}
	}
	return Verdict{Kind: Gate, Ran: ran, Status: 200}
}

// Refusal describes a refusal to build.
type Refusal struct {
	Check, Code, Reason string
	Status              int
	Ran                 Ran
	RetryAfter          time.Duration
	Head                string
}

// Refused builds a refusing verdict; work that is not said to have run did not.
func Refused(r Refusal) Verdict {
	if r.Ran == "" {
		r.Ran = No
	}
	return Verdict{Kind: Refuse, Check: r.Check, Code: r.Code, Reason: r.Reason,
		Ran: r.Ran, Status: r.Status, RetryAfter: r.RetryAfter, Head: r.Head}
}

// Later is the refusal of a process that is unsure: not run, come back.
func Later(check, reason string, after time.Duration) Verdict {
	return Refused(Refusal{Check: check, Code: "come_back", Reason: reason, Status: 503, RetryAfter: after})
}
