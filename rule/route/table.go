// Package route is the table that relayed requests go by: hosts and path
// prefixes to services, tenants and their keys, and the bounds of each.
package route

import (
	"encoding/hex"
	"sort"
	"strconv"
	"strings"

	"saffronfall/rule/configuration"
)

// Modes of a route.
const (
	// Repeatable requests may run more than once.
	Repeatable = "repeatable"
	// Once requests may run at most once for each attempt.
	Once = "once"
	// Stream requests are answered by events, and run at most once unless they
	// may be resumed.
	Stream = "stream"
)

// Target is a service that a route's requests go to, and their weight.
type Target struct {
	Service string  `json:"service" msgpack:"Service"`
	Weight  float64 `json:"weight" msgpack:"Weight"`
}

// Route is one host and path prefix.
type Route struct {
	Name        string  `json:"name" msgpack:"Name"`
	Host        string  `json:"host" msgpack:"Host"`
	Prefix      string  `json:"prefix" msgpack:"Prefix"`
	Mode        string  `json:"mode" msgpack:"Mode"`
	Resumable   bool    `json:"resumable" msgpack:"Resumable"`
	Kept        bool    `json:"kept" msgpack:"Kept"`
	KeepSeconds float64 `json:"keep_seconds" msgpack:"KeepSeconds"`
	TimeoutMS   float64 `json:"timeout_ms" msgpack:"TimeoutMS"`
	AimMS       float64 `json:"aim_ms" msgpack:"AimMS"`
	GapMS       float64 `json:"gap_ms" msgpack:"GapMS"`
	Urgency     int64   `json:"urgency" msgpack:"Urgency"`
	Tries       int64   `json:"tries" msgpack:"Tries"`
	Open        bool    `json:"open" msgpack:"Open"`
	// Pinned: a replica that lately had a request for the same thing is faster.
	Pinned  bool     `json:"pinned" msgpack:"Pinned"`
	Targets []Target `json:"targets" msgpack:"Targets"`
}

// Repeats reports whether a request of this route may run more than once.
func (r Route) Repeats() bool {
	return r.Mode == Repeatable || (r.Mode == Stream && r.Resumable)
}

// Service is what replicas of one kind share.
type Service struct {
	Name string `json:"name" msgpack:"Name"`
	// Connections is how many connections a replica takes from all nodes.
	Connections    int64 `json:"connections" msgpack:"Connections"`
	TokensPerEvent int64 `json:"tokens_per_event" msgpack:"TokensPerEvent"`
	Slots          int64 `json:"slots" msgpack:"Slots"`
	CacheTokens    int64 `json:"cache_tokens" msgpack:"CacheTokens"`
}

// Tenant is who holds keys, and what it may ask for.
type Tenant struct {
	Name string `json:"name" msgpack:"Name"`
	// Keys are SHA-256 digests, in hex.
	Keys    []string `json:"keys" msgpack:"Keys"`
	Rate    float64  `json:"rate" msgpack:"Rate"`
	Burst   float64  `json:"burst" msgpack:"Burst"`
	Urgency *int64   `json:"urgency,omitempty" msgpack:"Urgency"`
}

// Limits bound what a requester may send.
type Limits struct {
	HeaderBytes int64 `json:"header_bytes" msgpack:"HeaderBytes"`
	BodyBytes   int64 `json:"body_bytes" msgpack:"BodyBytes"`
}

// Table is one whole version.
type Table struct {
	Number   uint64    `json:"number"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants"`
	Keyed    bool      `json:"keyed"`
	Limits   Limits    `json:"limits"`
	// Source is the operator's own text where this table was translated from
	// one. It is kept and given back as it was.
	Source string `json:"source,omitempty"`

	byHost   map[string][]*Route
	byKey    map[string]*Tenant
	services map[string]*Service
}

const most = 1e9

