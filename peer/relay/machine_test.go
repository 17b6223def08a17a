package relay

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/rule/account"
	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
	"saffronfall/rule/placement"
	"saffronfall/rule/rate"
	"saffronfall/rule/route"
)

// harness runs one node with one registry and cores, which answer at once unless coresSilent is
// set.
type harness struct {
	t           *testing.T
	now         time.Duration
	node        *Machine
	steps       map[uint64][]Step
	accounts    map[string]*account.Account
	storedTurns map[string]core.StoreTurn
	// turnRoom answers claims of room, which roomClaims counts; crowded is in the answers to StoreTurn.
	turnRoom       core.TurnRoom
	roomClaims     int
	crowded        bool
	ledgers        map[string]*rate.Ledger
	coresSilent    bool
	delayedResults []func()
	nextTicket     uint64
	sentBodies     []any
	version        uint64
	deadlines      map[uint64]time.Duration
	completions    []Completion
	// absence is why the cores do not find a stored turn.
	absence core.Absence
	// keys, if set, stores operation keys.
	keys *keyCore
}

func newHarness(t *testing.T) *harness {
	random := rand.New(rand.NewPCG(1, 1))
	h := &harness{t: t, steps: map[uint64][]Step{}, accounts: map[string]*account.Account{}, storedTurns: map[string]core.StoreTurn{}, ledgers: map[string]*rate.Ledger{}, deadlines: map[uint64]time.Duration{}}
	h.node = New(Options{ID: "n1", Incarnation: "x", Zone: "a", Address: "n1:1", Seeds: []string{"d1:1"}, Random: random.Float64,
		Params: Params{Core: core.Params{MemberLease: time.Second, AttemptTimeout: 100 * time.Millisecond, PullInterval: 100 * time.Millisecond}, HeartbeatInterval: time.Second, UpdateInterval: 500 * time.Millisecond,
			RateWindow: 5 * time.Second, Placement: placement.Settings{PromptCache: true, LocalZone: true, FailureRates: true, PromptTokensPerMillisecond: 80, HeartbeatInterval: time.Second}, MaxRequests: 100, CacheBytes: 1 << 20, BudgetRetention: time.Minute}})
	return h
}

func tableJSON(number uint64, change func(t *route.Table)) []byte {
	key := configuration.KeyDigest("key")
	t := route.Table{Number: number, KeyRequired: true, Limits: route.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20},
		Routes: []route.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Mode: route.Stream, KeepHistory: true, KeepSeconds: 60, TimeoutMS: 4000, MaxAttempts: 2, Targets: []route.Target{{Service: "model", Weight: 1}}},
			{Name: "once", Host: "h", Prefix: "/once/", Mode: route.Once, TimeoutMS: 3000, MaxAttempts: 3, Targets: []route.Target{{Service: "app", Weight: 1}}},
			{Name: "again", Host: "h", Prefix: "/again/", Mode: route.Repeatable, TimeoutMS: 3000, MaxAttempts: 2, Targets: []route.Target{{Service: "app", Weight: 1}}}},
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
		h.sentBodies = append(h.sentBodies, s.Body)
		if c, ok := s.Body.(core.Command); ok {
			answer := func() {
				body, err := message.Open(c.Raw)
				if err != nil {
					h.t.Fatal(err)
				}
				h.apply(h.node.Receive(h.now, s.To, core.CommandResult{ID: c.ID, Partition: c.Partition, Raw: message.Pack(h.answer(body))}))
			}
			if h.coresSilent {
				h.delayedResults = append(h.delayedResults, answer)
			} else {
				answer()
			}
		}
	}
}

