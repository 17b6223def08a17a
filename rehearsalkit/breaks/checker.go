package breaks

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// CheckerBreak is a change of a part's state machine for the worse that the
// model checker must find.
type CheckerBreak struct {
	What     string
	From, To string
	// Scenario and Depth are the bounds within which it must be found, Property is
	// what it must be found by.
	Scenario string
	Depth    int
	Property string
}

// checkedFolder has the code that the model checker runs.
const checkedFolder = "rule/partition"

// Properties of the model checker, by their names in its reports.
const (
	oneValue   = "one value under a number for good"
	durable    = "what was acknowledged outlives a tolerated loss"
	fresh      = "no read older than an acknowledged write"
	intersect  = "quorums of consecutive groups intersect"
	oneLease   = "one holder of a lease at any instant"
	refused    = "no order both refused and in force"
	changeDone = "a change reported done is agreed by the new group"
)

// Checker are the breaks that the model checker must find.
var Checker = []CheckerBreak{
	{What: "the former group is not asked during a change", Scenario: "replace", Depth: 8, Property: intersect,
		From: "return most(g.Seats, yes) && (len(g.Former) == 0 || most(g.Former, yes))", To: "return most(g.Seats, yes)"},
	{What: "a write of an older term is taken", Scenario: "leftover", Depth: 8, Property: fresh,
		From: "func (m *Machine) onWrite(now time.Duration, from string, b Write) {\n\tif b.Term.Less(m.copy.Promised) {", To: "func (m *Machine) onWrite(now time.Duration, from string, b Write) {\n\tif false {"},
	{What: "a write is acknowledged before its sync", Scenario: "power", Depth: 8, Property: durable,
		From: "Taken{Term: b.Term, Seq: b.Seq, Whole: m.whole, Sent: b.Sent}, true)", To: "Taken{Term: b.Term, Seq: b.Seq, Whole: m.whole, Sent: b.Sent}, false)"},
	{What: "a promise leaves before its sync", Scenario: "promise", Depth: 11, Property: durable,
		From: "m.send(from, promise, true)", To: "m.send(from, promise, false)"},
	{What: "an owner answers without a look at its lease", Scenario: "read", Depth: 8, Property: fresh,
		From: "if _, ok := m.Owns(now); !ok {\n\t\tm.out.Returns = append(m.out.Returns, Return{Ticket: ticket, Moved: true})\n\t\treturn *m.out\n\t}\n\to := m.owning\n\ttx :=",
		To:   "if m.owning == nil || !m.owning.serving {\n\t\tm.out.Returns = append(m.out.Returns, Return{Ticket: ticket, Moved: true})\n\t\treturn *m.out\n\t}\n\to := m.owning\n\ttx :="},
	{What: "a restarted seat does not wait out the lease it may have renewed", Scenario: "restart", Depth: 8, Property: oneLease,
		From: "m.until = o.Now + m.hold()", To: "m.until = o.Now"},
	{What: "a candidate binds itself though it renewed another's lease", Scenario: "candidate", Depth: 8, Property: oneLease,
		From: "case o.asking && now < m.until && m.holder.Owner != m.seat:", To: "case false:"},
	{What: "a lease vote rests on a term in memory", Scenario: "unsynced", Depth: 12, Property: oneLease,
		From: "m.send(from, r, m.durable != b.Term)", To: "m.send(from, r, false)"},
	{What: "a lease is counted longer by its holder", Scenario: "read", Depth: 8, Property: oneLease,
		From: "return ok && now < at+m.params.OwnerTerm\n", To: "return ok && now < at+2*m.params.OwnerTerm\n"},
	{What: "drift is not allowed for", Scenario: "read", Depth: 8, Property: oneLease,
		From: "float64(m.params.OwnerTerm) * (1 + m.params.Drift)", To: "float64(m.params.OwnerTerm) * 1"},
	{What: "a seat forgets whose lease it renewed", Scenario: "cut", Depth: 8, Property: oneLease,
		From: "\tcase held:\n", To: "\tcase held && false:\n"},
	{What: "a lease is counted from when the renewal was answered", Scenario: "renewal", Depth: 9, Property: oneLease,
		From: "func (m *Machine) onRenewed(now time.Duration, from string, b Renewed) {\n\to := m.owning\n", To: "func (m *Machine) onRenewed(now time.Duration, from string, b Renewed) {\n\to := m.owning\n\tb.Sent = now\n"},
	{What: "what is left over from older owners is taken up", Scenario: "leftover", Depth: 8, Property: oneValue,
		From: "if e.Stamp.Term.Less(base) || alike && e.Gone {", To: "if alike && e.Gone {"},
	{What: "of two promised entries the older one is taken", Scenario: "catchup", Depth: 8, Property: durable,
		From: "if old, ok := newest[e.Key]; !ok || old.Stamp.Less(e.Stamp) {", To: "if old, ok := newest[e.Key]; !ok || e.Stamp.Less(old.Stamp) {"},
	{What: "a change is reported done before the new group has agreed", Scenario: "replace", Depth: 8, Property: changeDone,
		From: "\t\tc.step = 2\n", To: "\t\tc.step = 2\n\t\tm.out.Returns = append(m.out.Returns, Return{Ticket: c.ticket, Body: true})\n"},
	{What: "a change goes without the joint group", Scenario: "replace", Depth: 8, Property: intersect,
		From: "Seats: seats, Former: o.group.Seats}}", To: "Seats: seats}}"},
	{What: "a newcomer joins before it has caught up", Scenario: "leave", Depth: 8, Property: durable,
		From: "if c.adding != \"\" && o.whole[c.adding] < o.committed {", To: "if false {"},
	{What: "a write without a majority is answered as done when its owner steps down", Scenario: "orders", Depth: 8, Property: durable,
		From: "m.out.Returns = append(m.out.Returns, Return{Ticket: r.Ticket, Unsure: true})", To: "m.out.Returns = append(m.out.Returns, r)"},
	{What: "what is left over, though refused since, is taken up", Scenario: "refusal", Depth: 7, Property: refused,
		From: "if e.Stamp.Term.Less(base) || alike && e.Gone {", To: "if alike && e.Gone {"},
	{What: "a write is answered before it is agreed", Scenario: "orders", Depth: 8, Property: durable,
		From: "case tx.written || len(o.entries) > 0:\n\t\to.returns = append(o.returns, r)", To: "case tx.written || len(o.entries) > 0:\n\t\tm.out.Returns = append(m.out.Returns, r)"},
}

