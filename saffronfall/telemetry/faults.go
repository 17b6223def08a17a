package telemetry

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-logr/logr"

	"saffronfall/peer/registry"
	"saffronfall/rule/configuration"
)

const (
	// maxLoggedFaults and maxLoggedText, in bytes, bound a log line.
	maxLoggedFaults = 3
	maxLoggedText   = 120
)

// DescribeFaults returns one line for each of the first faults, without values that could contain
// a credential.
func DescribeFaults(faults configuration.Faults) []string {
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

// UnreadableTables logs accepted routing tables that this version cannot read, once per number.
type UnreadableTables struct {
	// lastNumber is that of the last table logged.
	lastNumber uint64
}

// Record logs a table that was received and dropped; nil means that there was none.
func (u *UnreadableTables) Record(table *registry.Refusal, log logr.Logger) {
	if table == nil || table.Number <= u.lastNumber {
		return
	}
	u.lastNumber = table.Number
	log.Info(
		"routing table cannot be read by this version and was dropped",
		"number", table.Number,
		"cause", table.Cause(),
		"fault_count", len(table.Faults),
		"first_faults", DescribeFaults(table.Faults),
	)
}
