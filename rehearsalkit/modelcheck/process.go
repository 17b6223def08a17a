package modelcheck

import (
	"maps"
	"time"

	"saffronfall/rule/partition"
)

// process is one replica: its machine, its disk, and the work that waits for the disk.
type process struct {
	member string
	// machine is nil while the process is down.
	machine *partition.Machine
	// skew is how far its clock is ahead of true time.
	skew time.Duration
	// disk is the synced state; pending holds records that are not synced yet.
	disk    partition.State
	pending []partition.Record
	// awaitingSync holds messages to send once the records before them are synced.
	awaitingSync []packet
	// slow makes each sync an action of its own; otherwise syncs are immediate.
	slow bool
	// lost means that the process and its disk are gone permanently.
	lost bool
	// committed is the last group that the machine reported as committed.
	committed partition.Group

	// Caches: the digest under each renaming, the disk's digest, and a read without and with a
	// lease.
	digests      []digest
	storedDigest *digest
	readable     [2]*recovery
}

// clone omits the caches that a step invalidates.
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

// writeDisk uses a new map because states share disks.
func (p *process) writeDisk(records []partition.Record) {
	if len(records) == 0 {
		return
	}
	p.disk.Entries, p.storedDigest = maps.Clone(p.disk.Entries), nil
	for _, record := range records {
		p.disk.Apply(record)
	}
}

// start begins an incarnation from the disk.
func (p *process) start(now time.Duration) {
	p.machine = newMachine(p.member, p.disk, now+p.skew)
	p.committed = partition.Group{}
}

// crash ends the process. The first kept unsynced records survive.
func (p *process) crash(kept int) {
	p.writeDisk(p.pending[:kept])
	p.machine, p.pending, p.awaitingSync = nil, nil, nil
}

func (p *process) leads(now time.Duration) bool {
	if p.machine == nil {
		return false
	}
	_, ok := p.machine.LeadingTerm(now + p.skew)
	return ok
}

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

// Timing in true time. A follower honours a lease for three quanta. Sweeps are practically
// disabled.
const (
	quantum          = 50 * time.Millisecond
	leaseDuration    = 2 * quantum
	drift            = 0.5
	renewalsPerLease = 2
	leasesPerSweep   = 1 << 20
)

// newMachine gives a machine its own copy of the disk's entries.
func newMachine(member string, disk partition.State, now time.Duration) *partition.Machine {
	disk.Entries = maps.Clone(disk.Entries)
	return partition.New(partition.Options{
		Params: partition.Params{
			LeaseDuration:    leaseDuration,
			Drift:            drift,
			RenewalsPerLease: renewalsPerLease,
			LeasesPerSweep:   leasesPerSweep,
		},
		Member: member,
		Rules:  registerRules{},
		State:  disk,
		Now:    now,
		Random: func() float64 { return 0 },
	})
}
