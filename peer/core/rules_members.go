package core

import (
	"strings"
	"time"

	"saffronfall/rule/partition"
	"saffronfall/rule/program"
)

func (r *rules) memberLease() time.Duration {
	return time.Duration(float64(r.params.MemberLease) * (1 + r.params.Partition.Drift))
}

func (r *rules) join(now time.Duration, tx *partition.Tx, c JoinMember) any {
	key := memberPrefix + c.Member.ID
	floor, _ := read[uint64](tx, versionFloorKey)
	m, ok := read[Member](tx, key)
	switch {
	case ok && m.HasEnded(c.Member.Incarnation):
		return MembershipResult{Ended: true, Floor: floor}
	case ok && m.Incarnation != c.Member.Incarnation && !m.Ended && (m.Host == "" || m.Host != c.Member.Host || ProcessIncarnation(m.Incarnation) == ProcessIncarnation(c.Member.Incarnation)):
		if wait := r.renewedAt[key] + r.memberLease() - now; wait > 0 {
			return MembershipResult{Wait: wait, Floor: floor}
		}
	}
	if c.Member.Version < floor {
		return MembershipResult{Floor: floor}
	}
	if !ok || m.Incarnation != c.Member.Incarnation {
		fresh := c.Member
		if ok {
			fresh.PastIncarnations = append(m.PastIncarnations, m.Incarnation)
			if n := len(fresh.PastIncarnations); n > maxPastIncarnations {
				fresh.PastIncarnations = fresh.PastIncarnations[n-maxPastIncarnations:]
			}
		}
		write(tx, key, fresh)
	}
	r.renewedAt[key], r.memberVersions[key] = now, c.Member.Version
	return MembershipResult{Granted: true, Floor: floor}
}

// LifeOf is the process that an incarnation belongs to: its terms have one each.
func ProcessIncarnation(incarnation string) string {
	life, _, _ := strings.Cut(incarnation, "+")
	return life
}

func (r *rules) renew(now time.Duration, tx *partition.Tx, c RenewMember) any {
	key := memberPrefix + c.ID
	floor, _ := read[uint64](tx, versionFloorKey)
	m, ok := read[Member](tx, key)
	if !ok || m.Incarnation != c.Incarnation || m.Ended {
		return MembershipResult{Ended: true, Floor: floor}
	}
	if c.Version < floor {
		return MembershipResult{Floor: floor}
	}
	r.renewedAt[key], r.memberVersions[key] = now, max(c.Version, r.memberVersions[key])
	return MembershipResult{Granted: true, Floor: floor}
}

func (r *rules) setFloor(now time.Duration, tx *partition.Tx, c SetVersionFloor) any {
	floor, _ := read[uint64](tx, versionFloorKey)
	if floor < c.Version {
		write(tx, versionFloorKey, c.Version)
	}
	var answer VersionFloorResult
	for _, key := range tx.Keys(memberPrefix) {
		m, _ := read[Member](tx, key)
		if !m.Ended && r.memberVersions[key] < c.Version {
			answer.Lagging = append(answer.Lagging, m.ID)
		}
	}
	answer.Done = len(answer.Lagging) == 0
	return answer
}

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
		if countSlashes(key) != 2 {
			continue
		}
		p, _ := read[program.Record](tx, key)
		if clock >= p.Touched+p.Keep && len(p.Running) == 0 {
			for _, turn := range tx.Keys(key + "/") {
				tx.Delete(turn)
			}
			tx.Delete(key)
			write(tx, "past/"+key, clock)
		}
	}
	for _, key := range tx.Keys("past/") {
		if at, _ := read[time.Duration](tx, key); clock >= at+24*time.Hour {
			tx.Delete(key)
		}
	}
	for _, key := range tx.Keys(oncePrefix) {
		if o, _ := read[OnceRecord](tx, key); clock >= o.Until {
			tx.Delete(key)
		}
	}
}

const maxPastIncarnations = 256
