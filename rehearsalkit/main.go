// Command rehearsalkit tests saffronfall with seeded simulators, fleets of real processes, a model
// checker and deliberate breaks of the code. It is never deployed. Each field of commands is one
// subcommand.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"saffronfall/rehearsalkit/breaks"
	"saffronfall/rehearsalkit/capacity"
	"saffronfall/rehearsalkit/days"
	"saffronfall/rehearsalkit/faultdisk"
	"saffronfall/rehearsalkit/fleet"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rehearsalkit/modelcheck"
	"saffronfall/rehearsalkit/refusals"
	"saffronfall/rehearsalkit/relaysim"
	"saffronfall/rehearsalkit/setup"
	"saffronfall/rehearsalkit/shares"
	"saffronfall/rehearsalkit/simulator"
	"saffronfall/rehearsalkit/soak"
	"saffronfall/rehearsalkit/worth"
	"saffronfall/rule/ordered"
)

// printRecord prints what requesters and back ends saw, and the situations that came about.
func printRecord(r *judge.Record) {
	counts := map[string]int{}
	for _, a := range r.Requests {
		name := a.Kind + " " + a.Outcome
		if a.Code != "" {
			name += " " + a.Code
		}
		counts[name]++
	}
	for _, name := range ordered.Keys(counts) {
		fmt.Printf("  requesters saw %-42s %d\n", name, counts[name])
	}
	byCode := map[string][]int{}
	for _, a := range r.Requests {
		if a.Outcome == judge.Refused && a.Code != "may_have_run" {
			second := int(a.At / time.Second)
			for len(byCode[a.Code]) <= second {
				byCode[a.Code] = append(byCode[a.Code], 0)
			}
			byCode[a.Code][second]++
		}
	}
	for _, code := range ordered.Keys(byCode) {
		fmt.Printf("  refusals a second: %-24s %v\n", code, byCode[code])
	}
	fmt.Printf("  back ends saw  %-42s %d\n", "shots", len(r.Attempts))
	if outages := r.Outages(); len(outages) > 0 {
		fmt.Printf("  conversations hindered: %d; served again after: half %v, all %v\n",
			len(outages), outages[len(outages)/2].Round(time.Millisecond), outages[len(outages)-1].Round(time.Millisecond))
	}
	situations := r.Situations()
	for _, name := range ordered.Keys(situations) {
		fmt.Printf("  came about     %-42s %d\n", name, situations[name])
	}
	fmt.Printf("  longest time with no whole return: %v\n", r.LongestGap().Round(time.Millisecond))
}

type simulateCommand struct {
	Seeds int    `help:"How many seeds." default:"100"`
	First uint64 `help:"First seed; 0: a random one, which is printed." default:"0"`
	Stop  bool   `help:"Stop at the first breach."`
}

func (c *simulateCommand) Run() error {
	first := c.First
	if first == 0 {
		first = rand.Uint64N(1 << 40)
	}
	fmt.Printf("seeds %d to %d\n", first, first+uint64(c.Seeds)-1)
	broken, completedTurns, maxTripDelay := 0, int64(0), time.Duration(0)
	situations := map[string]int{}
	simulator.RunSeeds(first, c.Seeds, func(o simulator.Outcome) {
		completedTurns += o.CompletedTurns
		maxTripDelay = max(maxTripDelay, o.MaxTripDelay)
		for name, n := range o.Situations {
			situations[name] += n
		}
		for _, b := range o.Breaches {
			broken++
			fmt.Printf("BROKEN seed %d: %s\n", o.Seed, b)
		}
		if c.Stop && broken > 0 {
			os.Exit(1)
		}
	})
	for _, name := range ordered.Keys(situations) {
		fmt.Printf("  came about %-36s %d\n", name, situations[name])
	}
	fmt.Printf("  longest that a node still gated after another told of a trip: %v\n", maxTripDelay.Round(time.Millisecond))
	fmt.Printf("%d seeds, %d whole turns, %d breaches\n", c.Seeds, completedTurns, broken)
	if broken > 0 {
		return errors.Newf("%d breaches", broken)
	}
	return nil
}

type relaysimCommand struct {
	Seeds    int    `help:"How many seeds." default:"100"`
	First    uint64 `help:"First seed; 0: a random one, which is printed." default:"0"`
	Logs     bool   `help:"Print what happens in each run; for single seeds."`
	Scenario string `help:"A named scenario (docs/worst-days.md) instead of the seeded day."`
	Workers  int    `help:"How many seeds of a scenario run in parallel." default:"4"`
}

