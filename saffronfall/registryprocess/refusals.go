package registryprocess

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"saffronfall/peer/registry"
	"saffronfall/rule/configuration"
)

const (
	// refusalLogInterval is the least time between two log lines of the same cause.
	refusalLogInterval = time.Second
	// maxLoggedFaults and maxLoggedText, in bytes, bound a log line.
	maxLoggedFaults = 3
	maxLoggedText   = 120
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
		"first_faults", describeFaults(refusal.Faults),
		"more_of_this_cause", l.unlogged[cause],
	)
	l.loggedAt[cause], l.unlogged[cause] = now, 0
}

func (l *refusalLog) addMetrics(values map[string]int64) {
	for _, cause := range registry.RefusalCauses {
		values[refusedPrefix+string(cause)] = l.counts[cause]
	}
}

func describeFaults(faults configuration.Faults) []string {
	var lines []string
	for _, fault := range faults[:min(len(faults), maxLoggedFaults)] {
		lines = append(lines, fmt.Sprintf("%s: %s; allowed: %s", shorten(fault.Path), loggedValue(fault), shorten(fault.Allowed)))
	}
	return lines
}

// hiddenValue stands for values that could contain a credential.
const hiddenValue = "(not logged)"

// loggedValue hides texts and lists, except where a setting expects one of a few words and where a
// decoder describes its error.
func loggedValue(fault configuration.Fault) string {
	switch value := fault.Value.(type) {
	case nil:
		return "nothing"
	case bool, int, int64, uint64, float64, json.Number:
		return shorten(fmt.Sprint(value))
	case string:
		if kind := fault.Kind(); kind == configuration.UnknownWord || kind == configuration.UnreadableText {
			return fmt.Sprintf("%q", shorten(value))
		}
	}
	return hiddenValue
}

func shorten(text string) string {
	if len(text) <= maxLoggedText {
		return text
	}
	return strings.ToValidUTF8(text[:maxLoggedText], "") + "..."
}
