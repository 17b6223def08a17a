// Package route holds the routing table of the relay nodes. A table maps hosts and path prefixes
// to services, and lists the tenants, their keys and their limits.
//
// Every Table is validated and then immutable. It comes from Parse, or from an earlier table by an
// Amendment or a Difference. Start reading at Table and Parse.
package route

import (
	"encoding/hex"
	"sort"
	"strconv"
	"strings"

	"saffronfall/rule/configuration"
)

// Modes of a route, as written in settings.
const (
	// Repeatable requests are idempotent and may be executed more than once.
	Repeatable = "repeatable"
	// Once requests are executed at most once per attempt of the requester.
	Once = "once"
	// Keyed requests are executed at most once per operation key of a tenant. Without a key they
	// are like Once; with one, those of Once are like Keyed.
	Keyed = "keyed"
	// Stream requests are answered with events. They run at most once unless resumable.
	Stream = "stream"
)

// Target is a service of a route, with its relative weight.
type Target struct {
	Service string  `json:"service" msgpack:"Service"`
	Weight  float64 `json:"weight" msgpack:"Weight"`
}

// Route says how requests to one host and path prefix are handled.
type Route struct {
	Name      string `json:"name" msgpack:"Name"`
	Host      string `json:"host" msgpack:"Host"`
	Prefix    string `json:"prefix" msgpack:"Prefix"`
	Mode      string `json:"mode" msgpack:"Mode"`
	Resumable bool   `json:"resumable" msgpack:"Resumable"`
	// KeepHistory stores conversations; requests contain only new messages.
	KeepHistory     bool    `json:"kept" msgpack:"Kept"`
	KeepSeconds     float64 `json:"keep_seconds" msgpack:"KeepSeconds"`
	TimeoutMS       float64 `json:"timeout_ms" msgpack:"TimeoutMS"`
	LatencyTargetMS float64 `json:"aim_ms" msgpack:"AimMS"`
	MaxEventGapMS   float64 `json:"gap_ms" msgpack:"GapMS"`
	// Urgency 0 is the most urgent.
	Urgency int64 `json:"urgency" msgpack:"Urgency"`
	// MaxAttempts bounds the replicas that one request is sent to.
	MaxAttempts int64 `json:"tries" msgpack:"Tries"`
	// Public requests need no key.
	Public bool `json:"open" msgpack:"Open"`
	// CacheAffinity prefers replicas that recently served a request with the same affinity key.
	CacheAffinity bool     `json:"pinned" msgpack:"Pinned"`
	Targets       []Target `json:"targets" msgpack:"Targets"`
}

// Retryable reports whether a request may be executed more than once.
func (r Route) Retryable() bool {
	return r.Mode == Repeatable || (r.Mode == Stream && r.Resumable)
}

// Service describes a service and its replicas.
type Service struct {
	Name string `json:"name" msgpack:"Name"`
	// Connections bounds the connections that a replica accepts from all nodes.
	Connections    int64 `json:"connections" msgpack:"Connections"`
	TokensPerEvent int64 `json:"tokens_per_event" msgpack:"TokensPerEvent"`
	// Slots are the concurrent requests of a replica; 0 means as it announces.
	Slots       int64 `json:"slots" msgpack:"Slots"`
	CacheTokens int64 `json:"cache_tokens" msgpack:"CacheTokens"`
	// Deduplicates: the replicas share a record of operation keys and run each key only once.
	Deduplicates bool `json:"deduplicates,omitempty" msgpack:"Deduplicates"`
}

// Tenant is a customer with its keys and request limits.
type Tenant struct {
	Name string `json:"name" msgpack:"Name"`
	// Keys are SHA-256 digests in hex.
	Keys []string `json:"keys" msgpack:"Keys"`
	// Rate is in requests per second over all nodes. There is no limit if Rate and Burst are 0.
	Rate  float64 `json:"rate" msgpack:"Rate"`
	Burst float64 `json:"burst" msgpack:"Burst"`
	// Urgency, if not nil, overrides the route's.
	Urgency *int64 `json:"urgency,omitempty" msgpack:"Urgency"`
}

// Limits bound the size of requests, in bytes.
type Limits struct {
	HeaderBytes int64 `json:"header_bytes" msgpack:"HeaderBytes"`
	BodyBytes   int64 `json:"body_bytes" msgpack:"BodyBytes"`
}

// Table is one version of the routing table. Numbers grow with each version.
type Table struct {
	Number   uint64    `json:"number"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants"`
	// KeyRequired refuses requests without a tenant's key, except on public routes.
	KeyRequired bool   `json:"keyed"`
	Limits      Limits `json:"limits"`
	// Source is the operator's text that the table was translated from, or empty.
	Source string `json:"source,omitempty"`

	byHost   map[string][]*Route
	byKey    map[string]*Tenant
	services map[string]*Service
}