// Rows is the table of settings of a routing table.
var Rows = []configuration.Row{
	{Path: "number", Type: "int", Required: true, Min: 1, Max: 1e15, About: "version; above the one in force"},
	{Path: "source", Type: "text", Default: "", About: "text that this table was translated from"},
	{Path: "keyed", Type: "bool", Default: true, About: "whether requests need a tenant's key"},
	{Path: "routes.[].name", Type: "text", Default: "", About: "name of the route"},
	{Path: "routes.[].host", Type: "text", Required: true, About: "host that requests name"},
	{Path: "routes.[].prefix", Type: "text", Required: true, Check: prefix, About: "beginning of the path; begins and ends with a slash"},
	{Path: "routes.[].mode", Type: "text", Required: true, Allowed: []string{Repeatable, Once, Stream}, About: "how often a request may run"},
	{Path: "routes.[].resumable", Type: "bool", Default: false, About: "a stream may be taken up at another replica"},
	{Path: "routes.[].kept", Type: "bool", Default: false, About: "histories are kept here; requests bring only what is new"},
	{Path: "routes.[].keep_seconds", Type: "number", Default: 60.0, Min: 0, Max: 30 * 86400, About: "how long a kept turn is kept after its answer's end"},
	{Path: "routes.[].timeout_ms", Type: "number", Required: true, Min: 1, Max: 86400000, About: "longest that a request is held"},
	{Path: "routes.[].aim_ms", Type: "number", Default: 1000.0, Min: 0, Max: 86400000, About: "within which an answer is worth most"},
	{Path: "routes.[].gap_ms", Type: "number", Default: 0.0, Min: 0, Max: 86400000, About: "longest good pause between events"},
	{Path: "routes.[].urgency", Type: "int", Default: 5, Min: 0, Max: 9, About: "0 is the most urgent"},
	{Path: "routes.[].tries", Type: "int", Default: 1, Min: 1, Max: 100, About: "replicas that one request may be sent to"},
	{Path: "routes.[].open", Type: "bool", Default: false, About: "needs no key"},
	{Path: "routes.[].pinned", Type: "bool", Default: false, About: "a replica that lately had a request for the same thing is faster"},
	{Path: "routes.[].targets.[].service", Type: "text", Required: true, About: "service that requests go to"},
	{Path: "routes.[].targets.[].weight", Type: "number", Default: 1.0, Min: 0, Max: most, About: "weight among the route's services"},
	{Path: "services.[].name", Type: "text", Required: true, About: "name of the service"},
	{Path: "services.[].connections", Type: "int", Default: 64, Min: 1, Max: most, About: "connections that a replica takes from all nodes"},
	{Path: "services.[].tokens_per_event", Type: "int", Default: 1, Min: 1, Max: most, About: "tokens in each event"},
	{Path: "services.[].slots", Type: "int", Default: 0, Min: 0, Max: most, About: "requests that a replica runs at once; 0: as it says itself"},
	{Path: "services.[].cache_tokens", Type: "int", Default: 0, Min: 0, Max: most, About: "tokens that a replica keeps of prompts"},
	{Path: "tenants.[].name", Type: "text", Required: true, About: "name of the tenant"},
	{Path: "tenants.[].keys", Type: "texts", Default: []any{}, Check: digests, About: "SHA-256 of each key, in hex"},
	{Path: "tenants.[].rate", Type: "number", Default: 0.0, Min: 0, Max: most, About: "requests a second over all nodes; 0: no limit"},
	{Path: "tenants.[].burst", Type: "number", Default: 0.0, Min: 0, Max: most, About: "requests on top of the rate in a window"},
	{Path: "tenants.[].urgency", Type: "int", Default: nil, Min: 0, Max: 9, About: "goes before the route's"},
	{Path: "limits.header_bytes", Type: "int", Default: 16384, Min: 256, Max: 1 << 24, About: "size of a request's head"},
	{Path: "limits.body_bytes", Type: "int", Default: 4 << 20, Min: 0, Max: 1 << 30, About: "size of a request's body"},
}

func prefix(value any) string {
	text, _ := value.(string)
	if !strings.HasPrefix(text, "/") || !strings.HasSuffix(text, "/") {
		return "a path that begins and ends with a slash"
	}
	return ""
}

func digests(value any) string {
	list, _ := value.([]any)
	for _, one := range list {
		text, _ := one.(string)
		if raw, err := hex.DecodeString(text); err != nil || len(raw) != 32 {
			return "each 64 hexadecimal digits"
		}
	}
	return ""
}

// Parse reads a table and checks it whole.
func Parse(text []byte) (*Table, configuration.Faults) {
	t := &Table{}
	if faults := configuration.Read(text, Rows, t); faults != nil {
		return nil, faults
	}
	if faults := t.cross(); len(faults) > 0 {
		return nil, faults
	}
	t.index()
	return t, nil
}

func (t *Table) cross() configuration.Faults {
	var faults configuration.Faults
	fault := func(path string, value any, allowed string) {
		faults = append(faults, configuration.Fault{Path: path, Value: value, Allowed: allowed})
	}
	services := map[string]bool{}
	for i, s := range t.Services {
		if services[s.Name] {
			fault("services["+strconv.Itoa(i)+"].name", s.Name, "a name of one service only")
		}
		services[s.Name] = true
	}
	places := map[string]bool{}
	for i, r := range t.Routes {
		path := "routes[" + strconv.Itoa(i) + "]"
		place := strings.ToLower(r.Host) + r.Prefix
		if places[place] {
			fault(path+".prefix", r.Host+r.Prefix, "a host and prefix of one route only")
		}
		places[place] = true
		var weight float64
		for _, target := range r.Targets {
			weight += target.Weight
			if !services[target.Service] {
				fault(path+".targets.service", target.Service, "a service of this table")
			}
		}
		if weight <= 0 {
			fault(path+".targets.weight", weight, "weights with a sum above 0")
		}
	}
	holders, names := map[string]string{}, map[string]bool{}
	for i, tenant := range t.Tenants {
		path := "tenants[" + strconv.Itoa(i) + "]"
		if names[tenant.Name] {
			fault(path+".name", tenant.Name, "a name of one tenant only")
		}
		names[tenant.Name] = true
		for _, key := range tenant.Keys {
			key = strings.ToLower(key)
			if other, ok := holders[key]; ok && other != tenant.Name {
				fault(path+".keys", key, "a key of one tenant only; also of "+other)
			}
			holders[key] = tenant.Name
		}
	}
	return faults
}

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

// Match finds the route of a host and path: the longest prefix wins.
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

// Whose finds the tenant that holds a key.
func (t *Table) Whose(key string) (*Tenant, bool) {
	tenant, ok := t.byKey[configuration.Sum(key)]
	return tenant, ok
}

// Service finds a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Pick chooses among a route's services by weight; where is from 0 up to 1.
func (r Route) Pick(where float64) string {
	var sum float64
	for _, target := range r.Targets {
		sum += target.Weight
	}
	at := where * sum
	for _, target := range r.Targets {
		if at -= target.Weight; at < 0 && target.Weight > 0 {
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
