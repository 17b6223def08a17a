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

// begin starts an inquiry and lets only so much time pass.
func submitAndAdvance(w *World, at int, q node.Request, d time.Duration) *judge.Request {
	got := &judge.Request{}
	if q.Timeout == 0 {
		q.Timeout = 8 * time.Second
	}
	w.submit(w.nodes[at], q, func(a judge.Request, _ node.Frame) { *got = a })
	w.Advance(d)
	return got
}

func attemptsOf(w *World, mark string) (n int, last time.Duration) {
	for _, s := range w.Record.Attempts {
		if s.RequestID == mark || s.OnceKey == mark {
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

// A node that froze between a reservation and its shot, and wakes when its
// term is over, must not shoot: a successor may own the program by then.
func TestFrozenNodeStartsNoAttempt(t *testing.T) {
	for i := 0; i < 60; i++ {
		delay := time.Duration(i%10+1) * 700 * time.Microsecond
		// Old news would stop the shot as well; here the term alone must.
		params := Defaults(uint64(i))
		params.Cores, params.Nodes, params.Users, params.Describe, params.AnnouncementMaxAge = 3, 3, 0, describeWith(nil), time.Hour
		w := withLimits(NewWithoutFaults(params))
		_, p := open(w, 0, "u")
		mark := w.newID("say")
		submitAndAdvance(w, 0, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: p.Text, Service: "model", PreviousHead: program.EmptyHead, Prompt: mark}, delay)
		w.nodes[0].freeze()
		w.Advance(5 * time.Second)
		before, _ := attemptsOf(w, mark)
		w.nodes[0].wake()
		w.Advance(4 * time.Second)
		if after, _ := attemptsOf(w, mark); after != before {
			t.Errorf("frozen %v after the inquiry: it shot when it woke", delay)
		}
		expectNoBreaches(t, w)
	}
}

// An owner that dies in mid-turn leaves its reservation charged, and another
// node goes on with the very same history within seconds.
func TestOwnerKilledInMidTurn(t *testing.T) {
	w := withLimits(smallWorld(nil))
	_, p := open(w, 0, "u")
	a, first := turn(w, 1, p.Text, program.EmptyHead, 100)
	wantCode(t, "first turn", a, "")
	mark := w.newID("say")
	submitAndAdvance(w, 1, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: p.Text, Service: "model", PreviousHead: first.Head, Prompt: mark, MaxTokens: 700}, 40*time.Millisecond)
	if n, _ := attemptsOf(w, mark); n != 1 {
		t.Fatalf("%d shots before the kill", n)
	}
	w.nodes[0].kill()
	died := w.now
	for {
		a, last := turn(w, 2, p.Text, first.Head, 100)
		if a.Status == 404 || a.Status == 410 {
			t.Fatalf("called gone: %s", a.Code)
		}
		if a.Outcome == judge.Whole {
			a, look := w.Do(1, node.Request{Kind: node.KindStatus, Key: "key-t1", Program: p.Text})
			wantCode(t, "look", a, "")
			var spent int64
			fmt.Sscanf(string(look.Body[indexAfter(look.Body, `"tokens":`):]), "%d", &spent)
			if least := first.Tokens + 700 + last.Tokens; spent != least {
				t.Errorf("%d tokens are charged; the lost turn's 700 make it %d", spent, least)
			}
			break
		}
		if w.now > died+8*time.Second {
			t.Fatalf("no takeover: %s %s", a.Outcome, a.Code)
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

// A node that is cut off from everybody goes on for at most its term, and then
// refuses with a time to come back; nothing it says is "gone".
func TestCutOffNode(t *testing.T) {
	w := withLimits(smallWorld(nil))
	_, p := open(w, 0, "u")
	w.isolate(w.nodes[0], 20*time.Second)
	w.Advance(3 * time.Second)
	for i := 0; i < 3; i++ {
		a, last := turn(w, 0, p.Text, program.EmptyHead, 100)
		if a.Outcome != judge.Refused || a.Status != 503 || a.Ran != "no" || last.Verdict.RetryAfter <= 0 {
			t.Errorf("a cut-off node said %+v", a)
		}
	}
	a, _ := turn(w, 1, p.Text, program.EmptyHead, 100)
	wantCode(t, "at another node", a, "")
	expectNoBreaches(t, w)
}

// A configuration counts as taken only when every member follows it or its
// term is over, so a cut-off node never gates by an older one afterwards.
func TestConfigurationAndCutOffNode(t *testing.T) {
	w := withLimits(smallWorld(nil))
	w.Record.Limits.PropagationLimit = 0
	w.versionKeys[1] = "probe-first"
	w.isolate(w.nodes[2], 6*time.Second)
	w.applyConfiguration(w.cores[0], 1, "probe-second", func(bool) {})
	w.probe()
	w.Advance(9 * time.Second)
	if w.version != 2 {
		t.Fatalf("version %d was taken", w.version)
	}
	expectNoBreaches(t, w)
	if len(w.Record.Probes) < 10 {
		t.Error("too few looks")
	}
}

// Two operators race from the same version: one is taken, the other is refused
// and never in force anywhere.
func TestRacingOperators(t *testing.T) {
	w := withLimits(smallWorld(nil))
	var taken, lost int
	for i := 0; i < 3; i++ {
		mark := fmt.Sprintf("probe-race-%d", i)
		w.applyConfiguration(w.cores[i], 1, mark, func(ok bool) {
			if ok {
				taken++
			} else {
				lost++
			}
		})
	}
	w.probe()
	w.Advance(4 * time.Second)
	if taken != 1 || lost != 2 {
		t.Errorf("%d taken, %d lost", taken, lost)
	}
	expectNoBreaches(t, w)
}

// A configuration that was taken is still in force when every core crashed
// right after and came back.
func TestCrashAfterTaken(t *testing.T) {
	w := withLimits(smallWorld(nil))
	w.applyConfiguration(w.cores[0], 1, "probe-second", func(taken bool) {
		if !taken {
			t.Error("not taken")
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
		a, _ := w.Do(i, node.Request{Kind: node.KindStatus, Key: "probe-second", Program: "none"})
		wantCode(t, "the newer version's key", a, "unknown_program")
		a, _ = w.Do(i, node.Request{Kind: node.KindStatus, Key: "probe-first", Program: "none"})
		wantCode(t, "the older version's key", a, "unknown_key")
	}
}

// A key that is taken from a connected requester is refused at its next
// inquiry, at every node.
func TestRevokedKey(t *testing.T) {
	w := withLimits(smallWorld(nil))
	_, p := open(w, 0, "u")
	a, last := turn(w, 1, p.Text, program.EmptyHead, 100)
	wantCode(t, "before", a, "")
	w.Params.Describe = func(mark string) []byte {
		return []byte(`{"roles":{"viewer":{}},"tenants":{"t1":{}},"services":{"model":{"kind":"model"}},"approval":{"newly_refused_ratio":1}}`)
	}
	ok := false
	w.applyConfiguration(w.cores[1], 1, "revoking", func(taken bool) { ok = taken })
	w.Advance(3 * time.Second)
	if !ok {
		t.Fatal("not taken")
	}
	for i := range w.nodes {
		a, _ := turn(w, i, p.Text, last.Head, 100)
		if a.Status != 401 || a.Ran != "no" {
			t.Errorf("node %d: %+v", i, a)
		}
	}
}

// Rehearsal refuses a description that would newly refuse too many of the
// recent inquiries; it is never in force.
func TestNotApproved(t *testing.T) {
	w := withLimits(smallWorld(func(role, tenant, services, breaker tree) {
		role["sessions_per_minute"], role["concurrent_sessions"] = 100, 100
	}))
	for i := 0; i < 30; i++ {
		open(w, i%3, fmt.Sprint("u", i%2))
	}
	w.Params.Describe = describeWith(func(role, tenant, services, breaker tree) { role["sessions_per_minute"] = 1 })
	var got core.ApplyResult
	w.Operate(w.cores[0], func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.ApplyConfiguration(now, ticket, core.ApplyRequest{BasedOn: 1, Text: w.Params.Describe("x"), Digest: "x", Timeout: 5 * time.Second})
	}, func(body any) { got = body.(core.ApplyResult) })
	w.Advance(3 * time.Second)
	if got.Code != "not_approved" || got.Rehearsal == nil || got.Rehearsal.NewlyRefused < 20 {
		t.Errorf("%+v %+v", got, got.Rehearsal)
	}
	a, _ := w.Do(0, node.Request{Kind: node.KindStatus, Key: "x", Program: "none"})
	wantCode(t, "the refused version's key", a, "unknown_key")
}

// A back end does the work and loses the answer: whoever asks again is told
// that it may have run, for ever, and nothing sends it twice.
func TestOnceAnswerLost(t *testing.T) {
	w := withLimits(smallWorld(nil))
	for _, b := range w.backends {
		if b.service == "alert" {
			b.lossRate = 1
		}
	}
	q := node.Request{Kind: node.KindAction, Key: "key-t1", User: "u", Service: "alert", OnceKey: "k", Arguments: []byte(`{"mark":"k"}`)}
	a, _ := w.Do(0, q)
	if a.Ran != "maybe" {
		t.Errorf("the first said %+v", a)
	}
	for i := 0; i < 6; i++ {
		a, _ := w.Do(i%3, q)
		wantCode(t, "asked again", a, "may_have_run")
	}
	if n, _ := attemptsOf(w, "k"); n != 1 {
		t.Errorf("%d shots", n)
	}
}

// The same once-key at two nodes at once runs once; both get its outcome in
// the end. Another body under the key is refused.
func TestOnceKeyAtTwoNodes(t *testing.T) {
	w := withLimits(smallWorld(nil))
	q := node.Request{Kind: node.KindAction, Key: "key-t1", User: "u", Service: "alert", OnceKey: "k", Arguments: []byte(`{"mark":"k"}`)}
	for i := range w.nodes {
		submitAndAdvance(w, i, q, 0)
	}
	w.Advance(time.Second)
	for i := range w.nodes {
		a, last := w.Do(i, q)
		wantCode(t, "the outcome", a, "")
		if string(last.Body) != `{"done":"k"}` || last.FinishReason != "repeated" {
			t.Errorf("node %d: %+v", i, last)
		}
	}
	if n, _ := attemptsOf(w, "k"); n != 1 {
		t.Errorf("%d shots", n)
	}
	q.Arguments = []byte(`{"mark":"other"}`)
	a, _ := w.Do(0, q)
	wantCode(t, "another body", a, "once_key_reused")
	expectNoBreaches(t, w)
}

// A crowd at every node gets no more through than the tenant's quota, whoever
// dies meanwhile, and alerts keep their reserved room.
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
	crowded, alerts, through := 0, 0, 0
	for end := w.now + 10*time.Second; w.now < end; w.Advance(100 * time.Millisecond) {
		for i := range ids {
			if w.chance(0.4) {
				w.submit(w.anyNode(), node.Request{Kind: node.KindTurn, Key: "key-t1", Program: ids[i], Service: "model", PreviousHead: heads[i], Prompt: w.newID("crowd"), MaxTokens: 5, Timeout: 2 * time.Second}, func(a judge.Request, last node.Frame) {
					crowded++
					if a.Outcome == judge.Whole {
						heads[i] = last.Head
					} else if a.Code == "wrong_history" {
						heads[i] = last.Verdict.Head
					}
				})
			}
		}
		if w.chance(0.3) {
			mark := w.newID("alert")
			w.submit(w.anyNode(), node.Request{Kind: node.KindAction, Key: "key-t1", User: "u", Service: "alert", OnceKey: mark, Arguments: []byte(fmt.Sprintf(`{"mark":%q}`, mark)), Timeout: 2 * time.Second}, func(a judge.Request, last node.Frame) {
				if a.Outcome != judge.Silent && a.Outcome != judge.Broken {
					alerts++
				}
				if a.Outcome == judge.Whole {
					through++
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
	t.Logf("%d turns asked, %d shots in 10 s at a quota of 20/s and 32, %d of %d alerts through", crowded, attempts, through, alerts)
	if attempts < 120 {
		t.Errorf("only %d shots: the quota is not used", attempts)
	}
	if through*10 < alerts*8 {
		t.Errorf("%d of %d alerts came through", through, alerts)
	}
	expectNoBreaches(t, w)
}

// Five cores lose one disk after another; each comes back with an empty folder
// and no vote, is given its seats again, and nothing that was kept is lost.
func TestEveryDiskLostInTurn(t *testing.T) {
	p := Defaults(11)
	p.Users, p.Describe = 0, describeWith(nil)
	w := withLimits(NewWithoutFaults(p))
	_, opened := open(w, 0, "u")
	head := program.EmptyHead
	for i, c := range w.cores {
		a, last := turn(w, i%4, opened.Text, head, 10)
		wantCode(t, "a turn", a, "")
		head = last.Head
		c.kill()
		c.loseDisk()
		w.Advance(time.Second)
		c.boot()
		w.Advance(100 * time.Millisecond)
		if g := c.coreM.LeadingPartitions(c.now()); len(g) > 0 {
			t.Errorf("%s owns parts %v right after it came back empty", c.id, g)
		}
		w.Advance(8 * time.Second)
		if !w.membersCurrent() {
			t.Fatalf("%s did not get its seats again", c.id)
		}
	}
	a, _ := turn(w, 1, opened.Text, head, 10)
	wantCode(t, "after all", a, "")
	expectNoBreaches(t, w)
}

// A kept conversation is never called gone while its parts come and go, and is
// called gone, not unknown, once its time has passed.
func TestKeptConversation(t *testing.T) {
	params := Defaults(7)
	params.Cores, params.Nodes, params.Users, params.Describe = 3, 3, 0, describeWith(nil)
	describe := params.Describe
	params.Describe = func(mark string) []byte { return append([]byte(`{"keep_seconds":180,`), describe(mark)[1:]...) }
	w := withLimits(NewWithoutFaults(params))
	_, p := open(w, 0, "u")
	for i := 0; i < 4; i++ {
		w.cores[i%3].kill()
		w.nodes[i%3].kill()
		w.Advance(200 * time.Millisecond)
		w.nodes[i%3].boot()
		w.cores[i%3].boot()
		for end := w.now + 12*time.Second; w.now < end; w.Advance(300 * time.Millisecond) {
			a, last := w.Do(w.random.IntN(3), node.Request{Kind: node.KindStatus, Key: "key-t1", Program: p.Text, Timeout: time.Second})
			if a.Status == 404 || a.Status == 410 {
				t.Fatalf("called gone: %s", a.Code)
			}
			if a.Outcome == judge.Refused && last.Verdict.RetryAfter <= 0 {
				t.Fatalf("no time to come back: %+v", a)
			}
		}
	}
	a, _ := w.Do(0, node.Request{Kind: node.KindStatus, Key: "probe-first", Program: p.Text})
	wantCode(t, "another tenant", a, "unknown_program")
	w.Advance(4 * time.Minute)
	a, _ = w.Do(0, node.Request{Kind: node.KindStatus, Key: "key-t1", Program: p.Text})
	wantCode(t, "after its keeping time", a, "gone")
}

// All cores lose power at the very moment in which a requester has its closing
// record, or an alert's outcome: what was confirmed is still there.
func TestPowerLostAfterConfirmation(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		params := Defaults(seed)
		params.Cores, params.Nodes, params.Users, params.Describe = 3, 3, 0, describeWith(func(role, tenant, services, breaker tree) { role["session_seconds"] = 600 })
		params.MaxSync = 60 * time.Millisecond
		w := withLimits(NewWithoutFaults(params))
		_, p := open(w, 0, "u")
		head := program.EmptyHead
		for i := 0; i < 4; i++ {
			say := w.newID("say")
			var closing node.Frame
			over := false
			w.submit(w.nodes[i%3], node.Request{Kind: node.KindTurn, Key: "key-t1", Program: p.Text, Service: "model", PreviousHead: head, Prompt: say, MaxTokens: 50, Timeout: 5 * time.Second}, func(a judge.Request, last node.Frame) {
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
			a, look := w.Do(0, node.Request{Kind: node.KindStatus, Key: "key-t1", Program: p.Text})
			wantCode(t, "look", a, "")
			if at := indexAfter(look.Body, `"head":"`); string(look.Body[at:at+len(head)]) != head {
				t.Errorf("seed %d: turn %d was confirmed and is lost", seed, i)
			}
		}
		expectNoBreaches(t, w)
	}
}

// A node that is cut from every core and reaches another node keeps its term,
// learns news and serves, by way of that node.
func TestNodeIsolatedFromCoresOnly(t *testing.T) {
	w := withLimits(smallWorld(func(role, tenant, services, breaker tree) { role["session_seconds"] = 600 }))
	_, p := open(w, 0, "u")
	for _, c := range w.cores {
		for _, pair := range [][2]string{{w.nodes[0].address, c.address}, {c.address, w.nodes[0].address}} {
			w.cutLinks[pair] = true
		}
	}
	w.Advance(10 * time.Second)
	if w.nodes[0].nodeM.Counters.TermsLost > 0 || !w.nodes[0].nodeM.Ready(w.nodes[0].now()) {
		t.Errorf("the term was lost %d times", w.nodes[0].nodeM.Counters.TermsLost)
	}
	head := program.EmptyHead
	for i := 0; i < 3; i++ {
		a, last := turn(w, 0, p.Text, head, 100)
		wantCode(t, "a turn by way of another node", a, "")
		head = last.Head
	}
	ok := false
	w.applyConfiguration(w.cores[0], 1, "probe-second", func(taken bool) { ok = taken })
	w.Advance(2 * time.Second)
	if !ok || w.nodes[0].nodeM.ConfigurationVersion() != 2 {
		t.Errorf("taken %v, version %d at the node", ok, w.nodes[0].nodeM.ConfigurationVersion())
	}
	expectNoBreaches(t, w)
}

// A node whose news of the members is old knows only an earlier life of a
// program's owner. It must not take that for a proof that the owner's present
// life has ended.
func TestStaleIncarnationIsNoProof(t *testing.T) {
	w := withLimits(smallWorld(func(role, tenant, services, breaker tree) { role["session_seconds"] = 600 }))
	parts := w.Params.Partitions
	news := core.PartitionOf(parts, "member", "node1")
	for _, c := range w.cores {
		if len(c.coreM.LeadingPartitions(c.now())) == 0 {
			t.Fatal("a core owns nothing")
		}
	}
	// node3 hears nothing from the owner of node1's member part, nor from nodes.
	for _, c := range w.cores {
		for _, n := range c.coreM.LeadingPartitions(c.now()) {
			if n == news {
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
	stolen := 0
	for i := 0; i < 12; i++ {
		_, p := open(w, 0, fmt.Sprint("u", i))
		if p.Text == "" {
			t.Fatalf("no program at the new life: %+v", p)
		}
		w.submit(w.nodes[2], node.Request{Kind: node.KindStatus, Key: "key-t1", Program: p.Text, Timeout: 300 * time.Millisecond}, func(a judge.Request, last node.Frame) {})
		w.Advance(500 * time.Millisecond)
	}
	stolen = int(w.nodes[2].nodeM.Counters.Takeovers)
	if stolen > 0 {
		t.Errorf("%d programs were taken from a node that lives", stolen)
	}
}

// A node that drains under load hands over what it owns: nobody's stream
// breaks, nobody's budget runs out, and it is gone in about a second.
func TestDrainUnderLoad(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		params := Defaults(seed)
		params.Cores, params.Nodes, params.Users = 3, 3, 0
		params.Describe = describeWith(func(role, tenant, services, breaker tree) {
			role["sessions_per_minute"], role["concurrent_sessions"], role["steps"], role["session_seconds"] = 1000, 1000, 1000, 600
		})
		w := withLimits(NewWithoutFaults(params))
		codes, whole := map[string]int{}, 0
		var live func(id, head string)
		live = func(id, head string) {
			if w.now > 14*time.Second {
				return
			}
			at := w.nodes[w.random.IntN(3)]
			if !at.nodeM.Ready(at.now()) {
				at = w.nodes[1]
			}
			w.submit(at, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: id, Service: "model", PreviousHead: head, Prompt: w.newID("say"), MaxTokens: 20, Timeout: 5 * time.Second}, func(a judge.Request, last node.Frame) {
				code := a.Code
				if a.Outcome != judge.Refused {
					code = a.Outcome
				}
				codes[code]++
				next := head
				if a.Outcome == judge.Whole {
					whole++
					next = last.Head
				}
				w.after(w.between(50*time.Millisecond, 200*time.Millisecond), func() { live(id, next) })
			})
		}
		for i := 0; i < 9; i++ {
			_, p := open(w, 0, fmt.Sprint("u", i))
			live(p.Text, program.EmptyHead)
		}
		w.Advance(time.Second)
		began := w.now
		w.nodes[0].handleNodeOutput(w.nodes[0].nodeM.Drain(w.nodes[0].now()))
		for !w.nodes[0].nodeM.Drained(w.nodes[0].now()) && w.now < began+6*time.Second {
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

// When all links between cores and nodes were cut for longer than a term, all
// nodes serve their own programs again within two seconds of the mending: no
// node waits for the term of its own former life.
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
	mended := w.now
	for i, id := range ids {
		for {
			a, last := w.Do(i, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: id, Service: "model", PreviousHead: program.EmptyHead, Prompt: w.newID("say"), MaxTokens: 10, Timeout: time.Second})
			if a.Outcome == judge.Whole {
				break
			}
			if w.now > mended+5*time.Second {
				t.Fatalf("node %d: %+v", i, a)
			}
			w.Advance(max(20*time.Millisecond, last.Verdict.RetryAfter/10))
		}
	}
	t.Logf("all served %v after the mending", w.now-mended)
	if w.now > mended+2*time.Second {
		t.Errorf("all served only %v after the mending", w.now-mended)
	}
	expectNoBreaches(t, w)
}

// An inquiry that was passed to an owner which died and came back at once ends
// when the owner's life is known to have ended, not with its budget.
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
		t.Errorf("it ended as %s after %v", got.Outcome, took)
	}
	expectNoBreaches(t, w)
}

// A replica whose shots break again and again is left out for a time, longer
// each time, and tried again afterwards.
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
			a, last := turn(w, 0, p.Text, head, 5)
			if a.Outcome == judge.Whole {
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
		t.Errorf("%d shots at the failing replica, %d broken turns of 60", first, broken)
	}
	if at := w.nodes[0].nodeM; at.Counters.Interrupted > 12 {
		t.Errorf("%d broken shots", at.Counters.Interrupted)
	}
	bad.lossRate = 0
	w.Advance(20 * time.Second)
	if again, _ := take(60); again == 0 {
		t.Error("the replica is well again and is never tried")
	}
	expectNoBreaches(t, w)
}
