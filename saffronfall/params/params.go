// Package params reads the settings of a process, checks them against the table Settings, and
// converts them to the parameters of each role.
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

// Params holds the settings of a process, documented in Settings under the names in the tags.
type Params struct {
	ID          string   `json:"id"`
	Zone        string   `json:"zone"`
	DataDir     string   `json:"folder"`
	Seeds       []string `json:"seeds"`
	FleetSecret string   `json:"fleet_secret"`
	OperatorKey string   `json:"operator_key"`
	ReplicaKey  string   `json:"replica_key"`

	PeerListen         string `json:"peer_listen"`
	PeerAdvertise      string `json:"peer_advertise"`
	OperatorListen     string `json:"operator_listen"`
	OperatorAdvertise  string `json:"operator_advertise"`
	RequesterListen    string `json:"requester_listen"`
	RequesterAdvertise string `json:"requester_advertise"`

	LeaderTermMS      int64   `json:"owner_term_ms"`
	MemberTermMS      int64   `json:"member_term_ms"`
	PullMS            int64   `json:"pull_ms"`
	MaxHeartbeatAgeMS int64   `json:"newest_ms"`
	RetryMS           int64   `json:"retry_ms"`
	MaxRateWaitMS     int64   `json:"patience_ms"`
	BudgetMS          int64   `json:"budget_ms"`
	GraceMS           int64   `json:"grace_ms"`
	Drift             float64 `json:"drift"`
	BufferSize        int64   `json:"buffer"`
	MaxRequestBytes   int64   `json:"largest_inquiry_bytes"`
	UrgentRatio       float64 `json:"urgent_ratio"`
	Verbosity         int64   `json:"log_verbosity"`
	ColdStart         bool    `json:"cold_start"`
	CoreLossTimeoutMS int64   `json:"core_gone_ms"`
	FailureDomains

	Relay
}

// reloadable names the settings that can change without a restart.
var reloadable = map[string]bool{
	"newest_ms":     true,
	"patience_ms":   true,
	"budget_ms":     true,
	"grace_ms":      true,
	"buffer":        true,
	"urgent_ratio":  true,
	"log_verbosity": true,
}

// Reload returns the settings to run with after a new settings text, the names of the applied
// changes, and of those that need a restart. An invalid text returns running and an error.
func Reload(running Params, text []byte) (next Params, applied, restart []string, err error) {
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
		case reloadable[name]:
			applied = append(applied, name)
		default:
			restart = append(restart, name)
		}
	}
	next = running
	next.MaxHeartbeatAgeMS, next.MaxRateWaitMS, next.BudgetMS, next.GraceMS =
		fresh.MaxHeartbeatAgeMS, fresh.MaxRateWaitMS, fresh.BudgetMS, fresh.GraceMS
	next.BufferSize, next.UrgentRatio, next.Verbosity = fresh.BufferSize, fresh.UrgentRatio, fresh.Verbosity
	return next, applied, restart, nil
}

// maxGroupSize tolerates six losses. A takeover takes longer in larger groups, as a member waits
// for those before it.
const maxGroupSize = 13

// Settings is the table of all settings of a process.
var Settings = []configuration.Setting{
	{Path: "id", Type: "text", Required: true, Check: checkName, Help: "name of this process, unique in the fleet"},
	{Path: "zone", Type: "text", Default: "zone-1", Check: checkName, Help: "zone of this machine"},
	{Path: "folder", Type: "text", Default: "", Help: "data directory; required for cores"},
	{Path: "seeds", Type: "texts", Default: []any{}, Check: checkAddresses, Help: "peer addresses of three other processes, as IP address and port"},
	{Path: "fleet_secret", Type: "text", Required: true, Check: checkSecret, Help: "secret with which the processes of the fleet authenticate to each other"},
	{Path: "operator_key", Type: "text", Default: "", Help: "key that operators authenticate with; empty: all operators are refused"},
	{Path: "replica_key", Type: "text", Default: "", Help: "key that replicas register with; empty: all registrations are refused"},
	{Path: "peer_listen", Type: "text", Default: "127.0.0.1:7000", Check: checkAddress, Help: "listen address for other processes of the fleet"},
	{Path: "peer_advertise", Type: "text", Default: "", Check: checkOptionalAddress, Help: "peer address given to other processes; empty: the listen address"},
	{Path: "operator_listen", Type: "text", Default: "127.0.0.1:7001", Check: checkAddress, Help: "listen address for operators"},
	{Path: "operator_advertise", Type: "text", Default: "", Check: checkOptionalAddress, Help: "address given to operators; empty: the listen address"},
	{Path: "requester_listen", Type: "text", Default: "127.0.0.1:7002", Check: checkAddress, Help: "listen address of a node for requesters and replicas"},
	{Path: "requester_advertise", Type: "text", Default: "", Check: checkOptionalAddress, Help: "address given to requesters; empty: the listen address"},
	{Path: "owner_term_ms", Type: "int", Default: 600, Min: 50, Max: 60000, Help: "lease of a partition's leader"},
	{Path: "member_term_ms", Type: "int", Default: 5000, Min: 200, Max: 120000, Help: "lease of a node: how long it may work without contact, and how long its programs wait for a successor"},
	{Path: "pull_ms", Type: "int", Default: 150, Min: 10, Max: 1000, Help: "period at which a node pulls updates; well below two seconds"},
	{Path: "newest_ms", Type: "int", Default: 1700, Min: 100, Max: 1900, Help: "oldest heartbeat of a replica that still allows an attempt there; below two seconds"},
	{Path: "retry_ms", Type: "int", Default: 150, Min: 10, Max: 10000, Help: "timeout of one attempt at a command"},
	{Path: "patience_ms", Type: "int", Default: 1000, Min: 0, Max: 60000, Help: "longest wait of an attempt for its tenant's rate limit"},
	{Path: "budget_ms", Type: "int", Default: 30000, Min: 100, Max: 600000, Help: "time budget of requests that name none"},
	{Path: "grace_ms", Type: "int", Default: 5000, Min: 0, Max: 120000, Help: "longest duration of a drain"},
	{Path: "drift", Type: "number", Default: 0.1, Min: 0.001, Max: 1, Help: "ratio by which the grantor of a lease counts it longer than the holder, against clock drift"},
	{Path: "buffer", Type: "int", Default: 1024, Min: 8, Max: 1e6, Help: "capacity of each buffer"},
	{Path: "largest_inquiry_bytes", Type: "int", Default: 1 << 20, Min: 1024, Max: 64 << 20, Help: "largest body of a request"},
	{Path: "urgent_ratio", Type: "number", Default: 0.25, Min: 0, Max: 0.9, Help: "fraction of the buffers reserved for urgent services"},
	{Path: "cold_start", Type: "bool", Default: false, Help: "this core may take part in founding a fleet when its data directory is empty and no fleet is found"},
	{Path: "core_gone_ms", Type: "int", Default: 0, Min: 0, Max: 3600000, Help: "silence after which a core's group memberships move to other cores; 0: three leases of a node"},
	{Path: "order_keep_hours", Type: "int", Default: 24, Min: 1, Max: 8760, Help: "how long a repeated operator command is recognised and acknowledged"},
	{Path: "group_seats", Type: "int", Default: 3, Min: 1, Max: maxGroupSize, Help: "number of cores that hold each partition of a newly founded fleet; 3 tolerate the loss of one, 5 of two"},
	{Path: "least_group_seats", Type: "int", Default: 0, Min: 0, Max: maxGroupSize, Help: "groups with fewer members grow to this number while there are cores, also in a fleet that was founded with smaller groups; 0: they keep the size of the founding"},
	{Path: "tolerated_zones", Type: "int", Default: 0, Min: 0, Max: (maxGroupSize - 1) / 2, Help: "number of zones that may be lost at once with all their disks; no more members of a group are placed in a zone than leave a majority then. It needs groups of twice as many members and one"},
	{Path: "tolerated_regions", Type: "int", Default: 0, Min: 0, Max: (maxGroupSize - 1) / 2, Help: "the same for regions"},
	{Path: "zone_regions", Type: "texts", Default: []any{}, Check: checkZoneRegions, Help: "region of each zone, as zone=region; a zone that is not listed is a region of its own"},
	{Path: "log_verbosity", Type: "int", Default: 0, Min: 0, Max: 4, Help: "log level; 0 logs state changes only"},
}

