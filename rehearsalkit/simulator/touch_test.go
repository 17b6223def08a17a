package simulator

import (
	"fmt"
	"testing"
	"time"

	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/program"
)

// traffic takes turns at some nodes for a time, each of a new program.
func traffic(w *World, length time.Duration, nodes ...int) (whole, asked int) {
	for i, end := 0, w.now+length; w.now < end; i++ {
		at := nodes[i%len(nodes)]
		if _, p := open(w, at, w.newID("u")); p.Text != "" {
			asked++
			if a, _ := turn(w, at, p.Text, program.EmptyHead, 50); a.Outcome == judge.Whole {
				whole++
			}
		}
		w.Advance(20 * time.Millisecond)
	}
	return whole, asked
}

// The only node that heard of a replica's leaving dies at once. No other node
// gives that replica work for longer than the rule allows.
func TestLeavingAnnouncedToDyingNode(t *testing.T) {
	w := withLimits(smallWorld(nil))
	leaver := w.backends[0]
	leaver.mute = true
	leaver.leaving = true
	w.nodes[0].nodeM.Announce(w.nodes[0].now(), node.Replica{Service: leaver.service, ID: leaver.name(), Address: leaver.address(), Leaving: true}, "")
	w.Record.Leaving = append(w.Record.Leaving, judge.Leaving{At: w.now, Replica: leaver.name()})
	w.nodes[0].kill()
	if whole, _ := traffic(w, 5*time.Second, 1, 2); whole < 20 {
		t.Errorf("only %d turns", whole)
	}
	expectNoBreaches(t, w)
}

// A replica's ordinary word waits for a frozen node, and the replica leaves
// meanwhile. The woken node does not take the old word for a new one.
func TestStaleAnnouncementAtResumedNode(t *testing.T) {
	w := withLimits(smallWorld(nil))
	leaver, frozen := w.backends[0], w.nodes[0]
	token := frozen.nodeM.Announce(frozen.now(), node.Replica{Service: "model", ID: "other", Address: "other"}, "").Token
	frozen.freeze()
	leaver.announceTo(frozen, leaver.serial, token)
	w.Advance(50 * time.Millisecond)
	leaver.leaving = true
	leaver.announce()
	w.Advance(4 * time.Second)
	leaver.mute = true
	frozen.wake()
	if whole, _ := traffic(w, 3*time.Second, 0); whole < 5 {
		t.Errorf("only %d turns", whole)
	}
	if len(w.Record.Leaving) != 1 {
		t.Errorf("%+v", w.Record.Leaving)
	}
	expectNoBreaches(t, w)
}

// apart is a fleet whose nodes have long terms, with a program that has taken a
// turn at the first node, and all cores cut off.
func isolatedFleet(t *testing.T, seed uint64, length time.Duration) (w *World, id, head string) {
	t.Helper()
	p := Defaults(seed)
	p.Cores, p.Nodes, p.Users, p.Describe, p.MemberTerm = 3, 4, 0, describeWith(func(role, tenant, services, breaker tree) {
		role["steps"], role["session_seconds"] = 1000, 600
	}), 8*time.Second
	w = withLimits(NewWithoutFaults(p))
	_, opened := open(w, 0, "u")
	a, first := turn(w, 0, opened.Text, program.EmptyHead, 100)
	wantCode(t, "in touch", a, "")
	w.Advance(500 * time.Millisecond)
	for _, c := range w.cores {
		for _, n := range w.nodes {
			w.cutLinks[[2]string{c.address, n.address}], w.cutLinks[[2]string{n.address, c.address}] = true, true
		}
	}
	w.after(length, func() { clear(w.cutLinks) })
	return w, opened.Text, first.Head
}

// chat takes turns of one program at random nodes for a time, as its requester
// would, and returns how many came whole.
func takeTurns(w *World, length time.Duration, id, head string, alive ...int) (whole, asked int, last string) {
	for end := w.now + length; w.now < end; {
		asked++
		a, p := turn(w, alive[w.random.IntN(len(alive))], id, head, 100)
		switch {
		case a.Outcome == judge.Whole:
			whole++
			head = p.Head
		case a.Code == "wrong_history":
			head = p.Verdict.Head
		}
		w.Advance(50 * time.Millisecond)
	}
	return whole, asked, head
}

// Cut off from all cores, an owner goes on with its program within its term,
// whichever node is asked; afterwards everything is there.
func TestTurnsWithoutCores(t *testing.T) {
	w, id, head := isolatedFleet(t, 1, 5*time.Second)
	whole, asked, head := takeTurns(w, 5*time.Second, id, head, 0, 1, 2, 3)
	t.Logf("%d of %d turns whole", whole, asked)
	if whole < 5 || whole < asked*8/10 {
		t.Errorf("only %d of %d turns came whole", whole, asked)
	}
	w.Advance(3 * time.Second)
	a, _ := turn(w, 2, id, head, 100)
	wantCode(t, "back in touch", a, "")
	expectNoBreaches(t, w)
}

