package core

import (
	"slices"

	"saffronfall/rule/partition"
)

// CoreAddresses returns the sorted peer addresses of the cores that may have a replica.
func (t Topology) CoreAddresses() []string {
	var addresses []string
	for _, c := range t.Cores {
		if c.Peer != "" && mayHaveReplica(c, t.Leaders, t.Groups) {
			addresses = append(addresses, c.Peer)
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// mayHaveReplica reports whether a core may be a member of a group. A retired core stays a member,
// and may lead, until its successor has caught up. Where a partition's group is not known, its
// leader counts as the only retired member, and any retired core may be one if that is not known
// either.
func mayHaveReplica(c Core, leaders []partition.Term, groups []partition.Group) bool {
	if !c.Retired || len(leaders) == 0 {
		return true
	}
	member := c.MemberID()
	for n, term := range leaders {
		switch {
		case n < len(groups) && groups[n].Epoch > 0:
			if groups[n].Has(member) {
				return true
			}
		case term == partition.Term{} || term.Leader == member:
			return true
		}
	}
	return false
}
