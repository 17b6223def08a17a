package breaks

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// SoakBreak is a change of the serving tier for the worse that the soak of real
// processes must find.
type SoakBreak struct {
	What, File string
	From, To   string
	// Seeds is within how many it must be found; zero: the soak does not find it, and
	// Elsewhere says what does.
	Seeds     int
	Elsewhere string
}

// Soak are breaks of the data path and of what nodes, desks and cores tell each other.
var Soak = []SoakBreak{
	{What: "what may have run once is sent again", File: "peer/relay/request.go", Seeds: 2,
		From: "canRetry := req.route.Retryable() && m.attemptsUsed(req)", To: "canRetry := m.attemptsUsed(req)"},
	{What: "tries without the route's bound", File: "peer/relay/request.go", Seeds: 3,
		From: "	case m.attemptsUsed(req) >= req.route.MaxAttempts:\n", To: "	case m.attemptsUsed(req) > 50*req.route.MaxAttempts:\n"},
	{What: "a further try that nothing of the rate pays for", File: "peer/relay/request.go", Seeds: 3,
		From: "			m.charge(now, req)\n		} else {\n			canRetry = false\n		}", To: "		}"},
	{What: "what has run is refused", File: "peer/relay/request.go", Seeds: 3,
		From: "	if req.mayHaveRun {\n		m.abort(now, req, cause)\n		return\n	}\n", To: ""},
	{What: "a turn is sent before its reservation", File: "peer/relay/request.go", Seeds: 2,
		From: "req.state != stateAdmitting || req.reserving ||", To: "req.state != stateAdmitting ||"},
	{What: "an older table replaces a newer one", File: "peer/relay/table.go", Seeds: 1, Elsewhere: "two guards hide one another; TestNodeAppliesTableDifferences for both",
		From: "if m.pending != nil && b.TableNumber <= m.pending.Number {", To: "if m.pending != nil && b.TableNumber == m.pending.Number {"},
	{What: "a leaving is told to nobody", File: "peer/desk/replicas.go", Seeds: 3,
		From: "previous.Leaving != reported.Leaving || ", To: ""},
	{What: "a change of replicas is told to nobody at once", File: "peer/desk/replicas.go", Seeds: 1, Elsewhere: "TestChangeIsSentAtOnce; nodes ask again within the bound, and leavings are acknowledged once another desk has asked, so the soak sees nothing",
		From: "	m.notifyAll(now)\n", To: ""},
	{What: "a leaving is acknowledged before anybody else holds it", File: "peer/desk/departure.go", Seeds: 1, Elsewhere: "TestLeavingOutlivesADeskThatDies; the soak's desks keep what they heard on their disks",
		From: "case m.isReplicated(now, d.version):", To: "case true:"},
	{What: "a torn frame is taken for a whole one", File: "peer/disk/log.go", Seeds: 4,
		From: "	if f.checksum(offset, raw[:8], body) != binary.LittleEndian.Uint64(raw[8:]) {\n		return nil, 0\n	}\n", To: ""},
	{What: "a new state counts before it is synced", File: "peer/disk/disk.go", Seeds: 4,
		From: "	if err := file.Sync(); err != nil {\n		return errors.Wrap(err, \"syncing a state file\")\n	}\n	return s.files.SyncDir(s.path)", To: "	return s.files.SyncDir(s.path)"},
	{What: "a frame counts before it is synced", File: "peer/disk/disk.go", Seeds: 2,
		From: "	return errors.Wrap(s.log.Sync(), \"syncing the log\")\n}\n\n// undoWrite", To: "	return nil\n}\n\n// undoWrite"},
	{What: "nodes forget who leaves with the desk that told of it", File: "peer/relay/replicas.go", Seeds: 6, Elsewhere: "TestLeavingIsRememberedAfterDeskIsSilent; since desks tell each other who leaves, the soak no longer sees it",
		From: "if l.Removed || m.departed.has(id) {", To: "if l.Removed || l.Replica.Leaving || l.Final {"},
	{What: "a quota's block is granted anew after a takeover", File: "rule/rate/ledger.go", Seeds: 4,
		From: "pool: s.Outstanding, poolExpiresAt", To: "pool: 0, poolExpiresAt"},
	{What: "a stream is joined at the wrong event", File: "peer/front/handler.go", Seeds: 2,
		From: "			x.lastEventID = e.id\n", To: "			x.lastEventID = \"1\"\n"},
	{What: "an answer's id is not looked at", File: "peer/replica/pool.go", Seeds: 2,
		From: "if id == \"\" || id == q.Attempt {", To: "if id == \"\" || id != \"\" {"},
	{What: "connections with bytes left over are used again", File: "peer/replica/pool.go", Seeds: 2,
		From: "if !complete || r.noReuse || r.Close || r.conn.reader.Buffered() > 0 ||", To: "if !complete || r.noReuse || r.Close ||", Elsewhere: "TestLeftOverBytesEndAConnection; another guard (stillIdle) hides it from the soak"},
	{What: "a core says what is not on its disk", File: "saffronfall/coreprocess/process.go", Seeds: 2,
		From: "if send.Synced && s.issued > s.synced {", To: "if false {"},
	{What: "a kept turn is passed on before it is kept", File: "peer/relay/request.go", Seeds: 4,
		From: "	m.settle(now, req, m.tokenCount(req))\n	m.caller.Call(now, c,", To: "	m.settle(now, req, m.tokenCount(req))\n	if waiting == 1 {\n		m.cache.put(stored)\n		m.finish(now, req, CauseServed, Step{Kind: StepDeliver})\n		return\n	}\n	m.caller.Call(now, c,"},
	{What: "requesters may read for as long as they like", File: "peer/front/intake.go", Seeds: 2,
		From: "	_ = x.controller.SetWriteDeadline(clock.Deadline(max(timeout, time.Millisecond)))\n", To: ""},
	{What: "a reservation goes by the requester's id", File: "peer/relay/budget.go", Seeds: 3,
		From: "	req.reservationID = m.incarnation + \"-\" + strconv.FormatUint(m.reservations, 36)\n", To: "	req.reservationID = req.spec.Attempt + strconv.Itoa(0)\n"},
	{What: "of two tables on one base both are taken", File: "peer/core/orders.go", Seeds: 3,
		From: "if current.Number != c.Base || c.Number <= current.Number {", To: "if c.Number <= current.Number {"},
	{What: "an amendment is joined to a table that it does not build on", File: "peer/desk/amend.go", Seeds: 1, Elsewhere: "TestAmend; the cores refuse it too, so the soak sees a lost race",
		From: "case current.Number != a.Base:", To: "case false:"},
	{What: "a replica that sheds draws all calls", File: "rule/placement/replica.go", Seeds: 1, Elsewhere: "TestRejectingReplicaIsAvoided; the soak's replicas do not shed while they have room",
		From: "	r.failures.Add(now, heartbeat, 0, 1)\n	r.unreported.Failed++\n}", To: "}"},
	{What: "a replica's failures are never forgotten", File: "rule/placement/failurerate.go", Seeds: 1, Elsewhere: "TestFailingReplicaIsAvoidedUntilRecovery",
		From: "-max(age, 0).Seconds() / timeConstant.Seconds()", To: "0 * age.Seconds()"},
	{What: "an overload starves new programs", File: "rule/admission/admission.go", Seeds: 1, Elsewhere: "TestRefusalOrder; the soak does not overload its replicas",
		From: "FirstTurn:       {from: 0.1, to: 0.9, max: 0.85}", To: "FirstTurn:       {from: 0.1, to: 0.9, max: 1}"},
}

