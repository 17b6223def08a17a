package days

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// Closing is the fault at the end of a day. DownS is in seconds, How is the variant.
type Closing struct {
	Kind  string
	DownS float64
	How   string
}

// Day is a schedule of faults and planned work that the bench applies to a deployment.
type Day struct {
	Name    string
	Seed    uint64
	LengthS float64
	// Floor is the lowest worth (score) that passes.
	Floor   float64
	Entries []Entry
	Closing *Closing
	// Traffic is inline TOML; empty keeps the deployment's own.
	Traffic []string
}

// Text returns the day in the bench's TOML format.
func (d Day) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[[day]]\nname = %s\nslot = \"trouble\"\nseed = %d\n", strconv.Quote(d.Name), d.Seed)
	fmt.Fprintf(&text, "length_s = %s\none = 1.0\nzero = 0.6\nwall = 30.0\nlabels = []\n", decimal(d.LengthS))
	fmt.Fprintf(&text, "goal = { floor = %s }\n", decimal(d.Floor))
	if d.Closing != nil {
		fmt.Fprintf(&text, "closing = { kind = %s, down_s = %s, how = %s }\n",
			strconv.Quote(d.Closing.Kind), decimal(d.Closing.DownS), strconv.Quote(d.Closing.How))
	}
	writeList(&text, "plan", d.lines(true))
	writeList(&text, "faults", d.lines(false))
	if len(d.Traffic) > 0 {
		writeList(&text, "traffic", d.Traffic)
	}
	return text.String()
}

// lines returns the planned entries, or the faults, by time.
func (d Day) lines(planned bool) []string {
	var lines []string
	for _, entry := range d.Entries {
		if entry.Kind.Planned == planned {
			lines = append(lines, entry.line())
		}
	}
	return lines
}

func writeList(text *strings.Builder, name string, lines []string) {
	fmt.Fprintf(text, "%s = [\n", name)
	for _, line := range lines {
		fmt.Fprintf(text, "  %s,\n", line)
	}
	text.WriteString("]\n")
}

// Options are the parameters of generated days. Fields that end in S are in seconds.
type Options struct {
	Theme   string
	LengthS float64
	Floor   float64
	// MaxLosses is how many machines of a group may be lost at once.
	MaxLosses int
	// CatchUpS is how long a machine still counts as lost after its return.
	CatchUpS float64
	// MeanPauseS is the mean time between the starts of two sequences.
	MeanPauseS float64
	Closing    string
	Targets    targets
	Traffic    []string
}

// Entries occur from firstEntryS after the start of the day to quietEndS before its end.
const (
	firstEntryS = 1.5
	quietEndS   = 6.0
)

var closingVariants = map[string][]string{
	"power_off_all":  {"all", "timed", "taken"},
	"wipe_after_ack": {"", "all", "timed", "taken"},
	"kill_all":       {"", "timed"},
}

// Generate returns the day of a seed. Equal options and seeds give equal days.
func Generate(options Options, seed uint64) Day {
	random := rand.New(rand.NewPCG(seed, randomStream))
	theme, _ := themeNamed(options.Theme)
	g := generator{options: options, random: random, schedule: lossSchedule{maxMachines: options.MaxLosses, catchUpS: options.CatchUpS}}
	g.addSequences(theme)
	g.addPlanned(theme)
	g.addChanges(theme)
	slices.SortStableFunc(g.entries, func(a, b Entry) int {
		switch {
		case a.AtS < b.AtS:
			return -1
		case a.AtS > b.AtS:
			return 1
		}
		return 0
	})
	return Day{
		Name:    fmt.Sprintf("%s-%d", options.Theme, seed),
		Seed:    seed,
		LengthS: options.LengthS,
		Floor:   options.Floor,
		Entries: g.entries,
		Closing: drawClosing(random, options.Closing),
		Traffic: options.Traffic,
	}
}

// randomStream separates these random numbers from those of other users of a seed.
const randomStream = 0x646179

// Closing flags that name no single fault.
const (
	closingRandom = "random"
	closingNone   = "none"
)

const minClosingDownS = 0.5

func drawClosing(random *rand.Rand, kind string) *Closing {
	if kind == closingRandom {
		kind = pick(random, []string{closingNone, "power_off_all", "wipe_after_ack", "kill_all"})
	}
	if kind == closingNone {
		return nil
	}
	return &Closing{Kind: kind, DownS: rounded(minClosingDownS + random.Float64()), How: pick(random, closingVariants[kind])}
}
