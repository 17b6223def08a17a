package core

import (
	"bytes"
	"hash/maphash"
	"net/url"
	"slices"

	"saffronfall/rule/partition"
)

// Absence is why a kept turn is not found. It is for operators: whoever asks for the
// turn is told the same in each case.
type Absence string

const (
	// NeverKept: the partition has no trace of it.
	NotStored Absence = ""
	// Expired: it was kept, and its time is over.
	Expired Absence = "expired"
	// Foreign: a turn of another tenant has this id.
	OtherTenant Absence = "foreign"
)

// recentKeysMost is how many keys of entries that have ended a partition's leader
// remembers.
const recentKeysMax = 4096

// recentKeys remembers the last keys that were added, by their hashes.
type recentKeys struct {
	seed   maphash.Seed
	hashes map[uint64]bool
	ring   []uint64
	next   int
}

func newRecentKeys() *recentKeys {
	return &recentKeys{seed: maphash.MakeSeed(), hashes: map[uint64]bool{}}
}

func (k *recentKeys) add(key string) {
	hash := maphash.String(k.seed, key)
	if k.hashes[hash] {
		return
	}
	if len(k.ring) < recentKeysMax {
		k.ring = append(k.ring, hash)
	} else {
		delete(k.hashes, k.ring[k.next])
		k.ring[k.next] = hash
		k.next = (k.next + 1) % recentKeysMax
	}
	k.hashes[hash] = true
}

func (k *recentKeys) has(key string) bool { return k.hashes[maphash.String(k.seed, key)] }

// keptKeys are where a kept turn may be. Requesters choose the ids of their attempts,
// so an id means something only together with its tenant. The first tenant that uses
// an id has its turn under the id alone, where a core of the former version, which
// may lead the partition in the middle of an upgrade, looks for it; others have
// theirs under a mark that no header can hold, their name and the id.
func turnKeys(tenant, attempt string) [2]string {
	return [2]string{turnPrefix + attempt, turnPrefix + "\x00" + url.PathEscape(tenant) + "/" + attempt}
}

// findTurn finds a tenant's kept turn. If there is none, the key is where it goes.
func findTurn(tx *partition.Tx, tenant, attempt string) (key string, t storedTurn, ok bool) {
	free := ""
	for _, key := range turnKeys(tenant, attempt) {
		t, taken := read[storedTurn](tx, key)
		switch {
		case taken && t.Tenant == tenant:
			return key, t, true
		case !taken && free == "":
			free = key
		}
	}
	return free, storedTurn{}, false
}

// keepTurn keeps a turn. The same command is acknowledged again; another turn under
// an id that its tenant used before is not kept, and not said to be.
func (r *rules) storeTurn(tx *partition.Tx, c StoreTurn) any {
	key, t, ok := findTurn(tx, c.Tenant, c.Attempt)
	if ok {
		return Done{OK: slices.Equal(t.Previous, c.Previous) && bytes.Equal(t.Input, c.Input) && bytes.Equal(t.Output, c.Output)}
	}
	t = storedTurn{Tenant: c.Tenant, Previous: c.Previous, Input: c.Input, Output: c.Output, Until: tx.Clock() + c.Retention}
	write(tx, key, t)
	r.expiries.add(key, t.Until)
	return Done{OK: true}
}

// readTurn reads a kept turn.
func (r *rules) readTurn(tx *partition.Tx, c ReadTurn) ReadTurnResult {
	_, t, ok := findTurn(tx, c.Tenant, c.Attempt)
	if !ok {
		return ReadTurnResult{Absence: r.absenceReason(tx, c)}
	}
	return ReadTurnResult{Found: true, Previous: t.Previous, Input: t.Input, Output: t.Output, Left: t.Until - tx.Clock()}
}

// absenceOf tells why a turn is not kept, as far as this leader knows.
func (r *rules) absenceReason(tx *partition.Tx, c ReadTurn) Absence {
	keys := turnKeys(c.Tenant, c.Attempt)
	if _, taken := read[storedTurn](tx, keys[0]); taken {
		return OtherTenant
	}
	if r.expired.has(keys[0]) || r.expired.has(keys[1]) {
		return Expired
	}
	return NotStored
}
