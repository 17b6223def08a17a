package soak

import (
	"context"
	"fmt"
	"sort"
	"time"
)

// Kinds of requests, which are also the first parts of their paths.
const (
	kindAlert = "alert"
	kindOnce  = "once"
	kindChat  = "chat"
	kindKept  = "kept"
)

// request is one try of a stand-in requester.
type request struct {
	Attempt, Kind, Tenant, Node string
	Method, Path, Body          string
	// Before is what a replica is to get before the body.
	Before string
	// Previous names the kept turn that it goes on from.
	Previous string
	Program  string
	Budget   int64
	// Rude requesters break the protocol: only what replicas ran of theirs counts.
	Misbehaving bool
	// Repeats says that the attempt's id is used more than once.
	Repeats bool

	Began time.Duration
	result
}

// end is what became of a request.
type result struct {
	Ended time.Duration
	// Status is the answer's; zero: none came. Whole says that it came whole.
	Status int
	Whole  bool
	Answer string
}

// run is one request that a replica ran.
type run struct {
	At                                                   time.Duration
	Replica, Service, Attempt, Tenant, Method, Path, Got string
	// Gave is the whole answer that the replica meant to give.
	Gave string
}

// order is a routing table that an operator handed over.
type tableUpdate struct {
	Base, Number uint64
	Began, Ended time.Duration
	Status       int
	Valid        bool
}

// reading is a table that was read back.
type tableRead struct {
	Desk         string
	Began, Ended time.Duration
	Number       uint64
}

// word is that a replica leaves, acknowledged by a desk.
type departure struct {
	Replica string
	At      time.Duration
}

// trouble is what befell something, for a time.
type fault struct {
	Kind, Target string
	From, To     time.Duration
}

func (t fault) String() string {
	return fmt.Sprintf("%6.2fs to %6.2fs %s %s", t.From.Seconds(), t.To.Seconds(), t.Kind, t.Target)
}

// record is all that requesters, replicas and operators saw.
type record struct {
	Requests   []*request
	Runs       []run
	Updates    []tableUpdate
	Reads      []tableRead
	Departures []departure
	Faults     []fault
	// Found are breaches that were seen while the run went on.
	Breaches []Breach
}

// journal owns the record while a run goes on.
type recorder struct {
	updates chan func(r *record)
	ctx     context.Context
	start   time.Time
}

func newRecorder(ctx context.Context) *recorder {
	j := &recorder{updates: make(chan func(r *record), 256), ctx: ctx, start: time.Now()}
	go func() {
		var all record
		for {
			select {
			case update := <-j.updates:
				update(&all)
			case <-ctx.Done():
				return
			}
		}
	}()
	return j
}

func (j *recorder) now() time.Duration { return time.Since(j.start) }

// note changes the record, and returns when that is done.
func (j *recorder) update(what func(r *record)) {
	done := make(chan struct{})
	select {
	case j.updates <- func(r *record) { what(r); close(done) }:
	case <-j.ctx.Done():
		return
	}
	select {
	case <-done:
	case <-j.ctx.Done():
	}
}

// found notes a breach.
func (j *recorder) recordBreach(rule, format string, args ...any) {
	j.update(func(r *record) {
		r.Breaches = append(r.Breaches, Breach{Rule: rule, Text: fmt.Sprintf(format, args...)})
	})
}

// copied is the record as it stands.
func (j *recorder) snapshot() record {
	var all record
	j.update(func(r *record) {
		all = *r
		all.Requests = nil
		for _, q := range r.Requests {
			one := *q
			all.Requests = append(all.Requests, &one)
		}
		all.Runs = append([]run(nil), r.Runs...)
	})
	sort.Slice(all.Runs, func(i, k int) bool { return all.Runs[i].At < all.Runs[k].At })
	return all
}
