package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"time"

	"saffronfall/rule/breaker"
)

// Role holds the limits of a role.
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

// Key is the digest of a requester's key and the role that it grants.
type Key struct {
	SHA256 string `json:"sha256"`
	Role   string `json:"role"`
}

// Tenant holds the keys and quotas of a tenant. Rate and burst count requests over all nodes;
// UrgentRatio is the fraction of both that is reserved for urgent services.
type Tenant struct {
	Keys              []Key   `json:"keys"`
	DayTokens         int64   `json:"day_tokens"`
	RequestsPerSecond float64 `json:"inquiries_per_second"`
	Burst             int64   `json:"burst"`
	UrgentRatio       float64 `json:"urgent_ratio"`
}

// Service describes a back-end service. BypassesBreaker keeps it available while the spend breaker
// is open.
type Service struct {
	Kind                    string  `json:"kind"`
	Urgent                  bool    `json:"urgent"`
	BypassesBreaker         bool    `json:"past_breaker"`
	DollarsPerMillionTokens float64 `json:"dollars_per_million_tokens"`
	CallsPerMinute          int64   `json:"calls_per_minute"`
	CallsPerHour            int64   `json:"calls_per_hour"`
	ConcurrentCalls         int64   `json:"concurrent_calls"`
	CooldownSeconds         int64   `json:"cooldown_seconds"`
	AttemptsPerReplica      int64   `json:"shots_per_replica"`
}

// Approval holds the thresholds for replaying recorded requests against a new description. With
// fewer than MinRequests of them a description is not refused.
type Approval struct {
	NewlyRefusedRatio float64 `json:"newly_refused_ratio"`
	MinRequests       int64   `json:"least_inquiries"`
}

// Description is the configuration of roles, tenants, services and quotas.
type Description struct {
	Roles    map[string]Role    `json:"roles"`
	Tenants  map[string]Tenant  `json:"tenants"`
	Services map[string]Service `json:"services"`
	Breaker  struct {
		MinuteDollars   float64 `json:"minute_dollars"`
		HourDollars     float64 `json:"hour_dollars"`
		DayDollars      float64 `json:"day_dollars"`
		RecoverySeconds int64   `json:"recovery_seconds"`
		Probes          int     `json:"tests"`
	} `json:"breaker"`
	WarnRatio          float64  `json:"warn_ratio"`
	KeepSeconds        int64    `json:"keep_seconds"`
	OnceKeepSeconds    int64    `json:"once_keep_seconds"`
	MaxCooldownSeconds int64    `json:"cooldown_maximum_seconds"`
	Approval           Approval `json:"approval"`
}

// maxLimit is for settings that need no specific limit.
const maxLimit = 1e9

