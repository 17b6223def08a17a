package program

import (
	"time"

	"saffronfall/rule/allowance"
	"saffronfall/rule/configuration"
	"saffronfall/rule/verdict"
)

// Session is a program that counts towards a user's limits. Charged is in tokens.
type Session struct {
	ExpiresAt time.Duration `msgpack:"u"`
	Charged   int64         `msgpack:"c"`
	Closed    bool          `msgpack:"d"`
	// Precharged is the total, in tokens, that the program may spend before its next report.
	Precharged int64 `msgpack:"v"`
}

// OpenResult is the result of an attempt to open a session, kept to answer a repeated message.
type OpenResult struct {
	Program string          `msgpack:"p"`
	Verdict verdict.Verdict `msgpack:"v"`
}

// User is a user's durable state. Minute, Hour and Day count session starts, Tokens the output of a
// day.
type User struct {
	Minute      allowance.Window   `msgpack:"m"`
	Hour        allowance.Window   `msgpack:"h"`
	Day         allowance.Window   `msgpack:"d"`
	LockedUntil time.Duration      `msgpack:"l"`
	Sessions    map[string]Session `msgpack:"s"`
	Tokens      allowance.Window   `msgpack:"t"`
	RecentOpens []OpenResult       `msgpack:"r"`
}

const day = 24 * time.Hour

// NewUser returns the state of a user without any activity.
func NewUser() User {
	return User{Minute: allowance.Window{Width: time.Minute}, Hour: allowance.Window{Width: time.Hour},
		Day: allowance.Window{Width: day}, Tokens: allowance.Window{Width: day}}
}

const maxRecentOpens = 8

// OpenSession checks lockout, the three windows, concurrency and the day's tokens, in this order. A
// start that passed the windows counts in them even if a later check refuses it.
func (u *User) OpenSession(clock time.Duration, program string, role configuration.Role, warnRatio float64) verdict.Verdict {
	for _, open := range u.RecentOpens {
		if open.Program == program {
			return open.Verdict
		}
	}
	v := u.startSession(clock, program, role, warnRatio)
	u.RecentOpens = append(u.RecentOpens, OpenResult{Program: program, Verdict: v})
	if n := len(u.RecentOpens); n > maxRecentOpens {
		u.RecentOpens = append([]OpenResult(nil), u.RecentOpens[n-maxRecentOpens:]...)
	}
	return v
}

func (u *User) startSession(clock time.Duration, program string, role configuration.Role, warnRatio float64) verdict.Verdict {
	if clock < u.LockedUntil {
		return refuse("lockout", "locked_out", "the user is locked out", 429, u.LockedUntil-clock)
	}
	windows := []struct {
		name   string
		window *allowance.Window
		limit  int64
	}{{"minute", &u.Minute, role.SessionsPerMinute}, {"hour", &u.Hour, role.SessionsPerHour}, {"day", &u.Day, role.SessionsPerDay}}
	for i, w := range windows {
		wait := w.window.WaitTime(clock, 1, w.limit)
		if wait <= 0 {
			continue
		}
		if i == 0 {
			lockout := time.Duration(role.LockoutSeconds) * time.Second
			u.LockedUntil = clock + lockout
			return refuse("window_minute", "sessions_per_minute", "too many sessions in a minute; the user is locked out", 429, lockout)
		}
		return refuse("window_"+w.name, "sessions_per_"+w.name, "too many sessions in the "+w.name, 429, wait)
	}
	for _, w := range windows {
		w.window.Add(clock, 1)
	}
	var live int64
	soonest := time.Duration(role.SessionSeconds) * time.Second
	for id, s := range u.Sessions {
		switch {
		case clock >= s.ExpiresAt+day:
			delete(u.Sessions, id)
		case !s.Closed && clock < s.ExpiresAt:
			live++
			soonest = min(soonest, s.ExpiresAt-clock)
		}
	}
	if live >= role.ConcurrentSessions {
		return refuse("concurrency", "concurrent_sessions", "the user has as many sessions open as the role may", 429, soonest)
	}
	spent := u.dayTokens(clock)
	if spent >= role.UserDayTokensHard {
		return refuse("day_tokens", "user_day_tokens_spent", "the user's day is spent", 429, u.Tokens.WaitTime(clock, 1, role.UserDayTokensHard))
	}
	if u.Sessions == nil {
		u.Sessions = map[string]Session{}
	}
	u.Sessions[program] = Session{
		ExpiresAt:  clock + time.Duration(role.SessionSeconds)*time.Second,
		Precharged: PrechargeTarget(role, 0),
	}
	var warnings []verdict.Warning
	if spent >= role.UserDayTokensSoft {
		warnings = append(warnings, verdict.Warning{Scope: "user_day_tokens", Used: spent, Limit: role.UserDayTokensHard})
	}
	for _, w := range windows {
		warnings = appendWarning(warnings, "sessions_per_"+w.name, w.window.Sum(clock), w.limit, warnRatio)
	}
	return verdict.Allowed(verdict.NotExecuted, warnings)
}

// dayTokens includes the tokens that open sessions may spend before their next reports.
func (u *User) dayTokens(clock time.Duration) int64 {
	spent := u.Tokens.Sum(clock)
	for _, s := range u.Sessions {
		if !s.Closed && clock < s.ExpiresAt+u.Minute.Width {
			spent += max(0, s.Precharged-s.Charged)
		}
	}
	return spent
}

// ChargeSession raises a program's totals, in tokens, and returns the tokens charged to the user in
// the last day. Lower totals change nothing, so a repeated or delayed report has no effect.
func (u *User) ChargeSession(clock time.Duration, program string, charged, precharged int64) int64 {
	s := u.Sessions[program]
	if charged > s.Charged || precharged > s.Precharged {
		u.Tokens.Add(clock, max(0, charged-s.Charged))
		s.Charged, s.Precharged = max(charged, s.Charged), max(precharged, s.Precharged)
		if u.Sessions == nil {
			u.Sessions = map[string]Session{}
		}
		u.Sessions[program] = s
	}
	return u.Tokens.Sum(clock)
}

// CloseSession closes a session, so that it no longer counts as concurrent.
func (u *User) CloseSession(program string) {
	if s, ok := u.Sessions[program]; ok {
		s.Closed = true
		u.Sessions[program] = s
	}
}
