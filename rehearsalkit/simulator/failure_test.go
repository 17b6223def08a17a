package simulator

import (
	"fmt"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/program"
)

func submitAndAdvance(w *World, at int, request node.Request, d time.Duration) *judge.Request {
	got := &judge.Request{}
	if request.Timeout == 0 {
		request.Timeout = 8 * time.Second
	}
	w.submit(w.nodes[at], request, func(result judge.Request, _ node.Frame) { *got = result })
	w.Advance(d)
	return got
}

func attemptsOf(w *World, id string) (n int, last time.Duration) {
	for _, s := range w.Record.Attempts {
		if s.RequestID == id || s.OnceKey == id {
			n++
			last = s.At
		}
	}
	return n, last
}

func expectNoBreaches(t *testing.T, w *World) {
	t.Helper()
	for _, b := range w.Record.Judge() {
		t.Error(b)
	}
}

func withLimits(w *World) *World {
	w.Record.Limits = judge.Limits{ProgramTokens: 50_000, TurnTokens: 1000, Retention: time.Hour, PropagationLimit: 2 * time.Second, Rate: map[string]float64{"t1": 50}, Burst: map[string]float64{"t1": 64}}
	return w
}

// A node that resumes after its lease must not start the attempt of an earlier reservation, because
// a successor may own the program.
func TestFrozenNodeStartsNoAttempt(t *testing.T) {
	for i := 0; i < 60; i++ {
		delay := time.Duration(i%10+1) * 700 * time.Microsecond
		// An expired announcement would also prevent the attempt; only the lease must here.
		params := Defaults(uint64(i))
		params.Cores, params.Nodes, params.Users, params.Configuration, params.AnnouncementMaxAge = 3, 3, 0, configurationWith(nil), time.Hour
		w := withLimits(NewWithoutFaults(params))
		_, p := open(w, 0, "u")
		id := w.newID("say")
		submitAndAdvance(w, 0, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: p.Text, Service: "model", PreviousHead: program.EmptyHead, Prompt: id}, delay)
		w.nodes[0].freeze()
		w.Advance(5 * time.Second)
		before, _ := attemptsOf(w, id)
		w.nodes[0].resume()
		w.Advance(4 * time.Second)
		if after, _ := attemptsOf(w, id); after != before {
			t.Errorf("frozen %v after the request: it started the attempt when it resumed", delay)
		}
		expectNoBreaches(t, w)
	}
}

// The reservation of an owner that dies in mid-turn stays charged, and a successor has its history.
func TestOwnerKilledInMidTurn(t *testing.T) {
	w := withLimits(smallWorld(nil))
	_, p := open(w, 0, "u")
	result, first := turn(w, 1, p.Text, program.EmptyHead, 100)
	wantCode(t, "first turn", result, "")
	id := w.newID("say")
	submitAndAdvance(w, 1, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: p.Text, Service: "model", PreviousHead: first.Head, Prompt: id, MaxTokens: 700}, 40*time.Millisecond)
	if n, _ := attemptsOf(w, id); n != 1 {
		t.Fatalf("%d attempts before the kill", n)
	}
	w.nodes[0].kill()
	died := w.now
	for {
		result, last := turn(w, 2, p.Text, first.Head, 100)
		if result.Status == 404 || result.Status == 410 {
			t.Fatalf("reported as gone: %s", result.Code)
		}
		if result.Outcome == judge.Whole {
			result, status := w.Do(1, node.Request{Kind: node.KindStatus, Key: "key-t1", Program: p.Text})
			wantCode(t, "status", result, "")
			var spent int64
			fmt.Sscanf(string(status.Body[indexAfter(status.Body, `"tokens":`):]), "%d", &spent)
			if expected := first.Tokens + 700 + last.Tokens; spent != expected {
				t.Errorf("%d tokens are charged; the lost turn's 700 make it %d", spent, expected)
			}
			break
		}
		if w.now > died+8*time.Second {
			t.Fatalf("no takeover: %s %s", result.Outcome, result.Code)
		}
		w.Advance(100 * time.Millisecond)
	}
	if took := w.now - died; took > 5*time.Second {
		t.Errorf("takeover took %v", took)
	}
	expectNoBreaches(t, w)
}

