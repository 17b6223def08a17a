package registryprocess

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"saffronfall/peer/registry"
	"saffronfall/rule/configuration"
)

func unknownMode(word string) registry.Refusal {
	fault := configuration.Fault{Path: "channels[1].mode", Value: word, Allowed: "one of a, b"}
	return registry.Refusal{Number: 3, Faults: configuration.Faults{fault.WithKind(configuration.UnknownWord)}}
}

func recordingLog() (*refusalLog, func(now time.Duration, refusal registry.Refusal), *[]string) {
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	l := newRefusalLog()
	return l, func(now time.Duration, refusal registry.Refusal) { l.record(now, refusal, log) }, &lines
}

// TestRefusalsAreLoggedAndCounted also checks that log lines are limited to one per cause and second.
func TestRefusalsAreLoggedAndCounted(t *testing.T) {
	l, record, lines := recordingLog()
	for i := range 10 {
		record(time.Duration(i)*300*time.Millisecond, unknownMode("lazily"))
	}
	record(0, registry.Refusal{Faults: configuration.Faults{{Path: "routes[0].timeout_ms", Value: 0.0, Allowed: "a number from 1"}}})
	if len(*lines) != 4 {
		t.Fatalf("%d lines: %s", len(*lines), strings.Join(*lines, "\n"))
	}
	for _, part := range []string{`"number"=3`, `"cause"="unknown_word"`, `channels[1].mode`, `lazily`, `one of a, b`, `"fault_count"=1`} {
		if !strings.Contains((*lines)[0], part) {
			t.Errorf("the log line lacks %s: %s", part, (*lines)[0])
		}
	}
	if !strings.Contains((*lines)[1], `"more_of_this_cause"=3`) || !strings.Contains((*lines)[3], "routes[0].timeout_ms: 0;") {
		t.Errorf("logged %s", strings.Join(*lines, "\n"))
	}
	values := map[string]int64{}
	l.addMetrics(values)
	if len(values) != 3 || values["configurations_refused_unknown_word"] != 10 || values["configurations_refused_invalid"] != 1 || values["configurations_refused_unreadable"] != 0 {
		t.Errorf("metrics %v", values)
	}
}

func TestRefusalLinesAreBounded(t *testing.T) {
	_, record, lines := recordingLog()
	refusal := unknownMode(strings.Repeat("ü", 1<<20))
	refusal.Faults[0].Path, refusal.Faults[0].Allowed = strings.Repeat("p", 1<<20), strings.Repeat("a", 1<<20)
	for range 1000 {
		refusal.Faults = append(refusal.Faults, refusal.Faults[0])
	}
	record(0, refusal)
	if len(*lines) != 1 || len((*lines)[0]) > 2000 || !strings.Contains((*lines)[0], `"fault_count"=1001`) {
		t.Fatalf("%d lines, the first of %d bytes", len(*lines), len((*lines)[0]))
	}
}

// TestRefusalLinesHideCredentials guards against logging a key that stands where it is not allowed.
func TestRefusalLinesHideCredentials(t *testing.T) {
	const credential = "3fexd9dnn2ctnfzs"
	_, record, lines := recordingLog()
	for i, fault := range []configuration.Fault{
		{Path: "accounts[0].credentials", Value: credential},
		{Path: "accounts[0].credentials", Value: []any{credential}},
		configuration.Fault{Path: "accounts[0].credential", Value: []any{credential}}.WithKind(configuration.UnknownSetting),
		configuration.Fault{Path: "accounts[0].credential", Value: credential}.WithKind(configuration.UnknownSetting),
		configuration.Fault{Path: "$", Value: map[string]any{"accounts": credential}}.WithKind(configuration.UnreadableText),
	} {
		record(time.Duration(i)*time.Minute, registry.Refusal{Faults: configuration.Faults{fault}})
	}
	if text := strings.Join(*lines, "\n"); len(*lines) != 5 || strings.Contains(text, credential) || !strings.Contains(text, "accounts[0].credentials") {
		t.Fatal(text)
	}
}
