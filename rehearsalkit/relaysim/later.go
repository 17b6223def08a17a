package relaysim

import (
	"fmt"

	"saffronfall/peer/desk"
)

// laterTable counts the answers to orders that had been acknowledged, by how many
// orders were acknowledged in between.
type laterTable map[int]*laterRow

type laterRow struct{ acked, refused, unclear int }

// laterSteps are the rows of a laterTable.
var laterSteps = []int{8, 16, 64, 256, 1 << 30}

func (t laterTable) add(changes int, h desk.OrderResult) {
	step := 0
	for changes > laterSteps[step] {
		step++
	}
	row := t[laterSteps[step]]
	if row == nil {
		row = &laterRow{}
		t[laterSteps[step]] = row
	}
	switch {
	case h.Uncertain:
		row.unclear++
	case h.Accepted:
		row.acked++
	default:
		row.refused++
	}
}

func (t laterTable) merge(o laterTable) {
	for step, row := range o {
		sum := t[step]
		if sum == nil {
			sum = &laterRow{}
			t[step] = sum
		}
		sum.acked += row.acked
		sum.refused += row.refused
		sum.unclear += row.unclear
	}
}

// lines are the table as Markdown.
func (t laterTable) lines() []string {
	lines := []string{"", "| up to so many orders later | acknowledged again | refused | no clear answer |", "|---|---|---|---|"}
	for _, step := range laterSteps {
		if row := t[step]; row != nil {
			name := fmt.Sprint(step)
			if step == laterSteps[len(laterSteps)-1] {
				name = "more"
			}
			lines = append(lines, fmt.Sprintf("| %s | %d | %d | %d |", name, row.acked, row.refused, row.unclear))
		}
	}
	return lines
}
