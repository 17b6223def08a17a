package modelcheck

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Trace is a sequence of actions from a scenario's initial state to a violation.
type Trace struct {
	Scenario  string    `json:"scenario"`
	Violation Violation `json:"violation"`
	Actions   []Action  `json:"actions"`
}

func newTrace(scenario *Scenario, n *node) *Trace {
	trace := &Trace{Scenario: scenario.Name, Actions: n.trace()}
	if n.world.violated != nil {
		trace.Violation = *n.world.violated
	}
	return trace
}

// String prints the violation and one action per line.
func (t *Trace) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s\n  in scenario %s after %d actions:\n", &t.Violation, t.Scenario, len(t.Actions))
	for i, action := range t.Actions {
		fmt.Fprintf(&text, "  %3d %s\n", i+1, action)
	}
	return text.String()
}

// Save writes the trace to a JSON file.
func (t *Trace) Save(path string) error {
	raw, err := json.MarshalIndent(t, "", "\t")
	if err != nil {
		return errors.Wrap(err, "encoding a trace")
	}
	return errors.Wrap(os.WriteFile(path, append(raw, '\n'), 0o644), "writing a trace")
}

// LoadTrace reads a trace from a JSON file.
func LoadTrace(path string) (*Trace, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading a trace")
	}
	var trace Trace
	return &trace, errors.Wrapf(json.Unmarshal(raw, &trace), "decoding trace %s", path)
}

// Replay passes each state to visit, which may be nil. It returns the first violation, or
// ErrImpossible if the code no longer allows an action.
func (t *Trace) Replay(visit func(Action, *World)) (*Violation, error) {
	scenario, ok := Find(t.Scenario)
	if !ok {
		return nil, errors.Newf("no scenario %q", t.Scenario)
	}
	w := scenario.Start()
	for _, action := range t.Actions {
		next, err := w.Apply(action)
		if err != nil {
			return nil, err
		}
		next.checkDisks()
		if visit != nil {
			visit(action, next)
		}
		if next.violated != nil {
			return next.violated, nil
		}
		w = next
	}
	return nil, nil
}
