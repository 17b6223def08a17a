// Package breaks holds deliberate faults. Each replaces one piece of source in a scratch copy of
// the tree, and the simulator, the model checker or the soak must report a violation. Every From
// text must occur exactly once. Start reading at Break, CheckerBreak and SoakBreak.
package breaks

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// Break is a fault that the simulator must report as a violation of Rule. From is the source text,
// To its faulty replacement.
type Break struct {
	Rule     int
	What     string
	File     string
	From, To string
	// Test selects directed tests for faults that random seeds rarely meet. If it is empty,
	// random seeds must find the fault.
	Test string
}

// Simulator lists the breaks for the simulator. For each rule, random seeds find at least one.
var Simulator = []Break{
	{Rule: 1, What: "a program's hard limit is ignored", File: "rule/program/program.go", From: "if charged >= role.ProgramTokensHard {", To: "if false {"},
	{Rule: 1, What: "the running turn of a lost owner is not charged", File: "rule/program/program.go", From: "	r.Spent = r.Charged()\n	r.Running = nil", To: "	r.Running = nil", Test: "OwnerKilledInMidTurn"},
	{Rule: 1, What: "turns continue without contact beyond the tokens charged in advance", File: "peer/node/mirror.go", From: " || prog.record.Charged() > min(prog.savedPrecharged, prog.dayPrecharged) {", To: " {", Test: "PrechargedTurnsWhileIsolated"},
	{Rule: 2, What: "outstanding shares are not counted", File: "rule/allowance/ledger.go", From: "left := max(0, limits[i]-outstanding-l.Windows[i].Sum(now))", To: "left := max(0, limits[i]-l.Windows[i].Sum(now))"},
	{Rule: 3, What: "any claim may execute", File: "peer/node/once.go", From: "case once.Claim == a.claim && once.State == core.OnceIntent:", To: "case once.State == core.OnceIntent:"},
	{Rule: 3, What: "a lost answer releases the claim", File: "peer/node/once.go", From: "m.finishOnce(now, a, core.OnceUncertain, 0, nil", To: "m.finishOnce(now, a, core.OnceReleased, 0, nil"},
	{Rule: 4, What: "a request to an owner that stopped answering is reported as not executed", File: "peer/node/forward.go", From: "	ran := verdict.MaybeExecuted\n", To: "	ran := verdict.NotExecuted\n"},
	{Rule: 5, What: "a program whose owner cannot be determined is reported as unknown", File: "peer/node/request.go", From: `m.refuse(req, retryLater("the program's owner could not be found out in time"))`, To: `m.refuse(req, denied("unknown_program", "", 404))`},
	{Rule: 6, What: "a successor does not recover from the mirrors", File: "peer/node/request.go", From: "	m.recoverFromMirrors(now, prog)\n", To: "", Test: "OwnerLostWhileIsolated"},
	{Rule: 6, What: "the acknowledgement of one mirror is sufficient", File: "peer/node/mirror.go", From: "if version := prog.acked[mirror.Address+\"/\"+mirror.Process]; i == 0 || version < oldest {", To: "if version := prog.acked[mirror.Address+\"/\"+mirror.Process]; i == 0 || version > oldest {", Test: "OneMirrorWhileIsolated"},
	{Rule: 6, What: "a helper's conversation gets the root conversation's history", File: "peer/node/turn.go", From: "append([]program.Turn{}, prog.turns[request.Conversation]...), Prompt", To: "append([]program.Turn{}, prog.turns[\"\"]...), Prompt"},
	{Rule: 7, What: "a new rate starts with a full token bucket", File: "peer/node/share.go", From: "		rs.account.Granted = granted\n	}\n}", To: "		rs.account.Granted, rs.tokens = granted, float64(burst)\n	}\n}", Test: "TestCrowd"},
	{Rule: 7, What: "a request does not consume a rate token", File: "peer/node/share.go", From: "	if len(rs.waiting) == 0 && rs.tokens >= 1 {\n		rs.tokens--\n", To: "	if len(rs.waiting) == 0 && rs.tokens >= 1 {\n"},
	{Rule: 8, What: "a configuration counts as applied immediately", File: "peer/core/rules_members.go", From: "answer.Done = len(answer.Lagging) == 0", To: "answer.Done = true"},
	{Rule: 8, What: "a member below the minimum version is renewed", File: "peer/core/rules_members.go", From: "	if command.Version < floor {\n		return MembershipResult{Floor: floor}\n	}\n	r.renewedAt[key], r.memberVersions[key] = now, max(", To: "	r.renewedAt[key], r.memberVersions[key] = now, max(1<<40+"},
	{Rule: 9, What: "a configuration that lost a race is written anyway", File: "peer/core/orders.go", From: "		return AcceptConfigurationResult{Version: current.Version}\n", To: "		write(tx, configurationKey, CurrentConfiguration{Version: current.Version + 1, Text: command.Text, Digest: command.Digest})\n		return AcceptConfigurationResult{Version: current.Version}\n"},
	{Rule: 10, What: "a departure is ignored", File: "peer/node/announcement.go", From: "if !a.replica.Leaving && now", To: "if now"},
	{Rule: 10, What: "the age of an announcement does not include its transit time", File: "peer/node/announcement.go", From: "age := a.Age + now - announcements.Sent", To: "age := min(0, a.Age)", Test: "DyingNode"},
	{Rule: 11, What: "gaps in a forwarded stream are accepted", File: "peer/node/forward.go", From: "if forwarded.Number != f.nextNumber {", To: "if false {"},
	{Rule: 12, What: "an active lockout is ignored", File: "rule/program/user.go", From: "if clock < u.LockedUntil {", To: "if false {"},
	{Rule: 12, What: "the limit of concurrent sessions is ignored", File: "rule/program/user.go", From: "if live >= role.ConcurrentSessions {", To: "if false {"},
}

