package partition

import "time"

// bytesPerLease is the amount of entries whose transfer to another member, with its sync there, may take
// the duration of a lease.
const bytesPerLease = 1 << 20

// transfersPerElection is how often a member's entries are transferred in an election: in its promise, and
// in the leader's first write.
const transfersPerElection = 2

// transferTime returns how long a transfer of entries may take. It is short for a small partition.
func (m *Machine) transferTime(entries []Entry) time.Duration {
	size := 0
	for _, e := range entries {
		size += len(e.Key) + len(e.Value)
	}
	return time.Duration(float64(m.params.LeaseDuration) * float64(size) / bytesPerLease)
}

// phaseDuration returns how long a phase of a candidacy may take: one in which all entries are transferred
// takes longer.
func (m *Machine) phaseDuration() time.Duration {
	return m.params.LeaseDuration + m.leading.transferAllowance()
}

// retryInterval returns when a message of a candidate is repeated, a part of a lease after it was sent, and
// later if it makes members transfer all entries.
func (m *Machine) retryInterval(divisor time.Duration) time.Duration {
	return m.params.LeaseDuration/divisor + m.leading.transferAllowance()
}

// transferAllowance is zero unless the phase transfers all entries.
func (lead *leadership) transferAllowance() time.Duration {
	if !lead.needEntries {
		return 0
	}
	return lead.transferTime
}

// promiseLease returns how long a follower counts a promise as a lease. While it transfers its entries to
// the candidate, and the candidate its first write to it, no other election may begin.
func (m *Machine) promiseLease(entries []Entry) time.Duration {
	return m.followerLease() + transfersPerElection*m.transferTime(entries)
}
