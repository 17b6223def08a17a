package simulator

import (
	"fmt"
	"testing"
	"time"

	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/program"
)

// traffic takes turns at the given nodes, each of a new program.
func traffic(w *World, length time.Duration, nodes ...int) (completed, asked int) {
	for i, end := 0, w.now+length; w.now < end; i++ {
		at := nodes[i%len(nodes)]
		if _, p := open(w, at, w.newID("u")); p.Text != "" {
			asked++
			if result, _ := turn(w, at, p.Text, program.EmptyHead, 50); result.Outcome == judge.Whole {
				completed++
			}
		}
		w.Advance(20 * time.Millisecond)
	}
	return completed, asked
}

// When the only node that knows of a departure dies, the others use the replica no longer
// than allowed.
func TestLeavingAnnouncedToDyingNode(t *testing.T) {
	w := withLimits(smallWorld(nil))
	departing := w.backends[0]
	departing.mute = true
	departing.leaving = true
	w.nodes[0].nodeMachine.Announce(w.nodes[0].now(), node.Replica{Service: departing.service, ID: departing.name(), Address: departing.address(), Leaving: true}, "")
	w.Record.Leaving = append(w.Record.Leaving, judge.Leaving{At: w.now, Replica: departing.name()})
	w.nodes[0].kill()
	if completed, _ := traffic(w, 5*time.Second, 1, 2); completed < 20 {
		t.Errorf("only %d turns", completed)
	}
	expectNoBreaches(t, w)
}

// A resumed node must not take a waiting announcement that precedes the replica's departure for a
// new one.
func TestStaleAnnouncementAtResumedNode(t *testing.T) {
	w := withLimits(smallWorld(nil))
	departing, frozen := w.backends[0], w.nodes[0]
	token := frozen.nodeMachine.Announce(frozen.now(), node.Replica{Service: "model", ID: "other", Address: "other"}, "").Token
	frozen.freeze()
	departing.announceTo(frozen, departing.serial, token)
	w.Advance(50 * time.Millisecond)
	departing.leaving = true
	departing.announce()
	w.Advance(4 * time.Second)
	departing.mute = true
	frozen.resume()
	if completed, _ := traffic(w, 3*time.Second, 0); completed < 5 {
		t.Errorf("only %d turns", completed)
	}
	if len(w.Record.Leaving) != 1 {
		t.Errorf("%+v", w.Record.Leaving)
	}
	expectNoBreaches(t, w)
}

// isolatedFleet has long leases and cuts all cores from the nodes after a first turn.
func isolatedFleet(t *testing.T, seed uint64, length time.Duration) (w *World, id, head string) {
	t.Helper()
	p := Defaults(seed)
	p.Cores, p.Nodes, p.Users, p.Configuration, p.MemberLease = 3, 4, 0, configurationWith(func(role, tenant, services, breaker tree) {
		role["steps"], role["session_seconds"] = 1000, 600
	}), 8*time.Second
	w = withLimits(NewWithoutFaults(p))
	_, opened := open(w, 0, "u")
	result, first := turn(w, 0, opened.Text, program.EmptyHead, 100)
	wantCode(t, "before the disconnection", result, "")
	w.Advance(500 * time.Millisecond)
	for _, c := range w.cores {
		for _, n := range w.nodes {
			w.cutLinks[[2]string{c.address, n.address}], w.cutLinks[[2]string{n.address, c.address}] = true, true
		}
	}
	w.after(length, func() { clear(w.cutLinks) })
	return w, opened.Text, first.Head
}

// takeTurns returns how many turns of one program completed at random nodes.
func takeTurns(w *World, length time.Duration, id, head string, alive ...int) (completed, asked int, last string) {
	for end := w.now + length; w.now < end; {
		asked++
		result, p := turn(w, alive[w.random.IntN(len(alive))], id, head, 100)
		switch {
		case result.Outcome == judge.Whole:
			completed++
			head = p.Head
		case result.Code == "wrong_history":
			head = p.Verdict.Head
		}
		w.Advance(50 * time.Millisecond)
	}
	return completed, asked, head
}

// Without the cores an owner continues its program within its lease, and no turn is lost.
func TestTurnsWithoutCores(t *testing.T) {
	w, id, head := isolatedFleet(t, 1, 5*time.Second)
	completed, asked, head := takeTurns(w, 5*time.Second, id, head, 0, 1, 2, 3)
	t.Logf("%d of %d turns completed", completed, asked)
	if completed < 5 || completed < asked*8/10 {
		t.Errorf("only %d of %d turns completed", completed, asked)
	}
	w.Advance(3 * time.Second)
	result, _ := turn(w, 2, id, head, 100)
	wantCode(t, "after the disconnection", result, "")
	expectNoBreaches(t, w)
}

