// Package partition is one part of the control state: registers kept by a small
// group of cores, with one owner that holds the part under a numbered term.
package partition

import "time"

// Term numbers an ownership of a part. Its owner is a seat, so that no two
// owners ever share a number.
type Term struct {
	Round  uint64 `msgpack:"r" json:"Round"`
	Leader string `msgpack:"o" json:"Owner"`
}

// Less orders terms.
func (t Term) Less(o Term) bool {
	if t.Round != o.Round {
		return t.Round < o.Round
	}
	return t.Leader < o.Leader
}

// Stamp orders the values of a register.
type Version struct {
	Term Term   `msgpack:"t"`
	Seq  uint64 `msgpack:"s"`
}

// Less orders stamps.
func (s Version) Less(o Version) bool {
	if s.Term != o.Term {
		return s.Term.Less(o.Term)
	}
	return s.Seq < o.Seq
}

// Entry is a register's value, or the mark of its removal.
type Entry struct {
	Key     string  `msgpack:"k"`
	Value   []byte  `msgpack:"v"`
	Deleted bool    `msgpack:"g"`
	Version Version `msgpack:"s"`
}

// Group is who keeps a part. A seat is a core's id and the incarnation of its
// folder, so that a core which lost its disk has no seat. While a change is
// under way, the former seats must agree as well.
type Group struct {
	Term    Term     `msgpack:"t" json:"Term"`
	Epoch   uint64   `msgpack:"e" json:"Epoch"`
	Members []string `msgpack:"s" json:"Seats"`
	Former  []string `msgpack:"f" json:"Former"`
}

// Before reports whether another group was agreed, or tried, after this one.
func (g Group) Before(o Group) bool {
	if g.Term != o.Term {
		return g.Term.Less(o.Term)
	}
	return g.Epoch < o.Epoch
}

// Has reports whether a seat belongs to the group.
func (g Group) Has(member string) bool {
	return contains(g.Members, member) || contains(g.Former, member)
}

// All is every seat that takes part in agreements.
func (g Group) All() []string {
	all := append([]string(nil), g.Members...)
	for _, s := range g.Former {
		if !contains(all, s) {
			all = append(all, s)
		}
	}
	return all
}

func (g Group) hasQuorum(accepted func(member string) bool) bool {
	return majority(g.Members, accepted) && (len(g.Former) == 0 || majority(g.Former, accepted))
}

