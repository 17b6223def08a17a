package modelcheck

import (
	"fmt"
	"maps"

	"saffronfall/rule/partition"
)

// history is what clients have observed: values by number, refused orders, and
// committed groups. It is immutable: each record method returns a new one.
type history struct {
	// values holds each number that was acknowledged or readable, with its value.
	values map[uint64]string
	latest uint64
	// refused holds the values of refused orders.
	refused map[string]bool
	group   partition.Group
	// changed counts the changes of members that were reported done.
	changed int
}

// Violation is a property that was found violated, with the observation that shows
// it.
type Violation struct {
	Property string `json:"property"`
	Detail   string `json:"detail"`
}

func (v *Violation) String() string { return v.Property + ": " + v.Detail }

func violation(property, format string, args ...any) *Violation {
	return &Violation{Property: property, Detail: fmt.Sprintf(format, args...)}
}

// Properties that are checked in every state.
const (
	OneValue         = "one value under a number for good"
	Durable          = "what was acknowledged outlives a tolerated loss"
	FreshRead        = "no read older than an acknowledged write"
	QuorumsIntersect = "quorums of consecutive groups intersect"
	OneLease         = "one holder of a lease at any instant"
	RefusedAbsent    = "no order both refused and in force"
	ChangeDone       = "a change reported done is agreed by the new group"
)

// recordValue records a value that was acknowledged or could be read.
func (b *history) recordValue(number uint64, value string, how string) (*history, *Violation) {
	if number == 0 {
		return b, nil
	}
	known, ok := b.values[number]
	switch {
	case ok && known != value:
		return b, violation(OneValue, "number %d was %q and is %q, %s", number, known, value, how)
	case b.refused[value]:
		return b, violation(RefusedAbsent, "%q under %d was refused and is in force, %s", value, number, how)
	case ok:
		return b, nil
	}
	fresh := *b
	fresh.values = maps.Clone(b.values)
	fresh.values[number] = value
	fresh.latest = max(b.latest, number)
	return &fresh, nil
}

// recordRefusal records that an order was refused.
func (b *history) recordRefusal(order Order) (*history, *Violation) {
	if b.values[order.Number] == order.Value {
		return b, violation(RefusedAbsent, "%q under %d is in force and was refused", order.Value, order.Number)
	}
	fresh := *b
	fresh.refused = maps.Clone(b.refused)
	fresh.refused[order.Value] = true
	return &fresh, nil
}

// recordGroup records a group that a leader reported as committed.
func (b *history) recordGroup(group partition.Group) (*history, *Violation) {
	if !b.group.Before(group) {
		return b, nil
	}
	if b.group.Epoch > 0 && !quorumsIntersect(b.group, group) {
		return b, violation(QuorumsIntersect, "group %v, %v was followed by %v, %v", b.group.Members, b.group.Former, group.Members, group.Former)
	}
	fresh := *b
	fresh.group = group
	return &fresh, nil
}

// quorumsIntersect reports whether every quorum of one group shares a member with
// every quorum of the other.
func quorumsIntersect(a, b partition.Group) bool {
	memberNames := a.All()
	for _, member := range b.All() {
		if !a.Has(member) {
			memberNames = append(memberNames, member)
		}
	}
	all := 1<<len(memberNames) - 1
	for chosen := range all + 1 {
		if isQuorum(a, subset(memberNames, chosen)) && isQuorum(b, subset(memberNames, all&^chosen)) {
			return false
		}
	}
	return true
}

// subset returns the members selected by the bits of chosen.
func subset(memberNames []string, chosen int) map[string]bool {
	set := map[string]bool{}
	for i, member := range memberNames {
		if chosen&(1<<i) != 0 {
			set[member] = true
		}
	}
	return set
}

// isQuorum reports whether a set of members is a quorum of a group: a majority of
// its members, and of the former members while a change is in progress.
func isQuorum(group partition.Group, set map[string]bool) bool {
	return isMajority(group.Members, set) && (len(group.Former) == 0 || isMajority(group.Former, set))
}

func isMajority(memberNames []string, set map[string]bool) bool {
	count := 0
	for _, member := range memberNames {
		if set[member] {
			count++
		}
	}
	return count > len(memberNames)/2
}
