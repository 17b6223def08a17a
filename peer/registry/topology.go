package registry

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
)

func (m *Machine) coreAddresses() []string { return CoreAddresses(m.topology) }

// CoreAddresses returns the sorted peer addresses of the cores that are not retired.
func CoreAddresses(topology core.Topology) []string {
	var addresses []string
	for _, c := range topology.Cores {
		if !c.Retired && c.Peer != "" && !slices.Contains(addresses, c.Peer) {
			addresses = append(addresses, c.Peer)
		}
	}
	sort.Strings(addresses)
	return addresses
}

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
		if _, ok := m.foundingCores[announced.Core.ID]; !ok || m.foundingCores[announced.Core.ID].Incarnation != announced.Core.Incarnation {
			m.foundingCoresChangedAt = now
		}
		if announced.MayFound {
			m.foundingCores[announced.Core.ID] = announced.Core
		}
	}
	if known, ok := m.topology.Cores[announced.Core.ID]; !ok || known.Version < announced.Core.Version ||
		(known.Version == announced.Core.Version && known.Incarnation != announced.Core.Incarnation &&
			len(m.topology.Leaders) == 0) {
		m.topology.Cores[announced.Core.ID] = announced.Core
		m.topologyVersion++
	}
	if announced.KnownDigest != 0 && announced.KnownDigest == m.topology.Digest() {
		return
	}
	// The two topologies differ, so each side sends its own.
	m.addSend(from, m.topology)
	m.addSend(from, core.PullUpdates{WantTopology: true})
}

// mergeTopology merges a topology of the same fleet; newer entries win.
func (m *Machine) mergeTopology(now time.Duration, other core.Topology) {
	changed := false
	if len(m.topology.Leaders) == 0 && len(other.Leaders) > 0 {
		cores := m.topology.Cores
		m.topology = core.Topology{
			Fleet:     other.Fleet,
			GroupSize: other.GroupSize,
			Cores:     cores,
			Leaders:   slices.Clone(other.Leaders),
			Groups:    slices.Clone(other.Groups),
		}
		changed = true
	}
	if m.topology.Fleet != other.Fleet && other.Fleet != "" {
		return
	}
	for n := range other.Leaders {
		if n < len(m.topology.Leaders) && m.topology.Leaders[n].Less(other.Leaders[n]) {
			m.topology.Leaders[n] = other.Leaders[n]
			changed = true
		}
	}
	for n := range other.Groups {
		if n < len(m.topology.Groups) && m.topology.Groups[n].Before(other.Groups[n]) {
			m.topology.Groups[n] = other.Groups[n]
			changed = true
		}
	}
	for id, c := range other.Cores {
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

// HintLeaders sets the leader addresses of a caller from a topology.
func HintLeaders(caller *core.Caller, topology core.Topology) {
	for n, term := range topology.Leaders {
		for _, c := range topology.Cores {
			if c.MemberID() == term.Leader {
				caller.SetLeader(n, c.Peer)
			}
		}
	}
}

// foundingRetriesPerSettleTime is how often a founding is sent per settle time.
const foundingRetriesPerSettleTime = 4

// sendFounding founds the fleet once enough cores have announced themselves and no new one has
// appeared for a heartbeat interval.
func (m *Machine) sendFounding(now time.Duration) {
	settleTime := m.params.HeartbeatInterval
	if !m.foundsFleet || len(m.topology.Leaders) > 0 || len(m.foundingCores) < m.params.GroupSize ||
		now < m.sendFoundingAt || now < m.foundingCoresChangedAt+settleTime {
		return
	}
	m.sendFoundingAt = now + settleTime/foundingRetriesPerSettleTime
	if m.founding == nil {
		// It is planned once, so that every retry sends the same founding.
		var cores []core.Core
		for _, id := range ordered.Keys(m.foundingCores) {
			cores = append(cores, m.foundingCores[id])
		}
		founding := core.PlanFleet(
			fmt.Sprintf("%s-%s", m.registryID, m.incarnation),
			1+m.params.PartitionsPerCore*len(cores),
			m.params.GroupSize,
			cores,
		)
		m.founding = &founding
	}
	for _, id := range ordered.Keys(m.founding.Cores) {
		m.addSend(m.founding.Cores[id].Peer, core.FoundFleet{Founding: *m.founding})
	}
}
