package relay

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/peer/registry"
)

// topologyState is the topology, without groups, and the fetch of whole tables and topologies.
type topologyState struct {
	topology core.Topology
	// routingDigest is the topology's; zero if it has to be computed again.
	routingDigest uint64
	fetch         fetch
}

// fetch names the registry that is asked for a whole table or topology. All registries have the
// same, so one is asked at a time, and another one if it does not answer.
type fetch struct {
	from  string
	until time.Duration
	// answered is set once the registry has answered, though without what this node lacks.
	answered bool
}

const (
	// silentFetchPolls and fetchPolls are how long a silent registry is waited for, and one that
	// answers but has just started itself, in update intervals. Nodes that start together would
	// otherwise all turn to the first registry that has the table.
	silentFetchPolls = 0.5
	fetchPolls       = 1.5
	// behindHeartbeats is how long a node that has a topology waits for missing changes before it
	// requests the whole, in heartbeat intervals. It exceeds the time of an election.
	behindHeartbeats = 2
)

func (m *Machine) topologyDigest() uint64 {
	if len(m.topology.Leaders) == 0 {
		return 0
	}
	if m.routingDigest == 0 {
		m.routingDigest = m.topology.WithoutGroups().Digest()
	}
	return m.routingDigest
}

// updateTopology merges what an update has of the topology.
func (m *Machine) updateTopology(view *registryView, update registry.Update) {
	if update.Topology != nil {
		m.mergeTopology(update.Topology.Changes())
	}
	next := update.NewTopology
	if next == nil {
		return
	}
	m.mergeTopology(next.Changes)
	if next.Since <= view.topologyVersion {
		view.topologyVersion = max(view.topologyVersion, next.Version)
	}
}

func (m *Machine) mergeTopology(received core.TopologyChanges) {
	received.Groups = nil
	wasKnown := len(m.topology.Leaders) > 0
	merged := m.topology.Merge(received)
	if merged.Empty() && wasKnown {
		return
	}
	m.routingDigest = 0
	registry.HintLeaders(m.caller, m.topology, merged)
}

// updateFetch requests the whole from a registry that has what this node lacks, unless another one
// was asked a moment ago.
func (m *Machine) updateFetch(now time.Duration, from string, view *registryView, update registry.Update) {
	lacksTable := m.needsFullTable || update.TableNumber > 0 && (m.pending == nil || m.pending.Number < update.TableNumber)
	lacksTopology := update.NewTopology != nil && update.NewTopology.Version > view.topologyVersion
	if !lacksTable && !lacksTopology {
		view.behindSince = 0
		m.awaitFetch(now, from)
		return
	}
	if view.behindSince == 0 {
		view.behindSince = now
	}
	urgent := lacksTable || len(m.topology.Leaders) == 0
	if !urgent && now < view.behindSince+behindHeartbeats*m.params.HeartbeatInterval {
		return
	}
	if m.fetch.from == "" || now >= m.fetch.until {
		previous := m.fetch.from
		m.startFetch(now, from)
		m.requestUpdate(from)
		if previous != "" && previous != from {
			m.requestUpdate(previous) // no longer for the whole
		}
	}
}

func (m *Machine) startFetch(now time.Duration, from string) {
	m.fetch = fetch{from: from, until: now + time.Duration(silentFetchPolls*float64(m.params.UpdateInterval))}
}

// awaitFetch ends the fetch from a registry that has nothing more, unless this node knows nothing yet.
func (m *Machine) awaitFetch(now time.Duration, from string) {
	switch {
	case m.fetch.from != from:
	case m.pending != nil && len(m.topology.Leaders) > 0:
		m.fetch = fetch{}
	case !m.fetch.answered:
		m.fetch.answered = true
		m.fetch.until = now + time.Duration(fetchPolls*float64(m.params.UpdateInterval))
	}
}

// chooseFetch lets a node that knows nothing yet request everything with its first subscriptions.
func (m *Machine) chooseFetch(now time.Duration, registries []string) {
	if len(registries) == 0 || m.pending != nil && len(m.topology.Leaders) > 0 || m.fetch.from != "" && now < m.fetch.until {
		return
	}
	m.startFetch(now, registries[int(m.random()*float64(len(registries)))%len(registries)])
}
