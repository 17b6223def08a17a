package relaysim

import (
	"encoding/json"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/rule/configuration"
	"saffronfall/rule/route"
)

const (
	operatorCallTimeout = time.Second
	invalidTableRate    = 0.25
	// rivalTableRate is the fraction of tables with a concurrent one on the same base.
	rivalTableRate = 0.4
)

func singleTarget(service string) []route.Target {
	return []route.Target{{Service: service, Weight: 1}}
}

func describeService(name string) route.Service {
	eventTokens := int64(1)
	if isStreaming(name) {
		eventTokens = tokensPerEvent(name)
	}
	return route.Service{Name: name, Connections: 200, TokensPerEvent: eventTokens, Slots: 8, Deduplicates: deduplicates(name)}
}

// newTable makes a random table; a defect above zero selects what makes it invalid.
func (w *World) newTable(base, number uint64, defect int) *Table {
	t := &Table{Number: number, Base: base, ID: w.uniqueID("t"), Valid: defect == 0, Routes: map[string]Route{},
		KeyTenants: map[string]string{"k-1a": "t1", "k-2a": "t2", "k-3a": "t3"}, MaxPerWindow: map[string]float64{}}
	text := route.Table{Number: number, KeyRequired: true, Limits: route.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20}}
	used := map[string]bool{}
	add := func(prefix, mode string, targets []route.Target, keepHistory, resumable, public bool) {
		r := Route{Public: public, Stream: mode == route.Stream, KeepsHistory: keepHistory, Repeatable: mode == route.Repeatable || resumable}
		for _, target := range targets {
			r.Services = append(r.Services, target.Service)
			used[target.Service] = true
		}
		t.Routes[prefix] = r
		text.Routes = append(text.Routes, route.Route{Name: prefix, Host: host, Prefix: prefix, Mode: mode, Resumable: resumable, KeepHistory: keepHistory, KeepSeconds: keepDuration.Seconds(), TimeoutMS: 3500, MaxAttempts: 3, Public: public, Targets: targets})
	}
	pick := func(a, b string) []route.Target {
		switch w.random.IntN(4) {
		case 0:
			return singleTarget(b)
		case 1:
			return []route.Target{{Service: a, Weight: 9}, {Service: b, Weight: 1}}
		}
		return singleTarget(a)
	}
	models := pick(modelA, modelB)
	add("/chat/", route.Stream, models, true, false, false)
	add("/gen/", route.Stream, models, false, true, false)
	add("/raw/", route.Stream, models, false, false, false)
	add("/tool/", route.Once, pick(plainA, plainB), false, false, false)
	add("/look/", route.Repeatable, pick(plainA, plainB), false, false, false)
	add(keyedPrefix, route.Keyed, pick(plainA, plainB), false, false, false)
	add(ledgerPrefix, route.Keyed, pick(ledgerA, ledgerB), false, false, false)
	add(probePath(t.ID), route.Repeatable, singleTarget(plainA), false, false, true)
	for _, s := range allServices() {
		if used[s] {
			text.Services = append(text.Services, describeService(s))
		}
	}
	tenant := func(name string, rate, burst float64, keys ...string) {
		entry := route.Tenant{Name: name, Rate: rate, Burst: burst}
		for _, k := range keys {
			t.KeyTenants[k] = name
			entry.Keys = append(entry.Keys, configuration.KeyDigest(k))
		}
		if rate > 0 {
			t.MaxPerWindow[name] = rate*rateWindow.Seconds() + burst
		}
		text.Tenants = append(text.Tenants, entry)
	}
	keys := []string{"k-1a"}
	if w.chance(0.6) {
		keys = append(keys, "k-1b")
	}
	tenant("t1", 20, 10, keys...)
	tenant("t2", 0, 0, "k-2a")
	rate := 10.0
	if w.chance(0.3) {
		rate = 4
	}
	tenant("t3", rate, 5, "k-3a")
	switch defect {
	case 1:
		text.Routes[3].Targets = singleTarget("nowhere")
	case 2:
		text.Routes[3].Targets = []route.Target{{Service: plainA, Weight: 0}}
	case 3:
		text.Routes[4].Prefix = text.Routes[3].Prefix
	case 4:
		text.Tenants[1].Keys = append(text.Tenants[1].Keys, text.Tenants[0].Keys[0])
	case 5:
		text.Number = base
	}
	t.Text, _ = json.Marshal(text)
	if defect == 6 {
		t.Text = t.Text[:len(t.Text)/2]
	}
	return t
}

