package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"time"

	"saffronfall/rule/breaker"
)

// Role is what a role may do.
type Role struct {
	SessionsPerMinute  int64 `json:"sessions_per_minute" msgpack:"SessionsPerMinute"`
	SessionsPerHour    int64 `json:"sessions_per_hour" msgpack:"SessionsPerHour"`
	SessionsPerDay     int64 `json:"sessions_per_day" msgpack:"SessionsPerDay"`
	LockoutSeconds     int64 `json:"lockout_seconds" msgpack:"LockoutSeconds"`
	ConcurrentSessions int64 `json:"concurrent_sessions" msgpack:"ConcurrentSessions"`
	Steps              int64 `json:"steps" msgpack:"Steps"`
	ToolCalls          int64 `json:"tool_calls" msgpack:"ToolCalls"`
	ToolCallsPerType   int64 `json:"tool_calls_per_type" msgpack:"ToolCallsPerType"`
	IdenticalToolCalls int64 `json:"identical_tool_calls" msgpack:"IdenticalToolCalls"`
	SessionSeconds     int64 `json:"session_seconds" msgpack:"SessionSeconds"`
	HistoryBytes       int64 `json:"history_bytes" msgpack:"HistoryBytes"`
	TurnTokens         int64 `json:"turn_tokens" msgpack:"TurnTokens"`
	ProgramTokensSoft  int64 `json:"program_tokens_soft" msgpack:"ProgramTokensSoft"`
	ProgramTokensHard  int64 `json:"program_tokens_hard" msgpack:"ProgramTokensHard"`
	UserDayTokensSoft  int64 `json:"user_day_tokens_soft" msgpack:"UserDayTokensSoft"`
	UserDayTokensHard  int64 `json:"user_day_tokens_hard" msgpack:"UserDayTokensHard"`
}

// Key is a requester's key, kept only as its digest.
type Key struct {
	SHA256 string `json:"sha256"`
	Role   string `json:"role"`
}

// Tenant is what a tenant may spend.
type Tenant struct {
	Keys        []Key   `json:"keys"`
	DayTokens   int64   `json:"day_tokens"`
	RatePerSec  float64 `json:"inquiries_per_second"`
	Burst       int64   `json:"burst"`
	UrgentRatio float64 `json:"urgent_ratio"`
}

// Service is a kind of back end and how it is called.
type Service struct {
	Kind              string  `json:"kind"`
	Urgent            bool    `json:"urgent"`
	PastBreaker       bool    `json:"past_breaker"`
	DollarsPerMillion float64 `json:"dollars_per_million_tokens"`
	CallsPerMinute    int64   `json:"calls_per_minute"`
	CallsPerHour      int64   `json:"calls_per_hour"`
	ConcurrentCalls   int64   `json:"concurrent_calls"`
	CooldownSeconds   int64   `json:"cooldown_seconds"`
	ShotsPerReplica   int64   `json:"shots_per_replica"`
}

// Approval is what rehearsal may find before a description is refused.
type Approval struct {
	NewlyRefusedRatio float64 `json:"newly_refused_ratio"`
	LeastInquiries    int64   `json:"least_inquiries"`
}

// Description is one whole description of allowances and routes.
type Description struct {
	Roles    map[string]Role    `json:"roles"`
	Tenants  map[string]Tenant  `json:"tenants"`
	Services map[string]Service `json:"services"`
	Breaker  struct {
		MinuteDollars   float64 `json:"minute_dollars"`
		HourDollars     float64 `json:"hour_dollars"`
		DayDollars      float64 `json:"day_dollars"`
		RecoverySeconds int64   `json:"recovery_seconds"`
		Tests           int     `json:"tests"`
	} `json:"breaker"`
	WarnRatio       float64  `json:"warn_ratio"`
	KeepSeconds     int64    `json:"keep_seconds"`
	OnceKeep        int64    `json:"once_keep_seconds"`
	CooldownMaximum int64    `json:"cooldown_maximum_seconds"`
	Approval        Approval `json:"approval"`
}

const billion = 1e9

