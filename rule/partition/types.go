package partition

import "time"

// Params are the timing parameters of a partition.
type Params struct {
	// LeaseDuration is how long a leader may serve after it sent a message that a majority
	// acknowledged.
	LeaseDuration time.Duration
	// Drift is the bound on clock drift: followers wait longer by this fraction.
	Drift float64
	// RenewalsPerLease is the number of renewals that a leader sends in a lease.
	RenewalsPerLease int
	// LeasesPerSweep is the interval, in leases, at which the leader compares the digests of all
	// replicas.
	LeasesPerSweep int
	// LeasesBeforeTransfer is how many leases a leader serves before it transfers its leadership
	// to the preferred leader. Zero means that it never does.
	LeasesBeforeTransfer int
}

// Send is a message to a member of the group, which may be the machine's own.
type Send struct {
	To   string
	Body any
	// AfterSync holds the message back until all records up to it are on disk.
	AfterSync bool
}

// Result is the outcome of a command or membership change.
type Result struct {
	RequestID uint64
	Body      any
	// Uncertain means that the command may or may not take effect.
	Uncertain bool
	// NotLeader means that this member isn't the leader and nothing was done.
	NotLeader bool
}

// Output is what the caller of a Machine must do: sync Records to disk, send Sends, and return
// Results to their requesters.
type Output struct {
	Records []Record
	Sends   []Send
	Results []Result
}

// Counters count events of a replica. Elections are those that it started, Elected those that it
// won. Entries are those in its Writes as the leader.
type Counters struct {
	Elections, Elected, Writes, Entries, SnapshotsSent, Sweeps, TombstonesPurged int64
}