func (h *harness) answer(command any) any {
	switch c := command.(type) {
	case core.ReserveTurn:
		b := h.accounts[c.Program]
		if b == nil {
			b = &account.Account{}
			h.accounts[c.Program] = b
		}
		return core.ReserveTurnResult{OK: b.Reserve(c.Attempt, c.MaxTokens, c.Budget)}
	case core.SettleTurn:
		if h.accounts[c.Program] == nil {
			h.accounts[c.Program] = &account.Account{}
		}
		h.accounts[c.Program].Settle(c.Attempt, c.Tokens)
		return core.Done{OK: true}
	case core.StoreTurn:
		h.storedTurns[c.Attempt] = c
		return core.Done{OK: true, Crowded: h.crowded}
	case core.ClaimTurnRoom:
		h.roomClaims++
		return h.turnRoom
	case core.ClaimKey, core.EndKey:
		return h.keys.run(command)
	case core.ExtendTurn:
		return core.Done{OK: true}
	case core.ReadGroup:
		return core.GroupMembers{}
	case core.ReadTurn:
		k, ok := h.storedTurns[c.Attempt]
		return core.ReadTurnResult{Found: ok && k.Tenant == c.Tenant, Absence: h.absence, Previous: k.Previous, Input: k.Input, Output: k.Output, Remaining: time.Minute}
	case core.DrawRates:
		var answer core.DrawRatesResult
		for _, d := range c.Draws {
			if h.ledgers[d.Tenant] == nil {
				h.ledgers[d.Tenant] = rate.Restore(h.now, rate.DurableState{}, d.Request.LeaseDuration)
			}
			drawn, _ := h.ledgers[d.Tenant].Draw(h.now, d.Request)
			answer.Responses = append(answer.Responses, drawn)
		}
		return answer
	}
	h.t.Fatalf("unexpected command %T", command)
	return nil
}

func (h *harness) update(from string, list []registry.ReplicaEntry, number uint64, text []byte) {
	h.version++
	topology := core.Topology{Fleet: "f", Cores: map[string]core.Core{"c": {ID: "c", Incarnation: "1", Peer: "c:1"}}, Leaders: []partition.Term{{Round: 1, Leader: "c.1"}, {Round: 1, Leader: "c.1"}},
		Groups: make([]partition.Group, 2)}
	h.apply(h.node.Receive(h.now, from, registry.Update{Incarnation: "l", Version: h.version, Replicas: list, TableNumber: number, Table: text, NodeCount: 1, Topology: &topology}))
}

func listings(service string, ids ...string) []registry.ReplicaEntry {
	var list []registry.ReplicaEntry
	for i, id := range ids {
		list = append(list, registry.ReplicaEntry{Replica: registry.Replica{ID: id, Service: service, Address: id + ":1", Zone: "a", Slots: 4, Sequence: int64(i + 1)}, Version: 1})
	}
	return list
}

func (h *harness) start() {
	h.update("d1:1", append(listings("model", "m1", "m2"), listings("app", "a1", "a2", "a3")...), 1, tableJSON(1, nil))
}

func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 10 * time.Millisecond
		h.apply(h.node.Tick(h.now))
		// Like the front end, end the attempt at the request's deadline.
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
	h.nextTicket++
	if r.Attempt == "" {
		r.Attempt = fmt.Sprint("try", h.nextTicket)
	}
	h.apply(h.node.HandleRequest(h.now, h.nextTicket, r))
	return h.nextTicket
}

func (h *harness) lastStep(ticket uint64) Step {
	if list := h.steps[ticket]; len(list) > 0 {
		return list[len(list)-1]
	}
	return Step{}
}

func (h *harness) outcome(ticket uint64, o Outcome) { h.apply(h.node.HandleOutcome(h.now, ticket, o)) }

func (h *harness) expect(ticket uint64, kind string, status int) {
	h.t.Helper()
	if s := h.lastStep(ticket); s.Kind != kind || s.Status != status {
		h.t.Fatalf("step %+v, want %s %d", s, kind, status)
	}
}

// TestTurnIsChargedByItsAdmissionTable: a table that drops the service must not change the charge.
func TestTurnIsChargedByItsAdmissionTable(t *testing.T) {
	h := newHarness(t)
	h.start()
	ticket := h.request(newRequest("/chat/x", func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens = "p", 100, 50 }))
	h.expect(ticket, StepSend, 0)
	h.update("d1:1", nil, 2, tableJSON(2, func(t *route.Table) {
		t.Services = t.Services[1:]
		t.Routes = t.Routes[1:]
	}))
	h.outcome(ticket, Outcome{Kind: OutcomeComplete, Events: 4, Started: true})
	h.expect(ticket, StepDeliver, 0)
	if got := h.accounts["p"].Charged; got != 40 {
		t.Fatalf("charged %d for 4 events of 10 tokens", got)
	}
}

