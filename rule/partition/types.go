// Package partition is one part of the control state: registers kept by a small
// group of cores, with one owner that holds the part under a numbered term.
package partition

import "time"

// Term numbers an ownership of a part. Its owner is a seat, so that no two
// owners ever share a number.
type Term struct {
	Round uint64 `msgpack:"r" json:"Round"`
	Owner string `msgpack:"o" json:"Owner"`
}

// Less orders terms.
func (t Term) Less(o Term) bool {
	if t.Round != o.Round {
		return t.Round < o.Round
	}
	return t.Owner < o.Owner
}

// Stamp orders the values of a register.
type Stamp struct {
	Term Term   `msgpack:"t"`
	Seq  uint64 `msgpack:"s"`
}

// Less orders stamps.
func (s Stamp) Less(o Stamp) bool {
	if s.Term != o.Term {
		return s.Term.Less(o.Term)
	}
	return s.Seq < o.Seq
}

// Entry is a register's value, or the mark of its removal.
type Entry struct {
	Key   string `msgpack:"k"`
	Value []byte `msgpack:"v"`
	Gone  bool   `msgpack:"g"`
	Stamp Stamp  `msgpack:"s"`
}

// Group is who keeps a part. A seat is a core's id and the incarnation of its
// folder, so that a core which lost its disk has no seat. While a change is
// under way, the former seats must agree as well.
type Group struct {
	Term   Term     `msgpack:"t" json:"Term"`
	Epoch  uint64   `msgpack:"e" json:"Epoch"`
	Seats  []string `msgpack:"s" json:"Seats"`
	Former []string `msgpack:"f" json:"Former"`
}

// Before reports whether another group was agreed, or tried, after this one.
func (g Group) Before(o Group) bool {
	if g.Term != o.Term {
		return g.Term.Less(o.Term)
	}
	return g.Epoch < o.Epoch
}

// Has reports whether a seat belongs to the group.
func (g Group) Has(seat string) bool { return holds(g.Seats, seat) || holds(g.Former, seat) }

// All is every seat that takes part in agreements.
func (g Group) All() []string {
	all := append([]string(nil), g.Seats...)
	for _, s := range g.Former {
		if !holds(all, s) {
			all = append(all, s)
		}
	}
	return all
}

func (g Group) agreed(yes func(seat string) bool) bool {
	return most(g.Seats, yes) && (len(g.Former) == 0 || most(g.Former, yes))
}

func most(seats []string, yes func(string) bool) bool {
	n := 0
	for _, s := range seats {
		if yes(s) {
			n++
		}
	}
	return n > len(seats)/2
}

