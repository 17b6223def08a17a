package core

import (
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// TopologyChanges are entries of a Topology. Newer entries win when they are merged, so merging them
// twice or out of order is harmless.
type TopologyChanges struct {
	Fleet     string `msgpack:"f"`
	GroupSize int    `msgpack:"s,omitempty"`
	// Partitions is the number of partitions of the fleet; zero if it is not known.
	Partitions int                     `msgpack:"p"`
	Cores      map[string]Core         `msgpack:"c,omitempty"`
	Leaders    map[int]partition.Term  `msgpack:"o,omitempty"`
	Groups     map[int]partition.Group `msgpack:"g,omitempty"`
}

// Empty reports whether there are no entries.
func (c TopologyChanges) Empty() bool {
	return len(c.Cores) == 0 && len(c.Leaders) == 0 && len(c.Groups) == 0
}

// AddCore adds a core's entry.
func (c *TopologyChanges) AddCore(entry Core) {
	if c.Cores == nil {
		c.Cores = map[string]Core{}
	}
	c.Cores[entry.ID] = entry
}

// AddLeader adds the term of a partition's leader.
func (c *TopologyChanges) AddLeader(n int, term partition.Term) {
	if c.Leaders == nil {
		c.Leaders = map[int]partition.Term{}
	}
	c.Leaders[n] = term
}

// AddGroup adds a partition's group.
func (c *TopologyChanges) AddGroup(n int, group partition.Group) {
	if c.Groups == nil {
		c.Groups = map[int]partition.Group{}
	}
	c.Groups[n] = group
}

// Changes returns all known entries of the topology.
func (t Topology) Changes() TopologyChanges {
	changes := TopologyChanges{Fleet: t.Fleet, GroupSize: t.GroupSize, Partitions: len(t.Leaders)}
	for _, entry := range t.Cores {
		changes.AddCore(entry)
	}
	for n, term := range t.Leaders {
		if term != (partition.Term{}) {
			changes.AddLeader(n, term)
		}
	}
	for n, group := range t.Groups {
		if group.Epoch > 0 {
			changes.AddGroup(n, group)
		}
	}
	return changes
}

// Merge takes the newer entries of the same fleet and returns those. A topology of no fleet takes
// over the fleet of the changes.
func (t *Topology) Merge(received TopologyChanges) TopologyChanges {
	if t.Fleet == "" || len(t.Leaders) == 0 {
		t.adopt(received)
	}
	merged := TopologyChanges{Fleet: t.Fleet, GroupSize: t.GroupSize, Partitions: len(t.Leaders)}
	if received.Fleet != "" && received.Fleet != t.Fleet {
		return merged
	}
	for _, id := range ordered.Keys(received.Cores) {
		entry := received.Cores[id]
		if known, ok := t.Cores[id]; !ok || known.Version < entry.Version {
			t.Cores[id] = entry
			merged.AddCore(entry)
		}
	}
	for _, n := range ordered.Keys(received.Leaders) {
		if term := received.Leaders[n]; n >= 0 && n < len(t.Leaders) && t.Leaders[n].Less(term) {
			t.Leaders[n] = term
			merged.AddLeader(n, term)
		}
	}
	for _, n := range ordered.Keys(received.Groups) {
		if group := received.Groups[n]; n >= 0 && n < len(t.Groups) && t.Groups[n].Before(group) {
			t.Groups[n] = group
			merged.AddGroup(n, group)
		}
	}
	return merged
}

// adopt takes over the fleet of the first changes that tell how many partitions it has.
func (t *Topology) adopt(received TopologyChanges) {
	if t.Cores == nil {
		t.Cores = map[string]Core{}
	}
	if received.Fleet == "" || t.Fleet != "" && t.Fleet != received.Fleet {
		return
	}
	t.Fleet = received.Fleet
	if received.GroupSize > 0 {
		t.GroupSize = received.GroupSize
	}
	t.SetPartitions(received.Partitions)
}

// maxPartitions bounds the number of partitions that a message can claim.
const maxPartitions = 1 << 16

// SetPartitions makes room for the entries of that many partitions, none of them known yet.
func (t *Topology) SetPartitions(partitions int) {
	if partitions <= 0 || partitions > maxPartitions || len(t.Leaders) > 0 {
		return
	}
	t.Leaders = make([]partition.Term, partitions)
	t.Groups = make([]partition.Group, partitions)
}

// WithoutGroups returns the part of the topology that nodes use.
func (t Topology) WithoutGroups() Topology {
	t.Groups = nil
	return t
}