// Settings lists the settings of a description.
var Settings = []Setting{
	{Path: "roles.*.sessions_per_minute", Type: "int", Default: 2, Min: 1, Max: maxLimit,
		Help: "sessions a user may open in a minute; one more locks the user out"},
	{Path: "roles.*.sessions_per_hour", Type: "int", Default: 20, Min: 1, Max: maxLimit, Help: "sessions a user may open in an hour"},
	{Path: "roles.*.sessions_per_day", Type: "int", Default: 100, Min: 1, Max: maxLimit, Help: "sessions a user may open in a day"},
	{Path: "roles.*.lockout_seconds", Type: "int", Default: 600, Min: 1, Max: 86400,
		Help: "how long a user is locked out after exceeding sessions_per_minute"},
	{Path: "roles.*.concurrent_sessions", Type: "int", Default: 1, Min: 1, Max: 1e6, Help: "sessions a user may have open at once"},
	{Path: "roles.*.steps", Type: "int", Default: 10, Min: 1, Max: 1e6, Help: "turns a program may take, including those of helpers"},
	{Path: "roles.*.tool_calls", Type: "int", Default: 20, Min: 0, Max: 1e6, Help: "tool calls a program may make"},
	{Path: "roles.*.tool_calls_per_type", Type: "int", Default: 5, Min: 0, Max: 1e6, Help: "calls a program may make of one tool"},
	{Path: "roles.*.identical_tool_calls", Type: "int", Default: 2, Min: 1, Max: 1e6, Help: "calls of one tool with the same arguments"},
	{Path: "roles.*.session_seconds", Type: "int", Default: 120, Min: 1, Max: 86400, Help: "how long a program may take turns"},
	{Path: "roles.*.history_bytes", Type: "int", Default: 1_000_000, Min: 1000, Max: 16_000_000,
		Help: "greatest size of a program's stored history"},
	{Path: "roles.*.turn_tokens", Type: "int", Default: 1000, Min: 1, Max: 1e6, Help: "greatest output of one turn, in tokens"},
	{Path: "roles.*.program_tokens_soft", Type: "int", Default: 25_000, Min: 1, Max: maxLimit,
		Help: "output of a program that causes warnings"},
	{Path: "roles.*.program_tokens_hard", Type: "int", Default: 50_000, Min: 1, Max: maxLimit, Help: "output of a program that stops it"},
	{Path: "roles.*.user_day_tokens_soft", Type: "int", Default: 200_000, Min: 1, Max: maxLimit,
		Help: "output of a user in a day that causes warnings"},
	{Path: "roles.*.user_day_tokens_hard", Type: "int", Default: 500_000, Min: 1, Max: maxLimit,
		Help: "output of a user in a day from which new sessions are refused"},
	{Path: "tenants.*.keys.[].sha256", Type: "text", Required: true, Check: checkDigest, Help: "SHA-256 of a client's key, in hex"},
	{Path: "tenants.*.keys.[].role", Type: "text", Default: "viewer", Help: "role that the key grants"},
	{Path: "tenants.*.day_tokens", Type: "int", Default: 100_000_000, Min: 1, Max: 1e15, Help: "token quota of a tenant per day"},
	{Path: "tenants.*.inquiries_per_second", Type: "number", Default: 50.0, Min: 0.01, Max: 1e6,
		Help: "rate of a tenant's requests to back ends, over all nodes"},
	{Path: "tenants.*.burst", Type: "int", Default: 64, Min: 1, Max: 1e6, Help: "requests accepted at once beyond the rate, over all nodes"},
	{Path: "tenants.*.urgent_ratio", Type: "number", Default: 0.25, Min: 0, Max: 0.9,
		Help: "fraction of rate and burst reserved for urgent services"},
	{Path: "services.*.kind", Type: "text", Required: true, Allowed: []string{"model", "tool", "once"},
		Help: "model: streamed turns; tool: tool calls of programs; once: actions executed at most once"},
	{Path: "services.*.urgent", Type: "bool", Default: false, Help: "has reserved capacity in buffers, attempts and quotas"},
	{Path: "services.*.past_breaker", Type: "bool", Default: false,
		Help: "stays available while the breaker is open; only for services that spend no tokens"},
	{Path: "services.*.dollars_per_million_tokens", Type: "number", Default: 10.0, Min: 0, Max: 1e6,
		Help: "price of a million output tokens, in dollars"},
	{Path: "services.*.calls_per_minute", Type: "int", Default: 20, Min: 1, Max: 1e6, Help: "tool calls of one program in a minute"},
	{Path: "services.*.calls_per_hour", Type: "int", Default: 200, Min: 1, Max: 1e6, Help: "tool calls of one program in an hour"},
	{Path: "services.*.concurrent_calls", Type: "int", Default: 3, Min: 1, Max: 1e6, Help: "tool calls of one program at once"},
	{Path: "services.*.cooldown_seconds", Type: "int", Default: 10, Min: 0, Max: 3600,
		Help: "backoff after a tool's error; doubles with each further error"},
	{Path: "services.*.shots_per_replica", Type: "int", Default: 8, Min: 1, Max: 1e6, Help: "concurrent attempts of one node at one replica"},
	{Path: "breaker.minute_dollars", Type: "number", Default: 50.0, Min: 0.000001, Max: 1e9, Help: "spend per minute that trips the breaker"},
	{Path: "breaker.hour_dollars", Type: "number", Default: 500.0, Min: 0.000001, Max: 1e9, Help: "spend per hour that trips the breaker"},
	{Path: "breaker.day_dollars", Type: "number", Default: 2000.0, Min: 0.000001, Max: 1e9, Help: "spend per day that trips the breaker"},
	{Path: "breaker.recovery_seconds", Type: "int", Default: 300, Min: 1, Max: 86400, Help: "how long a tripped breaker stays open"},
	{Path: "breaker.tests", Type: "int", Default: 3, Min: 1, Max: 1000, Help: "probe sessions of a half-open breaker"},
	{Path: "warn_ratio", Type: "number", Default: 0.8, Min: 0.1, Max: 1, Help: "fraction of a limit from which warnings are given"},
	{Path: "keep_seconds", Type: "int", Default: 3600, Min: 10, Max: 30 * 86400,
		Help: "how long a conversation is stored after its last turn"},
	{Path: "once_keep_seconds", Type: "int", Default: 86400, Min: 60, Max: 365 * 86400,
		Help: "how long the key of a once request and its outcome are stored"},
	{Path: "cooldown_maximum_seconds", Type: "int", Default: 3600, Min: 1, Max: 86400, Help: "greatest cooldown"},
	{Path: "approval.newly_refused_ratio", Type: "number", Default: 0.05, Min: 0, Max: 1,
		Help: "greatest fraction of rehearsed requests that may be newly refused"},
	{Path: "approval.least_inquiries", Type: "int", Default: 20, Min: 0, Max: 1e6, Help: "with fewer samples rehearsal refuses nothing"},
}

