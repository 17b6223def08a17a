// Package telemetry tells what a process counts: metrics as text in the usual
// exposition format, and the last requests that failed as JSON. It starts from
// Handler; Serve runs it beside a role's other servers.
package telemetry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"saffronfall/rule/invariant"
	"saffronfall/rule/ordered"
)

// Snapshot is what a process counts at one moment. Its owner takes it.
type Snapshot struct {
	// Values are counts and levels by name.
	Values map[string]int64
	// Violations are counts of violated invariants.
	Violations map[invariant.Name]int64
	// Failures are the last requests that failed, oldest first; nil where the role
	// serves none.
	Failures any
}

// Source is a process that can be asked.
type Source struct {
	// Role stands in the metrics' names.
	Role string
	// Look takes a snapshot on the goroutine that owns what is counted.
	Look func(ctx context.Context) (Snapshot, error)
	// Set holds what is counted elsewhere, such as histograms; it may be nil.
	Set *metrics.Set
}

// patience is how long a process may take to answer.
const patience = 2 * time.Second

// Handler serves /metrics and /failures.
func Handler(s Source) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		if snapshot, ok := s.look(w, r); ok {
			w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
			s.write(w, snapshot)
		}
	})
	mux.HandleFunc("GET /failures", func(w http.ResponseWriter, r *http.Request) {
		if snapshot, ok := s.look(w, r); ok {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(snapshot.Failures)
		}
	})
	return mux
}

func (s Source) look(w http.ResponseWriter, r *http.Request) (Snapshot, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), patience)
	defer cancel()
	snapshot, err := s.Look(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return Snapshot{}, false
	}
	return snapshot, true
}

func (s Source) write(w io.Writer, snapshot Snapshot) {
	for _, name := range ordered.Keys(snapshot.Values) {
		fmt.Fprintf(w, "saffronfall_%s_%s %d\n", s.Role, name, snapshot.Values[name])
	}
	var total int64
	for _, name := range ordered.Keys(snapshot.Violations) {
		total += snapshot.Violations[name]
		fmt.Fprintf(w, "saffronfall_invariant_violations_total{invariant=%q} %d\n", name, snapshot.Violations[name])
	}
	fmt.Fprintf(w, "saffronfall_invariant_violations %d\n", total)
	if s.Set != nil {
		s.Set.WritePrometheus(w)
	}
	metrics.WriteProcessMetrics(w)
}

// Serve runs the handler at an address, if there is one. It must not end the
// process: an address that can't be had is logged, and the role goes on unseen.
func Serve(group *run.Group, listen string, s Source, log logr.Logger) {
	if listen == "" {
		return
	}
	server := &http.Server{Addr: listen, Handler: Handler(s), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	ended := make(chan struct{})
	group.Add(func() error {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			log.Info("no metrics are told", "address", listen, "cause", err.Error())
		}
		<-ended
		return nil
	}, func(error) {
		server.Close()
		close(ended)
	})
}

// Violations makes the counts of a process's violated invariants. Each is logged
// once; where they are strict, the first one ends the process.
func Violations(strict bool, log logr.Logger) *invariant.Counter {
	return &invariant.Counter{First: func(v invariant.Violation) {
		if strict {
			panic(v)
		}
		log.Error(v, "an invariant was violated; it is counted and not logged again", "invariant", v.Name)
	}}
}

// Counted copies counts of violations for a snapshot.
func Counted(c *invariant.Counter) map[invariant.Name]int64 {
	counted := map[invariant.Name]int64{}
	c.Each(func(name invariant.Name, count int64) { counted[name] = count })
	return counted
}
