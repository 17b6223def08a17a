package modelcheck

import "slices"

// In groups of five one more member follows whatever a scenario's setup brings about, and
// another one has heard of nothing. So two of three are three of five, and three of three
// are four of five.
const (
	extraFollower  = "e"
	isolatedMember = "f"
)

// five is a scenario with a group of five. One loss more is borne.
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

// threeOnly are scenarios whose setups bring single messages that a group of five does not
// send at that point.
var threeMembersOnly = []string{"candidate"}

// withFives adds to scenarios the same ones with groups of five.
func addFiveMemberScenarios(scenarios []*Scenario) []*Scenario {
	all := slices.Clone(scenarios)
	for _, s := range scenarios {
		if !slices.Contains(threeMembersOnly, s.Name) {
			all = append(all, s.withFiveMembers())
		}
	}
	return all
}
