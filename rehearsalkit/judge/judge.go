// Package judge checks a recorded run against the product's twelve rules. It uses only what
// requesters and back ends observed, never what the fleet reports about itself. Start
// reading at Record.Judge.
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
	for _, check := range []func() []Breach{
		r.programTokens, r.notRun, r.once, r.retention, r.histories, r.quotas, r.configurations, r.leaving,
		r.completeAnswers, r.tokenLimits, r.breakerTrips, r.sessionStarts,
	} {
		all = append(all, check()...)
	}
	return all
}

func breach(rule int, format string, args ...any) Breach {
	return Breach{Rule: rule, Detail: fmt.Sprintf(format, args...)}
}

// programTokens checks rule 1, a program's token budget, on received and on produced tokens.
func (r *Record) programTokens() (list []Breach) {
	produced, received := map[string]int64{}, map[string]int64{}
	for _, attempt := range r.Attempts {
		if attempt.Program != "" && !attempt.Tool {
			// Tokens beyond the attempt's limit are cut off by the node.
			produced[attempt.Program] += min(attempt.Tokens, attempt.MaxTokens)
			if attempt.Tokens > attempt.MaxTokens && !attempt.OverLimit {
				list = append(list, breach(1, "replica produced %d tokens for %s; the limit is %d",
					attempt.Tokens, attempt.RequestID, attempt.MaxTokens))
			}
		}
	}
	for _, request := range r.Requests {
		if request.Kind == "turn" {
			received[request.Program] += request.Tokens
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

// notRun checks rules 2 and 4, that a request refused as not run never reaches a back end, and
// rule 11, that a complete answer comes from one.
func (r *Record) notRun() (list []Breach) {
	reached := map[string]bool{}
	for _, attempt := range r.Attempts {
		reached[attempt.RequestID] = true
	}
	for _, request := range r.Requests {
		if request.Outcome == Refused && request.Ran == "no" && request.ID != "" && request.OnceKey == "" && reached[request.ID] {
			rule := 4
			if request.Code == "breaker_open" || request.Code == "program_tokens_spent" || request.Code == "tenant_day_tokens_spent" {
				rule = 2
			}
			list = append(list, breach(rule, "%s was refused as not run (%s), but it ran", request.ID, request.Code))
		}
		if request.Outcome == Whole && (request.Kind == "turn" || request.Kind == "tool") && !reached[request.ID] {
			list = append(list, breach(11, "%s was answered completely, but never reached a back end", request.ID))
		}
	}
	return list
}

// once checks rule 3, that a once-key (idempotency key) runs at most once, and rule 4 for
// once-keys: if all requests of a key were refused as not run, it never ran. An answered key that
// never ran violates rule 11.
func (r *Record) once() (list []Breach) {
	ran := map[string]int{}
	for _, attempt := range r.Attempts {
		if attempt.OnceKey != "" {
			ran[attempt.OnceKey]++
			if ran[attempt.OnceKey] == 2 {
				list = append(list, breach(3, "once-key %s ran twice", attempt.OnceKey))
			}
		}
	}
	total, refused := map[string]int{}, map[string]int{}
	for _, request := range r.Requests {
		if request.OnceKey == "" {
			continue
		}
		total[request.OnceKey]++
		if request.Outcome == Refused && request.Ran == "no" {
			refused[request.OnceKey]++
		}
		if request.Outcome == Whole && ran[request.OnceKey] == 0 {
			list = append(list, breach(11, "once-key %s was answered, but never ran", request.OnceKey))
		}
	}
	for _, k := range ordered.Keys(total) {
		if total[k] == refused[k] && ran[k] > 0 && r.InFlight[k] == 0 {
			list = append(list, breach(4, "once-key %s was always refused as not run, but it ran", k))
		}
	}
	return list
}

// retention checks rule 5: no program is reported as gone or unknown within its retention
// time after its last successful request.
func (r *Record) retention() (list []Breach) {
	last := map[string]time.Duration{}
	for _, request := range r.Requests {
		if request.Program == "" {
			continue
		}
		if request.Outcome == Whole {
			last[request.Program] = max(last[request.Program], request.At)
		}
	}
	for _, request := range r.Requests {
		if (request.Status == 410 || request.Status == 404) && request.Program != "" {
			if at, ok := last[request.Program]; ok && at < request.Ended && request.Ended < at+r.Limits.Retention {
				list = append(list, breach(5, "program %s was reported gone (%d %s) %v after its last complete answer",
					request.Program, request.Status, request.Code, request.Ended-at))
			}
		}
	}
	return list
}

// histories checks rule 6: a history sent to a replica extends the previous one of its
// conversation. It holds all complete turns of this conversation and none of another one, each
// once and in order. A complete turn has exactly the text that its requester received; a
// broken one comes from a replica and begins with that text.
func (r *Record) histories() (list []Breach) {
	type conversation struct{ program, name string }
	requests := map[string]Request{}
	whole := map[conversation][]Request{}
	for _, request := range r.Requests {
		if request.Kind != "turn" {
			continue
		}
		requests[request.ID] = request
		if request.Outcome == Whole {
			whole[conversation{request.Program, request.Conversation}] = append(whole[conversation{request.Program, request.Conversation}], request)
		}
	}
	produced := map[string][]Attempt{}
	byConversation := map[conversation][]Attempt{}
	for _, attempt := range r.Attempts {
		produced[attempt.RequestID] = append(produced[attempt.RequestID], attempt)
		if attempt.Program != "" && !attempt.Tool {
			byConversation[conversation{attempt.Program, attempt.Conversation}] = append(byConversation[conversation{attempt.Program, attempt.Conversation}], attempt)
		}
	}
	for _, attempt := range r.Attempts {
		if attempt.Program == "" || attempt.Tool {
			continue
		}
		own := requests[attempt.RequestID]
		if own.Tenant != attempt.Tenant || own.Program != attempt.Program || own.Conversation != attempt.Conversation {
			list = append(list, breach(6, "%s of %s/%s reached a replica as a request of %s/%s", attempt.RequestID, own.Tenant, own.Program, attempt.Tenant, attempt.Program))
		}
		in := map[string]bool{}
		before := time.Duration(-1)
		for _, turn := range attempt.History {
			request := requests[turn.Prompt]
			switch {
			case in[turn.Prompt]:
				list = append(list, breach(6, "history of %s contains the turn %s twice", attempt.RequestID, turn.Prompt))
			case request.Program != attempt.Program || request.Conversation != attempt.Conversation:
				list = append(list, breach(6, "history of %s contains a turn of another conversation, of program %s", attempt.RequestID, request.Program))
			case request.At < before:
				list = append(list, breach(6, "history of %s contains the turn %s out of order", attempt.RequestID, turn.Prompt))
			case request.Outcome == Whole && turn.Answer != request.Text:
				list = append(list, breach(6, "history of %s contains %q for the turn %s, whose requester received %q", attempt.RequestID, turn.Answer, turn.Prompt, request.Text))
			case !relayed(turn.Answer, request.Text, produced[turn.Prompt]):
				list = append(list, breach(6, "history of %s contains an answer for %s that no replica produced", attempt.RequestID, turn.Prompt))
			}
			in[turn.Prompt], before = true, request.At
		}
		for _, request := range whole[conversation{attempt.Program, attempt.Conversation}] {
			if request.Ended < own.At && !in[request.ID] {
				list = append(list, breach(6, "history of %s lacks the complete turn %s", attempt.RequestID, request.ID))
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

// relayed reports whether a turn begins with what the requester received and is what one
// replica produced, possibly cut off at the attempt's token limit.
func relayed(turn, received string, produced []Attempt) bool {
	for _, attempt := range produced {
		if strings.HasPrefix(turn, received) && (attempt.Text == turn || attempt.OverLimit && strings.HasPrefix(attempt.Text, turn)) {
			return true
		}
	}
	return false
}

func hasPrefix(history, with []Turn) bool {
	return len(history) >= len(with) && slices.Equal(history[:len(with)], with)
}

// quotas checks rule 7: a tenant's attempts stay within its rate and burst.
func (r *Record) quotas() (list []Breach) {
	times := map[string][]time.Duration{}
	for _, attempt := range r.Attempts {
		times[attempt.Tenant] = append(times[attempt.Tenant], attempt.At)
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
				list = append(list, breach(7, "tenant %s: %.1f attempts above the rate of %.1f a second at %v; the burst is %.0f",
					tenant, level, rate, t, r.Limits.Burst[tenant]))
				break
			}
		}
	}
	return list
}

const noEnd = time.Duration(1 << 62)

// configurations checks rule 8, that nodes apply accepted configurations in time and never
// go back, and rule 9, that refused ones are never in force and the last accepted one stays.
func (r *Record) configurations() (list []Breach) {
	accepted, refused := map[uint64]bool{}, map[uint64]bool{}
	last := uint64(0)
	for _, decision := range r.Decisions {
		if decision.Refused {
			refused[decision.Version] = true
		} else {
			accepted[decision.Version] = true
			last = max(last, decision.Version)
		}
	}
	probes := append([]Probe(nil), r.Probes...)
	sort.SliceStable(probes, func(i, j int) bool { return probes[i].At < probes[j].At })
	byNode := map[string][]Probe{}
	final := map[string]uint64{}
	for _, probe := range probes {
		for _, older := range byNode[probe.Node] {
			if older.Ended < probe.At && older.Version > probe.Version {
				list = append(list, breach(8, "node %s went back from version %d to %d", probe.Node, older.Version, probe.Version))
				break
			}
		}
		byNode[probe.Node] = append(byNode[probe.Node], probe)
		for _, decision := range r.Decisions {
			if !decision.Refused && probe.Version < decision.Version && probe.At > decision.At+r.Limits.PropagationLimit {
				list = append(list, breach(8, "node %s was at version %d %v after version %d was accepted",
					probe.Node, probe.Version, probe.At-decision.At, decision.Version))
			}
		}
		if refused[probe.Version] && !accepted[probe.Version] {
			list = append(list, breach(9, "node %s has the refused configuration %d in force", probe.Node, probe.Version))
		}
		if probe.Final {
			final[probe.Node] = max(final[probe.Node], probe.Version)
		}
	}
	for _, decision := range r.Decisions {
		if decision.RevokedTenant == "" {
			continue
		}
		until := noEnd
		for _, submission := range r.Submissions {
			if submission.BasedOn >= decision.Version {
				until = min(until, submission.At)
			}
		}
		for _, attempt := range r.Attempts {
			if attempt.Tenant == decision.RevokedTenant && attempt.At > decision.At+r.Limits.PropagationLimit && attempt.At < until {
				list = append(list, breach(8, "%s of %s ran %v after its keys were revoked", attempt.RequestID, attempt.Tenant, attempt.At-decision.At))
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
	for _, departure := range r.Leaving {
		for _, attempt := range r.Attempts {
			if attempt.Replica == departure.Replica && attempt.At > departure.At+r.Limits.PropagationLimit {
				list = append(list, breach(10, "replica %s got work %v after it announced that it leaves", attempt.Replica, attempt.At-departure.At))
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
	for _, attempt := range r.Attempts {
		if produced[attempt.RequestID] == nil {
			produced[attempt.RequestID] = map[answer]bool{}
		}
		if attempt.OverLimit {
			overLimit[attempt.RequestID] = attempt.Text
		}
		produced[attempt.RequestID][answer{attempt.Text, attempt.Tokens}] = true
	}
	for _, request := range r.Requests {
		if request.Kind == "turn" && request.Outcome == Whole && !produced[request.ID][answer{request.Text, request.Tokens}] &&
			(overLimit[request.ID] == "" || !strings.HasPrefix(overLimit[request.ID], request.Text)) {
			list = append(list, breach(11, "%s was answered completely with %q (%d tokens), which no replica produced",
				request.ID, request.Text, request.Tokens))
		}
	}
	return list
}

// LongestGap returns the longest time between the ends of two complete turns.
func (r *Record) LongestGap() time.Duration {
	var ends []time.Duration
	for _, request := range r.Requests {
		if request.Kind == "turn" && request.Outcome == Whole {
			ends = append(ends, request.Ended)
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i] < ends[j] })
	var gap time.Duration
	for i := 1; i < len(ends); i++ {
		gap = max(gap, ends[i]-ends[i-1])
	}
	return gap
}

// Outages returns, in ascending order, the times from the first incomplete turn of a
// conversation to the end of its next complete one. Conflicts and quota refusals (409 and
// 429) don't count as interruptions.
func (r *Record) Outages() []time.Duration {
	turns := map[string][]Request{}
	for _, request := range r.Requests {
		if request.Kind == "turn" {
			turns[request.Program+"/"+request.Conversation] = append(turns[request.Program+"/"+request.Conversation], request)
		}
	}
	var list []time.Duration
	for _, key := range ordered.Keys(turns) {
		sort.SliceStable(turns[key], func(i, j int) bool { return turns[key][i].At < turns[key][j].At })
		since := time.Duration(-1)
		for _, request := range turns[key] {
			switch {
			case request.Outcome == Whole && since >= 0:
				list = append(list, request.Ended-since)
				since = -1
			case request.Outcome != Whole && since < 0 && request.Status != 409 && request.Status != 429:
				since = request.At
			}
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}
