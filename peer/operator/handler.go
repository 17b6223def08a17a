// Package operator has the HTTP API that a core offers to operators, and its Go client. All calls
// need the operator key. An error response says whether the request was executed ("ran": "no" or
// "maybe"), so that callers know when a retry is needed. Start reading at Handler and Client.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

const memberPrefix = "member/"

const (
	defaultApplyTimeout  = 15 * time.Second
	defaultChangeTimeout = 30 * time.Second
	// readTimeout applies to each read of a partition.
	readTimeout  = time.Second
	maxBodyBytes = 16 << 20
)

// Process runs functions on a core's state machine. Call and Inspect fail when ctx ends.
type Process interface {
	// Call runs a step and waits for the answer to its ticket.
	Call(ctx context.Context, step func(m *core.Machine, now time.Duration, ticket uint64) core.Output) (any, error)
	// Inspect returns the result of a read-only function.
	Inspect(ctx context.Context, read func(m *core.Machine, now time.Duration) any) (any, error)
	// Counters returns the process's counters by name.
	Counters(ctx context.Context) (map[string]int64, error)
}

// Identity is a core and the fleet that it was founded with.
type Identity struct {
	Core     core.Core     `json:"core"`
	Founded  bool          `json:"founded"`
	Founding core.Founding `json:"founding"`
}

// PartitionStatus is one partition as a core sees it.
type PartitionStatus struct {
	Partition int      `json:"part"`
	Leader    string   `json:"owner"`
	Term      uint64   `json:"term"`
	Epoch     uint64   `json:"epoch"`
	Members   []string `json:"seats"`
}

// Status is the fleet as one core sees it.
type Status struct {
	Fleet                string            `json:"fleet"`
	Cores                []core.Core       `json:"cores"`
	Partitions           []PartitionStatus `json:"parts"`
	Members              []core.Member     `json:"members"`
	LockedUsers          []core.LockedUser `json:"locked_out"`
	ConfigurationVersion uint64            `json:"configuration_version"`
	Breaker              string            `json:"breaker"`
	MissingPartitions    []int             `json:"parts_without_answer"`
	SilentCores          []core.Silence    `json:"silent_cores"`
	// ExposedPartitions might not survive the losses that the settings name as tolerated.
	ExposedPartitions []int `json:"exposed_parts"`
}

// ConfigurationRequest asks to apply a configuration in place of version BasedOn, or only to plan
// it. Zero TimeoutMS selects a default.
type ConfigurationRequest struct {
	BasedOn     uint64          `json:"based_on"`
	Description json.RawMessage `json:"description"`
	PlanOnly    bool            `json:"plan_only"`
	TimeoutMS   int64           `json:"budget_ms"`
}

// ErrorResponse is the body of an error response. Executed is "no" or "maybe".
type ErrorResponse struct {
	Code     string `json:"code"`
	Reason   string `json:"reason"`
	Executed string `json:"ran"`
}

// RequireKey rejects requests without the bearer key. An empty key rejects every request.
func RequireKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header := r.Header.Get("Authorization")
		if key == "" || subtle.ConstantTimeCompare([]byte(header), []byte("Bearer "+key)) != 1 {
			WriteJSON(w, http.StatusUnauthorized, ErrorResponse{Code: "unknown_key", Reason: "the operator key is missing or wrong", Executed: "no"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// WriteJSON writes a response with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.Encode(body)
}

// DrainHandler returns a handler that starts a graceful shutdown, as SIGTERM does.
func DrainHandler(drain chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case drain <- struct{}{}:
		default:
		}
		WriteJSON(w, http.StatusAccepted, map[string]bool{"draining": true})
	}
}

