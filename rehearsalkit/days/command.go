package days

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Command writes days. Its exported fields are its flags.
type Command struct {
	Seed    uint64   `help:"First seed; each day has the next one." default:"1"`
	Count   int      `help:"How many days." default:"1"`
	Theme   string   `help:"Weak point to target: cut, orders, repair, changes, answers, stores, any; or turn, which rotates through them." default:"turn"`
	Length  float64  `help:"Seconds of traffic in a day." default:"40"`
	Pause   float64  `help:"Mean seconds between two fault sequences." default:"3"`
	Losses  int      `help:"Machines of a group that may be lost at once; 0: the value of the site file, or 1."`
	CatchUp float64  `help:"Seconds that a machine counts as lost after its return; 0: the value of the site file, or 4.5."`
	Floor   float64  `help:"Lowest worth that passes." default:"0.3"`
	Closing string   `help:"Closing fault: none, random, power_off_all, wipe_after_ack, kill_all." default:"none"`
	Site    string   `help:"Site file from which traffic and tolerances are read." type:"existingfile"`
	Load    float64  `help:"Share of the site's traffic." default:"1"`
	Service []string `help:"Services that faults of replicas may name; none: the bench chooses."`
	Class   []string `help:"Kinds of request that bursts may name; none: the bench chooses."`
	Out     string   `help:"Folder for the days." default:"days-out" type:"path"`
}

// Defaults without flags and site file, and the theme that rotates through all.
const (
	defaultLosses   = 1
	defaultCatchUpS = 4.5
	themeRotation   = "turn"
)

// Run writes the days and prints their paths. It fails on invalid flags and file errors.
func (c *Command) Run() error {
	options, err := c.options()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errors.Wrap(err, "create the output folder")
	}
	for i := range c.Count {
		if c.Theme == themeRotation {
			options.Theme = Themes[(int(c.Seed)+i)%len(Themes)].Name
		}
		day := Generate(options, c.Seed+uint64(i))
		path := filepath.Join(c.Out, day.Name+".toml")
		if err := os.WriteFile(path, []byte(day.Text()), 0o644); err != nil {
			return errors.Wrap(err, "write a day")
		}
		fmt.Println(path)
	}
	return nil
}

// options combines flags and site file. Flags take precedence.
func (c *Command) options() (Options, error) {
	options := Options{
		Theme:      c.Theme,
		LengthS:    c.Length,
		Floor:      c.Floor,
		MaxLosses:  defaultLosses,
		CatchUpS:   defaultCatchUpS,
		MeanPauseS: c.Pause,
		Closing:    c.Closing,
		Targets:    targets{services: c.Service, classes: c.Class},
	}
	if c.Site != "" {
		site, err := readSite(c.Site)
		if err != nil {
			return Options{}, err
		}
		if options.Traffic, err = site.traffic(c.Load); err != nil {
			return Options{}, err
		}
		options.MaxLosses, options.CatchUpS = max(options.MaxLosses, site.Tolerate.Machines), site.Timing.CatchUpS
	}
	if c.Losses > 0 {
		options.MaxLosses = c.Losses
	}
	if c.CatchUp > 0 {
		options.CatchUpS = c.CatchUp
	}
	return options, c.check(options)
}

func (c *Command) check(options Options) error {
	if _, known := themeNamed(c.Theme); !known && c.Theme != themeRotation {
		return errors.Newf("unknown theme %q", c.Theme)
	}
	if _, known := closingVariants[c.Closing]; !known && c.Closing != closingNone && c.Closing != closingRandom {
		return errors.Newf("unknown closing fault %q", c.Closing)
	}
	if options.MeanPauseS < minPauseS || options.LengthS <= firstEntryS+quietEndS {
		return errors.New("--pause must be at least 0.1 seconds and --length more than 7.5 seconds")
	}
	return nil
}

// minPauseS limits the number of entries of a day.
const minPauseS = 0.1
