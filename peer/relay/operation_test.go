package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/partition"
	"saffronfall/rule/route"
)

// keyCore is one core that stores operation keys for several nodes.
type keyCore struct {
	t       *testing.T
	machine *core.Machine
	now     time.Duration
	lastID  uint64
	results map[uint64]core.CommandResult
}

const keyPartitions = 2

func newKeyCore(t *testing.T) *keyCore {
	params := core.Params{Partition: partition.Params{LeaseDuration: 600 * time.Millisecond, Drift: 0.1, RenewalsPerLease: 5, LeasesPerSweep: 8},
		MemberLease: 2 * time.Second, AttemptTimeout: 150 * time.Millisecond, PullInterval: 150 * time.Millisecond}
	k := &keyCore{t: t, results: map[uint64]core.CommandResult{}}
	k.machine = core.New(core.Options{Params: params, ID: "c", Address: "c", Stored: core.Stored{Incarnation: "1"}, Random: func() float64 { return 0.5 }})
	out, ok := k.machine.AcceptFounding(0, core.FailureDomains{}.PlanFleet("f", keyPartitions, 1, []core.Core{k.machine.Self()}))
	if !ok {
		t.Fatal("fleet not founded")
	}
	k.handle(out)
	k.advance(time.Second)
	return k
}

func (k *keyCore) handle(o core.Output) {
	for _, s := range o.Sends {
		if result, ok := s.Body.(core.CommandResult); ok {
			k.results[result.ID] = result
		} else if s.To == "c" {
			k.handle(k.machine.Receive(k.now, "c", s.Body))
		}
	}
}

func (k *keyCore) advance(d time.Duration) {
	for end := k.now + d; k.now < end; {
		k.now += 20 * time.Millisecond
		k.handle(k.machine.Tick(k.now))
	}
}

func (k *keyCore) run(command any) any {
	k.lastID++
	k.handle(k.machine.Receive(k.now, "n", core.Command{ID: k.lastID, Partition: core.TargetPartition(keyPartitions, command), Raw: message.Pack(command)}))
	body, err := message.Open(k.results[k.lastID].Raw)
	if err != nil {
		k.t.Fatalf("%T: %v", command, err)
	}
	return body
}

// keyedTable has a keyed route to the service "app", which deduplicates if deduplicates is set.
func keyedTable(number uint64, deduplicates bool) []byte {
	return tableJSON(number, func(t *route.Table) {
		t.Routes = append(t.Routes, route.Route{Name: "pay", Host: "h", Prefix: "/pay/", Mode: route.Keyed, TimeoutMS: 1500, MaxAttempts: 3,
			Targets: []route.Target{{Service: "app", Weight: 1}}})
		t.Services[1].Deduplicates = deduplicates
	})
}

// newKeyedNodes returns nodes that share a core.
func newKeyedNodes(t *testing.T, count int, deduplicates bool) (*keyCore, []*harness) {
	shared := newKeyCore(t)
	var nodes []*harness
	for i := 0; i < count; i++ {
		h := newHarness(t)
		h.keys = shared
		h.node.id, h.node.incarnation = fmt.Sprint("n", i), fmt.Sprint("x", i)
		h.node.params.KeyWindow, h.node.params.MaxKeyResponse = 20*time.Second, 1000
		h.update("d1:1", append(listings("model", "m1"), listings("app", "a1", "a2", "a3")...), 1, keyedTable(1, deduplicates))
		nodes = append(nodes, h)
	}
	return shared, nodes
}

func (h *harness) keyed(key string) uint64 {
	return h.request(newRequest("/pay/x", func(r *Request) { r.OperationKey = key }))
}

func completeResponse(body string) Outcome {
	return Outcome{Kind: OutcomeComplete, Status: 200, Response: &core.KeyResponse{Status: 200, Header: [][2]string{{"Seal", "s1"}}, Body: []byte(body)}}
}

