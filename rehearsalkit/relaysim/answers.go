package relaysim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"saffronfall/rule/ordered"
)

// Kinds of calls to a registry. The values are printed as table headings.
const (
	callHeartbeat = "heartbeat"
	callLeave     = "leave"
	callOrder     = "order"
	callResend    = "order again"
	callRead      = "read-back"
	callRetire    = "retire"
	callStatus    = "retire status"
	callPull      = "node pull"
	callFirstPull = "first question"
)

var callKinds = []string{callHeartbeat, callLeave, callOrder, callResend, callRead, callRetire, callStatus, callPull, callFirstPull}

// registryCall is one call that reached a running registry; pending while ended is negative.
type registryCall struct {
	kind        string
	registry    *process
	incarnation int
	started     time.Duration
	ended       time.Duration
	// conclusive means that the answer states the current state or the order's outcome.
	conclusive bool
}

// interrupted reports whether the registry stopped before the call ended.
func (c *registryCall) interrupted() bool {
	return c.ended < 0 && (c.registry.incarnation != c.incarnation || !c.registry.alive)
}

type answerCell struct {
	conclusive, inconclusive int
	longest                  time.Duration
}

type answerKey struct {
	group  string
	second int
	kind   string
}

type answerTable map[answerKey]answerCell

func (t answerTable) add(group string, second int, c *registryCall) {
	key := answerKey{group: group, second: second, kind: c.kind}
	cell := t[key]
	if c.conclusive {
		cell.conclusive++
	} else {
		cell.inconclusive++
	}
	cell.longest = max(cell.longest, c.ended-c.started)
	t[key] = cell
}

func (t answerTable) merge(o answerTable) {
	for key, cell := range o {
		sum := t[key]
		sum.conclusive += cell.conclusive
		sum.inconclusive += cell.inconclusive
		sum.longest = max(sum.longest, cell.longest)
		t[key] = sum
	}
}

// Lines formats the table as Markdown: conclusive/inconclusive answers and the longest wait in
// milliseconds, for each kind and starting second.
func (t answerTable) Lines() (lines []string) {
	groups, seconds := map[string]bool{}, map[int]bool{}
	for key := range t {
		groups[key.group] = true
		seconds[key.second] = true
	}
	for _, group := range ordered.Keys(groups) {
		lines = append(lines, "", group, "",
			"| second | "+strings.Join(callKinds, " | ")+" |",
			"|---"+strings.Repeat("|---", len(callKinds))+"|")
		for _, second := range ordered.Keys(seconds) {
			row := fmt.Sprintf("| %d |", second)
			for _, kind := range callKinds {
				cell, ok := t[answerKey{group: group, second: second, kind: kind}]
				if !ok {
					row += " |"
					continue
				}
				row += fmt.Sprintf(" %d/%d %d |", cell.conclusive, cell.inconclusive, cell.longest.Milliseconds())
			}
			lines = append(lines, row)
		}
	}
	return lines
}

func durationSummary(what string, list []time.Duration) string {
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return fmt.Sprintf("%-52s n %d, median %v, longest %v", what, len(sorted),
		sorted[len(sorted)/2].Round(time.Millisecond),
		sorted[len(sorted)-1].Round(time.Millisecond))
}
