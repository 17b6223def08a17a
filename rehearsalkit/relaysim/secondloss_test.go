package relaysim

import (
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
	"saffronfall/rule/message"
)

// The kit's command covers all points of each change.
func TestSecondLoss(t *testing.T) {
	strides := map[int]int{3: 900, 5: 3000}
	for i, c := range append(lossCases(3), lossCases(5)...) {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			for _, b := range sweepLosses(secondLossParams(1), c, 37*i%100, strides[c.groupSize]).Breaches {
				t.Error(b)
			}
		})
	}
}

// forgingStatusRegistry forges the status of retirements.
type forgingStatusRegistry struct {
	Registry
	forge func(status registry.RetirementStatus) registry.RetirementStatus
}

func (s *forgingStatusRegistry) RetirementStatus(now time.Duration, ticket uint64, id string) registry.Output {
	o := s.Registry.RetirementStatus(now, ticket, id)
	return s.out(o)
}

func (s *forgingStatusRegistry) out(o registry.Output) registry.Output {
	for i, a := range o.Answers {
		if e, ok := a.Body.(registry.RetirementStatus); ok {
			o.Answers[i].Body = s.forge(e)
		}
	}
	return o
}

func (s *forgingStatusRegistry) Receive(now time.Duration, from string, body any) registry.Output {
	return s.out(s.Registry.Receive(now, from, body))
}

// Guards against lost copies and groups that the judge misses.
func TestSecondLossBreaks(t *testing.T) {
	for _, c := range []struct {
		name, rule, change, loss string
		inject                   func(p *Params)
	}{
		{"retirements are reported done at once", RuleRetirement, changePlanned, lossPower, func(p *Params) {
			p.WrapRegistry = func(reg Registry) Registry {
				return &forgingStatusRegistry{Registry: reg, forge: func(status registry.RetirementStatus) registry.RetirementStatus { status.Done = true; return status }}
			}
		}},
		{"a new core is sent no replica messages", RuleGroupSize, changeReplacement, lossPower, alterMessages(func(from, to string, b core.ReplicaMessage) (core.ReplicaMessage, bool) {
			return b, to != "core4"
		})},
		{"turns are acknowledged and not stored", RuleDurable, changeRetirement, lossWipe, alterMessages(func(from, to string, c core.Command) (core.Command, bool) {
			return misplaceTurns(c), true
		})},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			wantBreach(t, c.rule, func(seed uint64) *Findings {
				p := secondLossParams(seed)
				c.inject(&p)
				return sweepLosses(p, lossCase{change: c.change, loss: c.loss, groupSize: 3}, 30, 5000)
			})
		})
	}
}

// misplaceTurns stores every tenth turn under another attempt.
func misplaceTurns(c core.Command) core.Command {
	command, _ := message.Open(c.Raw)
	if k, ok := command.(core.StoreTurn); ok && k.Attempt[len(k.Attempt)-1] == '7' {
		k.Attempt += "-elsewhere"
		c.Raw = message.Pack(k)
	}
	return c
}

// Guards against breaches at points where losses once caused them.
func TestSecondLossRegressions(t *testing.T) {
	for _, c := range []struct {
		lossCase
		at int
	}{
		{lossCase{change: changeReplacement, loss: lossPower, groupSize: 3}, 327},
		{lossCase{change: changeReplacement, loss: lossPower, groupSize: 3}, 364},
		{lossCase{change: changeReplacement, loss: lossWipe, groupSize: 5}, 762},
		{lossCase{change: changePlanned, loss: lossWipe, groupSize: 5}, 202},
	} {
		p := secondLossParams(uint64(c.groupSize))
		p.Cores, p.GroupSize = c.coreCount(), c.groupSize
		r := newLossRun(p, c.lossCase, c.at)
		r.play()
		for _, b := range r.findings.Breaches {
			t.Errorf("%s, point %d: %s", c, c.at, b)
		}
	}
}
