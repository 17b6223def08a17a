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

// CheckerBreak is a fault of a partition's state machine that the model checker must find.
type CheckerBreak struct {
	What     string
	From, To string
	// Within Scenario and Depth the fault must violate Property.
	Scenario string
	Depth    int
	Property string
}

const checkedDir = "rule/partition"

// Properties as the model checker reports them.
const (
	oneValue   = "one value under a number for good"
	durable    = "what was acknowledged outlives a tolerated loss"
	freshRead  = "no read older than an acknowledged write"
	intersect  = "quorums of consecutive groups intersect"
	oneLease   = "one holder of a lease at any instant"
	refused    = "no order both refused and in force"
	changeDone = "a change reported done is agreed by the new group"
)

// Checker lists the breaks for the model checker.
var Checker = []CheckerBreak{
	{What: "a change of members needs no quorum of the former group", Scenario: "replace", Depth: 8, Property: intersect,
		From: "return majority(g.Members, accepted) && (len(g.Former) == 0 || majority(g.Former, accepted))", To: "return majority(g.Members, accepted)"},
	{What: "a write of an older term is accepted", Scenario: "leftover", Depth: 8, Property: freshRead,
		From: "func (m *Machine) onWrite(now time.Duration, from string, msg Write) {\n\tif msg.Term.Less(m.state.Promised) {", To: "func (m *Machine) onWrite(now time.Duration, from string, msg Write) {\n\tif false {"},
	{What: "a write is acknowledged before its sync", Scenario: "power", Depth: 8, Property: durable,
		From: "WriteAck{Term: msg.Term, Seq: msg.Seq, CompleteSeq: m.completeSeq, SentAt: msg.SentAt}, true)", To: "WriteAck{Term: msg.Term, Seq: msg.Seq, CompleteSeq: m.completeSeq, SentAt: msg.SentAt}, false)"},
	{What: "a promise is sent before its sync", Scenario: "promise", Depth: 11, Property: durable,
		From: "m.send(from, promise, true)", To: "m.send(from, promise, false)"},
	{What: "a leader answers without checking its lease", Scenario: "read", Depth: 8, Property: freshRead,
		From: "if _, ok := m.LeadingTerm(now); !ok {\n\t\tm.out.Results = append(m.out.Results, Result{RequestID: requestID, NotLeader: true})\n\t\treturn *m.out\n\t}\n\tlead := m.leading\n\ttx :=",
		To:   "if m.leading == nil || !m.leading.serving {\n\t\tm.out.Results = append(m.out.Results, Result{RequestID: requestID, NotLeader: true})\n\t\treturn *m.out\n\t}\n\tlead := m.leading\n\ttx :="},
	{What: "a restarted member does not wait for the expiry of a lease it may have renewed", Scenario: "restart", Depth: 8, Property: oneLease,
		From: "m.leaseUntil = o.Now + m.followerLease()", To: "m.leaseUntil = o.Now"},
	{What: "a candidate promises itself although it renewed another member's lease", Scenario: "candidate", Depth: 8, Property: oneLease,
		From: "case lead.preVote && now < m.leaseUntil && m.leaseTerm.Leader != m.member:", To: "case false:"},
	{What: "a lease is acknowledged with a term that is not synced", Scenario: "unsynced", Depth: 12, Property: oneLease,
		From: "m.send(from, ack, m.durableTerm != msg.Term)", To: "m.send(from, ack, false)"},
	{What: "the leader counts its lease as twice its duration", Scenario: "read", Depth: 8, Property: oneLease,
		From: "return ok && now < at+m.params.LeaseDuration\n", To: "return ok && now < at+2*m.params.LeaseDuration\n"},
	{What: "a follower does not allow for clock drift", Scenario: "read", Depth: 8, Property: oneLease,
		From: "float64(m.params.LeaseDuration) * (1 + m.params.Drift)", To: "float64(m.params.LeaseDuration) * 1"},
	{What: "a member ignores the lease it renewed", Scenario: "cut", Depth: 8, Property: oneLease,
		From: "\tcase leaseHeld:\n", To: "\tcase leaseHeld && false:\n"},
	{What: "a lease starts at the answer to the renewal instead of its request", Scenario: "renewal", Depth: 9, Property: oneLease,
		From: "func (m *Machine) onLeaseAck(now time.Duration, from string, msg LeaseAck) {\n\tlead := m.leading\n", To: "func (m *Machine) onLeaseAck(now time.Duration, from string, msg LeaseAck) {\n\tlead := m.leading\n\tmsg.SentAt = now\n"},
	{What: "entries left over from older terms are adopted", Scenario: "leftover", Depth: 8, Property: oneValue,
		From: "if e.Version.Term.Less(base) || allEqual && e.Deleted {", To: "if allEqual && e.Deleted {"},
	{What: "of two versions of an entry in promises the older one is used", Scenario: "catchup", Depth: 8, Property: durable,
		From: "if old, ok := newest[e.Key]; !ok || old.Version.Less(e.Version) {", To: "if old, ok := newest[e.Key]; !ok || e.Version.Less(old.Version) {"},
	{What: "a change is reported done before a quorum of the new group accepted it", Scenario: "replace", Depth: 8, Property: changeDone,
		From: "\t\tc.step = stepFinal\n", To: "\t\tc.step = stepFinal\n\t\tm.out.Results = append(m.out.Results, Result{RequestID: c.requestID, Body: true})\n"},
	{What: "a change of members skips the joint group", Scenario: "replace", Depth: 8, Property: intersect,
		From: "Members: members, Former: lead.group.Members}}", To: "Members: members}}"},
	{What: "a new member joins before it has caught up", Scenario: "leave", Depth: 8, Property: durable,
		From: "if c.adding != \"\" && lead.completeSeq[c.adding] < lead.committedSeq {", To: "if false {"},
	{What: "a write without a majority is reported as done when its leader steps down", Scenario: "orders", Depth: 8, Property: durable,
		From: "m.out.Results = append(m.out.Results, Result{RequestID: result.RequestID, Uncertain: true})", To: "m.out.Results = append(m.out.Results, result)"},
	{What: "entries left over, though refused since, are adopted", Scenario: "refusal", Depth: 7, Property: refused,
		From: "if e.Version.Term.Less(base) || allEqual && e.Deleted {", To: "if allEqual && e.Deleted {"},
	{What: "a write is answered before a majority accepted it", Scenario: "orders", Depth: 8, Property: durable,
		From: "case tx.wrote || len(lead.queuedEntries) > 0:\n\t\tlead.queuedResults = append(lead.queuedResults, result)", To: "case tx.wrote || len(lead.queuedEntries) > 0:\n\t\tm.out.Results = append(m.out.Results, result)"},
}

// Run runs the model checker on a broken copy of the tree at root. It returns the violation and the
// summary of the exploration, or an error if the property was not violated.
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
		return "", errors.Newf("another property was violated: %s (%s)", line, report)
	}
	return line + " (" + report + ")", nil
}

func (b CheckerBreak) apply(tree string) error {
	path, text, err := b.locate(tree)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(strings.Replace(text, b.From, b.To, 1)), 0o644)
}

// locate returns the file with the text to replace, which must occur once in the directory.
func (b CheckerBreak) locate(tree string) (path, text string, err error) {
	paths, err := filepath.Glob(filepath.Join(tree, checkedDir, "*.go"))
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
		return "", "", errors.Newf("%s contains the text to replace %d times, want 1: %s", checkedDir, count, b.From)
	}
	return path, text, nil
}
