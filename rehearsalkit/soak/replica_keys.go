package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const operationKeyHeader = "Saffronfall-Operation-Key"

// recordedOperation is an entry of a service's record of operation keys.
type recordedOperation struct {
	run  run
	done bool
}

// maxRecordedRun bounds how long a replica with a record of operation keys runs one.
const maxRecordedRun = 1200 * time.Millisecond

// serveRecorded serves a request of the service whose replicas share a record of operation keys. A
// key in the record is answered from it.
func (r *replica) serveRecorded(w http.ResponseWriter, req *http.Request, how behavior) {
	got, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if how == behaviorFull {
		refuseNotRun(w, http.StatusServiceUnavailable)
		return
	}
	ran := run{
		At:           r.endpoint.fleet.now(),
		Replica:      r.id,
		Service:      r.endpoint.service,
		Attempt:      req.Header.Get("Saffronfall-Attempt"),
		Tenant:       req.Header.Get("Saffronfall-Tenant"),
		Method:       req.Method,
		Path:         req.URL.Path,
		Got:          string(got),
		Gave:         r.answer(req, false),
		OperationKey: req.Header.Get(operationKeyHeader),
		BrokenOff:    true,
	}
	prior := r.beginOperation(ran)
	switch {
	case prior == nil:
		if !r.runOperation(ran, how) {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
	case !prior.done:
		refuseNotRun(w, http.StatusConflict)
		return
	default:
		ran = prior.run
	}
	w.Header().Set("Saffronfall-Seal", "seal-"+ran.Attempt)
	w.Header().Set("Saffronfall-Load", "1,0,8")
	switch how {
	case behaviorGood, behaviorLate, behaviorEarly, behaviorFails:
		io.WriteString(w, ran.Gave)
	default:
		r.misbehave(w, req, ran, how)
	}
}

func refuseNotRun(w http.ResponseWriter, status int) {
	w.Header().Set("Saffronfall-Not-Run", "1")
	w.WriteHeader(status)
}

// beginOperation records that a run begins. If the key is in the record, it returns a copy of its
// entry instead.
func (r *replica) beginOperation(ran run) (prior *recordedOperation) {
	name := requestKey(ran.Tenant, ran.OperationKey)
	r.endpoint.fleet.update(func(all *record) {
		if entry, ok := all.Operations[name]; ok {
			copied := *entry
			prior = &copied
			return
		}
		all.Operations[name] = &recordedOperation{run: ran}
		all.Runs = append(all.Runs, ran)
	})
	return prior
}

// runOperation runs an operation, also when its requester is gone. It reports whether the run is in
// the record; one that failed or whose replica crashed is not.
func (r *replica) runOperation(ran run, how behavior) bool {
	pause(r.ctx, time.Duration(5+rand.IntN(30))*time.Millisecond)
	if how == behaviorLate {
		pause(r.ctx, time.Duration(rand.Int64N(int64(maxRecordedRun))))
	}
	brokenOff := r.ctx.Err() != nil || how == behaviorFails
	name := requestKey(ran.Tenant, ran.OperationKey)
	r.endpoint.fleet.update(func(all *record) {
		if brokenOff {
			delete(all.Operations, name)
			return
		}
		all.Operations[name].done = true
		for i := range all.Runs {
			if same := &all.Runs[i]; same.Attempt == ran.Attempt && same.Tenant == ran.Tenant && same.At == ran.At {
				same.BrokenOff = false
			}
		}
	})
	return !brokenOff
}