func indexAfter(body []byte, what string) int {
	for i := range body {
		if i+len(what) <= len(body) && string(body[i:i+len(what)]) == what {
			return i + len(what)
		}
	}
	return len(body)
}

// An isolated node serves for at most its lease, then refuses with a retry time, and never reports
// a program as gone.
func TestCutOffNode(t *testing.T) {
	w := withLimits(smallWorld(nil))
	_, p := open(w, 0, "u")
	w.isolate(w.nodes[0], 20*time.Second)
	w.Advance(3 * time.Second)
	for i := 0; i < 3; i++ {
		result, last := turn(w, 0, p.Text, program.EmptyHead, 100)
		if result.Outcome != judge.Refused || result.Status != 503 || result.Ran != "no" || last.Verdict.RetryAfter <= 0 {
			t.Errorf("an isolated node answered %+v", result)
		}
	}
	result, _ := turn(w, 1, p.Text, program.EmptyHead, 100)
	wantCode(t, "at another node", result, "")
	expectNoBreaches(t, w)
}

// A configuration is in force only when every member follows it or its lease is over: an isolated
// node must not admit by an older one afterwards.
func TestConfigurationAndCutOffNode(t *testing.T) {
	w := withLimits(smallWorld(nil))
	w.Record.Limits.PropagationLimit = 0
	w.versionKeys[1] = "probe-first"
	w.isolate(w.nodes[2], 6*time.Second)
	w.applyConfiguration(w.cores[0], 1, "probe-second", func(bool) {})
	w.probe()
	w.Advance(9 * time.Second)
	if w.version != 2 {
		t.Fatalf("version %d is in force", w.version)
	}
	expectNoBreaches(t, w)
	if len(w.Record.Probes) < 10 {
		t.Error("too few probes")
	}
}

// Of operators that race from one version one succeeds; the configurations of the
// others are never in force.
func TestRacingOperators(t *testing.T) {
	w := withLimits(smallWorld(nil))
	var inForce, lost int
	for i := 0; i < 3; i++ {
		id := fmt.Sprintf("probe-race-%d", i)
		w.applyConfiguration(w.cores[i], 1, id, func(ok bool) {
			if ok {
				inForce++
			} else {
				lost++
			}
		})
	}
	w.probe()
	w.Advance(4 * time.Second)
	if inForce != 1 || lost != 2 {
		t.Errorf("%d in force, %d refused", inForce, lost)
	}
	expectNoBreaches(t, w)
}

func TestConfigurationSurvivesCrash(t *testing.T) {
	w := withLimits(smallWorld(nil))
	w.applyConfiguration(w.cores[0], 1, "probe-second", func(inForce bool) {
		if !inForce {
			t.Error("the configuration is not in force")
		}
		for _, c := range w.cores {
			c.kill()
		}
		for _, n := range w.nodes {
			n.kill()
		}
	})
	w.Advance(3 * time.Second)
	for _, p := range append(append([]*process(nil), w.cores...), w.nodes...) {
		p.boot()
	}
	w.Advance(5 * time.Second)
	for i := range w.nodes {
		result, _ := w.Do(i, node.Request{Kind: node.KindStatus, Key: "probe-second", Program: "none"})
		wantCode(t, "the newer version's key", result, "unknown_program")
		result, _ = w.Do(i, node.Request{Kind: node.KindStatus, Key: "probe-first", Program: "none"})
		wantCode(t, "the older version's key", result, "unknown_key")
	}
}

// A revoked key is refused at the next request at every node.
func TestRevokedKey(t *testing.T) {
	w := withLimits(smallWorld(nil))
	_, p := open(w, 0, "u")
	result, last := turn(w, 1, p.Text, program.EmptyHead, 100)
	wantCode(t, "before", result, "")
	w.Params.Configuration = func(key string) []byte {
		return []byte(`{"roles":{"viewer":{}},"tenants":{"t1":{}},"services":{"model":{"kind":"model"}},"approval":{"newly_refused_ratio":1}}`)
	}
	ok := false
	w.applyConfiguration(w.cores[1], 1, "revoking", func(inForce bool) { ok = inForce })
	w.Advance(3 * time.Second)
	if !ok {
		t.Fatal("the configuration is not in force")
	}
	for i := range w.nodes {
		result, _ := turn(w, i, p.Text, last.Head, 100)
		if result.Status != 401 || result.Ran != "no" {
			t.Errorf("node %d: %+v", i, result)
		}
	}
}

