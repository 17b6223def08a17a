package days

import (
	"math/rand/v2"
)

type generator struct {
	options  Options
	random   *rand.Rand
	schedule lossSchedule
	entries  []Entry
}

// endS returns the latest time of an entry.
func (g *generator) endS() float64 {
	return max(firstEntryS, g.options.LengthS-quietEndS)
}

// Pauses are drawn from a range above minPauseFactor times the mean.
const (
	minPauseFactor   = 0.4
	pauseFactorRange = 1.2
)

func (g *generator) pause() float64 {
	return g.options.MeanPauseS * (minPauseFactor + pauseFactorRange*g.random.Float64())
}

// addSequences begins each sequence a pause after the start of the previous one, so that long ones
// overlap.
func (g *generator) addSequences(theme Theme) {
	for at := firstEntryS + g.pause(); at < g.endS(); at += g.pause() {
		g.placeSequence(g.drawSequence(theme), at)
	}
}

// drawSequence returns a single step of any kind if the theme has no sequences.
func (g *generator) drawSequence(theme Theme) []Step {
	if len(theme.Sequences) == 0 {
		return []Step{{Kind: Kinds[g.random.IntN(len(Kinds))].Name}}
	}
	return theme.Sequences[g.random.IntN(len(theme.Sequences))]
}

// placeSequence adds steps up to the first that would be past the day's end.
func (g *generator) placeSequence(steps []Step, at float64) {
	for _, step := range steps {
		at += drawNumber(g.random, step.AfterS)
		entry, placed := g.add(step, at)
		if !placed {
			return
		}
		at = entry.AtS
		if lossS := entry.lossDurationS() + g.options.CatchUpS; entry.Kind.CausesLoss && g.repairFollows(steps, step) {
			at += lossS + lossGapS
		}
	}
}

// repairFollows reports whether the next step waits for the repair of this one.
func (g *generator) repairFollows(steps []Step, step Step) bool {
	for i := range steps {
		if i+1 < len(steps) && steps[i].Kind == step.Kind && steps[i+1].AfterRepair {
			return true
		}
	}
	return false
}

// add reports whether the entry fits into the day.
func (g *generator) add(step Step, at float64) (Entry, bool) {
	kind, known := kindNamed(step.Kind)
	if !known {
		return Entry{}, false
	}
	entry := drawEntry(g.random, step, kind, g.options.Targets)
	entry.AtS = rounded(at)
	before := len(g.schedule.losses)
	entry = g.schedule.place(entry)
	if entry.AtS > g.endS() {
		g.schedule.losses = g.schedule.losses[:before]
		return Entry{}, false
	}
	g.entries = append(g.entries, entry)
	return entry, true
}

func (g *generator) addPlanned(theme Theme) {
	if len(theme.Planned) == 0 {
		return
	}
	for at := firstEntryS; at < g.endS(); at += g.pause() {
		g.add(theme.Planned[g.random.IntN(len(theme.Planned))], at)
	}
}

func (g *generator) addChanges(theme Theme) {
	if theme.ChangesS.Max == 0 {
		return
	}
	for at := firstEntryS; at < g.endS(); at += drawNumber(g.random, theme.ChangesS) {
		g.add(Step{Kind: "config_change"}, at)
	}
}
