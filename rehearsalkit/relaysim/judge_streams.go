package relaysim

import (
	"strings"
)

// history is the input that precedes a turn continuing from the attempt.
func (b *recordIndex) history(attempt, tenant string, depth int) (string, bool) {
	q := b.requests[attempt]
	if q == nil || q.Tenant != tenant || depth > 1000 {
		return "", false
	}
	earlier := ""
	if q.Previous != "" {
		var ok bool
		if earlier, ok = b.history(q.Previous, tenant, depth+1); !ok {
			return "", false
		}
	}
	output, complete := b.output(attempt)
	return earlier + q.Input + output, complete
}

// output joins the output of all executions of an attempt and reports whether one completed.
func (b *recordIndex) output(attempt string) (string, bool) {
	var joined []string
	complete := false
	for _, run := range b.runs[attempt] {
		pieces := strings.SplitAfter(run.Output, "\n")
		for i, p := range pieces {
			if at := int(run.FirstEvent) + i; p != "" && at == len(joined) {
				joined = append(joined, p)
			}
		}
		complete = complete || run.Complete
	}
	return strings.Join(joined, ""), complete
}

func (b *recordIndex) checkHistories() (list []Breach) {
	for i := range b.Runs {
		run := &b.Runs[i]
		q := b.requests[run.Attempt]
		if q == nil {
			continue
		}
		want := q.Input
		if q.Previous != "" {
			earlier, ok := b.history(q.Previous, q.Tenant, 0)
			if !ok {
				list = append(list, breach(RuleHistory,
					"%s ran at %v and goes on from %s, which is no turn of its tenant",
					run.Attempt, run.At, q.Previous))
				continue
			}
			want = earlier + want
		}
		if run.Text != want {
			list = append(list, breach(RuleHistory, "%s ran at %v with %q and not with %q", run.Attempt, run.At, run.Text, want))
		}
	}
	return list
}

// checkAnswers leaves answers to operations with keys to checkFirstAnswer.
func (b *recordIndex) checkAnswers() (list []Breach) {
	for _, q := range b.Requests {
		if q.Outcome != Complete && q.Outcome != Failed || q.Operation != "" {
			continue
		}
		if len(b.runs[q.Attempt]) == 0 {
			list = append(list, breach(RuleAnswerComplete, "%s was answered at %v and never ran", q.Attempt, q.Ended))
			continue
		}
		if output, complete := b.output(q.Attempt); q.Output != output || output != "" && !complete {
			list = append(list, breach(RuleAnswerComplete, "%s ended as whole at %v with %q, and was %q", q.Attempt, q.Ended, q.Output, output))
		}
	}
	return list
}
