package judge

import (
	"sort"
	"time"

	"saffronfall/rule/ordered"
)

const (
	// tokensPerPrice is the number of tokens that a price is for.
	tokensPerPrice = 1e6
	// roundingDollars allows for rounding in sums of dollars.
	roundingDollars = 1e-6
)

// tokenLimits checks rule 2 on produced tokens: the limits of a tenant's day and of the
// breaker's minute, and that no attempt runs after its program's tokens were reported spent.
// The limits hold exactly because every turn reserves its tokens before it runs.
func (r *Record) tokenLimits() (list []Breach) {
	day := map[string]int64{}
	type spend struct {
		at      time.Duration
		dollars float64
	}
	var spends []spend
	for _, attempt := range r.Attempts {
		day[attempt.Tenant] += min(attempt.Tokens, max(attempt.MaxTokens, 0))
		spends = append(
			spends,
			spend{attempt.At, float64(min(attempt.Tokens, max(attempt.MaxTokens, 0))) * r.Limits.Price[attempt.Service] / tokensPerPrice},
		)
	}
	for _, tenant := range ordered.Keys(r.Limits.DayTokens) {
		if limit := r.Limits.DayTokens[tenant]; day[tenant] > limit {
			list = append(list, breach(2, "tenant %s used %d tokens in a day; its daily limit is %d", tenant, day[tenant], limit))
		}
	}
	sort.SliceStable(spends, func(i, j int) bool { return spends[i].at < spends[j].at })
	minute, first, sum := time.Duration(float64(time.Minute)*(1-r.Limits.ClockDrift)), 0, 0.0
	for _, s := range spends {
		sum += s.dollars
		for spends[first].at < s.at-minute {
			sum -= spends[first].dollars
			first++
		}
		if r.Limits.MinuteDollars > 0 && sum > r.Limits.MinuteDollars+roundingDollars {
			list = append(list, breach(2, "%.4f dollars were spent in one minute; the breaker's limit is %.4f", sum, r.Limits.MinuteDollars))
			break
		}
	}
	spent := map[string]time.Duration{}
	for _, request := range r.Requests {
		if request.Code == "program_tokens_spent" {
			if at, ok := spent[request.Program]; !ok || request.Ended < at {
				spent[request.Program] = request.Ended
			}
		}
	}
	requests := r.requestsByID()
	for _, attempt := range r.Attempts {
		if at, ok := spent[attempt.Program]; ok && !attempt.Tool && attempt.Program != "" && requests[attempt.RequestID].At > at {
			list = append(list, breach(2, "%s ran after its program was reported to have spent its tokens", attempt.RequestID))
		}
	}
	return list
}

func (r *Record) requestsByID() map[string]Request {
	requests := map[string]Request{}
	for _, request := range r.Requests {
		if request.ID != "" {
			requests[request.ID] = request
		}
	}
	return requests
}

// tripIntervals lists when the breaker was open: from the first such answer of a trip to the
// end that it announced.
func (r *Record) tripIntervals() (list [][2]time.Duration) {
	var refusals []Request
	for _, request := range r.Requests {
		if request.Code == "breaker_open" {
			refusals = append(refusals, request)
		}
	}
	sort.SliceStable(refusals, func(i, j int) bool { return refusals[i].Ended < refusals[j].Ended })
	for _, request := range refusals {
		n := len(list)
		if n > 0 && request.Ended < list[n-1][1]+r.Limits.PropagationLimit {
			continue
		}
		list = append(list, [2]time.Duration{request.Ended, request.Ended + request.RetryAfter})
	}
	return list
}

// breakerTrips checks rule 2: no attempt that costs tokens starts on any node during a trip,
// less PropagationLimit at both ends.
func (r *Record) breakerTrips() (list []Breach) {
	for _, trip := range r.tripIntervals() {
		for _, attempt := range r.Attempts {
			if attempt.MaxTokens > 0 && attempt.At > trip[0]+r.Limits.PropagationLimit && attempt.At < trip[1]-r.Limits.PropagationLimit {
				list = append(list, breach(2, "%s ran %v after the breaker was reported open", attempt.RequestID, attempt.At-trip[0]))
				break
			}
		}
	}
	return list
}

// LateAfterTrip returns the longest time after the first report of a trip at which a node
// still admitted an attempt that costs tokens.
func (r *Record) LateAfterTrip() (late time.Duration) {
	for _, trip := range r.tripIntervals() {
		for _, attempt := range r.Attempts {
			if attempt.MaxTokens > 0 && attempt.At > trip[0] && attempt.At < trip[1]-r.Limits.PropagationLimit {
				late = max(late, attempt.At-trip[0])
			}
		}
	}
	return late
}

