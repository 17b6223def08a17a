package modelcheck

import (
	"maps"
	"time"

	"saffronfall/rule/partition"
)

// process is one replica: its machine, its disk, and what waits for the disk.
type process struct {
	member string
	// machine is nil while the process is down.
	machine *partition.Machine
	// skew is by how much its clock has run fast.
	skew time.Duration
	// disk is what is synced; pending was issued and is not.
	disk    partition.State
	pending []partition.Record
	// held are synced messages that wait for the records before them.
	awaitingSync []packet
	// slow: syncs of its disk are steps of their own, else they are done at once.
	slow bool
	// lost: it is gone for good, and its disk with it.
	lost bool
	// agreed is the group that the machine has last reported as agreed.
	agreed partition.Group

	// What follows from the rest, once it was asked for: digests under each
	// renaming and of the disk, and what a read would return without and with
	// a lease.
	digests      []digest
	storedDigest *digest
	readable     [2]*recovery
}

// clone copies a process, its machine included.
func (p *process) clone() *process {
	fresh := *p
	if p.machine != nil {
		fresh.machine = cloneMachine(p.machine)
	}
	fresh.pending = append([]partition.Record(nil), p.pending...)
	fresh.awaitingSync = append([]packet(nil), p.awaitingSync...)
	fresh.digests, fresh.readable = nil, [2]*recovery{}
	return &fresh
}

// store brings the disk up to some records.
func (p *process) writeDisk(records []partition.Record) {
	if len(records) == 0 {
		return
	}
	p.disk.Entries, p.storedDigest = maps.Clone(p.disk.Entries), nil
	for _, record := range records {
		p.disk.Apply(record)
	}
}

// start begins a new life of the process with what its disk holds.
func (p *process) start(now time.Duration) {
	p.machine = newMachine(p.member, p.disk, now+p.skew)
	p.agreed = partition.Group{}
}

// crash ends the process. Of the records that were not synced the first kept
// ones are on the disk all the same.
func (p *process) crash(kept int) {
	p.writeDisk(p.pending[:kept])
	p.machine, p.pending, p.awaitingSync = nil, nil, nil
}

// owns reports whether the process owns the part at a true time.
func (p *process) leads(now time.Duration) bool {
	if p.machine == nil {
		return false
	}
	_, ok := p.machine.LeadingTerm(now + p.skew)
	return ok
}

// digestUnder is the digest of the process under one of the renamings.
func (p *process) digestFor(renamings []map[string]string, n int) digest {
	if p.digests == nil {
		digests := make([]digest, len(renamings))
		for i, renaming := range renamings {
			digests[i] = digestOf(renaming, p.member, p.machine, p.skew, p.disk, p.pending, p.awaitingSync, p.lost)
		}
		p.digests = digests
	}
	return p.digests[n]
}

// Timing of the checked machines, in quanta of true time: a lease lasts two, a
// replica keeps its word for three, and renewals go out once in a quantum.
const (
	quantum        = 50 * time.Millisecond
	leaseDuration  = 2 * quantum
	drift          = 0.5
	renewals       = 2
	leasesPerSweep = 1 << 20
)

// newMachine makes the shipped machine, with a copy that is its own.
func newMachine(member string, disk partition.State, now time.Duration) *partition.Machine {
	disk.Entries = maps.Clone(disk.Entries)
	return partition.New(partition.Options{
		Params: partition.Params{LeaseDuration: leaseDuration, Drift: drift, RenewalsPerLease: renewals, LeasesPerSweep: leasesPerSweep},
		Member: member,
		Rules:  registerRules{},
		State:  disk,
		Now:    now,
		Random: func() float64 { return 0 },
	})
}
