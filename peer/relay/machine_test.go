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
type harness struct {
	t           *testing.T
	now         time.Duration
	m           *Machine
	steps       map[uint64][]Step
	books       map[string]*book.Book
	kept        map[string]core.KeepTurn
	ledgers     map[string]*rate.Ledger
	silent      bool
	heldAnswers []func()
	next        uint64
	sent        []any
	version     uint64
	deadlines   map[uint64]time.Duration
	completions []Completion
	// absence is why the cores do not find a kept turn.
	absence core.Absence
}

func newHarness(t *testing.T) *harness {
	random := rand.New(rand.NewPCG(1, 1))
	h := &harness{t: t, steps: map[uint64][]Step{}, books: map[string]*book.Book{}, kept: map[string]core.KeepTurn{}, ledgers: map[string]*rate.Ledger{}, deadlines: map[uint64]time.Duration{}}
	h.m = New(Options{ID: "n1", Incarnation: "x", Zone: "a", Address: "n1:1", Seeds: []string{"d1:1"}, Random: random.Float64,
		Params: Params{Core: core.Params{MemberTerm: time.Second, Retry: 100 * time.Millisecond, Pull: 100 * time.Millisecond}, HeartbeatInterval: time.Second, UpdateInterval: 500 * time.Millisecond,
			RateWindow: 5 * time.Second, Placement: placement.Settings{PromptCache: true, LocalZone: true, FailureRates: true, PromptTokensPerMilli: 80, HeartbeatInterval: time.Second}, MaxRequests: 100, CacheBytes: 1 << 20, BookRetention: time.Minute}})
	return h
}

func tableJSON(number uint64, change func(t *route.Table)) []byte {
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

func (h *harness) apply(o Output) {
	for _, r := range o.Steps {
		h.steps[r.Ticket] = append(h.steps[r.Ticket], r.Step)
		delete(h.deadlines, r.Ticket)
		if r.Step.Kind == StepSend {
			h.deadlines[r.Ticket] = h.now + r.Step.Timeout
		}
	}
	h.completions = append(h.completions, o.Completions...)
	for _, s := range o.Sends {
		h.sent = append(h.sent, s.Body)
		if c, ok := s.Body.(core.Command); ok {
			answer := func() {
				body, err := message.Open(c.Raw)
				if err != nil {
					h.t.Fatal(err)
				}
				h.apply(h.m.Receive(h.now, s.To, core.CommandReturn{ID: c.ID, Part: c.Part, Raw: message.Pack(h.answer(body))}))
			}
			if h.silent {
				h.heldAnswers = append(h.heldAnswers, answer)
			} else {
				answer()
			}
		}
	}
}

func (h *harness) answer(command any) any {
	switch c := command.(type) {
	case core.ReserveTurn:
		b := h.books[c.Program]
		if b == nil {
			b = &book.Book{}
			h.books[c.Program] = b
		}
		return core.TurnReserved{OK: b.Reserve(c.Attempt, c.Most, c.Budget)}
	case core.SettleTurn:
		if h.books[c.Program] == nil {
			h.books[c.Program] = &book.Book{}
		}
		h.books[c.Program].Settle(c.Attempt, c.Tokens)
		return core.Done{OK: true}
	case core.KeepTurn:
		h.kept[c.Attempt] = c
		return core.Done{OK: true}
	case core.ProlongTurn:
		return core.Done{OK: true}
	case core.ReadSeats:
		return core.Seats{}
	case core.ReadTurn:
		k, ok := h.kept[c.Attempt]
		return core.KeptTurn{Found: ok && k.Tenant == c.Tenant, Absence: h.absence, Before: k.Before, Input: k.Input, Output: k.Output, Left: time.Minute}
	case core.DrawRates:
		var answer core.RatesDrawn
		for _, d := range c.Draws {
			if h.ledgers[d.Tenant] == nil {
				h.ledgers[d.Tenant] = rate.Restore(h.now, rate.DurableState{}, d.Draw.LeaseDuration)
			}
			drawn, _ := h.ledgers[d.Tenant].Draw(h.now, d.Draw)
			answer.Drawn = append(answer.Drawn, drawn)
		}
		return answer
	}
	h.t.Fatalf("unexpected command %T", command)
	return nil
}

// hear brings a bulletin of a desk.
func (h *harness) update(from string, list []desk.Listed, number uint64, text []byte) {
	h.version++
	topology := core.Topology{Fleet: "f", Cores: map[string]core.Core{"c": {ID: "c", Incarnation: "1", Peer: "c:1"}}, Owners: []partition.Term{{Round: 1, Leader: "c.1"}, {Round: 1, Leader: "c.1"}},
		Groups: make([]partition.Group, 2)}
	h.apply(h.m.Receive(h.now, from, desk.Bulletin{Life: "l", Version: h.version, List: list, Number: number, Table: text, Nodes: 1, Topology: &topology}))
}

func listings(service string, ids ...string) []desk.Listed {
	var list []desk.Listed
	for i, id := range ids {
		list = append(list, desk.Listed{Replica: desk.Replica{ID: id, Service: service, Address: id + ":1", Zone: "a", Slots: 4, Call: int64(i + 1)}, Version: 1})
	}
	return list
}

func (h *harness) start() {
	h.update("d1:1", append(listings("model", "m1", "m2"), listings("app", "a1", "a2", "a3")...), 1, tableJSON(1, nil))
}

func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 10 * time.Millisecond
		h.apply(h.m.Tick(h.now))
		// As the requesters' side does, a replica is let go at the request's time.
		for _, ticket := range ordered.Keys(h.deadlines) {
			if h.now > h.deadlines[ticket] {
				h.outcome(ticket, Outcome{Kind: OutcomeInterrupted})
			}
		}
	}
}