// A successor without the cores recovers the turns from a mirror, and refuses with a retry time
// until then.
func TestOwnerLostWhileIsolated(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(w *World, mirrors []*process)
	}{
		{"killed", func(w *World, mirrors []*process) { w.nodes[0].kill() }},
		{"killed with a mirror", func(w *World, mirrors []*process) { w.nodes[0].kill(); mirrors[0].kill() }},
		{"killed with the other mirror, both back empty", func(w *World, mirrors []*process) {
			w.nodes[0].kill()
			mirrors[1].kill()
			w.after(time.Second, w.nodes[0].boot)
			w.after(time.Second, mirrors[1].boot)
		}},
		{"frozen past its lease", func(w *World, mirrors []*process) {
			w.nodes[0].freeze()
			w.after(14*time.Second, w.nodes[0].resume)
		}},
		{"isolated", func(w *World, mirrors []*process) { w.isolate(w.nodes[0], 14*time.Second) }},
		{"killed, and a mirror frozen past its lease", func(w *World, mirrors []*process) {
			w.nodes[0].kill()
			mirrors[0].freeze()
			w.after(14*time.Second, mirrors[0].resume)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, id, head := isolatedFleet(t, 2, 4*time.Second)
			completed, _, head := takeTurns(w, 2*time.Second, id, head, 0)
			if completed < 3 {
				t.Fatalf("only %d turns before", completed)
			}
			var mirrors, others []*process
			for _, one := range w.nodes[0].nodeMachine.MirrorsOf("t1", id) {
				mirrors = append(mirrors, w.processes[one])
			}
			c.inject(w, mirrors)
			var alive []int
			for i, n := range w.nodes[1:] {
				if n.alive && !n.frozen {
					alive = append(alive, i+1)
					others = append(others, n)
				}
			}
			completed, asked, _ := takeTurns(w, 20*time.Second, id, head, alive...)
			if completed < 20 {
				t.Errorf("%d of %d turns completed afterwards, at %d nodes", completed, asked, len(others))
			}
			expectNoBreaches(t, w)
		})
	}
}

// When owner and mirrors fail without the cores, the turns that only they held are lost. The
// program is never reported gone, the refusal has the stored head, and precharged tokens are spent.
func TestOwnerAndMirrorsLost(t *testing.T) {
	w, id, head := isolatedFleet(t, 3, 3*time.Second)
	_, _, head = takeTurns(w, 2*time.Second, id, head, 0)
	for _, one := range w.nodes[0].nodeMachine.MirrorsOf("t1", id) {
		w.processes[one].kill()
		w.after(5*time.Second, w.processes[one].boot)
	}
	w.nodes[0].kill()
	w.after(5*time.Second, w.nodes[0].boot)
	w.Advance(16 * time.Second)
	result, last := turn(w, 1, id, head, 100)
	wantCode(t, "the lost turn's head", result, "wrong_history")
	result, _ = turn(w, 2, id, last.Verdict.Head, 100)
	wantCode(t, "the kept head", result, "")
	result, status := w.Do(1, node.Request{Kind: node.KindStatus, Key: "key-t1", Program: id})
	wantCode(t, "status", result, "")
	var tokens int64
	if _, err := fmt.Sscanf(string(status.Body[indexAfter(status.Body, `"tokens":`):]), "%d", &tokens); err != nil || tokens < 2000 {
		t.Errorf("%d tokens charged, %v; 2000 were precharged", tokens, err)
	}
}

// Without the cores no turn exceeds the precharged tokens, so that a failure costs at most one turn
// beyond the allowance.
func TestPrechargedTurnsWhileIsolated(t *testing.T) {
	w, id, head := isolatedFleet(t, 4, 7*time.Second)
	w.Record.Limits.ProgramTokens, w.Record.Limits.TurnTokens = 2000, 1000
	tokens, refused := int64(0), 0
	for range 12 {
		result, p := w.Do(0, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: id, Service: "model", PreviousHead: head, Prompt: w.newID("say")})
		tokens += result.Tokens
		if result.Outcome == judge.Whole {
			head = p.Head
		} else if refused++; result.Ran != "no" || p.Verdict.RetryAfter <= 0 {
			t.Errorf("beyond the precharged tokens: %+v", result)
		}
	}
	if refused == 0 || tokens == 0 {
		t.Errorf("%d tokens, %d turns refused", tokens, refused)
	}
	expectNoBreaches(t, w)
}

// A turn that only one mirror holds is not confirmed: the owner and that mirror could both be lost.
func TestOneMirrorWhileIsolated(t *testing.T) {
	w, id, head := isolatedFleet(t, 5, 3*time.Second)
	mirrors := w.nodes[0].nodeMachine.MirrorsOf("t1", id)
	w.cutLinks[[2]string{w.nodes[0].address, mirrors[1]}] = true
	result, _ := turn(w, 0, id, head, 100)
	if result.Outcome == judge.Whole {
		t.Errorf("%+v", result)
	}
	w.nodes[0].kill()
	w.processes[mirrors[0]].kill()
	w.Advance(12 * time.Second)
	for i, n := range w.nodes {
		if n.alive {
			takeTurns(w, 12*time.Second, id, head, i)
			break
		}
	}
	expectNoBreaches(t, w)
}
