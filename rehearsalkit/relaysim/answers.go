package relaysim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"saffronfall/rule/ordered"
)

// Kinds of calls at a desk.
const (
	callHeartbeat  = "heartbeat"
	callLeave      = "leave"
	callOrder      = "order"
	callOrderAgain = "order again"
	callRead       = "read-back"
	callRetire     = "retire"
	callStatus     = "retire status"
	callPull       = "node pull"
	callFirst      = "first question"
)

var callKinds = []string{callHeartbeat, callLeave, callOrder, callOrderAgain, callRead, callRetire, callStatus, callPull, callFirst}

// deskCall is one call that reached a live desk. It has not ended while ended is
// below zero.
type deskCall struct {
	kind  string
	desk  *process
	life  int
	at    time.Duration
	ended time.Duration
	// clear: the answer says what is, or what became of the order.
	clear bool
}

// lost reports whether the desk's life ended before the call did.
func (c *deskCall) lost() bool { return c.ended < 0 && (c.desk.life != c.life || !c.desk.alive) }

// answerCell is what the calls of one kind and second got.
type answerCell struct {
	clear, unclear int
	longest        time.Duration
}

type answerKey struct {
	group  string
	second int
	kind   string
}

// answerTable tells, second by second, what calls got.
type answerTable map[answerKey]answerCell

func (t answerTable) add(group string, second int, c *deskCall) {
	key := answerKey{group: group, second: second, kind: c.kind}
	cell := t[key]
	if c.clear {
		cell.clear++
	} else {
		cell.unclear++
	}
	cell.longest = max(cell.longest, c.ended-c.at)
	t[key] = cell
}

func (t answerTable) merge(o answerTable) {
	for key, cell := range o {
		sum := t[key]
		sum.clear += cell.clear
		sum.unclear += cell.unclear
		sum.longest = max(sum.longest, cell.longest)
		t[key] = sum
	}
}

// Lines are the table as Markdown: for each kind and second of the call's begin,
// how many got a clear answer, how many none, and the longest wait in
// milliseconds.
func (t answerTable) Lines() (lines []string) {
	groups, seconds := map[string]bool{}, map[int]bool{}
	for key := range t {
		groups[key.group] = true
		seconds[key.second] = true
	}
	for _, group := range ordered.Keys(groups) {
		lines = append(lines, "", group, "", "| second | "+strings.Join(callKinds, " | ")+" |", "|---"+strings.Repeat("|---", len(callKinds))+"|")
		for _, second := range ordered.Keys(seconds) {
			row := fmt.Sprintf("| %d |", second)
			for _, kind := range callKinds {
				cell, ok := t[answerKey{group: group, second: second, kind: kind}]
				if !ok {
					row += " |"
					continue
				}
				row += fmt.Sprintf(" %d/%d %d |", cell.clear, cell.unclear, cell.longest.Milliseconds())
			}
			lines = append(lines, row)
		}
	}
	return lines
}

// spanLine sums measured times up.
func spanLine(what string, list []time.Duration) string {
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return fmt.Sprintf("%-52s n %d, median %v, longest %v", what, len(sorted), sorted[len(sorted)/2].Round(time.Millisecond), sorted[len(sorted)-1].Round(time.Millisecond))
}
