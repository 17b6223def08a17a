package relaysim

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
	"saffronfall/peer/relay"
	"saffronfall/rule/partition"
	"saffronfall/rule/placement"
)

// Closing faults.
const (
	ClosingKill  = "kill"
	ClosingPower = "power"
	ClosingWipe  = "wipe"
)

// Params size a run.
type Params struct {
	Seed  uint64
	Cores int
	Desks int
	Nodes int
	Zones int
	// Seats is the size of a group; zero: three.
	Seats int
	// Length is how long faults are brought about, after the start.
	Length time.Duration
	Faults bool
	// Closing is which closing fault ends the run.
	Closing string
	// Loss is the part of messages at which a connection is lost.
	Loss float64
	// Overshoot and Slack are by how much a window may pass a tenant's limit.
	Overshoot float64
	Slack     int64
	// Talkers hold conversations, Runaways go on until their budget is spent,
	// Callers call tools, Pressers go beyond their tenant's rate.
	Talkers, Runaways, Callers, Pressers int
	Operators                            int
	// WrapNode, WrapDesk and Alter break the system on purpose.
	WrapNode func(n Node) Node
	WrapDesk func(d Desk) Desk
	Alter    func(from, to string, body any) (any, bool)
	Logf     func(format string, args ...any)
}

// Defaults are a small fleet under all faults. Some seeds lose more messages, in
// some rates are counted more narrowly.
func Defaults(seed uint64) Params {
	p := Params{Seed: seed, Cores: 3 + int(seed%2), Desks: 2 + int(seed/2%2), Nodes: 4 + int(seed/4%3), Zones: 3, Length: 20 * time.Second, Faults: true, Loss: 0.002, Overshoot: 0.1, Slack: 4,
		Talkers: 8, Runaways: 2, Callers: 3, Pressers: 3, Operators: 2}
	if seed%5 == 4 {
		p.Loss = 0.02
	}
	if seed%7 == 3 {
		p.Overshoot, p.Slack = 0.04, 2
	}
	p.Closing = []string{ClosingKill, ClosingPower, ClosingWipe}[seed/3%3]
	return p
}

// Bounds of the deployment that is simulated.
const (
	contact    = 3 * time.Second
	catchUp    = 4400 * time.Millisecond
	window     = 5 * time.Second
	keepFor    = 20 * time.Second
	beatPeriod = time.Second
	recovery   = 12 * time.Second
	tokensOf   = 5
)

func coreParams() core.Params {
	return core.Params{Partition: partition.Params{LeaseDuration: contact / 6, Drift: 0.1, RenewalsPerLease: 5, LeasesPerSweep: 8, LeasesBeforeTransfer: 20}, MemberLease: contact / 2,
		AttemptTimeout: contact / 24, PullInterval: contact / 20, SilenceTimeout: catchUp / 2, ColdStart: true}
}

func (w *World) deskParams() desk.Params {
	return desk.Params{Core: coreParams(), HeartbeatInterval: beatPeriod, GroupSize: max(3, w.Params.Seats), PartitionsPerCore: 2, LoadInterval: beatPeriod / 12, OperationTimeout: 3 * time.Second}
}

func (w *World) nodeParams() relay.Params {
	return relay.Params{Core: coreParams(), HeartbeatInterval: beatPeriod, UpdateInterval: beatPeriod / 2, RateWindow: window, RateOvershoot: w.Params.Overshoot, RateSlack: w.Params.Slack, Placement: placement.Settings{SampleSize: 2, HomeReplicas: true, UnitTimes: true, PromptCache: true, LocalZone: true, FailureRates: true, PromptTokensPerMillisecond: 80, HeartbeatInterval: beatPeriod}, LoadReportInterval: beatPeriod / 12, ResendUnrun: true, ShedOverload: true,
		MaxRequests: 2000, CacheBytes: 1 << 20, BudgetRetention: 10 * time.Minute}
}
