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

// Command runs seeds of the soak.
type Command struct {
	Binary  string        `help:"The saffronfall program; best built with the race detector." default:"bin/saffronfall" type:"path"`
	Disks   string        `help:"The rehearsalkit program that runs cores on disks that can fail; 'none': no disk fails. Default: this program." default:""`
	Folder  string        `help:"Where settings, data and logs of seeds with breaches are kept." default:"run/soak" type:"path"`
	First   uint64        `help:"First seed." default:"1"`
	Seeds   int           `help:"How many seeds." default:"1"`
	Jobs    int           `help:"How many run side by side." default:"1"`
	Calm    time.Duration `help:"How long requesters live before troubles begin." default:"2s"`
	For     time.Duration `help:"How long troubles come." default:"12s"`
	Settle  time.Duration `help:"How long requesters live on after the last trouble." default:"3s"`
	Faults  float64       `name:"troubles" help:"Troubles a second, at the mean." default:"1.2"`
	Verbose bool          `help:"Tell troubles as they end."`
	Stop    bool          `help:"Stop at the first seed with a breach."`
}

// outcome is a seed's report, or why there is none.
type outcome struct {
	report Report
	folder string
	err    error
}

// Run runs the seeds and prints what broke.
func (c *Command) Run() error {
	if err := errors.CombineErrors(setup.CheckProgram(c.Binary), setup.EnsureFolder(c.Folder)); err != nil {
		return err
	}
	// Whoever starts processes and may tell them to reload at any moment starts them
	// with the signal ignored, as nothing can take it before a program has begun.
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

// noDisks names no program for cores on disks that can fail.
const noDisks = "none"

// diskBinary is the program that runs cores on disks that can fail, if any.
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

// one runs a seed. Its folder stays if anything broke.
func (c *Command) runSeed(ctx context.Context, seed uint64) outcome {
	folder := filepath.Join(c.Folder, fmt.Sprint("seed", seed))
	if err := os.RemoveAll(folder); err != nil {
		return outcome{err: errors.Wrap(err, "folder")}
	}
	o := Options{Binary: c.Binary, DiskBinary: c.diskBinary(), Folder: folder, Seed: seed, Calm: c.Calm, Length: c.For, Settle: c.Settle, Faults: c.Faults}
	if c.Verbose {
		o.Logf = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	}
	report, err := Run(ctx, o)
	if err == nil && len(report.Breaches) == 0 {
		err = errors.Wrap(os.RemoveAll(folder), "folder")
	}
	return outcome{report: report, folder: folder, err: err}
}

// mostTold bounds how many breaches of a seed are printed.
const maxPrinted = 12

// tell prints a seed's outcome, and reports whether anything broke.
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