func newRequest(path string, change func(r *Request)) Request {
	r := Request{Host: "h", Path: path, Key: "key", HasKey: true, Remaining: 4 * time.Second}
	if change != nil {
		change(&r)
	}
	return r
}

func (h *harness) request(r Request) uint64 {
	h.next++
	if r.Attempt == "" {
		r.Attempt = fmt.Sprint("try", h.next)
	}
	h.apply(h.m.HandleRequest(h.now, h.next, r))
	return h.next
}

func (h *harness) last(ticket uint64) Step {
	if list := h.steps[ticket]; len(list) > 0 {
		return list[len(list)-1]
	}
	return Step{}
}

func (h *harness) outcome(ticket uint64, o Outcome) { h.apply(h.m.HandleOutcome(h.now, ticket, o)) }

func (h *harness) expect(ticket uint64, kind string, status int) {
	h.t.Helper()
	if s := h.last(ticket); s.Kind != kind || s.Status != status {
		h.t.Fatalf("step %+v, want %s %d", s, kind, status)
	}
}

// TestTurnIsChargedByTheTableItCameUnder: a table that drops the service meanwhile
// does not change what the turn's events cost.
func TestTurnIsChargedByItsAdmissionTable(t *testing.T) {
	h := newHarness(t)
	h.start()
	w := h.request(newRequest("/chat/x", func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens = "p", 100, 50 }))
	h.expect(w, StepSend, 0)
	h.update("d1:1", nil, 2, tableJSON(2, func(t *route.Table) {
		t.Services = t.Services[1:]
		t.Routes = t.Routes[1:]
	}))
	h.outcome(w, Outcome{Kind: OutcomeComplete, Events: 4, Started: true})
	h.expect(w, StepDeliver, 0)
	if got := h.books["p"].Charged; got != 40 {
		t.Fatalf("charged %d for 4 events of 10 tokens", got)
	}
}

