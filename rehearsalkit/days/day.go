package days

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// Closing is the fault that may end a day.
type Closing struct {
	Kind  string
	DownS float64
	How   string
}

// Day is a day for the bench.
type Day struct {
	Name    string
	Seed    uint64
	LengthS float64
	Floor   float64
	Entries []Entry
	Closing *Closing
	// Traffic are lines of the day's traffic; none leaves the deployment's own.
	Traffic []string
}

// Text writes the day in the bench's form.
func (d Day) Text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[[day]]\nname = %s\nslot = \"trouble\"\nseed = %d\n", strconv.Quote(d.Name), d.Seed)
	fmt.Fprintf(&text, "length_s = %s\none = 1.0\nzero = 0.6\nwall = 30.0\nlabels = []\n", decimal(d.LengthS))
	fmt.Fprintf(&text, "goal = { floor = %s }\n", decimal(d.Floor))
	if d.Closing != nil {
		fmt.Fprintf(&text, "closing = { kind = %s, down_s = %s, how = %s }\n", strconv.Quote(d.Closing.Kind), decimal(d.Closing.DownS), strconv.Quote(d.Closing.How))
	}
	writeList(&text, "plan", d.lines(true))
	writeList(&text, "faults", d.lines(false))
	if len(d.Traffic) > 0 {
		writeList(&text, "traffic", d.Traffic)
	}
	return text.String()
}

// lines are the day's planned entries, or its others, by time.
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

// Wish is what a caller asks of days.
type Options struct {
	Theme   string
	LengthS float64
	Floor   float64
	// Losses is how many machines of a group may be lost at once.
	MaxLosses int
	// CatchUpS is how long a machine counts as lost after its return.
	CatchUpS float64
	// PauseS is the mean pause between two sequences of the theme.
	MeanPauseS float64
	Closing    string
	Targets    targets
	Traffic    []string
}

// firstS is when the first entry strikes; untilS before its end, none does.
const (
	firstEntryS = 1.5
	quietEndS   = 6.0
)

// closings are the closing faults, and in which ways each may strike.
var closingVariants = map[string][]string{
	"power_off_all":  {"all", "timed", "taken"},
	"wipe_after_ack": {"", "all", "timed", "taken"},
	"kill_all":       {"", "timed"},
}

// Make draws the day of a seed.
func Generate(wish Options, seed uint64) Day {
	random := rand.New(rand.NewPCG(seed, randomStream))
	theme, _ := themeNamed(wish.Theme)
	maker := generator{options: wish, random: random, schedule: lossSchedule{maxMachines: wish.MaxLosses, catchUpS: wish.CatchUpS}}
	maker.addSequences(theme)
	maker.addPlanned(theme)
	maker.addChanges(theme)
	slices.SortStableFunc(maker.entries, func(a, b Entry) int {
		switch {
		case a.AtS < b.AtS:
			return -1
		case a.AtS > b.AtS:
			return 1
		}
		return 0
	})
	return Day{
		Name:    fmt.Sprintf("%s-%d", wish.Theme, seed),
		Seed:    seed,
		LengthS: wish.LengthS,
		Floor:   wish.Floor,
		Entries: maker.entries,
		Closing: drawClosing(random, wish.Closing),
		Traffic: wish.Traffic,
	}
}

// streamOfDays keeps these draws apart from those of other users of a seed.
const randomStream = 0x646179

// Closings by lot and none.
const (
	closingRandom = "random"
	closingNone   = "none"
)

// drawClosing draws how a closing fault strikes.
func drawClosing(random *rand.Rand, wanted string) *Closing {
	if wanted == closingRandom {
		wanted = pick(random, []string{closingNone, "power_off_all", "wipe_after_ack", "kill_all"})
	}
	if wanted == closingNone {
		return nil
	}
	return &Closing{Kind: wanted, DownS: rounded(0.5 + random.Float64()), How: pick(random, closingVariants[wanted])}
}
