package core

import (
	"slices"
	"testing"

	"saffronfall/rule/partition"
)

// Guards against a retired leader that no process asks, and against calls to machines that are gone.
func TestCoreAddresses(t *testing.T) {
	member, retired := Core{ID: "a", Incarnation: "1", Peer: "a:1"}, Core{ID: "b", Incarnation: "1", Peer: "b:1", Retired: true}
	led := func(by string) []partition.Term { return []partition.Term{{Round: 1, Leader: by}} }
	group := func(members ...string) []partition.Group { return []partition.Group{{Epoch: 1, Members: members}} }
	for _, c := range []struct {
		name    string
		leaders []partition.Term
		groups  []partition.Group
		asked   bool
	}{
		{"nothing is known", nil, nil, true},
		{"neither the leader nor the group is known", make([]partition.Term, 1), make([]partition.Group, 1), true},
		{"it leads, and the group is not known", led("b.1"), make([]partition.Group, 1), true},
		{"it leads, and groups are not sent", led("b.1"), nil, true},
		{"another leads, and groups are not sent", led("a.1"), nil, false},
		{"it is a member", led("a.1"), group("a.1", "b.1"), true},
		{"it is a former member", led("a.1"), []partition.Group{{Epoch: 2, Members: []string{"a.1"}, Former: []string{"a.1", "b.1"}}}, true},
		{"it is in no group", led("a.1"), group("a.1"), false},
		{"an earlier incarnation is a member", led("a.1"), group("a.1", "b.0"), false},
	} {
		topology := Topology{Cores: map[string]Core{"a": member, "b": retired}, Leaders: c.leaders, Groups: c.groups}
		addresses := topology.CoreAddresses()
		if !slices.Contains(addresses, "a:1") || slices.Contains(addresses, "b:1") != c.asked {
			t.Errorf("%s: %v", c.name, addresses)
		}
	}
}
