// Package judge checks a recorded run against the twelve rules that the product keeps. It
// relies only on what requesters and back ends observed, never on what the fleet reports
// about itself. Record describes the observations; start reading at Record.Judge.
package judge

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"saffronfall/rule/ordered"
)

// Outcomes of a request, as its requester saw them.
const (
	// Whole is a complete answer.
	Whole = "whole"
	// Broken is an answer whose stream ended early.
	Broken = "broken"
	// Refused is an error response.
	Refused = "refused"
	// Silent is no answer at all.
	Silent = "silent"
)

// Judge returns the breaches found in a run.
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

// programTokens checks rule 1, the token budget of a program, against what requesters
// received and against what replicas produced.
func (r *Record) programTokens() (list []Breach) {
	produced, received := map[string]int64{}, map[string]int64{}
	for _, s := range r.Attempts {
		if s.Program != "" && !s.Tool {
			// Tokens beyond the attempt's limit are cut off by the node.
			produced[s.Program] += min(s.Tokens, s.MaxTokens)
			if s.Tokens > s.MaxTokens && !s.OverLimit {
				list = append(list, breach(1, "replica produced %d tokens for %s; the limit is %d", s.Tokens, s.RequestID, s.MaxTokens))
			}
		}
	}
	for _, a := range r.Requests {
		if a.Kind == "turn" {
			received[a.Program] += a.Tokens
		}
	}
	limit := r.Limits.ProgramTokens + r.Limits.TurnTokens
	for _, side := range []map[string]int64{produced, received} {
		for _, p := range ordered.Keys(side) {
			if side[p] > limit {
				list = append(list, breach(1, "program %s used %d tokens; the limit is %d", p, side[p], limit))
			}
		}
	}
	return list
}

// notRun checks rules 2 and 4: a request refused as not run never reaches a back end,
// before or after the refusal.
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
			list = append(list, breach(rule, "%s was refused as not run (%s), but it ran", a.ID, a.Code))
		}
		if a.Outcome == Whole && (a.Kind == "turn" || a.Kind == "tool") && !reached[a.ID] {
			list = append(list, breach(11, "%s was answered completely, but never reached a back end", a.ID))
		}
	}
	return list
}

// once checks rule 3, that an idempotency key (once-key) runs at most once, and rule 4 for
// such keys: a key all of whose requests were refused as not run never ran.
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
	total, refused := map[string]int{}, map[string]int{}
	for _, a := range r.Requests {
		if a.OnceKey == "" {
			continue
		}
		total[a.OnceKey]++
		if a.Outcome == Refused && a.Ran == "no" {
			refused[a.OnceKey]++
		}
		if a.Outcome == Whole && ran[a.OnceKey] == 0 {
			list = append(list, breach(11, "once-key %s was answered, but never ran", a.OnceKey))
		}
	}
	for _, k := range ordered.Keys(total) {
		if total[k] == refused[k] && ran[k] > 0 {
			list = append(list, breach(4, "once-key %s was always refused as not run, but it ran", k))
		}
	}
	return list
}

// retention checks rule 5: a program is not reported as gone or unknown before its
// retention time after its last successful request has passed.
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
				list = append(list, breach(5, "program %s was reported gone (%d %s) %v after its last complete answer", a.Program, a.Status, a.Code, a.Ended-at))
			}
		}
	}
	return list
}

// histories checks rule 6: every history sent to a replica holds turns of its own
// conversation only, each once and in order. A complete turn has exactly the text that its
// requester received; the text of a broken turn comes from a replica and begins with what
// the requester received. No turn that was complete before is missing, and every history
// extends the previous one of its conversation.
func (r *Record) histories() (list []Breach) {
	type conversation struct{ program, name string }
	requests := map[string]Request{}
	whole := map[conversation][]Request{}
	for _, a := range r.Requests {
		if a.Kind != "turn" {
			continue
		}
		requests[a.ID] = a
		if a.Outcome == Whole {
			whole[conversation{a.Program, a.Conversation}] = append(whole[conversation{a.Program, a.Conversation}], a)
		}
	}
	produced := map[string][]Attempt{}
	byConversation := map[conversation][]Attempt{}
	for _, s := range r.Attempts {
		produced[s.RequestID] = append(produced[s.RequestID], s)
		if s.Program != "" && !s.Tool {
			byConversation[conversation{s.Program, s.Conversation}] = append(byConversation[conversation{s.Program, s.Conversation}], s)
		}
	}
	for _, s := range r.Attempts {
		if s.Program == "" || s.Tool {
			continue
		}
		own := requests[s.RequestID]
		if own.Tenant != s.Tenant || own.Program != s.Program || own.Conversation != s.Conversation {
			list = append(list, breach(6, "%s of %s/%s reached a replica as a request of %s/%s", s.RequestID, own.Tenant, own.Program, s.Tenant, s.Program))
		}
		in := map[string]bool{}
		before := time.Duration(-1)
		for _, t := range s.History {
			a := requests[t.Prompt]
			switch {
			case in[t.Prompt]:
				list = append(list, breach(6, "history of %s contains the turn %s twice", s.RequestID, t.Prompt))
			case a.Program != s.Program || a.Conversation != s.Conversation:
				list = append(list, breach(6, "history of %s contains a turn of another conversation, of program %s", s.RequestID, a.Program))
			case a.At < before:
				list = append(list, breach(6, "history of %s contains the turn %s out of order", s.RequestID, t.Prompt))
			case a.Outcome == Whole && t.Answer != a.Text:
				list = append(list, breach(6, "history of %s contains %q for the turn %s, whose requester received %q", s.RequestID, t.Answer, t.Prompt, a.Text))
			case !relayed(t.Answer, a.Text, produced[t.Prompt]):
				list = append(list, breach(6, "history of %s contains an answer for %s that no replica produced", s.RequestID, t.Prompt))
			}
			in[t.Prompt], before = true, a.At
		}
		for _, a := range whole[conversation{s.Program, s.Conversation}] {
			if a.Ended < own.At && !in[a.ID] {
				list = append(list, breach(6, "history of %s lacks the complete turn %s", s.RequestID, a.ID))
			}
		}
	}
	for _, attempts := range byConversation {
		sort.SliceStable(attempts, func(i, j int) bool { return attempts[i].At < attempts[j].At })
		for i := 1; i < len(attempts); i++ {
			if !hasPrefix(attempts[i].History, attempts[i-1].History) {
				list = append(list, breach(6, "history of %s does not extend that of %s", attempts[i].RequestID, attempts[i-1].RequestID))
			}
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Detail < list[j].Detail })
	return list
}