// locate finds the break's place, which must be the only one, and breaks it.
func (b SoakBreak) locate(root string) (path, broken string, err error) {
	path = filepath.Join(root, b.File)
	text, err := os.ReadFile(path)
	if err != nil {
		return "", "", errors.Wrap(err, "break")
	}
	if n := strings.Count(string(text), b.From); n != 1 {
		return "", "", errors.Newf("%s has the place to break %d times: %s", b.File, n, b.From)
	}
	return path, strings.Replace(string(text), b.From, b.To, 1), nil
}

// Run runs the soak over a scratch copy with the break, and tells what it was found
// by.
func (b SoakBreak) Run(root string, first int) (found string, err error) {
	scratch, err := os.MkdirTemp("", "break-")
	if err != nil {
		return "", errors.Wrap(err, "scratch")
	}
	defer os.RemoveAll(scratch)
	if err := copyTree(root, scratch); err != nil {
		return "", errors.Wrap(err, "scratch")
	}
	path, broken, err := b.locate(scratch)
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(path, []byte(broken), 0o600); err != nil {
		return "", errors.Wrap(err, "break")
	}
	build := exec.Command("go", "build", "-o", "bin/", "./saffronfall", "./rehearsalkit")
	build.Dir = scratch
	if out, err := build.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "it does not build: %s", out)
	}
	run := exec.Command("bin/rehearsalkit", "soak", "--binary", "bin/saffronfall", "--first", fmt.Sprint(first), "--seeds", fmt.Sprint(max(b.Seeds, 1)), "--stop", "--folder", "run/soak")
	run.Dir = scratch
	out, _ := run.CombinedOutput()
	for _, line := range strings.Split(string(out), "\n") {
		if _, told, ok := strings.Cut(line, "BROKEN "); ok {
			return told[:min(len(told), 240)], nil
		}
	}
	return "", errors.Newf("not found; the run ended with: %s", string(out[max(0, len(out)-300):]))
}
