package params

import (
	"time"

	"saffronfall/peer/desk"
	"saffronfall/peer/relay"
	"saffronfall/rule/configuration"
	"saffronfall/rule/placement"
)

// Relay are the settings of desks and relaying nodes.
type Relay struct {
	Orders
	BeatMS        int64   `json:"beat_ms"`
	FollowMS      int64   `json:"follow_ms"`
	RateWindowMS  int64   `json:"rate_window_ms"`
	RateOvershoot float64 `json:"rate_overshoot"`
	RateSlack     int64   `json:"rate_slack"`
	Choice
	Requests     int64 `json:"requests"`
	CacheBytes   int64 `json:"cache_bytes"`
	BookKeepMS   int64 `json:"book_keep_ms"`
	Founds       bool  `json:"founds"`
	PartsPerCore int64 `json:"parts_per_core"`
	Front
	Telemetry
}

// Choice are the settings of how a node chooses replicas.
type Choice struct {
	PromptRate  float64 `json:"prompt_tokens_per_ms"`
	Compared    int64   `json:"compared_replicas"`
	Homes       bool    `json:"conversation_homes"`
	Paces       bool    `json:"weigh_paces"`
	Prefixes    bool    `json:"weigh_prefixes"`
	Zones       bool    `json:"weigh_zones"`
	Failures    bool    `json:"weigh_failures"`
	LoadMS      int64   `json:"share_load_ms"`
	ResendUnrun bool    `json:"resend_unrun"`
	Shed        bool    `json:"shed_overload"`
}

// Front are the settings of a node towards requesters and replicas.
type Front struct {
	DialMS      int64  `json:"dial_ms"`
	Connections int64  `json:"connections"`
	BodyMS      int64  `json:"body_ms"`
	IntakeBytes int64  `json:"intake_bytes"`
	ReadyListen string `json:"ready_listen"`
	NotReadyMS  int64  `json:"not_ready_ms"`
}

// Telemetry are the settings of what a process tells of itself.
type Telemetry struct {
	MetricsListen string `json:"metrics_listen"`
	FailuresKept  int64  `json:"failures_kept"`
	Strict        bool   `json:"strict_invariants"`
}

// Orders are the settings of what operators order.
type Orders struct {
	OrderMS int64 `json:"order_ms"`
	// OrderKeepH is for how many hours an accepted order is known again.
	OrderKeepH int64 `json:"order_keep_hours"`
}