func (c *relaysimCommand) runScenario(first uint64, logf func(format string, args ...any)) error {
	scenario, err := relaysim.ScenarioNamed(c.Scenario)
	if err != nil {
		return err
	}
	var merged relaysim.Merge
	broken, brokenSeeds := 0, 0
	scenario.PlaySeeds(first, c.Seeds, c.Workers, func(p *relaysim.Params) { p.Logf = logf }, func(f *relaysim.Findings) {
		merged.Add(f)
		for i, b := range f.Breaches {
			if i < maxPrintedBreaches {
				fmt.Printf("BROKEN seed %d: %s\n", f.Seed, b)
			}
		}
		if broken += len(f.Breaches); len(f.Breaches) > 0 {
			brokenSeeds++
		}
	})
	for _, line := range merged.Report() {
		fmt.Println(line)
	}
	fmt.Printf("%s: %d seeds, %d breaches in %d seeds\n", c.Scenario, c.Seeds, broken, brokenSeeds)
	if broken > 0 {
		return errors.Newf("%d breaches", broken)
	}
	return nil
}

// maxPrintedBreaches limits the printed breaches of one seed of a scenario.
const maxPrintedBreaches = 12

func (c *relaysimCommand) Run() error {
	first := c.First
	if first == 0 {
		first = rand.Uint64N(1 << 40)
	}
	fmt.Printf("seeds %d to %d\n", first, first+uint64(c.Seeds)-1)
	var logf func(format string, args ...any)
	if c.Logs {
		logf = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	}
	if c.Scenario != "" {
		return c.runScenario(first, logf)
	}
	broken, brokenSeeds, completedTurns := 0, 0, int64(0)
	counts, rules := map[string]int64{}, map[string]int64{}
	relaysim.RunSeeds(first, c.Seeds, logf, func(o relaysim.Outcome) {
		completedTurns += o.Counts["asked chat whole 200"]
		for name, n := range o.Counts {
			counts[name] += n
		}
		for _, b := range o.Breaches {
			broken++
			rules[b.Rule]++
			fmt.Printf("BROKEN seed %d: %s\n", o.Seed, b)
		}
		if len(o.Breaches) > 0 {
			brokenSeeds++
		}
	})
	for _, name := range ordered.Keys(counts) {
		fmt.Printf("  came about %-44s %d\n", name, counts[name])
	}
	for _, name := range ordered.Keys(rules) {
		fmt.Printf("  broken: %-40s %d\n", name, rules[name])
	}
	fmt.Printf("%d seeds, %d whole turns, %d breaches in %d seeds\n", c.Seeds, completedTurns, broken, brokenSeeds)
	if broken > 0 {
		return errors.Newf("%d breaches", broken)
	}
	return nil
}

type termsCommand struct {
	Terms []time.Duration `help:"Lease durations of members." default:"2s,5s,15s,40s"`
	Cuts  []time.Duration `help:"How long all cores are disconnected." default:"1s,5s,30s"`
	Seeds uint64          `help:"Seeds for each setting." default:"3"`
}

func (c *termsCommand) Run() error {
	broken := 0
	for _, term := range c.Terms {
		t := simulator.MeasureMemberLease(term, c.Cuts, c.Seeds)
		fmt.Printf("term %v: %d turns asked in cuts;", term, t.Turns)
		for _, cut := range c.Cuts {
			fmt.Printf(" cut of %v: %.1f%% whole;", cut, 100*t.Served[cut])
		}
		fmt.Printf(" successor after %v; configuration with a node dead taken after %v\n",
			t.MaxFailover.Round(10*time.Millisecond), t.MaxConfigurationDelay.Round(10*time.Millisecond))
		for _, b := range t.Breaches {
			broken++
			fmt.Println("BROKEN", b)
		}
	}
	if broken > 0 {
		return errors.Newf("%d breaches", broken)
	}
	return nil
}

type crashCommand struct {
	Every int `help:"Execute only one in this many runs." default:"1"`
}

