package days

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Command is rehearsalkit's command that writes days.
type Command struct {
	Seed    uint64   `help:"First seed; each day has the next one." default:"1"`
	Count   int      `help:"How many days." default:"1"`
	Theme   string   `help:"Weak point to aim at: cut, orders, repair, changes, answers, any; or turn, which takes them in turn." default:"turn"`
	Length  float64  `help:"Seconds of traffic in a day." default:"40"`
	Pause   float64  `help:"Mean seconds between two troubles." default:"3"`
	Losses  int      `help:"Machines of a group that may be lost at once; 0: what the site file tells, or 1."`
	CatchUp float64  `help:"Seconds that a machine counts as lost after its return; 0: what the site file tells, or 4.5."`
	Floor   float64  `help:"Least worth that passes." default:"0.3"`
	Closing string   `help:"Closing fault: none, random, power_off_all, wipe_after_ack, kill_all." default:"none"`
	Site    string   `help:"Site file to read traffic and tolerances from, when it runs." type:"existingfile"`
	Load    float64  `help:"Share of the site's traffic." default:"1"`
	Service []string `help:"Services that troubles of replicas may name; none: the bench chooses."`
	Class   []string `help:"Kinds of request that bursts may name; none: the bench chooses."`
	Out     string   `help:"Folder for the days." default:"days-out" type:"path"`
}

// Defaults where neither flags nor a site file tell.
const (
	defaultLosses   = 1
	defaultCatchUpS = 4.5
	themeRotation   = "turn"
)

// Run writes the days, and prints their paths.
func (c *Command) Run() error {
	wish, err := c.options()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errors.Wrap(err, "folder")
	}
	for i := range c.Count {
		if c.Theme == themeRotation {
			wish.Theme = Themes[(int(c.Seed)+i)%len(Themes)].Name
		}
		day := Generate(wish, c.Seed+uint64(i))
		path := filepath.Join(c.Out, day.Name+".toml")
		if err := os.WriteFile(path, []byte(day.Text()), 0o644); err != nil {
			return errors.Wrap(err, "day")
		}
		fmt.Println(path)
	}
	return nil
}

// wish puts the flags and the site's figures together.
func (c *Command) options() (Options, error) {
	wish := Options{
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
		read, err := readSite(c.Site)
		if err != nil {
			return Options{}, err
		}
		if wish.Traffic, err = read.traffic(c.Load); err != nil {
			return Options{}, err
		}
		wish.MaxLosses, wish.CatchUpS = max(wish.MaxLosses, read.Tolerate.Machines), read.Timing.CatchUpS
	}
	if c.Losses > 0 {
		wish.MaxLosses = c.Losses
	}
	if c.CatchUp > 0 {
		wish.CatchUpS = c.CatchUp
	}
	return wish, c.check(wish)
}

// check refuses what no day can be made of.
func (c *Command) check(wish Options) error {
	if _, known := themeNamed(c.Theme); !known && c.Theme != themeRotation {
		return errors.Newf("no theme %q", c.Theme)
	}
	if _, known := closingVariants[c.Closing]; !known && c.Closing != closingNone && c.Closing != closingRandom {
		return errors.Newf("no closing fault %q", c.Closing)
	}
	if wish.MeanPauseS < minPauseS || wish.LengthS <= firstEntryS+quietEndS {
		return errors.New("a day needs pauses of a tenth of a second at least, and over 7.5 seconds")
	}
	return nil
}

// shortestPauseS keeps the number of entries of a day in bounds.
const minPauseS = 0.1
