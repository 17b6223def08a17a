package relaysim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/desk"
	"saffronfall/rule/message"
)

// TestManyChanges has machines away for some changes, and back with each state of
// their disks; thousands of changes are for the command.
func TestManyChanges(t *testing.T) {
	for seed := uint64(1); seed <= uint64(len(diskStates)); seed++ {
		t.Run(diskStates[seed%uint64(len(diskStates))], func(t *testing.T) {
			t.Parallel()
			m := newManyChanges(New(manyChangesParams(seed)))
			m.sampleEvery = 100
			for _, b := range m.play([]int{10, 40, 100}, 150).Breaches {
				t.Errorf("seed %d: %s", seed, b)
			}
			if len(m.samples) < 3 {
				t.Errorf("seed %d: sizes were noted only %d times", seed, len(m.samples))
			}
		})
	}
}

// hoarder is a desk that has the cores keep a thing with each order.
type hoarder struct {
	Desk
	kept int
}

func (h *hoarder) Apply(now time.Duration, ticket uint64, base uint64, text []byte, digest string) desk.Output {
	o := h.Desk.Apply(now, ticket, base, text, digest)
	h.kept++
	command := core.StoreTurn{Tenant: "t", Attempt: fmt.Sprint(&h, h.kept), Input: text, Retention: time.Hour}
	for n := 1; n <= 3; n++ {
		o.Sends = append(o.Sends, desk.Send{To: fmt.Sprintf("10.0.0.%d:2", n), Body: core.Command{ID: uint64(h.kept), Partition: core.TargetPartition(7, command), Raw: message.Pack(command)}})
	}
	return o
}

// boaster is a desk that reads higher numbers back than there are.
type boaster struct{ Desk }

func (b *boaster) Receive(now time.Duration, from string, body any) desk.Output {
	o := b.Desk.Receive(now, from, body)
	for i, a := range o.Answers {
		if t, ok := a.Body.(core.CurrentTable); ok && t.Number > 0 {
			t.Number++
			o.Answers[i].Body = t
		}
	}
	return o
}

// TestManyChangesBreaks breaks the fleet on purpose.
func TestManyChangesBreaks(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		harm       func(p *Params)
	}{
		{"cores keep more with each order", RuleGrowth, func(p *Params) {
			p.WrapDesk = func(d Desk) Desk { return &hoarder{Desk: d} }
		}},
		{"desks tell more than the owner has", RuleBehind, func(p *Params) {
			p.WrapDesk = func(d Desk) Desk { return &boaster{d} }
		}},
		{"who comes back is told far too much", RuleBytes, altering(func(from, to string, b core.Topology) (core.Topology, bool) {
			if to == "core1" {
				b.Fleet = strings.Repeat("x", 2*caughtUpMore)
			}
			return b, true
		})},
		{"who comes back gets nothing", RuleWholeAgain, altering(func(from, to string, b core.ReplicaMessage) (core.ReplicaMessage, bool) {
			return b, to != "core1"
		})},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			wantBreach(t, c.rule, func(seed uint64) *Findings {
				p := manyChangesParams(seed)
				c.harm(&p)
				m := newManyChanges(New(p))
				m.sampleEvery = 20
				return m.play([]int{20}, 60)
			})
		})
	}
}
