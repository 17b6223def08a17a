// Command saffronfall is the serving tier: its roles and its operators' tools.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
	"saffronfall/peer/operator"
	"saffronfall/peer/replica"
	"saffronfall/rule/configuration"
	"saffronfall/rule/ordered"
	"saffronfall/saffronfall/coreprocess"
	"saffronfall/saffronfall/deskprocess"
	"saffronfall/saffronfall/nodeprocess"
	"saffronfall/saffronfall/params"
	"saffronfall/saffronfall/relayprocess"
	"saffronfall/saffronfall/role"
)

type settingsFile struct {
	Settings string `arg:"" type:"path" help:"Settings file (JSON)."`
}

type deskCommand struct{ settingsFile }

func (c *deskCommand) Run() error {
	return role.Start(c.Settings, func(ctx context.Context, p params.Params, adopt <-chan params.Params, log logr.Logger) error {
		return deskprocess.Run(ctx, p, adopt, log, desk.Handler(p.OperatorKey, p.ReplicaKey, p.MaxRequestBytes))
	})
}

type relayCommand struct{ settingsFile }

func (c *relayCommand) Run() error {
	return role.Start(c.Settings, func(ctx context.Context, p params.Params, adopt <-chan params.Params, log logr.Logger) error {
		return relayprocess.Run(ctx, p, adopt, log, replica.DefaultHeaders)
	})
}

type coreCommand struct {
	Run     coreRun     `cmd:"" default:"withargs" help:"Run a core: a part of the control plane, on a machine with a disk."`
	Add     coreAdd     `cmd:"" help:"Bring a running core with an empty folder into the fleet and give it its seats."`
	Retire  coreRetire  `cmd:"" help:"Empty a core, dead or alive, and retire it."`
	Replace coreReplace `cmd:"" help:"Give all seats of one core to another one."`
}

type coreAdd struct {
	changing
	New string `arg:"" help:"Operator address of the new core."`
}

func (c *coreAdd) Run() error {
	return c.change(operator.CoreChange{Kind: core.KindAdd}, c.New)
}

type coreRetire struct {
	changing
	ID string `arg:"" help:"Name of the core."`
}

func (c *coreRetire) Run() error {
	return c.change(operator.CoreChange{Kind: core.KindRetire, ID: c.ID}, "")
}

type coreReplace struct {
	changing
	ID string `arg:"" help:"Name of the core that goes."`
	By string `arg:"" help:"Name of the core that takes its seats."`
}

func (c *coreReplace) Run() error {
	return c.change(operator.CoreChange{Kind: core.KindReplace, ID: c.ID, By: c.By}, "")
}

type changing struct {
	calling
	Plan bool `help:"Show which seats would move; change nothing."`
}

func (c changing) change(life operator.CoreChange, fresh string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	o := operator.Client{Key: c.Key}
	var changed core.ChangeResult
	var err error
	switch {
	case c.Plan:
		changed, err = o.Plan(ctx, c.Core, life, fresh)
	case fresh != "":
		changed, err = o.AddCore(ctx, c.Core, fresh)
	default:
		changed, err = o.Change(ctx, c.Core, life)
	}
	if err != nil {
		return err
	}
	for _, m := range changed.Moves {
		fmt.Printf("part %d: %s comes, %s goes\n", m.Partition, m.Add, m.Remove)
	}
	if c.Plan {
		fmt.Printf("%d seats would move; nothing was changed\n", len(changed.Moves))
		return nil
	}
	fmt.Printf("done: %d moves\n", changed.MovesMade)
	return nil
}

type coreRun struct{ settingsFile }

func (c *coreRun) Run() error { return role.Start(c.Settings, coreprocess.Run) }

type nodeCommand struct{ settingsFile }

func (c *nodeCommand) Run() error { return role.Start(c.Settings, nodeprocess.Run) }

type calling struct {
	Core   string        `help:"Operator address of any core, by IP number." placeholder:"IP:PORT" env:"SAFFRONFALL_CORE"`
	Key    string        `help:"Operator key." env:"SAFFRONFALL_OPERATOR_KEY"`
	Within time.Duration `help:"How long the call may take." default:"20s"`
}

func (c calling) do(method, path string, body, target any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	return operator.Client{Key: c.Key}.Do(ctx, method, c.Core, path, body, target)
}

type foundCommand struct {
	calling
	Cores []string `arg:"" help:"Operator addresses of all the cores."`
	Fleet string   `help:"Name of the fleet." default:"saffronfall"`
	Parts int      `help:"Number of parts; it never changes." default:"16"`
	Size  int      `help:"Seats of each part's group." default:"3" enum:"1,3,5"`
}

