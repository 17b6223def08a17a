package core

import (
	"bytes"
	"hash/maphash"
	"net/url"
	"slices"

	"saffronfall/rule/partition"
)

// Absence is why a stored turn is not found. It is for operators only: a requester gets the same
// answer in each case.
type Absence string

const (
	// NotStored means that the partition has no trace of the turn.
	NotStored Absence = ""
	// Expired means that the turn's retention has ended.
	Expired Absence = "expired"
	// OtherTenant means that a turn of another tenant has this ID.
	OtherTenant Absence = "foreign"
)

const recentKeysMax = 4096

// recentKeys has the hashes of the last recentKeysMax added keys.
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

// turnKeys returns the keys under which a turn may be stored. Requesters choose the IDs, so an ID
// is unique only within its tenant. The first tenant's turn is under the ID alone, because a core
// of the previous release may lead during an upgrade and looks there. The other keys have
// a zero byte after turnPrefix, which no ID from an HTTP header contains.
func turnKeys(tenant, attempt string) [2]string {
	return [2]string{turnPrefix + attempt, turnPrefix + "\x00" + url.PathEscape(tenant) + "/" + attempt}
}

// findTurn looks up a tenant's stored turn. If there is none, key is where to store it.
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

// storeTurn acknowledges a repeated command, but not a different turn under an ID that its tenant
// has used. It stores a turn without room too: its requester has been served already.
func (r *rules) storeTurn(tx *partition.Tx, command StoreTurn) any {
	key, turn, ok := findTurn(tx, command.Tenant, command.Attempt)
	if ok {
		return Done{OK: slices.Equal(turn.Previous, command.Previous) &&
			bytes.Equal(turn.Input, command.Input) && bytes.Equal(turn.Output, command.Output),
			Crowded: r.turnsCrowded(command.Tenant)}
	}
	r.turns.release(key)
	turn = storedTurn{
		Tenant:   command.Tenant,
		Previous: command.Previous,
		Input:    command.Input,
		Output:   command.Output,
		Until:    tx.Clock() + command.Retention,
	}
	write(tx, key, turn)
	r.expiries.add(key, turn.Until)
	r.turns.add(turn.Tenant, turn.size(key))
	return Done{OK: true, Crowded: r.turnsCrowded(command.Tenant)}
}

func (r *rules) readTurn(tx *partition.Tx, c ReadTurn) ReadTurnResult {
	_, t, ok := findTurn(tx, c.Tenant, c.Attempt)
	if !ok {
		return ReadTurnResult{Absence: r.absenceReason(tx, c)}
	}
	return ReadTurnResult{Found: true, Previous: t.Previous, Input: t.Input, Output: t.Output, Remaining: t.Until - tx.Clock()}
}

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