// TestReplicaListedByOneRegistryStaysKnown: the registry that lost a replica must not hide it.
func TestReplicaListedByOneRegistryStaysKnown(t *testing.T) {
	h := newHarness(t)
	h.start()
	at := func(sequence int64, removed bool) []registry.ReplicaEntry {
		return []registry.ReplicaEntry{{Replica: registry.Replica{ID: "r", Service: "app", Address: "r:1", Zone: "a", Slots: 4, Sequence: sequence}, Removed: removed, Version: 9}}
	}
	h.update("d2:1", at(11, false), 1, nil)
	h.update("d1:1", at(12, false), 1, nil)
	h.update("d1:1", at(12, true), 1, nil)
	found := false
	h.node.mergeListings(h.now)
	for _, s := range h.node.services["app"].replicas {
		found = found || s.ID == "r"
	}
	if !found {
		t.Fatal("a replica that sends heartbeats to the second registry is not known")
	}
	final := at(12, true)
	final[0].Final = true
	h.update("d1:1", final, 1, nil)
	h.node.mergeListings(h.now)
	for _, s := range h.node.services["app"].replicas {
		if s.ID == "r" {
			t.Fatal("a replica that left can still be chosen")
		}
	}
}

// TestOrderOfChecks: of several reasons for a refusal, the first in order counts.
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
		ticket := h.request(c.ask)
		if s := h.lastStep(ticket); s.Kind != StepRefuse || s.Status != c.status {
			t.Errorf("%s: %+v", c.name, s)
		}
	}
}

func TestRateBeforeBudget(t *testing.T) {
	h := newHarness(t)
	limited := func(t *route.Table) { t.Tenants[0].Rate, t.Tenants[0].Burst = 0.2, 1 }
	h.update("d1:1", append(listings("model", "m1"), listings("app", "a1")...), 1, tableJSON(1, limited))
	for i := 0; i < 2; i++ {
		ticket := h.request(newRequest("/once/x", nil))
		h.expect(ticket, StepSend, 0)
		h.outcome(ticket, Outcome{Kind: OutcomeComplete})
	}
	ticket := h.request(newRequest("/chat/x", func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens = "p", 10, 50 }))
	h.advance(1500 * time.Millisecond)
	h.expect(ticket, StepRefuse, 429)
	if h.lastStep(ticket).RetryAfter <= 0 {
		t.Fatal("the refusal has no time to retry after")
	}
	if h.accounts["p"] != nil {
		t.Fatal("a turn refused for the rate has a budget reservation")
	}
	h.advance(6 * time.Second)
	ticket = h.request(newRequest("/once/x", nil))
	h.expect(ticket, StepSend, 0)
}

// TestUnrunRequestIsRefunded: a request that no replica ran costs neither rate nor budget.
func TestUnrunRequestIsRefunded(t *testing.T) {
	h := newHarness(t)
	h.update("d1:1", listings("model", "m1", "m2"), 1, tableJSON(1, func(t *route.Table) { t.Tenants[0].Rate, t.Tenants[0].Burst = 0.2, 1 }))
	for i := 0; i < 10; i++ {
		ticket := h.request(newRequest("/chat/x", func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens = "p", 50, 50 }))
		for h.lastStep(ticket).Kind == StepSend {
			h.outcome(ticket, Outcome{Kind: OutcomeNotRun})
		}
		h.expect(ticket, StepRefuse, 503)
	}
	if b := h.accounts["p"]; b.Charged != 0 || len(b.Running) != 0 {
		t.Fatalf("budget after the refusals: %+v", b)
	}
	if spent := h.node.rates["t1"].spent; spent != 0 {
		t.Fatalf("%d units of the rate spent", spent)
	}
}

