package registry

import (
	"reflect"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
)

// Peers are the addresses that a registry saves, so that it can rejoin its fleet after a restart
// even if none of its configured seeds is reachable.
type Peers struct {
	Fleet      string               `msgpack:"f"`
	Size       int                  `msgpack:"s"`
	Cores      map[string]core.Core `msgpack:"c"`
	Registries []string             `msgpack:"d"`
}

// Peers returns the addresses that this registry knows.
func (m *Machine) Peers() Peers {
	peers := Peers{Fleet: m.topology.Fleet, Size: m.topology.GroupSize, Cores: make(map[string]core.Core, len(m.topology.Cores)), Registries: ordered.Keys(m.registries)}
	for id, c := range m.topology.Cores {
		peers.Cores[id] = c
	}
	return peers
}

// savedPeers are the peers last written to disk and the topology version they were taken at.
type savedPeers struct {
	peers   Peers
	version uint64
}

// restorePeers restores the addresses that an earlier incarnation saved. Leaders and the current
// table are not restored but learned from these peers.
func (m *Machine) restorePeers(peers Peers) {
	m.topology.Fleet, m.topology.GroupSize = peers.Fleet, peers.Size
	for id, c := range peers.Cores {
		m.topology.Cores[id] = c
	}
	for _, address := range peers.Registries {
		if _, ok := m.registries[address]; !ok {
			m.registries[address] = m.startedAt
		}
	}
	m.saved.peers = peers
	m.topologyVersion++
}

// savePeers has the addresses written to disk if they have changed.
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
