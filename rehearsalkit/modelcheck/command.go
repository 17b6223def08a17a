package modelcheck

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Command is the command line of the model checker.
type Command struct {
	Scenario string        `help:"Scenario to check; all: every scenario in turn." default:"all"`
	Depth    int           `help:"Maximum number of actions in a trace; 0: the scenario's own depth."`
	States   int           `help:"Stop once this many distinct states were visited; 0: no limit."`
	Faults   int           `help:"Number added to the scenario's bound of each kind of fault."`
	Timeout  time.Duration `help:"Maximum duration of each scenario; 0: no limit."`
	Workers  int           `help:"Number of states that are expanded in parallel." default:"4"`
	Walks    int           `help:"Number of random walks to make instead of an exploration; depth is their length."`
	First    uint64        `help:"Seed of the first random walk." default:"1"`
	Save     string        `help:"Directory for traces of violations." type:"path"`
	Replay   string        `help:"Replay the trace in this file instead of exploring." type:"path"`
	List     bool          `help:"List the scenarios."`
}

// garbagePercent raises the heap growth between collections: the frontier is large and long-lived.
const garbagePercent = 300

// Run fails if a scenario is unknown or a property is violated.
func (c *Command) Run() error {
	switch {
	case c.List:
		for _, s := range Scenarios() {
			fmt.Printf("%-10s %s (depth %d)\n", s.Name, s.Description, s.Depth)
		}
		return nil
	case c.Replay != "":
		return replayFile(c.Replay)
	}
	debug.SetGCPercent(garbagePercent)
	violating, found := 0, false
	for _, s := range Scenarios() {
		if c.Scenario != "all" && c.Scenario != s.Name {
			continue
		}
		found = true
		s.Bounds.addFaults(c.Faults)
		trace := c.check(s)
		if trace == nil {
			continue
		}
		violating++
		fmt.Print("BROKEN ", trace)
		if err := c.save(trace); err != nil {
			return err
		}
	}
	switch {
	case !found:
		return errors.Newf("no scenario %q", c.Scenario)
	case violating > 0:
		return errors.Newf("%d scenarios violate a property", violating)
	}
	return nil
}

// defaultWalkActions is the number of actions of a random walk without a given depth.
const defaultWalkActions = 60

// check returns the trace of a violation, or nil.
func (c *Command) check(s *Scenario) *Trace {
	if c.Walks == 0 {
		report := Explore(s, Limits{Depth: c.Depth, States: c.States, Timeout: c.Timeout, Workers: c.Workers, Progress: printProgress})
		fmt.Println(report)
		return report.Found
	}
	length := c.Depth
	if length == 0 {
		length = defaultWalkActions
	}
	report := Walk(s, Walks{Count: c.Walks, First: c.First, Length: length, Timeout: c.Timeout, Workers: c.Workers})
	fmt.Printf("%s: %d random walks, %d steps, %v\n", s.Name, report.Walks, report.Steps, report.Elapsed.Round(time.Millisecond))
	return report.Found
}

func (c *Command) save(trace *Trace) error {
	if c.Save == "" {
		return nil
	}
	if err := os.MkdirAll(c.Save, 0o755); err != nil {
		return errors.Wrap(err, "creating the directory for traces")
	}
	return trace.Save(filepath.Join(c.Save, trace.Scenario+".json"))
}

func printProgress(p Progress) {
	fmt.Printf("  depth %d: %d distinct states, %d transitions, %d in the frontier, %v\n",
		p.Depth, p.Distinct, p.Transitions, p.Frontier, p.Elapsed.Round(time.Millisecond))
}

// String summarizes the report in one line.
func (r Report) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %d distinct states, %d transitions in %v, depth %d",
		r.Scenario, r.Distinct, r.Transitions, r.Elapsed.Round(time.Millisecond), r.Depth)
	switch {
	case r.Found != nil:
		text.WriteString("; broken")
	case r.StoppedBy == "":
		text.WriteString("; all states within the bounds")
	case r.StoppedBy == timeoutLimit:
		fmt.Fprintf(&text, " not complete; cut off by timeout with %d states in the frontier", r.Frontier)
	default:
		fmt.Fprintf(&text, "; cut off by %s with %d states in the frontier", r.StoppedBy, r.Frontier)
	}
	return text.String()
}

func replayFile(path string) error {
	trace, err := LoadTrace(path)
	if err != nil {
		return err
	}
	step := 0
	violated, err := trace.Replay(func(a Action, w *World) {
		step++
		fmt.Printf("%3d %s\n      %s\n", step, a, w)
	})
	switch {
	case errors.Is(err, ErrImpossible):
		fmt.Printf("after %d of %d actions the code does not allow the next one: %v\n", step, len(trace.Actions), err)
		return nil
	case err != nil:
		return err
	case violated != nil:
		return errors.Newf("BROKEN %s", violated)
	}
	fmt.Println("nothing is broken")
	return nil
}

func (b *Bounds) addFaults(faults int) {
	for _, bound := range []*int{&b.Reboots, &b.Crashes, &b.Losses, &b.Duplicates, &b.Skews, &b.Delays} {
		*bound += faults
	}
}
