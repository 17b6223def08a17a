package partition

import "time"

// Messages between the members of a group. SentAt is a time of the candidate's or leader's clock.
// An answer returns it, so that a lease counts from the sending of its renewal.
type (
	// Prepare asks for the promise of a term. A pre-vote is not binding; it prevents a member
	// that was partitioned from deposing a serving leader.
	Prepare struct {
		PreVote bool `msgpack:"a"`
		// DigestOnly asks for a digest instead of the entries.
		DigestOnly bool      `msgpack:"l"`
		DigestKey  DigestKey `msgpack:"k"`
		Term       Term      `msgpack:"t"`
		Group      Group     `msgpack:"g"`
		// Released is a term whose leader no longer serves, so that its lease is ignored. That
		// leader transferred its leadership to the candidate or is the candidate itself.
		Released Term          `msgpack:"r"`
		SentAt   time.Duration `msgpack:"s"`
	}
	// Promise answers Prepare with the state of the member or its digest.
	Promise struct {
		PreVote bool `msgpack:"a"`
		// DigestOnly means that Digest is set and Entries is empty.
		DigestOnly bool          `msgpack:"l"`
		Digest     uint64        `msgpack:"u"`
		Term       Term          `msgpack:"t"`
		Base       Term          `msgpack:"b"`
		Group      Group         `msgpack:"g"`
		Clock      time.Duration `msgpack:"c"`
		Entries    []Entry       `msgpack:"e"`
		SentAt     time.Duration `msgpack:"s"`
	}
	// Reject rejects a message because of a higher promise, a newer group or the lease of
	// another leader. It also informs removed members of the new group.
	Reject struct {
		Term           Term          `msgpack:"t"`
		Promised       Term          `msgpack:"p"`
		Group          Group         `msgpack:"g"`
		LeaseRemaining time.Duration `msgpack:"w"`
	}
	// Write replicates entries, or a snapshot of all entries, and renews the lease.
	Write struct {
		// Rebase means that the member's own entries, if they have this Digest, get a
		// version of the write's term.
		Rebase bool   `msgpack:"x"`
		Digest uint64 `msgpack:"u"`
		Term   Term   `msgpack:"t"`
		Seq    uint64 `msgpack:"q"`
		// PriorSeq is the preceding write. A member complete up to it is complete with this one.
		PriorSeq uint64        `msgpack:"p"`
		Group    Group         `msgpack:"g"`
		Clock    time.Duration `msgpack:"c"`
		Entries  []Entry       `msgpack:"e"`
		Purged   []Entry       `msgpack:"d"` // tombstones to remove
		Snapshot bool          `msgpack:"w"`
		SentAt   time.Duration `msgpack:"s"`
	}
	// WriteAck acknowledges a write that is on disk.
	WriteAck struct {
		Term Term   `msgpack:"t"`
		Seq  uint64 `msgpack:"q"`
		// CompleteSeq is up to where the member has all writes of the term.
		CompleteSeq uint64        `msgpack:"w"`
		SentAt      time.Duration `msgpack:"s"`
		// DigestMismatch means that a rebase wasn't applied, as the member has other entries.
		DigestMismatch bool `msgpack:"l"`
	}
	// RenewLease renews the leader's lease.
	RenewLease struct {
		Term   Term          `msgpack:"t"`
		Clock  time.Duration `msgpack:"c"`
		SentAt time.Duration `msgpack:"s"`
		// Digest is that of all entries up to Seq in a sweep, made odd, otherwise zero.
		Digest    uint64    `msgpack:"d"`
		DigestKey DigestKey `msgpack:"k"`
		Seq       uint64    `msgpack:"q"`
	}
	// LeaseAck acknowledges RenewLease.
	LeaseAck struct {
		Term        Term          `msgpack:"t"`
		CompleteSeq uint64        `msgpack:"w"`
		SentAt      time.Duration `msgpack:"s"`
		// Diverged means that the member's entries don't match the digest of a sweep.
		Diverged bool `msgpack:"x"`
	}
	// TermDurable is a message of a replica to itself, delivered once its promise of the term is
	// on disk. From then on it may renew the lease of that term's leader at once.
	TermDurable struct {
		Term Term `msgpack:"t"`
	}
	// TransferLeadership makes the receiver start an election at once, as the sender has
	// released its lease.
	TransferLeadership struct {
		Term Term `msgpack:"t"`
	}
)
