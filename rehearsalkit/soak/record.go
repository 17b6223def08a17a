package soak

import (
	"context"
	"fmt"
	"sort"
	"time"
)

// Kinds of requests, which are also the first segments of their paths.
const (
	kindAlert = "alert"
	kindOnce  = "once"
	kindChat  = "chat"
	kindKept  = "kept"
	// Requests of these kinds have operation keys: kindKeyed goes to a service without a record of
	// keys, kindRecorded to one with a record, and kindMoved to either, depending on the table.
	kindKeyed    = "keyed"
	kindRecorded = "recorded"
	kindMoved    = "moved"
)

var keyedKinds = []string{kindKeyed, kindRecorded, kindMoved}

type request struct {
	Attempt, Kind, Tenant, Node string
	Method, Path, Body          string
	continuation
	operationUse
	Program string
	Budget  int64
	// Misbehaving requests need not be served or answered in time.
	Misbehaving bool
	// Repeats marks an attempt id that is used more than once.
	Repeats bool

	Began time.Duration
	result
}

// continuation is empty for requests that continue no turn.
type continuation struct {
	// Before is the history that a replica must receive before the body.
	Before string
	// Previous is the attempt id of the turn that this one continues.
	Previous string
}

// operationUse is empty for requests without an operation key.
type operationUse struct {
	OperationKey string
	// Repeat marks all but the first attempt at the operation.
	Repeat bool
}

type result struct {
	// Ended is negative until the request has ended.
	Ended time.Duration
	// Status is 0 if there was no answer. Whole marks a complete one.
	Status int
	Whole  bool
	Answer string
	Seal   string
}

// run is one request that a replica ran.
type run struct {
	At                                                   time.Duration
	Replica, Service, Attempt, Tenant, Method, Path, Got string
	// Gave is the complete answer that the replica intended to send.
	Gave         string
	OperationKey string
	// BrokenOff: the service's record of operation keys does not have this run. It may run again.
	BrokenOff bool
}

type tableUpdate struct {
	Base, Number uint64
	Began, Ended time.Duration
	Status       int
	Valid        bool
}

// tableRead is the number of the table that a registry returned.
type tableRead struct {
	Registry     string
	Began, Ended time.Duration
	Number       uint64
}

// departure is when a registry first acknowledged that a replica leaves.
type departure struct {
	Replica string
	At      time.Duration
}

// fault is an injected fault. Target names what it affected, separated by spaces.
type fault struct {
	Kind, Target string
	From, To     time.Duration
}

func (t fault) String() string {
	return fmt.Sprintf("%6.2fs to %6.2fs %s %s", t.From.Seconds(), t.To.Seconds(), t.Kind, t.Target)
}

type record struct {
	Requests     []*request
	Runs         []run
	TableUpdates []tableUpdate
	TableReads   []tableRead
	Departures   []departure
	Faults       []fault
	// Operations is the record of operation keys that the replicas of one service share.
	Operations map[string]*recordedOperation
	// KeyWindow is the window of operation keys.
	KeyWindow time.Duration
	// Breaches were detected during the run.
	Breaches []Breach
}

// recorder owns the record: one goroutine applies all updates.
type recorder struct {
	updates chan func(r *record)
	ctx     context.Context
	start   time.Time
}

func newRecorder(ctx context.Context) *recorder {
	c := &recorder{updates: make(chan func(r *record), 256), ctx: ctx, start: time.Now()}
	go func() {
		all := record{Operations: map[string]*recordedOperation{}}
		for {
			select {
			case update := <-c.updates:
				update(&all)
			case <-ctx.Done():
				return
			}
		}
	}()
	return c
}

func (c *recorder) now() time.Duration { return time.Since(c.start) }

// update returns when the record is changed or the run has ended.
func (c *recorder) update(change func(r *record)) {
	done := make(chan struct{})
	select {
	case c.updates <- func(r *record) { change(r); close(done) }:
	case <-c.ctx.Done():
		return
	}
	select {
	case <-done:
	case <-c.ctx.Done():
	}
}

func (c *recorder) recordBreach(rule, format string, args ...any) {
	c.update(func(r *record) {
		r.Breaches = append(r.Breaches, Breach{Rule: rule, Text: fmt.Sprintf(format, args...)})
	})
}

// snapshot returns a copy of the record, with runs in order of time.
func (c *recorder) snapshot() record {
	var all record
	c.update(func(r *record) {
		all = *r
		all.Requests = nil
		for _, req := range r.Requests {
			copied := *req
			all.Requests = append(all.Requests, &copied)
		}
		all.Runs = append([]run(nil), r.Runs...)
	})
	sort.Slice(all.Runs, func(i, k int) bool { return all.Runs[i].At < all.Runs[k].At })
	return all
}
