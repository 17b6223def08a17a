// Package replay replays recent requests under two configurations and counts those that
// only the newer one would refuse.
//
// A replay applies the checks of nodes in their order to samples. Start reading at Run.
package replay

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"saffronfall/rule/configuration"
	"saffronfall/rule/ordered"
	"saffronfall/rule/program"
)

// Sample is one recent request. Kind is open, turn, tool, action or close. Steps and Charged are
// the totals of its program including this request, Tokens is its own charge. Age is the time since
// it was made. Refused is its actual outcome, which a replay ignores.
type Sample struct {
	Tenant    string        `msgpack:"t" json:"tenant"`
	Program   string        `msgpack:"p" json:"program"`
	User      string        `msgpack:"u" json:"user"`
	Role      string        `msgpack:"r" json:"role"`
	Kind      string        `msgpack:"k" json:"kind"`
	Service   string        `msgpack:"s" json:"service"`
	KeyDigest string        `msgpack:"y" json:"-"`
	Steps     int64         `msgpack:"n" json:"steps"`
	Tokens    int64         `msgpack:"o" json:"tokens"`
	Charged   int64         `msgpack:"c" json:"charged"`
	Refused   bool          `msgpack:"f" json:"refused"`
	Age       time.Duration `msgpack:"a" json:"age"`
}

// Result is the outcome of a replay. Its JSON names say "inquiries" for requests and
// "moves" for changes.
type Result struct {
	Requests          int64            `json:"inquiries"`
	RefusedBefore     int64            `json:"refused_before"`
	RefusedAfter      int64            `json:"refused_after"`
	NewlyRefused      int64            `json:"newly_refused"`
	NewlyRefusedRatio float64          `json:"newly_refused_ratio"`
	ByCheck           map[string]int64 `json:"newly_refused_by_check"`
	ByTenant          map[string]int64 `json:"newly_refused_by_tenant"`
	// AllowedRatio is the largest NewlyRefusedRatio that is approved. With fewer than
	// MinRequests samples, every change is approved.
	AllowedRatio float64 `json:"allowed_ratio"`
	MinRequests  int64   `json:"least_inquiries"`
	Approved     bool    `json:"approved"`
	// Changes lists the changed settings; see the function Changes.
	Changes []string `json:"moves"`
}

// state holds the simulated users and quotas of one replay.
type state struct {
	d *configuration.Description
	// users has keys of the form "tenant/user". The keys of buckets and dayTokens are names
	// of tenants.
	users     map[string]*program.User
	buckets   map[string]*bucket
	dayTokens map[string]int64
}

func newState(d *configuration.Description) *state {
	return &state{d: d, users: map[string]*program.User{}, buckets: map[string]*bucket{}, dayTokens: map[string]int64{}}
}

type bucket struct {
	tokens float64
	at     time.Duration
}

// Run replays samples under the current configuration, which may be nil, and under a new one.
// Without a current one, every request counts as refused before and none as newly refused.
func Run(before, after *configuration.Description, samples []Sample) Result {
	list := append([]Sample(nil), samples...)
	sort.SliceStable(list, func(i, j int) bool { return list[i].Age > list[j].Age })
	result := Result{ByCheck: map[string]int64{}, ByTenant: map[string]int64{}, AllowedRatio: after.Approval.NewlyRefusedRatio, MinRequests: after.Approval.MinRequests}
	stateBefore := newState(before)
	stateAfter := newState(after)
	var start time.Duration
	if len(list) > 0 {
		start = list[0].Age
	}
	for i, s := range list {
		at := start - s.Age
		id := fmt.Sprint(i)
		oldCheck := "unknown"
		if before != nil {
			oldCheck = stateBefore.check(s, at, id)
		}
		newCheck := stateAfter.check(s, at, id)
		result.Requests++
		if oldCheck != "" {
			result.RefusedBefore++
		}
		if newCheck != "" {
			result.RefusedAfter++
		}
		if oldCheck == "" && newCheck != "" {
			result.NewlyRefused++
			result.ByCheck[newCheck]++
			result.ByTenant[s.Tenant]++
		}
	}
	if result.Requests > 0 {
		result.NewlyRefusedRatio = float64(result.NewlyRefused) / float64(result.Requests)
	}
	result.Approved = result.Requests < result.MinRequests || result.NewlyRefusedRatio <= result.AllowedRatio
	result.Changes = Changes(before, after)
	return result
}