// Handler returns the operators' HTTP API of a core.
func Handler(p Process, key string, drain chan<- struct{}) http.Handler {
	mux := newSharedStateMux(p)
	mux.HandleFunc("POST /v1/drain", DrainHandler(drain))
	mux.HandleFunc("GET /v1/identity", func(w http.ResponseWriter, r *http.Request) {
		inspect(w, r, p, func(m *core.Machine, now time.Duration) any {
			return Identity{Core: m.Self(), Founded: m.Founded(), Founding: m.Founding()}
		})
	})
	mux.HandleFunc("POST /v1/found", func(w http.ResponseWriter, r *http.Request) {
		var f core.Founding
		if !readBody(w, r, &f) {
			return
		}
		answer, err := p.Call(r.Context(), func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
			out, ok := m.AcceptFounding(now, f)
			out.Answers = append(out.Answers, core.Answer{Ticket: ticket, Body: ok})
			return out
		})
		switch {
		case err != nil:
			WriteJSON(w, http.StatusServiceUnavailable, ErrorResponse{Code: "unsure", Reason: err.Error(), Executed: "maybe"})
		case answer == true:
			WriteJSON(w, http.StatusOK, map[string]bool{"founded": true})
		default:
			WriteJSON(w, http.StatusConflict, ErrorResponse{Code: "not_founded", Reason: "this core belongs to another fleet, or the founding does not name its incarnation", Executed: "no"})
		}
	})
	mux.HandleFunc("GET /v1/topology", func(w http.ResponseWriter, r *http.Request) {
		inspect(w, r, p, func(m *core.Machine, now time.Duration) any { return m.Topology() })
	})
	mux.HandleFunc("POST /v1/cores", func(w http.ResponseWriter, r *http.Request) {
		var c CoreChange
		if readBody(w, r, &c) {
			changeCores(w, r, p, c)
		}
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		status, err := GatherStatus(r.Context(), p)
		if err != nil {
			WriteJSON(w, http.StatusServiceUnavailable, ErrorResponse{Code: "unsure", Reason: err.Error(), Executed: "no"})
			return
		}
		WriteJSON(w, http.StatusOK, status)
	})
	mux.HandleFunc("GET /v1/configuration", func(w http.ResponseWriter, r *http.Request) {
		c, err := readConfiguration(r.Context(), p)
		if err != nil {
			WriteJSON(w, http.StatusServiceUnavailable, ErrorResponse{Code: "unsure", Reason: err.Error(), Executed: "no"})
			return
		}
		text := json.RawMessage(c.Text)
		if len(text) == 0 {
			text = json.RawMessage("null")
		}
		WriteJSON(w, http.StatusOK, map[string]any{"version": c.Version, "description": text})
	})
	mux.HandleFunc("POST /v1/configuration", func(w http.ResponseWriter, r *http.Request) {
		var request ConfigurationRequest
		if !readBody(w, r, &request) {
			return
		}
		applyConfiguration(w, r, p, request)
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, r *http.Request) {
		counts, err := p.Counters(r.Context())
		if err != nil {
			WriteJSON(w, http.StatusServiceUnavailable, ErrorResponse{Code: "unsure", Reason: err.Error(), Executed: "no"})
			return
		}
		WriteJSON(w, http.StatusOK, counts)
	})
	return RequireKey(key, mux)
}

func applyConfiguration(w http.ResponseWriter, r *http.Request, p Process, request ConfigurationRequest) {
	sum := sha256.Sum256(request.Description)
	timeout := time.Duration(request.TimeoutMS) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultApplyTimeout
	}
	answer, err := p.Call(r.Context(), func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.ApplyConfiguration(now, ticket, core.ApplyRequest{
			BasedOn:  request.BasedOn,
			Text:     request.Description,
			Digest:   hex.EncodeToString(sum[:]),
			Timeout:  timeout,
			PlanOnly: request.PlanOnly,
		})
	})
	if err != nil {
		WriteJSON(w, http.StatusServiceUnavailable, ErrorResponse{Code: "unsure", Reason: err.Error(), Executed: "maybe"})
		return
	}
	result := answer.(core.ApplyResult)
	status := map[string]int{
		"":                 http.StatusOK,
		"planned":          http.StatusOK,
		"agreed_not_taken": http.StatusAccepted,
		"faulty":           http.StatusBadRequest,
		"race_lost":        http.StatusConflict,
		"not_approved":     http.StatusUnprocessableEntity,
		"unsure":           http.StatusServiceUnavailable,
	}[result.Code]
	WriteJSON(w, status, result)
}

// CoreChange asks to add, retire or replace a core; By is the id of the replacement. New, if set,
// is registered before. Zero TimeoutMS selects a default.
type CoreChange struct {
	Kind      string     `json:"kind"`
	ID        string     `json:"id"`
	By        string     `json:"by,omitempty"`
	New       *core.Core `json:"new,omitempty"`
	TimeoutMS int64      `json:"budget_ms"`
}

func changeCores(w http.ResponseWriter, r *http.Request, p Process, c CoreChange) {
	timeout := time.Duration(c.TimeoutMS) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultChangeTimeout
	}
	if c.Kind != core.KindAdd && c.Kind != core.KindRetire && c.Kind != core.KindReplace {
		WriteJSON(w, http.StatusBadRequest, ErrorResponse{Code: "malformed", Reason: "kind must be add, retire or replace", Executed: "no"})
		return
	}
	if c.New != nil {
		answer, err := p.Call(r.Context(), func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
			return m.RegisterCore(now, ticket, *c.New, timeout)
		})
		if done, ok := answer.(core.Done); err != nil || !ok || !done.OK {
			WriteJSON(w, http.StatusConflict, ErrorResponse{
				Code:     "not_introduced",
				Reason:   "the core could not be made known; another core may have its name",
				Executed: "maybe",
			})
			return
		}
	}
	answer, err := p.Call(r.Context(), func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.ChangeCore(now, ticket, c.Kind, c.ID, c.By, timeout)
	})
	if err != nil {
		WriteJSON(w, http.StatusServiceUnavailable, ErrorResponse{Code: "unsure", Reason: err.Error(), Executed: "maybe"})
		return
	}
	changed := answer.(core.ChangeResult)
	status := map[string]int{
		"":             http.StatusOK,
		"unknown_core": http.StatusNotFound,
		"no_room":      http.StatusConflict,
		"not_finished": http.StatusAccepted,
	}[changed.Code]
	WriteJSON(w, status, changed)
}

