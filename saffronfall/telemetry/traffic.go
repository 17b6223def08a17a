package telemetry

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"saffronfall/peer/stream"
	"saffronfall/rule/ordered"
)

const (
	// startReportAfter is how long after a process's start its traffic is logged.
	startReportAfter = 5 * time.Second
	// maxLoggedKinds bounds the kinds of messages in a log line.
	maxLoggedKinds = 6
)

// StartReport logs once what a process sent in its first seconds, by the kind of message.
type StartReport struct{ logged bool }

// Record logs the traffic once the time has come; sent is called only then.
func (r *StartReport) Record(sinceStart time.Duration, sent func() map[string]stream.Traffic, log logr.Logger) {
	if r.logged || sinceStart < startReportAfter {
		return
	}
	r.logged = true
	log.Info("sent since the start", "after_ms", sinceStart.Milliseconds(), "messages", describeTraffic(sent()))
}

// describeTraffic returns the kinds of messages with the most bytes, the largest first.
func describeTraffic(sent map[string]stream.Traffic) []string {
	names := ordered.Keys(sent)
	slices.SortStableFunc(names, func(a, b string) int { return int(sent[b].Bytes - sent[a].Bytes) })
	var lines []string
	for _, name := range names[:min(len(names), maxLoggedKinds)] {
		lines = append(lines, fmt.Sprintf("%s: %d, %d bytes", name, sent[name].Messages, sent[name].Bytes))
	}
	return lines
}
