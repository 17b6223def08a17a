package judge

import (
	"sort"
	"time"

	"saffronfall/rule/ordered"
)

// allowances is rule 2 by the judge's own books, from what back ends made: no
// tenant's day and no minute of the breaker passes its whole, as every turn was
// drawn from shares before it ran; and nothing runs of a program whose
// requesters were told that its allowance is spent.
func (r *Record) tokenLimits() (list []Breach) {
	day := map[string]int64{}
	type spend struct {
		at      time.Duration
		dollars float64
	}
	var spends []spend
	for _, s := range r.Attempts {
		day[s.Tenant] += min(s.Tokens, max(s.MaxTokens, 0))
		spends = append(spends, spend{s.At, float64(min(s.Tokens, max(s.MaxTokens, 0))) * r.Limits.Price[s.Service] / 1e6})
	}
	for _, tenant := range ordered.Keys(r.Limits.DayTokens) {
		if most := r.Limits.DayTokens[tenant]; day[tenant] > most {
			list = append(list, breach(2, "tenant %s got %d tokens of its day's %d", tenant, day[tenant], most))
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
		if r.Limits.MinuteDollars > 0 && sum > r.Limits.MinuteDollars+1e-6 {
			list = append(list, breach(2, "%.4f dollars were spent in a minute, of %.4f", sum, r.Limits.MinuteDollars))
			break
		}
	}
	spent := map[string]time.Duration{}
	for _, a := range r.Requests {
		if a.Code == "program_tokens_spent" {
			if at, ok := spent[a.Program]; !ok || a.Ended < at {
				spent[a.Program] = a.Ended
			}
		}
	}
	asked := r.requestsByID()
	for _, s := range r.Attempts {
		if at, ok := spent[s.Program]; ok && !s.Tool && s.Program != "" && asked[s.RequestID].At > at {
			list = append(list, breach(2, "%s ran after its program's allowance was told to be spent", s.RequestID))
		}
	}
	return list
}

func (r *Record) requestsByID() map[string]Request {
	asked := map[string]Request{}
	for _, a := range r.Requests {
		if a.ID != "" {
			asked[a.ID] = a
		}
	}
	return asked
}

// trips are the times during which requesters were told that the breaker is
// open: from the first word of it to the earliest end that was told.
func (r *Record) tripIntervals() (list [][2]time.Duration) {
	var told []Request
	for _, a := range r.Requests {
		if a.Code == "breaker_open" {
			told = append(told, a)
		}
	}
	sort.SliceStable(told, func(i, j int) bool { return told[i].Ended < told[j].Ended })
	for _, a := range told {
		n := len(list)
		if n > 0 && a.Ended < list[n-1][1]+r.Limits.PropagationLimit {
			continue
		}
		list = append(list, [2]time.Duration{a.Ended, a.Ended + a.RetryAfter})
	}
	return list
}

// tripped is rule 2 for the breaker: from Late after the first word of a trip to
// Late before the end that was told, nothing that spends begins anywhere.
func (r *Record) breakerTrips() (list []Breach) {
	for _, t := range r.tripIntervals() {
		for _, s := range r.Attempts {
			if s.MaxTokens > 0 && s.At > t[0]+r.Limits.PropagationLimit && s.At < t[1]-r.Limits.PropagationLimit {
				list = append(list, breach(2, "%s ran %v after the breaker was told to be open", s.RequestID, s.At-t[0]))
				break
			}
		}
	}
	return list
}

// LateAfterTrip is the longest time after the first word of a trip at which
// another node still gated something that spends.
func (r *Record) LateAfterTrip() (late time.Duration) {
	for _, t := range r.tripIntervals() {
		for _, s := range r.Attempts {
			if s.MaxTokens > 0 && s.At > t[0] && s.At < t[1]-r.Limits.PropagationLimit {
				late = max(late, s.At-t[0])
			}
		}
	}
	return late
}

// starts is rule 12: from a lockout on, a user's session starts get it or an
// earlier check, at every node, with what remains of it; and none is gated
// that the windows, concurrency or the day must have refused.
func (r *Record) sessionStarts() (list []Breach) {
	type user struct{ tenant, user string }
	starts := map[user][]Request{}
	closes := map[string]time.Duration{}
	for _, a := range r.Requests {
		switch a.Kind {
		case "open":
			starts[user{a.Tenant, a.User}] = append(starts[user{a.Tenant, a.User}], a)
		case "close":
			if at, ok := closes[a.Program]; !ok || a.At < at {
				closes[a.Program] = a.At
			}
		}
	}
	owner := map[string]user{}
	for u, asked := range starts {
		for _, a := range asked {
			if a.Outcome == Whole {
				owner[a.Program] = u
			}
		}
	}
	// What a user's day surely holds: turns that came whole, from their end on.
	days := map[user][]Request{}
	for _, a := range r.Requests {
		if u, ok := owner[a.Program]; ok && a.Kind == "turn" && a.Outcome == Whole {
			days[u] = append(days[u], a)
		}
	}
	short := func(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 - r.Limits.ClockDrift)) }
	for u, asked := range starts {
		limits, ok := r.Limits.Users[u.tenant]
		if !ok {
			continue
		}
		sort.SliceStable(asked, func(i, j int) bool { return asked[i].Ended < asked[j].Ended })
		name := u.tenant + "/" + u.user
		lockedFrom, lockedTill := time.Duration(-1), time.Duration(-1)
		for _, a := range asked {
			inLockout := lockedFrom >= 0 && a.At > lockedFrom && a.Ended < lockedTill
			switch a.Code {
			case "locked_out", "sessions_per_minute":
				if a.RetryAfter > limits.Lockout {
					list = append(list, breach(12, "%s was told to be locked out for %v, and a lockout is %v", name, a.RetryAfter, limits.Lockout))
				}
				if a.Code == "sessions_per_minute" && inLockout {
					list = append(list, breach(12, "%s was told of the minute's window within a lockout", name))
				}
				// A wait counts by a clock that may be fast, from a moment after the
				// inquiry was sent.
				if inLockout && a.Ended+a.RetryAfter < lockedTill {
					list = append(list, breach(12, "%s was told %v of a lockout that lasts %v longer", name, a.RetryAfter, lockedTill-a.Ended))
				}
				if till := a.At + short(a.RetryAfter); till > lockedTill {
					if lockedTill < a.At {
						lockedFrom = a.Ended
					}
					lockedTill = till
				}
			case "sessions_per_hour", "sessions_per_day", "concurrent_sessions", "user_day_tokens_spent", "tenant_day_tokens_spent":
				if inLockout {
					list = append(list, breach(12, "%s got %s within a lockout", name, a.Code))
				}
			}
			if a.Outcome != Whole {
				continue
			}
			if inLockout {
				list = append(list, breach(12, "a session of %s was gated within a lockout", name))
			}
			var minute, live, tokens int64
			for _, b := range asked {
				if b.Outcome != Whole || b.Ended > a.At {
					continue
				}
				if b.At > a.Ended-short(time.Minute) {
					minute++
				}
				if at, closed := closes[b.Program]; b.At > a.Ended-short(limits.Session) && (!closed || at > a.Ended) {
					live++
				}
			}
			for _, b := range days[u] {
				if b.Ended < a.At {
					tokens += b.Tokens
				}
			}
			switch {
			case minute >= limits.PerMinute:
				list = append(list, breach(12, "a session of %s was gated after %d in the minute, of %d", name, minute, limits.PerMinute))
			case live >= limits.Concurrent:
				list = append(list, breach(12, "a session of %s was gated beside %d, of %d", name, live, limits.Concurrent))
			case tokens >= limits.DayTokens:
				list = append(list, breach(12, "a session of %s was gated after %d tokens of the day, of %d", name, tokens, limits.DayTokens))
			}
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Detail < list[j].Detail })
	return list
}