func (h *harness) outcomeUntilEnd(ticket uint64, outcome Outcome) {
	for h.lastStep(ticket).Kind == StepSend {
		h.outcome(ticket, outcome)
	}
}

func (h *harness) expectReplay(ticket uint64, body string) {
	h.t.Helper()
	if s := h.lastStep(ticket); s.Kind != StepReplay || s.Response == nil || string(s.Response.Body) != body || s.Response.Status != 200 {
		h.t.Fatalf("step %+v, want the stored response %q", s, body)
	}
}

func TestRepeatGetsFirstResponseAtAnyNode(t *testing.T) {
	for _, deduplicates := range []bool{false, true} {
		_, nodes := newKeyedNodes(t, 2, deduplicates)
		first := nodes[0].keyed("k")
		nodes[0].expect(first, StepSend, 0)
		if s := nodes[0].lastStep(first); !s.RunToEnd {
			t.Fatal("an operation ends with its requester's connection")
		}
		nodes[0].outcome(first, completeResponse("receipt"))
		nodes[0].expect(first, StepDeliver, 0)
		for _, node := range nodes {
			node.expectReplay(node.keyed("k"), "receipt")
		}
		nodes[1].expect(nodes[1].keyed("other"), StepSend, 0)
	}
}

// The response must not be held back for long by cores that do not answer, and is stored later.
func TestResponseIsDeliveredWhileCoresAreSilent(t *testing.T) {
	_, nodes := newKeyedNodes(t, 2, false)
	first := nodes[0].keyed("k")
	nodes[0].coresSilent = true
	nodes[0].outcome(first, completeResponse("receipt"))
	nodes[0].expect(first, StepSend, 0)
	nodes[0].advance(300 * time.Millisecond)
	nodes[0].expect(first, StepDeliver, 0)
	nodes[1].expect(nodes[1].keyed("k"), StepRefuse, 409)
	nodes[0].coresSilent = false
	nodes[0].advance(2 * time.Second)
	nodes[1].expectReplay(nodes[1].keyed("k"), "receipt")
}

func TestRepeatDuringRunIsInProgress(t *testing.T) {
	_, nodes := newKeyedNodes(t, 2, false)
	first := nodes[0].keyed("k")
	nodes[1].expect(nodes[1].keyed("k"), StepRefuse, 409)
	nodes[0].expect(nodes[0].keyed("k"), StepRefuse, 409)
	nodes[0].outcome(first, completeResponse("receipt"))
	nodes[1].expectReplay(nodes[1].keyed("k"), "receipt")
}

// An operation whose outcome is unknown must never be sent again to a service that keeps no record
// of keys, and its repeats must not be told forever that it is in progress.
func TestUncertainOperationIsNotSentAgain(t *testing.T) {
	for name, lose := range map[string]func(h *harness, ticket uint64){
		"interrupted": func(h *harness, ticket uint64) { h.outcome(ticket, Outcome{Kind: OutcomeInterrupted}) },
		"disconnected": func(h *harness, ticket uint64) {
			h.outcome(ticket, Outcome{Kind: OutcomeInterrupted, RequesterDisconnected: true})
		},
		"node lost": func(h *harness, ticket uint64) {},
	} {
		shared, nodes := newKeyedNodes(t, 2, false)
		first := nodes[0].keyed("k")
		nodes[0].expect(first, StepSend, 0)
		lose(nodes[0], first)
		if name == "node lost" {
			nodes[1].expect(nodes[1].keyed("k"), StepRefuse, 409)
			shared.advance(2 * time.Second)
		}
		nodes[1].expect(nodes[1].keyed("k"), StepAbort, 502)
	}
}

func TestServiceWithRecordDecidesOnUncertainOperation(t *testing.T) {
	_, nodes := newKeyedNodes(t, 2, true)
	first := nodes[0].keyed("k")
	nodes[0].outcome(first, Outcome{Kind: OutcomeInterrupted})
	nodes[0].expect(first, StepSend, 0)
	second := nodes[1].keyed("k")
	nodes[1].expect(second, StepSend, 0)
	nodes[1].outcome(second, Outcome{Kind: OutcomeNotRun, InProgress: true})
	nodes[1].expect(second, StepRefuse, 409)
	third := nodes[1].keyed("k")
	nodes[1].outcome(third, completeResponse("receipt"))
	nodes[1].expect(third, StepDeliver, 0)
	nodes[0].expectReplay(nodes[0].keyed("k"), "receipt")
}

