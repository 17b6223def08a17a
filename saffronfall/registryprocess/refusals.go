package registryprocess

import (
	"time"

	"github.com/go-logr/logr"

	"saffronfall/peer/registry"
	"saffronfall/saffronfall/telemetry"
)

const (
	// refusalLogInterval is the least time between two log lines of the same cause.
	refusalLogInterval = time.Second
	// refusedPrefix begins the metric of each cause.
	refusedPrefix = "configurations_refused_"
)

// refusalLog counts and logs refused configurations. Only the goroutine of process.run may use it.
type refusalLog struct {
	counts map[registry.RefusalCause]int64
	// loggedAt is when a refusal of a cause was last logged; unlogged counts those since then.
	loggedAt map[registry.RefusalCause]time.Duration
	unlogged map[registry.RefusalCause]int64
}

func newRefusalLog() *refusalLog {
	return &refusalLog{
		counts:   map[registry.RefusalCause]int64{},
		loggedAt: map[registry.RefusalCause]time.Duration{},
		unlogged: map[registry.RefusalCause]int64{},
	}
}

func (l *refusalLog) record(now time.Duration, refusal registry.Refusal, log logr.Logger) {
	cause := refusal.Cause()
	l.counts[cause]++
	if at, ok := l.loggedAt[cause]; ok && now < at+refusalLogInterval {
		l.unlogged[cause]++
		return
	}
	log.Info(
		"configuration refused",
		"number", refusal.Number,
		"cause", cause,
		"fault_count", len(refusal.Faults),
		"first_faults", telemetry.DescribeFaults(refusal.Faults),
		"more_of_this_cause", l.unlogged[cause],
	)
	l.loggedAt[cause], l.unlogged[cause] = now, 0
}

func (l *refusalLog) addMetrics(values map[string]int64) {
	for _, cause := range registry.RefusalCauses {
		values[refusedPrefix+string(cause)] = l.counts[cause]
	}
}
