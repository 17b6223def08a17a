// Command saffronfall runs the roles of a fleet (core, node, relay and "desk", the registry)
// and the commands by which operators found, configure and inspect one. exitCode maps errors to
// exit codes for scripts.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"saffronfall/peer/core"
	"saffronfall/peer/operator"
	"saffronfall/peer/registry"
	"saffronfall/peer/replica"
	"saffronfall/rule/configuration"
	"saffronfall/rule/ordered"
	"saffronfall/saffronfall/coreprocess"
	"saffronfall/saffronfall/nodeprocess"
	"saffronfall/saffronfall/params"
	"saffronfall/saffronfall/registryprocess"
	"saffronfall/saffronfall/relayprocess"
	"saffronfall/saffronfall/role"
)

type settingsFile struct {
	Settings string `arg:"" type:"path" help:"Settings file (JSON)."`
}

type registryCommand struct{ settingsFile }

func (c *registryCommand) Run() error {
	return role.Start(c.Settings, func(ctx context.Context, p params.Params, updates <-chan params.Params, log logr.Logger) error {
		return registryprocess.Run(ctx, p, updates, log, registry.Handler(p.OperatorKey, p.ReplicaKey, p.MaxRequestBytes))
	})
}

type relayCommand struct{ settingsFile }

func (c *relayCommand) Run() error {
	return role.Start(c.Settings, func(ctx context.Context, p params.Params, updates <-chan params.Params, log logr.Logger) error {
		return relayprocess.Run(ctx, p, updates, log, replica.DefaultHeaders)
	})
}

type coreCommand struct {
	Run     coreRun     `cmd:"" default:"withargs" help:"Run a core, a replica of the control plane, on a machine with a disk."`
	Add     coreAdd     `cmd:"" help:"Add a running core with an empty data directory to the fleet and to its groups."`
	Retire  coreRetire  `cmd:"" help:"Move all group memberships off a core, running or not, and retire it."`
	Replace coreReplace `cmd:"" help:"Move all group memberships of one core to another."`
}

type coreAdd struct {
	coreChangeOptions
	New string `arg:"" help:"Operator address of the new core."`
}

func (c *coreAdd) Run() error {
	return c.change(operator.CoreChange{Kind: core.KindAdd}, c.New)
}

type coreRetire struct {
	coreChangeOptions
	ID string `arg:"" help:"ID of the core."`
}

func (c *coreRetire) Run() error {
	return c.change(operator.CoreChange{Kind: core.KindRetire, ID: c.ID}, "")
}

type coreReplace struct {
	coreChangeOptions
	ID string `arg:"" help:"ID of the core to replace."`
	By string `arg:"" help:"ID of the core that takes its place."`
}

func (c *coreReplace) Run() error {
	return c.change(operator.CoreChange{Kind: core.KindReplace, ID: c.ID, By: c.By}, "")
}

type coreChangeOptions struct {
	clientOptions
	Plan bool `help:"Show which group memberships would move; change nothing."`
}

// change makes or plans a change and prints the moves. newCore is empty except to add a core.
func (c coreChangeOptions) change(change operator.CoreChange, newCore string) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	client := operator.Client{Key: c.Key}
	var result core.ChangeResult
	var err error
	switch {
	case c.Plan:
		result, err = client.Plan(ctx, c.Core, change, newCore)
	case newCore != "":
		result, err = client.AddCore(ctx, c.Core, newCore)
	default:
		result, err = client.Change(ctx, c.Core, change)
	}
	if err != nil {
		return err
	}
	for _, m := range result.Moves {
		fmt.Printf("partition %d: add %s, remove %s\n", m.Partition, m.Add, m.Remove)
	}
	if c.Plan {
		fmt.Printf("%d group memberships would move; nothing was changed\n", len(result.Moves))
		return nil
	}
	fmt.Printf("done: %d moves\n", result.MovesMade)
	return nil
}

type coreRun struct{ settingsFile }

func (c *coreRun) Run() error { return role.Start(c.Settings, coreprocess.Run) }

type nodeCommand struct{ settingsFile }

func (c *nodeCommand) Run() error { return role.Start(c.Settings, nodeprocess.Run) }

// clientOptions are the flags of the commands that call a process.
type clientOptions struct {
	Core    string        `help:"Operator address of any core, by IP number." placeholder:"IP:PORT" env:"SAFFRONFALL_CORE"`
	Key     string        `help:"Operator key." env:"SAFFRONFALL_OPERATOR_KEY"`
	Timeout time.Duration `name:"within" help:"Timeout of the call." default:"20s"`
}

// do sends a request, decodes the response into target, and returns its status and raw body.
func (c clientOptions) do(method, path string, body, target any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	return operator.Client{Key: c.Key}.Do(ctx, method, c.Core, path, body, target)
}

