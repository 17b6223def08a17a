package relay

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
	"saffronfall/rule/book"
	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
	"saffronfall/rule/placement"
	"saffronfall/rule/rate"
	"saffronfall/rule/route"
)

// rig is one node before one desk and cores that answer at once, unless they are
// silent.
type rig struct {
	t       *testing.T
	now     time.Duration
	m       *Machine
	steps   map[uint64][]Step
	books   map[string]*book.Book
	kept    map[string]core.KeepTurn
	ledgers map[string]*rate.Ledger
	silent  bool
	held    []func()
	next    uint64
	sent    []any
	version uint64
	until   map[uint64]time.Duration
	ended   []Ended
	// absence is why the cores do not find a kept turn.
	absence core.Absence
}

func newRig(t *testing.T) *rig {
	random := rand.New(rand.NewPCG(1, 1))
	g := &rig{t: t, steps: map[uint64][]Step{}, books: map[string]*book.Book{}, kept: map[string]core.KeepTurn{}, ledgers: map[string]*rate.Ledger{}, until: map[uint64]time.Duration{}}
	g.m = New(Options{ID: "n1", Life: "x", Zone: "a", Address: "n1:1", Seeds: []string{"d1:1"}, Random: random.Float64,
		Params: Params{Core: core.Params{MemberTerm: time.Second, Retry: 100 * time.Millisecond, Pull: 100 * time.Millisecond}, Beat: time.Second, Follow: 500 * time.Millisecond,
			Window: 5 * time.Second, Placement: placement.Settings{PromptCache: true, LocalZone: true, FailureRates: true, PromptTokensPerMilli: 80, HeartbeatInterval: time.Second}, Buffer: 100, Cache: 1 << 20, BookKeep: time.Minute}})
	return g
}

func table(number uint64, change func(t *route.Table)) []byte {
	key := configuration.KeyDigest("key")
	t := route.Table{Number: number, KeyRequired: true, Limits: route.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20},
		Routes: []route.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Mode: route.Stream, KeepHistory: true, KeepSeconds: 60, TimeoutMS: 4000, Tries: 2, Targets: []route.Target{{Service: "model", Weight: 1}}},
			{Name: "once", Host: "h", Prefix: "/once/", Mode: route.Once, TimeoutMS: 3000, Tries: 3, Targets: []route.Target{{Service: "app", Weight: 1}}},
			{Name: "again", Host: "h", Prefix: "/again/", Mode: route.Repeatable, TimeoutMS: 3000, Tries: 2, Targets: []route.Target{{Service: "app", Weight: 1}}}},
		Services: []route.Service{{Name: "model", Connections: 100, TokensPerEvent: 10, Slots: 4}, {Name: "app", Connections: 100, TokensPerEvent: 1, Slots: 4}},
		Tenants:  []route.Tenant{{Name: "t1", Keys: []string{key}}}}
	if change != nil {
		change(&t)
	}
	text, _ := json.Marshal(t)
	return text
}

func (g *rig) take(o Output) {
	for _, r := range o.Returns {
		g.steps[r.Ticket] = append(g.steps[r.Ticket], r.Step)
		delete(g.until, r.Ticket)
		if r.Step.Kind == StepSend {
			g.until[r.Ticket] = g.now + r.Step.Within
		}
	}
	g.ended = append(g.ended, o.Ended...)
	for _, s := range o.Sends {
		g.sent = append(g.sent, s.Body)
		if c, ok := s.Body.(core.Command); ok {
			answer := func() {
				body, err := message.Open(c.Raw)
				if err != nil {
					g.t.Fatal(err)
				}
				g.take(g.m.Receive(g.now, s.To, core.CommandReturn{ID: c.ID, Part: c.Part, Raw: message.Pack(g.answer(body))}))
			}
			if g.silent {
				g.held = append(g.held, answer)
			} else {
				answer()
			}
		}
	}
}