func inspect(w http.ResponseWriter, r *http.Request, p Process, read func(m *core.Machine, now time.Duration) any) {
	body, err := p.Inspect(r.Context(), read)
	if err != nil {
		WriteJSON(w, http.StatusServiceUnavailable, ErrorResponse{Code: "unsure", Reason: err.Error(), Executed: "no"})
		return
	}
	WriteJSON(w, http.StatusOK, body)
}

func readBody(w http.ResponseWriter, r *http.Request, target any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(raw, target)
	}
	if err != nil {
		WriteJSON(w, http.StatusBadRequest, ErrorResponse{Code: "malformed", Reason: err.Error(), Executed: "no"})
		return false
	}
	return true
}

func readEntries(ctx context.Context, p Process, index int, prefix string) ([]partition.Entry, bool, error) {
	answer, err := p.Call(ctx, func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.RunCommand(now, ticket, core.ReadEntries{Partition: index, Prefix: prefix}, readTimeout)
	})
	if err != nil {
		return nil, false, err
	}
	result, ok := answer.(core.Outcome).Answer.(core.Entries)
	return result.Entries, ok, nil
}

func readConfiguration(ctx context.Context, p Process) (core.CurrentConfiguration, error) {
	var c core.CurrentConfiguration
	result, ok, err := readEntries(ctx, p, core.ConfigurationPartition, "configuration")
	if err != nil || !ok {
		return c, context.DeadlineExceeded
	}
	for _, e := range result {
		if err := message.Unmarshal(e.Value, &c); err != nil {
			return c, err
		}
	}
	return c, nil
}

// GatherStatus reads the status from all partitions. Those that don't answer are listed as
// missing.
func GatherStatus(ctx context.Context, p Process) (Status, error) {
	var s Status
	answer, err := p.Inspect(ctx, func(m *core.Machine, now time.Duration) any {
		s.SilentCores, s.ExposedPartitions = m.Silences(now), m.ExposedPartitions()
		return m.Topology()
	})
	if err != nil {
		return s, err
	}
	topology := answer.(core.Topology)
	s.Fleet = topology.Fleet
	for _, id := range ordered.Keys(topology.Cores) {
		s.Cores = append(s.Cores, topology.Cores[id])
	}
	for index := range topology.Leaders {
		s.Partitions = append(s.Partitions, PartitionStatus{
			Partition: index,
			Leader:    topology.Leaders[index].Leader,
			Term:      topology.Leaders[index].Round,
			Epoch:     topology.Groups[index].Epoch,
			Members:   topology.Groups[index].Members,
		})
		missing := false
		for _, prefix := range []string{memberPrefix, "breaker", "configuration"} {
			result, ok, err := readEntries(ctx, p, index, prefix)
			if err != nil {
				return s, err
			}
			missing = missing || !ok
			if !ok {
				break
			}
			for _, e := range result {
				s.addEntry(e)
			}
		}
		if answer, err := p.Call(ctx, func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
			return m.RunCommand(now, ticket, core.ReadLockedUsers{Partition: index}, readTimeout)
		}); err == nil && !missing {
			locked, _ := answer.(core.Outcome).Answer.(core.LockedUsers)
			s.LockedUsers = append(s.LockedUsers, locked.Users...)
		}
		if missing {
			s.MissingPartitions = append(s.MissingPartitions, index)
		}
	}
	if s.Breaker == "" {
		s.Breaker = "closed"
	}
	return s, nil
}

func (s *Status) addEntry(e partition.Entry) {
	var m core.Member
	var b core.BreakerSummary
	var c core.CurrentConfiguration
	switch {
	case len(e.Key) > len(memberPrefix) && strings.HasPrefix(e.Key, memberPrefix) && message.Unmarshal(e.Value, &m) == nil:
		s.Members = append(s.Members, m)
	case e.Key == "breaker" && message.Unmarshal(e.Value, &b) == nil:
		s.Breaker = b.State
		if b.State == "open" {
			s.Breaker += " (" + b.Reason + ", trip " + strconv.FormatInt(b.Trips, 10) + ")"
		}
	case e.Key == "configuration" && message.Unmarshal(e.Value, &c) == nil:
		s.ConfigurationVersion = c.Version
	}
}