type foundCommand struct {
	clientOptions
	Cores      []string `arg:"" help:"Operator addresses of all the cores."`
	Fleet      string   `help:"Name of the fleet." default:"saffronfall"`
	Partitions int      `name:"parts" help:"Number of partitions; it cannot be changed later." default:"16"`
	GroupSize  int      `name:"size" help:"Number of members of each partition's group." default:"3" enum:"1,3,5"`
}

func (c *foundCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	founded, err := operator.Client{Key: c.Key}.Found(ctx, c.Fleet, c.Cores, c.Partitions, c.GroupSize)
	if err != nil {
		return err
	}
	fmt.Printf("fleet %s founded: %d cores, %d partitions, groups of %d\n",
		founded.Fleet, len(founded.Cores), founded.Partitions, len(founded.Groups[0].Members))
	return nil
}

type checkCommand struct {
	File     string `arg:"" type:"path" help:"File to check."`
	Settings bool   `help:"The file is the settings of a process, not a configuration."`
}

func (c *checkCommand) Run() error {
	if c.Settings {
		if _, err := params.ReadFile(c.File); err != nil {
			return err
		}
		fmt.Println("settings are valid")
		return nil
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	description, faults := configuration.Parse(text)
	if len(faults) > 0 {
		return faults
	}
	fmt.Printf("configuration is valid: %d tenants, %d roles, %d services\n",
		len(description.Tenants), len(description.Roles), len(description.Services))
	return nil
}

type applyCommand struct {
	clientOptions
	amendOptions
	File    string `arg:"" type:"path" help:"Configuration, or amendment of a routing table (JSON)."`
	BasedOn int64  `help:"Version that the configuration or amendment is based on; -1: the current one." default:"-1"`
}

// submit checks the file before it sends it to a core.
func (c *applyCommand) submit(planOnly bool) (int, []byte, core.ApplyResult, error) {
	var result core.ApplyResult
	text, err := os.ReadFile(c.File)
	if err != nil {
		return 0, nil, result, err
	}
	if _, faults := configuration.Parse(text); len(faults) > 0 {
		return 0, nil, result, faults
	}
	request := operator.ConfigurationRequest{Description: text, PlanOnly: planOnly, TimeoutMS: c.Timeout.Milliseconds()}
	if c.BasedOn >= 0 {
		request.BasedOn = uint64(c.BasedOn)
	} else {
		var current struct {
			Version uint64 `json:"Version"`
		}
		if status, raw, err := c.do("GET", "/v1/configuration", nil, &current); err != nil || status != http.StatusOK {
			return status, raw, result, err
		}
		request.BasedOn = current.Version
	}
	status, raw, err := c.do("POST", "/v1/configuration", request, &result)
	return status, raw, result, err
}

func (c *applyCommand) Run() error {
	if c.Amend {
		return c.runAmend(os.Stdout)
	}
	if c.Preview {
		return errors.New("--preview needs --amend; to preview a configuration, use the command plan")
	}
	status, raw, result, err := c.submit(false)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Wrap(operator.NewResponseError(status, raw), "the configuration was not applied")
	}
	fmt.Printf("version %d applied: in force on every member\n", result.Version)
	return nil
}

type planCommand struct {
	applyCommand
	JSON bool `help:"Print JSON."`
}

func (c *planCommand) Run() error {
	status, raw, result, err := c.submit(true)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Wrap(operator.NewResponseError(status, raw), "the configuration was not planned")
	}
	if c.JSON {
		fmt.Println(strings.TrimSpace(string(raw)))
		return nil
	}
	fmt.Print(result.Replay.Text(result.Version))
	return nil
}

type drainCommand struct {
	Process string        `arg:"" help:"Operator address of the node or core to drain."`
	Key     string        `help:"Operator key." env:"SAFFRONFALL_OPERATOR_KEY"`
	Timeout time.Duration `name:"within" help:"Timeout of the call." default:"5s"`
}