// Situations counts how often the situation of each rule came about: a rule
// whose situation never did was not tried.
func (r *Record) Situations() map[string]int {
	counts := map[string]int{"1 allowances of programs reached": 0, "2 breaker open": 0, "2 breaker half-open": 0, "2 tenants' days spent": 0, "3 once answers lost": 0,
		"4 refused as not run": 0, "5 asked within 12 s of a restart": 0, "6 shots with a history": 0, "7 quota reached": 0, "8 configurations taken": 0,
		"9 configurations refused": 0, "10 replicas leaving": 0, "11 broken streams": 0, "12 lockouts": 0, "12 concurrency reached": 0, "12 users' days spent": 0}
	for _, a := range r.Requests {
		switch a.Code {
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
		if a.OnceKey != "" && a.Ran == "maybe" {
			counts["3 once answers lost"]++
		}
		if a.Outcome == Refused && a.Ran == "no" {
			counts["4 refused as not run"]++
		}
		if a.Outcome == Broken && a.Kind == "turn" {
			counts["11 broken streams"]++
		}
		if a.Kind == "turn" {
			for _, s := range r.Restarts {
				if a.At >= s.At && a.At < s.At+12*time.Second {
					counts["5 asked within 12 s of a restart"]++
					break
				}
			}
		}
	}
	for _, s := range r.Attempts {
		if len(s.History) > 0 {
			counts["6 shots with a history"]++
		}
	}
	for _, t := range r.Decisions {
		if t.Refused {
			counts["9 configurations refused"]++
		} else {
			counts["8 configurations taken"]++
		}
	}
	counts["10 replicas leaving"] = len(r.Leaving)
	return counts
}
