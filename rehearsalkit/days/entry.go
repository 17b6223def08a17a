package days

import (
	"slices"
	"strconv"
	"strings"
)

// Value is a field of an entry: a text, or a number if Text is empty.
type Value struct {
	Name   string
	Number float64
	Text   string
}

// Entry is a fault or planned work. AtS is in seconds from the start of the day.
type Entry struct {
	AtS    float64
	Kind   Kind
	Group  Group
	Values []Value
}

func (e Entry) number(name string) (float64, bool) {
	for _, value := range e.Values {
		if value.Name == name && value.Text == "" {
			return value.Number, true
		}
	}
	return 0, false
}

// text returns "" if the entry lacks the field.
func (e Entry) text(name string) string {
	for _, value := range e.Values {
		if value.Name == name {
			return value.Text
		}
	}
	return ""
}

func (e *Entry) set(name string, number float64) {
	e.Values = slices.DeleteFunc(e.Values, func(v Value) bool { return v.Name == name })
	e.Values = append(e.Values, Value{Name: name, Number: number})
}

// lossDurationS excludes the time to catch up.
func (e Entry) lossDurationS() float64 {
	length := e.Kind.DefaultLossS
	if value, ok := e.number(fieldDuration); ok {
		length = max(length, value)
	}
	if wait, ok := e.number(fieldFactor); ok && e.Kind.Name == "replace_core" {
		length = max(length, wait)
	}
	return length
}

func (e Entry) machinesLost() int {
	if !e.Kind.CausesLoss {
		return 0
	}
	if value, ok := e.number(fieldCount); ok {
		return int(value)
	}
	return 1
}

// line returns the entry as an inline TOML table.
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

// decimal keeps at most three decimal places.
func decimal(number float64) string {
	return strconv.FormatFloat(rounded(number), 'f', -1, 64)
}
