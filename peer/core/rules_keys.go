package core

import (
	"slices"
	"time"

	"saffronfall/rule/partition"
)

const (
	defaultMaxKeyBytes = 32 << 20
	// keyOverheadBytes approximates the memory of a stored key besides its name and response.
	keyOverheadBytes = 300
	// responseFraction is the part of the memory for keys that may be used when a response is
	// stored. The rest is for claims.
	responseFraction = 0.75
	// tenantFraction is the part of the memory for keys that one tenant may use.
	tenantFraction = 0.25
)

func (p Params) maxKeyBytes() int {
	if p.MaxKeyBytes > 0 {
		return p.MaxKeyBytes
	}
	return defaultMaxKeyBytes
}

// keyUsage is the leader's volatile state about the stored keys of a partition.
type keyUsage struct {
	bytes    int
	byTenant map[string]int
	// released has the claims that were released. A delayed claim of these must not be stored,
	// since its holder has given it up.
	released *recentKeys
}

func loadKeyUsage(tx *partition.Tx) keyUsage {
	usage := keyUsage{byTenant: map[string]int{}, released: newRecentKeys()}
	for _, name := range tx.Keys(operationKeyPrefix) {
		if stored, ok := read[storedKey](tx, name); ok {
			tenant, _, _ := ParseOperationKey(name)
			usage.add(tenant, stored.size(name))
		}
	}
	return usage
}

func (u *keyUsage) add(tenant string, bytes int) {
	u.bytes += bytes
	u.byTenant[tenant] += bytes
	if u.byTenant[tenant] == 0 {
		delete(u.byTenant, tenant)
	}
}

// hasRoom reports whether a tenant may use more bytes while at most a fraction of the memory for
// keys is used.
func (r *rules) hasRoom(tenant string, bytes int, fraction float64) bool {
	limit := fraction * float64(r.params.maxKeyBytes())
	return float64(r.keys.bytes+bytes) <= limit && float64(r.keys.byTenant[tenant]+bytes) <= tenantFraction*limit
}

func (s storedKey) size(name string) int { return keyOverheadBytes + len(name) + s.Response.Size() }

// claimKey stores a claim unless the key is stored already. The entry outlasts the window of the
// last possible sending: the holder may send until Working after its command, which is no later
// than Working after now.
func (r *rules) claimKey(tx *partition.Tx, c ClaimKey) KeyResult {
	name := operationKey(c.Tenant, c.Key)
	if stored, ok := read[storedKey](tx, name); ok {
		if c.Claim != stored.Claim && stored.mayShare(c) {
			stored.Shared = true
			stored.Until = max(stored.Until, tx.Clock()+r.withDrift(c.Working+c.Window))
			write(tx, name, stored)
		}
		return stored.result(tx)
	}
	if r.keys.released.has(c.Claim) {
		return KeyResult{State: KeyReleased, Claim: c.Claim}
	}
	working, window := r.withDrift(c.Working), r.withDrift(c.Window)
	stored := storedKey{
		Claim:        c.Claim,
		Service:      c.Service,
		Deduplicated: slices.Contains(c.Deduplicating, c.Service),
		State:        KeyClaimed,
		WorkingUntil: tx.Clock() + working,
		Until:        tx.Clock() + working + window,
	}
	if !r.hasRoom(c.Tenant, stored.size(name), 1) {
		return KeyResult{State: KeyRejected}
	}
	write(tx, name, stored)
	r.keys.add(c.Tenant, stored.size(name))
	r.expiries.add(name, stored.Until)
	return stored.result(tx)
}

// endKey changes only the claim that it names. A stored response is never replaced.
func (r *rules) endKey(tx *partition.Tx, c EndKey) KeyResult {
	name := operationKey(c.Tenant, c.Key)
	if c.State == KeyReleased {
		r.keys.released.add(c.Claim)
	}
	stored, ok := read[storedKey](tx, name)
	if !ok {
		return KeyResult{State: KeyReleased, Claim: c.Claim}
	}
	if stored.Claim != c.Claim || stored.State == KeyDone || stored.State == KeyNotStored {
		return stored.result(tx)
	}
	if c.State == KeyReleased && stored.Shared {
		c.State = KeyUncertain
	}
	switch c.State {
	case KeyReleased:
		if stored.State != KeyClaimed {
			return stored.result(tx)
		}
		tx.Delete(name)
		r.keys.add(c.Tenant, -stored.size(name))
		return KeyResult{State: KeyReleased, Claim: c.Claim}
	case KeyDone:
		stored.State = KeyNotStored
		if r.hasRoom(c.Tenant, c.Response.Size(), responseFraction) {
			stored.State, stored.Response = KeyDone, c.Response
			r.keys.add(c.Tenant, c.Response.Size())
		}
	case KeyNotStored, KeyUncertain:
		stored.State = c.State
	default:
		return stored.result(tx)
	}
	write(tx, name, stored)
	return stored.result(tx)
}

// withDrift returns the time that passes on the fastest clock while d passes on a correct one.
func (r *rules) withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + r.params.Partition.Drift))
}

// mayShare reports whether the attempt of a claim may send the operation under the stored claim: its
// service has recorded the key if it ran.
func (s storedKey) mayShare(c ClaimKey) bool {
	return s.Deduplicated && s.State != KeyDone && slices.Contains(c.Deduplicating, s.Service)
}

func (s storedKey) result(tx *partition.Tx) KeyResult {
	return KeyResult{
		State:    s.State,
		Claim:    s.Claim,
		Service:  s.Service,
		Response: s.Response,
		Shared:   s.Shared,
		Working:  max(s.WorkingUntil-tx.Clock(), 0),
	}
}