func (c *crashCommand) Run() error {
	points, runs, faults := 0, 0, 0
	simulator.CrashPoints(c.Every, func(c simulator.CrashResult) {
		points, runs, faults = points+c.Points, runs+c.Runs, faults+len(c.Faults)
		fmt.Println(c)
	})
	fmt.Printf("%d crash points, %d runs, %d faults\n", points, runs, faults)
	if faults > 0 {
		return errors.Newf("%d faults", faults)
	}
	return nil
}

type loadsCommand struct {
	Seeds uint64 `help:"Seeds for each setting." default:"5"`
}

func (c *loadsCommand) Run() error {
	broken := 0
	for seed := uint64(1); seed <= c.Seeds; seed++ {
		m := simulator.MeasureCrowd(seed)
		broken += len(m.Breaches)
		fmt.Printf("crowd, seed %d: alerts through in calm %d of %d (half %v, nine of ten %v), in the crowd %d of %d (half %v, nine of ten %v); turns whole %d of %d\n",
			seed,
			m.Succeeded[0], m.Alerts[0], m.Median[0].Round(time.Millisecond), m.P90[0].Round(time.Millisecond),
			m.Succeeded[1], m.Alerts[1], m.Median[1].Round(time.Millisecond), m.P90[1].Round(time.Millisecond), m.SucceededTurns, m.Turns)
	}
	for _, where := range []string{"all nodes", "one node", "moving"} {
		fmt.Printf("quota used by one large tenant, %s:", where)
		for seed := uint64(1); seed <= c.Seeds; seed++ {
			m := simulator.MeasureShares(seed, where)
			broken += len(m.Breaches)
			fmt.Printf(" %.2f", m.Used)
		}
		fmt.Println()
	}
	if broken > 0 {
		return errors.Newf("%d breaches", broken)
	}
	return nil
}

type breaksCommand struct {
	Seeds   int    `help:"Maximum number of seeds that are tried to find a break." default:"80"`
	Root    string `help:"Root of the workspace." default:"." type:"path"`
	Rule    int    `help:"Only the breaks of this rule; 0: all." default:"0"`
	Checker bool   `help:"The breaks that the model checker must find, instead of those of rules."`
	Soak    bool   `help:"The breaks that the soak of real processes must find."`
	Relay   bool   `help:"The breaks of operation keys that the simulator of the relaying tier must find."`
	Jobs    int    `help:"With --soak: how many breaks are tried in parallel." default:"3"`
	Only    string `help:"With --checker, --soak or --relay: only the breaks whose description contains this text."`
}

func (c *breaksCommand) runChecker() error {
	unseen := 0
	for _, b := range breaks.Checker {
		if !strings.Contains(b.What, c.Only) {
			continue
		}
		found, err := b.Run(c.Root)
		if err != nil {
			unseen++
			fmt.Printf("UNSEEN %s: %v\n", b.What, err)
			continue
		}
		fmt.Printf("%s: %s\n", b.What, found)
	}
	if unseen > 0 {
		return errors.Newf("%d breaks unseen", unseen)
	}
	return nil
}

func (c *breaksCommand) runRelay() error {
	unseen := 0
	for _, b := range breaks.Relay {
		if !strings.Contains(b.What, c.Only) {
			continue
		}
		found, err := b.Run(c.Root)
		if err != nil {
			unseen++
			fmt.Printf("UNSEEN within %d seeds: %s: %v\n", b.Seeds, b.What, err)
			continue
		}
		fmt.Printf("within %d seeds: %s: %s\n", b.Seeds, b.What, found)
	}
	if unseen > 0 {
		return errors.Newf("%d breaks unseen", unseen)
	}
	return nil
}

type soakResult struct {
	target breaks.SoakBreak
	found  string
	err    error
}

func (c *breaksCommand) runSoak() error {
	slots, results, count := make(chan struct{}, max(c.Jobs, 1)), make(chan soakResult), 0
	for i, b := range breaks.Soak {
		if !strings.Contains(b.What, c.Only) {
			continue
		}
		count++
		go func() {
			slots <- struct{}{}
			found, err := b.Run(c.Root, 1+20*i)
			<-slots
			results <- soakResult{target: b, found: found, err: err}
		}()
	}
	unseen := 0
	for range count {
		result := <-results
		switch {
		case result.err == nil:
			fmt.Printf("found within %d seeds: %s: %s\n", result.target.Seeds, result.target.What, result.found)
		case result.target.Elsewhere != "":
			fmt.Printf("not by the soak (%s): %s\n", result.target.Elsewhere, result.target.What)
		default:
			unseen++
			fmt.Printf("UNSEEN within %d seeds: %s: %v\n", result.target.Seeds, result.target.What, result.err)
		}
	}
	if unseen > 0 {
		return errors.Newf("%d breaks unseen", unseen)
	}
	return nil
}