func (g *rig) answer(command any) any {
	switch c := command.(type) {
	case core.ReserveTurn:
		b := g.books[c.Program]
		if b == nil {
			b = &book.Book{}
			g.books[c.Program] = b
		}
		return core.TurnReserved{OK: b.Reserve(c.Attempt, c.Most, c.Budget)}
	case core.SettleTurn:
		if g.books[c.Program] == nil {
			g.books[c.Program] = &book.Book{}
		}
		g.books[c.Program].Settle(c.Attempt, c.Tokens)
		return core.Done{OK: true}
	case core.KeepTurn:
		g.kept[c.Attempt] = c
		return core.Done{OK: true}
	case core.ProlongTurn:
		return core.Done{OK: true}
	case core.ReadSeats:
		return core.Seats{}
	case core.ReadTurn:
		k, ok := g.kept[c.Attempt]
		return core.KeptTurn{Found: ok && k.Tenant == c.Tenant, Absence: g.absence, Before: k.Before, Input: k.Input, Output: k.Output, Left: time.Minute}
	case core.DrawRates:
		var answer core.RatesDrawn
		for _, d := range c.Draws {
			if g.ledgers[d.Tenant] == nil {
				g.ledgers[d.Tenant] = rate.Restore(g.now, rate.DurableState{}, d.Draw.LeaseDuration)
			}
			drawn, _ := g.ledgers[d.Tenant].Draw(g.now, d.Draw)
			answer.Drawn = append(answer.Drawn, drawn)
		}
		return answer
	}
	g.t.Fatalf("unexpected command %T", command)
	return nil
}

// hear brings a bulletin of a desk.
func (g *rig) hear(from string, list []desk.ReplicaEntry, number uint64, text []byte) {
	g.version++
	topology := core.Topology{Fleet: "f", Cores: map[string]core.Core{"c": {ID: "c", Incarnation: "1", Peer: "c:1"}}, Owners: []partition.Term{{Round: 1, Leader: "c.1"}, {Round: 1, Leader: "c.1"}},
		Groups: make([]partition.Group, 2)}
	g.take(g.m.Receive(g.now, from, desk.Update{Incarnation: "l", Version: g.version, Replicas: list, TableNumber: number, Table: text, NodeCount: 1, Topology: &topology}))
}

func replicas(service string, ids ...string) []desk.ReplicaEntry {
	var list []desk.ReplicaEntry
	for i, id := range ids {
		list = append(list, desk.ReplicaEntry{Replica: desk.Replica{ID: id, Service: service, Address: id + ":1", Zone: "a", Slots: 4, Sequence: int64(i + 1)}, Version: 1})
	}
	return list
}

func (g *rig) begin() {
	g.hear("d1:1", append(replicas("model", "m1", "m2"), replicas("app", "a1", "a2", "a3")...), 1, table(1, nil))
}

func (g *rig) pass(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.now += 10 * time.Millisecond
		g.take(g.m.Tick(g.now))
		// As the requesters' side does, a replica is let go at the request's time.
		for _, ticket := range ordered.Keys(g.until) {
			if g.now > g.until[ticket] {
				g.came(ticket, Outcome{Kind: Broken})
			}
		}
	}
}

func ask(path string, change func(a *Ask)) Ask {
	a := Ask{Host: "h", Path: path, Key: "key", HasKey: true, Left: 4 * time.Second}
	if change != nil {
		change(&a)
	}
	return a
}

func (g *rig) arrive(a Ask) uint64 {
	g.next++
	if a.Attempt == "" {
		a.Attempt = fmt.Sprint("try", g.next)
	}
	g.take(g.m.Arrive(g.now, g.next, a))
	return g.next
}

func (g *rig) last(ticket uint64) Step {
	if list := g.steps[ticket]; len(list) > 0 {
		return list[len(list)-1]
	}
	return Step{}
}

func (g *rig) came(ticket uint64, o Outcome) { g.take(g.m.Came(g.now, ticket, o)) }

func (g *rig) want(ticket uint64, kind string, status int) {
	g.t.Helper()
	if s := g.last(ticket); s.Kind != kind || s.Status != status {
		g.t.Fatalf("step %+v, want %s %d", s, kind, status)
	}
}

// TestTurnIsChargedByTheTableItCameUnder: a table that drops the service meanwhile
// does not change what the turn's events cost.
func TestTurnIsChargedByTheTableItCameUnder(t *testing.T) {
	g := newRig(t)
	g.begin()
	w := g.arrive(ask("/chat/x", func(a *Ask) { a.Program, a.Budget, a.Most = "p", 100, 50 }))
	g.want(w, StepSend, 0)
	g.hear("d1:1", nil, 2, table(2, func(t *route.Table) {
		t.Services = t.Services[1:]
		t.Routes = t.Routes[1:]
	}))
	g.came(w, Outcome{Kind: Whole, Events: 4, Begun: true})
	g.want(w, StepPass, 0)
	if got := g.books["p"].Charged; got != 40 {
		t.Fatalf("charged %d for 4 events of 10 tokens", got)
	}
}

