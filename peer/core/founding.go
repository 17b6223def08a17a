package core

import (
	"time"

	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// Founding is what a fleet is founded with. It is kept on the core's disk.
type Founding struct {
	Fleet string          `msgpack:"f" json:"fleet"`
	Parts int             `msgpack:"p" json:"parts"`
	Cores map[string]Core `msgpack:"c" json:"cores"`
	// Groups has the first group of each part.
	Groups []partition.Group `msgpack:"g" json:"groups"`
	// Size is how many seats a group is to have.
	Size int `msgpack:"s" json:"size"`
}

// Plan divides parts over cores: groups of a size, in different zones where it
// can be done, first seats spread evenly.
func Plan(fleet string, parts, size int, cores []Core) Founding {
	f := Founding{Fleet: fleet, Parts: parts, Cores: map[string]Core{}, Size: size}
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
	return *m.out, m.found(now, f)
}

func (m *Machine) found(now time.Duration, f Founding) bool {
	if mine, ok := f.Cores[m.self.ID]; !ok || mine.Incarnation != m.self.Incarnation || f.Parts < 1 || len(f.Groups) != f.Parts {
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

func (m *Machine) present() AnnounceCore {
	return AnnounceCore{Core: m.self, MayFound: m.params.ColdStart, Fleet: m.founding.Fleet, KnownDigest: m.known}
}

func (m *Machine) greet() {
	if m.outlived {
		return
	}
	for _, seed := range m.seeds {
		if seed != m.self.Peer {
			m.send(seed, m.present(), false)
		}
	}
}

func (m *Machine) onPresent(now time.Duration, from string, b AnnounceCore) {
	switch b.Fleet {
	case m.founding.Fleet:
		m.learnCore(b.Core)
		m.hear(now, b.Core.MemberID())
		m.tellDiffering(now, from, b.KnownDigest)
	case "":
		m.learn()
		m.send(from, m.Topology(), false)
		if named, ok := m.founding.Cores[b.Core.ID]; ok && b.MayFound && named.Incarnation == b.Core.Incarnation && m.founding.Groups[0].Epoch > 0 {
			m.send(from, FoundFleet{Founding: m.founding}, false)
		}
	}
}
