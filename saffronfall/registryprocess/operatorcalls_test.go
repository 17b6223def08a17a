package registryprocess

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/rule/configuration"
)

// TestOperatorCallsAreLoggedWithOutcomeAndTime guards against an unsure answer that no log explains.
func TestOperatorCallsAreLoggedWithOutcomeAndTime(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	calls := newOperatorCalls()
	bodies := []any{
		core.CurrentTable{Number: 4}, core.CurrentTable{}, registry.OrderResult{Accepted: true}, registry.OrderResult{Uncertain: true},
		registry.OrderResult{RaceLost: true}, registry.OrderResult{Faults: configuration.Faults{{Path: "$"}}}, registry.RetirementStatus{Uncertain: true},
	}
	for i, body := range bodies {
		calls.start(time.Second, uint64(i), callRead)
		calls.end(1250*time.Millisecond, registry.Answer{Ticket: uint64(i), Body: body}, 40*time.Millisecond, log)
	}
	calls.start(0, 99, callOther)
	calls.end(0, registry.Answer{Ticket: 99, Body: registry.Acknowledgment{}}, 0, log)
	if len(lines) != len(bodies) || len(calls.open) != 0 {
		t.Fatalf("%d lines, %d calls open:\n%s", len(lines), len(calls.open), strings.Join(lines, "\n"))
	}
	for i, outcome := range []callOutcome{outcomeAnswered, outcomeUnsure, outcomeAccepted, outcomeUnsure, outcomeRaceLost, outcomeRefused, outcomeUnsure} {
		for _, part := range []string{`"kind"="read"`, `"outcome"="` + string(outcome) + `"`, `"took_ms"=250`, `"confirmation_age_ms"=40`} {
			if !strings.Contains(lines[i], part) {
				t.Errorf("%+v: the line lacks %s: %s", bodies[i], part, lines[i])
			}
		}
	}
	values := map[string]int64{}
	calls.addMetrics(values)
	if values["operator_calls_unsure"] != 3 || values["operator_calls_answered"] != 1 || len(values) != len(callOutcomes) {
		t.Errorf("metrics %v", values)
	}
}
