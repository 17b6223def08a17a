// Package worth tells where a played day lost its worth: it reads the report of a day and
// splits what was lost into parts that add up, and compares days of two builds seed by
// seed.
package worth

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// Report is what a played day's report tells of its worth.
type Report struct {
	Worth      float64     `json:"G"`
	Components []Component `json:"parts"`
	Prices     []Price     `json:"prices"`
	Windows    []Window    `json:"windows"`
	Classes    []Window    `json:"classes"`
	Events     []Event     `json:"events"`
	// Ends counts how clients' tries ended.
	Outcomes map[string]int `json:"ends"`
}

// Part is one part of the goal: its weight, and the ratio of worth earned in it.
type Component struct {
	Name          string
	Weight, Value float64
}

// UnmarshalJSON reads a part as reports write it: a list of name, weight and value.
func (p *Component) UnmarshalJSON(raw []byte) error {
	return json.Unmarshal(raw, &[]any{&p.Name, &p.Weight, &p.Value})
}

// Price is what was taken off for one thing.
type Price struct {
	Name         string
	Amount, Cost float64
}

// UnmarshalJSON reads a price as reports write it: a list of name, amount and cost.
func (p *Price) UnmarshalJSON(raw []byte) error {
	return json.Unmarshal(raw, &[]any{&p.Name, &p.Amount, &p.Cost})
}

// Window counts the requests that began in some seconds, or that are of one kind.
type Window struct {
	Name    any     `json:"name"`
	Asked   int     `json:"n"`
	InAim   int     `json:"in_aim"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
	Median  float64 `json:"p50_ms"`
}

// Event is a trouble or a planned work of the day.
type Event struct {
	From float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
}

// Read reads a day's report.
func Read(path string) (Report, error) {
	var r Report
	text, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, errors.Wrap(err, path)
	}
	if len(r.Components) == 0 {
		return r, errors.Newf("%s: no report of a day", path)
	}
	return r, nil
}

// Loss is one cause of lost worth.
type Loss struct {
	Cause string
	Worth float64
}

// Losses split what a day lost against serving all in time at no price. They add up to
// 1 less the day's worth, but for rounding, which is told as a loss of its own.
func (r Report) Losses() []Loss {
	var losses []Loss
	rest := 1 - r.Worth
	for _, p := range r.Components {
		losses = append(losses, Loss{Cause: p.Name, Worth: p.Weight * (1 - p.Value)})
		rest -= p.Weight * (1 - p.Value)
	}
	for _, p := range r.Prices {
		if p.Cost != 0 {
			losses = append(losses, Loss{Cause: "price: " + p.Name, Worth: p.Cost})
			rest -= p.Cost
		}
	}
	return append(losses, Loss{Cause: "rounding", Worth: rest})
}

// Troubles names what struck between two moments.
func (r Report) EventsBetween(from, to float64) (kinds []string) {
	for _, e := range r.Events {
		if e.From < to && e.To > from {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}