// Rows is the table of a description's settings. Figures of the design page
// are the defaults; those marked ours are this project's.
var Rows = []Row{
	{Path: "roles.*.sessions_per_minute", Type: "int", Default: 2, Min: 1, Max: billion, About: "sessions a user may open in a minute; one more sets the lockout"},
	{Path: "roles.*.sessions_per_hour", Type: "int", Default: 20, Min: 1, Max: billion, About: "sessions a user may open in an hour"},
	{Path: "roles.*.sessions_per_day", Type: "int", Default: 100, Min: 1, Max: billion, About: "sessions a user may open in a day"},
	{Path: "roles.*.lockout_seconds", Type: "int", Default: 600, Min: 1, Max: 86400, About: "how long a minute violation locks a user out"},
	{Path: "roles.*.concurrent_sessions", Type: "int", Default: 1, Min: 1, Max: 1e6, About: "sessions a user may have open at once"},
	{Path: "roles.*.steps", Type: "int", Default: 10, Min: 1, Max: 1e6, About: "turns a program may take, helpers' turns included"},
	{Path: "roles.*.tool_calls", Type: "int", Default: 20, Min: 0, Max: 1e6, About: "tool calls a program may make"},
	{Path: "roles.*.tool_calls_per_type", Type: "int", Default: 5, Min: 0, Max: 1e6, About: "calls a program may make of one tool"},
	{Path: "roles.*.identical_tool_calls", Type: "int", Default: 2, Min: 1, Max: 1e6, About: "calls of one tool with the same arguments"},
	{Path: "roles.*.session_seconds", Type: "int", Default: 120, Min: 1, Max: 86400, About: "how long a program may take turns"},
	{Path: "roles.*.history_bytes", Type: "int", Default: 1_000_000, Min: 1000, Max: 16_000_000, About: "size of a program's kept history"},
	{Path: "roles.*.turn_tokens", Type: "int", Default: 1000, Min: 1, Max: 1e6, About: "greatest output of one turn (ours)"},
	{Path: "roles.*.program_tokens_soft", Type: "int", Default: 25_000, Min: 1, Max: billion, About: "a program is warned from here"},
	{Path: "roles.*.program_tokens_hard", Type: "int", Default: 50_000, Min: 1, Max: billion, About: "a program is stopped from here"},
	{Path: "roles.*.user_day_tokens_soft", Type: "int", Default: 200_000, Min: 1, Max: billion, About: "a user's day is warned from here"},
	{Path: "roles.*.user_day_tokens_hard", Type: "int", Default: 500_000, Min: 1, Max: billion, About: "a user's new sessions are refused from here"},
	{Path: "tenants.*.keys.[].sha256", Type: "text", Required: true, Check: isDigest, About: "SHA-256 of a requester's key, in hex"},
	{Path: "tenants.*.keys.[].role", Type: "text", Default: "viewer", About: "role of whoever shows the key"},
	{Path: "tenants.*.day_tokens", Type: "int", Default: 100_000_000, Min: 1, Max: 1e15, About: "tokens of a tenant in a day"},
	{Path: "tenants.*.inquiries_per_second", Type: "number", Default: 50.0, Min: 0.01, Max: 1e6, About: "how fast a tenant's inquiries reach back ends, over all nodes (ours)"},
	{Path: "tenants.*.burst", Type: "int", Default: 64, Min: 1, Max: 1e6, About: "how many may come at once beyond the rate, over all nodes (ours)"},
	{Path: "tenants.*.urgent_ratio", Type: "number", Default: 0.25, Min: 0, Max: 0.9, About: "part of rate and burst kept for urgent services (ours)"},
	{Path: "services.*.kind", Type: "text", Required: true, Allowed: []string{"model", "tool", "once"}, About: "model: streamed turns; tool: calls of programs; once: actions that may happen only once"},
	{Path: "services.*.urgent", Type: "bool", Default: false, About: "has reserved room in buffers, shots and shares"},
	{Path: "services.*.past_breaker", Type: "bool", Default: false, About: "goes on while the breaker is open; only for services that spend no tokens"},
	{Path: "services.*.dollars_per_million_tokens", Type: "number", Default: 10.0, Min: 0, Max: 1e6, About: "price of output (ours)"},
	{Path: "services.*.calls_per_minute", Type: "int", Default: 20, Min: 1, Max: 1e6, About: "tool calls of one program in a minute"},
	{Path: "services.*.calls_per_hour", Type: "int", Default: 200, Min: 1, Max: 1e6, About: "tool calls of one program in an hour"},
	{Path: "services.*.concurrent_calls", Type: "int", Default: 3, Min: 1, Max: 1e6, About: "tool calls of one program at once"},
	{Path: "services.*.cooldown_seconds", Type: "int", Default: 10, Min: 0, Max: 3600, About: "pause after a tool's error; doubles with each further one"},
	{Path: "services.*.shots_per_replica", Type: "int", Default: 8, Min: 1, Max: 1e6, About: "shots that one node has at one replica at a time (ours)"},
	{Path: "breaker.minute_dollars", Type: "number", Default: 50.0, Min: 0.000001, Max: 1e9, About: "spend of a minute that trips the breaker"},
	{Path: "breaker.hour_dollars", Type: "number", Default: 500.0, Min: 0.000001, Max: 1e9, About: "spend of an hour that trips the breaker"},
	{Path: "breaker.day_dollars", Type: "number", Default: 2000.0, Min: 0.000001, Max: 1e9, About: "spend of a day that trips the breaker"},
	{Path: "breaker.recovery_seconds", Type: "int", Default: 300, Min: 1, Max: 86400, About: "how long a tripped breaker refuses everything"},
	{Path: "breaker.tests", Type: "int", Default: 3, Min: 1, Max: 1000, About: "test sessions of a half-open breaker (ours)"},
	{Path: "warn_ratio", Type: "number", Default: 0.8, Min: 0.1, Max: 1, About: "from which part of a cap on warnings are given"},
	{Path: "keep_seconds", Type: "int", Default: 3600, Min: 10, Max: 30 * 86400, About: "how long a conversation is kept after its last turn (ours)"},
	{Path: "once_keep_seconds", Type: "int", Default: 86400, Min: 60, Max: 365 * 86400, About: "how long a once-key and its outcome are kept (ours)"},
	{Path: "cooldown_maximum_seconds", Type: "int", Default: 3600, Min: 1, Max: 86400, About: "where the doubling of cooldowns ends"},
	{Path: "approval.newly_refused_ratio", Type: "number", Default: 0.05, Min: 0, Max: 1, About: "greatest part of rehearsed inquiries that may newly be refused (ours)"},
	{Path: "approval.least_inquiries", Type: "int", Default: 20, Min: 0, Max: 1e6, About: "with fewer samples rehearsal decides nothing (ours)"},
}

