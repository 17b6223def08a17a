// Package telemetry serves a process's metrics in the Prometheus text format and its recent failed
// requests as JSON. A failure of this server never ends the process.
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

	"saffronfall/peer/httpserver"
	"saffronfall/peer/stream"
	"saffronfall/rule/invariant"
	"saffronfall/rule/ordered"
)

// Snapshot holds a process's counters and recent failures at one moment.
type Snapshot struct {
	// Values holds counters and gauges by name, without the saffronfall_ROLE_ prefix.
	Values map[string]int64
	// Violations counts violations by invariant.
	Violations map[invariant.Name]int64
	// Sent are the messages to other processes by the name of their type.
	Sent map[string]stream.Traffic
	// Failures are the recent failed requests, oldest first, as JSON; nil for roles that serve
	// none.
	Failures any
}

// Source provides the telemetry of one process.
type Source struct {
	// Role is part of the metrics' names: saffronfall_ROLE_NAME.
	Role string
	// Snapshot takes a snapshot on the goroutine that owns the counters.
	Snapshot func(ctx context.Context) (Snapshot, error)
	// Set holds further metrics, such as histograms; it may be nil.
	Set *metrics.Set
}

const snapshotTimeout = 2 * time.Second

// Handler serves /metrics and /failures for a source.
func Handler(s Source) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		if snapshot, ok := s.snapshot(w, r); ok {
			w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
			s.write(w, snapshot)
		}
	})
	mux.HandleFunc("GET /failures", func(w http.ResponseWriter, r *http.Request) {
		if snapshot, ok := s.snapshot(w, r); ok {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(snapshot.Failures)
		}
	})
	return mux
}

// snapshot answers the request with 503 if it returns false.
func (s Source) snapshot(w http.ResponseWriter, r *http.Request) (Snapshot, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), snapshotTimeout)
	defer cancel()
	snapshot, err := s.Snapshot(ctx)
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
	fmt.Fprintf(w, "saffronfall_%s_connections_evicted_total %d\n", s.Role, httpserver.Evictions())
	var total int64
	for _, name := range ordered.Keys(snapshot.Violations) {
		total += snapshot.Violations[name]
		fmt.Fprintf(w, "saffronfall_invariant_violations_total{invariant=%q} %d\n", name, snapshot.Violations[name])
	}
	fmt.Fprintf(w, "saffronfall_invariant_violations %d\n", total)
	for _, name := range ordered.Keys(snapshot.Sent) {
		sent := snapshot.Sent[name]
		fmt.Fprintf(w, "saffronfall_%s_sent_messages_total{message=%q} %d\n", s.Role, name, sent.Messages)
		fmt.Fprintf(w, "saffronfall_%s_sent_bytes_total{message=%q} %d\n", s.Role, name, sent.Bytes)
	}
	if s.Set != nil {
		s.Set.WritePrometheus(w)
	}
	metrics.WriteProcessMetrics(w)
}

// Serve adds a server of the source's Handler to the group, unless the address is empty. If the
// address cannot be used, the process continues without metrics.
func Serve(group *run.Group, listen string, limits httpserver.Limits, s Source, log logr.Logger) {
	if listen == "" {
		return
	}
	server := &http.Server{Addr: listen, Handler: Handler(s), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	ended := make(chan struct{})
	group.Add(func() error {
		if err := httpserver.ListenAndServe(server, limits); !errors.Is(err, http.ErrServerClosed) {
			log.Info("metrics server failed; the process continues without metrics", "address", listen, "cause", err.Error())
		}
		<-ended
		return nil
	}, func(error) {
		server.Close()
		close(ended)
	})
}

// NewViolationCounts returns the counters of violated invariants. The first violation of each is
// logged; if strict is set, it panics instead.
func NewViolationCounts(strict bool, log logr.Logger) *invariant.Counter {
	return &invariant.Counter{OnFirst: func(v invariant.Violation) {
		if strict {
			panic(v)
		}
		log.Error(v, "an invariant was violated; further violations of it are counted but not logged", "invariant", v.Name)
	}}
}

// ViolationCounts returns a copy of the counters for a Snapshot.
func ViolationCounts(c *invariant.Counter) map[invariant.Name]int64 {
	counts := map[invariant.Name]int64{}
	c.Each(func(name invariant.Name, count int64) { counts[name] = count })
	return counts
}