// The service's record is of no use to another service.
func TestOperationStaysWithItsService(t *testing.T) {
	shared, nodes := newKeyedNodes(t, 2, true)
	first := nodes[0].keyed("k")
	nodes[0].expect(first, StepSend, 0)
	moved := tableJSON(2, func(t *route.Table) {
		t.Services = append(t.Services, route.Service{Name: "ledger", Connections: 10, TokensPerEvent: 1, Deduplicates: true})
		t.Services[1].Deduplicates = true
		t.Routes = append(t.Routes, route.Route{Name: "pay", Host: "h", Prefix: "/pay/", Mode: route.Keyed, TimeoutMS: 1500, MaxAttempts: 3,
			Targets: []route.Target{{Service: "ledger", Weight: 1}}})
	})
	nodes[1].update("d1:1", listings("ledger", "l1"), 2, moved)
	nodes[1].expect(nodes[1].keyed("k"), StepRefuse, 409)
	shared.advance(2 * time.Second)
	nodes[1].expect(nodes[1].keyed("k"), StepAbort, 502)
	nodes[0].outcome(first, completeResponse("receipt"))
	nodes[1].expectReplay(nodes[1].keyed("k"), "receipt")
}

func TestUnrunOperationFreesItsKey(t *testing.T) {
	for name, end := range map[string]func(h *harness, ticket uint64){
		"replicas full": func(h *harness, ticket uint64) {
			for h.lastStep(ticket).Kind == StepSend {
				h.outcome(ticket, Outcome{Kind: OutcomeNotRun})
			}
			h.expect(ticket, StepRefuse, 503)
		},
		"disconnected": func(h *harness, ticket uint64) {
			h.outcome(ticket, Outcome{Kind: OutcomeNotRun, RequesterDisconnected: true})
		},
	} {
		_, nodes := newKeyedNodes(t, 2, false)
		first := nodes[0].keyed("k")
		end(nodes[0], first)
		second := nodes[1].keyed("k")
		if s := nodes[1].lastStep(second); s.Kind != StepSend {
			t.Fatalf("%s: the key is still claimed: %+v", name, s)
		}
	}
}

func TestUnansweredClaimIsNotSentAndIsReleased(t *testing.T) {
	shared, nodes := newKeyedNodes(t, 2, false)
	nodes[0].coresSilent = true
	first := nodes[0].keyed("k")
	nodes[0].advance(time.Second)
	nodes[0].expect(first, StepRefuse, 503)
	nodes[0].coresSilent = false
	for _, answer := range nodes[0].delayedResults {
		answer()
	}
	nodes[0].advance(time.Second)
	shared.advance(time.Second)
	nodes[0].expect(first, StepRefuse, 503)
	nodes[1].expect(nodes[1].keyed("k"), StepSend, 0)
}

// A node that was suspended after its claim was granted sends nothing once its time has passed.
func TestSuspendedHolderSendsNothing(t *testing.T) {
	_, nodes := newKeyedNodes(t, 2, false)
	nodes[0].coresSilent = true
	first := nodes[0].keyed("k")
	nodes[0].now += 5 * time.Second
	nodes[0].coresSilent = false
	for _, answer := range nodes[0].delayedResults {
		answer()
	}
	nodes[0].expect(first, StepRefuse, 503)
	nodes[1].expect(nodes[1].keyed("k"), StepSend, 0)
}

