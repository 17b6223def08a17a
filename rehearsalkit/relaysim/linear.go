package relaysim

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// RuleLinear is that orders and reads of the table in force could have happened
// one after the other, each at a moment between its call and its answer.
const RuleLinear = "tables are linearizable"

// linearTime is how long a search for such an order may take.
const linearTime = 20 * time.Second

// tableState is the table in force, in the model of a register.
type tableState struct {
	Number uint64
	Text   string
}

// tableCall is one order, or one read.
type tableCall struct {
	Read bool
	Base uint64
	To   tableState
}

// What became of an order.
const (
	orderUnsure = iota
	orderTaken
	orderRefused
)

// tableAnswer is what a call was answered with.
type tableAnswer struct {
	Outcome int
	Found   tableState
}

// tableModel is a register that changes only from the base that an order names.
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

// tableHistory is what operators did, and what they were answered. Orders without
// a clear answer may come into force at any time, or never.
func (r *Record) tableHistory() []porcupine.Operation {
	var history []porcupine.Operation
	for _, t := range r.Tables {
		if !t.Valid {
			continue
		}
		one := porcupine.Operation{Input: tableCall{Base: t.Base, To: tableState{t.Number, string(t.Text)}}, Call: int64(t.Sent), Output: tableAnswer{}, Return: math.MaxInt64}
		switch {
		case t.IsAcked:
			one.Output, one.Return = tableAnswer{Outcome: orderTaken}, int64(t.Acked)
		case t.Refused && t.RefusedAt > 0:
			one.Output, one.Return = tableAnswer{Outcome: orderRefused}, int64(t.RefusedAt)
		case t.Refused:
			one.Output = tableAnswer{Outcome: orderRefused}
		}
		history = append(history, one)
	}
	for _, read := range append(append([]ReadBack(nil), r.Readings...), r.Reads...) {
		found := tableState{read.Number, string(read.Text)}
		history = append(history, porcupine.Operation{Input: tableCall{Read: true}, Call: int64(read.From), Output: tableAnswer{Found: found}, Return: int64(read.At)})
	}
	return history
}

// linear looks for an order of all calls that explains their answers.
func (b *books) linear() []Breach {
	history := b.tableHistory()
	switch porcupine.CheckOperationsTimeout(tableModel, history, linearTime) {
	case porcupine.Illegal:
		return []Breach{breach(RuleLinear, "no order of %d calls explains their answers", len(history))}
	case porcupine.Unknown:
		return []Breach{breach(RuleLinear, "%d calls could not be judged within %v", len(history), linearTime)}
	}
	return nil
}
