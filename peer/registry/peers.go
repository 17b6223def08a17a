package registry

import (
	"reflect"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
)

// Peers are the addresses that a registry saves, so that it can rejoin its fleet after a restart
// even if no configured seed is reachable.
type Peers struct {
	Fleet      string               `msgpack:"f"`
	GroupSize  int                  `msgpack:"s"`
	Cores      map[string]core.Core `msgpack:"c"`
	Registries []string             `msgpack:"d"`
	// Partitions is the fleet's number of partitions; zero in records of a former release.
	Partitions int `msgpack:"n,omitempty"`
}

// Peers returns the addresses that this registry knows.
func (m *Machine) Peers() Peers {
	peers := Peers{
		Fleet:      m.topology.Fleet,
		GroupSize:  m.topology.GroupSize,
		Cores:      make(map[string]core.Core, len(m.topology.Cores)),
		Registries: ordered.Keys(m.registries),
		Partitions: len(m.topology.Leaders),
	}
	for id, c := range m.topology.Cores {
		peers.Cores[id] = c
	}
	return peers
}

// savedPeers are the last ones written to disk, with their topology version.
type savedPeers struct {
	peers   Peers
	version uint64
}

// restorePeers restores saved addresses. Leaders and the current table are learned from them.
func (m *Machine) restorePeers(peers Peers) {
	m.topology.Fleet, m.topology.GroupSize = peers.Fleet, peers.GroupSize
	m.topology.SetPartitions(peers.Partitions)
	restored := core.TopologyChanges{}
	for id, c := range peers.Cores {
		m.topology.Cores[id] = c
		restored.AddCore(c)
	}
	for _, address := range peers.Registries {
		if _, ok := m.registries[address]; !ok {
			m.registries[address] = m.startedAt
		}
	}
	m.saved.peers = peers
	m.recordTopology(restored)
	m.changedRegistries = m.topologyVersion
}

func (m *Machine) savePeers() {
	if m.saved.version == m.topologyVersion || len(m.topology.Leaders) == 0 {
		return
	}
	m.saved.version = m.topologyVersion
	peers := m.Peers()
	if reflect.DeepEqual(peers, m.saved.peers) {
		return
	}
	m.saved.peers = peers
	m.out.Peers = &peers
}
