package registry

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
)

// forwarders can forward a command if no core answers directly.
func (m *Machine) forwarders() []string {
	var addresses []string
	for _, address := range ordered.Keys(m.subscribers) {
		if m.isSubscribed(m.tickedAt, m.subscribers[address]) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (m *Machine) onAnnounceCore(now time.Duration, from string, announced core.AnnounceCore) {
	if len(m.topology.Leaders) == 0 {
		m.founding.recordUnfounded(now, announced)
	}
	if known, ok := m.topology.Cores[announced.Core.ID]; !ok || known.Version < announced.Core.Version ||
		(known.Version == announced.Core.Version && known.Incarnation != announced.Core.Incarnation &&
			len(m.topology.Leaders) == 0) {
		m.topology.Cores[announced.Core.ID] = announced.Core
		changes := core.TopologyChanges{}
		changes.AddCore(announced.Core)
		m.recordTopology(changes)
	}
	switch {
	case announced.Fleet == "":
		m.addSend(from, m.topology)
	case m.repair.Needed(from, m.topologyDigests().whole, announced.KnownDigest):
		m.addSend(from, m.topology)
		m.addSend(from, core.PullUpdates{WantTopology: true})
	}
}

// mergeTopology merges changes of the same fleet; newer entries win.
func (m *Machine) mergeTopology(now time.Duration, received core.TopologyChanges) {
	isFirst := len(m.topology.Leaders) == 0
	merged := m.topology.Merge(received)
	if merged.Empty() && (!isFirst || len(m.topology.Leaders) == 0) {
		return
	}
	m.recordTopology(merged)
	HintLeaders(m.caller, m.topology, merged)
	m.notifyPaced(now)
}

// HintLeaders sets the leader addresses of a caller after changes were merged into a topology.
func HintLeaders(caller *core.Caller, topology core.Topology, merged core.TopologyChanges) {
	addresses := make(map[string]string, len(topology.Cores))
	for _, c := range topology.Cores {
		addresses[c.MemberID()] = c.Peer
	}
	for n, term := range topology.Leaders {
		_, changed := merged.Leaders[n]
		if address, known := addresses[term.Leader]; known && (changed || len(merged.Cores) > 0) {
			caller.SetLeader(n, address)
		}
	}
}
