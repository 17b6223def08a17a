package breaks

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// SoakBreak is a fault that the soak of real processes must find, unless Elsewhere is set.
type SoakBreak struct {
	What, File string
	From, To   string
	// Seeds bounds the seeds that the soak may need. Elsewhere names what finds the fault
	// if the soak does not.
	Seeds     int
	Elsewhere string
}

// Soak lists breaks of the data path and of the messages between nodes, registries and cores.
var Soak = []SoakBreak{
	{What: "a request that may have been executed is retried", File: "peer/relay/request.go", Seeds: 2,
		From: "canRetry := m.mayRunAgain(req) && m.attemptsUsed(req)", To: "canRetry := m.attemptsUsed(req)"},
	{What: "attempts exceed the route's maximum", File: "peer/relay/request.go", Seeds: 3,
		From: "	case m.attemptsUsed(req) >= req.route.MaxAttempts:\n", To: "	case m.attemptsUsed(req) > 50*req.route.MaxAttempts:\n"},
	{What: "a retry is not charged to the rate", File: "peer/relay/request.go", Seeds: 3,
		From: "			m.charge(now, req)\n		} else {\n			canRetry = false\n		}", To: "		}"},
	{What: "a request that may have been executed is refused", File: "peer/relay/finish.go", Seeds: 3,
		From: "	if req.mayHaveRun {\n		m.abort(now, req, cause)\n		return\n	}\n", To: ""},
	{What: "a turn is sent before its reservation", File: "peer/relay/request.go", Seeds: 2,
		From: "req.state != stateAdmitting || req.reservingBudget ||", To: "req.state != stateAdmitting ||"},
	{What: "an older table replaces a newer one", File: "peer/relay/table.go", Seeds: 1, Elsewhere: "two checks cover each other; TestNodeAppliesTableDifferences finds the removal of both",
		From: "if m.pending != nil && update.TableNumber <= m.pending.Number {", To: "if m.pending != nil && update.TableNumber == m.pending.Number {"},
	{What: "a departure is not sent to others", File: "peer/registry/replicas.go", Seeds: 3,
		From: "previous.Leaving != reported.Leaving || ", To: ""},
	{What: "a change of replicas is not sent immediately", File: "peer/registry/replicas.go", Seeds: 1, Elsewhere: "TestChangeIsSentAtOnce; nodes poll within the bound, and departures are acknowledged after another registry has polled, so the soak does not see it",
		From: "	if entry.isDeparting() {\n		m.notifyAll(now)\n		return\n	}\n	m.notifyPaced(now)\n", To: ""},
	{What: "a departure is acknowledged before it is replicated", File: "peer/registry/departure.go", Seeds: 1, Elsewhere: "TestAcknowledgedLeaveSurvivesRegistryLoss; the soak's registries keep departures on their disks",
		From: "case m.isReplicated(now, d.version):", To: "case true:"},
	{What: "a torn frame is accepted as complete", File: "peer/disk/log.go", Seeds: 4,
		From: "	if f.checksum(offset, raw[:8], body) != binary.LittleEndian.Uint64(raw[8:]) {\n		return nil, 0\n	}\n", To: ""},
	{What: "a new state is used before it is synced", File: "peer/disk/disk.go", Seeds: 4,
		From: "	if err := file.Sync(); err != nil {\n		return errors.Wrap(err, \"syncing a state file\")\n	}\n	return s.files.SyncDir(s.path)", To: "	return s.files.SyncDir(s.path)"},
	{What: "a frame is acknowledged before it is synced", File: "peer/disk/disk.go", Seeds: 2,
		From: "	return errors.Wrap(s.log.Sync(), \"syncing the log\")\n}\n\n// undoWrite", To: "	return nil\n}\n\n// undoWrite"},
	{What: "nodes forget departures together with the registry that reported them", File: "peer/relay/replicas.go", Seeds: 6, Elsewhere: "TestLeavingIsRememberedAfterRegistryIsSilent; registries exchange departures, so the soak does not see it",
		From: "if entry.Removed || m.departed.has(id) {", To: "if entry.Removed || entry.Replica.Leaving || entry.Final {"},
	{What: "a quota's block is granted again after a takeover", File: "rule/rate/ledger.go", Seeds: 4,
		From: "pool:          state.Outstanding,", To: "pool:          0,"},
	{What: "a stream is resumed at the wrong event", File: "peer/front/handler.go", Seeds: 2,
		From: "			x.lastEventID = e.id\n", To: "			x.lastEventID = \"1\"\n"},
	{What: "an answer's id is not checked", File: "peer/replica/pool.go", Seeds: 2,
		From: "if id == \"\" || id == q.Attempt {", To: "if id == \"\" || id != \"\" {"},
	{What: "connections with unread bytes are reused", File: "peer/replica/pool.go", Seeds: 2,
		From: "if !complete || r.noReuse || r.Close || r.conn.reader.Buffered() > 0 ||", To: "if !complete || r.noReuse || r.Close ||", Elsewhere: "TestLeftOverBytesEndAConnection; another guard (stillIdle) hides it from the soak"},
	{What: "a core sends a message before its records are synced", File: "saffronfall/coreprocess/process.go", Seeds: 2,
		From: "if send.Synced && s.issued > s.synced {", To: "if false {"},
	{What: "a cached turn is delivered before it is stored", File: "peer/relay/request.go", Seeds: 4,
		From: "	m.settle(now, req, m.tokenCount(req))\n	m.caller.Call(now, command,", To: "	m.settle(now, req, m.tokenCount(req))\n	if waiting == 1 {\n		m.cache.put(stored)\n		m.finish(now, req, CauseServed, Step{Kind: StepDeliver})\n		return\n	}\n	m.caller.Call(now, command,"},
	{What: "requesters may read without a write deadline", File: "peer/front/intake.go", Seeds: 2,
		From: "	_ = x.controller.SetWriteDeadline(clock.Deadline(max(timeout, time.Millisecond)))\n", To: ""},
	{What: "a reservation uses the requester's id", File: "peer/relay/budget.go", Seeds: 3,
		From: "	req.reservationID = m.incarnation + \"-\" + strconv.FormatUint(m.lastReservation, 36)\n", To: "	req.reservationID = req.spec.Attempt + strconv.Itoa(0)\n"},
	{What: "two tables with the same base are both accepted", File: "peer/core/orders.go", Seeds: 3,
		From: "if current.Number != command.Base || command.Number <= current.Number {", To: "if command.Number <= current.Number {"},
	{What: "an amendment is applied to a table other than its base", File: "peer/registry/amend.go", Seeds: 1, Elsewhere: "TestAmend; the cores refuse it too, so the soak sees only a lost race",
		From: "case current.Number != amendment.Base:", To: "case false:"},
	{What: "a replica that sheds load attracts all calls", File: "rule/placement/replica.go", Seeds: 1, Elsewhere: "TestRejectingReplicaIsAvoided; the soak's replicas do not shed while they have room",
		From: "	r.failures.Add(now, heartbeat, 0, 1)\n	r.unreported.Failed++\n}", To: "}"},
	{What: "a replica's failures are never forgotten", File: "rule/placement/failurerate.go", Seeds: 1, Elsewhere: "TestFailingReplicaIsAvoidedUntilRecovery",
		From: "-max(age, 0).Seconds() / timeConstant.Seconds()", To: "0 * age.Seconds()"},
	{What: "an overload admits no new programs", File: "rule/admission/admission.go", Seeds: 1, Elsewhere: "TestRefusalOrder; the soak does not overload its replicas",
		From: "FirstTurn:       {from: 0.1, to: 0.9, max: 0.85}", To: "FirstTurn:       {from: 0.1, to: 0.9, max: 1}"},
	{What: "an operation is sent before its key is claimed", File: "peer/relay/request.go", Seeds: 1,
		From: "req.fetchingHistory || req.claiming ||", To: "req.fetchingHistory ||"},
	{What: "an operation that may have run is sent again", File: "peer/relay/operation.go", Seeds: 2,
		From: "		m.abort(now, req, CauseKeyUncertain)\n", To: "		req.ownsClaim = true\n		m.sendWhenReady(now, req)\n"},
	{What: "a lost answer releases the operation's key", File: "peer/relay/operation.go", Seeds: 2,
		From: "	case req.mayHaveRun:\n		command.State = core.KeyUncertain\n", To: ""},
	{What: "a claim ends with its holder's time", File: "peer/core/rules_keys.go", Seeds: 3,
		From: "	if stored, ok := read[storedKey](tx, name); ok {\n		if c.Claim",
		To:   "	if stored, ok := read[storedKey](tx, name); ok && (stored.State != KeyClaimed || stored.WorkingUntil > tx.Clock()) {\n		if c.Claim"},
	{What: "a shared claim is released", File: "peer/core/rules_keys.go", Seeds: 6,
		From: "	if c.State == KeyReleased && stored.Shared {\n		c.State = KeyUncertain\n	}\n", To: ""},
}

