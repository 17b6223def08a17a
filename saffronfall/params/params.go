// Package params reads a process's settings file by a table.
package params

import (
	"encoding/json"
	"net"
	"os"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/node"
	"saffronfall/rule/configuration"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// Params are a process's settings.
type Params struct {
	ID        string   `json:"id"`
	Zone      string   `json:"zone"`
	Folder    string   `json:"folder"`
	Seeds     []string `json:"seeds"`
	Secret    string   `json:"fleet_secret"`
	Operators string   `json:"operator_key"`
	Replicas  string   `json:"replica_key"`

	PeerListen        string `json:"peer_listen"`
	PeerAdvertise     string `json:"peer_advertise"`
	OperatorListen    string `json:"operator_listen"`
	OperatorAdvertise string `json:"operator_advertise"`
	RequesterListen   string `json:"requester_listen"`
	RequesterAdvert   string `json:"requester_advertise"`

	OwnerTermMS  int64   `json:"owner_term_ms"`
	MemberTermMS int64   `json:"member_term_ms"`
	PullMS       int64   `json:"pull_ms"`
	NewestMS     int64   `json:"newest_ms"`
	RetryMS      int64   `json:"retry_ms"`
	PatienceMS   int64   `json:"patience_ms"`
	BudgetMS     int64   `json:"budget_ms"`
	GraceMS      int64   `json:"grace_ms"`
	Drift        float64 `json:"drift"`
	Buffer       int64   `json:"buffer"`
	Largest      int64   `json:"largest_inquiry_bytes"`
	UrgentRatio  float64 `json:"urgent_ratio"`
	Verbosity    int64   `json:"log_verbosity"`
	ColdStart    bool    `json:"cold_start"`
	CoreGoneMS   int64   `json:"core_gone_ms"`
	GroupSeats   int64   `json:"group_seats"`

	Relay
}

// live names the settings that are taken while a process runs.
var live = map[string]bool{"newest_ms": true, "patience_ms": true, "budget_ms": true, "grace_ms": true, "buffer": true, "urgent_ratio": true, "log_verbosity": true}

// Adopt compares a settings text that was read again with what runs. It returns
// what runs from now on and, by name, which settings were taken and which need a
// restart. A faulty text changes nothing.
func Adopt(running Params, text []byte) (next Params, taken, restart []string, err error) {
	fresh, err := Read(text)
	if err != nil {
		return running, nil, nil, err
	}
	flat := func(p Params) map[string]string {
		raw, _ := json.Marshal(p)
		return configuration.Flatten(raw)
	}
	before, after := flat(running), flat(fresh)
	for _, name := range ordered.Keys(after) {
		switch {
		case before[name] == after[name]:
		case live[name]:
			taken = append(taken, name)
		default:
			restart = append(restart, name)
		}
	}
	next = running
	next.NewestMS, next.PatienceMS, next.BudgetMS, next.GraceMS = fresh.NewestMS, fresh.PatienceMS, fresh.BudgetMS, fresh.GraceMS
	next.Buffer, next.UrgentRatio, next.Verbosity = fresh.Buffer, fresh.UrgentRatio, fresh.Verbosity
	return next, taken, restart, nil
}

// Rows is the table of a process's settings.
var Rows = []configuration.Setting{
	{Path: "id", Type: "text", Required: true, Check: name, Help: "this process's name; no other process of the fleet has it"},
	{Path: "zone", Type: "text", Default: "zone-1", Check: name, Help: "where this machine stands"},
	{Path: "folder", Type: "text", Default: "", Help: "data folder; cores need one"},
	{Path: "seeds", Type: "texts", Default: []any{}, Check: addresses, Help: "peer addresses of three other processes, by IP number"},
	{Path: "fleet_secret", Type: "text", Required: true, Check: secret, Help: "what the fleet's own processes prove to each other"},
	{Path: "operator_key", Type: "text", Default: "", Help: "key that operators show; empty: none is let in"},
	{Path: "replica_key", Type: "text", Default: "", Help: "key that replicas show when they announce themselves; empty: none is let in"},
	{Path: "peer_listen", Type: "text", Default: "127.0.0.1:7000", Check: address, Help: "where the fleet's own processes reach this one"},
	{Path: "peer_advertise", Type: "text", Default: "", Check: maybeAddress, Help: "what the others are told; empty: as listened on"},
	{Path: "operator_listen", Type: "text", Default: "127.0.0.1:7001", Check: address, Help: "where operators reach this process"},
	{Path: "operator_advertise", Type: "text", Default: "", Check: maybeAddress, Help: "what operators are told; empty: as listened on"},
	{Path: "requester_listen", Type: "text", Default: "127.0.0.1:7002", Check: address, Help: "where requesters and replicas reach a node"},
	{Path: "requester_advertise", Type: "text", Default: "", Check: maybeAddress, Help: "what requesters are told; empty: as listened on"},
	{Path: "owner_term_ms", Type: "int", Default: 600, Min: 50, Max: 60000, Help: "term of a part's owner"},
	{Path: "member_term_ms", Type: "int", Default: 5000, Min: 200, Max: 120000, Help: "term of a node: how long it may go on alone, and how long its programs wait for a successor"},
	{Path: "pull_ms", Type: "int", Default: 150, Min: 10, Max: 1000, Help: "how often a node pulls news; well below two seconds"},
	{Path: "newest_ms", Type: "int", Default: 1700, Min: 100, Max: 1900, Help: "how old a replica's announcement may be when a shot is made; below two seconds"},
	{Path: "retry_ms", Type: "int", Default: 150, Min: 10, Max: 10000, Help: "how long one attempt at a command may take"},
	{Path: "patience_ms", Type: "int", Default: 1000, Min: 0, Max: 60000, Help: "longest wait of a shot for its tenant's rate"},
	{Path: "budget_ms", Type: "int", Default: 30000, Min: 100, Max: 600000, Help: "budget of inquiries that name none"},
	{Path: "grace_ms", Type: "int", Default: 5000, Min: 0, Max: 120000, Help: "how long a drain may take"},
	{Path: "drift", Type: "number", Default: 0.1, Min: 0.001, Max: 1, Help: "ratio by which a giver counts a term longer than its holder"},
	{Path: "buffer", Type: "int", Default: 1024, Min: 8, Max: 1e6, Help: "room of every buffer"},
	{Path: "largest_inquiry_bytes", Type: "int", Default: 1 << 20, Min: 1024, Max: 64 << 20, Help: "largest body of an inquiry"},
	{Path: "urgent_ratio", Type: "number", Default: 0.25, Min: 0, Max: 0.9, Help: "part of the buffers kept for urgent services"},
	{Path: "cold_start", Type: "bool", Default: false, Help: "this core may found a fleet, or be founded, when its folder is empty and no fleet is found"},
	{Path: "core_gone_ms", Type: "int", Default: 0, Min: 0, Max: 3600000, Help: "after how long a silent core's seats go to others; 0: three terms of a node"},
	{Path: "order_keep_hours", Type: "int", Default: 24, Min: 1, Max: 8760, Help: "for how long an accepted order of an operator is acknowledged when it comes again"},
	{Path: "group_seats", Type: "int", Default: 3, Min: 1, Max: 9, Help: "cores that keep each part of a fleet that is founded anew; 3 bear the loss of one, 5 of two"},
	{Path: "log_verbosity", Type: "int", Default: 0, Min: 0, Max: 4, Help: "how much is logged beyond changes of state"},
}

func name(value any) string {
	if text, _ := value.(string); !configuration.ValidName(text) {
		return "a name of 1 to 64 letters, digits, '-', '_' or '.'"
	}
	return ""
}

func secret(value any) string {
	if text, _ := value.(string); len(text) < 16 {
		return "a text of at least 16 characters"
	}
	return ""
}

func address(value any) string {
	text, _ := value.(string)
	host, _, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return "an IP number and a port, such as 10.0.0.1:7000"
	}
	return ""
}

