// Package judge holds a run against the twelve rules, by what requesters and
// back ends saw and by nothing that the fleet says of itself.
package judge

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"saffronfall/rule/ordered"
)

// Outcomes that a requester sees.
const (
	Whole   = "whole"
	Broken  = "broken"
	Refused = "refused"
	Silent  = "silent"
)

// Judge lists the breaches of a run.
func (r *Record) Judge() []Breach {
	var all []Breach
	for _, check := range []func() []Breach{r.programTokens, r.notRun, r.once, r.retention, r.histories, r.quotas, r.configurations, r.leaving, r.completeAnswers,
		r.tokenLimits, r.breakerTrips, r.sessionStarts} {
		all = append(all, check()...)
	}
	return all
}

func breach(rule int, format string, args ...any) Breach {
	return Breach{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// spending is rule 1, from both ends: what requesters got and what replicas
// made.
func (r *Record) programTokens() (list []Breach) {
	made, got := map[string]int64{}, map[string]int64{}
	for _, s := range r.Attempts {
		if s.Program != "" && !s.Tool {
			// What a replica makes beyond what it was asked for is cut off.
			made[s.Program] += min(s.Tokens, s.MaxTokens)
			if s.Tokens > s.MaxTokens && !s.OverLimit {
				list = append(list, breach(1, "replica made %d tokens of %d for %s", s.Tokens, s.MaxTokens, s.RequestID))
			}
		}
	}
	for _, a := range r.Requests {
		if a.Kind == "turn" {
			got[a.Program] += a.Tokens
		}
	}
	most := r.Limits.ProgramTokens + r.Limits.TurnTokens
	for _, side := range []map[string]int64{made, got} {
		for _, p := range ordered.Keys(side) {
			if side[p] > most {
				list = append(list, breach(1, "program %s got %d tokens; at most %d", p, side[p], most))
			}
		}
	}
	return list
}

// notRun is rules 2 and 4: what was refused as not run never reached a back
// end, before or after.
func (r *Record) notRun() (list []Breach) {
	reached := map[string]bool{}
	for _, s := range r.Attempts {
		reached[s.RequestID] = true
	}
	for _, a := range r.Requests {
		if a.Outcome == Refused && a.Ran == "no" && a.ID != "" && a.OnceKey == "" && reached[a.ID] {
			rule := 4
			if a.Code == "breaker_open" || a.Code == "program_tokens_spent" || a.Code == "tenant_day_tokens_spent" {
				rule = 2
			}
			list = append(list, breach(rule, "%s was refused (%s, not run) and ran", a.ID, a.Code))
		}
		if a.Outcome == Whole && (a.Kind == "turn" || a.Kind == "tool") && !reached[a.ID] {
			list = append(list, breach(11, "%s came whole and never reached a back end", a.ID))
		}
	}
	return list
}

// once is rule 3, and rule 4 for once-keys: a key all of whose inquiries were
// refused as not run never ran.
func (r *Record) once() (list []Breach) {
	ran := map[string]int{}
	for _, s := range r.Attempts {
		if s.OnceKey != "" {
			ran[s.OnceKey]++
			if ran[s.OnceKey] == 2 {
				list = append(list, breach(3, "once-key %s ran twice", s.OnceKey))
			}
		}
	}
	all, not := map[string]int{}, map[string]int{}
	for _, a := range r.Requests {
		if a.OnceKey == "" {
			continue
		}
		all[a.OnceKey]++
		if a.Outcome == Refused && a.Ran == "no" {
			not[a.OnceKey]++
		}
		if a.Outcome == Whole && ran[a.OnceKey] == 0 {
			list = append(list, breach(11, "once-key %s was answered and never ran", a.OnceKey))
		}
	}
	for _, k := range ordered.Keys(all) {
		if all[k] == not[k] && ran[k] > 0 {
			list = append(list, breach(4, "once-key %s was only refused as not run, and ran", k))
		}
	}
	return list
}

// gone is rule 5.
func (r *Record) retention() (list []Breach) {
	last := map[string]time.Duration{}
	for _, a := range r.Requests {
		if a.Program == "" {
			continue
		}
		if a.Outcome == Whole {
			last[a.Program] = max(last[a.Program], a.At)
		}
	}
	for _, a := range r.Requests {
		if (a.Status == 410 || a.Status == 404) && a.Program != "" {
			if at, ok := last[a.Program]; ok && at < a.Ended && a.Ended < at+r.Limits.Retention {
				list = append(list, breach(5, "program %s was called gone (%d %s) %v after its last whole turn", a.Program, a.Status, a.Code, a.Ended-at))
			}
		}
	}
	return list
}

// histories is rule 6: each history that a replica got has turns of that very
// conversation, each once and in order. One that came whole is just what its
// requester got; one that broke is what a replica gave, and its requester got
// the beginning of it. No turn that its requester saw whole before is lacking,
// and what was history once stays so.
func (r *Record) histories() (list []Breach) {
	type line struct{ program, line string }
	said := map[string]Request{}
	whole := map[line][]Request{}
	for _, a := range r.Requests {
		if a.Kind != "turn" {
			continue
		}
		said[a.ID] = a
		if a.Outcome == Whole {
			whole[line{a.Program, a.Conversation}] = append(whole[line{a.Program, a.Conversation}], a)
		}
	}
	made := map[string][]Attempt{}
	lines := map[line][]Attempt{}
	for _, s := range r.Attempts {
		made[s.RequestID] = append(made[s.RequestID], s)
		if s.Program != "" && !s.Tool {
			lines[line{s.Program, s.Conversation}] = append(lines[line{s.Program, s.Conversation}], s)
		}
	}
	for _, s := range r.Attempts {
		if s.Program == "" || s.Tool {
			continue
		}
		own := said[s.RequestID]
		if own.Tenant != s.Tenant || own.Program != s.Program || own.Conversation != s.Conversation {
			list = append(list, breach(6, "%s of %s/%s reached a replica as %s/%s", s.RequestID, own.Tenant, own.Program, s.Tenant, s.Program))
		}
		in := map[string]bool{}
		before := time.Duration(-1)
		for _, t := range s.History {
			a := said[t.Prompt]
			switch {
			case in[t.Prompt]:
				list = append(list, breach(6, "history of %s has the turn %s twice", s.RequestID, t.Prompt))
			case a.Program != s.Program || a.Conversation != s.Conversation:
				list = append(list, breach(6, "history of %s has a turn of %s", s.RequestID, a.Program))
			case a.At < before:
				list = append(list, breach(6, "history of %s has the turn %s out of order", s.RequestID, t.Prompt))
			case a.Outcome == Whole && t.Answer != a.Text:
				list = append(list, breach(6, "history of %s has %q for the turn %s, whose requester got %q", s.RequestID, t.Answer, t.Prompt, a.Text))
			case !relayed(t.Answer, a.Text, made[t.Prompt]):
				list = append(list, breach(6, "history of %s has an answer for %s that no replica gave", s.RequestID, t.Prompt))
			}
			in[t.Prompt], before = true, a.At
		}
		for _, a := range whole[line{s.Program, s.Conversation}] {
			if a.Ended < own.At && !in[a.ID] {
				list = append(list, breach(6, "history of %s lacks the whole turn %s", s.RequestID, a.ID))
			}
		}
	}
	for _, shots := range lines {
		sort.SliceStable(shots, func(i, j int) bool { return shots[i].At < shots[j].At })
		for i := 1; i < len(shots); i++ {
			if !hasPrefix(shots[i].History, shots[i-1].History) {
				list = append(list, breach(6, "history of %s does not go on from that of %s", shots[i].RequestID, shots[i-1].RequestID))
			}
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Detail < list[j].Detail })
	return list
}

// relayed reports whether a turn is what one replica gave: all of it, or as
// much as its inquiry had room for.
func relayed(turn, got string, made []Attempt) bool {
	for _, s := range made {
		if strings.HasPrefix(turn, got) && (s.Text == turn || s.OverLimit && strings.HasPrefix(s.Text, turn)) {
			return true
		}
	}
	return false
}

func hasPrefix(history, with []Turn) bool {
	return len(history) >= len(with) && slices.Equal(history[:len(with)], with)
}

// quotas is rule 7: in every window, no more shots of a tenant than its rate
// and burst allow.
func (r *Record) quotas() (list []Breach) {
	times := map[string][]time.Duration{}
	for _, s := range r.Attempts {
		times[s.Tenant] = append(times[s.Tenant], s.At)
	}
	for _, tenant := range ordered.Keys(times) {
		rate, ok := r.Limits.Rate[tenant]
		if !ok {
			continue
		}
		at := times[tenant]
		sort.Slice(at, func(i, j int) bool { return at[i] < at[j] })
		// level is the most that a bucket of this rate would be overdrawn.
		level, before := 0.0, time.Duration(0)
		for _, t := range at {
			level = max(0, level-rate*(t-before).Seconds()) + 1
			before = t
			if level > r.Limits.Burst[tenant]+1 {
				list = append(list, breach(7, "tenant %s: %.1f shots above rate %.1f at %v; burst is %.0f", tenant, level, rate, t, r.Limits.Burst[tenant]))
				break
			}
		}
	}
	return list
}

// configurations is rules 8 and 9.
func (r *Record) configurations() (list []Breach) {
	taken := map[uint64]bool{}
	refused := map[uint64]bool{}
	last := uint64(0)
	for _, t := range r.Decisions {
		if t.Refused {
			refused[t.Version] = true
		} else {
			taken[t.Version] = true
			last = max(last, t.Version)
		}
	}
	probes := append([]Probe(nil), r.Probes...)
	sort.SliceStable(probes, func(i, j int) bool { return probes[i].At < probes[j].At })
	byNode := map[string][]Probe{}
	final := map[string]uint64{}
	for _, p := range probes {
		for _, older := range byNode[p.Node] {
			if older.Ended < p.At && older.Version > p.Version {
				list = append(list, breach(8, "node %s slid back from version %d to %d", p.Node, older.Version, p.Version))
				break
			}
		}
		byNode[p.Node] = append(byNode[p.Node], p)
		for _, t := range r.Decisions {
			if !t.Refused && p.Version < t.Version && p.At > t.At+r.Limits.PropagationLimit {
				list = append(list, breach(8, "node %s was at version %d %v after %d was taken", p.Node, p.Version, p.At-t.At, t.Version))
			}
		}
		if refused[p.Version] && !taken[p.Version] {
			list = append(list, breach(9, "node %s has refused description %d in force", p.Node, p.Version))
		}
		if p.Final {
			final[p.Node] = max(final[p.Node], p.Version)
		}
	}
	for _, t := range r.Decisions {
		if t.RevokedTenant == "" {
			continue
		}
		until := time.Duration(1 << 62)
		for _, h := range r.Submissions {
			if h.BasedOn >= t.Version {
				until = min(until, h.At)
			}
		}
		for _, s := range r.Attempts {
			if s.Tenant == t.RevokedTenant && s.At > t.At+r.Limits.PropagationLimit && s.At < until {
				list = append(list, breach(8, "%s of %s ran %v after its keys were revoked", s.RequestID, s.Tenant, s.At-t.At))
				break
			}
		}
	}
	for _, node := range r.Nodes {
		if final[node] < last {
			list = append(list, breach(9, "node %s has version %d in force in the end, and %d was taken", node, final[node], last))
		}
	}
	return list
}

// leaving is rule 10.
func (r *Record) leaving() (list []Breach) {
	for _, l := range r.Leaving {
		for _, s := range r.Attempts {
			if s.Replica == l.Replica && s.At > l.At+r.Limits.PropagationLimit {
				list = append(list, breach(10, "replica %s got work %v after it said that it leaves", s.Replica, s.At-l.At))
				break
			}
		}
	}
	return list
}

// whole is rule 11: what came whole is exactly what one replica gave for it.
func (r *Record) completeAnswers() (list []Breach) {
	type answer struct {
		text   string
		tokens int64
	}
	made, overran := map[string]map[answer]bool{}, map[string]string{}
	for _, s := range r.Attempts {
		if made[s.RequestID] == nil {
			made[s.RequestID] = map[answer]bool{}
		}
		if s.OverLimit {
			overran[s.RequestID] = s.Text
		}
		made[s.RequestID][answer{s.Text, s.Tokens}] = true
	}
	for _, a := range r.Requests {
		if a.Kind == "turn" && a.Outcome == Whole && !made[a.ID][answer{a.Text, a.Tokens}] && (overran[a.ID] == "" || !strings.HasPrefix(overran[a.ID], a.Text)) {
			list = append(list, breach(11, "%s came whole with %q (%d tokens), which no replica gave", a.ID, a.Text, a.Tokens))
		}
	}
	return list
}

// Gap is the longest time in which no turn came whole.
func (r *Record) LongestGap() time.Duration {
	var ends []time.Duration
	for _, a := range r.Requests {
		if a.Kind == "turn" && a.Outcome == Whole {
			ends = append(ends, a.Ended)
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i] < ends[j] })
	var gap time.Duration
	for i := 1; i < len(ends); i++ {
		gap = max(gap, ends[i]-ends[i-1])
	}
	return gap
}

// Outages lists, for every conversation that was hindered, how long it took
// from its first turn that did not come whole to its next one that did.
func (r *Record) Outages() []time.Duration {
	turns := map[string][]Request{}
	for _, a := range r.Requests {
		if a.Kind == "turn" {
			turns[a.Program+"/"+a.Conversation] = append(turns[a.Program+"/"+a.Conversation], a)
		}
	}
	var list []time.Duration
	for _, key := range ordered.Keys(turns) {
		sort.SliceStable(turns[key], func(i, j int) bool { return turns[key][i].At < turns[key][j].At })
		since := time.Duration(-1)
		for _, a := range turns[key] {
			switch {
			case a.Outcome == Whole && since >= 0:
				list = append(list, a.Ended-since)
				since = -1
			case a.Outcome != Whole && since < 0 && a.Status != 409 && a.Status != 429:
				since = a.At
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