// TestRequestThatMayHaveRun: it is sent again only on a route that allows it.
func TestRequestThatMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name, path string
		outcomes   []Outcome
		kind       string
		status     int
		sends      int
	}{
		{"a once-only request that is interrupted", "/once/x", []Outcome{{Kind: OutcomeInterrupted}}, StepAbort, 502, 1},
		{"a once-only request that did not run, then is interrupted", "/once/x", []Outcome{{Kind: OutcomeNotRun}, {Kind: OutcomeInterrupted}}, StepAbort, 502, 2},
		{"a once-only request that no replica ran", "/once/x", []Outcome{{Kind: OutcomeNotRun}, {Kind: OutcomeNotRun}, {Kind: OutcomeNotRun}}, StepRefuse, 503, 3},
		{"a repeatable request is sent to another replica", "/again/x", []Outcome{{Kind: OutcomeInterrupted}, {Kind: OutcomeComplete}}, StepDeliver, 0, 2},
		{"a repeatable request that is interrupted, then not run, is not refused", "/again/x", []Outcome{{Kind: OutcomeInterrupted}, {Kind: OutcomeNotRun}}, StepAbort, 502, 2},
		{"a stored stream that is interrupted", "/chat/x", []Outcome{{Kind: OutcomeInterrupted, Started: true, Events: 2}}, StepAbort, 502, 1},
	} {
		h := newHarness(t)
		h.start()
		ticket := h.request(newRequest(c.path, nil))
		for _, o := range c.outcomes {
			h.outcome(ticket, o)
		}
		sends := 0
		for _, s := range h.steps[ticket] {
			if s.Kind == StepSend {
				sends++
			}
		}
		if s := h.lastStep(ticket); s.Kind != c.kind || s.Status != c.status || sends != c.sends {
			t.Errorf("%s: %d attempts, last step %+v", c.name, sends, s)
		}
	}
}

// TestUnresponsiveCores: a waiting request is refused as not run, and a late reservation settled.
func TestUnresponsiveCores(t *testing.T) {
	h := newHarness(t)
	h.start()
	h.coresSilent = true
	ticket := h.request(newRequest("/chat/x", func(r *Request) { r.Program, r.TokenBudget, r.MaxTokens = "p", 100, 50 }))
	tool := h.request(newRequest("/once/x", nil))
	h.expect(tool, StepSend, 0)
	h.advance(1900 * time.Millisecond)
	if len(h.steps[ticket]) != 0 {
		t.Fatalf("refused too early: %+v", h.lastStep(ticket))
	}
	h.advance(200 * time.Millisecond)
	h.expect(ticket, StepRefuse, 503)
	h.coresSilent = false
	held := h.delayedResults
	h.delayedResults = nil
	for _, answer := range held {
		answer()
	}
	h.advance(2 * time.Second)
	if b := h.accounts["p"]; b == nil || b.Outstanding() != 0 || b.Charged != 0 {
		t.Fatalf("budget after the refusals: %+v", b)
	}
}

// TestHistoryReadByAnotherNode: a node without the conversation in its cache reads all of it.
func TestHistoryReadByAnotherNode(t *testing.T) {
	h := newHarness(t)
	h.start()
	previous := ""
	for i := 1; i <= 3; i++ {
		ticket := h.request(newRequest("/chat/x", func(r *Request) {
			r.Attempt, r.Previous, r.Input = fmt.Sprint("turn", i), previous, []byte(fmt.Sprint("in", i))
		}))
		h.outcome(ticket, Outcome{Kind: OutcomeComplete, Events: 1, Started: true, Output: []byte(fmt.Sprint("out", i, "\n"))})
		h.expect(ticket, StepDeliver, 0)
		previous = fmt.Sprint("turn", i)
	}
	other := newHarness(t)
	other.storedTurns = h.storedTurns
	other.start()
	ticket := other.request(newRequest("/chat/x", func(r *Request) { r.Previous, r.Input = "turn3", []byte("in4") }))
	other.expect(ticket, StepSend, 0)
	var history string
	for _, b := range other.lastStep(ticket).History {
		history += string(b)
	}
	if history != "in1out1\nin2out2\nin3out3\n" {
		t.Fatalf("history sent to the replica: %q", history)
	}
}

