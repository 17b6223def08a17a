package simulator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/configuration"
	"saffronfall/rule/ordered"
)

const tenants = 3

// strictLimits are for users of the last tenant, and low so that runs reach them often.
var strictLimits = judge.UserLimits{PerMinute: 4, Lockout: 3 * time.Second, Concurrent: 2, Session: 5 * time.Second, DayTokens: 8000}

func isStrict(key string) bool { return key == fmt.Sprintf("key-t%d", tenants) }

func digestOf(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// configurationText returns a configuration that contains a key of its own, by which a probe
// recognizes the version in force.
func (w *World) configurationText(key string) []byte {
	if w.Params.Configuration != nil {
		return w.Params.Configuration(key)
	}
	role := map[string]any{"sessions_per_minute": 600, "sessions_per_hour": 6000, "sessions_per_day": 60000, "concurrent_sessions": 50,
		"steps": 40, "program_tokens_soft": 3000, "program_tokens_hard": 6000, "turn_tokens": 1000, "tool_calls": 30, "tool_calls_per_type": 30,
		"session_seconds": 600, "user_day_tokens_hard": 500_000}
	strictRole := map[string]any{"sessions_per_minute": strictLimits.PerMinute, "sessions_per_hour": 6000, "sessions_per_day": 60000,
		"concurrent_sessions": strictLimits.Concurrent, "lockout_seconds": int64(strictLimits.Lockout / time.Second),
		"steps": 4, "program_tokens_soft": 3000, "program_tokens_hard": 6000, "turn_tokens": 1000,
		"session_seconds":      int64(strictLimits.Session / time.Second),
		"user_day_tokens_hard": strictLimits.DayTokens, "user_day_tokens_soft": strictLimits.DayTokens / 2}
	list := map[string]any{}
	for i := 1; i <= tenants; i++ {
		name := fmt.Sprintf("t%d", i)
		role := "viewer"
		if isStrict("key-" + name) {
			role = "strict"
		}
		list[name] = map[string]any{"keys": []any{map[string]any{"sha256": configuration.KeyDigest("key-" + name), "role": role}},
			"inquiries_per_second": w.Params.Rate, "burst": w.Params.Burst}
	}
	if strings.HasSuffix(key, revokingSuffix) {
		list["t1"].(map[string]any)["keys"] = []any{}
	}
	list["t2"].(map[string]any)["day_tokens"] = w.Params.DayTokens
	list["probe"] = map[string]any{"keys": []any{map[string]any{"sha256": configuration.KeyDigest(key), "role": "viewer"}}}
	text, _ := json.Marshal(map[string]any{"roles": map[string]any{"viewer": role, "strict": strictRole}, "tenants": list,
		"services": map[string]any{"model": map[string]any{"kind": "model"},
			"alert":  map[string]any{"kind": "once", "urgent": true, "past_breaker": true},
			"search": map[string]any{"kind": "tool", "calls_per_minute": 1000}},
		"breaker":  map[string]any{"minute_dollars": w.Params.MinuteCost, "recovery_seconds": 5},
		"approval": map[string]any{"newly_refused_ratio": 1}})
	return text
}

// Run simulates a whole run and returns the world and the breaches.
func Run(p Params) (*World, []judge.Breach) {
	w := New(p)
	w.Found()
	w.setJudgeLimits()
	w.after(time.Second, w.applyFirstConfiguration)
	for _, b := range w.backends {
		b.announce()
	}
	for i := 0; i < p.Users; i++ {
		u := &user{world: w, name: fmt.Sprintf("u%d", i), key: fmt.Sprintf("key-t%d", i%tenants+1)}
		w.after(w.between(2*time.Second, 4*time.Second), u.startSession)
	}
	for i := 0; i < p.Operators; i++ {
		w.after(w.between(4*time.Second, 6*time.Second), w.operator)
	}
	w.after(3*time.Second, w.probe)
	w.after(p.LoadTime+p.SettleTime-1500*time.Millisecond, func() {
		for _, n := range w.nodes {
			w.probeNode(n, true)
		}
	})
	if p.Faults {
		w.after(4*time.Second, w.injectFault)
	}
	w.runUntil(p.LoadTime + p.SettleTime)
	return w, w.Record.Judge()
}

func (w *World) setJudgeLimits() {
	p := w.Params
	w.Record.Limits = judge.Limits{
		ProgramTokens:    6000,
		TurnTokens:       1000,
		Rate:             map[string]float64{},
		Burst:            map[string]float64{},
		Retention:        time.Hour,
		PropagationLimit: 2 * time.Second,
		DayTokens:        map[string]int64{"t2": p.DayTokens},
		Users:            map[string]judge.UserLimits{fmt.Sprintf("t%d", tenants): strictLimits},
		MinuteDollars:    p.MinuteCost,
		Price:            map[string]float64{"model": 10},
		ClockDrift:       0.09,
	}
	for _, n := range w.nodes {
		w.Record.Nodes = append(w.Record.Nodes, n.id)
	}
	for i := 1; i <= tenants; i++ {
		w.Record.Limits.Rate[fmt.Sprintf("t%d", i)], w.Record.Limits.Burst[fmt.Sprintf("t%d", i)] = p.Rate, float64(p.Burst)
	}
}

func (w *World) applyFirstConfiguration() {
	at := w.cores[w.random.IntN(len(w.cores))]
	if !at.alive || at.frozen {
		w.after(100*time.Millisecond, w.applyFirstConfiguration)
		return
	}
	w.applyConfiguration(at, 0, "probe-first", func(inForce bool) {
		if !inForce && w.version == 0 {
			w.after(100*time.Millisecond, w.applyFirstConfiguration)
		}
	})
}

func (w *World) applyConfiguration(at *process, basedOn uint64, key string, done func(inForce bool)) {
	text := w.configurationText(key)
	request := core.ApplyRequest{BasedOn: basedOn, Text: text, Digest: digestOf(text), Timeout: 8*time.Second + 2*w.Params.MemberLease}
	w.pendingKeys[key] = basedOn + 1
	began := w.now
	revoked := ""
	if strings.HasSuffix(key, revokingSuffix) {
		revoked = "t1"
	}
	w.Record.Submissions = append(w.Record.Submissions, judge.Submission{At: began, BasedOn: basedOn})
	w.Operate(at, func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.ApplyConfiguration(now, ticket, request)
	}, func(body any) {
		result := body.(core.ApplyResult)
		w.logf("configuration %s based on version %d: %+v", key, basedOn, result.Code)
		w.Counts["configuration "+result.Code]++
		w.version = max(w.version, result.Version)
		if result.InForce {
			w.versionKeys[result.Version] = key
			w.Record.Decisions = append(w.Record.Decisions, judge.Decision{At: w.now, Version: result.Version, ID: key, RevokedTenant: revoked})
			delete(w.pendingKeys, key)
		}
		if result.Code == "race_lost" || result.Code == "not_approved" || result.Code == "faulty" {
			w.versionKeys[refusedBase+uint64(len(w.versionKeys))] = key
			w.Record.Decisions = append(w.Record.Decisions, judge.Decision{At: w.now, ID: key, Refused: true})
			delete(w.pendingKeys, key)
		}
		if result.Code == "agreed_not_taken" {
			w.versionKeys[result.Version] = key
			delete(w.pendingKeys, key)
		}
		done(result.InForce)
	})
}

