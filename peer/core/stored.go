package core

import (
	"saffronfall/rule/partition"
)

// Stored is what a core's disk holds.
type Stored struct {
	Incarnation string                  `msgpack:"i"`
	Founding    Founding                `msgpack:"f"`
	Replicas    map[int]partition.State `msgpack:"c"`
}

// Change is one thing to write to disk.
type Change struct {
	Founding *Founding         `msgpack:"f"`
	Record   *partition.Record `msgpack:"r"`
}

// Apply brings what is stored up to a change.
func (s *Stored) Apply(c Change) {
	if s.Replicas == nil {
		s.Replicas = map[int]partition.State{}
	}
	if c.Founding != nil {
		s.Founding = *c.Founding
		for n, g := range c.Founding.Groups {
			p := s.Replicas[n]
			if p.Group.Epoch == 0 {
				p.Group = g
			}
			s.Replicas[n] = p
		}
	}
	if c.Record != nil {
		p := s.Replicas[c.Record.Partition]
		p.Apply(*c.Record)
		s.Replicas[c.Record.Partition] = p
	}
}

// CopyFrom makes an image that can be changed apart from its source.
func (s *Stored) CopyFrom(o Stored) {
	s.Incarnation, s.Founding, s.Replicas = o.Incarnation, o.Founding, map[int]partition.State{}
	for n, c := range o.Replicas {
		entries := make(map[string]partition.Entry, len(c.Entries))
		for k, e := range c.Entries {
			entries[k] = e
		}
		c.Entries = entries
		s.Replicas[n] = c
	}
}