// TestSilenceAtOneDeskIsNoWordAgainstAnother: a replica that went on to another
// desk and back stays known.
func TestReplicaListedByOneDeskStaysKnown(t *testing.T) {
	h := newHarness(t)
	h.start()
	at := func(call int64, gone bool) []desk.Listed {
		return []desk.Listed{{Replica: desk.Replica{ID: "r", Service: "app", Address: "r:1", Zone: "a", Slots: 4, Call: call}, Gone: gone, Version: 9}}
	}
	h.update("d2:1", at(11, false), 1, nil)
	h.update("d1:1", at(12, false), 1, nil)
	h.update("d1:1", at(12, true), 1, nil)
	found := false
	h.m.mergeListings(h.now)
	for _, s := range h.m.services["app"].replicas {
		found = found || s.ID == "r"
	}
	if !found {
		t.Fatal("a replica that announces itself at the second desk is hidden")
	}
	final := at(12, true)
	final[0].Final = true
	h.update("d1:1", final, 1, nil)
	h.m.mergeListings(h.now)
	for _, s := range h.m.services["app"].replicas {
		if s.ID == "r" {
			t.Fatal("a replica that left is still chosen")
		}
	}
}

func TestOrderOfChecks(t *testing.T) {
	for _, c := range []struct {
		name   string
		ask    Request
		status int
	}{
		{"size before route", newRequest("/nowhere/", func(r *Request) { r.BodyBytes = 1 << 30 }), 413},
		{"route before key", newRequest("/nowhere/", func(r *Request) { r.Key = "wrong" }), 404},
		{"key before deadline", newRequest("/once/x", func(r *Request) { r.Key, r.Remaining = "wrong", -1 }), 401},
		{"no key", newRequest("/once/x", func(r *Request) { r.Key, r.HasKey = "", false }), 401},
		{"deadline", newRequest("/once/x", func(r *Request) { r.Remaining = -1 }), 503},
		{"budget before history", newRequest("/chat/x", func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens, r.Previous = "p", 10, 50, "none" }), 402},
		{"history", newRequest("/chat/x", func(r *Request) { r.Previous = "none" }), 404},
	} {
		h := newHarness(t)
		h.start()
		w := h.request(c.ask)
		if s := h.last(w); s.Kind != StepRefuse || s.Status != c.status {
			t.Errorf("%s: %+v", c.name, s)
		}
	}
}

// TestRateBeforeBudget: the tenant's rate is looked at before the program's books.
func TestRateBeforeBudget(t *testing.T) {
	h := newHarness(t)
	limited := func(t *route.Table) { t.Tenants[0].Rate, t.Tenants[0].Burst = 0.2, 1 }
	h.update("d1:1", append(listings("model", "m1"), listings("app", "a1")...), 1, tableJSON(1, limited))
	for i := 0; i < 2; i++ {
		w := h.request(newRequest("/once/x", nil))
		h.expect(w, StepSend, 0)
		h.outcome(w, Outcome{Kind: OutcomeComplete})
	}
	w := h.request(newRequest("/chat/x", func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens = "p", 10, 50 }))
	h.advance(1500 * time.Millisecond)
	h.expect(w, StepRefuse, 429)
	if h.last(w).RetryAfter <= 0 {
		t.Fatal("no time to come back")
	}
	if h.books["p"] != nil {
		t.Fatal("a turn beyond the rate was booked")
	}
	h.advance(6 * time.Second)
	w = h.request(newRequest("/once/x", nil))
	h.expect(w, StepSend, 0)
}

// TestWhatNeverRanIsGivenBack: a request that no replica ran costs nothing of its
// tenant's rate, nor of its program's budget.
func TestUnrunRequestIsRefunded(t *testing.T) {
	h := newHarness(t)
	h.update("d1:1", listings("model", "m1", "m2"), 1, tableJSON(1, func(t *route.Table) { t.Tenants[0].Rate, t.Tenants[0].Burst = 0.2, 1 }))
	for i := 0; i < 10; i++ {
		w := h.request(newRequest("/chat/x", func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens = "p", 50, 50 }))
		for h.last(w).Kind == StepSend {
			h.outcome(w, Outcome{Kind: OutcomeNotRun})
		}
		h.expect(w, StepRefuse, 503)
	}
	if b := h.books["p"]; b.Charged != 0 || len(b.Running) != 0 {
		t.Fatalf("books %+v", b)
	}
	if spent := h.m.rates["t1"].spent; spent != 0 {
		t.Fatalf("%d of the rate spent", spent)
	}
}

func TestRequestThatMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name, path string
		outcomes   []Outcome
		kind       string
		status     int
		sendings   int
	}{
		{"a once-only request that broke", "/once/x", []Outcome{{Kind: OutcomeInterrupted}}, StepAbort, 502, 1},
		{"a once-only request that was promised not run, then broke", "/once/x", []Outcome{{Kind: OutcomeNotRun}, {Kind: OutcomeInterrupted}}, StepAbort, 502, 2},
		{"a once-only request that no replica ran", "/once/x", []Outcome{{Kind: OutcomeNotRun}, {Kind: OutcomeNotRun}, {Kind: OutcomeNotRun}}, StepRefuse, 503, 3},
		{"a repeatable request goes on elsewhere", "/again/x", []Outcome{{Kind: OutcomeInterrupted}, {Kind: OutcomeComplete}}, StepDeliver, 0, 2},
		{"a repeatable request that broke and then was refused is not refused", "/again/x", []Outcome{{Kind: OutcomeInterrupted}, {Kind: OutcomeNotRun}}, StepAbort, 502, 2},
		{"a kept stream that broke", "/chat/x", []Outcome{{Kind: OutcomeInterrupted, Started: true, Events: 2}}, StepAbort, 502, 1},
	} {
		h := newHarness(t)
		h.start()
		w := h.request(newRequest(c.path, nil))
		for _, o := range c.outcomes {
			h.outcome(w, o)
		}
		sendings := 0
		for _, s := range h.steps[w] {
			if s.Kind == StepSend {
				sendings++
			}
		}
		if s := h.last(w); s.Kind != c.kind || s.Status != c.status || sendings != c.sendings {
			t.Errorf("%s: %d sendings, %+v", c.name, sendings, s)
		}
	}
}

// TestSilentCores: what needs the cores is refused within half of its time, as not
// run, and what their late answers booked is booked out again.
func TestUnresponsiveCores(t *testing.T) {
	h := newHarness(t)
	h.start()
	h.silent = true
	w := h.request(newRequest("/chat/x", func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens = "p", 100, 50 }))
	tool := h.request(newRequest("/once/x", nil))
	h.expect(tool, StepSend, 0)
	h.advance(1900 * time.Millisecond)
	if len(h.steps[w]) != 0 {
		t.Fatalf("given up early: %+v", h.last(w))
	}
	h.advance(200 * time.Millisecond)
	h.expect(w, StepRefuse, 503)
	h.silent = false
	held := h.heldAnswers
	h.heldAnswers = nil
	for _, answer := range held {
		answer()
	}
	h.advance(2 * time.Second)
	if b := h.books["p"]; b == nil || b.Outstanding() != 0 || b.Charged != 0 {
		t.Fatalf("books %+v", b)
	}
}

// TestChainThroughAnotherNode: a node that has never seen a conversation reads it
// whole and hands its replica exactly that.
func TestHistoryReadByAnotherNode(t *testing.T) {
	h := newHarness(t)
	h.start()
	previous := ""
	for i := 1; i <= 3; i++ {
		w := h.request(newRequest("/chat/x", func(r *Request) {
			r.Attempt, r.Previous, r.Input = fmt.Sprint("turn", i), previous, []byte(fmt.Sprint("in", i))
		}))
		h.outcome(w, Outcome{Kind: OutcomeComplete, Events: 1, Started: true, Output: []byte(fmt.Sprint("out", i, "\n"))})
		h.expect(w, StepDeliver, 0)
		previous = fmt.Sprint("turn", i)
	}
	other := newHarness(t)
	other.kept = h.kept
	other.start()
	w := other.request(newRequest("/chat/x", func(r *Request) { r.Previous, r.Input = "turn3", []byte("in4") }))
	other.expect(w, StepSend, 0)
	var said string
	for _, b := range other.last(w).History {
		said += string(b)
	}
	if said != "in1out1\nin2out2\nin3out3\n" {
		t.Fatalf("%q", said)
	}
}

