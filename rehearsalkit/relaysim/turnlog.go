package relaysim

import (
	"fmt"
	"time"

	"saffronfall/peer/core"
)

// turnLog stores turns at the cores and records which were acknowledged.
type turnLog struct {
	client   *client
	findings *Findings
	stopped  bool
	lastTurn int
	acked    []ackedTurn
}

type ackedTurn struct {
	attempt   string
	partition int
	at        time.Duration
}

// turnRetention is longer than any run.
const turnRetention = time.Hour

func newTurnLog(w *World, f *Findings) *turnLog {
	c := w.addClient("keeper", "10.0.6.1:1")
	c.partitions = w.partitions()
	return &turnLog{client: c, findings: f}
}

func inputOf(attempt string) []byte { return []byte("input of " + attempt) }

func (b *turnLog) storeTurns(every time.Duration) {
	w := b.client.process.world
	if b.stopped {
		return
	}
	b.lastTurn++
	attempt := fmt.Sprintf("turn-%d", b.lastTurn)
	command := core.StoreTurn{Tenant: "t1", Attempt: attempt, Input: inputOf(attempt), Output: []byte("output"), Retention: turnRetention}
	b.client.call(command, answerTimeout, func(o core.Outcome) {
		if done, ok := o.Answer.(core.Done); ok && done.OK {
			b.acked = append(b.acked, ackedTurn{attempt: attempt, partition: core.TargetPartition(b.client.partitions, command), at: w.now})
		}
	})
	w.after(every, func() { b.storeTurns(every) })
}

func (b *turnLog) readAll(within time.Duration) {
	w := b.client.process.world
	waiting := len(b.acked)
	for _, t := range b.acked {
		b.client.call(core.ReadTurn{Tenant: "t1", Attempt: t.attempt}, within, func(o core.Outcome) {
			waiting--
			kept, ok := o.Answer.(core.ReadTurnResult)
			switch {
			case !ok:
				b.findings.breach(RuleDurable, "%s, acknowledged at %v, could not be read within %v", t.attempt, t.at, within)
			case !kept.Found || string(kept.Input) != string(inputOf(t.attempt)):
				b.findings.breach(RuleDurable, "%s, acknowledged at %v, is lost: found %v, %q", t.attempt, t.at, kept.Found, kept.Input)
			}
		})
	}
	for waiting > 0 {
		w.Advance(50 * time.Millisecond)
	}
}

func (t ackedTurn) key() string { return "kept/" + t.attempt }