// relayed reports whether a turn of a history begins with what the requester received and
// is what one replica produced, cut off at the attempt's token limit where it exceeded it.
func relayed(turn, received string, produced []Attempt) bool {
	for _, s := range produced {
		if strings.HasPrefix(turn, received) && (s.Text == turn || s.OverLimit && strings.HasPrefix(s.Text, turn)) {
			return true
		}
	}
	return false
}

// hasPrefix reports whether a history begins with another one.
func hasPrefix(history, with []Turn) bool {
	return len(history) >= len(with) && slices.Equal(history[:len(with)], with)
}

// quotas checks rule 7: a tenant's attempts stay within its rate and burst in every window.
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
		// level is the content of a leaky bucket that drains at the tenant's rate.
		level, before := 0.0, time.Duration(0)
		for _, t := range at {
			level = max(0, level-rate*(t-before).Seconds()) + 1
			before = t
			if level > r.Limits.Burst[tenant]+1 {
				list = append(list, breach(7, "tenant %s: %.1f attempts above the rate of %.1f a second at %v; the burst is %.0f", tenant, level, rate, t, r.Limits.Burst[tenant]))
				break
			}
		}
	}
	return list
}

// configurations checks rule 8, that nodes apply an accepted configuration in time and
// never return to an older one, and rule 9, that a refused one is never in force and that
// all nodes end with the last accepted one.
func (r *Record) configurations() (list []Breach) {
	accepted := map[uint64]bool{}
	refused := map[uint64]bool{}
	last := uint64(0)
	for _, t := range r.Decisions {
		if t.Refused {
			refused[t.Version] = true
		} else {
			accepted[t.Version] = true
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
				list = append(list, breach(8, "node %s went back from version %d to %d", p.Node, older.Version, p.Version))
				break
			}
		}
		byNode[p.Node] = append(byNode[p.Node], p)
		for _, t := range r.Decisions {
			if !t.Refused && p.Version < t.Version && p.At > t.At+r.Limits.PropagationLimit {
				list = append(list, breach(8, "node %s was at version %d %v after version %d was accepted", p.Node, p.Version, p.At-t.At, t.Version))
			}
		}
		if refused[p.Version] && !accepted[p.Version] {
			list = append(list, breach(9, "node %s has the refused configuration %d in force", p.Node, p.Version))
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
			list = append(list, breach(9, "node %s ends with version %d in force, but version %d was accepted", node, final[node], last))
		}
	}
	return list
}

// leaving checks rule 10: a replica gets no work after it announced that it leaves.
func (r *Record) leaving() (list []Breach) {
	for _, l := range r.Leaving {
		for _, s := range r.Attempts {
			if s.Replica == l.Replica && s.At > l.At+r.Limits.PropagationLimit {
				list = append(list, breach(10, "replica %s got work %v after it announced that it leaves", s.Replica, s.At-l.At))
				break
			}
		}
	}
	return list
}

// completeAnswers checks rule 11: a complete answer is exactly what one replica produced,
// or the beginning of an answer that exceeded its token limit.
func (r *Record) completeAnswers() (list []Breach) {
	type answer struct {
		text   string
		tokens int64
	}
	produced, overLimit := map[string]map[answer]bool{}, map[string]string{}
	for _, s := range r.Attempts {
		if produced[s.RequestID] == nil {
			produced[s.RequestID] = map[answer]bool{}
		}
		if s.OverLimit {
			overLimit[s.RequestID] = s.Text
		}
		produced[s.RequestID][answer{s.Text, s.Tokens}] = true
	}
	for _, a := range r.Requests {
		if a.Kind == "turn" && a.Outcome == Whole && !produced[a.ID][answer{a.Text, a.Tokens}] && (overLimit[a.ID] == "" || !strings.HasPrefix(overLimit[a.ID], a.Text)) {
			list = append(list, breach(11, "%s was answered completely with %q (%d tokens), which no replica produced", a.ID, a.Text, a.Tokens))
		}
	}
	return list
}

// LongestGap returns the longest time between the ends of two complete turns.
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

// Outages returns, in ascending order, how long interrupted conversations took from the
// first turn that was not complete to the end of the next complete one. Conflicts and quota
// refusals (409 and 429) don't count as interruptions.
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
