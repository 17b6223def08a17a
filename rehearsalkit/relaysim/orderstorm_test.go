package relaysim

import (
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
)

// Guards against an accepted order that is refused when its answer was lost.
func TestOrders(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			f := newOrderStorm(New(ordersParams(seed))).play(60 * time.Second)
			for i, b := range f.Breaches {
				if i < 5 {
					t.Errorf("seed %d, one of %d: %s", seed, len(f.Breaches), b)
				}
			}
			if n := f.Counts["orders acknowledged"]; n < 25 {
				t.Errorf("seed %d: only %d orders were acknowledged", seed, n)
			}
		})
	}
}

// Guards against faults of the cores that the judge misses.
func TestOrdersBreaks(t *testing.T) {
	for _, c := range []struct {
		name, rule string
		inject     func(p *Params)
	}{
		{"repeated orders are not recognized", RuleAcceptedNotRefused, func(p *Params) {
			some := everyNth(3)
			alterMessages(func(from, to string, c core.Command) (core.Command, bool) {
				command, _ := message.Open(c.Raw)
				if a, ok := command.(core.AcceptTable); ok && some() {
					a.Digest += "x"
					c.Raw = message.Pack(a)
				}
				return c, true
			})(p)
		}},
		{"all orders on one base are acknowledged", RuleTableRace, alterAnswers(func(a core.AcceptTableResult) core.AcceptTableResult { a.OK = true; return a })},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			wantBreach(t, c.rule, func(seed uint64) *Findings {
				p := ordersParams(seed)
				c.inject(&p)
				return newOrderStorm(New(p)).play(10 * time.Second)
			})
		})
	}
}
