package core

import (
	"time"

	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// Founding is what a fleet is founded with. It is kept on the core's disk.
type Founding struct {
	Fleet      string          `msgpack:"f" json:"fleet"`
	Partitions int             `msgpack:"p" json:"parts"`
	Cores      map[string]Core `msgpack:"c" json:"cores"`
	// Groups has the first group of each part.
	Groups []partition.Group `msgpack:"g" json:"groups"`
	// Size is how many seats a group is to have.
	Size int `msgpack:"s" json:"size"`
}

// Plan divides parts over cores: groups of a size, in different zones where it
// can be done, first seats spread evenly.
func PlanFleet(fleet string, parts, size int, cores []Core) Founding {
	f := Founding{Fleet: fleet, Partitions: parts, Cores: map[string]Core{}, Size: size}
	for _, c := range cores {
		f.Cores[c.ID] = c
	}
	for _, seats := range Place(parts, size, cores, nil) {
		f.Groups = append(f.Groups, partition.Group{Epoch: 1, Members: seats})
	}
	return f
}

// Found makes this core part of a new fleet. A core that is in one stays.
func (m *Machine) Found(now time.Duration, f Founding) (Output, bool) {
	m.out = &Output{}
	if m.Founded() {
		return *m.out, m.founding.Fleet == f.Fleet
	}
	return *m.out, m.createFleet(now, f)
}

func (m *Machine) createFleet(now time.Duration, f Founding) bool {
	if own, ok := f.Cores[m.self.ID]; !ok || own.Incarnation != m.self.Incarnation || f.Partitions < 1 || len(f.Groups) != f.Partitions {
		return false
	}
	m.Join(now, f)
	for _, id := range ordered.Keys(f.Cores) {
		if id != m.self.ID {
			m.send(f.Cores[id].Peer, FoundFleet{Founding: f}, false)
		}
	}
	return true
}

func (m *Machine) presence() Present {
	return Present{Core: m.self, Cold: m.params.ColdStart, Fleet: m.founding.Fleet, Known: m.digest}
}

func (m *Machine) announce() {
	if m.superseded {
		return
	}
	for _, seed := range m.seeds {
		if seed != m.self.Peer {
			m.send(seed, m.presence(), false)
		}
	}
}

func (m *Machine) onPresence(now time.Duration, from string, b Present) {
	switch b.Fleet {
	case m.founding.Fleet:
		m.mergeCore(b.Core)
		m.recordContact(now, b.Core.Seat())
		m.sendTopologyIfDifferent(now, from, b.Known)
	case "":
		m.refreshTopology()
		m.send(from, m.Topology(), false)
		if named, ok := m.founding.Cores[b.Core.ID]; ok && b.Cold && named.Incarnation == b.Core.Incarnation && m.founding.Groups[0].Epoch > 0 {
			m.send(from, FoundFleet{Founding: m.founding}, false)
		}
	}
}
