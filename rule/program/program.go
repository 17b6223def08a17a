// Package program holds the rules of a program: a root conversation and its helper conversations,
// with their limits, token budget and hash-chained history.
//
// One node, the owner, runs a program under a fencing token that grows with each change of owner. A
// turn is charged its full reservation unless it finished or certainly did not run. Start reading
// at Record, and at User for the limits across programs.
package program

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"saffronfall/rule/allowance"
	"saffronfall/rule/configuration"
	"saffronfall/rule/ordered"
	"saffronfall/rule/verdict"
)

// Conversation is the state of a root or helper conversation. Head is the hash of its history.
type Conversation struct {
	Head  string `msgpack:"h"`
	Turns int    `msgpack:"t"`
}

// Reservation is the maximum output, in tokens, of a running turn.
type Reservation struct {
	Conversation string `msgpack:"l"`
	Tokens       int64  `msgpack:"t"`
}

// ToolUsage counts the calls of one tool; Identical is by the digest of their arguments. Errors
// counts consecutive errors.
type ToolUsage struct {
	Calls         int64            `msgpack:"c"`
	Identical     map[string]int64 `msgpack:"s"`
	Minute        allowance.Window `msgpack:"m"`
	Hour          allowance.Window `msgpack:"h"`
	Running       int64            `msgpack:"r"`
	Errors        int64            `msgpack:"e"`
	CooldownUntil time.Duration    `msgpack:"u"`
}

// Record is a program's durable state, which only the owner under the current fencing token, Fence,
// changes. Node, Incarnation and Address are the owner's. Version grows with each change. Times are
// on the partition's clock. Steps counts turns, Bytes is the size of the history, Spent the output
// of ended turns in tokens. ProbeNumber is zero unless the program is a probe of the breaker;
// ProbeSucceeded means that it has reported a successful turn.
type Record struct {
	ID             string                  `msgpack:"i"`
	Tenant         string                  `msgpack:"t"`
	User           string                  `msgpack:"u"`
	Role           string                  `msgpack:"r"`
	Node           string                  `msgpack:"n"`
	Incarnation    string                  `msgpack:"a"`
	Address        string                  `msgpack:"d"`
	Fence          uint64                  `msgpack:"f"`
	Version        uint64                  `msgpack:"v"`
	OpenedAt       time.Duration           `msgpack:"o"`
	LastActive     time.Duration           `msgpack:"z"`
	Retention      time.Duration           `msgpack:"e"`
	Closed         bool                    `msgpack:"c"`
	Steps          int64                   `msgpack:"s"`
	Spent          int64                   `msgpack:"p"`
	Bytes          int64                   `msgpack:"b"`
	ProbeNumber    int                     `msgpack:"x"`
	ProbeSucceeded bool                    `msgpack:"y"`
	Conversations  map[string]Conversation `msgpack:"l"`
	Running        map[string]Reservation  `msgpack:"q"`
	ToolCalls      int64                   `msgpack:"k"`
	Tools          map[string]ToolUsage    `msgpack:"w"`
	// Precharged is the total, in tokens, up to which the owner may run turns while it can't
	// reach the cores, which store records. It is charged in advance. Mirrors, chosen under
	// MirrorsFence, then store those turns.
	Precharged   int64    `msgpack:"g"`
	Mirrors      []Mirror `msgpack:"m"`
	MirrorsFence uint64   `msgpack:"j"`
}

// Mirror is a node process that stores copies of turns for a program's owner. Process is its
// incarnation without the count of its membership terms.
type Mirror struct {
	ID      string `msgpack:"i"`
	Process string `msgpack:"l"`
	Address string `msgpack:"p"`
}

// Turn is one stored turn of a conversation.
type Turn struct {
	Conversation string `msgpack:"l" json:"-"`
	Number       int    `msgpack:"n" json:"-"`
	Prompt       string `msgpack:"s" json:"say"`
	Response     string `msgpack:"g" json:"got"`
	Head         string `msgpack:"h" json:"head"`
}

// EmptyHead is the head of a conversation without turns.
const EmptyHead = "start"

// Lengths of truncated SHA-256 digests.
const (
	headBytes            = 16
	argumentsDigestBytes = 8
)

// NextHead returns a conversation's head after a turn.
func NextHead(head, prompt, response string) string {
	h := sha256.New()
	for _, text := range []string{head, prompt, response} {
		sum := sha256.Sum256([]byte(text))
		h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil)[:headBytes])
}

// Reserved returns the sum of the running reservations, in tokens.
func (r *Record) Reserved() int64 {
	var sum int64
	for _, reservation := range r.Running {
		sum += reservation.Tokens
	}
	return sum
}

// Charged returns the tokens spent by ended turns and reserved by running ones.
func (r *Record) Charged() int64 { return r.Spent + r.Reserved() }

// prechargedTurns counts turns of maximum size.
const prechargedTurns = 2

// PrechargeTarget returns the total, in tokens, up to which a program with the given charge should
// be charged in advance.
func PrechargeTarget(role configuration.Role, charged int64) int64 {
	return min(role.ProgramTokensHard, charged+prechargedTurns*role.TurnTokens)
}