// A configuration that would newly refuse too many recent requests is never in force.
func TestNotApproved(t *testing.T) {
	w := withLimits(smallWorld(func(role, tenant, services, breaker tree) {
		role["sessions_per_minute"], role["concurrent_sessions"] = 100, 100
	}))
	for i := 0; i < 30; i++ {
		open(w, i%3, fmt.Sprint("u", i%2))
	}
	w.Params.Configuration = configurationWith(func(role, tenant, services, breaker tree) { role["sessions_per_minute"] = 1 })
	var got core.ApplyResult
	w.Operate(w.cores[0], func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.ApplyConfiguration(now, ticket, core.ApplyRequest{BasedOn: 1, Text: w.Params.Configuration("x"), Digest: "x", Timeout: 5 * time.Second})
	}, func(body any) { got = body.(core.ApplyResult) })
	w.Advance(3 * time.Second)
	if got.Code != "not_approved" || got.Replay == nil || got.Replay.NewlyRefused < 20 {
		t.Errorf("%+v %+v", got, got.Replay)
	}
	result, _ := w.Do(0, node.Request{Kind: node.KindStatus, Key: "x", Program: "none"})
	wantCode(t, "the refused version's key", result, "unknown_key")
}

// After a lost answer of a once-only action, retries report that it may have run and start no
// second attempt.
func TestOnceAnswerLost(t *testing.T) {
	w := withLimits(smallWorld(nil))
	for _, b := range w.backends {
		if b.service == "alert" {
			b.lossRate = 1
		}
	}
	request := node.Request{Kind: node.KindAction, Key: "key-t1", User: "u", Service: "alert", OnceKey: "k", Arguments: []byte(`{"mark":"k"}`)}
	result, _ := w.Do(0, request)
	if result.Ran != "maybe" {
		t.Errorf("the first request got %+v", result)
	}
	for i := 0; i < 6; i++ {
		result, _ := w.Do(i%3, request)
		wantCode(t, "retry", result, "may_have_run")
	}
	if n, _ := attemptsOf(w, "k"); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// Two requests with one once-key run once and both get the outcome. Another body under the
// key is refused.
func TestOnceKeyAtTwoNodes(t *testing.T) {
	w := withLimits(smallWorld(nil))
	request := node.Request{Kind: node.KindAction, Key: "key-t1", User: "u", Service: "alert", OnceKey: "k", Arguments: []byte(`{"mark":"k"}`)}
	for i := range w.nodes {
		submitAndAdvance(w, i, request, 0)
	}
	w.Advance(time.Second)
	for i := range w.nodes {
		result, last := w.Do(i, request)
		wantCode(t, "the outcome", result, "")
		if string(last.Body) != `{"done":"k"}` || last.FinishReason != "repeated" {
			t.Errorf("node %d: %+v", i, last)
		}
	}
	if n, _ := attemptsOf(w, "k"); n != 1 {
		t.Errorf("%d attempts", n)
	}
	request.Arguments = []byte(`{"mark":"other"}`)
	result, _ := w.Do(0, request)
	wantCode(t, "another body", result, "once_key_reused")
	expectNoBreaches(t, w)
}

// Overload and a node crash leave the tenant within its quota and alerts their reserved capacity.
func TestCrowd(t *testing.T) {
	w := withLimits(smallWorld(func(role, tenant, services, breaker tree) {
		role["sessions_per_minute"], role["concurrent_sessions"], role["steps"], role["session_seconds"] = 1000, 1000, 1000, 600
		tenant["inquiries_per_second"], tenant["burst"] = 20, 32
	}))
	w.Record.Limits.Rate["t1"], w.Record.Limits.Burst["t1"] = 20, 32
	var ids []string
	for i := 0; i < 60; i++ {
		_, p := open(w, i%3, fmt.Sprint("u", i))
		ids = append(ids, p.Text)
	}
	w.Advance(2 * time.Second)
	heads := make([]string, len(ids))
	for i := range heads {
		heads[i] = program.EmptyHead
	}
	turns, alerts, succeeded := 0, 0, 0
	for end := w.now + 10*time.Second; w.now < end; w.Advance(100 * time.Millisecond) {
		for i := range ids {
			if w.chance(0.4) {
				w.submit(w.anyNode(), node.Request{Kind: node.KindTurn, Key: "key-t1", Program: ids[i], Service: "model", PreviousHead: heads[i], Prompt: w.newID("crowd"), MaxTokens: 5, Timeout: 2 * time.Second}, func(result judge.Request, last node.Frame) {
					turns++
					if result.Outcome == judge.Whole {
						heads[i] = last.Head
					} else if result.Code == "wrong_history" {
						heads[i] = last.Verdict.Head
					}
				})
			}
		}
		if w.chance(0.3) {
			id := w.newID("alert")
			w.submit(w.anyNode(), node.Request{Kind: node.KindAction, Key: "key-t1", User: "u", Service: "alert", OnceKey: id, Arguments: []byte(fmt.Sprintf(`{"mark":%q}`, id)), Timeout: 2 * time.Second}, func(result judge.Request, last node.Frame) {
				if result.Outcome != judge.Silent && result.Outcome != judge.Broken {
					alerts++
				}
				if result.Outcome == judge.Whole {
					succeeded++
				}
			})
		}
		if w.now > end-5*time.Second && w.nodes[1].alive {
			w.nodes[1].kill()
			w.after(2*time.Second, w.nodes[1].boot)
		}
	}
	w.Advance(3 * time.Second)
	attempts := len(w.Record.Attempts)
	t.Logf("%d turns requested, %d attempts in 10 s at a quota of 20/s and 32, %d of %d alerts through", turns, attempts, succeeded, alerts)
	if attempts < 120 {
		t.Errorf("only %d attempts: the quota is not used", attempts)
	}
	if succeeded*10 < alerts*8 {
		t.Errorf("%d of %d alerts succeeded", succeeded, alerts)
	}
	expectNoBreaches(t, w)
}

// A core that loses its disk restarts without a vote, and no stored state is lost.
func TestEveryDiskLostInTurn(t *testing.T) {
	p := Defaults(11)
	p.Users, p.Configuration = 0, configurationWith(nil)
	w := withLimits(NewWithoutFaults(p))
	_, opened := open(w, 0, "u")
	head := program.EmptyHead
	for i, c := range w.cores {
		result, last := turn(w, i%4, opened.Text, head, 10)
		wantCode(t, "a turn", result, "")
		head = last.Head
		c.kill()
		c.loseDisk()
		w.Advance(time.Second)
		c.boot()
		w.Advance(100 * time.Millisecond)
		if g := c.coreMachine.LeadingPartitions(c.now()); len(g) > 0 {
			t.Errorf("%s leads partitions %v right after it restarted with an empty disk", c.id, g)
		}
		w.Advance(8 * time.Second)
		if !w.membersCurrent() {
			t.Fatalf("%s did not become a member again", c.id)
		}
	}
	result, _ := turn(w, 1, opened.Text, head, 10)
	wantCode(t, "after all", result, "")
	expectNoBreaches(t, w)
}

// A kept conversation is reported gone, not unknown, after its retention, and never before.
func TestKeptConversation(t *testing.T) {
	params := Defaults(7)
	params.Cores, params.Nodes, params.Users, params.Configuration = 3, 3, 0, configurationWith(nil)
	base := params.Configuration
	params.Configuration = func(key string) []byte { return append([]byte(`{"keep_seconds":180,`), base(key)[1:]...) }
	w := withLimits(NewWithoutFaults(params))
	_, p := open(w, 0, "u")
	for i := 0; i < 4; i++ {
		w.cores[i%3].kill()
		w.nodes[i%3].kill()
		w.Advance(200 * time.Millisecond)
		w.nodes[i%3].boot()
		w.cores[i%3].boot()
		for end := w.now + 12*time.Second; w.now < end; w.Advance(300 * time.Millisecond) {
			result, last := w.Do(w.random.IntN(3), node.Request{Kind: node.KindStatus, Key: "key-t1", Program: p.Text, Timeout: time.Second})
			if result.Status == 404 || result.Status == 410 {
				t.Fatalf("reported as gone: %s", result.Code)
			}
			if result.Outcome == judge.Refused && last.Verdict.RetryAfter <= 0 {
				t.Fatalf("no retry time: %+v", result)
			}
		}
	}
	result, _ := w.Do(0, node.Request{Kind: node.KindStatus, Key: "probe-first", Program: p.Text})
	wantCode(t, "another tenant", result, "unknown_program")
	w.Advance(4 * time.Minute)
	result, _ = w.Do(0, node.Request{Kind: node.KindStatus, Key: "key-t1", Program: p.Text})
	wantCode(t, "after its retention", result, "gone")
}

// All processes crash right after each confirmation; unsynced writes may be lost.
func TestConfirmedTurnSurvivesCrash(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		params := Defaults(seed)
		params.Cores, params.Nodes, params.Users, params.Configuration = 3, 3, 0, configurationWith(func(role, tenant, services, breaker tree) { role["session_seconds"] = 600 })
		params.MaxSync = 60 * time.Millisecond
		w := withLimits(NewWithoutFaults(params))
		_, p := open(w, 0, "u")
		head := program.EmptyHead
		for i := 0; i < 4; i++ {
			id := w.newID("say")
			var closing node.Frame
			over := false
			w.submit(w.nodes[i%3], node.Request{Kind: node.KindTurn, Key: "key-t1", Program: p.Text, Service: "model", PreviousHead: head, Prompt: id, MaxTokens: 50, Timeout: 5 * time.Second}, func(result judge.Request, last node.Frame) {
				over, closing = true, last
				for _, c := range w.cores {
					c.kill()
				}
				for _, n := range w.nodes {
					n.kill()
				}
			})
			for !over {
				w.Advance(time.Millisecond)
			}
			for _, c := range w.cores {
				c.boot()
			}
			for _, n := range w.nodes {
				n.boot()
			}
			if closing.Kind != node.FrameClose {
				t.Fatalf("seed %d turn %d: %+v", seed, i, closing)
			}
			head = closing.Head
			w.Advance(5 * time.Second)
			result, status := w.Do(0, node.Request{Kind: node.KindStatus, Key: "key-t1", Program: p.Text})
			wantCode(t, "status", result, "")
			if at := indexAfter(status.Body, `"head":"`); string(status.Body[at:at+len(head)]) != head {
				t.Errorf("seed %d: confirmed turn %d is lost", seed, i)
			}
		}
		expectNoBreaches(t, w)
	}
}

