package relaysim

import (
	"strings"
)

// said is a turn's chain: what a turn that goes on from it must be given before
// its own input.
func (b *books) said(attempt, tenant string, depth int) (string, bool) {
	q := b.requests[attempt]
	if q == nil || q.Tenant != tenant || depth > 1000 {
		return "", false
	}
	before := ""
	if q.Previous != "" {
		var ok bool
		if before, ok = b.said(q.Previous, tenant, depth+1); !ok {
			return "", false
		}
	}
	output, whole := b.output(attempt)
	return before + q.Input + output, whole
}

// output joins what the runs of an attempt put out, and tells whether the last
// one came to its end.
func (b *books) output(attempt string) (string, bool) {
	var joined []string
	whole := false
	for _, run := range b.runs[attempt] {
		pieces := strings.SplitAfter(run.Output, "\n")
		for i, p := range pieces {
			if at := int(run.From) + i; p != "" && at == len(joined) {
				joined = append(joined, p)
			}
		}
		whole = whole || run.Whole
	}
	return strings.Join(joined, ""), whole
}

func (b *books) chains() (list []Breach) {
	for i := range b.Runs {
		run := &b.Runs[i]
		q := b.requests[run.Attempt]
		if q == nil {
			continue
		}
		want := q.Input
		if q.Previous != "" {
			before, ok := b.said(q.Previous, q.Tenant, 0)
			if !ok {
				list = append(list, breach(RuleChain, "%s ran at %v and goes on from %s, which is no turn of its tenant", run.Attempt, run.At, q.Previous))
				continue
			}
			want = before + want
		}
		if run.Text != want {
			list = append(list, breach(RuleChain, "%s ran at %v with %q and not with %q", run.Attempt, run.At, run.Text, want))
		}
	}
	return list
}

func (b *books) answers() (list []Breach) {
	for _, q := range b.Requests {
		if q.Outcome != Whole && q.Outcome != Failed {
			continue
		}
		if len(b.runs[q.Attempt]) == 0 {
			list = append(list, breach(RuleWhole, "%s was answered at %v and never ran", q.Attempt, q.Ended))
			continue
		}
		if output, whole := b.output(q.Attempt); q.Output != output || output != "" && !whole {
			list = append(list, breach(RuleWhole, "%s ended as whole at %v with %q, and was %q", q.Attempt, q.Ended, q.Output, output))
		}
	}
	return list
}
