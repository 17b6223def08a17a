package days

import (
	"slices"
	"strconv"
	"strings"
)

// Value is a field of an entry: a number or a name.
type Value struct {
	Name   string
	Number float64
	Text   string
}

// Entry is one trouble, or one piece of planned work, of a day.
type Entry struct {
	AtS    float64
	Kind   Kind
	Group  Group
	Values []Value
}

// number tells a numeric field's value, and whether the entry has it.
func (e Entry) number(name string) (float64, bool) {
	for _, value := range e.Values {
		if value.Name == name && value.Text == "" {
			return value.Number, true
		}
	}
	return 0, false
}

// text tells a named field's value.
func (e Entry) text(name string) string {
	for _, value := range e.Values {
		if value.Name == name {
			return value.Text
		}
	}
	return ""
}

// set gives a numeric field a value.
func (e *Entry) set(name string, number float64) {
	e.Values = slices.DeleteFunc(e.Values, func(v Value) bool { return v.Name == name })
	e.Values = append(e.Values, Value{Name: name, Number: number})
}

// lostS is how long the entry itself keeps machines away.
func (e Entry) lossDurationS() float64 {
	length := e.Kind.DefaultLossS
	if told, ok := e.number(fieldDuration); ok {
		length = max(length, told)
	}
	if wait, ok := e.number(fieldFactor); ok && e.Kind.Name == "replace_core" {
		length = max(length, wait)
	}
	return length
}

// machinesLost is how many machines the entry takes at once, for the ledger.
func (e Entry) machinesLost() int {
	if !e.Kind.CausesLoss {
		return 0
	}
	if told, ok := e.number(fieldCount); ok {
		return int(told)
	}
	return 1
}

// line writes the entry as a line of a day.
func (e Entry) line() string {
	parts := []string{"at = " + decimal(e.AtS), "kind = " + strconv.Quote(e.Kind.Name)}
	if e.Group != AnyGroup {
		parts = append(parts, "on = "+strconv.Quote(string(e.Group)))
	}
	for _, value := range e.Values {
		if value.Text != "" {
			parts = append(parts, value.Name+" = "+strconv.Quote(value.Text))
			continue
		}
		parts = append(parts, value.Name+" = "+decimal(value.Number))
	}
	return "{ " + strings.Join(parts, ", ") + " }"
}

// decimal writes a number with three places at most.
func decimal(number float64) string {
	return strconv.FormatFloat(rounded(number), 'f', -1, 64)
}
