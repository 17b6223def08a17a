package registryprocess

import (
	"time"

	"github.com/go-logr/logr"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
)

// callKind names an operator's call in logs and metrics. Other calls have none and are not logged.
type callKind string

const (
	callApply            callKind = "apply"
	callAmend            callKind = "amend"
	callRead             callKind = "read"
	callRetire           callKind = "retire"
	callRetirementStatus callKind = "retirement_status"
	callOther            callKind = ""
)

// callOutcome says how an operator's call ended.
type callOutcome string

const (
	outcomeAnswered callOutcome = "answered"
	outcomeAccepted callOutcome = "accepted"
	outcomeRefused  callOutcome = "refused"
	outcomeRaceLost callOutcome = "race_lost"
	outcomeUnsure   callOutcome = "unsure"
)

// operatorCallsPrefix begins the metric of each outcome.
const operatorCallsPrefix = "operator_calls_"

var callOutcomes = []callOutcome{outcomeAnswered, outcomeAccepted, outcomeRefused, outcomeRaceLost, outcomeUnsure}

func outcomeOf(body any) callOutcome {
	switch answer := body.(type) {
	case core.CurrentTable:
		if answer.Number == 0 {
			return outcomeUnsure
		}
	case registry.RetirementStatus:
		if answer.Uncertain {
			return outcomeUnsure
		}
	case registry.OrderResult:
		switch {
		case answer.Uncertain:
			return outcomeUnsure
		case answer.Faults != nil:
			return outcomeRefused
		case answer.RaceLost:
			return outcomeRaceLost
		case answer.Accepted:
			return outcomeAccepted
		}
	}
	return outcomeAnswered
}

// operatorCalls logs and counts operators' calls. Only the goroutine of process.run may use it.
type operatorCalls struct {
	open   map[uint64]operatorCall
	counts map[callOutcome]int64
}

type operatorCall struct {
	kind      callKind
	startedAt time.Duration
}

func newOperatorCalls() *operatorCalls {
	return &operatorCalls{open: map[uint64]operatorCall{}, counts: map[callOutcome]int64{}}
}

func (c *operatorCalls) start(now time.Duration, ticket uint64, kind callKind) {
	if kind != callOther {
		c.open[ticket] = operatorCall{kind: kind, startedAt: now}
	}
}

// end logs a call with the age of the cores' last confirmation, which tells whether they could be
// reached.
func (c *operatorCalls) end(now time.Duration, answer registry.Answer, confirmationAge time.Duration, log logr.Logger) {
	call, ok := c.open[answer.Ticket]
	if !ok {
		return
	}
	delete(c.open, answer.Ticket)
	outcome := outcomeOf(answer.Body)
	c.counts[outcome]++
	log.Info(
		"operator's call ended",
		"kind", call.kind,
		"outcome", outcome,
		"took_ms", (now - call.startedAt).Milliseconds(),
		"confirmation_age_ms", confirmationAge.Milliseconds(),
	)
}

func (c *operatorCalls) addMetrics(values map[string]int64) {
	for _, outcome := range callOutcomes {
		values[operatorCallsPrefix+string(outcome)] = c.counts[outcome]
	}
}