const (
	// maxNumber is the greatest value of settings that need no specific limit.
	maxNumber      = 1e9
	maxKeepSeconds = 30 * 24 * 60 * 60
	// maxTimeMS is one day.
	maxTimeMS = 24 * 60 * 60 * 1000
)

// Settings lists the settings of a routing table.
var Settings = []configuration.Setting{
	{Path: "number", Type: "int", Required: true, Min: 1, Max: 1e15, Help: "version; greater than the current one"},
	{Path: "source", Type: "text", Default: "", Help: "text that the table was translated from"},
	{Path: "keyed", Type: "bool", Default: true, Help: "whether requests need a tenant's key"},
	{Path: "routes.[].name", Type: "text", Default: "", Help: "name of the route"},
	{Path: "routes.[].host", Type: "text", Required: true, Help: "host of the requests"},
	{Path: "routes.[].prefix", Type: "text", Required: true, Check: checkPrefix, Help: "path prefix; begins and ends with a slash"},
	{
		Path:     "routes.[].mode",
		Type:     "text",
		Required: true,
		Allowed:  []string{Repeatable, Once, Keyed, Stream},
		Help:     "how often a request may be executed",
	},
	{Path: "routes.[].resumable", Type: "bool", Default: false, Help: "whether a stream may be resumed at another replica"},
	{
		Path:    "routes.[].kept",
		Type:    "bool",
		Default: false,
		Help:    "whether conversation histories are stored; requests then contain only new messages",
	},
	{
		Path:    "routes.[].keep_seconds",
		Type:    "number",
		Default: 60.0,
		Min:     0,
		Max:     maxKeepSeconds,
		Help:    "how long a stored turn is kept after the end of its answer",
	},
	{Path: "routes.[].timeout_ms", Type: "number", Required: true, Min: 1, Max: maxTimeMS, Help: "deadline of a request"},
	{Path: "routes.[].aim_ms", Type: "number", Default: 1000.0, Min: 0, Max: maxTimeMS, Help: "latency objective of an answer"},
	{Path: "routes.[].gap_ms", Type: "number", Default: 0.0, Min: 0, Max: maxTimeMS, Help: "longest acceptable gap between events"},
	{Path: "routes.[].urgency", Type: "int", Default: 5, Min: 0, Max: 9, Help: "0 is the most urgent"},
	{Path: "routes.[].tries", Type: "int", Default: 1, Min: 1, Max: 100, Help: "greatest number of replicas that one request is sent to"},
	{Path: "routes.[].open", Type: "bool", Default: false, Help: "whether requests need no key"},
	{
		Path:    "routes.[].pinned",
		Type:    "bool",
		Default: false,
		Help:    "whether to prefer replicas that recently served a request for the same item (cache affinity)",
	},
	{Path: "routes.[].targets.[].service", Type: "text", Required: true, Help: "service that requests are sent to"},
	{Path: "routes.[].targets.[].weight", Type: "number", Default: 1.0, Min: 0, Max: maxNumber, Help: "weight among the route's services"},
	{Path: "services.[].name", Type: "text", Required: true, Check: checkNotEmpty, Help: "name of the service"},
	{
		Path:    "services.[].connections",
		Type:    "int",
		Default: 64,
		Min:     1,
		Max:     maxNumber,
		Help:    "connections that a replica accepts from all nodes",
	},
	{Path: "services.[].tokens_per_event", Type: "int", Default: 1, Min: 1, Max: maxNumber, Help: "tokens in each event"},
	{
		Path:    "services.[].slots",
		Type:    "int",
		Default: 0,
		Min:     0,
		Max:     maxNumber,
		Help:    "concurrent requests of a replica; 0: as the replica announces",
	},
	{Path: "services.[].cache_tokens", Type: "int", Default: 0, Min: 0, Max: maxNumber, Help: "size of a replica's prompt cache, in tokens"},
	{
		Path:    "services.[].deduplicates",
		Type:    "bool",
		Default: false,
		Help:    "whether the replicas share a record of operation keys and run each key only once",
	},
	{
		Path:     "tenants.[].name",
		Type:     "text",
		Required: true,
		Check:    checkHeaderValue,
		Help:     "name of the tenant, sent to replicas in a header",
	},
	{Path: "tenants.[].keys", Type: "texts", Default: []any{}, Check: checkDigests, Help: "SHA-256 of each key, in hex"},
	{Path: "tenants.[].rate", Type: "number", Default: 0.0, Min: 0, Max: maxNumber, Help: "requests per second over all nodes; 0: no limit"},
	{Path: "tenants.[].burst", Type: "number", Default: 0.0, Min: 0, Max: maxNumber, Help: "requests beyond the rate in a window"},
	{Path: "tenants.[].urgency", Type: "int", Default: nil, Min: 0, Max: 9, Help: "overrides the urgency of the route"},
	{Path: "limits.header_bytes", Type: "int", Default: 16384, Min: 256, Max: 1 << 24, Help: "greatest size of a request's headers"},
	{Path: "limits.body_bytes", Type: "int", Default: 4 << 20, Min: 0, Max: 1 << 30, Help: "greatest size of a request's body"},
}

