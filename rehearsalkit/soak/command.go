package soak

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/rehearsalkit/setup"
)

// Command is the soak command: it runs a range of seeds.
type Command struct {
	Binary    string        `help:"The saffronfall program; best built with the race detector." default:"bin/saffronfall" type:"path"`
	Disks     string        `help:"The rehearsalkit program that runs cores on fault-injecting disks; 'none': no disk faults. Default: this program." default:""`
	Folder    string        `help:"Folder for settings, data and logs of seeds with breaches." default:"run/soak" type:"path"`
	First     uint64        `help:"First seed." default:"1"`
	Seeds     int           `help:"How many seeds." default:"1"`
	Jobs      int           `help:"How many seeds run in parallel." default:"1"`
	Calm      time.Duration `help:"How long requesters run before the first fault." default:"2s"`
	For       time.Duration `help:"How long faults are injected." default:"12s"`
	Settle    time.Duration `help:"How long requesters run after the last fault." default:"3s"`
	FaultRate float64       `name:"troubles" help:"Mean number of faults a second." default:"1.2"`
	Nodes     int           `help:"How many relaying nodes a seed's fleet has." default:"3"`
	Verbose   bool          `help:"Print each fault when it ends."`
	Stop      bool          `help:"Stop at the first seed with a breach."`
}

type outcome struct {
	report Report
	folder string
	err    error
}

// Run runs the seeds and prints their breaches. It fails if there was any.
func (c *Command) Run() error {
	if err := errors.CombineErrors(setup.CheckProgram(c.Binary), setup.EnsureFolder(c.Folder)); err != nil {
		return err
	}
	// Child processes inherit this: a SIGHUP before a process has installed its handler must
	// not end it.
	signal.Ignore(syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	seeds, outcomes := make(chan uint64), make(chan outcome)
	for range min(c.Jobs, c.Seeds) {
		go func() {
			for seed := range seeds {
				outcomes <- c.runSeed(ctx, seed)
			}
		}()
	}
	go func() {
		defer close(seeds)
		for i := range c.Seeds {
			select {
			case seeds <- c.First + uint64(i):
			case <-ctx.Done():
				return
			}
		}
	}()
	broken, faults, runs := 0, 0, 0
	for range c.Seeds {
		o := <-outcomes
		if o.err != nil {
			return o.err
		}
		faults, runs = faults+len(o.report.Faults), runs+o.report.Runs
		if c.printOutcome(o) {
			broken++
			if c.Stop {
				break
			}
		}
	}
	fmt.Printf("%d seeds, %d troubles, %d requests run by replicas, breaches in %d seeds\n", c.Seeds, faults, runs, broken)
	if broken > 0 {
		return errors.Newf("breaches in %d of %d seeds; logs in %s", broken, c.Seeds, c.Folder)
	}
	return nil
}

const noDisks = "none"

// diskBinary returns "" if there are no disk faults.
func (c *Command) diskBinary() string {
	switch c.Disks {
	case noDisks:
		return ""
	case "":
		if own, err := os.Executable(); err == nil {
			return own
		}
		return ""
	}
	return c.Disks
}

// runSeed keeps the folder of a seed only if there were breaches.
func (c *Command) runSeed(ctx context.Context, seed uint64) outcome {
	folder := filepath.Join(c.Folder, fmt.Sprint("seed", seed))
	if err := os.RemoveAll(folder); err != nil {
		return outcome{err: errors.Wrap(err, "folder")}
	}
	options := Options{
		Binary:     c.Binary,
		DiskBinary: c.diskBinary(),
		Folder:     folder,
		Seed:       seed,
		Calm:       c.Calm,
		Length:     c.For,
		Settle:     c.Settle,
		FaultRate:  c.FaultRate,
		Nodes:      c.Nodes,
	}
	if c.Verbose {
		options.Logf = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	}
	report, err := Run(ctx, options)
	if err == nil && len(report.Breaches) == 0 {
		err = errors.Wrap(os.RemoveAll(folder), "folder")
	}
	return outcome{report: report, folder: folder, err: err}
}

const maxPrinted = 12

// printOutcome reports whether there were breaches, and then also writes a report file.
func (c *Command) printOutcome(o outcome) bool {
	r := o.report
	fmt.Printf("seed %d: %d troubles, served %v of %v, %d breaches\n", r.Seed, len(r.Faults), r.Served, r.Asked, len(r.Breaches))
	for i, b := range r.Breaches {
		if i == maxPrinted {
			fmt.Printf("  and %d more\n", len(r.Breaches)-i)
			break
		}
		fmt.Println("  BROKEN", b)
	}
	if len(r.Breaches) == 0 {
		return false
	}
	report, err := os.Create(filepath.Join(o.folder, "report.txt"))
	if err == nil {
		defer report.Close()
		for _, t := range r.Faults {
			fmt.Fprintln(report, t)
		}
		for _, b := range r.Breaches {
			fmt.Fprintln(report, "BROKEN", b)
		}
	}
	return true
}
