package params

import (
	"time"

	"saffronfall/peer/registry"
	"saffronfall/peer/relay"
	"saffronfall/rule/configuration"
	"saffronfall/rule/placement"
)

// Relay holds the settings of registries and of relaying nodes.
type Relay struct {
	Commands
	HeartbeatMS   int64   `json:"beat_ms"`
	PollMS        int64   `json:"follow_ms"`
	RateWindowMS  int64   `json:"rate_window_ms"`
	RateOvershoot float64 `json:"rate_overshoot"`
	RateSlack     int64   `json:"rate_slack"`
	Placement
	MaxRequests int64 `json:"requests"`
	Histories
	LedgerRetentionMS int64 `json:"book_keep_ms"`
	OperationKeys
	Bootstrap         bool  `json:"founds"`
	PartitionsPerCore int64 `json:"parts_per_core"`
	Front
	Telemetry
}

// OperationKeys holds the settings of operation keys, and of the memory for these and for stored turns.
type OperationKeys struct {
	KeyWindowMS      int64 `json:"key_window_ms"`
	KeyResponseBytes int64 `json:"key_response_bytes"`
	KeyMemoryBytes   int64 `json:"key_memory_bytes"`
	TurnMemoryBytes  int64 `json:"turn_memory_bytes"`
}

// Histories holds the settings of a node's memory for stored turns.
type Histories struct {
	CacheBytes   int64 `json:"cache_bytes"`
	HistoryBytes int64 `json:"history_bytes"`
}

// Placement holds the settings by which a node chooses replicas.
type Placement struct {
	PromptTokensPerMS float64 `json:"prompt_tokens_per_ms"`
	ComparedReplicas  int64   `json:"compared_replicas"`
	ConversationHomes bool    `json:"conversation_homes"`
	WeighSpeeds       bool    `json:"weigh_paces"`
	WeighPrefixes     bool    `json:"weigh_prefixes"`
	WeighZones        bool    `json:"weigh_zones"`
	WeighFailures     bool    `json:"weigh_failures"`
	LoadShareMS       int64   `json:"share_load_ms"`
	RetryUnexecuted   bool    `json:"resend_unrun"`
	ShedOverload      bool    `json:"shed_overload"`
}

// Front holds the settings of a node's connections to requesters and replicas.
type Front struct {
	DialTimeoutMS   int64  `json:"dial_ms"`
	MaxConnections  int64  `json:"connections"`
	BodyTimeoutMS   int64  `json:"body_ms"`
	IntakeBytes     int64  `json:"intake_bytes"`
	AnswerBytes     int64  `json:"answer_bytes"`
	ReadyListen     string `json:"ready_listen"`
	NotReadyDelayMS int64  `json:"not_ready_ms"`
	Clients
}

// Telemetry holds the settings of metrics, recorded failures and invariant checks.
type Telemetry struct {
	MetricsListen    string `json:"metrics_listen"`
	MaxFailures      int64  `json:"failures_kept"`
	StrictInvariants bool   `json:"strict_invariants"`
}

// Commands holds the settings of operators' commands.
type Commands struct {
	CommandTimeoutMS      int64 `json:"order_ms"`
	CommandRetentionHours int64 `json:"order_keep_hours"`
}