func checkPrefix(value any) string {
	text, _ := value.(string)
	if !strings.HasPrefix(text, "/") || !strings.HasSuffix(text, "/") {
		return "a path that begins and ends with a slash"
	}
	return ""
}

func checkNotEmpty(value any) string {
	if value == "" {
		return "a text that is not empty"
	}
	return ""
}

func checkHeaderValue(value any) string {
	if text, _ := value.(string); !configuration.ValidHeaderValue(text) {
		return "a text without control characters, and without space at its ends"
	}
	return ""
}

func checkDigests(value any) string {
	list, _ := value.([]any)
	for _, digest := range list {
		text, _ := digest.(string)
		if raw, err := hex.DecodeString(text); err != nil || len(raw) != 32 {
			return "each 64 hexadecimal digits"
		}
	}
	return ""
}

// Parse decodes and validates a table in JSON. It returns all faults of single settings or, if
// there are none, between settings.
func Parse(text []byte) (*Table, configuration.Faults) {
	t := &Table{}
	if faults := configuration.Read(text, Settings, t); faults != nil {
		return nil, faults
	}
	if faults := t.validate(); len(faults) > 0 {
		return nil, faults
	}
	t.index()
	return t, nil
}

func (t *Table) validate() configuration.Faults {
	var faults configuration.Faults
	report := func(path string, value any, allowed string) {
		faults = append(faults, configuration.Fault{Path: path, Value: value, Allowed: allowed})
	}
	services := map[string]bool{}
	for i, s := range t.Services {
		if services[s.Name] {
			report("services["+strconv.Itoa(i)+"].name", s.Name, "a name of one service only")
		}
		services[s.Name] = true
	}
	routes := map[string]bool{}
	for i, r := range t.Routes {
		path := "routes[" + strconv.Itoa(i) + "]"
		key := strings.ToLower(r.Host) + r.Prefix
		if routes[key] {
			report(path+".prefix", r.Host+r.Prefix, "a host and prefix of one route only")
		}
		routes[key] = true
		var weight float64
		for _, target := range r.Targets {
			weight += target.Weight
			if !services[target.Service] {
				report(path+".targets.service", target.Service, "a service of this table")
			}
		}
		if weight <= 0 {
			report(path+".targets.weight", weight, "weights with a sum above 0")
		}
	}
	tenantOfKey, names := map[string]int{}, map[string]bool{}
	for i, tenant := range t.Tenants {
		path := "tenants[" + strconv.Itoa(i) + "]"
		if names[tenant.Name] {
			report(path+".name", tenant.Name, "a name of one tenant only")
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			key = strings.ToLower(key)
			if other, ok := tenantOfKey[key]; ok && t.Tenants[other].Name != tenant.Name {
				report(path+".keys", key, "a key of one tenant only; also of tenant ["+strconv.Itoa(other)+"]")
			}
			tenantOfKey[key] = i
		}
	}
	return faults
}

// index orders the routes of a host by descending prefix length.
func (t *Table) index() {
	t.byHost, t.byKey, t.services = map[string][]*Route{}, map[string]*Tenant{}, map[string]*Service{}
	for i := range t.Routes {
		host := strings.ToLower(t.Routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &t.Routes[i])
	}
	for _, list := range t.byHost {
		sort.Slice(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range t.Tenants {
		for _, key := range t.Tenants[i].Keys {
			t.byKey[strings.ToLower(key)] = &t.Tenants[i]
		}
	}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
}

// Match returns the route with the longest matching prefix. It ignores a port that no route names.
func (t *Table) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	list, ok := t.byHost[host]
	if !ok {
		if name, _, cut := strings.Cut(host, ":"); cut {
			list = t.byHost[name]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// TenantByKey returns the tenant of a key, given in clear text.
func (t *Table) TenantByKey(key string) (*Tenant, bool) {
	tenant, ok := t.byKey[configuration.KeyDigest(key)]
	return tenant, ok
}

// Service returns the service of a name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// PickService chooses a service by weight, given a fraction from 0 to 1. It returns an empty
// string if no weight is positive.
func (r Route) PickService(fraction float64) string {
	var sum float64
	for _, target := range r.Targets {
		sum += target.Weight
	}
	remaining := fraction * sum
	for _, target := range r.Targets {
		if remaining -= target.Weight; remaining < 0 && target.Weight > 0 {
			return target.Service
		}
	}
	for _, target := range r.Targets {
		if target.Weight > 0 {
			return target.Service
		}
	}
	return ""
}