// TestSilenceAtOneDeskIsNoWordAgainstAnother: a replica that went on to another
// desk and back stays known.
func TestSilenceAtOneDeskIsNoWordAgainstAnother(t *testing.T) {
	g := newRig(t)
	g.begin()
	at := func(call int64, gone bool) []desk.ReplicaEntry {
		return []desk.ReplicaEntry{{Replica: desk.Replica{ID: "r", Service: "app", Address: "r:1", Zone: "a", Slots: 4, Sequence: call}, Gone: gone, Version: 9}}
	}
	g.hear("d2:1", at(11, false), 1, nil)
	g.hear("d1:1", at(12, false), 1, nil)
	g.hear("d1:1", at(12, true), 1, nil)
	found := false
	g.m.gather(g.now)
	for _, s := range g.m.services["app"].estimates {
		found = found || s.ID == "r"
	}
	if !found {
		t.Fatal("a replica that announces itself at the second desk is hidden")
	}
	final := at(12, true)
	final[0].Final = true
	g.hear("d1:1", final, 1, nil)
	g.m.gather(g.now)
	for _, s := range g.m.services["app"].estimates {
		if s.ID == "r" {
			t.Fatal("a replica that left is still chosen")
		}
	}
}

func TestOrderOfChecks(t *testing.T) {
	for _, c := range []struct {
		name   string
		ask    Ask
		status int
	}{
		{"size before route", ask("/nowhere/", func(a *Ask) { a.BodyBytes = 1 << 30 }), 413},
		{"route before key", ask("/nowhere/", func(a *Ask) { a.Key = "wrong" }), 404},
		{"key before deadline", ask("/once/x", func(a *Ask) { a.Key, a.Left = "wrong", -1 }), 401},
		{"no key", ask("/once/x", func(a *Ask) { a.Key, a.HasKey = "", false }), 401},
		{"deadline", ask("/once/x", func(a *Ask) { a.Left = -1 }), 503},
		{"budget before history", ask("/chat/x", func(a *Ask) { a.Program, a.Budget, a.Most, a.Previous = "p", 10, 50, "none" }), 402},
		{"history", ask("/chat/x", func(a *Ask) { a.Previous = "none" }), 404},
	} {
		g := newRig(t)
		g.begin()
		w := g.arrive(c.ask)
		if s := g.last(w); s.Kind != StepRefuse || s.Status != c.status {
			t.Errorf("%s: %+v", c.name, s)
		}
	}
}

// TestRateBeforeBudget: the tenant's rate is looked at before the program's books.
func TestRateBeforeBudget(t *testing.T) {
	g := newRig(t)
	limited := func(t *route.Table) { t.Tenants[0].Rate, t.Tenants[0].Burst = 0.2, 1 }
	g.hear("d1:1", append(replicas("model", "m1"), replicas("app", "a1")...), 1, table(1, limited))
	for i := 0; i < 2; i++ {
		w := g.arrive(ask("/once/x", nil))
		g.want(w, StepSend, 0)
		g.came(w, Outcome{Kind: Whole})
	}
	w := g.arrive(ask("/chat/x", func(a *Ask) { a.Program, a.Budget, a.Most = "p", 10, 50 }))
	g.pass(1500 * time.Millisecond)
	g.want(w, StepRefuse, 429)
	if g.last(w).RetryAfter <= 0 {
		t.Fatal("no time to come back")
	}
	if g.books["p"] != nil {
		t.Fatal("a turn beyond the rate was booked")
	}
	g.pass(6 * time.Second)
	w = g.arrive(ask("/once/x", nil))
	g.want(w, StepSend, 0)
}

