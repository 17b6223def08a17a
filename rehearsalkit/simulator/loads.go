package simulator

import (
	"sort"
	"time"

	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
)

// CrowdResult compares alerts under normal load (index 0) and overload (index 1).
type CrowdResult struct {
	// Median and P90 are latencies of successful alerts; turns count under overload only.
	Alerts, Succeeded     [2]int
	Median, P90           [2]time.Duration
	Turns, SucceededTurns int
	Breaches              []judge.Breach
}

// MeasureCrowd compares the alerts of one tenant under normal load and under ten times as many
// requesters.
func MeasureCrowd(seed uint64) CrowdResult {
	p := defaults(seed)
	p.Cores, p.Nodes, p.Zones, p.Replicas, p.Alerts, p.Users, p.Partitions = 6, 13, 3, 11, 5, 12, 16
	p.Faults, p.Operators, p.MessageLoss, p.Rate, p.Burst, p.MemberLease = false, 0, 0, 40, 64, 5*time.Second
	w := NewWithoutFaults(p)
	w.setJudgeLimits()
	w.Record.Nodes, w.Record.Limits.Users = nil, nil
	const phase = 8 * time.Second
	calm, overload := w.now+3*time.Second, w.now+3*time.Second+phase
	var c CrowdResult
	var latencies [2][]time.Duration
	turnDone := func(at time.Duration, ok bool) {
		if at >= overload {
			c.Turns++
			if ok {
				c.SucceededTurns++
			}
		}
	}
	for i := 0; i < p.Users; i++ {
		w.chat(i, overload+phase, turnDone)
	}
	for i := 0; i < 10*p.Users; i++ {
		w.after(overload-w.now+time.Duration(i)*5*time.Millisecond, func() { w.chat(0, overload+phase, turnDone) })
	}
	alert := func(period int) {
		id := w.newID("alert")
		c.Alerts[period]++
		w.submit(w.anyNode(), node.Request{
			Kind:      node.KindAction,
			Key:       "key-t1",
			User:      "u",
			Service:   "alert",
			OnceKey:   id,
			Arguments: []byte(`{"mark":"` + id + `"}`),
			Timeout:   2 * time.Second,
		}, func(result judge.Request, _ node.Frame) {
			if result.Outcome == judge.Whole {
				c.Succeeded[period]++
				latencies[period] = append(latencies[period], result.Ended-result.At)
			}
		})
	}
	for s := time.Duration(0); s < phase; s += time.Second {
		for i := 0; i < 6; i++ {
			w.after(calm+s-w.now+w.between(0, 500*time.Millisecond), func() { alert(0) })
			w.after(overload+s-w.now+w.between(0, 500*time.Millisecond), func() { alert(1) })
		}
	}
	w.runUntil(overload + phase + 4*time.Second)
	for i := range latencies {
		sort.Slice(latencies[i], func(a, b int) bool { return latencies[i][a] < latencies[i][b] })
		if n := len(latencies[i]); n > 0 {
			c.Median[i], c.P90[i] = latencies[i][n/2], latencies[i][n*9/10]
		}
	}
	c.Breaches = w.Record.Judge()
	return c
}

// ShareResult is the use of one large tenant's quota.
type ShareResult struct {
	// Used is the fraction of the quota that reached replicas in steady state, Wanted the
	// load as a multiple of the quota.
	Used, Wanted float64
	Breaches     []judge.Breach
}

// MeasureShares loads one tenant above its quota at "all nodes", at "one node" or at one node after
// another ("moving").
func MeasureShares(seed uint64, where string) ShareResult {
	p := defaults(seed)
	p.Nodes, p.Users, p.Faults, p.Operators, p.MessageLoss, p.Rate, p.Burst, p.MemberLease = 6, 0, false, 0, 0, 40, 64, 5*time.Second
	w := NewWithoutFaults(p)
	w.setJudgeLimits()
	w.Record.Nodes = nil
	from, until := w.now+4*time.Second, w.now+16*time.Second
	asked, moves := 0, 0
	ask := func(key string, at *process) {
		id := w.newID("load")
		w.submit(at, node.Request{
			Kind:      node.KindAction,
			Key:       key,
			User:      "u",
			Service:   "alert",
			OnceKey:   id,
			Arguments: []byte(`{"mark":"` + id + `"}`),
			Timeout:   2 * time.Second,
		}, ignoreResponse)
	}
	var load func()
	load = func() {
		if w.now >= until {
			return
		}
		at := w.nodes[0]
		switch where {
		case "all nodes":
			at = w.anyNode()
		case "moving":
			at = w.nodes[moves%len(w.nodes)]
		}
		if w.now >= from {
			asked++
		}
		ask("key-t1", at)
		if w.chance(0.1) {
			ask("key-t2", w.anyNode())
		}
		w.after(time.Second/60, load)
	}
	load()
	var move func()
	move = func() { moves++; w.after(2*time.Second, move) }
	w.after(2*time.Second, move)
	w.runUntil(until + 3*time.Second)
	attempts := 0
	for _, s := range w.Record.Attempts {
		if s.Tenant == "t1" && s.At >= from && s.At < until {
			attempts++
		}
	}
	quota := p.Rate * (until - from).Seconds()
	return ShareResult{Used: float64(attempts) / quota, Wanted: float64(asked) / quota, Breaches: w.Record.Judge()}
}
