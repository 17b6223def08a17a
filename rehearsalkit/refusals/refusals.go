// Package refusals lists what nodes refused, and why, from their logs: each answer of
// 400 to 499 with its cause, its route and how often it was given, and whether the cause
// itself shows that the answer is owed.
package refusals

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// message is what a node logs of a request that was not served.
const logMessage = "request not served"

// line is one such line of a log.
type line struct {
	Message string `json:"msg"`
	Node    string `json:"id"`
	Cause   string `json:"cause"`
	Status  int    `json:"status"`
	Attempt string `json:"attempt"`
	Route   string `json:"route"`
	// More is how many of the cause the node did not log since its last such line.
	Suppressed int64 `json:"more_of_this_cause"`
}

// Kind is one sort of refusal.
type Kind struct {
	Status int
	Cause  string
	Route  string
}

// Count is how often a kind of refusal was given, with an attempt that got it.
type Count struct {
	Given   int64
	Example string
	Node    string
}

// Refusals are the counted refusals of some logs.
type Refusals map[Kind]Count

// longestLine is the longest line of a log that is read.
const maxLineBytes = 1 << 20

// Read adds what a log tells. Lines may have something before their JSON, as where many
// processes write into one log. What was not logged one by one counts to the route of the
// line that told how many there were.
func (r Refusals) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(logMessage)) {
			continue
		}
		var l line
		if json.Unmarshal(text[start:], &l) != nil || l.Message != logMessage {
			continue
		}
		r.add(l)
	}
	return errors.Wrap(scanner.Err(), "log")
}

// add counts a line, if it tells of an answer of 400 to 499.
func (r Refusals) add(l line) {
	if l.Status < 400 || l.Status > 499 {
		return
	}
	kind := Kind{Status: l.Status, Cause: l.Cause, Route: l.Route}
	count := r[kind]
	if count.Example == "" {
		count.Example, count.Node = l.Attempt, l.Node
	}
	count.Given += 1 + l.Suppressed
	r[kind] = count
}

// Reading says what a cause shows by itself.
type Assessment struct {
	// Owed: the answer is right whatever else happened. Otherwise Check says what must be
	// looked at.
	Justified bool
	Check     string
}

// readings are the causes of answers of 400 to 499.
var assessments = map[string]Assessment{
	"malformed":       {Justified: true},
	"body_incomplete": {Justified: true},
	"body_late":       {Justified: true},
	"body_too_large":  {Justified: true},
	"head_too_large":  {Justified: true},
	"requester_gone":  {Justified: true},
	"unknown_route":   {Check: "that no table in force had the route (probes of removed routes are owed)"},
	"unknown_key":     {Check: "that no table in force had the key"},
	"budget":          {Check: "that the program's budget could not hold one more turn"},
	"rate":            {Check: "that the tenant's window was full"},
	"history_unknown": {Check: "that the turn was never answered whole"},
	"history_foreign": {Justified: true},
	"history_expired": {Check: "that the turn's time was over"},
}

// ReadingOf is what a cause shows. An unknown cause has to be looked at.
func Assess(cause string) Assessment {
	if reading, known := assessments[cause]; known {
		return reading
	}
	return Assessment{Check: "a cause that this command does not know"}
}

// Print writes the counts, by status and cause, the most frequent first.
func (r Refusals) Print(out io.Writer) error {
	var kinds []Kind
	for kind := range r {
		kinds = append(kinds, kind)
	}
	sort.Slice(kinds, func(i, j int) bool { return r.less(kinds[i], kinds[j]) })
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "status\tcause\troute\tgiven\tattempt\tat\towed, or what to check")
	for _, kind := range kinds {
		count, reading := r[kind], Assess(kind.Cause)
		verdict := reading.Check
		if reading.Justified {
			verdict = "owed"
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%s\t%s\t%s\n", kind.Status, kind.Cause, kind.Route, count.Given, count.Example, count.Node, verdict)
	}
	return table.Flush()
}

func (r Refusals) less(a, b Kind) bool {
	switch {
	case a.Status != b.Status:
		return a.Status < b.Status
	case a.Cause != b.Cause:
		return a.Cause < b.Cause
	case r[a].Given != r[b].Given:
		return r[a].Given > r[b].Given
	}
	return a.Route < b.Route
}
