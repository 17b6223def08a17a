// Package operator is the side of the fleet that operators see: what a core
// answers them, and the calls that the command line makes.
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
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// Process is a core as its operators' side needs it.
type Process interface {
	Call(ctx context.Context, step func(m *core.Machine, now time.Duration, ticket uint64) core.Output) (any, error)
	Look(ctx context.Context, look func(m *core.Machine, now time.Duration) any) (any, error)
	Counters(ctx context.Context) (map[string]int64, error)
}

// Identity is what a core says of itself.
type Identity struct {
	Core     core.Core     `json:"core"`
	Founded  bool          `json:"founded"`
	Founding core.Founding `json:"founding"`
}

// PartStatus is one part as a core sees it.
type PartStatus struct {
	Part  int      `json:"part"`
	Owner string   `json:"owner"`
	Round uint64   `json:"term"`
	Epoch uint64   `json:"epoch"`
	Seats []string `json:"seats"`
}

// Status is the fleet as one core sees it.
type Status struct {
	Fleet   string            `json:"fleet"`
	Cores   []core.Core       `json:"cores"`
	Parts   []PartStatus      `json:"parts"`
	Members []core.Member     `json:"members"`
	Locked  []core.LockedUser `json:"locked_out"`
	Version uint64            `json:"configuration_version"`
	Breaker string            `json:"breaker"`
	Missing []int             `json:"parts_without_answer"`
}

// Handed is a description as it is handed over.
type Handed struct {
	BasedOn     uint64          `json:"based_on"`
	Description json.RawMessage `json:"description"`
	PlanOnly    bool            `json:"plan_only"`
	BudgetMS    int64           `json:"budget_ms"`
}

// Fault is an operator's side refusal.
type Fault struct {
	Code   string `json:"code"`
	Reason string `json:"reason"`
	Ran    string `json:"ran"`
}

// Guard lets only those in who show a key; with an empty key it lets in none.
func Guard(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shown := r.Header.Get("Authorization")
		if key == "" || subtle.ConstantTimeCompare([]byte(shown), []byte("Bearer "+key)) != 1 {
			Write(w, 401, Fault{Code: "unknown_key", Reason: "the operator key is missing or wrong", Ran: "no"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Write writes a JSON return.
func Write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.Encode(body)
}

// Drain asks a process to leave, as SIGTERM does.
func Drain(drain chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case drain <- struct{}{}:
		default:
		}
		Write(w, 202, map[string]bool{"draining": true})
	}
}

// Handler is a core's operators' side.
func Handler(p Process, key string, drain chan<- struct{}) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/drain", Drain(drain))
	mux.HandleFunc("GET /v1/identity", func(w http.ResponseWriter, r *http.Request) {
		answer(w, r, p, func(m *core.Machine, now time.Duration) any {
			return Identity{Core: m.Self(), Founded: m.Founded(), Founding: m.Founding()}
		})
	})
	mux.HandleFunc("POST /v1/found", func(w http.ResponseWriter, r *http.Request) {
		var f core.Founding
		if !readBody(w, r, &f) {
			return
		}
		body, err := p.Call(r.Context(), func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
			out, ok := m.Found(now, f)
			out.Answers = append(out.Answers, core.Answer{Ticket: ticket, Body: ok})
			return out
		})
		switch {
		case err != nil:
			Write(w, 503, Fault{Code: "unsure", Reason: err.Error(), Ran: "maybe"})
		case body == true:
			Write(w, 200, map[string]bool{"founded": true})
		default:
			Write(w, 409, Fault{Code: "not_founded", Reason: "this core belongs to another fleet, or the founding does not name its incarnation", Ran: "no"})
		}
	})
	mux.HandleFunc("GET /v1/topology", func(w http.ResponseWriter, r *http.Request) {
		answer(w, r, p, func(m *core.Machine, now time.Duration) any { return m.Topology() })
	})
	mux.HandleFunc("POST /v1/cores", func(w http.ResponseWriter, r *http.Request) {
		var c Life
		if readBody(w, r, &c) {
			change(w, r, p, c)
		}
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		status, err := Gather(r.Context(), p)
		if err != nil {
			Write(w, 503, Fault{Code: "unsure", Reason: err.Error(), Ran: "no"})
			return
		}
		Write(w, 200, status)
	})
	mux.HandleFunc("GET /v1/configuration", func(w http.ResponseWriter, r *http.Request) {
		c, err := configured(r.Context(), p)
		if err != nil {
			Write(w, 503, Fault{Code: "unsure", Reason: err.Error(), Ran: "no"})
			return
		}
		text := json.RawMessage(c.Text)
		if len(text) == 0 {
			text = json.RawMessage("null")
		}
		Write(w, 200, map[string]any{"version": c.Version, "description": text})
	})
	mux.HandleFunc("POST /v1/configuration", func(w http.ResponseWriter, r *http.Request) {
		var h Handed
		if !readBody(w, r, &h) {
			return
		}
		hand(w, r, p, h)
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, r *http.Request) {
		counts, err := p.Counters(r.Context())
		if err != nil {
			Write(w, 503, Fault{Code: "unsure", Reason: err.Error(), Ran: "no"})
			return
		}
		Write(w, 200, counts)
	})
	return Guard(key, mux)
}