func checkDigest(value any) string {
	text, _ := value.(string)
	if raw, err := hex.DecodeString(text); err != nil || len(raw) != sha256.Size {
		return "64 hexadecimal digits"
	}
	return ""
}

// Parse decodes and validates a description. It returns the faults of all single settings or, if
// there are none, between settings. A description with faults must not be used.
func Parse(text []byte) (*Description, Faults) {
	d := &Description{}
	if faults := Read(text, Settings, d); faults != nil {
		return nil, faults
	}
	return d, d.validate()
}

func (d *Description) validate() Faults {
	var faults Faults
	tenantOfKey := map[string]string{}
	for _, name := range d.TenantNames() {
		t := d.Tenants[name]
		for _, k := range t.Keys {
			if _, ok := d.Roles[k.Role]; !ok {
				faults = append(faults, Fault{Path: "tenants." + name + ".keys.role", Value: k.Role, Allowed: "a role of this description"})
			}
			if other, ok := tenantOfKey[k.SHA256]; ok {
				faults = append(faults, Fault{Path: "tenants." + name + ".keys.sha256", Value: k.SHA256, Allowed: "a key of one tenant only; also of " + other})
			}
			tenantOfKey[k.SHA256] = name
		}
	}
	for name, r := range d.Roles {
		if r.ProgramTokensSoft > r.ProgramTokensHard {
			faults = append(faults, Fault{Path: "roles." + name + ".program_tokens_soft", Value: r.ProgramTokensSoft, Allowed: "at most program_tokens_hard"})
		}
		if r.UserDayTokensSoft > r.UserDayTokensHard {
			faults = append(faults, Fault{Path: "roles." + name + ".user_day_tokens_soft", Value: r.UserDayTokensSoft, Allowed: "at most user_day_tokens_hard"})
		}
	}
	for name, s := range d.Services {
		if s.BypassesBreaker && s.Kind != "once" {
			faults = append(faults, Fault{Path: "services." + name + ".past_breaker", Value: true, Allowed: "only with kind once, which spends no tokens"})
		}
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return faults
}

// TenantNames returns the names of the tenants in ascending order.
func (d *Description) TenantNames() []string {
	names := make([]string, 0, len(d.Tenants))
	for name := range d.Tenants {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// TenantAndRole returns the tenant and role of a key in clear text.
func (d *Description) TenantAndRole(key string) (tenant, role string, ok bool) {
	digest := KeyDigest(key)
	for name, t := range d.Tenants {
		for _, k := range t.Keys {
			if k.SHA256 == digest {
				return name, k.Role, true
			}
		}
	}
	return "", "", false
}

// BreakerParams returns the parameters of the spend breaker.
func (d *Description) BreakerParams() breaker.Params {
	return breaker.Params{
		Minute:   MicroDollars(d.Breaker.MinuteDollars),
		Hour:     MicroDollars(d.Breaker.HourDollars),
		Day:      MicroDollars(d.Breaker.DayDollars),
		Recovery: time.Duration(d.Breaker.RecoverySeconds) * time.Second,
		Probes:   d.Breaker.Probes,
	}
}

const microDollarsPerDollar = 1e6

// MicroDollars converts dollars to millionths of a dollar, rounded to the nearest.
func MicroDollars(dollars float64) int64 { return int64(dollars*microDollarsPerDollar + 0.5) }

// Price returns the price of tokens in millionths of a dollar, rounded up.
func (s Service) Price(tokens int64) int64 {
	exact := float64(tokens) * s.DollarsPerMillionTokens
	price := int64(exact)
	if float64(price) < exact {
		price++
	}
	return price
}

// JSON returns the description as JSON that Parse reads.
func (d *Description) JSON() []byte {
	text, _ := json.Marshal(d)
	return text
}

// KeyDigest returns the SHA-256 of a key in hex, the only form of keys in configuration.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