// A node that reaches other nodes but no core keeps its lease and serves through another node.
func TestNodeIsolatedFromCoresOnly(t *testing.T) {
	w := withLimits(smallWorld(func(role, tenant, services, breaker tree) { role["session_seconds"] = 600 }))
	_, p := open(w, 0, "u")
	for _, c := range w.cores {
		for _, pair := range [][2]string{{w.nodes[0].address, c.address}, {c.address, w.nodes[0].address}} {
			w.cutLinks[pair] = true
		}
	}
	w.Advance(10 * time.Second)
	if w.nodes[0].nodeMachine.Counters.LeasesLost > 0 || !w.nodes[0].nodeMachine.Ready(w.nodes[0].now()) {
		t.Errorf("the lease was lost %d times", w.nodes[0].nodeMachine.Counters.LeasesLost)
	}
	head := program.EmptyHead
	for i := 0; i < 3; i++ {
		result, last := turn(w, 0, p.Text, head, 100)
		wantCode(t, "a turn through another node", result, "")
		head = last.Head
	}
	ok := false
	w.applyConfiguration(w.cores[0], 1, "probe-second", func(inForce bool) { ok = inForce })
	w.Advance(2 * time.Second)
	if !ok || w.nodes[0].nodeMachine.ConfigurationVersion() != 2 {
		t.Errorf("in force %v, version %d at the node", ok, w.nodes[0].nodeMachine.ConfigurationVersion())
	}
	expectNoBreaches(t, w)
}