func hand(w http.ResponseWriter, r *http.Request, p Process, h Handed) {
	sum := sha256.Sum256(h.Description)
	within := time.Duration(h.BudgetMS) * time.Millisecond
	if within <= 0 {
		within = 15 * time.Second
	}
	body, err := p.Call(r.Context(), func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.ApplyConfiguration(now, ticket, core.ApplyRequest{BasedOn: h.BasedOn, Text: h.Description, Digest: hex.EncodeToString(sum[:]), Timeout: within, PlanOnly: h.PlanOnly})
	})
	if err != nil {
		Write(w, 503, Fault{Code: "unsure", Reason: err.Error(), Ran: "maybe"})
		return
	}
	taking := body.(core.ApplyResult)
	status := map[string]int{"": 200, "planned": 200, "agreed_not_taken": 202, "faulty": 400, "race_lost": 409, "not_approved": 422, "unsure": 503}[taking.Code]
	Write(w, status, taking)
}

// Life is a change in a core's life, as an operator asks for it.
type Life struct {
	Kind     string     `json:"kind"`
	ID       string     `json:"id"`
	By       string     `json:"by,omitempty"`
	New      *core.Core `json:"new,omitempty"`
	BudgetMS int64      `json:"budget_ms"`
}

func change(w http.ResponseWriter, r *http.Request, p Process, c Life) {
	within := time.Duration(c.BudgetMS) * time.Millisecond
	if within <= 0 {
		within = 30 * time.Second
	}
	if c.Kind != core.KindAdd && c.Kind != core.KindRetire && c.Kind != core.KindReplace {
		Write(w, 400, Fault{Code: "malformed", Reason: "kind must be add, retire or replace", Ran: "no"})
		return
	}
	if c.New != nil {
		body, err := p.Call(r.Context(), func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
			return m.RegisterCore(now, ticket, *c.New, within)
		})
		if done, ok := body.(core.Done); err != nil || !ok || !done.OK {
			Write(w, 409, Fault{Code: "not_introduced", Reason: "the core could not be made known; another core may have its name", Ran: "maybe"})
			return
		}
	}
	body, err := p.Call(r.Context(), func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.ChangeCore(now, ticket, c.Kind, c.ID, c.By, within)
	})
	if err != nil {
		Write(w, 503, Fault{Code: "unsure", Reason: err.Error(), Ran: "maybe"})
		return
	}
	changed := body.(core.ChangeResult)
	status := map[string]int{"": 200, "unknown_core": 404, "no_room": 409, "not_finished": 202}[changed.Code]
	Write(w, status, changed)
}