func init() {
	Settings = append(Settings,
		configuration.Setting{Path: "beat_ms", Type: "int", Default: 1000, Min: 50, Max: 60000, Help: "period of replicas' heartbeats to desks"},
		configuration.Setting{Path: "follow_ms", Type: "int", Default: 500, Min: 20, Max: 60000, Help: "period at which a node polls desks for missed updates; changes are also pushed at once"},
		configuration.Setting{Path: "rate_window_ms", Type: "int", Default: 5000, Min: 100, Max: 3600000, Help: "window of tenants' rate limits"},
		configuration.Setting{Path: "rate_overshoot", Type: "number", Default: 0.0, Min: 0, Max: 1, Help: "fraction by which a window may exceed its limit; half of it is used"},
		configuration.Setting{Path: "rate_slack", Type: "int", Default: 0, Min: 0, Max: 1e9, Help: "number of requests by which a window may exceed its limit; half of them are used"},
		configuration.Setting{Path: "prompt_tokens_per_ms", Type: "number", Default: 80.0, Min: 0.01, Max: 1e6, Help: "prompt tokens that a replica processes per millisecond, to weigh cached prefixes against load"},
		configuration.Setting{Path: "compared_replicas", Type: "int", Default: 2, Min: 0, Max: 1000, Help: "number of replicas of the node's zone, and half as many of others, sampled and compared for a request; 0: all"},
		configuration.Setting{Path: "conversation_homes", Type: "bool", Default: true, Help: "prefer the replicas to which all nodes assign a conversation's prefixes"},
		configuration.Setting{Path: "weigh_paces", Type: "bool", Default: true, Help: "weigh the speed of replicas as measured by all nodes; needs share_load_ms"},
		configuration.Setting{Path: "weigh_prefixes", Type: "bool", Default: true, Help: "weigh the prefixes of a prompt that a replica has cached"},
		configuration.Setting{Path: "weigh_zones", Type: "bool", Default: true, Help: "prefer replicas of the node's zone"},
		configuration.Setting{Path: "weigh_failures", Type: "bool", Default: true, Help: "weigh the recent failure rate of replicas"},
		configuration.Setting{Path: "share_load_ms", Type: "int", Default: 100, Min: 0, Max: 60000, Help: "period at which nodes and desks exchange the load of replicas; 0: never"},
		configuration.Setting{Path: "resend_unrun", Type: "bool", Default: true, Help: "retry requests that were certainly not executed at more replicas than the route's number of attempts"},
		configuration.Setting{Path: "shed_overload", Type: "bool", Default: true, Help: "refuse turns of late and of new programs while replicas are overloaded; needs share_load_ms"},
		configuration.Setting{Path: "requests", Type: "int", Default: 2000, Min: 1, Max: 1e6, Help: "maximum number of requests in flight at a node; further ones are refused at once"},
		configuration.Setting{Path: "cache_bytes", Type: "int", Default: 32 << 20, Min: 0, Max: 1 << 36, Help: "memory for a node's cache of stored turns"},
		configuration.Setting{Path: "history_bytes", Type: "int", Default: 64 << 20, Min: 1 << 16, Max: 1 << 36, Help: "memory of a node for the stored turns that requests in flight continue, besides the cache; beyond it requests that need more are refused before they run"},
		configuration.Setting{Path: "book_keep_ms", Type: "int", Default: 600000, Min: 1000, Max: 86400000, Help: "how long a program's ledger is kept after its last turn began"},
		configuration.Setting{Path: "key_window_ms", Type: "int", Default: 60000, Min: 1000, Max: 86400000, Help: "how long after an operation was sent a repeat with its key is not run"},
		configuration.Setting{Path: "key_response_bytes", Type: "int", Default: 64 << 10, Min: 0, Max: 1 << 24, Help: "largest response that is stored for repeats with its operation's key"},
		configuration.Setting{Path: "key_memory_bytes", Type: "int", Default: 32 << 20, Min: 1 << 16, Max: 1 << 36, Help: "memory of a core for the operation keys of each partition; beyond it operations with new keys are refused"},
		configuration.Setting{Path: "turn_memory_bytes", Type: "int", Default: 64 << 20, Min: 1 << 16, Max: 1 << 36, Help: "memory of a core for the stored turns of each partition, half of it for one tenant; beyond it turns are refused before they run"},
		configuration.Setting{Path: "dial_ms", Type: "int", Default: 300, Min: 10, Max: 60000, Help: "timeout of connecting to a replica"},
		configuration.Setting{Path: "connections", Type: "int", Default: 16384, Min: 1, Max: 1e6, Help: "maximum number of open requester connections; beyond it the one that has gone longest without a whole request is closed, and further ones wait where all are served; keep it below the process's limit of file descriptors"},
		configuration.Setting{Path: "body_ms", Type: "int", Default: 30000, Min: 10, Max: 3600000, Help: "timeout for receiving a request body, besides the request's own deadline"},
		configuration.Setting{Path: "intake_bytes", Type: "int", Default: 64 << 20, Min: 1 << 16, Max: 1 << 40, Help: "memory for the bodies of all requests in flight; beyond it requests are refused"},
		configuration.Setting{Path: "answer_bytes", Type: "int", Default: 256 << 20, Min: 1 << 16, Max: 1 << 40, Help: "memory for answers of more than 16 KiB that are received whole before they are passed on; beyond it others wait, and the oldest that its requester has not read is closed"},
		configuration.Setting{Path: "order_ms", Type: "int", Default: 3000, Min: 100, Max: 600000, Help: "how long a desk retries an operator's command"},
		configuration.Setting{Path: "founds", Type: "bool", Default: false, Help: "this desk founds the fleet if none exists; set it on one desk only"},
		configuration.Setting{Path: "parts_per_core", Type: "int", Default: 2, Min: 1, Max: 64, Help: "number of partitions per core in a newly founded fleet, besides the configuration's partition"},
		configuration.Setting{Path: "ready_listen", Type: "text", Default: "", Check: checkOptionalAddress, Help: "listen address for a node's readiness checks; empty: no separate listener"},
		configuration.Setting{Path: "not_ready_ms", Type: "int", Default: 2500, Min: 0, Max: 60000, Help: "how long a draining node still accepts requests after it reports not ready"},
		configuration.Setting{Path: "metrics_listen", Type: "text", Default: "", Check: checkOptionalAddress, Help: "listen address for metrics (/metrics) and recent failed requests (/failures), without authentication; empty: disabled"},
		configuration.Setting{Path: "failures_kept", Type: "int", Default: 256, Min: 0, Max: 1e5, Help: "number of recent failed requests that a node records"},
		configuration.Setting{Path: "strict_invariants", Type: "bool", Default: false, Help: "panic on a violated invariant, for tests; otherwise it is counted and logged"},
	)
}