// An outdated snapshot of the members may hold an earlier incarnation of an owner, which does not
// prove that the current one has ended.
func TestStaleIncarnationIsNoProof(t *testing.T) {
	w := withLimits(smallWorld(func(role, tenant, services, breaker tree) { role["session_seconds"] = 600 }))
	memberPartition := core.PartitionOf(w.Params.Partitions, "member", "node1")
	for _, c := range w.cores {
		if len(c.coreMachine.LeadingPartitions(c.now())) == 0 {
			t.Fatal("a core leads no partition")
		}
	}
	// node3 receives nothing from the leader of node1's member partition, nor from nodes.
	for _, c := range w.cores {
		for _, n := range c.coreMachine.LeadingPartitions(c.now()) {
			if n == memberPartition {
				w.cutLinks[[2]string{c.address, w.nodes[2].address}] = true
			}
		}
	}
	for _, n := range w.nodes[:2] {
		w.cutLinks[[2]string{n.address, w.nodes[2].address}] = true
	}
	w.nodes[0].kill()
	w.nodes[0].boot()
	w.Advance(4 * time.Second)
	takeovers := 0
	for i := 0; i < 12; i++ {
		_, p := open(w, 0, fmt.Sprint("u", i))
		if p.Text == "" {
			t.Fatalf("no program at the new incarnation: %+v", p)
		}
		w.submit(w.nodes[2], node.Request{Kind: node.KindStatus, Key: "key-t1", Program: p.Text, Timeout: 300 * time.Millisecond}, func(result judge.Request, last node.Frame) {})
		w.Advance(500 * time.Millisecond)
	}
	takeovers = int(w.nodes[2].nodeMachine.Counters.Takeovers)
	if takeovers > 0 {
		t.Errorf("%d programs were taken over from a running node", takeovers)
	}
}