func TestLargeResponseIsNotStored(t *testing.T) {
	for _, deduplicates := range []bool{false, true} {
		_, nodes := newKeyedNodes(t, 2, deduplicates)
		first := nodes[0].keyed("k")
		nodes[0].outcome(first, completeResponse(string(make([]byte, 2000))))
		nodes[0].expect(first, StepDeliver, 0)
		second := nodes[1].keyed("k")
		if deduplicates {
			nodes[1].expect(second, StepSend, 0)
		} else {
			nodes[1].expect(second, StepAbort, 502)
		}
	}
}

func TestKeyedRequestWithoutKeyRunsOnce(t *testing.T) {
	_, nodes := newKeyedNodes(t, 1, true)
	first := nodes[0].keyed("")
	nodes[0].outcome(first, Outcome{Kind: OutcomeInterrupted})
	nodes[0].expect(first, StepAbort, 502)
}

// TestKeyRunsOnceAtAnyOrder drives several nodes with random repeats, outcomes and losses.
func TestKeyRunsOnceAtAnyOrder(t *testing.T) {
	for seed := uint64(0); seed < 300; seed++ {
		random := rand.New(rand.NewPCG(seed, 35))
		shared, nodes := newKeyedNodes(t, 3, false)
		runs, first := map[string]int{}, map[string]string{}
		type attempt struct {
			node   *harness
			ticket uint64
			key    string
		}
		var open []attempt
		for i := 0; i < 60; i++ {
			switch action := random.IntN(10); {
			case action < 5 || len(open) == 0:
				a := attempt{node: nodes[random.IntN(3)], key: fmt.Sprint("k", random.IntN(4))}
				a.ticket = a.node.keyed(a.key)
				switch s := a.node.lastStep(a.ticket); s.Kind {
				case StepSend:
					open = append(open, a)
				case StepReplay:
					if string(s.Response.Body) != first[a.key] {
						t.Fatalf("seed %d: key %s: response %q, first %q", seed, a.key, s.Response.Body, first[a.key])
					}
				}
			case action < 6:
				shared.advance(time.Duration(random.IntN(300)) * time.Millisecond)
			default:
				at := random.IntN(len(open))
				a := open[at]
				outcome := Outcome{Kind: OutcomeNotRun}
				if random.IntN(3) > 0 {
					runs[a.key]++
					body := fmt.Sprint(a.key, "-", i)
					outcome = Outcome{Kind: OutcomeInterrupted}
					if random.IntN(2) == 0 {
						outcome, first[a.key] = completeResponse(body), body
					}
				}
				a.node.outcome(a.ticket, outcome)
				if a.node.lastStep(a.ticket).Kind != StepSend {
					open = append(open[:at], open[at+1:]...)
				}
			}
			for key, count := range runs {
				if count > 1 {
					t.Fatalf("seed %d: key %s ran %d times", seed, key, count)
				}
			}
		}
	}
}

// The service that another attempt was handed to must stay the only one that the operation is sent to.
func TestSharedClaimIsNotReleased(t *testing.T) {
	_, nodes := newKeyedNodes(t, 3, true)
	first := nodes[0].keyed("k")
	second := nodes[1].keyed("k")
	nodes[1].expect(second, StepSend, 0)
	nodes[0].outcome(first, Outcome{Kind: OutcomeNotRun, InProgress: true})
	nodes[0].expect(first, StepRefuse, 409)
	moved := tableJSON(2, func(t *route.Table) {
		t.Services = append(t.Services, route.Service{Name: "ledger", Connections: 10, TokensPerEvent: 1})
		t.Services[1].Deduplicates = true
		t.Routes = append(t.Routes, route.Route{Name: "pay", Host: "h", Prefix: "/pay/", Mode: route.Keyed, TimeoutMS: 1500, MaxAttempts: 3,
			Targets: []route.Target{{Service: "ledger", Weight: 1}}})
	})
	nodes[2].update("d1:1", listings("ledger", "l1"), 2, moved)
	nodes[2].expect(nodes[2].keyed("k"), StepAbort, 502)
	nodes[1].outcome(second, completeResponse("receipt"))
	nodes[1].expect(second, StepDeliver, 0)
	nodes[2].expectReplay(nodes[2].keyed("k"), "receipt")
}