// Registry returns the parameters of a registry.
func (p Params) Registry() registry.Params {
	return registry.Params{
		Core:              p.Core(),
		HeartbeatInterval: ms(p.HeartbeatMS),
		GroupSize:         int(p.GroupSize),
		PartitionsPerCore: int(p.PartitionsPerCore),
		LoadInterval:      ms(p.LoadShareMS),
		OperationTimeout:  ms(p.CommandTimeoutMS),
	}
}

func (p Placement) policy(heartbeat time.Duration) placement.Settings {
	return placement.Settings{
		SampleSize:                 int(p.ComparedReplicas),
		HomeReplicas:               p.ConversationHomes,
		UnitTimes:                  p.WeighSpeeds,
		PromptCache:                p.WeighPrefixes,
		LocalZone:                  p.WeighZones,
		FailureRates:               p.WeighFailures,
		PromptTokensPerMillisecond: p.PromptTokensPerMS,
		HeartbeatInterval:          heartbeat,
	}
}

// RelayNode returns the parameters of a relaying node.
func (p Params) RelayNode() relay.Params {
	return relay.Params{
		Core:               p.Core(),
		HeartbeatInterval:  ms(p.HeartbeatMS),
		UpdateInterval:     ms(p.PollMS),
		RateWindow:         ms(p.RateWindowMS),
		RateOvershoot:      p.RateOvershoot,
		RateSlack:          p.RateSlack,
		Placement:          p.Placement.policy(ms(p.HeartbeatMS)),
		LoadReportInterval: ms(p.LoadShareMS),
		ResendUnrun:        p.RetryUnexecuted,
		ShedOverload:       p.ShedOverload,
		MaxRequests:        int(p.MaxRequests),
		CacheBytes:         p.CacheBytes,
		HistoryBytes:       p.HistoryBytes,
		BudgetRetention:    ms(p.LedgerRetentionMS),
		KeyParams: relay.KeyParams{
			KeyWindow:      ms(p.KeyWindowMS),
			MaxKeyResponse: p.KeyResponseBytes,
		},
	}
}
