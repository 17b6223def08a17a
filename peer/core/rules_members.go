package core

import (
	"strings"
	"time"

	"saffronfall/rule/partition"
	"saffronfall/rule/program"
)

const maxPastIncarnations = 256

const tombstoneRetention = 24 * time.Hour

// memberLease is longer than the member's own lease by the maximum clock drift, so that the member
// stops first.
func (r *rules) memberLease() time.Duration {
	return time.Duration(float64(r.params.MemberLease) * (1 + r.params.Partition.Drift))
}

// join makes an incarnation wait while another may hold a lease, unless the host proves that the
// earlier process has ended.
func (r *rules) join(now time.Duration, tx *partition.Tx, command JoinMember) any {
	key := memberPrefix + command.Member.ID
	floor, _ := read[uint64](tx, versionFloorKey)
	member, ok := read[Member](tx, key)
	switch {
	case ok && member.HasEnded(command.Member.Incarnation):
		return MembershipResult{Ended: true, Floor: floor}
	case ok && member.Incarnation != command.Member.Incarnation && !member.Ended &&
		(member.Host == "" || member.Host != command.Member.Host ||
			ProcessIncarnation(member.Incarnation) == ProcessIncarnation(command.Member.Incarnation)):
		if wait := r.renewedAt[key] + r.memberLease() - now; wait > 0 {
			return MembershipResult{Wait: wait, Floor: floor}
		}
	}
	if command.Member.Version < floor {
		return MembershipResult{Floor: floor}
	}
	if !ok || member.Incarnation != command.Member.Incarnation {
		joined := command.Member
		if ok {
			joined.PastIncarnations = append(member.PastIncarnations, member.Incarnation)
			if n := len(joined.PastIncarnations); n > maxPastIncarnations {
				joined.PastIncarnations = joined.PastIncarnations[n-maxPastIncarnations:]
			}
		}
		write(tx, key, joined)
	}
	r.renewedAt[key], r.memberVersions[key] = now, command.Member.Version
	return MembershipResult{Granted: true, Floor: floor}
}

// ProcessIncarnation returns the part of an incarnation that identifies the process. A process gets
// a new incarnation each time its membership ends.
func ProcessIncarnation(incarnation string) string {
	process, _, _ := strings.Cut(incarnation, "+")
	return process
}

// renew refuses leases that ended and members that follow a configuration below the floor.
func (r *rules) renew(now time.Duration, tx *partition.Tx, command RenewMember) any {
	key := memberPrefix + command.ID
	floor, _ := read[uint64](tx, versionFloorKey)
	m, ok := read[Member](tx, key)
	if !ok || m.Incarnation != command.Incarnation || m.Ended {
		return MembershipResult{Ended: true, Floor: floor}
	}
	if command.Version < floor {
		return MembershipResult{Floor: floor}
	}
	r.renewedAt[key], r.memberVersions[key] = now, max(command.Version, r.memberVersions[key])
	return MembershipResult{Granted: true, Floor: floor}
}

func (r *rules) setVersionFloor(now time.Duration, tx *partition.Tx, command SetVersionFloor) any {
	floor, _ := read[uint64](tx, versionFloorKey)
	if floor < command.Version {
		write(tx, versionFloorKey, command.Version)
	}
	var answer VersionFloorResult
	for _, key := range tx.Keys(memberPrefix) {
		m, _ := read[Member](tx, key)
		if !m.Ended && r.memberVersions[key] < command.Version {
			answer.Lagging = append(answer.Lagging, m.ID)
		}
	}
	answer.Done = len(answer.Lagging) == 0
	return answer
}

// sweep ends expired memberships and deletes expired programs, tombstones and once-keys.
func (r *rules) sweep(now time.Duration, tx *partition.Tx) {
	for _, key := range tx.Keys(memberPrefix) {
		m, _ := read[Member](tx, key)
		if !m.Ended && now >= r.renewedAt[key]+r.memberLease() {
			m.Ended = true
			write(tx, key, m)
		}
	}
	clock := tx.Clock()
	for _, key := range tx.Keys(programPrefix) {
		if strings.Count(key, "/") != 2 {
			continue // the key of a turn
		}
		p, _ := read[program.Record](tx, key)
		if clock >= p.LastActive+p.Retention && len(p.Running) == 0 {
			for _, turn := range tx.Keys(key + "/") {
				tx.Delete(turn)
			}
			tx.Delete(key)
			write(tx, tombstonePrefix+key, clock)
		}
	}
	for _, key := range tx.Keys(tombstonePrefix) {
		if at, _ := read[time.Duration](tx, key); clock >= at+tombstoneRetention {
			tx.Delete(key)
		}
	}
	for _, key := range tx.Keys(oncePrefix) {
		if o, _ := read[OnceRecord](tx, key); clock >= o.Until {
			tx.Delete(key)
		}
	}
}