// TestWhatNeverRanIsGivenBack: a request that no replica ran costs nothing of its
// tenant's rate, nor of its program's budget.
func TestWhatNeverRanIsGivenBack(t *testing.T) {
	g := newRig(t)
	g.hear("d1:1", replicas("model", "m1", "m2"), 1, table(1, func(t *route.Table) { t.Tenants[0].Rate, t.Tenants[0].Burst = 0.2, 1 }))
	for i := 0; i < 10; i++ {
		w := g.arrive(ask("/chat/x", func(a *Ask) { a.Program, a.Budget, a.Most = "p", 50, 50 }))
		for g.last(w).Kind == StepSend {
			g.came(w, Outcome{Kind: NotRun})
		}
		g.want(w, StepRefuse, 503)
	}
	if b := g.books["p"]; b.Charged != 0 || len(b.Running) != 0 {
		t.Fatalf("books %+v", b)
	}
	if spent := g.m.paces["t1"].spent; spent != 0 {
		t.Fatalf("%d of the rate spent", spent)
	}
}

func TestWhatMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name, path string
		outcomes   []Outcome
		kind       string
		status     int
		sendings   int
	}{
		{"a once-only request that broke", "/once/x", []Outcome{{Kind: Broken}}, StepBreak, 502, 1},
		{"a once-only request that was promised not run, then broke", "/once/x", []Outcome{{Kind: NotRun}, {Kind: Broken}}, StepBreak, 502, 2},
		{"a once-only request that no replica ran", "/once/x", []Outcome{{Kind: NotRun}, {Kind: NotRun}, {Kind: NotRun}}, StepRefuse, 503, 3},
		{"a repeatable request goes on elsewhere", "/again/x", []Outcome{{Kind: Broken}, {Kind: Whole}}, StepPass, 0, 2},
		{"a repeatable request that broke and then was refused is not refused", "/again/x", []Outcome{{Kind: Broken}, {Kind: NotRun}}, StepBreak, 502, 2},
		{"a kept stream that broke", "/chat/x", []Outcome{{Kind: Broken, Begun: true, Events: 2}}, StepBreak, 502, 1},
	} {
		g := newRig(t)
		g.begin()
		w := g.arrive(ask(c.path, nil))
		for _, o := range c.outcomes {
			g.came(w, o)
		}
		sendings := 0
		for _, s := range g.steps[w] {
			if s.Kind == StepSend {
				sendings++
			}
		}
		if s := g.last(w); s.Kind != c.kind || s.Status != c.status || sendings != c.sendings {
			t.Errorf("%s: %d sendings, %+v", c.name, sendings, s)
		}
	}
}

// TestSilentCores: what needs the cores is refused within half of its time, as not
// run, and what their late answers booked is booked out again.
func TestSilentCores(t *testing.T) {
	g := newRig(t)
	g.begin()
	g.silent = true
	w := g.arrive(ask("/chat/x", func(a *Ask) { a.Program, a.Budget, a.Most = "p", 100, 50 }))
	tool := g.arrive(ask("/once/x", nil))
	g.want(tool, StepSend, 0)
	g.pass(1900 * time.Millisecond)
	if len(g.steps[w]) != 0 {
		t.Fatalf("given up early: %+v", g.last(w))
	}
	g.pass(200 * time.Millisecond)
	g.want(w, StepRefuse, 503)
	g.silent = false
	held := g.held
	g.held = nil
	for _, answer := range held {
		answer()
	}
	g.pass(2 * time.Second)
	if b := g.books["p"]; b == nil || b.Outstanding() != 0 || b.Charged != 0 {
		t.Fatalf("books %+v", b)
	}
}

// TestChainThroughAnotherNode: a node that has never seen a conversation reads it
// whole and hands its replica exactly that.
func TestChainThroughAnotherNode(t *testing.T) {
	g := newRig(t)
	g.begin()
	previous := ""
	for i := 1; i <= 3; i++ {
		w := g.arrive(ask("/chat/x", func(a *Ask) {
			a.Attempt, a.Previous, a.Input = fmt.Sprint("turn", i), previous, []byte(fmt.Sprint("in", i))
		}))
		g.came(w, Outcome{Kind: Whole, Events: 1, Begun: true, Output: []byte(fmt.Sprint("out", i, "\n"))})
		g.want(w, StepPass, 0)
		previous = fmt.Sprint("turn", i)
	}
	other := newRig(t)
	other.kept = g.kept
	other.begin()
	w := other.arrive(ask("/chat/x", func(a *Ask) { a.Previous, a.Input = "turn3", []byte("in4") }))
	other.want(w, StepSend, 0)
	var said string
	for _, b := range other.last(w).Before {
		said += string(b)
	}
	if said != "in1out1\nin2out2\nin3out3\n" {
		t.Fatalf("%q", said)
	}
}