func majority(members []string, accepted func(string) bool) bool {
	n := 0
	for _, s := range members {
		if accepted(s) {
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

// Copy is what one seat keeps of a part on its disk. Base is the last term
// whose owner wrote this copy whole: what is older than that is left over.
type State struct {
	Base     Term             `msgpack:"b"`
	Promised Term             `msgpack:"p"`
	Group    Group            `msgpack:"g"`
	Clock    time.Duration    `msgpack:"c"`
	Entries  map[string]Entry `msgpack:"e"`
}

// Record is a change of a copy, to be synced to disk.
type Record struct {
	Partition int           `msgpack:"n"`
	Promised  Term          `msgpack:"p"`
	Group     *Group        `msgpack:"g"`
	Clock     time.Duration `msgpack:"c"`
	Entries   []Entry       `msgpack:"e"`
	Purged    []Entry       `msgpack:"d"`
	Snapshot  bool          `msgpack:"w"`
	// Upto is the sequence up to which a whole record is all there is of its term.
	UpTo uint64 `msgpack:"u"`
	// Restamp brings all entries under the promised term, with the sequence Upto.
	Rebase bool `msgpack:"x"`
}

// Apply brings a copy up to a record.
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
	for _, d := range r.Purged {
		if old, ok := s.Entries[d.Key]; ok && old.Deleted && old.Version == d.Version {
			delete(s.Entries, d.Key)
		}
	}
}

// Params bound a part's timing. All but the term are ratios to it.
type Params struct {
	LeaseDuration time.Duration
	// Drift is by what ratio a giver counts a term longer than its holder.
	Drift float64
	// Renewals is how many renewals are sent in a term.
	RenewalsPerLease int
	// Sweeps is after how many terms copies are compared.
	LeasesPerSweep int
	// Home is after how many terms a part goes back to the first seat of its
	// group; zero: never.
	LeasesBeforeHome int
}

// Messages between the seats of a part.
type (
	// Stand asks for the promise of a term. One that only asks binds nobody; it
	// keeps a seat that was cut off from unseating an owner that serves.
	Prepare struct {
		PreVote bool `msgpack:"a"`
		// Light asks for the copy's digest alone.
		DigestOnly bool `msgpack:"l"`
		// Key is what digests are made with under this term.
		DigestKey DigestKey     `msgpack:"k"`
		Term      Term          `msgpack:"t"`
		Group     Group         `msgpack:"g"`
		Released  Term          `msgpack:"r"`
		SentAt    time.Duration `msgpack:"s"`
	}
	// Promise gives it, with the whole copy of the seat or its digest.
	Promise struct {
		PreVote bool `msgpack:"a"`
		// Light: Sum stands for the entries, of which there are none.
		DigestOnly bool          `msgpack:"l"`
		Digest     uint64        `msgpack:"u"`
		Term       Term          `msgpack:"t"`
		Base       Term          `msgpack:"b"`
		Group      Group         `msgpack:"g"`
		Clock      time.Duration `msgpack:"c"`
		Entries    []Entry       `msgpack:"e"`
		SentAt     time.Duration `msgpack:"s"`
	}
	// Refuse says that another term stands in the way.
	Reject struct {
		Term           Term          `msgpack:"t"`
		Promised       Term          `msgpack:"p"`
		Group          Group         `msgpack:"g"`
		LeaseRemaining time.Duration `msgpack:"w"`
	}
	// Write carries entries under a term. Prior is the sequence that must have
	// been taken for the copy to be whole.
	Write struct {
		// Restamp: the entries are those that the seat has, if they have this sum;
		// they come under the write's term.
		Rebase   bool          `msgpack:"x"`
		Digest   uint64        `msgpack:"u"`
		Term     Term          `msgpack:"t"`
		Seq      uint64        `msgpack:"q"`
		PriorSeq uint64        `msgpack:"p"`
		Group    Group         `msgpack:"g"`
		Clock    time.Duration `msgpack:"c"`
		Entries  []Entry       `msgpack:"e"`
		Purged   []Entry       `msgpack:"d"`
		Snapshot bool          `msgpack:"w"`
		SentAt   time.Duration `msgpack:"s"`
	}
	// Taken acknowledges a synced write.
	WriteAck struct {
		Term        Term          `msgpack:"t"`
		Seq         uint64        `msgpack:"q"`
		CompleteSeq uint64        `msgpack:"w"`
		SentAt      time.Duration `msgpack:"s"`
		// Lacks: the seat has other entries than a restamping write is for.
		DigestMismatch bool `msgpack:"l"`
	}
	// Renew prolongs the owner's hold on its part.
	RenewLease struct {
		Term   Term          `msgpack:"t"`
		Clock  time.Duration `msgpack:"c"`
		SentAt time.Duration `msgpack:"s"`
		// Digest is set in a sweep, and is that of all entries up to Seq.
		Digest    uint64    `msgpack:"d"`
		DigestKey DigestKey `msgpack:"k"`
		Seq       uint64    `msgpack:"q"`
	}
	// Renewed says so.
	LeaseAck struct {
		Term        Term          `msgpack:"t"`
		CompleteSeq uint64        `msgpack:"w"`
		SentAt      time.Duration `msgpack:"s"`
		Diverged    bool          `msgpack:"x"`
	}
	// TermDurable is a replica's note to itself, sent when its disk holds what
	// was recorded up to there: it may prolong the lease of this term's leader.
	TermDurable struct {
		Term Term `msgpack:"t"`
	}
	// Handover names the receiver as the successor of an owner that leaves.
	TransferLeadership struct {
		Term Term `msgpack:"t"`
	}
)

// Send is a message for another seat, or for the machine's own. A synced one
// goes out only when all records up to it are on disk.
type Send struct {
	To        string
	Body      any
	AfterSync bool
}

// Return is the outcome of a command. An unsure one may have been done.
type Result struct {
	RequestID uint64
	Body      any
	Uncertain bool
	// Moved says that this seat does not own the part; nothing was done.
	NotLeader bool
}

// Output is what a step wants done, in this order: records, sends, returns.
type Output struct {
	Records []Record
	Sends   []Send
	Results []Result
}

// Counters are what the part counts.
type Counters struct {
	Elections, Elected, Writes, Entries, SnapshotsSent, Sweeps, TombstonesPurged int64
}
