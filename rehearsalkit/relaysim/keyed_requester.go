package relaysim

import (
	"fmt"
	"time"
)

const (
	maxKeyedTries = 8
	// maxFinalTries is how often an operation is attempted again after an answer that will not
	// change: a failure, or an unknown outcome.
	maxFinalTries = 2
	// Fractions of attempts sent to two nodes at one moment, of requesters that disconnect early,
	// of good answers that are repeated soon or late, and of failed operations repeated late.
	doubleAttemptRate   = 0.12
	leaveEarlyRate      = 0.08
	repeatSoonRate      = 0.2
	repeatLateRate      = 0.1
	repeatAbandonedRate = 0.4
	// noKeyRate is the fraction of requests to a keyed route that have no operation key.
	noKeyRate = 0.1
	// firstKeyOffset separates the operation names of two requesters of one tenant.
	firstKeyOffset = 1_000_000
	// recentOperations are repeated after the closing fault.
	recentOperations = 40
)

// KeyedCall is the part of a request that has an operation key.
type KeyedCall struct {
	// Operation is the key, which all attempts at one operation share.
	Operation string
	// Replayed: the answer is the stored one of an earlier attempt.
	Replayed bool
	// leaveAfter is when the requester disconnects before its deadline; zero for never.
	leaveAfter time.Duration
}

// operation is one operation that a requester attempts until it gets an answer.
type operation struct {
	world *World
	// key is the tenant's, name the operation's.
	key, name, kind, path string
	tries, finalTries     int
}

// runKeyedRequester starts operations under fresh keys. Requesters of other tenants use the same
// names for their operations.
func (w *World) runKeyedRequester(key string, number int) {
	if w.requestersDone() {
		return
	}
	o := &operation{world: w, key: key, name: fmt.Sprintf("operation-%d", number), kind: "keyed", path: keyedPrefix + "x"}
	if number%2 == 1 {
		o.kind, o.path = "ledger", ledgerPrefix+"x"
	}
	if w.chance(noKeyRate) {
		w.callService("tool", keyedPrefix+"x", key, "", 0)
	}
	w.operations = append(w.operations, o)
	o.attempt()
	w.after(w.between(60*time.Millisecond, 400*time.Millisecond), func() { w.runKeyedRequester(key, number+1) })
}

// attempt sends the operation to a node, and sometimes to a second one at the same moment.
func (o *operation) attempt() {
	w := o.world
	if w.requestersDone() {
		return
	}
	o.tries++
	if w.chance(doubleAttemptRate) {
		w.Counts["keyed: two attempts at one moment"]++
		o.send(nil)
	}
	o.send(o.answered)
}

func (o *operation) send(done func(r *Request)) {
	w := o.world
	q := Request{
		Kind:      o.kind,
		Path:      o.path,
		Attempt:   w.uniqueID("a"),
		Key:       o.key,
		Tenant:    tenantOf(o.key),
		Input:     "do\n",
		Deadline:  w.between(800*time.Millisecond, 2500*time.Millisecond),
		KeyedCall: KeyedCall{Operation: o.name},
	}
	if w.chance(leaveEarlyRate) {
		q.leaveAfter = w.between(5*time.Millisecond, 400*time.Millisecond)
	}
	w.sendRequest(w.readyNode(), q, done)
}

// answered plans the next attempt by the answer to the last one.
func (o *operation) answered(r *Request) {
	w := o.world
	switch {
	case r.Outcome == Complete && w.chance(repeatSoonRate):
		w.after(w.between(5*time.Millisecond, 2*time.Second), o.attempt)
	case r.Outcome == Complete && w.chance(repeatLateRate):
		o.attemptLate()
	case r.Outcome == Complete, r.Outcome == Refused && (r.Status == 401 || r.Status == 404):
	case o.tries%maxKeyedTries != 0 && o.finalTries < maxFinalTries:
		if r.Outcome == Failed || r.Status == statusKeyUncertain {
			o.finalTries++
		}
		w.after(max(r.RetryAfter, 20*time.Millisecond)+w.between(0, 300*time.Millisecond), o.attempt)
	case w.chance(repeatAbandonedRate):
		o.attemptLate()
	}
}

// attemptLate attempts the operation again around the end of its key's window.
func (o *operation) attemptLate() {
	w := o.world
	w.Counts["keyed: late repeats"]++
	o.finalTries = 0
	w.after(w.between(keyWindow/4, keyWindow*13/10), o.attempt)
}

// repeatRecentOperations attempts the last operations again, within the given times from now.
func (w *World) repeatRecentOperations(from, until time.Duration) {
	for _, o := range w.operations[max(0, len(w.operations)-recentOperations):] {
		w.after(w.between(from, until), o.attempt)
	}
}

// operationNamed returns a tenant's operation, or nil.
func (w *World) operationNamed(tenant, name string) *operation {
	for _, o := range w.operations {
		if o.name == name && tenantOf(o.key) == tenant {
			return o
		}
	}
	return nil
}