// An owner that dies out of touch leaves turns that no core has. Its successor
// takes them from a mirror, whoever else dies; until then it says when to come
// back.
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
		{"frozen past its term", func(w *World, mirrors []*process) {
			w.nodes[0].freeze()
			w.after(14*time.Second, w.nodes[0].wake)
		}},
		{"cut off from everybody", func(w *World, mirrors []*process) { w.isolate(w.nodes[0], 14*time.Second) }},
		{"killed, and a mirror frozen for long", func(w *World, mirrors []*process) {
			w.nodes[0].kill()
			mirrors[0].freeze()
			w.after(14*time.Second, mirrors[0].wake)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, id, head := isolatedFleet(t, 2, 4*time.Second)
			whole, _, head := takeTurns(w, 2*time.Second, id, head, 0)
			if whole < 3 {
				t.Fatalf("only %d turns before", whole)
			}
			var mirrors, others []*process
			for _, one := range w.nodes[0].nodeM.MirrorsOf("t1", id) {
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
			whole, asked, _ := takeTurns(w, 20*time.Second, id, head, alive...)
			if whole < 20 {
				t.Errorf("%d of %d turns came whole afterwards, at %d nodes", whole, asked, len(others))
			}
			expectNoBreaches(t, w)
		})
	}
}

// Owner and both mirrors die out of touch: what only they had is lost. The
// program is never called gone; its requester is told the head that is kept, and
// what was charged beforehand counts as spent.
func TestOwnerAndMirrorsLost(t *testing.T) {
	w, id, head := isolatedFleet(t, 3, 3*time.Second)
	_, _, head = takeTurns(w, 2*time.Second, id, head, 0)
	for _, one := range w.nodes[0].nodeM.MirrorsOf("t1", id) {
		w.processes[one].kill()
		w.after(5*time.Second, w.processes[one].boot)
	}
	w.nodes[0].kill()
	w.after(5*time.Second, w.nodes[0].boot)
	w.Advance(16 * time.Second)
	a, last := turn(w, 1, id, head, 100)
	wantCode(t, "the lost turn's head", a, "wrong_history")
	a, _ = turn(w, 2, id, last.Verdict.Head, 100)
	wantCode(t, "the kept head", a, "")
	a, look := w.Do(1, node.Request{Kind: node.KindStatus, Key: "key-t1", Program: id})
	wantCode(t, "look", a, "")
	var tokens int64
	if _, err := fmt.Sscanf(string(look.Body[indexAfter(look.Body, `"tokens":`):]), "%d", &tokens); err != nil || tokens < 2000 {
		t.Errorf("%d tokens charged, %v; 2000 were beforehand", tokens, err)
	}
}

// Cut off, an owner takes no turn beyond what is charged beforehand, so that
// whoever is lost, the program gets no more than its allowance and one turn.
func TestPrechargedTurnsWhileIsolated(t *testing.T) {
	w, id, head := isolatedFleet(t, 4, 7*time.Second)
	w.Record.Limits.ProgramTokens, w.Record.Limits.TurnTokens = 2000, 1000
	tokens, beyond := int64(0), 0
	for range 12 {
		a, p := w.Do(0, node.Request{Kind: node.KindTurn, Key: "key-t1", Program: id, Service: "model", PreviousHead: head, Prompt: w.newID("say")})
		tokens += a.Tokens
		if a.Outcome == judge.Whole {
			head = p.Head
		} else if beyond++; a.Ran != "no" || p.Verdict.RetryAfter <= 0 {
			t.Errorf("beyond what is covered: %+v", a)
		}
	}
	if beyond == 0 || tokens == 0 {
		t.Errorf("%d tokens, %d turns refused", tokens, beyond)
	}
	expectNoBreaches(t, w)
}

// A turn that only one mirror holds is not told to be whole: with owner and
// that mirror gone it would be lost.
func TestOneMirrorWhileIsolated(t *testing.T) {
	w, id, head := isolatedFleet(t, 5, 3*time.Second)
	mirrors := w.nodes[0].nodeM.MirrorsOf("t1", id)
	w.cutLinks[[2]string{w.nodes[0].address, mirrors[1]}] = true
	a, _ := turn(w, 0, id, head, 100)
	if a.Outcome == judge.Whole {
		t.Errorf("%+v", a)
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