func (c *breaksCommand) Run() error {
	if err := setup.CheckSources(); err != nil {
		return err
	}
	switch {
	case c.Checker:
		return c.runChecker()
	case c.Soak:
		return c.runSoak()
	case c.Relay:
		return c.runRelay()
	}
	unseen := 0
	for _, b := range breaks.Simulator {
		if c.Rule != 0 && b.Rule != c.Rule {
			continue
		}
		found, err := b.Run(c.Root, c.Seeds)
		if err != nil {
			unseen++
			fmt.Printf("UNSEEN rule %d, %s: %v\n", b.Rule, b.What, err)
			continue
		}
		fmt.Printf("rule %d, %s: %s\n", b.Rule, b.What, found)
	}
	if unseen > 0 {
		return errors.Newf("%d breaks unseen", unseen)
	}
	return nil
}

type backendCommand struct {
	Service string   `help:"Name of the service." default:"model"`
	ID      string   `help:"Name of the replica." default:"stand-in"`
	Zone    string   `help:"Zone." default:"zone-1"`
	Address string   `help:"IP address and port on which it listens." default:"127.0.9.1:7900"`
	Node    []string `help:"Requester addresses of the nodes to which the replica announces itself." default:"127.0.1.4:7002,127.0.1.5:7002,127.0.1.6:7002"`
	Key     string   `help:"Replica key." required:""`
}

func (c *backendCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return fleet.Backend(ctx, c.Service, c.ID, c.Zone, c.Address, c.Node, c.Key)
}

var commands struct {
	Backend    backendCommand          `cmd:"" help:"Run one stand-in back end."`
	Fleet      fleetCommand            `cmd:"" help:"Run a fleet of processes with stand-in requesters and back ends, and check the rules."`
	Capacity   capacity.Command        `cmd:"" help:"Measure the resource use of nodes, desks and cores at a size, with simplified processes in simulated time."`
	Days       days.Command            `cmd:"" help:"Generate days for the users' bench from a seed, targeting chosen weak points."`
	Breaks     breaksCommand           `cmd:"" help:"Break the code on purpose in scratch copies, one change at a time, and check that each break is found."`
	Loads      loadsCommand            `cmd:"" help:"Measure alerts under overload and the use of quotas, in simulated time."`
	Terms      termsCommand            `cmd:"" help:"Measure the effects of different lease durations of members, in simulated time."`
	Crash      crashCommand            `cmd:"" help:"Crash each involved process after each message and around each sync of each operation, and check the rules."`
	Modelcheck modelcheck.Command      `cmd:"" help:"Explore all states of the product's partition state machine within bounds, or replay a trace."`
	Simulate   simulateCommand         `cmd:"" help:"Run the simulator over seeds."`
	Restart    capacity.RestartCommand `cmd:"" help:"Measure a start of all processes at once after a loss of power, by the number of nodes, in simulated time on limited processors and links."`
	Relaysim   relaysimCommand         `cmd:"" help:"Run the simulator of the relaying tier over seeds."`
	FaultyCore faultdisk.Command       `cmd:"" help:"Run the product's core role on a disk that can be full, slow or stalled or lose power, controlled over HTTP."`
	Refusals   refusals.Command        `cmd:"" help:"List the client errors (400 to 499) in node logs by cause and route, and whether they are justified."`
	Shares     shares.Command          `cmd:"" help:"Compare ways to hold a tenant's rate over many nodes, in simulated time."`
	Worth      worth.Command           `cmd:"" help:"Show from reports where played days lost worth, or compare the days of two builds in pairs."`
	Soak       soak.Command            `cmd:"" help:"Run cores, desks and relaying nodes as real processes under overlapping random faults, over seeds, and check the rules."`
}

func main() {
	parser := kong.Parse(&commands, kong.Name("rehearsalkit"), kong.Description("Tests saffronfall under faults and checks what requesters and back ends saw against its rules."))
	if err := parser.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "rehearsalkit:", err)
		if setup.IsFault(err) {
			os.Exit(setup.FaultExitCode)
		}
		os.Exit(1)
	}
}
