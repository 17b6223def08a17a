package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/rehearsalkit/fleet"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rehearsalkit/setup"
)

type fleetCommand struct {
	Layout   string        `help:"Which fleet: small, aire or mahoe." default:"small"`
	Binary   string        `help:"The saffronfall program." default:"bin/saffronfall" type:"path"`
	Next     string        `help:"The program that scenario rollout upgrades to; empty: the same." type:"path"`
	Folder   string        `help:"Where settings, data and logs go; empty: a temporary folder."`
	For      time.Duration `help:"How long requesters run." default:"15s"`
	Scenario string        `help:"What fails: calm, kills, freeze, cut, replace, operators, disk, split, corecut, zone, crowd, drain, life, closing, stalls, readdress, rollout, all." default:"calm"`
	Stay     bool          `help:"Keep the fleet up after the run, until interrupted."`
	Work     bool          `help:"Measure the work of the cores, idle and for each attempt."`
	Logs     bool          `help:"Print the processes' logs."`
}

// Run starts a fleet, runs a scenario on it, and checks what requesters and back ends saw.
func (c *fleetCommand) Run() error {
	layout, cleanUp, err := c.prepare()
	if err != nil {
		return err
	}
	defer cleanUp()
	script, ok := fleet.Scenarios[c.Scenario]
	if !ok {
		return errors.Newf("no scenario %q", c.Scenario)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := fleet.New(ctx, layout)
	if err != nil {
		return err
	}
	defer f.Stop()
	began := time.Now()
	if err := f.StartAll(ctx); err != nil {
		fmt.Println(f.Logs())
		return err
	}
	fmt.Printf("fleet up after %v: %d cores, %d nodes\n", time.Since(began).Round(time.Millisecond), layout.Cores, layout.Nodes)
	if c.Work {
		idle := f.IdleRate(ctx, 5*time.Second)
		fmt.Printf("  idle, all cores, a second: %d commands, %d writes, %d syncs, %d messages\n",
			idle.Commands, idle.Writes, idle.Syncs, idle.Messages)
	}
	before := f.ReadCounters(ctx)
	done := make(chan struct{})
	go func() {
		script(ctx, f, c.For)
		close(done)
	}()
	f.RunRequesters(ctx, c.For)
	<-done
	after := f.ReadCounters(ctx)
	record, breaches := f.Finish(ctx)
	printRecord(record)
	if attempts := float64(len(record.Attempts)); c.Work && attempts > 0 {
		fmt.Printf("  for each shot, all cores: %.1f commands, %.1f writes, %.1f syncs, %.1f messages\n",
			float64(after.Commands-before.Commands)/attempts, float64(after.Writes-before.Writes)/attempts,
			float64(after.Syncs-before.Syncs)/attempts, float64(after.Messages-before.Messages)/attempts)
	}
	logs := f.Logs()
	if c.Logs {
		fmt.Println(logs)
	}
	if c.Stay {
		fmt.Println("fleet stays up; interrupt to end")
		select {}
	}
	return verdict(record, breaches, logs)
}

// prepare checks that the program and the folder exist. The caller must call cleanUp, which
// removes a temporary folder.
func (c *fleetCommand) prepare() (layout fleet.Layout, cleanUp func(), err error) {
	layout, ok := fleet.Layouts[c.Layout]
	if !ok {
		return layout, nil, errors.Newf("no layout %q", c.Layout)
	}
	layout.Binary, err = filepath.Abs(c.Binary)
	if err != nil {
		return layout, nil, err
	}
	if err := setup.CheckProgram(layout.Binary); err != nil {
		return layout, nil, err
	}
	layout.Next = c.Next
	if c.Next == "" {
		layout.Next = layout.Binary
	}
	layout.Folder, cleanUp = c.Folder, func() {}
	if layout.Folder == "" {
		layout.Folder, err = os.MkdirTemp("", "rehearsal-")
		cleanUp = func() { os.RemoveAll(layout.Folder) }
	}
	if err != nil {
		return layout, nil, &setup.Fault{Resource: "folder", Path: os.TempDir(), Reason: err.Error()}
	}
	return layout, cleanUp, setup.EnsureFolder(layout.Folder)
}

// verdict fails on a breach, a logged crash or data race, or if no turn was served.
func verdict(record *judge.Record, breaches []judge.Breach, logs string) error {
	for _, b := range breaches {
		fmt.Println("BROKEN", b)
	}
	if len(breaches) > 0 {
		return errors.Newf("%d breaches", len(breaches))
	}
	for _, sign := range []string{"DATA RACE", "panic:", "fatal error:"} {
		if strings.Contains(logs, sign) {
			fmt.Println(logs)
			return errors.Newf("a process logged %q", sign)
		}
	}
	served := 0
	for _, a := range record.Requests {
		if a.Kind == "turn" && a.Outcome == judge.Whole {
			served++
		}
	}
	if served == 0 {
		return errors.New("no turn came whole; a run that serves nothing proves nothing")
	}
	fmt.Println("no rule was broken")
	return nil
}
