package modelcheck

import (
	"fmt"
	"maps"

	"saffronfall/rule/partition"
)

// history is what callers have observed. It is immutable: each record method returns a new one.
type history struct {
	// values holds the value of each number that was acknowledged or readable.
	values map[uint64]string
	// latest is the highest number in values.
	latest uint64
	// refused holds the values of refused orders.
	refused map[string]bool
	group   partition.Group
	// changed counts the changes of members reported done.
	changed int
}

// Violation is a violated property with the observation that shows it.
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

func (h *history) recordValue(number uint64, value, evidence string) (*history, *Violation) {
	if number == 0 {
		return h, nil
	}
	known, ok := h.values[number]
	switch {
	case ok && known != value:
		return h, violation(OneValue, "number %d was %q and is %q, %s", number, known, value, evidence)
	case h.refused[value]:
		return h, violation(RefusedAbsent, "%q under %d was refused and is accepted, %s", value, number, evidence)
	case ok:
		return h, nil
	}
	fresh := *h
	fresh.values = maps.Clone(h.values)
	fresh.values[number] = value
	fresh.latest = max(h.latest, number)
	return &fresh, nil
}

func (h *history) recordRefusal(order Order) (*history, *Violation) {
	if h.values[order.Number] == order.Value {
		return h, violation(RefusedAbsent, "%q under %d was accepted and is refused", order.Value, order.Number)
	}
	fresh := *h
	fresh.refused = maps.Clone(h.refused)
	fresh.refused[order.Value] = true
	return &fresh, nil
}

// recordGroup records a group that a leader reported as committed.
func (h *history) recordGroup(group partition.Group) (*history, *Violation) {
	if !h.group.Before(group) {
		return h, nil
	}
	if h.group.Epoch > 0 && !quorumsIntersect(h.group, group) {
		return h, violation(QuorumsIntersect, "group %v, %v was followed by %v, %v",
			h.group.Members, h.group.Former, group.Members, group.Former)
	}
	fresh := *h
	fresh.group = group
	return &fresh, nil
}

// quorumsIntersect reports whether each quorum of a shares a member with each quorum of b.
func quorumsIntersect(a, b partition.Group) bool {
	members := a.All()
	for _, member := range b.All() {
		if !a.Has(member) {
			members = append(members, member)
		}
	}
	all := 1<<len(members) - 1
	for mask := range all + 1 {
		if isQuorum(a, subset(members, mask)) && isQuorum(b, subset(members, all&^mask)) {
			return false
		}
	}
	return true
}

func subset(members []string, mask int) map[string]bool {
	set := map[string]bool{}
	for i, member := range members {
		if mask&(1<<i) != 0 {
			set[member] = true
		}
	}
	return set
}

// isQuorum reports whether set holds a majority of the members, and also of the former members
// during a change.
func isQuorum(group partition.Group, set map[string]bool) bool {
	return isMajority(group.Members, set) && (len(group.Former) == 0 || isMajority(group.Former, set))
}

func isMajority(members []string, set map[string]bool) bool {
	count := 0
	for _, member := range members {
		if set[member] {
			count++
		}
	}
	return count > len(members)/2
}
