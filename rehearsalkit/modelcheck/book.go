package modelcheck

import (
	"fmt"
	"maps"

	"saffronfall/rule/partition"
)

// book is what the world outside has seen: the values under their numbers, the
// orders refused, and the groups committed. It is replaced, never changed.
type book struct {
	// values has each number that was acknowledged or readable, and its value.
	values map[uint64]string
	latest uint64
	// refused has the values of the orders that were refused.
	refused map[string]bool
	group   partition.Group
	// changed is how many changes of members were reported done.
	changed int
}

// Violation is a property that was seen broken.
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
	OneValue    = "one value under a number for good"
	Durable     = "what was acknowledged outlives a tolerated loss"
	Fresh       = "no read older than an acknowledged write"
	Intersect   = "quorums of consecutive groups intersect"
	OneLease    = "one holder of a lease at any instant"
	RefusedGone = "no order both refused and in force"
	ChangeDone  = "a change reported done is agreed by the new group"
)

// see notes a value that was acknowledged or could be read.
func (b *book) see(number uint64, value string, how string) (*book, *Violation) {
	if number == 0 {
		return b, nil
	}
	known, ok := b.values[number]
	switch {
	case ok && known != value:
		return b, violation(OneValue, "number %d was %q and is %q, %s", number, known, value, how)
	case b.refused[value]:
		return b, violation(RefusedGone, "%q under %d was refused and is in force, %s", value, number, how)
	case ok:
		return b, nil
	}
	fresh := *b
	fresh.values = maps.Clone(b.values)
	fresh.values[number] = value
	fresh.latest = max(b.latest, number)
	return &fresh, nil
}

// refuse notes an order that was refused.
func (b *book) refuse(order Order) (*book, *Violation) {
	if b.values[order.Number] == order.Value {
		return b, violation(RefusedGone, "%q under %d is in force and was refused", order.Value, order.Number)
	}
	fresh := *b
	fresh.refused = maps.Clone(b.refused)
	fresh.refused[order.Value] = true
	return &fresh, nil
}

// commit notes a group that an owner has reported as agreed.
func (b *book) commit(group partition.Group) (*book, *Violation) {
	if !b.group.Before(group) {
		return b, nil
	}
	if b.group.Epoch > 0 && !quorumsIntersect(b.group, group) {
		return b, violation(Intersect, "group %v, %v was followed by %v, %v", b.group.Members, b.group.Former, group.Members, group.Former)
	}
	fresh := *b
	fresh.group = group
	return &fresh, nil
}

// quorumsIntersect tries all quorums of two groups.
func quorumsIntersect(a, b partition.Group) bool {
	seats := a.All()
	for _, seat := range b.All() {
		if !a.Has(seat) {
			seats = append(seats, seat)
		}
	}
	all := 1<<len(seats) - 1
	for chosen := range all + 1 {
		if isQuorum(a, members(seats, chosen)) && isQuorum(b, members(seats, all&^chosen)) {
			return false
		}
	}
	return true
}

// members are the seats chosen by the bits of a number.
func members(seats []string, chosen int) map[string]bool {
	set := map[string]bool{}
	for i, seat := range seats {
		if chosen&(1<<i) != 0 {
			set[seat] = true
		}
	}
	return set
}

// isQuorum reports whether a set of seats may agree for a group: a majority of
// it, and one of the former group while a change is under way.
func isQuorum(group partition.Group, set map[string]bool) bool {
	return isMajority(group.Members, set) && (len(group.Former) == 0 || isMajority(group.Former, set))
}

func isMajority(seats []string, set map[string]bool) bool {
	count := 0
	for _, seat := range seats {
		if set[seat] {
			count++
		}
	}
	return count > len(seats)/2
}
