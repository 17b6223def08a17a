package simulator

import (
	"fmt"
	"testing"
	"time"

	"saffronfall/peer/node"
	"saffronfall/rehearsalkit/judge"
	"saffronfall/rule/program"
)

// Kept conversations are never reported gone or unknown after restarts, with or without the cores,
// and continue with their history.
func TestKeptAfterRestarts(t *testing.T) {
	for _, c := range []struct {
		name         string
		nodes, cores int
		isolated     bool
	}{
		{"one node", 1, 0, false}, {"all nodes", 4, 0, false}, {"all cores", 0, 3, false}, {"everything", 4, 3, false},
		{"one node, cut off", 1, 0, true}, {"all nodes, cut off", 4, 0, true}, {"all cores, cut off", 0, 3, true}, {"everything, cut off", 4, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := Defaults(1)
			p.Cores, p.Nodes, p.Users, p.Configuration = 3, 4, 0, configurationWith(func(role, tenant, services, breaker tree) { role["session_seconds"] = 600 })
			w := withLimits(NewWithoutFaults(p))
			heads := map[string]string{}
			for i := 0; i < 6; i++ {
				_, opened := open(w, i%4, fmt.Sprint("u", i))
				result, p := turn(w, (i+1)%4, opened.Text, program.EmptyHead, 50)
				wantCode(t, "before", result, "")
				heads[opened.Text] = p.Head
			}
			w.Advance(500 * time.Millisecond)
			for i := 0; i < c.nodes; i++ {
				w.nodes[i].kill()
				w.after(w.between(50*time.Millisecond, 600*time.Millisecond), w.nodes[i].boot)
			}
			for i := 0; i < c.cores; i++ {
				w.cores[i].kill()
				w.after(w.between(50*time.Millisecond, 600*time.Millisecond), w.cores[i].boot)
			}
			if c.isolated {
				w.cutCoresFromNodes(6 * time.Second)
			}
			requests := 0
			for end := w.now + 12*time.Second; w.now < end; w.Advance(150 * time.Millisecond) {
				for id := range heads {
					for _, n := range w.nodes {
						requests++
						w.submit(n, node.Request{Kind: node.KindStatus, Key: "key-t1", Program: id, Timeout: 2 * time.Second}, ignoreResponse)
					}
				}
			}
			w.Advance(3 * time.Second)
			for id, head := range heads {
				result, _ := turn(w, 3, id, head, 50)
				wantCode(t, "after", result, "")
			}
			completed := 0
			for _, result := range w.Record.Requests {
				if result.Kind == node.KindStatus && result.Outcome == judge.Whole {
					completed++
				}
			}
			if requests < 1500 || completed < requests/10 {
				t.Errorf("%d requests, %d complete", requests, completed)
			}
			expectNoBreaches(t, w)
		})
	}
}

// A node that restarts on a running machine is ready at once, since its address is unchanged. After
// a power loss it waits until the lease of its earlier incarnation is over.
func TestRestartOnSameMachine(t *testing.T) {
	for _, c := range []struct {
		name             string
		inject           func(p *process)
		earliest, latest time.Duration
	}{
		{"killed", (*process).kill, 0, 2 * time.Second},
		{"machine off", (*process).powerOff, 6 * time.Second, 12 * time.Second},
	} {
		p := Defaults(1)
		p.Cores, p.Nodes, p.Users, p.Configuration, p.MemberLease = 3, 3, 0, configurationWith(nil), 8*time.Second
		w := withLimits(NewWithoutFaults(p))
		w.Advance(2 * time.Second)
		began := w.now
		c.inject(w.nodes[0])
		w.nodes[0].boot()
		for w.now < began+c.latest && !w.nodes[0].nodeMachine.Ready(w.nodes[0].now()) {
			w.Advance(50 * time.Millisecond)
		}
		if took := w.now - began; took < c.earliest || took >= c.latest {
			t.Errorf("%s: back after %v", c.name, took)
		}
	}
}