// Conversation returns a conversation's state; one without turns is at EmptyHead.
func (r *Record) Conversation(name string) Conversation {
	if c, ok := r.Conversations[name]; ok {
		return c
	}
	return Conversation{Head: EmptyHead}
}

// HasRunningTurn reports whether a turn of a conversation is running.
func (r *Record) HasRunningTurn(conversation string) bool {
	for _, reservation := range r.Running {
		if reservation.Conversation == conversation {
			return true
		}
	}
	return false
}

// ChargeRunning charges all running reservations in full after their owner has failed, as the turns
// may have produced their maximum output.
func (r *Record) ChargeRunning() {
	r.Spent = r.Charged()
	r.Running = nil
	for name, usage := range r.Tools {
		usage.Running = 0
		r.Tools[name] = usage
	}
}

func refuse(check, code, reason string, status int, after time.Duration) verdict.Verdict {
	return verdict.Refused(verdict.Refusal{Check: check, Code: code, Reason: reason, Status: status, RetryAfter: after})
}

func appendWarning(warnings []verdict.Warning, scope string, used, limit int64, warnRatio float64) []verdict.Warning {
	if limit > 0 && float64(used) >= warnRatio*float64(limit) {
		warnings = append(warnings, verdict.Warning{Scope: scope, Used: used, Limit: limit})
	}
	return warnings
}

// CheckTurnLimits checks a program before a turn, in this order: closed, steps, duration, all tool
// calls, calls per tool, identical calls, history size. Use of at least warnRatio of a limit adds
// a warning.
func (r *Record) CheckTurnLimits(clock time.Duration, role configuration.Role, warnRatio float64) verdict.Verdict {
	var warnings []verdict.Warning
	age := clock - r.OpenedAt
	switch {
	case r.Closed:
		return refuse("program", "program_closed", "the program was closed", 409, 0)
	case r.Steps >= role.Steps:
		return refuse("steps", "steps_reached", "the program has taken all its steps", 429, 0)
	case age >= time.Duration(role.SessionSeconds)*time.Second:
		return refuse("duration", "duration_reached", "the program's time is over", 429, 0)
	case r.ToolCalls > 0 && r.ToolCalls >= role.ToolCalls:
		return refuse("tool_calls", "tool_calls_reached", "the program has made all its tool calls", 429, 0)
	}
	for _, name := range ordered.Keys(r.Tools) {
		usage := r.Tools[name]
		if usage.Calls >= role.ToolCallsPerType {
			return refuse("tool_calls_per_type", "tool_calls_per_type_reached", "the program has made all its calls of "+name, 429, 0)
		}
		for _, calls := range usage.Identical {
			if calls >= role.IdenticalToolCalls {
				return refuse("identical_tool_calls", "loop", "the program repeated a call of "+name, 429, 0)
			}
		}
		warnings = appendWarning(warnings, "tool_calls_per_type/"+name, usage.Calls, role.ToolCallsPerType, warnRatio)
	}
	if r.Bytes >= role.HistoryBytes {
		return refuse("history_bytes", "history_full", "the program's history is full", 429, 0)
	}
	warnings = appendWarning(warnings, "steps", r.Steps, role.Steps, warnRatio)
	warnings = appendWarning(warnings, "tool_calls", r.ToolCalls, role.ToolCalls, warnRatio)
	warnings = appendWarning(warnings, "duration", int64(age/time.Second), role.SessionSeconds, warnRatio)
	return verdict.Allowed(verdict.NotExecuted, warnings)
}

// CheckTokenBudget checks the program's token budget before a turn.
func (r *Record) CheckTokenBudget(role configuration.Role) verdict.Verdict {
	charged := r.Charged()
	if charged >= role.ProgramTokensHard {
		return refuse("program_tokens", "program_tokens_spent", "the program's allowance is spent", 429, 0)
	}
	if charged >= role.ProgramTokensSoft {
		return verdict.Allowed(verdict.NotExecuted,
			[]verdict.Warning{{Scope: "program_tokens", Used: charged, Limit: role.ProgramTokensHard}})
	}
	return verdict.Allowed(verdict.NotExecuted, nil)
}

// ReserveTurn starts a turn with its maximum output reserved.
func (r *Record) ReserveTurn(turn, conversation string, tokens int64) {
	if r.Running == nil {
		r.Running = map[string]Reservation{}
	}
	r.Running[turn] = Reservation{Conversation: conversation, Tokens: tokens}
	r.Steps++
}

// CancelTurn reverts a turn that certainly did not run.
func (r *Record) CancelTurn(turn string) {
	if _, ok := r.Running[turn]; ok {
		delete(r.Running, turn)
		r.Steps--
	}
}

// FailTurn ends a turn without a complete result; its full reservation counts as spent.
func (r *Record) FailTurn(turn string) {
	if reservation, ok := r.Running[turn]; ok {
		r.Spent += reservation.Tokens
		delete(r.Running, turn)
	}
}

