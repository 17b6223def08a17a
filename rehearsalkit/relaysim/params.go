package relaysim

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
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

// Params configure a run.
type Params struct {
	Seed       uint64
	Cores      int
	Registries int
	Nodes      int
	Zones      int
	// GroupSize is the members per partition; below three means three.
	GroupSize int
	// FaultPeriod is how long faults are injected after the start.
	FaultPeriod time.Duration
	Faults      bool
	// Closing is the closing fault; empty for none.
	Closing string
	// Loss is the probability that a message is lost along with its connection.
	Loss float64
	// Overshoot (a fraction) and Slack (a number of requests) are the tolerances of a tenant's
	// rate limit per window.
	Overshoot float64
	Slack     int64
	Workload
	// WrapNode, WrapRegistry and Alter, unless nil, let tests inject defects. Alter replaces a
	// message, or drops it by returning false.
	WrapNode     func(n Node) Node
	WrapRegistry func(reg Registry) Registry
	Alter        func(from, to string, body any) (any, bool)
	Logf         func(format string, args ...any)
}

// Workload is how many requesters and operators of each kind there are.
type Workload struct {
	// Runaways continue until their budget is spent, Callers call tools, and Flooders exceed
	// their tenant's rate limit.
	Conversations, Runaways, Callers, Flooders int
	// KeyedRequesters attempt operations with keys.
	KeyedRequesters int
	Operators       int
}

// Defaults are the parameters of a small fleet under all faults.
func Defaults(seed uint64) Params {
	p := Params{
		Seed:        seed,
		Cores:       3 + int(seed%2),
		Registries:  2 + int(seed/2%2),
		Nodes:       4 + int(seed/4%3),
		Zones:       3,
		FaultPeriod: 20 * time.Second,
		Faults:      true,
		Loss:        0.002,
		Overshoot:   0.1,
		Slack:       4,
		Workload: Workload{
			Conversations:   8,
			Runaways:        2,
			Callers:         3,
			Flooders:        3,
			KeyedRequesters: 4,
			Operators:       2,
		},
	}
	if seed%5 == 4 {
		p.Loss = 0.02
	}
	if seed%7 == 3 {
		p.Overshoot, p.Slack = 0.04, 2
	}
	p.Closing = []string{ClosingKill, ClosingPower, ClosingWipe}[seed/3%3]
	return p
}

// Timing and sizes of the simulated deployment.
const (
	contactTimeout        = 3 * time.Second
	catchUpTime           = 4400 * time.Millisecond
	rateWindow            = 5 * time.Second
	keepDuration          = 20 * time.Second
	heartbeatInterval     = time.Second
	recoveryTime          = 12 * time.Second
	defaultTokensPerEvent = 5
)

func coreParams() core.Params {
	return core.Params{
		Partition: partition.Params{
			LeaseDuration:        contactTimeout / 6,
			Drift:                0.1,
			RenewalsPerLease:     5,
			LeasesPerSweep:       8,
			LeasesBeforeTransfer: 20,
		},
		MemberLease:    contactTimeout / 2,
		AttemptTimeout: contactTimeout / 24,
		PullInterval:   contactTimeout / 20,
		SilenceTimeout: catchUpTime / 2,
	}
}

func (w *World) registryParams() registry.Params {
	return registry.Params{
		Core:              coreParams(),
		HeartbeatInterval: heartbeatInterval,
		GroupSize:         max(3, w.Params.GroupSize),
		PartitionsPerCore: 2,
		LoadInterval:      heartbeatInterval / 12,
		OperationTimeout:  3 * time.Second,
	}
}

func (w *World) nodeParams() relay.Params {
	return relay.Params{
		Core:              coreParams(),
		HeartbeatInterval: heartbeatInterval,
		UpdateInterval:    heartbeatInterval / 2,
		RateWindow:        rateWindow,
		RateOvershoot:     w.Params.Overshoot,
		RateSlack:         w.Params.Slack,
		Placement: placement.Settings{
			SampleSize:                 2,
			HomeReplicas:               true,
			UnitTimes:                  true,
			PromptCache:                true,
			LocalZone:                  true,
			FailureRates:               true,
			PromptTokensPerMillisecond: 80,
			HeartbeatInterval:          heartbeatInterval,
		},
		LoadReportInterval: heartbeatInterval / 12,
		ResendUnrun:        true,
		ShedOverload:       true,
		MaxRequests:        2000,
		CacheBytes:         1 << 20,
		BudgetRetention:    10 * time.Minute,
		KeyParams:          relay.KeyParams{KeyWindow: keyWindow, MaxKeyResponse: maxKeyResponse},
	}
}