// applyTable sends a table to random registries until the answer is conclusive or time is up.
func (w *World) applyTable(t *Table, until time.Duration, done func()) {
	if t.SentAt == 0 {
		t.SentAt = w.now
		w.Record.Tables = append(w.Record.Tables, t)
	}
	finished := false
	retry := func() {
		if finished {
			return
		}
		finished = true
		if w.now > until {
			w.Counts["tables without a clear answer"]++
			done()
			return
		}
		w.after(w.between(50*time.Millisecond, 300*time.Millisecond), func() { w.applyTable(t, until, done) })
	}
	at := w.anyRegistry()
	w.callRegistry(at, func(reg Registry, now time.Duration, ticket uint64) registry.Output {
		return reg.Apply(now, ticket, t.Base, t.Text, registry.Digest(t.Text))
	}, func(body any) {
		result, _ := body.(registry.OrderResult)
		if finished {
			if result.Accepted && !t.Acked {
				// A late acknowledgement still counts.
				t.Acked, t.AckedAt = true, w.now
			}
			return
		}
		switch {
		case result.Accepted:
			w.logf("table %d on %d acknowledged by %s", t.Number, t.Base, at.id)
			w.Counts["tables acknowledged"]++
			t.Acked, t.AckedAt = true, w.now
			w.newestAcked = max(w.newestAcked, t.Number)
			finished = true
			w.losePowerAfterAck()
			done()
		case result.Uncertain:
			retry()
		default:
			w.logf("table %d on %d refused by %s: race lost %v, %v", t.Number, t.Base, at.id, result.RaceLost, result.Faults)
			w.Counts["tables refused"]++
			t.Refused, t.RefusedAt, finished = true, w.now, true
			done()
		}
	})
	w.after(operatorCallTimeout, retry)
}

func (w *World) readTable(until time.Duration, done func(from time.Duration, t core.CurrentTable)) {
	finished, from := false, w.now
	retry := func() {
		if !finished && w.now <= until {
			finished = true
			w.readTable(until, done)
		}
	}
	w.callRegistry(w.anyRegistry(),
		func(reg Registry, now time.Duration, ticket uint64) registry.Output { return reg.Read(now, ticket) },
		func(body any) {
			if t, ok := body.(core.CurrentTable); ok && !finished && t.Number > 0 {
				finished = true
				w.Counts["tables read"]++
				done(from, t)
			}
		})
	w.after(operatorCallTimeout, retry)
}

func (w *World) applyFirstTable() {
	t := w.newTable(0, 1, 0)
	w.applyTable(t, time.Minute, func() {})
}

// runOperator applies new tables, each on the table that it reads as in force.
func (w *World) runOperator() {
	if w.now > w.faultsUntil || w.newestAcked == 0 {
		if w.newestAcked == 0 {
			w.after(500*time.Millisecond, w.runOperator)
		}
		return
	}
	w.readTable(w.now+10*time.Second, func(from time.Duration, current core.CurrentTable) {
		w.Record.OperatorReads = append(w.Record.OperatorReads, ReadBack{From: from, At: w.now, Number: current.Number, Text: current.Text})
		defect := 0
		if w.chance(invalidTableRate) {
			defect = 1 + w.random.IntN(6)
		}
		number := current.Number + 1 + uint64(w.random.IntN(3))
		w.applyTable(w.newTable(current.Number, number, defect), w.now+8*time.Second,
			func() { w.after(w.between(time.Second, 4*time.Second), w.runOperator) })
		if w.chance(rivalTableRate) {
			// A second operator sends concurrently on the same base.
			other := current.Number + 1 + uint64(w.random.IntN(3))
			rival := w.newTable(current.Number, other, 0)
			w.after(w.between(0, 20*time.Millisecond), func() { w.applyTable(rival, w.now+8*time.Second, func() {}) })
		}
	})
}

func (w *World) readFinalTable() {
	w.readTable(w.Record.End, func(from time.Duration, t core.CurrentTable) {
		w.Record.FinalReads = append(w.Record.FinalReads, ReadBack{From: from, At: w.now, Number: t.Number, Text: t.Text})
	})
}
