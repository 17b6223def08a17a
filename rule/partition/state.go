package partition

import "time"

// State is what one member stores of a partition on its disk.
type State struct {
	// Base is the last term whose leader wrote this state completely. Entries of lower terms are
	// left over from uncommitted writes.
	Base     Term             `msgpack:"b"`
	Promised Term             `msgpack:"p"` // the highest promised term
	Group    Group            `msgpack:"g"`
	Clock    time.Duration    `msgpack:"c"` // the highest known value of the partition's clock
	Entries  map[string]Entry `msgpack:"e"`
}

// Record is a change of a State, to be synced to disk. Zero fields change nothing.
type Record struct {
	Partition int           `msgpack:"n"`
	Promised  Term          `msgpack:"p"`
	Group     *Group        `msgpack:"g"`
	Clock     time.Duration `msgpack:"c"`
	Entries   []Entry       `msgpack:"e"`
	Purged    []Entry       `msgpack:"d"` // tombstones to remove
	// Snapshot means that Entries are all entries up to the promised term and UpTo.
	Snapshot bool `msgpack:"w"`
	// UpTo is the sequence number of a snapshot or rebase in the promised term.
	UpTo uint64 `msgpack:"u"`
	// Rebase gives all entries the version of the promised term and UpTo, and removes tombstones.
	Rebase bool `msgpack:"x"`
}

// Apply applies a record to the state.
func (s *State) Apply(r Record) {
	if s.Entries == nil {
		s.Entries = map[string]Entry{}
	}
	if s.Promised.Less(r.Promised) {
		s.Promised = r.Promised
	}
	if r.Group != nil && s.Group.Before(*r.Group) {
		s.Group = *r.Group
	}
	s.Clock = max(s.Clock, r.Clock)
	for _, e := range r.Entries {
		if old, ok := s.Entries[e.Key]; !ok || old.Version.Less(e.Version) {
			s.Entries[e.Key] = e
		}
	}
	if r.Rebase {
		s.Base = r.Promised
		for key, e := range s.Entries {
			if e.Deleted {
				delete(s.Entries, key)
				continue
			}
			e.Version = Version{Term: r.Promised, Seq: r.UpTo}
			s.Entries[key] = e
		}
	}
	if r.Snapshot {
		s.Base = r.Promised
		present := make(map[string]bool, len(r.Entries))
		for _, e := range r.Entries {
			present[e.Key] = true
		}
		for key, e := range s.Entries {
			if e.Version.Term.Less(r.Promised) || (e.Version.Term == r.Promised && e.Version.Seq <= r.UpTo && !present[key]) {
				delete(s.Entries, key)
			}
		}
	}
	for _, purged := range r.Purged {
		if old, ok := s.Entries[purged.Key]; ok && old.Deleted && old.Version == purged.Version {
			delete(s.Entries, purged.Key)
		}
	}
}
