package core

import (
	"time"

	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// Founding is the initial configuration of a fleet, stored by each core.
type Founding struct {
	Fleet      string          `msgpack:"f" json:"fleet"`
	Partitions int             `msgpack:"p" json:"parts"`
	Cores      map[string]Core `msgpack:"c" json:"cores"`
	// Groups has the first group of each partition, by partition number.
	Groups []partition.Group `msgpack:"g" json:"groups"`
	// Size is the number of members that a group should have.
	Size int `msgpack:"s" json:"size"`
}

// PlanFleet returns the founding of a new fleet with its partitions placed on the given cores.
func PlanFleet(fleet string, partitions, size int, cores []Core) Founding {
	f := Founding{Fleet: fleet, Partitions: partitions, Cores: map[string]Core{}, Size: size}
	for _, c := range cores {
		f.Cores[c.ID] = c
	}
	for _, members := range Place(partitions, size, cores, nil) {
		f.Groups = append(f.Groups, partition.Group{Epoch: 1, Members: members})
	}
	return f
}

// Found makes this core a founding core of a new fleet and reports whether it belongs to that
// fleet. A core of another fleet is left unchanged.
func (m *Machine) Found(now time.Duration, f Founding) (Output, bool) {
	m.out = &Output{}
	if m.Founded() {
		return *m.out, m.founding.Fleet == f.Fleet
	}
	return *m.out, m.createFleet(now, f)
}

// createFleet joins the fleet of f and passes f on to the other founding cores. It reports whether
// f is valid and names this incarnation.
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

func (m *Machine) announcement() AnnounceCore {
	return AnnounceCore{Core: m.self, MayFound: m.params.ColdStart, Fleet: m.founding.Fleet, KnownDigest: m.digest}
}

func (m *Machine) announce() {
	if m.superseded {
		return
	}
	for _, seed := range m.seeds {
		if seed != m.self.Peer {
			m.send(seed, m.announcement(), false)
		}
	}
}

// onAnnounceCore handles the heartbeat of a core of the same fleet, or of one without a fleet.
func (m *Machine) onAnnounceCore(now time.Duration, from string, b AnnounceCore) {
	switch b.Fleet {
	case m.founding.Fleet:
		m.mergeCore(b.Core)
		m.recordContact(now, b.Core.MemberID())
		m.sendTopologyIfDifferent(now, from, b.KnownDigest)
	case "":
		m.refreshTopology()
		m.send(from, m.Topology(), false)
		if founder, ok := m.founding.Cores[b.Core.ID]; ok && b.MayFound &&
			founder.Incarnation == b.Core.Incarnation && m.founding.Groups[0].Epoch > 0 {
			m.send(from, FoundFleet{Founding: m.founding}, false)
		}
	}
}
