package days

import (
	"math/rand/v2"
)

// maker collects the entries of a day.
type maker struct {
	wish    Wish
	random  *rand.Rand
	ledger  ledger
	entries []Entry
}

// endS is when the last entry may strike.
func (m *maker) endS() float64 {
	return max(firstS, m.wish.LengthS-lastS)
}

// pause draws a pause around the mean one.
func (m *maker) pause() float64 {
	return m.wish.PauseS * (0.4 + 1.2*m.random.Float64())
}

// sequences fills the day with sequences of the theme, each begun a pause after
// the start of the one before, so that long ones overlap.
func (m *maker) sequences(theme Theme) {
	for at := firstS + m.pause(); at < m.endS(); at += m.pause() {
		m.sequence(m.drawSequence(theme), at)
	}
}

// drawSequence draws a sequence of the theme, or one entry of any kind.
func (m *maker) drawSequence(theme Theme) []Step {
	if len(theme.Sequences) == 0 {
		return []Step{{Kind: Kinds[m.random.IntN(len(Kinds))].Name}}
	}
	return theme.Sequences[m.random.IntN(len(theme.Sequences))]
}

// sequence places the steps of a sequence; those past the day's end fall away.
func (m *maker) sequence(steps []Step, at float64) {
	for _, step := range steps {
		at += drawNumber(m.random, step.AfterS)
		entry, placed := m.add(step, at)
		if !placed {
			return
		}
		at = entry.AtS
		if next := entry.lostS() + m.wish.CatchUpS; entry.Kind.Lossy && m.repairFollows(steps, step) {
			at += next + pastLossS
		}
	}
}

// repairFollows tells whether the step after one waits for its repair.
func (m *maker) repairFollows(steps []Step, step Step) bool {
	for i := range steps {
		if i+1 < len(steps) && steps[i].Kind == step.Kind && steps[i+1].AfterRepair {
			return true
		}
	}
	return false
}

// add draws a step's entry and places it, if it still fits into the day.
func (m *maker) add(step Step, at float64) (Entry, bool) {
	kind, known := kindNamed(step.Kind)
	if !known {
		return Entry{}, false
	}
	entry := drawEntry(m.random, step, kind, m.wish.Names)
	entry.AtS = rounded(at)
	before := len(m.ledger.losses)
	entry = m.ledger.place(entry)
	if entry.AtS > m.endS() {
		m.ledger.losses = m.ledger.losses[:before]
		return Entry{}, false
	}
	m.entries = append(m.entries, entry)
	return entry, true
}

// orders keeps the theme's planned work going all day.
func (m *maker) orders(theme Theme) {
	if len(theme.Orders) == 0 {
		return
	}
	for at := firstS; at < m.endS(); at += m.pause() {
		m.add(theme.Orders[m.random.IntN(len(theme.Orders))], at)
	}
}

// changes sends single changes of the configuration, up to hundreds.
func (m *maker) changes(theme Theme) {
	if theme.ChangesS.Max == 0 {
		return
	}
	for at := firstS; at < m.endS(); at += drawNumber(m.random, theme.ChangesS) {
		m.add(Step{Kind: "config_change"}, at)
	}
}
