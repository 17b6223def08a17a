package days

import (
	"math/rand/v2"
)

// maker collects the entries of a day.
type generator struct {
	options  Options
	random   *rand.Rand
	schedule lossSchedule
	entries  []Entry
}

// endS is when the last entry may strike.
func (m *generator) endS() float64 {
	return max(firstEntryS, m.options.LengthS-quietEndS)
}

// pause draws a pause around the mean one.
func (m *generator) pause() float64 {
	return m.options.MeanPauseS * (0.4 + 1.2*m.random.Float64())
}

// sequences fills the day with sequences of the theme, each begun a pause after
// the start of the one before, so that long ones overlap.
func (m *generator) addSequences(theme Theme) {
	for at := firstEntryS + m.pause(); at < m.endS(); at += m.pause() {
		m.placeSequence(m.drawSequence(theme), at)
	}
}

// drawSequence draws a sequence of the theme, or one entry of any kind.
func (m *generator) drawSequence(theme Theme) []Step {
	if len(theme.Sequences) == 0 {
		return []Step{{Kind: Kinds[m.random.IntN(len(Kinds))].Name}}
	}
	return theme.Sequences[m.random.IntN(len(theme.Sequences))]
}

// sequence places the steps of a sequence; those past the day's end fall away.
func (m *generator) placeSequence(steps []Step, at float64) {
	for _, step := range steps {
		at += drawNumber(m.random, step.AfterS)
		entry, placed := m.add(step, at)
		if !placed {
			return
		}
		at = entry.AtS
		if next := entry.lossDurationS() + m.options.CatchUpS; entry.Kind.CausesLoss && m.repairFollows(steps, step) {
			at += next + lossGapS
		}
	}
}

// repairFollows tells whether the step after one waits for its repair.
func (m *generator) repairFollows(steps []Step, step Step) bool {
	for i := range steps {
		if i+1 < len(steps) && steps[i].Kind == step.Kind && steps[i+1].AfterRepair {
			return true
		}
	}
	return false
}

// add draws a step's entry and places it, if it still fits into the day.
func (m *generator) add(step Step, at float64) (Entry, bool) {
	kind, known := kindNamed(step.Kind)
	if !known {
		return Entry{}, false
	}
	entry := drawEntry(m.random, step, kind, m.options.Targets)
	entry.AtS = rounded(at)
	before := len(m.schedule.losses)
	entry = m.schedule.place(entry)
	if entry.AtS > m.endS() {
		m.schedule.losses = m.schedule.losses[:before]
		return Entry{}, false
	}
	m.entries = append(m.entries, entry)
	return entry, true
}

// orders keeps the theme's planned work going all day.
func (m *generator) addPlanned(theme Theme) {
	if len(theme.Planned) == 0 {
		return
	}
	for at := firstEntryS; at < m.endS(); at += m.pause() {
		m.add(theme.Planned[m.random.IntN(len(theme.Planned))], at)
	}
}

// changes sends single changes of the configuration, up to hundreds.
func (m *generator) addChanges(theme Theme) {
	if theme.ChangesS.Max == 0 {
		return
	}
	for at := firstEntryS; at < m.endS(); at += drawNumber(m.random, theme.ChangesS) {
		m.add(Step{Kind: "config_change"}, at)
	}
}