func maybeAddress(value any) string {
	if value == "" {
		return ""
	}
	return address(value)
}

func addresses(value any) string {
	list, _ := value.([]any)
	for _, one := range list {
		if problem := address(one); problem != "" {
			return "each " + problem
		}
	}
	return ""
}

// Read reads and checks a settings text.
func Read(text []byte) (Params, error) {
	var p Params
	if faults := configuration.Read(text, Rows, &p); len(faults) > 0 {
		return p, faults
	}
	for _, pair := range []struct{ to, from *string }{{&p.PeerAdvertise, &p.PeerListen}, {&p.OperatorAdvertise, &p.OperatorListen}, {&p.RequesterAdvert, &p.RequesterListen}} {
		if *pair.to == "" {
			*pair.to = *pair.from
		}
	}
	return p, nil
}

// ReadFile reads and checks a settings file.
func ReadFile(path string) (Params, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Params{}, configuration.Faults{{Path: path, Value: err.Error(), Allowed: "a readable settings file"}}
	}
	return Read(text)
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Core are the control plane's bounds.
func (p Params) Core() core.Params {
	return core.Params{Partition: partition.Params{LeaseDuration: ms(p.OwnerTermMS), Drift: p.Drift, RenewalsPerLease: 5, LeasesPerSweep: 40, LeasesBeforeHome: 20},
		MemberLease:    ms(p.MemberTermMS),
		AttemptTimeout: ms(p.RetryMS), PullInterval: ms(p.PullMS), GoneAfter: ms(p.CoreGoneMS), OrderRetention: time.Duration(p.OrderKeepH) * time.Hour, ColdStart: p.ColdStart}
}

// Node are the data plane's bounds.
func (p Params) Node() node.Params {
	return node.Params{Core: p.Core(), Buffer: int(p.Buffer), Patience: ms(p.PatienceMS), Newest: ms(p.NewestMS), Report: 2 * ms(p.PullMS),
		UrgentRatio: p.UrgentRatio, Budget: ms(p.BudgetMS)}
}

// Grace is how long a drain may take.
func (p Params) Grace() time.Duration { return ms(p.GraceMS) }
