package core

import (
	"time"

	"saffronfall/rule/partition"
)

const (
	defaultMaxTurnBytes = 64 << 20
	// turnOverheadBytes approximates the memory of a stored turn besides its name and contents.
	turnOverheadBytes = 300
	// tenantTurnFraction is the part of the memory for turns that one tenant may use.
	tenantTurnFraction = 0.5
	// crowdedFraction is the part of a tenant's room from which its turns must claim theirs first.
	crowdedFraction = 0.5
)

func (p Params) maxTurnBytes() int {
	if p.MaxTurnBytes > 0 {
		return p.MaxTurnBytes
	}
	return defaultMaxTurnBytes
}

// turnClaim is room for a turn that is under way and not stored yet.
type turnClaim struct {
	tenant string
	bytes  int
	until  time.Duration
}

// turnUsage is the leader's volatile state about the memory of a partition's turns, stored or claimed.
// Every member of the group holds as much.
type turnUsage struct {
	bytes    int
	byTenant map[string]int
	claims   map[string]turnClaim // by the turn's key
}

func loadTurnUsage(tx *partition.Tx) turnUsage {
	usage := turnUsage{byTenant: map[string]int{}, claims: map[string]turnClaim{}}
	for _, key := range tx.Keys(turnPrefix) {
		if t, ok := read[storedTurn](tx, key); ok {
			usage.add(t.Tenant, t.size(key))
		}
	}
	return usage
}

func (t storedTurn) size(key string) int {
	size := turnOverheadBytes + len(key) + len(t.Input) + len(t.Output)
	for _, previous := range t.Previous {
		size += len(previous)
	}
	return size
}

func (u *turnUsage) add(tenant string, bytes int) {
	u.bytes += bytes
	u.byTenant[tenant] += bytes
	if u.byTenant[tenant] == 0 {
		delete(u.byTenant, tenant)
	}
}

// release ends a turn's claim, if there is one.
func (u *turnUsage) release(key string) {
	if claim, ok := u.claims[key]; ok {
		delete(u.claims, key)
		u.add(claim.tenant, -claim.bytes)
	}
}

func (u *turnUsage) releaseExpired(clock time.Duration) {
	for key, claim := range u.claims {
		if clock >= claim.until {
			u.release(key)
		}
	}
}

// hasTurnRoom reports whether a tenant has room for a turn of any size: the room is exceeded by one turn
// at most, so that the largest that a request may bring is stored in a partition with little in it.
func (r *rules) hasTurnRoom(tenant string) bool {
	limit := r.params.maxTurnBytes()
	return r.turns.bytes < limit && float64(r.turns.byTenant[tenant]) < tenantTurnFraction*float64(limit)
}

// turnsCrowded reports whether a tenant's turns must claim their room.
func (r *rules) turnsCrowded(tenant string) bool {
	limit := crowdedFraction * float64(r.params.maxTurnBytes())
	return float64(r.turns.bytes) >= limit || float64(r.turns.byTenant[tenant]) >= tenantTurnFraction*limit
}

// claimTurnRoom claims room before a turn runs. A turn that is stored already needs none.
func (r *rules) claimTurnRoom(tx *partition.Tx, command ClaimTurnRoom) TurnRoom {
	r.turns.releaseExpired(tx.Clock())
	key, _, stored := findTurn(tx, command.Tenant, command.Attempt)
	_, claimed := r.turns.claims[key]
	crowded := r.turnsCrowded(command.Tenant)
	switch {
	case stored || claimed:
		return TurnRoom{OK: true, Crowded: crowded}
	case !r.hasTurnRoom(command.Tenant):
		return TurnRoom{Crowded: true}
	}
	bytes := turnOverheadBytes + len(key) + int(min(command.Bytes, int64(r.params.maxTurnBytes())))
	r.turns.claims[key] = turnClaim{tenant: command.Tenant, bytes: bytes, until: tx.Clock() + command.Working}
	r.turns.add(command.Tenant, bytes)
	return TurnRoom{OK: true, Crowded: crowded}
}

// LargestTurnUsage returns the bytes of turns, stored or claimed, of the partition with the most among
// those that this core leads.
func (m *Machine) LargestTurnUsage(now time.Duration) int {
	largest := 0
	for _, n := range m.LeadingPartitions(now) {
		if rules, ok := m.partitions[n].Rules().(*rules); ok {
			largest = max(largest, rules.turns.bytes)
		}
	}
	return largest
}