func (c *drainCommand) Run() error {
	status, raw, err := clientOptions{Core: c.Process, Key: c.Key, Timeout: c.Timeout}.do("POST", "/v1/drain", nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusAccepted {
		return operator.NewResponseError(status, raw)
	}
	fmt.Println("draining")
	return nil
}

type statusCommand struct {
	clientOptions
	JSON bool `help:"Print JSON."`
}

func printCore(c core.Core, votes int) {
	note := fmt.Sprintf("votes in %d partitions", votes)
	switch {
	case c.Retired:
		note = "retired"
	case votes == 0:
		note = "has no vote"
	}
	fmt.Printf("core    %-12s %-10s %s %s\n", c.ID, c.Zone, c.Peer, note)
}

func printSilences(silences []core.Silence) {
	for _, silence := range silences {
		expected := "may come back"
		if silence.Lost {
			expected = "not expected back"
		}
		fmt.Printf("silent  %-12s %s, votes in %d partitions\n", silence.Core, expected, silence.Seats)
	}
}

func (c *statusCommand) Run() error {
	var fleet operator.Status
	status, raw, err := c.do("GET", "/v1/status", nil, &fleet)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return operator.NewResponseError(status, raw)
	}
	if c.JSON {
		fmt.Println(strings.TrimSpace(string(raw)))
		return nil
	}
	fmt.Printf("fleet %s, configuration %d, breaker %s\n", fleet.Fleet, fleet.ConfigurationVersion, fleet.Breaker)
	memberships := map[string]int{}
	for _, p := range fleet.Partitions {
		for _, member := range p.Members {
			memberships[member]++
		}
	}
	for _, c := range fleet.Cores {
		printCore(c, memberships[c.MemberID()])
	}
	printSilences(fleet.SilentCores)
	if len(fleet.ExposedPartitions) > 0 {
		fmt.Printf("exposed parts %v: the tolerated losses could take a majority of their seats\n", fleet.ExposedPartitions)
	}
	for _, p := range fleet.Partitions {
		fmt.Printf("part    %-3d owner %s term %d epoch %d seats %s\n", p.Partition, p.Leader, p.Term, p.Epoch, strings.Join(p.Members, " "))
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	nodes := operator.Client{Key: c.Key}.NodeCounters(ctx, fleet.Members)
	for _, m := range fleet.Members {
		counters, ok := nodes[m.ID]
		switch {
		case m.Ended:
			fmt.Printf("member  %-12s %-10s %s ended\n", m.ID, m.Zone, m.HTTP)
		case !ok:
			fmt.Printf("member  %-12s %-10s %s does not respond: unreachable, suspended or dead\n", m.ID, m.Zone, m.HTTP)
		default:
			fmt.Printf("member  %-12s %-10s %s version=%v ready=%v term_left_ms=%v breaker=%v programs=%v running=%v\n", m.ID, m.Zone, m.HTTP,
				counters["version"], counters["ready"], counters["term_left_ms"], counters["breaker"], counters["programs"], counters["running"])
			printEntries("share", counters["shares"])
		}
	}
	for _, id := range ordered.Keys(nodes) {
		printEntries("replica", nodes[id]["replicas"])
		break
	}
	for _, u := range fleet.LockedUsers {
		fmt.Printf("locked out %s for %v more\n", u.Name, u.Remaining.Round(time.Second))
	}
	if len(fleet.MissingPartitions) > 0 {
		fmt.Printf("no answer from partitions %v\n", fleet.MissingPartitions)
	}
	return nil
}

func printEntries(label string, object any) {
	entries, _ := object.(map[string]any)
	for _, name := range ordered.Keys(entries) {
		raw, _ := json.Marshal(entries[name])
		fmt.Printf("  %-8s %-24s %s\n", label, name, raw)
	}
}

type settingsCommand struct{}

func (settingsCommand) Run() error {
	for _, table := range []struct {
		name     string
		settings []configuration.Setting
	}{{"a process", params.Settings}, {"a configuration", configuration.Settings}} {
		fmt.Printf("Settings of %s:\n", table.name)
		for _, s := range table.settings {
			fmt.Printf("  %-44s %-7s default %-14v %s\n", s.Path, s.Type, s.Default, s.Help)
		}
	}
	return nil
}

var commands struct {
	Core     coreCommand     `cmd:"" help:"Run a core, the control plane."`
	Node     nodeCommand     `cmd:"" help:"Run a node, the data plane."`
	Registry registryCommand `cmd:"" name:"desk" help:"Run a desk, where replicas register and operators apply routing tables."`
	Relay    relayCommand    `cmd:"" help:"Run a node that relays requests by the routing table."`
	Found    foundCommand    `cmd:"" help:"Found a fleet of new cores."`
	Check    checkCommand    `cmd:"" help:"Check a configuration or settings."`
	Apply    applyCommand    `cmd:"" help:"Apply a complete configuration, which is checked and rehearsed first, or an amendment of a routing table."`
	Plan     planCommand     `cmd:"" help:"Show what a configuration would change and which requests it would refuse; change nothing."`
	Drain    drainCommand    `cmd:"" help:"Drain and stop a node or core, as SIGTERM does."`
	Status   statusCommand   `cmd:"" help:"Show the state of the fleet."`
	Shares   sharesCommand   `cmd:"" help:"Show who holds what of tenants' rates, and until when."`
	Keys     keysCommand     `cmd:"" help:"Show the stored operation keys by tenant and state, or the record of one."`
	Settings settingsCommand `cmd:"" help:"List all settings with type, default and meaning."`
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

func exitCode(err error) int {
	var faults configuration.Faults
	var refusal *operator.ResponseError
	switch {
	case errors.As(err, &faults):
		return 2
	case errors.As(err, &refusal):
		return max(1, map[string]int{
			"faulty":           2,
			"unsure":           3,
			"agreed_not_taken": 3,
			"not_finished":     3,
			"unknown_key":      4,
			"race_lost":        5,
			"not_approved":     6,
			"unknown_core":     7,
			"no_room":          8,
		}[refusal.Code])
	case errors.Is(err, operator.ErrUnreachable):
		return 9
	}
	return 1
}