// The checks return what is allowed, or "" for a valid value.

func checkName(value any) string {
	if text, _ := value.(string); !configuration.ValidName(text) {
		return "a name of 1 to 64 letters, digits, '-', '_' or '.'"
	}
	return ""
}

func checkSecret(value any) string {
	if text, _ := value.(string); len(text) < 16 {
		return "a text of at least 16 characters"
	}
	return ""
}

func checkAddress(value any) string {
	text, _ := value.(string)
	host, _, err := net.SplitHostPort(text)
	if err != nil || net.ParseIP(host) == nil {
		return "an IP number and a port, such as 10.0.0.1:7000"
	}
	return ""
}

func checkOptionalAddress(value any) string {
	if value == "" {
		return ""
	}
	return checkAddress(value)
}

func checkAddresses(value any) string {
	list, _ := value.([]any)
	for _, item := range list {
		if problem := checkAddress(item); problem != "" {
			return "each " + problem
		}
	}
	return ""
}

// Read parses and checks a settings text. The error is a configuration.Faults with every fault.
// Empty advertised addresses are set to the listen addresses.
func Read(text []byte) (Params, error) {
	var p Params
	if faults := configuration.Read(text, Settings, &p); len(faults) > 0 {
		return p, faults
	}
	for _, pair := range []struct{ to, from *string }{
		{&p.PeerAdvertise, &p.PeerListen},
		{&p.OperatorAdvertise, &p.OperatorListen},
		{&p.RequesterAdvertise, &p.RequesterListen},
	} {
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

// Core returns the parameters of the control plane.
func (p Params) Core() core.Params {
	return core.Params{
		Partition: partition.Params{
			LeaseDuration:        ms(p.LeaderTermMS),
			Drift:                p.Drift,
			RenewalsPerLease:     5,
			LeasesPerSweep:       40,
			LeasesBeforeTransfer: 20,
		},
		MemberLease:    ms(p.MemberTermMS),
		AttemptTimeout: ms(p.RetryMS),
		PullInterval:   ms(p.PullMS),
		SilenceTimeout: ms(p.CoreLossTimeoutMS),
		OrderRetention: time.Duration(p.CommandRetentionHours) * time.Hour,
		MaxKeyBytes:    int(p.KeyMemoryBytes),
		MaxTurnBytes:   int(p.TurnMemoryBytes),
		MinGroupSize:   int(p.MinGroupSize),
		Domains:        p.FailureDomains.domains(),
	}
}

// Node returns the parameters of a data plane node.
func (p Params) Node() node.Params {
	return node.Params{
		Core:               p.Core(),
		QueueLimit:         int(p.BufferSize),
		MaxQueueWait:       ms(p.MaxRateWaitMS),
		AnnouncementMaxAge: ms(p.MaxHeartbeatAgeMS),
		ReportInterval:     2 * ms(p.PullMS),
		UrgentRatio:        p.UrgentRatio,
		DefaultTimeout:     ms(p.BudgetMS),
	}
}

// Grace returns the longest duration of a drain.
func (p Params) Grace() time.Duration { return ms(p.GraceMS) }