// sessionStarts checks rule 12: no session is admitted during a lockout or beyond the limits
// per minute, of concurrency or of daily tokens. During a lockout a refusal announces its
// remaining time, unless an earlier check refuses.
func (r *Record) sessionStarts() (list []Breach) {
	type user struct{ tenant, user string }
	starts := map[user][]Request{}
	closes := map[string]time.Duration{}
	for _, request := range r.Requests {
		switch request.Kind {
		case "open":
			starts[user{request.Tenant, request.User}] = append(starts[user{request.Tenant, request.User}], request)
		case "close":
			if at, ok := closes[request.Program]; !ok || request.At < at {
				closes[request.Program] = request.At
			}
		}
	}
	userOf := map[string]user{}
	for u, requests := range starts {
		for _, request := range requests {
			if request.Outcome == Whole {
				userOf[request.Program] = u
			}
		}
	}
	// Complete turns certainly count towards a user's day from their end on.
	days := map[user][]Request{}
	for _, request := range r.Requests {
		if u, ok := userOf[request.Program]; ok && request.Kind == "turn" && request.Outcome == Whole {
			days[u] = append(days[u], request)
		}
	}
	shortest := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 - r.Limits.ClockDrift)) }
	for u, requests := range starts {
		limits, ok := r.Limits.Users[u.tenant]
		if !ok {
			continue
		}
		sort.SliceStable(requests, func(i, j int) bool { return requests[i].Ended < requests[j].Ended })
		name := u.tenant + "/" + u.user
		lockedFrom, lockedUntil := time.Duration(-1), time.Duration(-1)
		for _, request := range requests {
			inLockout := lockedFrom >= 0 && request.At > lockedFrom && request.Ended < lockedUntil
			switch request.Code {
			case "locked_out", "sessions_per_minute":
				if request.RetryAfter > limits.Lockout {
					list = append(list, breach(12, "%s was told of a lockout of %v; the limit is %v", name, request.RetryAfter, limits.Lockout))
				}
				if request.Code == "sessions_per_minute" && inLockout {
					list = append(list, breach(12, "%s was refused for sessions per minute during a lockout", name))
				}
				// The wait starts after the request was sent, on a clock that may run fast.
				if inLockout && request.Ended+request.RetryAfter < lockedUntil {
					list = append(list, breach(12, "%s was told to wait %v during a lockout that lasts %v longer",
						name, request.RetryAfter, lockedUntil-request.Ended))
				}
				if until := request.At + shortest(request.RetryAfter); until > lockedUntil {
					if lockedUntil < request.At {
						lockedFrom = request.Ended
					}
					lockedUntil = until
				}
			case "sessions_per_hour", "sessions_per_day", "concurrent_sessions", "user_day_tokens_spent", "tenant_day_tokens_spent":
				if inLockout {
					list = append(list, breach(12, "%s was refused with %s during a lockout", name, request.Code))
				}
			}
			if request.Outcome != Whole {
				continue
			}
			if inLockout {
				list = append(list, breach(12, "a session of %s was admitted during a lockout", name))
			}
			var minute, live, tokens int64
			for _, other := range requests {
				if other.Outcome != Whole || other.Ended > request.At {
					continue
				}
				if other.At > request.Ended-shortest(time.Minute) {
					minute++
				}
				if at, closed := closes[other.Program]; other.At > request.Ended-shortest(limits.Session) && (!closed || at > request.Ended) {
					live++
				}
			}
			for _, other := range days[u] {
				if other.Ended < request.At {
					tokens += other.Tokens
				}
			}
			switch {
			case minute >= limits.PerMinute:
				list = append(list, breach(12, "a session of %s was admitted after %d in the same minute; the limit is %d", name, minute, limits.PerMinute))
			case live >= limits.Concurrent:
				list = append(list, breach(12, "a session of %s was admitted beside %d live sessions; the limit is %d", name, live, limits.Concurrent))
			case tokens >= limits.DayTokens:
				list = append(list, breach(12, "a session of %s was admitted after %d tokens in the day; the limit is %d", name, tokens, limits.DayTokens))
			}
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Detail < list[j].Detail })
	return list
}

const restartWindow = 12 * time.Second

// Situations counts how often the run reached the situation of each rule. A rule with a
// count of 0 was not exercised.
func (r *Record) Situations() map[string]int {
	counts := map[string]int{
		"1 allowances of programs reached": 0, "2 breaker open": 0, "2 breaker half-open": 0, "2 tenants' days spent": 0,
		"3 once answers lost": 0, "4 refused as not run": 0, "5 asked within 12 s of a restart": 0, "6 shots with a history": 0,
		"7 quota reached": 0, "8 configurations taken": 0, "9 configurations refused": 0, "10 replicas leaving": 0,
		"11 broken streams": 0, "12 lockouts": 0, "12 concurrency reached": 0, "12 users' days spent": 0,
	}
	for _, request := range r.Requests {
		switch request.Code {
		case "program_tokens_spent":
			counts["1 allowances of programs reached"]++
		case "breaker_open":
			counts["2 breaker open"]++
		case "breaker_half_open":
			counts["2 breaker half-open"]++
		case "tenant_day_tokens_spent":
			counts["2 tenants' days spent"]++
		case "too_many":
			counts["7 quota reached"]++
		case "locked_out":
			counts["12 lockouts"]++
		case "concurrent_sessions":
			counts["12 concurrency reached"]++
		case "user_day_tokens_spent":
			counts["12 users' days spent"]++
		}
		if request.OnceKey != "" && request.Ran == "maybe" {
			counts["3 once answers lost"]++
		}
		if request.Outcome == Refused && request.Ran == "no" {
			counts["4 refused as not run"]++
		}
		if request.Outcome == Broken && request.Kind == "turn" {
			counts["11 broken streams"]++
		}
		if request.Kind == "turn" {
			for _, restart := range r.Restarts {
				if request.At >= restart.At && request.At < restart.At+restartWindow {
					counts["5 asked within 12 s of a restart"]++
					break
				}
			}
		}
	}
	for _, attempt := range r.Attempts {
		if len(attempt.History) > 0 {
			counts["6 shots with a history"]++
		}
	}
	for _, decision := range r.Decisions {
		if decision.Refused {
			counts["9 configurations refused"]++
		} else {
			counts["8 configurations taken"]++
		}
	}
	counts["10 replicas leaving"] = len(r.Leaving)
	return counts
}
