package core

// TopologyRepair decides when two processes exchange whole topologies. Changes are sent as they
// happen, so digests differ for a moment at every change. Whole topologies are exchanged only where
// two announcements in a row show the same two different digests, as after a lost message.
type TopologyRepair struct {
	differing map[string]digestPair
}

type digestPair struct{ ours, theirs uint64 }

// Needed records the digests at an announcement from an address, and reports whether this process
// should send its whole topology there. A zero digest is not known.
func (r *TopologyRepair) Needed(from string, ours, theirs uint64) bool {
	if ours == theirs || ours == 0 || theirs == 0 {
		delete(r.differing, from)
		return false
	}
	pair := digestPair{ours: ours, theirs: theirs}
	if r.differing[from] == pair {
		delete(r.differing, from)
		return true
	}
	if r.differing == nil {
		r.differing = map[string]digestPair{}
	}
	r.differing[from] = pair
	return false
}
