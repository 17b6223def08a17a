package registry

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/configuration"
	"saffronfall/rule/route"
)

// Amendment is an operator's order that changes named items of the current table. The registry
// proposes the resulting full table, so it is as atomic, durable and idempotent as one.
type Amendment struct {
	// Base is the number of the table that it changes, Number that of the result.
	Base, Number uint64
	// Digest identifies the order among all orders on its base.
	Digest string
	// Apply returns the resulting table. The current text is empty if there is no table yet.
	Apply func(current []byte) ([]byte, configuration.Faults)
	// PreviewOnly requests a preview without proposing the table.
	PreviewOnly bool
}

// Amend proposes the amended table to the cores. It reads the current table from them, because a
// proposal based on an older copy would be rejected. The ticket is answered with an OrderResult.
func (m *Machine) Amend(now time.Duration, ticket uint64, amendment Amendment) Output {
	m.out = &Output{}
	deadline := now + m.params.OperationTimeout
	m.addPending(now, ticket, OrderResult{Uncertain: true})
	m.caller.Call(now, core.ReadTable{}, deadline, func(now time.Duration, outcome core.Outcome) {
		current, ok := outcome.Answer.(core.CurrentTable)
		if _, isPending := m.pending[ticket]; !isPending {
			return
		}
		switch {
		case !ok:
			m.resolve(ticket, OrderResult{Uncertain: true})
		case current.Number != amendment.Base:
			m.findOrder(now, ticket, amendment, deadline)
		default:
			m.proposeAmendment(now, ticket, amendment, current, deadline)
		}
	})
	return *m.out
}

// findOrder answers an amendment whose base is not the current table: it or another order on
// that base was accepted earlier.
func (m *Machine) findOrder(now time.Duration, ticket uint64, amendment Amendment, deadline time.Duration) {
	command := core.FindOrder{Base: amendment.Base, Number: amendment.Number, Digest: amendment.Digest}
	m.caller.Call(now, command, deadline, func(_ time.Duration, outcome core.Outcome) {
		found, ok := outcome.Answer.(core.AcceptTableResult)
		switch {
		case !ok:
			m.resolve(ticket, OrderResult{Uncertain: true})
		case found.OK:
			m.resolve(ticket, OrderResult{Accepted: true, Number: found.Number})
		default:
			m.resolve(ticket, OrderResult{RaceLost: true, Number: found.Number})
		}
	})
}

func (m *Machine) proposeAmendment(
	now time.Duration, ticket uint64, amendment Amendment, current core.CurrentTable, deadline time.Duration,
) {
	text, faults := amendment.Apply(current.Text)
	var next *route.Table
	if faults == nil {
		next, faults = route.Parse(text)
	}
	switch {
	case faults != nil:
		m.Counters.TablesRefused++
		m.resolve(ticket, OrderResult{Number: current.Number, Faults: faults})
	case amendment.PreviewOnly:
		m.resolve(ticket, OrderResult{Number: current.Number, Preview: previewOf(current.Text, next)})
	default:
		command := core.AcceptTable{Base: amendment.Base, Number: next.Number, Text: text, Digest: amendment.Digest}
		m.proposeTable(now, ticket, command, next, deadline)
	}
}

func previewOf(text []byte, next *route.Table) *route.Preview {
	current, faults := route.Parse(text)
	if faults != nil {
		current = &route.Table{}
	}
	preview := route.NewPreview(current, next)
	return &preview
}

// ApplyAmendment returns the Apply function for an amendment in the product's own format.
func ApplyAmendment(amendment route.Amendment) func(current []byte) ([]byte, configuration.Faults) {
	return func(text []byte) ([]byte, configuration.Faults) {
		current, faults := route.Parse(text)
		if faults != nil {
			return nil, configuration.Faults{{Path: "$", Value: "no table is in force", Allowed: "an amendment of a table that is in force"}}
		}
		next, faults := amendment.Apply(current)
		if faults != nil {
			return nil, faults
		}
		return next.JSONWithoutSource(), nil
	}
}
