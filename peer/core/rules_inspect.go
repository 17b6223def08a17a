package core

import (
	"strings"

	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
)

// applyInspect runs a command that reads shared state, and returns false for another command.
func (r *rules) applyInspect(tx *partition.Tx, command any) (any, bool) {
	switch c := command.(type) {
	case ReadShares:
		return r.readShares(tx, c), true
	case CountKeys:
		return countKeys(tx, c), true
	case ReadKey:
		return readKey(tx, c), true
	}
	return nil, false
}

func (r *rules) readShares(tx *partition.Tx, c ReadShares) Shares {
	var shares Shares
	for _, key := range ordered.Keys(r.ledgers) {
		tenant := strings.TrimPrefix(key, ratePrefix)
		if c.Tenant == "" || c.Tenant == tenant {
			shares.Tenants = append(shares.Tenants, TenantShares{Tenant: tenant, Ledger: r.ledgers[key].Snapshot(tx.Clock())})
		}
	}
	return shares
}

func countKeys(tx *partition.Tx, c CountKeys) KeyCounts {
	// The groups are tenants and states, joined by a byte that neither contains.
	counts := map[string]*KeyCount{}
	for _, name := range tx.Keys(operationKeyPrefix) {
		tenant, _, ok := ParseOperationKey(name)
		stored, found := read[storedKey](tx, name)
		if !ok || !found || c.Tenant != "" && c.Tenant != tenant {
			continue
		}
		group := tenant + "\x00" + string(stored.State)
		if counts[group] == nil {
			counts[group] = &KeyCount{Tenant: tenant, State: stored.State}
		}
		count := counts[group]
		count.Keys++
		count.ResponseBytes += stored.Response.Size()
		count.Remaining = max(count.Remaining, stored.Until-tx.Clock())
	}
	var result KeyCounts
	for _, group := range ordered.Keys(counts) {
		result.Counts = append(result.Counts, *counts[group])
	}
	return result
}

func readKey(tx *partition.Tx, c ReadKey) KeyRecord {
	stored, ok := read[storedKey](tx, operationKey(c.Tenant, c.Key))
	if !ok {
		return KeyRecord{}
	}
	return KeyRecord{
		Found:         true,
		State:         stored.State,
		Claim:         stored.Claim,
		Service:       stored.Service,
		Status:        stored.Response.Status,
		ResponseBytes: stored.Response.Size(),
		Working:       max(stored.WorkingUntil-tx.Clock(), 0),
		Remaining:     max(stored.Until-tx.Clock(), 0),
	}
}
