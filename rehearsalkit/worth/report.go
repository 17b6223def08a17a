// Package worth splits the lost worth of days by cause, and compares two builds seed by seed. A day
// is a run of the users' bench, worth its score of at most 1. Start reading at Report.Losses.
package worth

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// Report holds the parts of a day's report that concern its worth (G).
type Report struct {
	Worth      float64     `json:"G"`
	Components []Component `json:"parts"`
	Prices     []Price     `json:"prices"`
	Windows    []Window    `json:"windows"`
	Classes    []Window    `json:"classes"`
	Events     []Event     `json:"events"`
	// Outcomes counts the outcomes of requesters' attempts.
	Outcomes map[string]int `json:"ends"`
}

// Component is a part of the score, with the share of worth earned in it.
type Component struct {
	Name          string
	Weight, Value float64
}

// UnmarshalJSON reads a list of name, weight and value.
func (p *Component) UnmarshalJSON(raw []byte) error {
	return json.Unmarshal(raw, &[]any{&p.Name, &p.Weight, &p.Value})
}

// Price is a deduction for the use of a resource.
type Price struct {
	Name         string
	Amount, Cost float64
}

// UnmarshalJSON reads a list of name, amount and cost.
func (p *Price) UnmarshalJSON(raw []byte) error {
	return json.Unmarshal(raw, &[]any{&p.Name, &p.Amount, &p.Cost})
}

// Window counts the requests that began in an interval, or that are of one class. InAim met their
// latency target, Late were answered after it.
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

// Event is a fault or planned work, with its times in seconds.
type Event struct {
	From float64 `json:"at_s"`
	To   float64 `json:"to_s"`
	Kind string  `json:"kind"`
}

// Read fails if the file is not the report of a day.
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
		return r, errors.Newf("%s is not the report of a day", path)
	}
	return r, nil
}

// Loss is the worth lost to one cause.
type Loss struct {
	Cause string
	Worth float64
}

// Losses splits 1 minus the day's worth by cause. Rounding in the report is a loss of its own, so
// that the losses always add up.
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

// EventsBetween returns the kinds of the events that overlap an interval, in seconds.
func (r Report) EventsBetween(from, to float64) (kinds []string) {
	for _, e := range r.Events {
		if e.From < to && e.To > from {
			kinds = append(kinds, e.Kind)
		}
	}
	return kinds
}