func isDigest(value any) string {
	text, _ := value.(string)
	if raw, err := hex.DecodeString(text); err != nil || len(raw) != sha256.Size {
		return "64 hexadecimal digits"
	}
	return ""
}

// Parse reads a description and checks it whole.
func Parse(text []byte) (*Description, Faults) {
	d := &Description{}
	if faults := Read(text, Rows, d); faults != nil {
		return nil, faults
	}
	return d, d.cross()
}

func (d *Description) cross() Faults {
	var faults Faults
	seen := map[string]string{}
	for _, name := range d.TenantNames() {
		t := d.Tenants[name]
		for _, k := range t.Keys {
			if _, ok := d.Roles[k.Role]; !ok {
				faults = append(faults, Fault{"tenants." + name + ".keys.role", k.Role, "a role of this description"})
			}
			if other, ok := seen[k.SHA256]; ok {
				faults = append(faults, Fault{"tenants." + name + ".keys.sha256", k.SHA256, "a key of one tenant only; also of " + other})
			}
			seen[k.SHA256] = name
		}
	}
	for name, r := range d.Roles {
		if r.ProgramTokensSoft > r.ProgramTokensHard {
			faults = append(faults, Fault{"roles." + name + ".program_tokens_soft", r.ProgramTokensSoft, "at most program_tokens_hard"})
		}
		if r.UserDayTokensSoft > r.UserDayTokensHard {
			faults = append(faults, Fault{"roles." + name + ".user_day_tokens_soft", r.UserDayTokensSoft, "at most user_day_tokens_hard"})
		}
	}
	for name, s := range d.Services {
		if s.PastBreaker && s.Kind != "once" {
			faults = append(faults, Fault{"services." + name + ".past_breaker", true, "only with kind once, which spends no tokens"})
		}
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

// TenantNames lists the tenants in order.
func (d *Description) TenantNames() []string {
	names := make([]string, 0, len(d.Tenants))
	for name := range d.Tenants {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Whose finds the tenant and role that a key stands for.
func (d *Description) Whose(key string) (tenant, role string, ok bool) {
	digest := Sum(key)
	for name, t := range d.Tenants {
		for _, k := range t.Keys {
			if k.SHA256 == digest {
				return name, k.Role, true
			}
		}
	}
	return "", "", false
}

// BreakerParams are the breaker's thresholds.
func (d *Description) BreakerParams() breaker.Params {
	return breaker.Params{Minute: Micro(d.Breaker.MinuteDollars), Hour: Micro(d.Breaker.HourDollars), Day: Micro(d.Breaker.DayDollars),
		Recovery: time.Duration(d.Breaker.RecoverySeconds) * time.Second, Tests: d.Breaker.Tests}
}

// Micro turns dollars into millionths.
func Micro(dollars float64) int64 { return int64(dollars*1e6 + 0.5) }

// Price is what a number of tokens costs, in millionths of a dollar, rounded
// up.
func (s Service) Price(tokens int64) int64 {
	whole := float64(tokens) * s.DollarsPerMillion
	price := int64(whole)
	if float64(price) < whole {
		price++
	}
	return price
}

// Text is the description as JSON.
func (d *Description) Text() []byte {
	text, _ := json.Marshal(d)
	return text
}

// Sum is the digest that stands for a key.
func Sum(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