func init() {
	Rows = append(Rows,
		configuration.Setting{Path: "beat_ms", Type: "int", Default: 1000, Min: 50, Max: 60000, Help: "how often replicas announce themselves at desks"},
		configuration.Setting{Path: "follow_ms", Type: "int", Default: 500, Min: 20, Max: 60000, Help: "how often a node asks desks for what it missed; changes come at once"},
		configuration.Setting{Path: "rate_window_ms", Type: "int", Default: 5000, Min: 100, Max: 3600000, Help: "window that tenants' rates are counted in"},
		configuration.Setting{Path: "rate_overshoot", Type: "number", Default: 0.0, Min: 0, Max: 1, Help: "by which part a window may pass its limit; half of it is used"},
		configuration.Setting{Path: "rate_slack", Type: "int", Default: 0, Min: 0, Max: 1e9, Help: "by how many requests a window may pass its limit; half of them are used"},
		configuration.Setting{Path: "prompt_tokens_per_ms", Type: "number", Default: 80.0, Min: 0.01, Max: 1e6, Help: "how fast a replica reads prompts, to weigh kept parts against load"},
		configuration.Setting{Path: "compared_replicas", Type: "int", Default: 2, Min: 0, Max: 1000, Help: "how many replicas of the node's zone, and half as many of others, are drawn and compared for a request; 0: all"},
		configuration.Setting{Path: "conversation_homes", Type: "bool", Default: true, Help: "prefer the replicas at which all nodes expect a conversation's parts"},
		configuration.Setting{Path: "weigh_paces", Type: "bool", Default: true, Help: "weigh how fast replicas are, as all nodes see it; needs share_load_ms"},
		configuration.Setting{Path: "weigh_prefixes", Type: "bool", Default: true, Help: "weigh the parts of a prompt that a replica has kept"},
		configuration.Setting{Path: "weigh_zones", Type: "bool", Default: true, Help: "prefer replicas of the node's zone"},
		configuration.Setting{Path: "weigh_failures", Type: "bool", Default: true, Help: "weigh how often a replica failed of late"},
		configuration.Setting{Path: "share_load_ms", Type: "int", Default: 100, Min: 0, Max: 60000, Help: "how often nodes and desks tell each other what is under way at replicas; 0: never"},
		configuration.Setting{Path: "resend_unrun", Type: "bool", Default: true, Help: "send what a replica surely did not run to further replicas beyond the route's number"},
		configuration.Setting{Path: "shed_overload", Type: "bool", Default: true, Help: "refuse turns of late and of new programs while replicas have more to do than they can; needs share_load_ms"},
		configuration.Setting{Path: "requests", Type: "int", Default: 2000, Min: 1, Max: 1e6, Help: "requests under way at a node; more are refused at once"},
		configuration.Setting{Path: "cache_bytes", Type: "int", Default: 32 << 20, Min: 0, Max: 1 << 36, Help: "kept turns that a node remembers, to save asking the cores"},
		configuration.Setting{Path: "book_keep_ms", Type: "int", Default: 600000, Min: 1000, Max: 86400000, Help: "how long a program's books are kept after its last turn began"},
		configuration.Setting{Path: "dial_ms", Type: "int", Default: 300, Min: 10, Max: 60000, Help: "how long a connection to a replica may take to come up"},
		configuration.Setting{Path: "connections", Type: "int", Default: 16384, Min: 1, Max: 1e6, Help: "connections of requesters at a time; keep it below what the process has of descriptors. More wait"},
		configuration.Setting{Path: "body_ms", Type: "int", Default: 30000, Min: 10, Max: 3600000, Help: "how long a requester may take to send a body, besides the deadline that it names"},
		configuration.Setting{Path: "intake_bytes", Type: "int", Default: 64 << 20, Min: 1 << 16, Max: 1 << 40, Help: "memory that the bodies of all requests under way may take; beyond it requests are refused"},
		configuration.Setting{Path: "order_ms", Type: "int", Default: 3000, Min: 100, Max: 600000, Help: "how long a desk tries to carry an operator's call out"},
		configuration.Setting{Path: "founds", Type: "bool", Default: false, Help: "this one desk founds a fleet that was never founded"},
		configuration.Setting{Path: "parts_per_core", Type: "int", Default: 2, Min: 1, Max: 64, Help: "parts that a desk founds a fleet with for each core, besides the configuration's"},
		configuration.Setting{Path: "ready_listen", Type: "text", Default: "", Check: maybeAddress, Help: "where a node says whether it is ready; empty: nowhere else"},
		configuration.Setting{Path: "not_ready_ms", Type: "int", Default: 2500, Min: 0, Max: 60000, Help: "how long a leaving node still takes requests after it says that it is not ready"},
		configuration.Setting{Path: "metrics_listen", Type: "text", Default: "", Check: maybeAddress, Help: "where the process tells its metrics (/metrics) and last failed requests (/failures), to anyone who asks; empty: nowhere"},
		configuration.Setting{Path: "failures_kept", Type: "int", Default: 256, Min: 0, Max: 1e5, Help: "how many of the last failed requests a node remembers"},
		configuration.Setting{Path: "strict_invariants", Type: "bool", Default: false, Help: "the process ends at a violated invariant, for rehearsals; otherwise it is counted and logged"},
	)
}

// Desk are a desk's bounds.
func (p Params) Desk() desk.Params {
	return desk.Params{Core: p.Core(), HeartbeatInterval: ms(p.BeatMS), GroupSize: int(p.GroupSeats), PartitionsPerCore: int(p.PartsPerCore), LoadInterval: ms(p.LoadMS), OperationTimeout: ms(p.OrderMS)}
}

// placement is the policy by which replicas are chosen.
func (c Choice) placement(beat time.Duration) placement.Settings {
	return placement.Settings{SampleSize: int(c.Compared), HomeReplicas: c.Homes, UnitTimes: c.Paces, PromptCache: c.Prefixes, LocalZone: c.Zones, FailureRates: c.Failures, PromptTokensPerMilli: c.PromptRate, HeartbeatInterval: beat}
}

// RelayNode are a relaying node's bounds.
func (p Params) RelayNode() relay.Params {
	return relay.Params{Core: p.Core(), Beat: ms(p.BeatMS), Follow: ms(p.FollowMS), Window: ms(p.RateWindowMS), Overshoot: p.RateOvershoot, Slack: p.RateSlack,
		Placement: p.Choice.placement(ms(p.BeatMS)), LoadPeriod: ms(p.LoadMS), ResendUnrun: p.ResendUnrun, ShedOverload: p.Shed, Buffer: int(p.Requests), Cache: p.CacheBytes, BookKeep: ms(p.BookKeepMS)}
}
