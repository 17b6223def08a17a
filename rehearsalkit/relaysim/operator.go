package relaysim

import (
	"encoding/json"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
	"saffronfall/rule/configuration"
	"saffronfall/rule/route"
)

func one(service string) []route.Target { return []route.Target{{Service: service, Weight: 1}} }

// table makes one more table on a base. Harm makes it invalid.
func (w *World) table(base, number uint64, harm int) *Table {
	t := &Table{Number: number, Base: base, Mark: w.mark("t"), Valid: harm == 0, Routes: map[string]Route{}, Holders: map[string]string{"k-1a": "t1", "k-2a": "t2", "k-3a": "t3"},
		Allowed: map[string]float64{}}
	text := route.Table{Number: number, KeyRequired: true, Limits: route.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20}}
	used := map[string]bool{}
	add := func(prefix, mode string, targets []route.Target, kept, resumable, open bool) {
		r := Route{Open: open, Stream: mode == route.Stream, Kept: kept, Repeats: mode == route.Repeatable || resumable}
		for _, target := range targets {
			r.Services = append(r.Services, target.Service)
			used[target.Service] = true
		}
		t.Routes[prefix] = r
		text.Routes = append(text.Routes, route.Route{Name: prefix, Host: host, Prefix: prefix, Mode: mode, Resumable: resumable, KeepHistory: kept, KeepSeconds: keepFor.Seconds(), TimeoutMS: 3500, MaxAttempts: 3, Public: open, Targets: targets})
	}
	pick := func(a, b string) []route.Target {
		switch w.random.IntN(4) {
		case 0:
			return one(b)
		case 1:
			return []route.Target{{Service: a, Weight: 9}, {Service: b, Weight: 1}}
		}
		return one(a)
	}
	models := pick(modelA, modelB)
	add("/chat/", route.Stream, models, true, false, false)
	add("/gen/", route.Stream, models, false, true, false)
	add("/raw/", route.Stream, models, false, false, false)
	add("/tool/", route.Once, pick(plainA, plainB), false, false, false)
	add("/look/", route.Repeatable, pick(plainA, plainB), false, false, false)
	add(probePath(t.Mark), route.Repeatable, one(plainA), false, false, true)
	for _, s := range []string{modelA, modelB, plainA, plainB} {
		if used[s] {
			per := int64(1)
			if streams(s) {
				per = tokensPer(s)
			}
			text.Services = append(text.Services, route.Service{Name: s, Connections: 200, TokensPerEvent: per, Slots: 8})
		}
	}
	tenant := func(name string, rate, burst float64, keys ...string) {
		one := route.Tenant{Name: name, Rate: rate, Burst: burst}
		for _, k := range keys {
			t.Holders[k] = name
			one.Keys = append(one.Keys, configuration.KeyDigest(k))
		}
		if rate > 0 {
			t.Allowed[name] = rate*window.Seconds() + burst
		}
		text.Tenants = append(text.Tenants, one)
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
	switch harm {
	case 1:
		text.Routes[3].Targets = one("nowhere")
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
	if harm == 6 {
		t.Text = t.Text[:len(t.Text)/2]
	}
	return t
}

// hand hands a table over, and again unchanged at another desk, until the answer
// is clear.
func (w *World) hand(t *Table, until time.Duration, done func()) {
	if t.Sent == 0 {
		t.Sent = w.now
		w.Record.Tables = append(w.Record.Tables, t)
	}
	over := false
	again := func() {
		if over {
			return
		}
		over = true
		if w.now > until {
			w.Counts["tables without a clear answer"]++
			done()
			return
		}
		w.after(w.between(50*time.Millisecond, 300*time.Millisecond), func() { w.hand(t, until, done) })
	}
	at := w.anyDesk()
	w.operate(at, func(d Desk, now time.Duration, ticket uint64) desk.Output {
		return d.Apply(now, ticket, t.Base, t.Text, desk.Digest(t.Text))
	}, func(body any) {
		h, _ := body.(desk.OrderResult)
		if over {
			if h.Accepted && !t.IsAcked {
				// An answer that came late is an answer.
				t.IsAcked, t.Acked = true, w.now
			}
			return
		}
		switch {
		case h.Accepted:
			w.logf("table %d on %d acknowledged by %s", t.Number, t.Base, at.id)
			w.Counts["tables acknowledged"]++
			t.IsAcked, t.Acked = true, w.now
			w.acked = max(w.acked, t.Number)
			over = true
			w.afterAck()
			done()
		case h.Uncertain:
			again()
		default:
			w.logf("table %d on %d refused by %s: race %v, %v", t.Number, t.Base, at.id, h.RaceLost, h.Faults)
			w.Counts["tables refused"]++
			t.Refused, t.RefusedAt, over = true, w.now, true
			done()
		}
	})
	w.after(time.Second, again)
}

// read reads the table in force, at one desk after the other.
func (w *World) read(until time.Duration, done func(from time.Duration, t core.CurrentTable)) {
	over, from := false, w.now
	again := func() {
		if !over && w.now <= until {
			over = true
			w.read(until, done)
		}
	}
	w.operate(w.anyDesk(), func(d Desk, now time.Duration, ticket uint64) desk.Output { return d.Read(now, ticket) }, func(body any) {
		if t, ok := body.(core.CurrentTable); ok && !over && t.Number > 0 {
			over = true
			w.Counts["tables read"]++
			done(from, t)
		}
	})
	w.after(time.Second, again)
}

// firstTable hands the first table over until it is taken.
func (w *World) firstTable() {
	t := w.table(0, 1, 0)
	w.hand(t, time.Minute, func() {})
}

// operator hands new tables over, each on the one that it reads as in force.
func (w *World) operator() {
	if w.now > w.faultsUntil || w.acked == 0 {
		if w.acked == 0 {
			w.after(500*time.Millisecond, w.operator)
		}
		return
	}
	w.read(w.now+10*time.Second, func(from time.Duration, now core.CurrentTable) {
		w.Record.Readings = append(w.Record.Readings, ReadBack{From: from, At: w.now, Number: now.Number, Text: now.Text})
		harm := 0
		if w.chance(0.25) {
			harm = 1 + w.random.IntN(6)
		}
		number := now.Number + 1 + uint64(w.random.IntN(3))
		w.hand(w.table(now.Number, number, harm), w.now+8*time.Second, func() { w.after(w.between(time.Second, 4*time.Second), w.operator) })
		if w.chance(0.4) {
			// Another operator sends at the same time, on the same base.
			other := now.Number + 1 + uint64(w.random.IntN(3))
			rival := w.table(now.Number, other, 0)
			w.after(w.between(0, 20*time.Millisecond), func() { w.hand(rival, w.now+8*time.Second, func() {}) })
		}
	})
}

// readBack reads the table in force at the end.
func (w *World) readBack() {
	w.read(w.Record.End, func(from time.Duration, t core.CurrentTable) {
		w.Record.Reads = append(w.Record.Reads, ReadBack{From: from, At: w.now, Number: t.Number, Text: t.Text})
	})
}
