package desk

import (
	"reflect"

	"saffronfall/peer/core"
	"saffronfall/rule/ordered"
)

// Peers are the addresses that a desk writes down, so that it finds its fleet
// again after a restart during which every seed of its settings is cut off.
type Peers struct {
	Fleet string               `msgpack:"f"`
	Size  int                  `msgpack:"s"`
	Cores map[string]core.Core `msgpack:"c"`
	Desks []string             `msgpack:"d"`
}

// Peers are the addresses that this desk knows.
func (m *Machine) Peers() Peers {
	known := Peers{Fleet: m.topology.Fleet, Size: m.topology.Size, Cores: make(map[string]core.Core, len(m.topology.Cores)), Desks: ordered.Keys(m.desks)}
	for id, c := range m.topology.Cores {
		known.Cores[id] = c
	}
	return known
}

// savedPeers are addresses as they were written down, and the version of the topology that
// they are of.
type savedPeers struct {
	peers   Peers
	version uint64
}

// recall takes over the addresses that an earlier life wrote down. They say where
// to ask, and nothing of who leads or which table is in force.
func (m *Machine) restorePeers(known Peers) {
	m.topology.Fleet, m.topology.Size = known.Fleet, known.Size
	for id, c := range known.Cores {
		m.topology.Cores[id] = c
	}
	for _, address := range known.Desks {
		if _, ok := m.desks[address]; !ok {
			m.desks[address] = m.startedAt
		}
	}
	m.saved.peers = known
	m.topologyVersion++
}

// savePeers writes the addresses down when they have changed.
func (m *Machine) savePeers() {
	if m.saved.version == m.topologyVersion || len(m.topology.Owners) == 0 {
		return
	}
	m.saved.version = m.topologyVersion
	known := m.Peers()
	if reflect.DeepEqual(known, m.saved.peers) {
		return
	}
	m.saved.peers = known
	m.out.Peers = &known
}
