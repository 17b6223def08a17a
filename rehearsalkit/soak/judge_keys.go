package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Names of the rules on operation keys.
const (
	RuleKeyOnce     = "an operation runs at most once in its key's window"
	RuleKeyAnswers  = "all attempts at an operation get the answer of its run"
	RuleKeyProgress = "an operation is in progress only while an attempt may be at work"
	RuleKeyServed   = "repeats of an answered operation are answered once the troubles are over"
)

// operationRecord is what was seen of one operation of a tenant.
type operationRecord struct {
	requests []*request
	// runs are those that count, in order of time: a service with a record of operation keys does
	// not count runs that broke off.
	runs []run
}

// trace lists the attempts at an operation.
func (op *operationRecord) trace() string {
	var list []string
	for _, req := range op.requests {
		list = append(list, fmt.Sprintf("%s at %s from %v to %v: %d", req.Attempt, req.Node,
			req.Began.Round(time.Millisecond), req.Ended.Round(time.Millisecond), req.Status))
	}
	return strings.Join(list, ", ")
}

func (r *record) judgeKeys(map[string][]run) (list []Breach) {
	operations := map[string]*operationRecord{}
	find := func(tenant, key string) *operationRecord {
		name := requestKey(tenant, key)
		if operations[name] == nil {
			operations[name] = &operationRecord{}
		}
		return operations[name]
	}
	for _, req := range r.Requests {
		if req.OperationKey != "" {
			op := find(req.Tenant, req.OperationKey)
			op.requests = append(op.requests, req)
		}
	}
	for _, ran := range r.Runs {
		if ran.OperationKey != "" && !ran.BrokenOff {
			op := find(ran.Tenant, ran.OperationKey)
			op.runs = append(op.runs, ran)
		}
	}
	repeats, answered, failed := map[string]int{}, map[string]int{}, map[string][]string{}
	for name, op := range operations {
		list = append(list, r.judgeOperationRuns(name, op)...)
		list = append(list, judgeRepeats(name, op)...)
		list = append(list, r.judgeProgress(name, op)...)
		r.countRepeats(op, repeats, answered, failed)
	}
	for kind, count := range repeats {
		if count >= leastRepeats && float64(answered[kind]) < answeredShare*float64(count) {
			list = append(list, breach(RuleKeyServed, "%d of %d repeats of answered operations of kind %s were answered; the others: %s",
				answered[kind], count, kind, strings.Join(failed[kind], ", ")))
		}
	}
	return list
}

// judgeOperationRuns finds two runs of an operation in its key's window.
func (r *record) judgeOperationRuns(name string, op *operationRecord) (list []Breach) {
	for i := 1; i < len(op.runs); i++ {
		first, second := op.runs[i-1], op.runs[i]
		if second.At < first.At+r.KeyWindow {
			list = append(list, breach(RuleKeyOnce, "%s ran as attempt %s at %s at %v and as attempt %s at %s at %v; attempts: %s",
				name, first.Attempt, first.Replica, first.At, second.Attempt, second.Replica, second.At, op.trace()))
		}
	}
	return list
}

const failedPrefix = "failed "

// judgeRepeats finds successes, and failures reported by a replica, that are not of the
// operation's run.
func judgeRepeats(name string, op *operationRecord) (list []Breach) {
	for _, req := range op.requests {
		if !req.Whole {
			continue
		}
		failedAttempt, failed := strings.CutPrefix(req.Answer, failedPrefix)
		failed = failed && req.Status == http.StatusInternalServerError
		if req.Status != http.StatusOK && !failed {
			continue
		}
		given := false
		for _, ran := range op.runs {
			success := !failed && ran.Gave == req.Answer && req.Seal == "seal-"+ran.Attempt
			given = given || success || failed && failedAttempt == ran.Attempt
		}
		if !given {
			list = append(list, breach(RuleKeyAnswers, "attempt %s at %s of %s got %d with seal %q: %.100q; the runs are %+v",
				req.Attempt, req.Node, name, req.Status, req.Seal, req.Answer, op.runs))
		}
	}
	return list
}

// progressGrace is how long after an attempt's deadline its operation may still be in progress: as
// long as a replica with a record of keys runs it, and a command takes.
const progressGrace = maxRecordedRun + time.Second

// judgeProgress finds answers that an operation is in progress when no other attempt can be at work.
func (r *record) judgeProgress(name string, op *operationRecord) (list []Breach) {
	for _, req := range op.requests {
		if req.Status != http.StatusConflict {
			continue
		}
		possible := false
		var latest time.Duration
		for _, other := range op.requests {
			if other == req || other.Began > req.Ended {
				continue
			}
			until := r.mayWorkUntil(other)
			latest, possible = max(latest, until), possible || until > req.Began
		}
		if !possible {
			list = append(list, breach(RuleKeyProgress, "attempt %s at %s of %s got %d at %v; the other attempts had to be over at %v; attempts: %s",
				req.Attempt, req.Node, name, req.Status, req.Ended, latest, op.trace()))
		}
	}
	return list
}

// mayWorkUntil returns until when an attempt may be at work. Faults of its node, and those that can
// stop the cores, suspend it.
func (r *record) mayWorkUntil(req *request) time.Duration {
	until := req.Began + deadline + progressGrace
	for changed := true; changed; {
		changed = false
		for _, t := range r.Faults {
			resumed := t.To + contactTimeout + deadline + progressGrace
			suspends := !strings.HasPrefix(t.Kind, "replica") && t.From < until && t.To > req.Began
			if suspends && resumed > until {
				until, changed = resumed, true
			}
		}
	}
	return until
}

// answeredShare is the least share of repeats of answered operations to be answered after the
// faults, when there are leastRepeats. It is below 1 because a node may have been lost before it
// stored the answer.
const (
	answeredShare = 0.8
	leastRepeats  = 20
)

// countRepeats counts repeats after the faults of operations that had been answered, and those of
// them that were answered too. It lists the others.
func (r *record) countRepeats(op *operationRecord, repeats, answered map[string]int, failed map[string][]string) {
	calm := r.lastFault() + contactTimeout
	for _, req := range op.requests {
		if req.Ended < 0 || req.Began < calm || !r.answeredBefore(op, req) {
			continue
		}
		repeats[req.Kind]++
		if req.Whole && req.Status == http.StatusOK {
			answered[req.Kind]++
			continue
		}
		failed[req.Kind] = append(failed[req.Kind], fmt.Sprintf("%s at %s %d", req.Attempt, req.Node, req.Status))
	}
}

// answeredBefore reports whether an operation was answered before a request and its key has not
// expired.
func (r *record) answeredBefore(op *operationRecord, req *request) bool {
	for _, ran := range op.runs {
		if ran.At > req.Began || ran.At+r.KeyWindow < req.Began+deadline {
			continue
		}
		for _, other := range op.requests {
			if other.Whole && other.Status == http.StatusOK && other.Ended >= 0 && other.Ended < req.Began && other.Answer == ran.Gave {
				return true
			}
		}
	}
	return false
}
