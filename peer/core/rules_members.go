package core

import (
	"strings"
	"time"

	"saffronfall/rule/partition"
	"saffronfall/rule/program"
)

func (r *rules) memberTerm() time.Duration {
	return time.Duration(float64(r.params.MemberTerm) * (1 + r.params.Part.Drift))
}

func (r *rules) join(now time.Duration, tx *partition.Tx, c JoinMember) any {
	key := memberPrefix + c.Member.ID
	floor, _ := read[uint64](tx, floorKey)
	m, ok := read[Member](tx, key)
	switch {
	case ok && m.HasEnded(c.Member.Incarnation):
		return Termed{Ended: true, Floor: floor}
	case ok && m.Incarnation != c.Member.Incarnation && !m.Ended && (m.Host == "" || m.Host != c.Member.Host || LifeOf(m.Incarnation) == LifeOf(c.Member.Incarnation)):
		if wait := r.members[key] + r.memberTerm() - now; wait > 0 {
			return Termed{Wait: wait, Floor: floor}
		}
	}
	if c.Member.Version < floor {
		return Termed{Floor: floor}
	}
	if !ok || m.Incarnation != c.Member.Incarnation {
		fresh := c.Member
		if ok {
			fresh.Past = append(m.Past, m.Incarnation)
			if n := len(fresh.Past); n > livesKept {
				fresh.Past = fresh.Past[n-livesKept:]
			}
		}
		write(tx, key, fresh)
	}
	r.members[key], r.versions[key] = now, c.Member.Version
	return Termed{Granted: true, Floor: floor}
}

// LifeOf is the process that an incarnation belongs to: its terms have one each.
func LifeOf(incarnation string) string {
	life, _, _ := strings.Cut(incarnation, "+")
	return life
}

func (r *rules) renew(now time.Duration, tx *partition.Tx, c RenewMember) any {
	key := memberPrefix + c.ID
	floor, _ := read[uint64](tx, floorKey)
	m, ok := read[Member](tx, key)
	if !ok || m.Incarnation != c.Incarnation || m.Ended {
		return Termed{Ended: true, Floor: floor}
	}
	if c.Version < floor {
		return Termed{Floor: floor}
	}
	r.members[key], r.versions[key] = now, max(c.Version, r.versions[key])
	return Termed{Granted: true, Floor: floor}
}

func (r *rules) setFloor(now time.Duration, tx *partition.Tx, c SetFloor) any {
	floor, _ := read[uint64](tx, floorKey)
	if floor < c.Version {
		write(tx, floorKey, c.Version)
	}
	var answer Floored
	for _, key := range tx.Keys(memberPrefix) {
		m, _ := read[Member](tx, key)
		if !m.Ended && r.versions[key] < c.Version {
			answer.Lagging = append(answer.Lagging, m.ID)
		}
	}
	answer.Done = len(answer.Lagging) == 0
	return answer
}

func (r *rules) sweep(now time.Duration, tx *partition.Tx) {
	for _, key := range tx.Keys(memberPrefix) {
		m, _ := read[Member](tx, key)
		if !m.Ended && now >= r.members[key]+r.memberTerm() {
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
		if clock >= p.LastActive+p.Retention && len(p.Running) == 0 {
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
		if o, _ := read[Once](tx, key); clock >= o.Until {
			tx.Delete(key)
		}
	}
}

const livesKept = 256
