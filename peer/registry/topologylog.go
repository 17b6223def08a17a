package registry

import (
	"saffronfall/peer/core"
)

// topologyLog is the topology that a registry knows. It records at which version each entry last
// changed, so that subscribers are sent only what they lack.
type topologyLog struct {
	topology        core.Topology
	topologyVersion uint64
	changedCores    map[string]uint64
	changedLeaders  map[int]uint64
	changedGroups   map[int]uint64
	// changedRegistries is the version at which a registry was last added.
	changedRegistries uint64
	digests           topologyDigests
}

// topologyDigests are those of the topology at a version: of all of it, and without groups.
type topologyDigests struct {
	version        uint64
	whole, routing uint64
}

func newTopologyLog() topologyLog {
	return topologyLog{
		topology:       core.Topology{Cores: map[string]core.Core{}},
		changedCores:   map[string]uint64{},
		changedLeaders: map[int]uint64{},
		changedGroups:  map[int]uint64{},
	}
}

// recordTopology starts a new version with entries that were merged into the topology.
func (l *topologyLog) recordTopology(merged core.TopologyChanges) {
	l.topologyVersion++
	for id := range merged.Cores {
		l.changedCores[id] = l.topologyVersion
	}
	for n := range merged.Leaders {
		l.changedLeaders[n] = l.topologyVersion
	}
	for n := range merged.Groups {
		l.changedGroups[n] = l.topologyVersion
	}
}

// recordRegistry starts a new version with another registry.
func (l *topologyLog) recordRegistry() {
	l.topologyVersion++
	l.changedRegistries = l.topologyVersion
}

// topologySince returns the entries that changed after a version; all of them after version zero.
func (l *topologyLog) topologySince(version uint64, withGroups bool) core.TopologyChanges {
	changes := core.TopologyChanges{
		Fleet:      l.topology.Fleet,
		GroupSize:  l.topology.GroupSize,
		Partitions: len(l.topology.Leaders),
	}
	for id, changedAt := range l.changedCores {
		if changedAt > version {
			changes.AddCore(l.topology.Cores[id])
		}
	}
	for n, changedAt := range l.changedLeaders {
		if changedAt > version {
			changes.AddLeader(n, l.topology.Leaders[n])
		}
	}
	for n, changedAt := range l.changedGroups {
		if withGroups && changedAt > version {
			changes.AddGroup(n, l.topology.Groups[n])
		}
	}
	return changes
}

func (l *topologyLog) topologyDigests() topologyDigests {
	if l.digests.version != l.topologyVersion {
		l.digests = topologyDigests{
			version: l.topologyVersion,
			whole:   l.topology.Digest(),
			routing: l.topology.WithoutGroups().Digest(),
		}
	}
	return l.digests
}

// digestFor is of the part of the topology that a subscriber of this kind is sent.
func (l *topologyLog) digestFor(isRegistry bool) uint64 {
	if isRegistry {
		return l.topologyDigests().whole
	}
	return l.topologyDigests().routing
}
