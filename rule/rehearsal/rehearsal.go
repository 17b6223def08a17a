// Package rehearsal runs recent inquiries through the rules under two
// descriptions and measures whom the newer one would refuse.
package rehearsal

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"saffronfall/rule/configuration"
	"saffronfall/rule/ordered"
	"saffronfall/rule/program"
)

// Sample is one recent inquiry.
type Sample struct {
	Tenant  string        `msgpack:"t" json:"tenant"`
	Program string        `msgpack:"p" json:"program"`
	User    string        `msgpack:"u" json:"user"`
	Role    string        `msgpack:"r" json:"role"`
	Kind    string        `msgpack:"k" json:"kind"`
	Service string        `msgpack:"s" json:"service"`
	KeySum  string        `msgpack:"y" json:"-"`
	Steps   int64         `msgpack:"n" json:"steps"`
	Tokens  int64         `msgpack:"o" json:"tokens"`
	Charged int64         `msgpack:"c" json:"charged"`
	Refused bool          `msgpack:"f" json:"refused"`
	Age     time.Duration `msgpack:"a" json:"age"`
}

// Figures are what a rehearsal measured.
type Figures struct {
	Inquiries     int64            `json:"inquiries"`
	RefusedBefore int64            `json:"refused_before"`
	RefusedAfter  int64            `json:"refused_after"`
	NewlyRefused  int64            `json:"newly_refused"`
	Ratio         float64          `json:"newly_refused_ratio"`
	ByCheck       map[string]int64 `json:"newly_refused_by_check"`
	ByTenant      map[string]int64 `json:"newly_refused_by_tenant"`
	Allowed       float64          `json:"allowed_ratio"`
	Least         int64            `json:"least_inquiries"`
	Approved      bool             `json:"approved"`
	Moves         []string         `json:"moves"`
}

type run struct {
	d     *configuration.Description
	users map[string]*program.User
	rates map[string]*bucket
	days  map[string]int64
}

func begin(d *configuration.Description) *run {
	return &run{d: d, users: map[string]*program.User{}, rates: map[string]*bucket{}, days: map[string]int64{}}
}

type bucket struct {
	filled float64
	at     time.Duration
}

// Run rehearses a description against samples taken under the one in force,
// which may be nil.
func Run(before, after *configuration.Description, samples []Sample) Figures {
	list := append([]Sample(nil), samples...)
	sort.SliceStable(list, func(i, j int) bool { return list[i].Age > list[j].Age })
	f := Figures{ByCheck: map[string]int64{}, ByTenant: map[string]int64{}, Allowed: after.Approval.NewlyRefusedRatio, Least: after.Approval.MinRequests}
	old := begin(before)
	fresh := begin(after)
	var start time.Duration
	if len(list) > 0 {
		start = list[0].Age
	}
	for i, s := range list {
		at := start - s.Age
		id := fmt.Sprint(i)
		first := "unknown"
		if before != nil {
			first = old.check(s, at, id)
		}
		second := fresh.check(s, at, id)
		f.Inquiries++
		if first != "" {
			f.RefusedBefore++
		}
		if second != "" {
			f.RefusedAfter++
		}
		if first == "" && second != "" {
			f.NewlyRefused++
			f.ByCheck[second]++
			f.ByTenant[s.Tenant]++
		}
	}
	if f.Inquiries > 0 {
		f.Ratio = float64(f.NewlyRefused) / float64(f.Inquiries)
	}
	f.Approved = f.Inquiries < f.Least || f.Ratio <= f.Allowed
	f.Moves = Moves(before, after)
	return f
}

func (r *run) check(s Sample, at time.Duration, id string) string {
	t, ok := r.d.Tenants[s.Tenant]
	if !ok {
		return "tenant"
	}
	if s.KeySum != "" {
		known := false
		for _, k := range t.Keys {
			known = known || k.SHA256 == s.KeySum
		}
		if !known {
			return "key"
		}
	}
	role, ok := r.d.Roles[s.Role]
	if !ok {
		return "role"
	}
	if s.Kind != "open" && s.Service != "" {
		if _, ok := r.d.Services[s.Service]; !ok {
			return "service"
		}
	}
	name := s.Tenant + "/" + s.User
	u := r.users[name]
	if u == nil {
		fresh := program.NewUser()
		u = &fresh
		r.users[name] = u
	}
	if s.Program != "" {
		id = s.Program
	}
	switch s.Kind {
	case "open":
		v := u.Open(at, id, role, r.d.WarnRatio)
		if s.Program == "" {
			// It was refused, so it left no session open.
			u.Close(id)
		}
		switch {
		case v.Refused():
			return v.Check
		case r.days[s.Tenant] >= t.DayTokens:
			return "tenant_day"
		}
		return ""
	case "close":
		u.Close(id)
		return ""
	case "turn":
		switch {
		case s.Steps > role.Steps:
			return "steps"
		case s.Charged-s.Tokens >= role.ProgramTokensHard:
			return "program_tokens"
		case r.days[s.Tenant]+s.Tokens > t.DayTokens:
			return "tenant_day"
		}
		u.Charge(at, id, s.Charged, 0)
		r.days[s.Tenant] += s.Tokens
	}
	b := r.rates[s.Tenant]
	if b == nil {
		b = &bucket{filled: float64(t.Burst), at: at}
		r.rates[s.Tenant] = b
	}
	b.filled = min(float64(t.Burst), b.filled+t.RequestsPerSecond*(at-b.at).Seconds())
	b.at = at
	if b.filled < 1 {
		return "rate"
	}
	b.filled--
	return ""
}

// Text is what a plan tells its operator.
func (f Figures) Text(version uint64) string {
	var text strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&text, format+"\n", args...) }
	line("against version %d; nothing was changed", version)
	for _, move := range f.Moves {
		line("  moves  %s", move)
	}
	line("rehearsed on %d recent inquiries: %d refused before, %d after, %d newly (%.1f%%; allowed %.1f%%)",
		f.Inquiries, f.RefusedBefore, f.RefusedAfter, f.NewlyRefused, 100*f.Ratio, 100*f.Allowed)
	for _, check := range ordered.Keys(f.ByCheck) {
		line("  newly refused by %s: %d", check, f.ByCheck[check])
	}
	for _, tenant := range ordered.Keys(f.ByTenant) {
		line("  newly refused of %s: %d", tenant, f.ByTenant[tenant])
	}
	switch {
	case f.Inquiries < f.Least:
		line("it would be approved: %d inquiries are too few to measure by, the least is %d", f.Inquiries, f.Least)
	case f.Approved:
		line("it would be approved")
	default:
		line("it would not be approved")
	}
	return text.String()
}

// Moves lists in words what differs between two descriptions.
func Moves(before, after *configuration.Description) []string {
	flat := func(d *configuration.Description) map[string]string {
		if d == nil {
			return map[string]string{}
		}
		return configuration.Flatten(d.JSON())
	}
	a, b := flat(before), flat(after)
	var moves []string
	for path, v := range b {
		if old, ok := a[path]; !ok {
			moves = append(moves, path+": new, "+v)
		} else if old != v {
			moves = append(moves, path+": "+old+" becomes "+v)
		}
	}
	for path, v := range a {
		if _, ok := b[path]; !ok {
			moves = append(moves, path+": was "+v+", goes")
		}
	}
	sort.Strings(moves)
	return moves
}
