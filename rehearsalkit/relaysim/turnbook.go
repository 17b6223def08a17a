package relaysim

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
)

// turnBook keeps turns at the cores all through a run, and knows which of them
// were acknowledged.
type turnBook struct {
	client   *client
	findings *Findings
	over     bool
	asked    int
	acked    []ackedTurn
}

type ackedTurn struct {
	attempt string
	part    int
	at      time.Duration
}

// turnKeep is so long that no turn ends within a run.
const turnKeep = time.Hour

func newTurnBook(w *World, f *Findings) *turnBook {
	c := w.addClient("keeper", "10.0.6.1:1")
	c.parts = w.parts()
	return &turnBook{client: c, findings: f}
}

func inputOf(attempt string) []byte { return []byte("input of " + attempt) }

// keep keeps one turn after the other, some at a time.
func (b *turnBook) keep(every time.Duration) {
	w := b.client.process.world
	if b.over {
		return
	}
	b.asked++
	attempt := fmt.Sprintf("turn-%d", b.asked)
	command := core.StoreTurn{Tenant: "t1", Attempt: attempt, Input: inputOf(attempt), Output: []byte("output"), Retention: turnKeep}
	b.client.call(command, patience, func(o core.Outcome) {
		if done, ok := o.Answer.(core.Done); ok && done.OK {
			b.acked = append(b.acked, ackedTurn{attempt: attempt, part: core.TargetPartition(b.client.parts, command), at: w.now})
		}
	})
	w.after(every, func() { b.keep(every) })
}

// readAll reads every acknowledged turn and wants it there, as it was.
func (b *turnBook) readAll(within time.Duration) {
	w := b.client.process.world
	waiting := len(b.acked)
	for _, t := range b.acked {
		b.client.call(core.ReadTurn{Tenant: "t1", Attempt: t.attempt}, within, func(o core.Outcome) {
			waiting--
			kept, ok := o.Answer.(core.ReadTurnResult)
			switch {
			case !ok:
				b.findings.breach(RuleLost, "%s, acknowledged at %v, could not be read within %v", t.attempt, t.at, within)
			case !kept.Found || string(kept.Input) != string(inputOf(t.attempt)):
				b.findings.breach(RuleLost, "%s, acknowledged at %v, is lost: found %v, %q", t.attempt, t.at, kept.Found, kept.Input)
			}
		})
	}
	for waiting > 0 {
		w.Pass(50 * time.Millisecond)
	}
}

// key is the entry of an acknowledged turn.
func (t ackedTurn) key() string { return "kept/" + t.attempt }
