package partition

// Term is a ballot number. It has the candidate's member name as the tie-breaker, so that no
// two candidates ever share a term.
type Term struct {
	Round  uint64 `msgpack:"r" json:"Round"`
	Leader string `msgpack:"o" json:"Owner"`
}

// Less reports whether a term precedes another.
func (t Term) Less(o Term) bool {
	if t.Round != o.Round {
		return t.Round < o.Round
	}
	return t.Leader < o.Leader
}

// Version orders the values of a register: by the term of the write, then by its sequence
// number in that term.
type Version struct {
	Term Term   `msgpack:"t"`
	Seq  uint64 `msgpack:"s"`
}

// Less reports whether a version precedes another.
func (v Version) Less(o Version) bool {
	if v.Term != o.Term {
		return v.Term.Less(o.Term)
	}
	return v.Seq < o.Seq
}

// Entry is a register's value, or its tombstone if Deleted is set.
type Entry struct {
	Key     string  `msgpack:"k"`
	Value   []byte  `msgpack:"v"`
	Deleted bool    `msgpack:"g"`
	Version Version `msgpack:"s"`
}

// Group is the configuration of a partition: its members in order, the first one being the
// preferred leader. A member is named by a core's id and the incarnation of its data
// directory, so a core that lost its disk is no member. During a membership change the group
// is joint: a majority of the Former members must agree as well.
type Group struct {
	Term    Term     `msgpack:"t" json:"Term"`
	Epoch   uint64   `msgpack:"e" json:"Epoch"`
	Members []string `msgpack:"s" json:"Seats"`
	Former  []string `msgpack:"f" json:"Former"`
}

// Before reports whether another group was proposed after this one.
func (g Group) Before(o Group) bool {
	if g.Term != o.Term {
		return g.Term.Less(o.Term)
	}
	return g.Epoch < o.Epoch
}

// Has reports whether a member belongs to the group or, during a change, to the former one.
func (g Group) Has(member string) bool {
	return contains(g.Members, member) || contains(g.Former, member)
}

// All returns the current and the former members.
func (g Group) All() []string {
	all := append([]string(nil), g.Members...)
	for _, member := range g.Former {
		if !contains(all, member) {
			all = append(all, member)
		}
	}
	return all
}

// hasQuorum reports whether the members that accepted are a majority of the group and, if it
// is joint, of the former one.
func (g Group) hasQuorum(accepted func(member string) bool) bool {
	return majority(g.Members, accepted) && (len(g.Former) == 0 || majority(g.Former, accepted))
}

func majority(members []string, accepted func(string) bool) bool {
	n := 0
	for _, member := range members {
		if accepted(member) {
			n++
		}
	}
	return n > len(members)/2
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
