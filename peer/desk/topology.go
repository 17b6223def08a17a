package desk

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
)

func (m *Machine) coreAddresses() []string { return CoreAddresses(m.topology) }

// CoreAddresses lists where the cores of a topology are.
func CoreAddresses(t core.Topology) []string {
	var list []string
	for _, c := range t.Cores {
		if !c.Retired && c.Peer != "" && !slices.Contains(list, c.Peer) {
			list = append(list, c.Peer)
		}
	}
	sort.Strings(list)
	return list
}

// others are nodes and desks that may pass a command on when cores stay silent.
func (m *Machine) relays() []string {
	var list []string
	for _, address := range ordered.Keys(m.subscribers) {
		if m.isSubscribed(m.tickedAt, m.subscribers[address]) {
			list = append(list, address)
		}
	}
	return list
}

// onPresent notes a core that says it is there.
func (m *Machine) onPresent(now time.Duration, from string, b core.Present) {
	if len(m.topology.Owners) == 0 {
		if _, ok := m.foundingCores[b.Core.ID]; !ok || m.foundingCores[b.Core.ID].Incarnation != b.Core.Incarnation {
			m.foundingCoresAt = now
		}
		if b.Cold {
			m.foundingCores[b.Core.ID] = b.Core
		}
	}
	if known, ok := m.topology.Cores[b.Core.ID]; !ok || known.Version < b.Core.Version || (known.Version == b.Core.Version && known.Incarnation != b.Core.Incarnation && len(m.topology.Owners) == 0) {
		m.topology.Cores[b.Core.ID] = b.Core
		m.topologyVersion++
	}
	if b.Known != 0 && b.Known == m.topology.Digest() {
		return
	}
	// They know different things: each tells the other.
	m.addSend(from, m.topology)
	m.addSend(from, core.Pull{Want: true})
}

// adopt takes over what is newer in another's topology.
func (m *Machine) mergeTopology(now time.Duration, t core.Topology) {
	changed := false
	if len(m.topology.Owners) == 0 && len(t.Owners) > 0 {
		cores := m.topology.Cores
		m.topology = core.Topology{Fleet: t.Fleet, Size: t.Size, Cores: cores, Owners: slices.Clone(t.Owners), Groups: slices.Clone(t.Groups)}
		changed = true
	}
	if m.topology.Fleet != t.Fleet && t.Fleet != "" {
		return
	}
	for n := range t.Owners {
		if n < len(m.topology.Owners) && m.topology.Owners[n].Less(t.Owners[n]) {
			m.topology.Owners[n] = t.Owners[n]
			changed = true
		}
	}
	for n := range t.Groups {
		if n < len(m.topology.Groups) && m.topology.Groups[n].Before(t.Groups[n]) {
			m.topology.Groups[n] = t.Groups[n]
			changed = true
		}
	}
	for id, c := range t.Cores {
		if known, ok := m.topology.Cores[id]; !ok || known.Version < c.Version {
			m.topology.Cores[id] = c
			changed = true
		}
	}
	if changed {
		m.topologyVersion++
		HintLeaders(m.caller, m.topology)
		m.notifyAll(now)
	}
}

// HintOwners tells a caller who owns which part.
func HintLeaders(caller *core.Caller, t core.Topology) {
	for n, owner := range t.Owners {
		for _, c := range t.Cores {
			if c.Seat() == owner.Leader {
				caller.Hint(n, c.Peer)
			}
		}
	}
}

// found founds the fleet, once all cores that came have been there for a while.
func (m *Machine) sendFounding(now time.Duration) {
	settle := m.params.HeartbeatInterval
	if !m.foundsFleet || len(m.topology.Owners) > 0 || len(m.foundingCores) < m.params.GroupSize || now < m.sendFoundingAt || now < m.foundingCoresAt+settle {
		return
	}
	m.sendFoundingAt = now + settle/4
	if m.founding == nil {
		// It is planned once, so that it is the same whenever it is sent again.
		var cores []core.Core
		for _, id := range ordered.Keys(m.foundingCores) {
			cores = append(cores, m.foundingCores[id])
		}
		founding := core.Plan(fmt.Sprintf("%s-%s", m.deskID, m.incarnation), 1+m.params.PartitionsPerCore*len(cores), m.params.GroupSize, cores)
		m.founding = &founding
	}
	for _, id := range ordered.Keys(m.founding.Cores) {
		m.addSend(m.founding.Cores[id].Peer, core.FoundFleet{Founding: *m.founding})
	}
}
