package desk

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/configuration"
	"saffronfall/rule/route"
)

// Amendment is an order that changes named items of the table in force. It is joined to
// that table at the desk and agreed whole, so that it is as atomic, as durable and as
// well known again as a whole table.
type Amendment struct {
	// Base is the number of the table that it builds on, Number the next one's.
	Base, Number uint64
	// Digest tells this order from all others on its base.
	Digest string
	// Join makes the next table's text from the current one's, which is empty where
	// there is none yet.
	Apply func(current []byte) ([]byte, configuration.Faults)
	// PreviewOnly asks what would change; nothing does.
	PreviewOnly bool
}

// Amend joins an amendment to the table in force and has the outcome agreed by the
// cores. The cores are asked for that table, since an amendment of an older copy could
// only lose its race.
func (m *Machine) Amend(now time.Duration, ticket uint64, a Amendment) Output {
	m.out = &Output{}
	deadline := now + m.params.OperationTimeout
	m.addPending(now, ticket, OrderResult{Unsure: true})
	m.caller.Call(now, core.ReadTable{}, deadline, func(now time.Duration, o core.Outcome) {
		current, ok := o.Answer.(core.AgreedTable)
		if _, waiting := m.pending[ticket]; !waiting {
			return
		}
		switch {
		case !ok:
			m.resolve(ticket, OrderResult{Unsure: true})
		case current.Number != a.Base:
			m.findOrder(now, ticket, a, deadline)
		default:
			m.proposeAmendment(now, ticket, a, current, deadline)
		}
	})
	return *m.out
}

// findAmendment answers an amendment whose base is not in force: either it was taken
// before, or another order was.
func (m *Machine) findOrder(now time.Duration, ticket uint64, a Amendment, deadline time.Duration) {
	m.caller.Call(now, core.FindOrder{Base: a.Base, Number: a.Number, Digest: a.Digest}, deadline, func(_ time.Duration, o core.Outcome) {
		found, ok := o.Answer.(core.TableAgreed)
		switch {
		case !ok:
			m.resolve(ticket, OrderResult{Unsure: true})
		case found.OK:
			m.resolve(ticket, OrderResult{Accepted: true, Number: found.Number})
		default:
			m.resolve(ticket, OrderResult{RaceLost: true, Number: found.Number})
		}
	})
}

// joinAmendment checks what comes of an amendment, and has it agreed.
func (m *Machine) proposeAmendment(now time.Duration, ticket uint64, a Amendment, current core.AgreedTable, deadline time.Duration) {
	text, faults := a.Apply(current.Text)
	var next *route.Table
	if faults == nil {
		next, faults = route.Parse(text)
	}
	switch {
	case faults != nil:
		m.Counters.TablesRefused++
		m.resolve(ticket, OrderResult{Number: current.Number, Faults: faults})
	case a.PreviewOnly:
		m.resolve(ticket, OrderResult{Number: current.Number, Preview: previewOf(current.Text, next)})
	default:
		m.proposeTable(now, ticket, core.AgreeTable{Base: a.Base, Number: next.Number, Text: text, Digest: a.Digest}, next, deadline)
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

// JoinTable is how an amendment in the product's own words is joined.
func ApplyAmendment(a route.Amendment) func(current []byte) ([]byte, configuration.Faults) {
	return func(text []byte) ([]byte, configuration.Faults) {
		current, faults := route.Parse(text)
		if faults != nil {
			return nil, configuration.Faults{{Path: "$", Value: "no table is in force", Allowed: "an amendment of a table that is in force"}}
		}
		next, faults := a.Apply(current)
		if faults != nil {
			return nil, faults
		}
		return next.JSONWithoutSource(), nil
	}
}