// Run runs the simulator over at most seeds seeds, or the directed test, on a broken copy of the
// tree at root. It returns the line that reports the violation, or an error if there is none.
func (b Break) Run(root string, seeds int) (found string, err error) {
	scratch, err := os.MkdirTemp("", "break-")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(scratch)
	if err := copyTree(root, scratch); err != nil {
		return "", err
	}
	path := filepath.Join(scratch, b.File)
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if n := strings.Count(string(text), b.From); n != 1 {
		return "", errors.Newf("%s contains the text to replace %d times, want 1: %s", b.File, n, b.From)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), b.From, b.To, 1)), 0o644); err != nil {
		return "", err
	}
	run := exec.Command("go", "run", "./rehearsalkit", "simulate", "--first", "1", "--seeds", fmt.Sprint(seeds), "--stop")
	if b.Test != "" {
		run = exec.Command("go", "test", "-vet=off", "./rehearsalkit/simulator", "-run", b.Test)
	}
	run.Dir = scratch
	out, _ := run.CombinedOutput()
	line := regexp.MustCompile(fmt.Sprintf(`(?m)^.*rule %d: .*$`, b.Rule)).FindString(string(out))
	if line == "" && b.Test != "" {
		line = regexp.MustCompile(`(?m)^.*_test\.go:.*$`).FindString(string(out))
	}
	if line == "" {
		tail := string(out)
		return "", errors.Newf("not found; the run ended with: %s", tail[max(0, len(tail)-400):])
	}
	return strings.TrimSpace(line), nil
}

func copyTree(from, to string) error {
	return filepath.WalkDir(from, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(from, path)
		switch {
		case err != nil:
			return err
		case d.IsDir() && (name == ".git" || name == "bin" || name == "run"):
			return filepath.SkipDir
		case d.IsDir():
			return os.MkdirAll(filepath.Join(to, name), 0o755)
		case !d.Type().IsRegular():
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, name), text, 0o644)
	})
}
