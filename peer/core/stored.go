package core

import (
	"saffronfall/rule/partition"
)

// Stored is the contents of a core's disk. Replicas are by partition number.
type Stored struct {
	Incarnation string `msgpack:"i"`
	// MayFound is set if the disk was first used in the first start of a fleet. Until it has joined
	// one, its core may take part in the founding, after a restart too.
	MayFound bool                    `msgpack:"m,omitempty"`
	Founding Founding                `msgpack:"f"`
	Replicas map[int]partition.State `msgpack:"c"`
}

// Change is one change of Stored to write to disk.
type Change struct {
	Founding *Founding         `msgpack:"f"`
	Record   *partition.Record `msgpack:"r"`
}

// Apply applies a change.
func (s *Stored) Apply(change Change) {
	if s.Replicas == nil {
		s.Replicas = map[int]partition.State{}
	}
	if change.Founding != nil {
		s.Founding = *change.Founding
		for n, g := range change.Founding.Groups {
			p := s.Replicas[n]
			if p.Group.Epoch == 0 {
				p.Group = g
			}
			s.Replicas[n] = p
		}
	}
	if change.Record != nil {
		p := s.Replicas[change.Record.Partition]
		p.Apply(*change.Record)
		s.Replicas[change.Record.Partition] = p
	}
}

// CopyFrom makes s a copy of o that shares no entries map with it.
func (s *Stored) CopyFrom(o Stored) {
	s.Incarnation, s.MayFound, s.Founding, s.Replicas = o.Incarnation, o.MayFound, o.Founding, map[int]partition.State{}
	for n, state := range o.Replicas {
		entries := make(map[string]partition.Entry, len(state.Entries))
		for k, e := range state.Entries {
			entries[k] = e
		}
		state.Entries = entries
		s.Replicas[n] = state
	}
}