// refusedBase is the lowest key in versionKeys of a refused configuration, above all versions.
const refusedBase = 1 << 40

// revokingSuffix marks keys of configurations in which the first tenant has no key.
const revokingSuffix = "-revoking"

func (w *World) operator() {
	if w.now > w.Params.LoadTime {
		return
	}
	at := w.cores[w.random.IntN(len(w.cores))]
	if !at.alive || at.frozen || !at.coreMachine.Founded() {
		w.after(300*time.Millisecond, w.operator)
		return
	}
	w.lastID++
	key := fmt.Sprintf("probe-%d", w.lastID)
	if w.chance(0.15) {
		key += revokingSuffix
	}
	w.applyConfiguration(at, w.version, key, func(bool) {})
	w.after(w.between(time.Second, 4*time.Second), w.operator)
}

func (w *World) probe() {
	if w.now > w.Params.LoadTime+w.Params.SettleTime-3*time.Second {
		return
	}
	w.probeNode(w.anyNode(), false)
	w.after(w.between(50*time.Millisecond, 250*time.Millisecond), w.probe)
}

// probeNode determines by their keys which known versions a node has in force.
func (w *World) probeNode(p *process, last bool) {
	probeKey := func(key string, version uint64) {
		w.submit(p, node.Request{
			Kind:    node.KindStatus,
			Key:     key,
			Program: "none",
			Timeout: time.Second,
		}, func(result judge.Request, _ node.Frame) {
			if result.Code == "unknown_program" {
				w.Record.Probes = append(w.Record.Probes, judge.Probe{At: result.At, Ended: result.Ended, Node: p.id, Version: version, Final: last})
				if version >= refusedBase {
					w.Record.Decisions = append(w.Record.Decisions, judge.Decision{Version: version, Refused: true})
				}
			}
		})
	}
	for _, v := range ordered.Keys(w.versionKeys) {
		probeKey(w.versionKeys[v], v)
	}
	// The outcome of pending configurations is unknown.
	for _, key := range ordered.Keys(w.pendingKeys) {
		probeKey(key, w.pendingKeys[key])
	}
}

