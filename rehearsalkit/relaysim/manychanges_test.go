package relaysim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/rule/message"
)

// The kit's command runs thousands of changes.
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
				t.Errorf("seed %d: sizes were sampled only %d times", seed, len(m.samples))
			}
		})
	}
}

// storingRegistry stores an additional turn at the cores with each order.
type storingRegistry struct {
	Registry
	stored int
}

func (h *storingRegistry) Apply(now time.Duration, ticket uint64, base uint64, text []byte, digest string) registry.Output {
	o := h.Registry.Apply(now, ticket, base, text, digest)
	h.stored++
	command := core.StoreTurn{Tenant: "t", Attempt: fmt.Sprint(&h, h.stored), Input: text, Retention: time.Hour}
	for n := 1; n <= 3; n++ {
		o.Sends = append(o.Sends, registry.Send{To: fmt.Sprintf("10.0.0.%d:2", n), Body: core.Command{ID: uint64(h.stored), Partition: core.TargetPartition(7, command), Raw: message.Pack(command)}})
	}
	return o
}

// overstatingRegistry reads back higher table numbers than exist.
type overstatingRegistry struct{ Registry }

func (b *overstatingRegistry) Receive(now time.Duration, from string, body any) registry.Output {
	o := b.Registry.Receive(now, from, body)
	for i, a := range o.Answers {
		if t, ok := a.Body.(core.CurrentTable); ok && t.Number > 0 {
			t.Number++
			o.Answers[i].Body = t
		}
	}
	return o
}

// Guards against unbounded growth and slow recovery that the judge misses.
func TestManyChangesBreaks(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		inject     func(p *Params)
	}{
		{"cores store more with each order", RuleGrowth, func(p *Params) {
			p.WrapRegistry = func(reg Registry) Registry { return &storingRegistry{Registry: reg} }
		}},
		{"registries report newer tables than the leader has", RuleLeaderCurrent, func(p *Params) {
			p.WrapRegistry = func(reg Registry) Registry { return &overstatingRegistry{reg} }
		}},
		{"a returning machine is sent far too much", RuleCatchUpBytes, alterMessages(func(from, to string, b core.Topology) (core.Topology, bool) {
			if to == "core1" {
				b.Fleet = strings.Repeat("x", 2*catchUpExtra)
			}
			return b, true
		})},
		{"a returning machine is sent no replica messages", RuleFleetRecovery, alterMessages(func(from, to string, b core.ReplicaMessage) (core.ReplicaMessage, bool) {
			return b, to != "core1"
		})},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			wantBreach(t, c.rule, func(seed uint64) *Findings {
				p := manyChangesParams(seed)
				c.inject(&p)
				m := newManyChanges(New(p))
				m.sampleEvery = 20
				return m.play([]int{20}, 60)
			})
		})
	}
}
