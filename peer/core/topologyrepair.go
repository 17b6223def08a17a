package core

// TopologyRepair decides when two processes exchange whole topologies. Changes are sent as they
// happen, so digests differ for a moment at every change. Whole topologies are exchanged only where
// two announcements in a row show the same two different digests, as after a lost message, or where
// many in a row show some difference.
type TopologyRepair struct {
	differing map[string]difference
}

// maxDifferences is the number of announcements in a row with some difference after which whole
// topologies are exchanged.
const maxDifferences = 5

type difference struct {
	ours, theirs uint64
	count        int
}

// Needed records the digests at an announcement from an address, and reports whether this process
// should send its whole topology there. A zero digest is not known.
func (r *TopologyRepair) Needed(from string, ours, theirs uint64) bool {
	if ours == theirs || ours == 0 || theirs == 0 {
		delete(r.differing, from)
		return false
	}
	last := r.differing[from]
	if last.ours == ours && last.theirs == theirs || last.count+1 >= maxDifferences {
		delete(r.differing, from)
		return true
	}
	if r.differing == nil {
		r.differing = map[string]difference{}
	}
	r.differing[from] = difference{ours: ours, theirs: theirs, count: last.count + 1}
	return false
}
