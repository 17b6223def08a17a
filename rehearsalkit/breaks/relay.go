package breaks

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"

	"saffronfall/rehearsalkit/relaysim"
)

// RelayBreak is a fault of operation keys that the simulator of the relaying tier must report as a
// breach of Rule within Seeds seeds, counted from the first.
type RelayBreak struct {
	What, File string
	From, To   string
	Rule       string
	// Scenario is the simulator's scenario; empty for the ordinary run.
	Scenario string
	Seeds    int
}

const (
	operationFile   = "peer/relay/operation.go"
	requestFile     = "peer/relay/request.go"
	keyRulesFile    = "peer/core/rules_keys.go"
	keyMessagesFile = "peer/core/messages_keys.go"
	keyLossScenario = "keyloss"
)

// Relay lists the breaks of operation keys.
var Relay = []RelayBreak{
	{What: "an operation is sent before its claim is durable", File: requestFile, Rule: relaysim.RuleKeyRunsOnce, Seeds: 2,
		From: "req.fetchingHistory || req.claiming || req.budgetRefused", To: "req.fetchingHistory || req.budgetRefused"},
	{What: "an earlier claim does not win", File: keyRulesFile, Rule: relaysim.RuleKeyRunsOnce, Seeds: 2,
		From: "if stored, ok := read[storedKey](tx, name); ok {\n\t\tif c.Claim", To: "if stored, ok := read[storedKey](tx, name); ok && stored.State == KeyDone {\n\t\tif c.Claim"},
	{What: "an uncertain operation is sent again to a service without a record", File: operationFile, Rule: relaysim.RuleKeyRunsOnce, Seeds: 2,
		From: "case result.Shared && m.deduplicates(req, result.Service):", To: "case result.State == core.KeyUncertain || m.deduplicates(req, result.Service):"},
	{What: "an operation whose response broke off is retried at a service without a record", File: operationFile, Rule: relaysim.RuleKeyRunsOnce, Seeds: 2,
		From: "req.usesKey() && m.deduplicates(req, req.service)", To: "req.usesKey()"},
	{What: "an operation in progress is in progress for good", File: keyRulesFile, Rule: relaysim.RuleInProgressEnds, Scenario: keyLossScenario, Seeds: 4,
		From: "max(s.WorkingUntil-tx.Clock(), 0)", To: "s.WorkingUntil"},
	{What: "a key is dropped without its window", File: keyRulesFile, Rule: relaysim.RuleKeyRunsOnce, Seeds: 2,
		From: "tx.Clock() + working + window", To: "tx.Clock() + working"},
	{What: "the end of a claim by another attempt is accepted", File: keyRulesFile, Rule: relaysim.RuleKeyRunsOnce, Seeds: 12,
		From: "if stored.Claim != c.Claim || stored.State == KeyDone", To: "if stored.State == KeyDone"},
	{What: "a key is released although its operation may have run", File: operationFile, Rule: relaysim.RuleKeyRunsOnce, Seeds: 2,
		From: "case req.mayHaveRun:", To: "case false:"},
	{What: "keys of tenants are not independent", File: keyMessagesFile, Rule: relaysim.RuleFirstAnswer, Seeds: 4,
		From: "operationKeyPrefix + url.PathEscape(tenant)", To: "operationKeyPrefix + url.PathEscape(tenant[:0])"},
	{What: "a response is not stored", File: operationFile, Rule: relaysim.RuleRepeatAnswered, Seeds: 2,
		From: "	case req.response != nil:\n		command.State = core.KeyDone", To: "	case req.response != nil:\n		command.State = core.KeyUncertain"},
	{What: "a won claim is refused", File: operationFile, Rule: relaysim.RuleKeyedServed, Seeds: 2,
		From: "case result.State == core.KeyClaimed && result.Claim == req.claimID:", To: "case false:"},
}

// locate returns the path and the broken content of the file. The text must occur exactly once.
func (b RelayBreak) locate(root string) (path, broken string, err error) {
	return SoakBreak{File: b.File, From: b.From, To: b.To}.locate(root)
}

// Run runs the simulator on a broken copy of the tree at root. It returns the first breach of the
// rule with its seed, or an error if there is none.
func (b RelayBreak) Run(root string) (found string, err error) {
	scratch, err := os.MkdirTemp("", "break-")
	if err != nil {
		return "", errors.Wrap(err, "creating a scratch directory")
	}
	defer os.RemoveAll(scratch)
	if err := copyTree(root, scratch); err != nil {
		return "", errors.Wrap(err, "copying the tree")
	}
	path, broken, err := b.locate(scratch)
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(path, []byte(broken), 0o600); err != nil {
		return "", errors.Wrap(err, "writing the broken file")
	}
	build := exec.Command("go", "build", "-o", filepath.Join("bin", "rehearsalkit"), "./rehearsalkit")
	build.Dir = scratch
	if out, err := build.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "the tree with the break does not build: %s", out)
	}
	for seed := 1; seed <= b.Seeds; seed++ {
		if line := b.runSeed(scratch, seed); line != "" {
			return line, nil
		}
	}
	return "", errors.New("no seed breaks the rule")
}

// runSeed returns a breach of the rule in one seed, or an empty line.
func (b RelayBreak) runSeed(tree string, seed int) string {
	run := exec.Command(filepath.Join(tree, "bin", "rehearsalkit"), "relaysim", "--first", fmt.Sprint(seed), "--seeds", "1", "--scenario", b.Scenario)
	run.Dir = tree
	out, _ := run.CombinedOutput()
	line := regexp.MustCompile(`(?m)^BROKEN seed \d+: ` + regexp.QuoteMeta(b.Rule) + `: .*$`).FindString(string(out))
	return strings.TrimPrefix(line, "BROKEN ")
}