// FinishTurn ends a turn with a complete result, appends it to its conversation and returns it.
func (r *Record) FinishTurn(turn string, tokens int64, prompt, response string) Turn {
	reservation := r.Running[turn]
	delete(r.Running, turn)
	r.Spent += tokens
	conversation := r.Conversation(reservation.Conversation)
	t := Turn{
		Conversation: reservation.Conversation,
		Number:       conversation.Turns,
		Prompt:       prompt,
		Response:     response,
		Head:         NextHead(conversation.Head, prompt, response),
	}
	if r.Conversations == nil {
		r.Conversations = map[string]Conversation{}
	}
	r.Conversations[reservation.Conversation] = Conversation{Head: t.Head, Turns: conversation.Turns + 1}
	r.Bytes += int64(len(prompt) + len(response))
	return t
}

// ArgumentsDigest returns a digest of JSON arguments with sorted keys, no spaces and numbers as
// written.
func ArgumentsDigest(raw []byte) (string, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return "", err
	}
	canonical, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:argumentsDigestBytes]), nil
}

const toolBusyRetryAfter = time.Second

// CheckToolCall checks a tool call, in this order: closed, duration, all calls, calls per tool,
// identical calls, cooldown, rates, concurrency.
func (r *Record) CheckToolCall(clock time.Duration, name, arguments string, role configuration.Role,
	service configuration.Service, warnRatio float64,
) verdict.Verdict {
	usage := r.Tools[name]
	switch {
	case r.Closed:
		return refuse("program", "program_closed", "the program was closed", 409, 0)
	case clock-r.OpenedAt >= time.Duration(role.SessionSeconds)*time.Second:
		return refuse("duration", "duration_reached", "the program's time is over", 429, 0)
	case r.ToolCalls >= role.ToolCalls:
		return refuse("tool_calls", "tool_calls_reached", "the program has made all its tool calls", 429, 0)
	case usage.Calls >= role.ToolCallsPerType:
		return refuse("tool_calls_per_type", "tool_calls_per_type_reached", "the program has made all its calls of "+name, 429, 0)
	case usage.Identical[arguments] >= role.IdenticalToolCalls:
		return refuse("identical_tool_calls", "loop", "the same call was made before", 429, 0)
	case clock < usage.CooldownUntil:
		return refuse("cooldown", "tool_cooling", name+" failed and rests", 429, usage.CooldownUntil-clock)
	}
	if wait := usage.Minute.WaitTime(clock, 1, service.CallsPerMinute); wait > 0 && usage.Minute.Width > 0 {
		return refuse("tool_rate", "tool_rate_reached", "calls of "+name+" in a minute", 429, wait)
	}
	if wait := usage.Hour.WaitTime(clock, 1, service.CallsPerHour); wait > 0 && usage.Hour.Width > 0 {
		return refuse("tool_rate", "tool_rate_reached", "calls of "+name+" in an hour", 429, wait)
	}
	if usage.Running >= service.ConcurrentCalls {
		return refuse("tool_concurrency", "tool_busy", "calls of "+name+" at once", 429, toolBusyRetryAfter)
	}
	var warnings []verdict.Warning
	warnings = appendWarning(warnings, "tool_calls", r.ToolCalls+1, role.ToolCalls, warnRatio)
	warnings = appendWarning(warnings, "tool_calls_per_type/"+name, usage.Calls+1, role.ToolCallsPerType, warnRatio)
	return verdict.Allowed(verdict.NotExecuted, warnings)
}

// StartToolCall counts a tool call that is about to be made.
func (r *Record) StartToolCall(clock time.Duration, name, arguments string) {
	if r.Tools == nil {
		r.Tools = map[string]ToolUsage{}
	}
	usage := r.Tools[name]
	if usage.Identical == nil {
		usage.Identical = map[string]int64{}
		usage.Minute.Width, usage.Hour.Width = time.Minute, time.Hour
	}
	usage.Calls++
	usage.Running++
	usage.Identical[arguments]++
	usage.Minute.Add(clock, 1)
	usage.Hour.Add(clock, 1)
	r.ToolCalls++
	r.Tools[name] = usage
}

// CancelToolCall reverts a call that certainly did not run. It still counts in the rate windows.
func (r *Record) CancelToolCall(name, arguments string) {
	usage := r.Tools[name]
	usage.Calls--
	usage.Running--
	usage.Identical[arguments]--
	r.ToolCalls--
	r.Tools[name] = usage
}

// FinishToolCall ends a tool call. Each consecutive error doubles the cooldown, up to maxCooldown.
func (r *Record) FinishToolCall(clock time.Duration, name string, succeeded bool,
	service configuration.Service, maxCooldown time.Duration,
) {
	usage := r.Tools[name]
	usage.Running = max(0, usage.Running-1)
	if succeeded {
		usage.Errors, usage.CooldownUntil = 0, 0
	} else {
		cooldown := time.Duration(service.CooldownSeconds) * time.Second
		for i := int64(0); i < usage.Errors && cooldown < maxCooldown; i++ {
			cooldown *= 2
		}
		usage.Errors++
		usage.CooldownUntil = clock + min(cooldown, maxCooldown)
	}
	r.Tools[name] = usage
}