// movedTable sends the keyed route to another deduplicating service, which has no record of the
// first one's keys.
func movedTable(number uint64) []byte {
	return tableJSON(number, func(t *route.Table) {
		t.Services = append(t.Services, route.Service{Name: "ledger", Connections: 10, TokensPerEvent: 1, Deduplicates: true})
		t.Services[1].Deduplicates = true
		t.Routes = append(t.Routes, route.Route{Name: "pay", Host: "h", Prefix: "/pay/", Mode: route.Keyed, TimeoutMS: 1500, MaxAttempts: 3,
			Targets: []route.Target{{Service: "ledger", Weight: 1}}})
	})
}

// The holder's release must not forget that another attempt was sent under the same claim.
func TestReleaseKeepsKeyOfSharedRun(t *testing.T) {
	released := map[string]Outcome{"replicas full": {Kind: OutcomeNotRun}, "in progress": {Kind: OutcomeNotRun, InProgress: true}}
	ended := map[string]Outcome{"interrupted": {Kind: OutcomeInterrupted}, "complete": completeResponse("receipt")}
	for releasedBy, release := range released {
		for endedBy, end := range ended {
			t.Run(releasedBy+", "+endedBy, func(t *testing.T) {
				_, nodes := newKeyedNodes(t, 2, true)
				first := nodes[0].keyed("k")
				nodes[0].expect(first, StepSend, 0)
				second := nodes[1].keyed("k")
				nodes[1].expect(second, StepSend, 0)
				nodes[0].outcomeUntilEnd(first, release)
				nodes[1].outcomeUntilEnd(second, end)
				nodes[1].update("d1:1", listings("ledger", "l1"), 2, movedTable(2))
				third := nodes[1].keyed("k")
				if s := nodes[1].lastStep(third); s.Kind == StepSend {
					t.Fatalf("the key ran at service app and is sent to %s", s.Service)
				}
			})
		}
	}
}

// The window counts from the last possible sending, which may be that of another attempt.
func TestSharedRunExtendsWindow(t *testing.T) {
	shared, nodes := newKeyedNodes(t, 2, true)
	first := nodes[0].keyed("k")
	nodes[0].outcomeUntilEnd(first, Outcome{Kind: OutcomeInterrupted})
	shared.advance(20 * time.Second)
	second := nodes[1].keyed("k")
	nodes[1].expect(second, StepSend, 0)
	nodes[1].outcome(second, completeResponse("receipt"))
	nodes[1].expect(second, StepDeliver, 0)
	shared.advance(16 * time.Second)
	nodes[0].update("d1:1", listings("ledger", "l1"), 2, movedTable(2))
	nodes[0].expectReplay(nodes[0].keyed("k"), "receipt")
}

// A record that a service began to keep only after the run does not have the run's key.
func TestRunBeforeServiceKeptRecordIsNotSentAgain(t *testing.T) {
	_, nodes := newKeyedNodes(t, 2, false)
	first := nodes[0].keyed("k")
	nodes[0].outcome(first, Outcome{Kind: OutcomeInterrupted})
	nodes[0].expect(first, StepAbort, 502)
	nodes[1].update("d1:1", nil, 2, keyedTable(2, true))
	nodes[1].expect(nodes[1].keyed("k"), StepAbort, 502)
}

func TestKeyRunsOnceWhenModeChanges(t *testing.T) {
	_, nodes := newKeyedNodes(t, 2, false)
	first := nodes[0].keyed("k")
	nodes[0].outcome(first, completeResponse("receipt"))
	nodes[1].update("d1:1", nil, 2, tableJSON(2, func(t *route.Table) {
		t.Routes = append(t.Routes, route.Route{Name: "pay", Host: "h", Prefix: "/pay/", Mode: route.Once, TimeoutMS: 1500, MaxAttempts: 3,
			Targets: []route.Target{{Service: "app", Weight: 1}}})
	}))
	if s := nodes[1].lastStep(nodes[1].keyed("k")); s.Kind == StepSend {
		t.Fatal("the key ran and is sent again")
	}
}