// check returns the first check that refuses a sample, or an empty string. at is the time
// since the first sample; id identifies a sample that has no program.
func (st *state) check(s Sample, at time.Duration, id string) string {
	t, ok := st.d.Tenants[s.Tenant]
	if !ok {
		return "tenant"
	}
	if s.KeyDigest != "" {
		known := false
		for _, k := range t.Keys {
			known = known || k.SHA256 == s.KeyDigest
		}
		if !known {
			return "key"
		}
	}
	role, ok := st.d.Roles[s.Role]
	if !ok {
		return "role"
	}
	if s.Kind != "open" && s.Service != "" {
		if _, ok := st.d.Services[s.Service]; !ok {
			return "service"
		}
	}
	name := s.Tenant + "/" + s.User
	u := st.users[name]
	if u == nil {
		fresh := program.NewUser()
		u = &fresh
		st.users[name] = u
	}
	if s.Program != "" {
		id = s.Program
	}
	switch s.Kind {
	case "open":
		v := u.OpenSession(at, id, role, st.d.WarnRatio)
		if s.Program == "" {
			// The sampled request was refused, so it left no session open.
			u.CloseSession(id)
		}
		switch {
		case v.Refused():
			return v.Check
		case st.dayTokens[s.Tenant] >= t.DayTokens:
			return "tenant_day"
		}
		return ""
	case "close":
		u.CloseSession(id)
		return ""
	case "turn":
		switch {
		case s.Steps > role.Steps:
			return "steps"
		case s.Charged-s.Tokens >= role.ProgramTokensHard:
			return "program_tokens"
		case st.dayTokens[s.Tenant]+s.Tokens > t.DayTokens:
			return "tenant_day"
		}
		u.ChargeSession(at, id, s.Charged, 0)
		st.dayTokens[s.Tenant] += s.Tokens
	}
	b := st.buckets[s.Tenant]
	if b == nil {
		b = &bucket{tokens: float64(t.Burst), at: at}
		st.buckets[s.Tenant] = b
	}
	b.tokens = min(float64(t.Burst), b.tokens+t.RequestsPerSecond*(at-b.at).Seconds())
	b.at = at
	if b.tokens < 1 {
		return "rate"
	}
	b.tokens--
	return ""
}

// Text describes the result to an operator who planned a change against a version.
func (r Result) Text(version uint64) string {
	var text strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	line("against version %d; nothing was changed", version)
	for _, change := range r.Changes {
		line("  moves  %s", change)
	}
	line("rehearsed on %d recent inquiries: %d refused before, %d after, %d newly (%.1f%%; allowed %.1f%%)",
		r.Requests, r.RefusedBefore, r.RefusedAfter, r.NewlyRefused, 100*r.NewlyRefusedRatio, 100*r.AllowedRatio)
	for _, check := range ordered.Keys(r.ByCheck) {
		line("  newly refused by %s: %d", check, r.ByCheck[check])
	}
	for _, tenant := range ordered.Keys(r.ByTenant) {
		line("  newly refused of %s: %d", tenant, r.ByTenant[tenant])
	}
	switch {
	case r.Requests < r.MinRequests:
		line("it would be approved: %d inquiries are too few to measure by, the least is %d", r.Requests, r.MinRequests)
	case r.Approved:
		line("it would be approved")
	default:
		line("it would not be approved")
	}
	return text.String()
}

// Changes lists the differences between two configurations, one per setting, sorted. Either
// may be nil.
func Changes(before, after *configuration.Description) []string {
	flat := func(d *configuration.Description) map[string]string {
		if d == nil {
			return map[string]string{}
		}
		return configuration.Flatten(d.JSON())
	}
	a, b := flat(before), flat(after)
	var changes []string
	for path, v := range b {
		if old, ok := a[path]; !ok {
			changes = append(changes, path+": new, "+v)
		} else if old != v {
			changes = append(changes, path+": "+old+" becomes "+v)
		}
	}
	for path, v := range a {
		if _, ok := b[path]; !ok {
			changes = append(changes, path+": was "+v+", goes")
		}
	}
	sort.Strings(changes)
	return changes
}