// TestKeptTurnEndsWhenDurable: the end of a kept turn is passed on after the cores
// have it, and not before.
func TestKeptTurnEndsWhenDurable(t *testing.T) {
	h := newHarness(t)
	h.start()
	w := h.request(newRequest("/chat/x", nil))
	h.silent = true
	h.outcome(w, Outcome{Kind: OutcomeComplete, Events: 1, Started: true, Output: []byte("o\n")})
	if s := h.last(w); s.Kind != StepSend {
		t.Fatalf("%+v before the cores have it", s)
	}
	for _, answer := range h.heldAnswers {
		answer()
	}
	h.expect(w, StepDeliver, 0)
}

// TestLeavingReplicaGetsNothing from the moment a desk has told.
func TestLeavingReplicaReceivesNoRequests(t *testing.T) {
	h := newHarness(t)
	h.start()
	leaving := listings("app", "a1", "a2")
	for i := range leaving {
		leaving[i].Replica.Leaving, leaving[i].Replica.Call = true, 50
	}
	h.update("d1:1", leaving, 1, nil)
	for i := 0; i < 30; i++ {
		w := h.request(newRequest("/once/x", nil))
		if s := h.last(w); s.Replica.ID != "a3" {
			t.Fatalf("%+v", s)
		}
		h.outcome(w, Outcome{Kind: OutcomeComplete})
	}
}

// TestNewLifeWaitsForAConfirmedTable, and a table never goes back.
func TestNewIncarnationWaitsForConfirmedTable(t *testing.T) {
	h := newHarness(t)
	h.m.params.HeartbeatInterval = time.Hour
	tell := func(number uint64, text []byte, confirmed time.Duration) {
		h.version++
		h.apply(h.m.Receive(h.now, "d1:1", desk.Bulletin{Life: "l", Version: h.version, Number: number, Table: text, Confirmed: confirmed, Nodes: 1}))
	}
	tell(3, tableJSON(3, nil), -1)
	if h.m.Ready(h.now) || h.m.TableNumber() != 0 {
		t.Fatal("a table that nobody has confirmed is in force")
	}
	tell(5, nil, time.Millisecond)
	if h.m.TableNumber() != 0 {
		t.Fatal("in force though a newer one is known of")
	}
	tell(5, tableJSON(5, nil), time.Millisecond)
	if h.m.TableNumber() != 5 || !h.m.Ready(h.now) {
		t.Fatalf("table %d", h.m.TableNumber())
	}
	tell(4, tableJSON(4, nil), time.Millisecond)
	if h.m.TableNumber() != 5 {
		t.Fatal("the table went back")
	}
}

// TestSuspicion: a replica that breaks once-only requests is avoided while others
// have room, is tried when they have none, and is forgiven by itself.
func TestFailingReplicaIsAvoidedThenRetried(t *testing.T) {
	h := newHarness(t)
	h.start()
	broke := 0
	for i := 0; i < 60; i++ {
		w := h.request(newRequest("/once/x", nil))
		o := Outcome{Kind: OutcomeComplete}
		if h.last(w).Replica.ID == "a2" {
			o, broke = Outcome{Kind: OutcomeInterrupted}, broke+1
		}
		h.outcome(w, o)
		h.advance(20 * time.Millisecond)
	}
	if broke == 0 || broke > 3 {
		t.Errorf("%d of 60 went to a replica that breaks all", broke)
	}
	// The others are full: better a suspect than none.
	seen := map[string]int{}
	var open []uint64
	for i := 0; i < 40; i++ {
		w := h.request(newRequest("/once/x", nil))
		seen[h.last(w).Replica.ID]++
		open = append(open, w)
	}
	if seen["a2"] == 0 {
		t.Errorf("%v: a suspect is not tried though the others are full", seen)
	}
	for _, w := range open {
		h.outcome(w, Outcome{Kind: OutcomeComplete})
	}
	h.advance(5 * time.Second)
	again := 0
	for i := 0; i < 60; i++ {
		w := h.request(newRequest("/again/x", nil))
		if h.last(w).Replica.ID == "a2" {
			again++
		}
		h.outcome(w, Outcome{Kind: OutcomeComplete})
	}
	if again == 0 {
		t.Error("a suspect is never forgiven")
	}
}