// A sound replica that answers that its service is running the key has not failed.
func TestKeyInProgressIsNoFailureOfReplica(t *testing.T) {
	_, nodes := newKeyedNodes(t, 2, true)
	nodes[0].expect(nodes[0].keyed("k"), StepSend, 0)
	second := nodes[1].keyed("k")
	nodes[1].expect(second, StepSend, 0)
	asked := nodes[1].lastStep(second).Replica.ID
	nodes[1].outcome(second, Outcome{Kind: OutcomeNotRun, InProgress: true, Load: &Load{Running: 1, Slots: 4}})
	if outcomes := nodes[1].node.replicas[asked].estimate.TakeOutcomes(); outcomes.Failed != 0 {
		t.Fatalf("the replica counts as failed: %+v", outcomes)
	}
}

// A response must not be held back beyond the request's deadline to store it.
func TestResponseIsDeliveredByDeadline(t *testing.T) {
	_, nodes := newKeyedNodes(t, 1, false)
	first := nodes[0].keyed("k")
	nodes[0].expect(first, StepSend, 0)
	nodes[0].coresSilent = true
	nodes[0].advance(1450 * time.Millisecond)
	nodes[0].outcome(first, completeResponse("receipt"))
	nodes[0].advance(50 * time.Millisecond)
	nodes[0].expect(first, StepDeliver, 0)
}

func TestReleasesDoNotPileUpWhileCoresAreSilent(t *testing.T) {
	_, nodes := newKeyedNodes(t, 1, false)
	node := nodes[0]
	node.coresSilent = true
	for i := 0; i < 400; i++ {
		node.keyed(fmt.Sprint("k", i))
		node.advance(50 * time.Millisecond)
	}
	if waiting := node.node.caller.Pending(); waiting > 60 {
		t.Fatalf("%d commands wait after 20 s without an answer", waiting)
	}
}

func TestRepeatedFailureIsNoSuccess(t *testing.T) {
	_, nodes := newKeyedNodes(t, 1, false)
	failed := completeResponse("oops")
	failed.Failed, failed.Status, failed.Response.Status = true, 500, 500
	nodes[0].outcome(nodes[0].keyed("k"), failed)
	repeat := nodes[0].keyed("k")
	if s := nodes[0].lastStep(repeat); s.Kind != StepReplay || s.Status != 500 {
		t.Fatalf("%+v", s)
	}
	if last := nodes[0].completions[len(nodes[0].completions)-1]; last.Cause != CauseRepeated || !last.Failed() {
		t.Fatalf("%+v counts as served", last)
	}
}

// The claim of a node's former process must not pass for its own.
func TestRestartedNodeDoesNotOwnFormerClaim(t *testing.T) {
	_, nodes := newKeyedNodes(t, 2, false)
	nodes[1].node.id = nodes[0].node.id
	nodes[0].expect(nodes[0].keyed("k"), StepSend, 0)
	nodes[1].expect(nodes[1].keyed("k"), StepRefuse, 409)
}

func TestClaimCarriesWindowAndTime(t *testing.T) {
	_, nodes := newKeyedNodes(t, 1, true)
	nodes[0].keyed("k")
	for _, body := range nodes[0].sentBodies {
		command, ok := body.(core.Command)
		if !ok {
			continue
		}
		if claim, ok := openCommand(t, command).(core.ClaimKey); ok {
			if claim.Window != 20*time.Second || claim.Working != 1500*time.Millisecond || claim.Service != "app" || len(claim.Deduplicating) != 1 {
				t.Fatalf("%+v", claim)
			}
			return
		}
	}
	t.Fatal("no claim was sent")
}

func openCommand(t *testing.T, command core.Command) any {
	body, err := message.Open(command.Raw)
	if err != nil {
		t.Fatal(err)
	}
	return body
}