func holds(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Copy is what one seat keeps of a part on its disk. Base is the last term
// whose owner wrote this copy whole: what is older than that is left over.
type Copy struct {
	Base     Term             `msgpack:"b"`
	Promised Term             `msgpack:"p"`
	Group    Group            `msgpack:"g"`
	Clock    time.Duration    `msgpack:"c"`
	Entries  map[string]Entry `msgpack:"e"`
}

// Record is a change of a copy, to be synced to disk.
type Record struct {
	Part     int           `msgpack:"n"`
	Promised Term          `msgpack:"p"`
	Group    *Group        `msgpack:"g"`
	Clock    time.Duration `msgpack:"c"`
	Entries  []Entry       `msgpack:"e"`
	Drops    []Entry       `msgpack:"d"`
	Whole    bool          `msgpack:"w"`
	// Upto is the sequence up to which a whole record is all there is of its term.
	Upto uint64 `msgpack:"u"`
	// Restamp brings all entries under the promised term, with the sequence Upto.
	Restamp bool `msgpack:"x"`
}

// Apply brings a copy up to a record.
func (c *Copy) Apply(r Record) {
	if c.Entries == nil {
		c.Entries = map[string]Entry{}
	}
	if c.Promised.Less(r.Promised) {
		c.Promised = r.Promised
	}
	if r.Group != nil && c.Group.Before(*r.Group) {
		c.Group = *r.Group
	}
	c.Clock = max(c.Clock, r.Clock)
	for _, e := range r.Entries {
		if old, ok := c.Entries[e.Key]; !ok || old.Stamp.Less(e.Stamp) {
			c.Entries[e.Key] = e
		}
	}
	if r.Restamp {
		c.Base = r.Promised
		for key, e := range c.Entries {
			if e.Gone {
				delete(c.Entries, key)
				continue
			}
			e.Stamp = Stamp{Term: r.Promised, Seq: r.Upto}
			c.Entries[key] = e
		}
	}
	if r.Whole {
		c.Base = r.Promised
		present := make(map[string]bool, len(r.Entries))
		for _, e := range r.Entries {
			present[e.Key] = true
		}
		for key, e := range c.Entries {
			if e.Stamp.Term.Less(r.Promised) || (e.Stamp.Term == r.Promised && e.Stamp.Seq <= r.Upto && !present[key]) {
				delete(c.Entries, key)
			}
		}
	}
	for _, d := range r.Drops {
		if old, ok := c.Entries[d.Key]; ok && old.Gone && old.Stamp == d.Stamp {
			delete(c.Entries, d.Key)
		}
	}
}

// Params bound a part's timing. All but the term are ratios to it.
type Params struct {
	OwnerTerm time.Duration
	// Drift is by what ratio a giver counts a term longer than its holder.
	Drift float64
	// Renewals is how many renewals are sent in a term.
	Renewals int
	// Sweeps is after how many terms copies are compared.
	Sweeps int
	// Home is after how many terms a part goes back to the first seat of its
	// group; zero: never.
	Home int
}

// Messages between the seats of a part.
type (
	// Stand asks for the promise of a term. One that only asks binds nobody; it
	// keeps a seat that was cut off from unseating an owner that serves.
	Stand struct {
		Ask bool `msgpack:"a"`
		// Light asks for the copy's digest alone.
		Light bool `msgpack:"l"`
		// Key is what digests are made with under this term.
		Key      DigestKey     `msgpack:"k"`
		Term     Term          `msgpack:"t"`
		Group    Group         `msgpack:"g"`
		Released Term          `msgpack:"r"`
		Sent     time.Duration `msgpack:"s"`
	}
	// Promise gives it, with the whole copy of the seat or its digest.
	Promise struct {
		Ask bool `msgpack:"a"`
		// Light: Sum stands for the entries, of which there are none.
		Light   bool          `msgpack:"l"`
		Sum     uint64        `msgpack:"u"`
		Term    Term          `msgpack:"t"`
		Base    Term          `msgpack:"b"`
		Group   Group         `msgpack:"g"`
		Clock   time.Duration `msgpack:"c"`
		Entries []Entry       `msgpack:"e"`
		Sent    time.Duration `msgpack:"s"`
	}
	// Refuse says that another term stands in the way.
	Refuse struct {
		Term     Term          `msgpack:"t"`
		Promised Term          `msgpack:"p"`
		Group    Group         `msgpack:"g"`
		Wait     time.Duration `msgpack:"w"`
	}
	// Write carries entries under a term. Prior is the sequence that must have
	// been taken for the copy to be whole.
	Write struct {
		// Restamp: the entries are those that the seat has, if they have this sum;
		// they come under the write's term.
		Restamp bool          `msgpack:"x"`
		Sum     uint64        `msgpack:"u"`
		Term    Term          `msgpack:"t"`
		Seq     uint64        `msgpack:"q"`
		Prior   uint64        `msgpack:"p"`
		Group   Group         `msgpack:"g"`
		Clock   time.Duration `msgpack:"c"`
		Entries []Entry       `msgpack:"e"`
		Drops   []Entry       `msgpack:"d"`
		Whole   bool          `msgpack:"w"`
		Sent    time.Duration `msgpack:"s"`
	}
	// Taken acknowledges a synced write.
	Taken struct {
		Term  Term          `msgpack:"t"`
		Seq   uint64        `msgpack:"q"`
		Whole uint64        `msgpack:"w"`
		Sent  time.Duration `msgpack:"s"`
		// Lacks: the seat has other entries than a restamping write is for.
		Lacks bool `msgpack:"l"`
	}
	// Renew prolongs the owner's hold on its part.
	Renew struct {
		Term  Term          `msgpack:"t"`
		Clock time.Duration `msgpack:"c"`
		Sent  time.Duration `msgpack:"s"`
		// Digest is set in a sweep, and is that of all entries up to Seq.
		Digest uint64    `msgpack:"d"`
		Key    DigestKey `msgpack:"k"`
		Seq    uint64    `msgpack:"q"`
	}
	// Renewed says so.
	Renewed struct {
		Term  Term          `msgpack:"t"`
		Whole uint64        `msgpack:"w"`
		Sent  time.Duration `msgpack:"s"`
		Stale bool          `msgpack:"x"`
	}
	// TermDurable is a replica's note to itself, sent when its disk holds what
	// was recorded up to there: it may prolong the lease of this term's leader.
	TermDurable struct {
		Term Term `msgpack:"t"`
	}
	// Handover names the receiver as the successor of an owner that leaves.
	Handover struct {
		Term Term `msgpack:"t"`
	}
)

// Send is a message for another seat, or for the machine's own. A synced one
// goes out only when all records up to it are on disk.
type Send struct {
	To     string
	Body   any
	Synced bool
}

// Return is the outcome of a command. An unsure one may have been done.
type Return struct {
	Ticket uint64
	Body   any
	Unsure bool
	// Moved says that this seat does not own the part; nothing was done.
	Moved bool
}

// Output is what a step wants done, in this order: records, sends, returns.
type Output struct {
	Records []Record
	Sends   []Send
	Returns []Return
}

// Counters are what the part counts.
type Counters struct {
	Stands, Seated, Writes, Entries, Mended, Swept, Dropped int64
}
