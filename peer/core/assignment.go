package core

import "slices"

// assignment is a placement of partitions on cores in progress.
type assignment struct {
	size int
	// cores is sorted by ID. Other fields refer to a core by its index.
	cores []Core
	// loads has the number of replicas of each core.
	loads  []int
	groups []assignedGroup
}

type assignedGroup struct {
	members []int
	weights []uint64
	spread  occupancy
}

func newAssignment(domains FailureDomains, partitions, size int, cores []Core) *assignment {
	a := &assignment{
		size:   size,
		cores:  slices.Clone(cores),
		loads:  make([]int, len(cores)),
		groups: make([]assignedGroup, partitions),
	}
	slices.SortFunc(a.cores, func(a, b Core) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for n := range a.groups {
		a.groups[n].spread = domains.occupancy(size)
		for _, c := range a.cores {
			a.groups[n].weights = append(a.groups[n].weights, weight("seat", n, c.ID))
		}
	}
	return a
}

// members returns the member IDs of each group.
func (a *assignment) members() [][]string {
	groups := make([][]string, len(a.groups))
	for n, group := range a.groups {
		for _, i := range group.members {
			groups[n] = append(groups[n], a.cores[i].MemberID())
		}
	}
	return groups
}

// fill adds candidates to the groups that lack members, by zone and weight, and then moves the added
// ones to less loaded candidates while that keeps the groups as well spread. If survivable is set, it
// adds none where the tolerated losses could then take a majority.
func (a *assignment) fill(candidates []int, survivable bool) {
	before := make([]int, len(a.groups))
	for n := range a.groups {
		group := &a.groups[n]
		before[n] = len(group.members)
		for len(group.members) < a.size {
			best := a.bestCandidate(group, candidates, survivable)
			if best < 0 {
				break
			}
			a.add(group, best)
		}
	}
	for a.balanceOnce(candidates, before) {
	}
	for n, group := range a.groups {
		slices.SortFunc(group.members[before[n]:], func(i, j int) int {
			if group.weights[i] > group.weights[j] {
				return -1
			}
			return 1
		})
	}
}

// bestCandidate returns the candidate in the zone with the fewest members that has the greatest
// weight, or -1 if none is left.
func (a *assignment) bestCandidate(group *assignedGroup, candidates []int, survivable bool) int {
	best := -1
	for _, i := range candidates {
		zone := a.cores[i].Zone
		if slices.Contains(group.members, i) || survivable && !group.spread.hasRoom(zone) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		members, fewest := group.spread.zones[zone], group.spread.zones[a.cores[best].Zone]
		if members < fewest || members == fewest && group.weights[i] > group.weights[best] {
			best = i
		}
	}
	return best
}

func (a *assignment) add(group *assignedGroup, i int) {
	group.members = append(group.members, i)
	group.spread.add(a.cores[i].Zone, 1)
	a.loads[i]++
}

// relocation replaces a member of a group by another core.
type relocation struct{ group, from, to int }

// balanceOnce makes the move that evens out the loads most, and reports whether there was one. The
// members before the given positions stay.
func (a *assignment) balanceOnce(candidates, firstMovable []int) bool {
	best, bestGap := relocation{group: -1}, 1
	for n := range a.groups {
		group := &a.groups[n]
		for _, from := range slices.Sorted(slices.Values(group.members[firstMovable[n]:])) {
			for _, to := range candidates {
				gap := a.loads[from] - a.loads[to]
				if gap < 2 || slices.Contains(group.members, to) || !group.spread.mayMove(a.cores[from].Zone, a.cores[to].Zone) {
					continue
				}
				if gap > bestGap || gap == bestGap && group.weights[to] > a.groups[best.group].weights[best.to] {
					best, bestGap = relocation{group: n, from: from, to: to}, gap
				}
			}
		}
	}
	if best.group < 0 {
		return false
	}
	a.relocate(best)
	return true
}

func (a *assignment) relocate(r relocation) {
	group := &a.groups[r.group]
	group.members[slices.Index(group.members, r.from)] = r.to
	group.spread.add(a.cores[r.from].Zone, -1)
	group.spread.add(a.cores[r.to].Zone, 1)
	a.loads[r.from]--
	a.loads[r.to]++
}