// Run applies a break to a copy of the tree and runs the model checker there. It
// returns the checker's report of the violation and its trace.
func (b CheckerBreak) Run(root string) (found string, err error) {
	scratch, err := os.MkdirTemp("", "break-")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(scratch)
	if err := copyTree(root, scratch); err != nil {
		return "", err
	}
	if err := b.apply(scratch); err != nil {
		return "", err
	}
	run := exec.Command("go", "run", "./rehearsalkit", "modelcheck", "--scenario", b.Scenario, "--depth", fmt.Sprint(b.Depth))
	run.Dir = scratch
	out, _ := run.CombinedOutput()
	report := regexp.MustCompile(`(?m)^` + b.Scenario + `: .*$`).FindString(string(out))
	line := regexp.MustCompile(`(?m)^BROKEN .*$`).FindString(string(out))
	switch {
	case line == "":
		return "", errors.Newf("not found; the run ended with: %s", string(out[max(0, len(out)-400):]))
	case !strings.HasPrefix(line, "BROKEN "+b.Property+":"):
		return "", errors.Newf("found as something else: %s (%s)", line, report)
	}
	return line + " (" + report + ")", nil
}

// apply makes the break in a tree. The code to break must be there exactly once.
func (b CheckerBreak) apply(tree string) error {
	path, text, err := b.locate(tree)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(strings.Replace(text, b.From, b.To, 1)), 0o644)
}

// locate finds the one file that has the code to break.
func (b CheckerBreak) locate(tree string) (path, text string, err error) {
	paths, err := filepath.Glob(filepath.Join(tree, checkedFolder, "*.go"))
	if err != nil {
		return "", "", err
	}
	count := 0
	for _, one := range paths {
		if strings.HasSuffix(one, "_test.go") {
			continue
		}
		raw, err := os.ReadFile(one)
		if err != nil {
			return "", "", err
		}
		if n := strings.Count(string(raw), b.From); n > 0 {
			count += n
			path, text = one, string(raw)
		}
	}
	if count != 1 {
		return "", "", errors.Newf("%s has the code to break %d times: %s", checkedFolder, count, b.From)
	}
	return path, text, nil
}
