package relaysim

import (
	"fmt"
	"strings"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/relay"
)

// The ledgers keep a record of operation keys, which their replicas share.
const ledgerA, ledgerB = "ledger-a", "ledger-b"

// Prefixes of the keyed routes: to services without a record of keys, and to ledgers.
const (
	keyedPrefix  = "/keyed/"
	ledgerPrefix = "/ledger/"
)

const (
	keyWindow = 20 * time.Second
	// maxKeyResponse is the size in bytes up to which responses are stored.
	maxKeyResponse = 200
	// longestKeyedRun is the longest run of an operation with a key.
	longestKeyedRun = 1200 * time.Millisecond
	// Fractions of keyed operations that run long, whose answer is lost, and whose response is too
	// large to be stored.
	longKeyedRate       = 0.15
	lostKeyedAnswerRate = 0.08
	largeResponseRate   = 0.03
)

func deduplicates(service string) bool { return service == ledgerA || service == ledgerB }

// allServices lists the services in the order in which replicas replace scarce ones.
func allServices() []string { return []string{modelA, modelB, plainA, plainB, ledgerA, ledgerB} }

// recordedKey names an operation in the records of services.
type recordedKey struct{ service, tenant, operation string }

// keyRecord is a service's record of one operation. The operation is in progress until done.
type keyRecord struct {
	holder   *job
	done     bool
	response keyedResponse
}

// keyedResponse is a replica's response to an operation with a key.
type keyedResponse struct {
	body   string
	failed bool
}

func (r keyedResponse) stored() *core.KeyResponse {
	status := 200
	if r.failed {
		status = 500
	}
	return &core.KeyResponse{Status: status, Body: []byte(r.body)}
}

func (j *job) recordedKey() recordedKey {
	s := j.dispatch
	return recordedKey{service: j.replica.service, tenant: s.step.Tenant, operation: s.request.request.Operation}
}

// answerFromRecord answers a job whose operation its service has run or is running. It reports
// false if the job must run.
func (r *replica) answerFromRecord(j *job) bool {
	if j.dispatch.request.request.Operation == "" || !deduplicates(r.service) {
		return false
	}
	w, s := r.world, j.dispatch
	record, ok := w.keyRecords[j.recordedKey()]
	if !ok {
		w.keyRecords[j.recordedKey()] = &keyRecord{holder: j}
		return false
	}
	j.ended = true
	if !record.done {
		w.Counts["keyed: in progress at the service"]++
		s.respond(func() { s.finish(relay.Outcome{Kind: relay.OutcomeNotRun, InProgress: true, Load: r.load()}) })
		return true
	}
	w.Counts["keyed: answered from the service's record"]++
	s.keyed = record.response
	s.respond(func() {
		s.finish(relay.Outcome{Kind: relay.OutcomeComplete, Failed: record.response.failed, Load: r.load()})
	})
	return true
}

// forgetUnfinished removes the record of an operation that its job broke off.
func (j *job) forgetUnfinished() {
	w := j.replica.world
	if record, ok := w.keyRecords[j.recordedKey()]; ok && record.holder == j && !record.done {
		w.Counts["keyed: runs broken off at a ledger"]++
		delete(w.keyRecords, j.recordedKey())
	}
}

func (j *job) observe(moment string) {
	if seen := j.replica.world.observers.operation; seen != nil {
		seen(moment, j.dispatch.request)
	}
}

// runKeyed runs a started job of an operation with a key. run is the index of its execution.
func (r *replica) runKeyed(j *job, run int) {
	w, s := r.world, j.dispatch
	w.Counts["keyed: runs"]++
	j.observe(momentRun)
	took := w.between(3*time.Millisecond, 40*time.Millisecond)
	if w.chance(longKeyedRate) {
		took = w.between(200*time.Millisecond, longestKeyedRun)
	}
	lost, failed := w.chance(lostKeyedAnswerRate), w.chance(failedAnswerRate)
	body := fmt.Sprintf("%s run %d", s.request.request.Attempt, run)
	if w.chance(largeResponseRate) {
		body += strings.Repeat(" ", maxKeyResponse)
	}
	w.after(took, func() {
		if !r.finish(j) {
			return
		}
		j.observe(momentAnswer)
		s.keyed = keyedResponse{body: body, failed: failed}
		w.Record.Runs[run].Output, w.Record.Runs[run].Complete = body, true
		if record, ok := w.keyRecords[j.recordedKey()]; ok {
			record.done, record.response = true, s.keyed
		}
		o := relay.Outcome{Kind: relay.OutcomeComplete, Failed: failed, Load: r.load()}
		if lost {
			w.Counts["keyed: answers lost"]++
			o = relay.Outcome{Kind: relay.OutcomeInterrupted}
		}
		s.respond(func() { s.finish(o) })
	})
}
