package partition

// Term is a ballot number. The candidate's member name is part of it, so that no two candidates
// share a term.
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

// Version orders the values of a register by term, then by sequence number in the term.
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

// Group has a partition's members in order; the first is the preferred leader. A member's name
// includes the incarnation of its data directory, so a core that lost its disk is no member. The
// group is joint if Former is not empty: a majority of both lists must agree.
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

// Has reports whether a member is a current or former one.
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

func (g Group) hasQuorum(accepted func(member string) bool) bool {
	return majority(g.Members, accepted) && (len(g.Former) == 0 || majority(g.Former, accepted))
}

func majority(members []string, accepted func(string) bool) bool {
	count := 0
	for _, member := range members {
		if accepted(member) {
			count++
		}
	}
	return count > len(members)/2
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
