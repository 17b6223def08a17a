package telemetry

import (
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"

	"saffronfall/peer/registry"
	"saffronfall/rule/configuration"
)

// TestUnreadableTableIsLoggedOnce guards against a line for each of the many times that it is sent.
func TestUnreadableTableIsLoggedOnce(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	fault := configuration.Fault{Path: "routes[1].mode", Value: "lazily", Allowed: "one of once, stream"}
	tables := UnreadableTables{}
	for _, number := range []uint64{3, 3, 4, 3, 4} {
		tables.Record(&registry.Refusal{Number: number, Faults: configuration.Faults{fault.WithKind(configuration.UnknownWord)}}, log)
		tables.Record(nil, log)
	}
	if len(lines) != 2 {
		t.Fatalf("%d lines: %s", len(lines), strings.Join(lines, "\n"))
	}
	for _, part := range []string{`"number"=3`, `"cause"="unknown_word"`, "routes[1].mode", "lazily", "one of once, stream"} {
		if !strings.Contains(lines[0], part) {
			t.Errorf("the log line lacks %s: %s", part, lines[0])
		}
	}
}