func answer(w http.ResponseWriter, r *http.Request, p Process, look func(m *core.Machine, now time.Duration) any) {
	body, err := p.Look(r.Context(), look)
	if err != nil {
		Write(w, 503, Fault{Code: "unsure", Reason: err.Error(), Ran: "no"})
		return
	}
	Write(w, 200, body)
}

func readBody(w http.ResponseWriter, r *http.Request, target any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 16<<20))
	if err == nil {
		err = json.Unmarshal(raw, target)
	}
	if err != nil {
		Write(w, 400, Fault{Code: "malformed", Reason: err.Error(), Ran: "no"})
		return false
	}
	return true
}

func entries(ctx context.Context, p Process, number int, prefix string) ([]partition.Entry, bool, error) {
	body, err := p.Call(ctx, func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.RunCommand(now, ticket, core.ReadEntries{Partition: number, Prefix: prefix}, time.Second)
	})
	if err != nil {
		return nil, false, err
	}
	list, ok := body.(core.Outcome).Answer.(core.Entries)
	return list.Entries, ok, nil
}

func configured(ctx context.Context, p Process) (core.CurrentConfiguration, error) {
	var c core.CurrentConfiguration
	list, ok, err := entries(ctx, p, core.ConfigurationPartition, "configuration")
	if err != nil || !ok {
		return c, context.DeadlineExceeded
	}
	for _, e := range list {
		if err := message.Unmarshal(e.Value, &c); err != nil {
			return c, err
		}
	}
	return c, nil
}

// Gather asks every part for what operators want to see.
func Gather(ctx context.Context, p Process) (Status, error) {
	var s Status
	body, err := p.Look(ctx, func(m *core.Machine, now time.Duration) any { return m.Topology() })
	if err != nil {
		return s, err
	}
	t := body.(core.Topology)
	s.Fleet = t.Fleet
	for _, id := range ordered.Keys(t.Cores) {
		s.Cores = append(s.Cores, t.Cores[id])
	}
	for n := range t.Leaders {
		s.Parts = append(s.Parts, PartStatus{Part: n, Owner: t.Leaders[n].Leader, Round: t.Leaders[n].Round, Epoch: t.Groups[n].Epoch, Seats: t.Groups[n].Members})
		missing := false
		for _, prefix := range []string{"member/", "breaker", "configuration"} {
			list, ok, err := entries(ctx, p, n, prefix)
			if err != nil {
				return s, err
			}
			missing = missing || !ok
			if !ok {
				break
			}
			for _, e := range list {
				s.add(e)
			}
		}
		if told, err := p.Call(ctx, func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
			return m.RunCommand(now, ticket, core.ReadLockedUsers{Partition: n}, time.Second)
		}); err == nil && !missing {
			locked, _ := told.(core.Outcome).Answer.(core.LockedUsers)
			s.Locked = append(s.Locked, locked.Users...)
		}
		if missing {
			s.Missing = append(s.Missing, n)
		}
	}
	if s.Breaker == "" {
		s.Breaker = "closed"
	}
	return s, nil
}

func (s *Status) add(e partition.Entry) {
	var m core.Member
	var b core.BreakerSummary
	var c core.CurrentConfiguration
	switch {
	case len(e.Key) > 7 && e.Key[:7] == "member/" && message.Unmarshal(e.Value, &m) == nil:
		s.Members = append(s.Members, m)
	case e.Key == "breaker" && message.Unmarshal(e.Value, &b) == nil:
		s.Breaker = b.State
		if b.State == "open" {
			s.Breaker += " (" + b.Reason + ", trip " + strconv.FormatInt(b.Trips, 10) + ")"
		}
	case e.Key == "configuration" && message.Unmarshal(e.Value, &c) == nil:
		s.Version = c.Version
	}
}
