package core

import (
	"slices"
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
	// GroupSize is the intended number of members of a group.
	GroupSize int `msgpack:"s" json:"size"`
}

// PlanFleet returns the founding of a new fleet with its partitions placed on the given cores.
func (d FailureDomains) PlanFleet(fleet string, partitions, size int, cores []Core) Founding {
	founding := Founding{Fleet: fleet, Partitions: partitions, Cores: map[string]Core{}, GroupSize: size}
	for _, c := range cores {
		founding.Cores[c.ID] = c
	}
	for _, members := range d.Place(partitions, size, cores, nil) {
		founding.Groups = append(founding.Groups, partition.Group{Epoch: 1, Members: members})
	}
	return founding
}

// AcceptFounding makes this core a founding core of a new fleet and reports whether it belongs to that
// fleet. A core of another fleet is left unchanged.
func (m *Machine) AcceptFounding(now time.Duration, founding Founding) (Output, bool) {
	m.out = &Output{}
	if m.Founded() {
		return *m.out, m.founding.Fleet == founding.Fleet
	}
	return *m.out, m.joinNewFleet(now, founding)
}

// joinNewFleet joins a new fleet and passes its founding on. It reports whether the founding is valid
// and names this incarnation.
func (m *Machine) joinNewFleet(now time.Duration, founding Founding) bool {
	if own, ok := founding.Cores[m.self.ID]; !ok || own.Incarnation != m.self.Incarnation ||
		founding.Partitions < 1 || len(founding.Groups) != founding.Partitions {
		return false
	}
	m.Join(now, founding)
	for _, id := range ordered.Keys(founding.Cores) {
		if id != m.self.ID {
			m.send(founding.Cores[id].Peer, FoundFleet{Founding: founding}, false)
		}
	}
	return true
}

func (m *Machine) announcement() AnnounceCore {
	return AnnounceCore{Core: m.self, MayFound: m.mayFound && !m.Founded(), Fleet: m.founding.Fleet, KnownDigest: m.digest}
}

func (m *Machine) announce() {
	if m.superseded {
		return
	}
	addresses := m.seeds
	if !m.Founded() && m.mayFound {
		addresses = append(slices.Clone(addresses), m.foundedCores...)
	}
	for _, address := range addresses {
		if address != m.self.Peer {
			m.send(address, m.announcement(), false)
		}
	}
}

func (m *Machine) onAnnounceCore(now time.Duration, from string, announcement AnnounceCore) {
	switch announcement.Fleet {
	case m.founding.Fleet:
		m.mergeCore(announcement.Core)
		m.recordContact(now, announcement.Core.MemberID())
		m.sendTopologyIfDifferent(now, from, announcement.KnownDigest)
	case "":
		m.refreshTopology()
		m.send(from, m.Topology(), false)
		if founder, ok := m.founding.Cores[announcement.Core.ID]; ok && announcement.MayFound &&
			founder.Incarnation == announcement.Core.Incarnation && m.founding.Groups[0].Epoch > 0 {
			m.send(from, FoundFleet{Founding: m.founding}, false)
		}
	}
}