// A drain under load breaks no stream, lets no request time out, and completes in a few seconds.
func TestDrainUnderLoad(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		params := Defaults(seed)
		params.Cores, params.Nodes, params.Users = 3, 3, 0
		params.Configuration = configurationWith(func(role, tenant, services, breaker tree) {
			role["sessions_per_minute"], role["concurrent_sessions"], role["steps"], role["session_seconds"] = 1000, 1000, 1000, 600
		})
		w := withLimits(NewWithoutFaults(params))
		codes, whole := map[string]int{}, 0
		var takeTurn func(id, head string)
		takeTurn = func(id, head string) {
			if w.now > 14*time.Second {
				return
			}
			at := w.nodes[w.random.IntN(3)]
			if !at.nodeMachine.Ready(at.now()) {
				at = w.nodes[1]
			}
			w.submit(at, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: id, Service: "model", PreviousHead: head, Prompt: w.newID("say"), MaxTokens: 20, Timeout: 5 * time.Second}, func(result judge.Request, last node.Frame) {
				code := result.Code
				if result.Outcome != judge.Refused {
					code = result.Outcome
				}
				codes[code]++
				next := head
				if result.Outcome == judge.Whole {
					whole++
					next = last.Head
				}
				w.after(w.between(50*time.Millisecond, 200*time.Millisecond), func() { takeTurn(id, next) })
			})
		}
		for i := 0; i < 9; i++ {
			_, p := open(w, 0, fmt.Sprint("u", i))
			takeTurn(p.Text, program.EmptyHead)
		}
		w.Advance(time.Second)
		began := w.now
		w.nodes[0].handleNodeOutput(w.nodes[0].nodeMachine.Drain(w.nodes[0].now()))
		for !w.nodes[0].nodeMachine.Drained(w.nodes[0].now()) && w.now < began+6*time.Second {
			w.Advance(10 * time.Millisecond)
		}
		took := w.now - began
		w.nodes[0].kill()
		w.Advance(16 * time.Second)
		t.Logf("seed %d: drained in %v: %v", seed, took, codes)
		if took > 3*time.Second || codes["budget_passed"]+codes[judge.Broken]+codes[judge.Silent]+codes["owner_silent"] > 0 || whole < 100 {
			t.Errorf("seed %d: drained in %v: %v", seed, took, codes)
		}
		expectNoBreaches(t, w)
	}
}