// locate returns the path and the broken content of the file. The text must occur exactly once.
func (b SoakBreak) locate(root string) (path, broken string, err error) {
	path = filepath.Join(root, b.File)
	text, err := os.ReadFile(path)
	if err != nil {
		return "", "", errors.Wrap(err, "reading the file to break")
	}
	if n := strings.Count(string(text), b.From); n != 1 {
		return "", "", errors.Newf("%s contains the text to replace %d times, want 1: %s", b.File, n, b.From)
	}
	return path, strings.Replace(string(text), b.From, b.To, 1), nil
}

// Run runs the soak on a broken copy of the tree at root, from the seed first on. It returns the
// violation, or an error if the soak reports none.
func (b SoakBreak) Run(root string, first int) (found string, err error) {
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
	build := exec.Command("go", "build", "-o", "bin/", "./saffronfall", "./rehearsalkit")
	build.Dir = scratch
	if out, err := build.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "the tree with the break does not build: %s", out)
	}
	run := exec.Command("bin/rehearsalkit", "soak", "--binary", "bin/saffronfall", "--first", fmt.Sprint(first), "--seeds", fmt.Sprint(max(b.Seeds, 1)), "--stop", "--folder", "run/soak")
	run.Dir = scratch
	out, _ := run.CombinedOutput()
	for _, line := range strings.Split(string(out), "\n") {
		if _, report, ok := strings.Cut(line, "BROKEN "); ok {
			return report[:min(len(report), 240)], nil
		}
	}
	return "", errors.Newf("not found; the run ended with: %s", string(out[max(0, len(out)-300):]))
}