// TestKeptTurnEndsWhenDurable: the end of a kept turn is passed on after the cores
// have it, and not before.
func TestKeptTurnEndsWhenDurable(t *testing.T) {
	g := newRig(t)
	g.begin()
	w := g.arrive(ask("/chat/x", nil))
	g.silent = true
	g.came(w, Outcome{Kind: Whole, Events: 1, Begun: true, Output: []byte("o\n")})
	if s := g.last(w); s.Kind != StepSend {
		t.Fatalf("%+v before the cores have it", s)
	}
	for _, answer := range g.held {
		answer()
	}
	g.want(w, StepPass, 0)
}

// TestLeavingReplicaGetsNothing from the moment a desk has told.
func TestLeavingReplicaGetsNothing(t *testing.T) {
	g := newRig(t)
	g.begin()
	leaving := replicas("app", "a1", "a2")
	for i := range leaving {
		leaving[i].Replica.Leaving, leaving[i].Replica.Sequence = true, 50
	}
	g.hear("d1:1", leaving, 1, nil)
	for i := 0; i < 30; i++ {
		w := g.arrive(ask("/once/x", nil))
		if s := g.last(w); s.Replica.ID != "a3" {
			t.Fatalf("%+v", s)
		}
		g.came(w, Outcome{Kind: Whole})
	}
}

// TestNewLifeWaitsForAConfirmedTable, and a table never goes back.
func TestNewLifeWaitsForAConfirmedTable(t *testing.T) {
	g := newRig(t)
	g.m.params.Beat = time.Hour
	tell := func(number uint64, text []byte, confirmed time.Duration) {
		g.version++
		g.take(g.m.Receive(g.now, "d1:1", desk.Update{Incarnation: "l", Version: g.version, TableNumber: number, Table: text, ConfirmationAge: confirmed, NodeCount: 1}))
	}
	tell(3, table(3, nil), -1)
	if g.m.Ready(g.now) || g.m.Number() != 0 {
		t.Fatal("a table that nobody has confirmed is in force")
	}
	tell(5, nil, time.Millisecond)
	if g.m.Number() != 0 {
		t.Fatal("in force though a newer one is known of")
	}
	tell(5, table(5, nil), time.Millisecond)
	if g.m.Number() != 5 || !g.m.Ready(g.now) {
		t.Fatalf("table %d", g.m.Number())
	}
	tell(4, table(4, nil), time.Millisecond)
	if g.m.Number() != 5 {
		t.Fatal("the table went back")
	}
}

// TestSuspicion: a replica that breaks once-only requests is avoided while others
// have room, is tried when they have none, and is forgiven by itself.
func TestSuspicion(t *testing.T) {
	g := newRig(t)
	g.begin()
	broke := 0
	for i := 0; i < 60; i++ {
		w := g.arrive(ask("/once/x", nil))
		o := Outcome{Kind: Whole}
		if g.last(w).Replica.ID == "a2" {
			o, broke = Outcome{Kind: Broken}, broke+1
		}
		g.came(w, o)
		g.pass(20 * time.Millisecond)
	}
	if broke == 0 || broke > 3 {
		t.Errorf("%d of 60 went to a replica that breaks all", broke)
	}
	// The others are full: better a suspect than none.
	seen := map[string]int{}
	var open []uint64
	for i := 0; i < 40; i++ {
		w := g.arrive(ask("/once/x", nil))
		seen[g.last(w).Replica.ID]++
		open = append(open, w)
	}
	if seen["a2"] == 0 {
		t.Errorf("%v: a suspect is not tried though the others are full", seen)
	}
	for _, w := range open {
		g.came(w, Outcome{Kind: Whole})
	}
	g.pass(5 * time.Second)
	again := 0
	for i := 0; i < 60; i++ {
		w := g.arrive(ask("/again/x", nil))
		if g.last(w).Replica.ID == "a2" {
			again++
		}
		g.came(w, Outcome{Kind: Whole})
	}
	if again == 0 {
		t.Error("a suspect is never forgiven")
	}
}
