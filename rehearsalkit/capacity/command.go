package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Command is the capacity subcommand.
type Command struct {
	Point   `embed:""`
	Axis    []string      `help:"Sizes to sweep, one at a time: nodes, desks, cores, replicas, tenants, programs, rate, turns, turn_bytes, changes, or all; empty: measure the single point that the other flags describe."`
	Repeats int           `help:"Runs of each size." default:"3"`
	Seed    uint64        `help:"First seed." default:"1"`
	Warm    time.Duration `help:"Simulated time before the measurement." default:"4s"`
	For     time.Duration `help:"Simulated time of the measurement." default:"10s"`
	Failure string        `help:"What fails in a single point: none, core, wipe, node, desk, zone, split." default:"none"`
	Folder  string        `help:"Where samples.csv, slopes.csv and plots go." default:"capacity-run" type:"path"`
	Plots   bool          `help:"Draw plots too."`
}

// Run measures a single point, or sweeps axes from it and writes the results.
func (c *Command) Run() error {
	runtime.GOMAXPROCS(min(2, runtime.GOMAXPROCS(0)))
	available, err := AvailableMemory()
	if err != nil {
		return err
	}
	span := Span{Warm: c.Warm, Measured: c.For}
	if len(c.Axis) == 0 {
		if err := c.Point.Check(available); err != nil {
			return err
		}
		figures, err := Measure(c.Point, c.Seed, span, c.Failure)
		if err != nil {
			return err
		}
		fmt.Print(Format(figures))
		return nil
	}
	var samples []Sample
	found := 0
	for _, a := range Axes {
		if !slices.Contains(c.Axis, a.Name) && !slices.Contains(c.Axis, "all") {
			continue
		}
		found++
		began := time.Now()
		list, err := Sweep(a, c.Point, c.Repeats, c.Seed, span, available, func(int, int) {})
		if err != nil {
			return err
		}
		samples = append(samples, list...)
		fmt.Printf("%s: %d runs in %v\n", a.Name, len(a.Sizes)*c.Repeats, time.Since(began).Round(time.Second))
	}
	if found == 0 {
		return errors.Newf("no axis %v", c.Axis)
	}
	slopes := FitAll(samples)
	if err := os.MkdirAll(c.Folder, 0o755); err != nil {
		return errors.Wrap(err, "folder")
	}
	for name, write := range map[string]func(f *os.File) error{
		"samples.csv": func(f *os.File) error { return WriteSamples(f, samples) },
		"slopes.csv":  func(f *os.File) error { return WriteFits(f, slopes) },
	} {
		f, err := os.Create(filepath.Join(c.Folder, name))
		if err != nil {
			return errors.Wrap(err, "folder")
		}
		err = write(f)
		if closed := f.Close(); err == nil {
			err = closed
		}
		if err != nil {
			return errors.Wrap(err, name)
		}
	}
	for _, s := range slopes {
		if s.Verdict != Good {
			continue
		}
		fmt.Printf("%-10s %-10s %-50s %12.1f + %10.4f (±%.4f) each\n", s.Axis, s.Role, s.Measure, s.Intercept, s.Slope, s.SlopeError)
	}
	counts := map[string]int{}
	for _, s := range slopes {
		counts[s.Verdict]++
	}
	fmt.Printf("fits: %d good, %d hidden by the spread, %d not a straight line, %d of too few points; all in %s\n", counts[Good], counts[WithinNoise], counts[NotLinear], counts[TooFew], c.Folder)
	if c.Plots {
		return Plot(filepath.Join(c.Folder, "plots"), slopes)
	}
	return nil
}
