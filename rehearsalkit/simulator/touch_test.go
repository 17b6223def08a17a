package simulator

import (
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
		if _, p := open(w, at, w.mark("u")); p.Text != "" {
			asked++
			if a, _ := turn(w, at, p.Text, program.Start, 50); a.Outcome == judge.Whole {
				whole++
			}
		}
		w.Pass(20 * time.Millisecond)
	}
	return whole, asked
}

// The only node that heard of a replica's leaving dies at once. No other node
// gives that replica work for longer than the rule allows.
func TestLeavingHeardByADyingNode(t *testing.T) {
	w := judged(small(nil))
	leaver := w.models[0]
	leaver.mute = true
	leaver.leaving = true
	w.nodes[0].nodeM.Announce(w.nodes[0].now(), node.Replica{Service: leaver.service, ID: leaver.name(), Address: leaver.address(), Leaving: true}, "")
	w.Record.Leaving = append(w.Record.Leaving, judge.Leaving{At: w.now, Replica: leaver.name()})
	w.nodes[0].kill()
	if whole, _ := traffic(w, 5*time.Second, 1, 2); whole < 20 {
		t.Errorf("only %d turns", whole)
	}
	noBreach(t, w)
}

// A replica's ordinary word waits for a frozen node, and the replica leaves
// meanwhile. The woken node does not take the old word for a new one.
func TestOldWordAtAWokenNode(t *testing.T) {
	w := judged(small(nil))
	leaver, frozen := w.models[0], w.nodes[0]
	stamp := frozen.nodeM.Announce(frozen.now(), node.Replica{Service: "model", ID: "other", Address: "other"}, "").Stamp
	frozen.freeze()
	leaver.tell(frozen, leaver.serial, stamp)
	w.Pass(50 * time.Millisecond)
	leaver.leaving = true
	leaver.announce()
	w.Pass(4 * time.Second)
	leaver.mute = true
	frozen.wake()
	if whole, _ := traffic(w, 3*time.Second, 0); whole < 5 {
		t.Errorf("only %d turns", whole)
	}
	if len(w.Record.Leaving) != 1 {
		t.Errorf("%+v", w.Record.Leaving)
	}
	noBreach(t, w)
}
