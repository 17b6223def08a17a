package relaysim

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// RuleLinear requires linearizability: some sequential execution explains the answers to all
// orders and reads, each taking effect between its call and its answer.
const RuleLinear = "tables are linearizable"

const linearTimeout = 20 * time.Second

type tableState struct {
	Number uint64
	Text   string
}

type tableCall struct {
	Read bool
	Base uint64
	To   tableState
}

const (
	orderUnsure = iota
	orderAccepted
	orderRefused
)

type tableAnswer struct {
	Outcome int
	Found   tableState
}

// tableModel is a register with compare-and-set on the order's base.
var tableModel = porcupine.Model{
	Init: func() any { return tableState{} },
	Step: func(state, input, output any) (bool, any) {
		now, call, answer := state.(tableState), input.(tableCall), output.(tableAnswer)
		if call.Read {
			return now == answer.Found, now
		}
		fits := now.Number == call.Base && call.To.Number > call.Base
		switch {
		case answer.Outcome == orderRefused:
			return !fits, now
		case fits:
			return true, call.To
		}
		return answer.Outcome == orderUnsure, now
	},
}

// tableHistory lists the operators' calls and answers. An order without a conclusive answer may
// take effect at any later time or never.
func (r *Record) tableHistory() []porcupine.Operation {
	var history []porcupine.Operation
	for _, t := range r.Tables {
		if !t.Valid {
			continue
		}
		operation := porcupine.Operation{
			Input:  tableCall{Base: t.Base, To: tableState{t.Number, string(t.Text)}},
			Call:   int64(t.SentAt),
			Output: tableAnswer{},
			Return: math.MaxInt64,
		}
		switch {
		case t.Acked:
			operation.Output, operation.Return = tableAnswer{Outcome: orderAccepted}, int64(t.AckedAt)
		case t.Refused && t.RefusedAt > 0:
			operation.Output, operation.Return = tableAnswer{Outcome: orderRefused}, int64(t.RefusedAt)
		case t.Refused:
			operation.Output = tableAnswer{Outcome: orderRefused}
		}
		history = append(history, operation)
	}
	for _, read := range append(append([]ReadBack(nil), r.OperatorReads...), r.FinalReads...) {
		found := tableState{read.Number, string(read.Text)}
		history = append(history, porcupine.Operation{
			Input:  tableCall{Read: true},
			Call:   int64(read.From),
			Output: tableAnswer{Found: found},
			Return: int64(read.At),
		})
	}
	return history
}

func (b *recordIndex) checkLinearizable() []Breach {
	history := b.tableHistory()
	switch porcupine.CheckOperationsTimeout(tableModel, history, linearTimeout) {
	case porcupine.Illegal:
		return []Breach{breach(RuleLinear, "no order of %d calls explains their answers", len(history))}
	case porcupine.Unknown:
		return []Breach{breach(RuleLinear, "%d calls could not be judged within %v", len(history), linearTimeout)}
	}
	return nil
}