// TestStoredTurnEndsWhenDurable: its end must not be delivered before the cores have stored it.
func TestStoredTurnEndsWhenDurable(t *testing.T) {
	h := newHarness(t)
	h.start()
	ticket := h.request(newRequest("/chat/x", nil))
	h.coresSilent = true
	h.outcome(ticket, Outcome{Kind: OutcomeComplete, Events: 1, Started: true, Output: []byte("o\n")})
	if s := h.lastStep(ticket); s.Kind != StepSend {
		t.Fatalf("%+v before the cores have stored the turn", s)
	}
	for _, answer := range h.delayedResults {
		answer()
	}
	h.expect(ticket, StepDeliver, 0)
}

func TestLeavingReplicaReceivesNoRequests(t *testing.T) {
	h := newHarness(t)
	h.start()
	leaving := listings("app", "a1", "a2")
	for i := range leaving {
		leaving[i].Replica.Leaving, leaving[i].Replica.Sequence = true, 50
	}
	h.update("d1:1", leaving, 1, nil)
	for i := 0; i < 30; i++ {
		ticket := h.request(newRequest("/once/x", nil))
		if s := h.lastStep(ticket); s.Replica.ID != "a3" {
			t.Fatalf("%+v", s)
		}
		h.outcome(ticket, Outcome{Kind: OutcomeComplete})
	}
}

// TestNewIncarnationWaitsForConfirmedTable: an outdated table must not be used after a restart.
func TestNewIncarnationWaitsForConfirmedTable(t *testing.T) {
	h := newHarness(t)
	h.node.params.HeartbeatInterval = time.Hour
	tell := func(number uint64, text []byte, confirmed time.Duration) {
		h.version++
		h.apply(h.node.Receive(h.now, "d1:1", registry.Update{Incarnation: "l", Version: h.version, TableNumber: number, Table: text, ConfirmationAge: confirmed, NodeCount: 1}))
	}
	tell(3, tableJSON(3, nil), -1)
	if h.node.Ready(h.now) || h.node.TableNumber() != 0 {
		t.Fatal("an unconfirmed table is in force")
	}
	tell(5, nil, time.Millisecond)
	if h.node.TableNumber() != 0 {
		t.Fatal("a table is in force although a newer one is known")
	}
	tell(5, tableJSON(5, nil), time.Millisecond)
	if h.node.TableNumber() != 5 || !h.node.Ready(h.now) {
		t.Fatalf("table %d", h.node.TableNumber())
	}
	tell(4, tableJSON(4, nil), time.Millisecond)
	if h.node.TableNumber() != 5 {
		t.Fatal("an older table replaced a newer one")
	}
}

// TestFailingReplicaIsAvoidedThenRetried: it is still used if no other replica has a free slot.
func TestFailingReplicaIsAvoidedThenRetried(t *testing.T) {
	h := newHarness(t)
	h.start()
	interrupted := 0
	for i := 0; i < 60; i++ {
		ticket := h.request(newRequest("/once/x", nil))
		o := Outcome{Kind: OutcomeComplete}
		if h.lastStep(ticket).Replica.ID == "a2" {
			o, interrupted = Outcome{Kind: OutcomeInterrupted}, interrupted+1
		}
		h.outcome(ticket, o)
		h.advance(20 * time.Millisecond)
	}
	if interrupted == 0 || interrupted > 3 {
		t.Errorf("%d of 60 requests went to a replica that interrupts all of them", interrupted)
	}
	seen := map[string]int{}
	var open []uint64
	for i := 0; i < 40; i++ {
		ticket := h.request(newRequest("/once/x", nil))
		seen[h.lastStep(ticket).Replica.ID]++
		open = append(open, ticket)
	}
	if seen["a2"] == 0 {
		t.Errorf("%v: the failing replica is not used although the others are full", seen)
	}
	for _, ticket := range open {
		h.outcome(ticket, Outcome{Kind: OutcomeComplete})
	}
	h.advance(5 * time.Second)
	again := 0
	for i := 0; i < 60; i++ {
		ticket := h.request(newRequest("/again/x", nil))
		if h.lastStep(ticket).Replica.ID == "a2" {
			again++
		}
		h.outcome(ticket, Outcome{Kind: OutcomeComplete})
	}
	if again == 0 {
		t.Error("the replica is not used again after it has recovered")
	}
}