func (c *foundCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	f, err := operator.Client{Key: c.Key}.Found(ctx, c.Fleet, c.Cores, c.Parts, c.Size)
	if err != nil {
		return err
	}
	fmt.Printf("fleet %s founded: %d cores, %d parts, groups of %d\n", f.Fleet, len(f.Cores), f.Partitions, len(f.Groups[0].Members))
	return nil
}

type checkCommand struct {
	File     string `arg:"" type:"path" help:"File to check."`
	Settings bool   `help:"The file is a process's settings, not a description."`
}

func (c *checkCommand) Run() error {
	if c.Settings {
		if _, err := params.ReadFile(c.File); err != nil {
			return err
		}
		fmt.Println("settings are right")
		return nil
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	d, faults := configuration.Parse(text)
	if len(faults) > 0 {
		return faults
	}
	fmt.Printf("description is right: %d tenants, %d roles, %d services\n", len(d.Tenants), len(d.Roles), len(d.Services))
	return nil
}

type applyCommand struct {
	calling
	amendOptions
	File    string `arg:"" type:"path" help:"Description, or amendment (JSON)."`
	BasedOn int64  `help:"Version that the description or amendment is based on; -1: the one now in force." default:"-1"`
}

func (c *applyCommand) hand(planOnly bool) (int, []byte, core.ApplyResult, error) {
	var taking core.ApplyResult
	text, err := os.ReadFile(c.File)
	if err != nil {
		return 0, nil, taking, err
	}
	if _, faults := configuration.Parse(text); len(faults) > 0 {
		return 0, nil, taking, faults
	}
	h := operator.ConfigurationRequest{Description: text, PlanOnly: planOnly, BudgetMS: c.Within.Milliseconds()}
	if c.BasedOn >= 0 {
		h.BasedOn = uint64(c.BasedOn)
	} else {
		var now struct {
			Version uint64 `json:"Version"`
		}
		if status, raw, err := c.do("GET", "/v1/configuration", nil, &now); err != nil || status != 200 {
			return status, raw, taking, err
		}
		h.BasedOn = now.Version
	}
	status, raw, err := c.do("POST", "/v1/configuration", h, &taking)
	return status, raw, taking, err
}

func (c *applyCommand) Run() error {
	if c.Amend {
		return c.runAmend(os.Stdout)
	}
	if c.Preview {
		return errors.New("--preview goes with --amend; plan previews a description")
	}
	status, raw, taking, err := c.hand(false)
	if err != nil {
		return err
	}
	if status != 200 {
		return errors.Wrap(operator.NewResponseError(status, raw), "not taken")
	}
	fmt.Printf("version %d taken: in force on every member\n", taking.Version)
	return nil
}

type planCommand struct {
	applyCommand
	JSON bool `help:"Print JSON."`
}

func (c *planCommand) Run() error {
	status, raw, taking, err := c.hand(true)
	if err != nil {
		return err
	}
	if status != 200 {
		return errors.Wrap(operator.NewResponseError(status, raw), "no plan")
	}
	if c.JSON {
		fmt.Println(strings.TrimSpace(string(raw)))
		return nil
	}
	fmt.Print(taking.Rehearsal.Text(taking.Version))
	return nil
}

type drainCommand struct {
	Process string        `arg:"" help:"Operator address of the node or core that is to leave."`
	Key     string        `help:"Operator key." env:"SAFFRONFALL_OPERATOR_KEY"`
	Within  time.Duration `help:"How long the call may take." default:"5s"`
}

func (c *drainCommand) Run() error {
	status, raw, err := calling{Core: c.Process, Key: c.Key, Within: c.Within}.do("POST", "/v1/drain", nil, nil)
	if err != nil {
		return err
	}
	if status != 202 {
		return operator.NewResponseError(status, raw)
	}
	fmt.Println("draining")
	return nil
}

type statusCommand struct {
	calling
	JSON bool `help:"Print JSON."`
}

func (c *statusCommand) Run() error {
	var s operator.Status
	status, raw, err := c.do("GET", "/v1/status", nil, &s)
	if err != nil {
		return err
	}
	if status != 200 {
		return operator.NewResponseError(status, raw)
	}
	if c.JSON {
		fmt.Println(strings.TrimSpace(string(raw)))
		return nil
	}
	fmt.Printf("fleet %s, configuration %d, breaker %s\n", s.Fleet, s.ConfigurationVersion, s.Breaker)
	seats := map[string]int{}
	for _, p := range s.Partitions {
		for _, seat := range p.Members {
			seats[seat]++
		}
	}
	for _, one := range s.Cores {
		note := fmt.Sprintf("votes in %d parts", seats[one.MemberID()])
		switch {
		case one.Retired:
			note = "retired"
		case seats[one.MemberID()] == 0:
			note = "has no vote"
		}
		fmt.Printf("core    %-12s %-10s %s %s\n", one.ID, one.Zone, one.Peer, note)
	}
	for _, p := range s.Partitions {
		fmt.Printf("part    %-3d owner %s term %d epoch %d seats %s\n", p.Partition, p.Leader, p.Term, p.Epoch, strings.Join(p.Members, " "))
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	nodes := operator.Client{Key: c.Key}.NodeCounters(ctx, s.Members)
	for _, m := range s.Members {
		told, ok := nodes[m.ID]
		switch {
		case m.Ended:
			fmt.Printf("member  %-12s %-10s %s ended\n", m.ID, m.Zone, m.HTTP)
		case !ok:
			fmt.Printf("member  %-12s %-10s %s gives no return here: cut off, frozen or dead\n", m.ID, m.Zone, m.HTTP)
		default:
			fmt.Printf("member  %-12s %-10s %s version=%v ready=%v term_left_ms=%v breaker=%v programs=%v running=%v\n", m.ID, m.Zone, m.HTTP,
				told["version"], told["ready"], told["term_left_ms"], told["breaker"], told["programs"], told["running"])
			printTree("share", told["shares"])
		}
	}
	for _, id := range ordered.Keys(nodes) {
		printTree("replica", nodes[id]["replicas"])
		break
	}
	for _, u := range s.LockedUsers {
		fmt.Printf("locked out %s for %v more\n", u.Name, u.Remaining.Round(time.Second))
	}
	if len(s.MissingPartitions) > 0 {
		fmt.Printf("no answer from parts %v\n", s.MissingPartitions)
	}
	return nil
}

func printTree(what string, tree any) {
	list, _ := tree.(map[string]any)
	for _, name := range ordered.Keys(list) {
		raw, _ := json.Marshal(list[name])
		fmt.Printf("  %-8s %-24s %s\n", what, name, raw)
	}
}

type settingsCommand struct{}

func (settingsCommand) Run() error {
	for _, table := range []struct {
		name string
		rows []configuration.Setting
	}{{"a process", params.Rows}, {"a description", configuration.Settings}} {
		fmt.Printf("Settings of %s:\n", table.name)
		for _, r := range table.rows {
			fmt.Printf("  %-44s %-7s default %-14v %s\n", r.Path, r.Type, r.Default, r.Help)
		}
	}
	return nil
}

var commands struct {
	Core     coreCommand     `cmd:"" help:"Run a core, the control plane."`
	Node     nodeCommand     `cmd:"" help:"Run a node, the data plane."`
	Desk     deskCommand     `cmd:"" help:"Run a desk, where replicas announce themselves and operators hand routing tables over."`
	Relay    relayCommand    `cmd:"" help:"Run a node that relays requests by the routing table."`
	Found    foundCommand    `cmd:"" help:"Found a fleet, once."`
	Check    checkCommand    `cmd:"" help:"Check a description or settings."`
	Apply    applyCommand    `cmd:"" help:"Hand over a whole description (checked, rehearsed, measured, agreed, taken), or an amendment of a routing table."`
	Plan     planCommand     `cmd:"" help:"Show what a description would move and whom it would refuse; change nothing."`
	Drain    drainCommand    `cmd:"" help:"Make a node or core leave in good order, as SIGTERM does."`
	Status   statusCommand   `cmd:"" help:"Show the fleet."`
	Settings settingsCommand `cmd:"" help:"List every setting with type, default and meaning."`
}

func main() {
	parser := kong.Parse(&commands, kong.Name("saffronfall"), kong.Description("A serving tier for agent programs."))
	err := parser.Run()
	if err == nil {
		return
	}
	var faults configuration.Faults
	if errors.As(err, &faults) {
		fmt.Fprintln(os.Stderr, faults.Error())
	} else {
		fmt.Fprintln(os.Stderr, "saffronfall:", err)
	}
	os.Exit(exitCode(err))
}

// exitCode tells scripts what became of a command.
func exitCode(err error) int {
	var faults configuration.Faults
	var refused *operator.ResponseError
	switch {
	case errors.As(err, &faults):
		return 2
	case errors.As(err, &refused):
		return max(1, map[string]int{"faulty": 2, "unsure": 3, "agreed_not_taken": 3, "not_finished": 3, "unknown_key": 4, "race_lost": 5, "not_approved": 6, "unknown_core": 7, "no_room": 8}[refused.Code])
	case errors.Is(err, operator.ErrUnreachable):
		return 9
	}
	return 1
}
