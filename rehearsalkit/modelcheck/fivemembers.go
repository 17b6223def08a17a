package modelcheck

import "slices"

// In groups of five, extraFollower takes part in the whole setup and isolatedMember receives
// nothing. So two of three members become three of five, and three of three become four of five.
const (
	extraFollower  = "e"
	isolatedMember = "f"
)

// withFiveMembers returns the scenario with a group of five, which tolerates one more loss.
func (s *Scenario) withFiveMembers() *Scenario {
	wide := &Scenario{
		Name:           s.Name + "5",
		Description:    s.Description + ", in a group of five",
		Members:        append(slices.Clone(s.Members), extraFollower, isolatedMember),
		Spares:         s.Spares,
		Orders:         s.Orders,
		Changes:        s.Changes,
		Bounds:         s.Bounds,
		SlowDisks:      s.SlowDisks,
		Depth:          s.Depth,
		setupFollowers: []string{extraFollower},
		setup:          s.setup,
	}
	if wide.Bounds.Losses > 0 {
		wide.Bounds.Losses++
	}
	return wide
}

// threeMembersOnly names scenarios whose setups deliver single messages that a group of five does
// not send.
var threeMembersOnly = []string{"candidate"}

func addFiveMemberScenarios(scenarios []*Scenario) []*Scenario {
	all := slices.Clone(scenarios)
	for _, s := range scenarios {
		if !slices.Contains(threeMembersOnly, s.Name) {
			all = append(all, s.withFiveMembers())
		}
	}
	return all
}
