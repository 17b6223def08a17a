// Package refusals counts the refusals (status 400 to 499) in node logs by status, cause and
// route, and tells which causes alone show that the answer was correct. Start reading at
// Refusals.Read.
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

const logMessage = "request not served"

// line is a log line with the message logMessage.
type line struct {
	Message string `json:"msg"`
	Node    string `json:"id"`
	Cause   string `json:"cause"`
	Status  int    `json:"status"`
	Attempt string `json:"attempt"`
	Route   string `json:"route"`
	// Suppressed is how many requests with this cause the node did not log since its last
	// such line.
	Suppressed int64 `json:"more_of_this_cause"`
}

// Kind identifies refusals that are counted together.
type Kind struct {
	Status int
	Cause  string
	Route  string
}

// Count is the number of refusals of a kind, with the first logged attempt and its node.
type Count struct {
	Given   int64
	Example string
	Node    string
}

// Refusals holds the counts of refusals by kind.
type Refusals map[Kind]Count

const maxLineBytes = 1 << 20

// Read adds the refusals of a log, whose lines may have a prefix before their JSON. Suppressed
// refusals count for the route of the line that reports their number. Read fails if the log
// can't be read or a line is longer than maxLineBytes.
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

// Assessment is what a cause alone shows about a refusal.
type Assessment struct {
	// Justified means that the answer is correct. Otherwise Check says what to verify.
	Justified bool
	Check     string
}

// assessments are by cause.
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
	"key_in_progress": {Check: "that an earlier attempt with the key was at work"},
}

// Assess returns the assessment of a cause. An unknown cause is not justified.
func Assess(cause string) Assessment {
	if assessment, known := assessments[cause]; known {
		return assessment
	}
	return Assessment{Check: "a cause that this command does not know"}
}

// Print writes a table by status and cause, with the most frequent route first.
func (r Refusals) Print(out io.Writer) error {
	var kinds []Kind
	for kind := range r {
		kinds = append(kinds, kind)
	}
	sort.Slice(kinds, func(i, j int) bool { return r.less(kinds[i], kinds[j]) })
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "status\tcause\troute\tgiven\tattempt\tat\towed, or what to check")
	for _, kind := range kinds {
		count, assessment := r[kind], Assess(kind.Cause)
		verdict := assessment.Check
		if assessment.Justified {
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