// Summary returns all counts sorted by name.
func (w *World) Summary() []string {
	var lines []string
	for _, name := range ordered.Keys(w.Counts) {
		lines = append(lines, fmt.Sprintf("%s: %d", name, w.Counts[name]))
	}
	return lines
}

// NewWithoutFaults returns a running world without faults or message loss, with a configuration in
// force and all replicas announced.
func NewWithoutFaults(p Params) *World {
	p.Faults, p.MessageLoss = false, 0
	w := New(p)
	w.Found()
	for _, b := range w.backends {
		b.announce()
	}
	w.after(time.Second, w.applyFirstConfiguration)
	w.runUntil(4 * time.Second)
	return w
}

// Do submits a request to a node, by index, and runs the world until its outcome. A zero timeout
// means 3 s.
func (w *World) Do(number int, request node.Request) (judge.Request, node.Frame) {
	var got judge.Request
	var last node.Frame
	finished := false
	if request.Timeout == 0 {
		request.Timeout = 3 * time.Second
	}
	w.submit(w.nodes[number], request, func(result judge.Request, p node.Frame) { got, last, finished = result, p, true })
	for until := w.now + request.Timeout + time.Second; !finished && w.now < until; {
		w.runUntil(w.now + 5*time.Millisecond)
	}
	return got, last
}

// Advance runs the world for a simulated duration.
func (w *World) Advance(d time.Duration) { w.runUntil(w.now + d) }

// membersCurrent reports whether all members of all groups are current cores. Only then must the
// fleet tolerate another lost disk.
func (w *World) membersCurrent() bool {
	current := map[string]bool{}
	for _, p := range w.cores {
		current[p.coreMachine.Self().MemberID()] = true
	}
	for _, p := range w.cores {
		if !p.coreMachine.Founded() {
			return false
		}
		for _, g := range p.coreMachine.Topology().Groups {
			for _, s := range g.All() {
				if !current[s] {
					return false
				}
			}
		}
	}
	return true
}

// awaitDrain restarts a node when it has drained or at the deadline.
func (p *process) awaitDrain(incarnation int, until time.Duration) {
	w := p.world
	switch {
	case p.incarnation != incarnation:
		return
	case p.nodeMachine.Drained(p.now()):
		w.Counts["drained"]++
	case w.now >= until && !p.frozen:
		w.Counts["drains cut short"]++
		p.handleNodeOutput(p.nodeMachine.Shutdown(p.now()))
	default:
		w.after(50*time.Millisecond, func() { p.awaitDrain(incarnation, until) })
		return
	}
	p.kill()
	w.after(w.between(100*time.Millisecond, time.Second), p.boot)
}

func open(w *World, at int, user string) (judge.Request, node.Frame) {
	return w.Do(at, node.Request{Kind: node.KindOpen, Key: "key-t1", User: user})
}

func turn(w *World, at int, id, before string, tokens int64) (judge.Request, node.Frame) {
	return w.Do(at, node.Request{
		Kind:         node.KindTurn,
		Key:          "key-t1",
		Program:      id,
		Service:      "model",
		PreviousHead: before,
		Prompt:       w.newID("say"),
		MaxTokens:    tokens,
	})
}