// After a disconnection longer than a lease no node waits for the lease of its earlier incarnation.
func TestRecoveryAfterCoresCutOff(t *testing.T) {
	w := withLimits(smallWorld(func(role, tenant, services, breaker tree) { role["session_seconds"] = 600 }))
	var ids []string
	for i := range w.nodes {
		_, p := open(w, i, fmt.Sprint("u", i))
		ids = append(ids, p.Text)
	}
	for _, cut := range []bool{true, false} {
		for _, n := range w.nodes {
			for _, c := range w.cores {
				w.cutLinks[[2]string{n.address, c.address}], w.cutLinks[[2]string{c.address, n.address}] = cut, cut
			}
		}
		if cut {
			w.Advance(3 * time.Second)
		}
	}
	restored := w.now
	for i, id := range ids {
		for {
			result, last := w.Do(i, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: id, Service: "model", PreviousHead: program.EmptyHead, Prompt: w.newID("say"), MaxTokens: 10, Timeout: time.Second})
			if result.Outcome == judge.Whole {
				break
			}
			if w.now > restored+5*time.Second {
				t.Fatalf("node %d: %+v", i, result)
			}
			w.Advance(max(20*time.Millisecond, last.Verdict.RetryAfter/10))
		}
	}
	t.Logf("all served %v after the links were restored", w.now-restored)
	if w.now > restored+2*time.Second {
		t.Errorf("all served only %v after the links were restored", w.now-restored)
	}
	expectNoBreaches(t, w)
}

// A request forwarded to an owner that restarts ends when the old incarnation is known to have
// ended, not with its time budget.
func TestOwnerDiesAndComesBack(t *testing.T) {
	w := withLimits(smallWorld(nil))
	_, p := open(w, 0, "u")
	got := submitAndAdvance(w, 1, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: p.Text, Service: "model", PreviousHead: program.EmptyHead, Prompt: w.newID("say"), Timeout: 15 * time.Second}, 30*time.Millisecond)
	w.nodes[0].kill()
	died := w.now
	w.nodes[0].boot()
	for got.Outcome == "" {
		w.Advance(20 * time.Millisecond)
	}
	if took := w.now - died; took > 4*time.Second || got.Outcome == judge.Whole {
		t.Errorf("the request ended as %s after %v", got.Outcome, took)
	}
	expectNoBreaches(t, w)
}

// A repeatedly failing replica is ejected for increasing times and tried again.
func TestEjection(t *testing.T) {
	w := withLimits(smallWorld(func(role, tenant, services, breaker tree) {
		role["sessions_per_minute"], role["concurrent_sessions"], role["steps"], role["session_seconds"], role["program_tokens_hard"] = 1000, 1000, 1000, 600, 10_000_000
	}))
	bad := w.backends[0]
	bad.lossRate = 1
	_, p := open(w, 0, "u")
	head := program.EmptyHead
	take := func(n int) (attempts, broken int) {
		from := len(w.Record.Attempts)
		for i := 0; i < n; i++ {
			result, last := turn(w, 0, p.Text, head, 5)
			if result.Outcome == judge.Whole {
				head = last.Head
			} else {
				broken++
			}
		}
		for _, s := range w.Record.Attempts[from:] {
			if s.Replica == bad.name() {
				attempts++
			}
		}
		return attempts, broken
	}
	first, broken := take(60)
	if first < 3 || broken > 12 {
		t.Errorf("%d attempts at the failing replica, %d broken turns of 60", first, broken)
	}
	if at := w.nodes[0].nodeMachine; at.Counters.Interrupted > 12 {
		t.Errorf("%d interrupted attempts", at.Counters.Interrupted)
	}
	bad.lossRate = 0
	w.Advance(20 * time.Second)
	if again, _ := take(60); again == 0 {
		t.Error("the recovered replica was not tried again")
	}
	expectNoBreaches(t, w)
}
