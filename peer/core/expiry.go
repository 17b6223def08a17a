package core

import (
	"strings"
	"time"

	"saffronfall/rule/partition"
	"saffronfall/rule/rate"
)

// expiry is the planned deletion of an entry. The entry's own time is read again then, because it
// may have been extended.
type expiry struct {
	key   string
	until time.Duration
}

// expiryQueue has buckets of expiryBucket, so that a sweep reads only what is due.
type expiryQueue map[time.Duration][]expiry

const expiryBucket = 15 * time.Second

func (e expiryQueue) add(key string, until time.Duration) {
	at := until/expiryBucket + 1
	e[at] = append(e[at], expiry{key: key, until: until})
}

func (e expiryQueue) due(clock time.Duration) []expiry {
	var list []expiry
	for at := range e {
		if clock >= at*expiryBucket {
			list = append(list, e[at]...)
			delete(e, at)
		}
	}
	return list
}

func (r *rules) loadExpiries(tx *partition.Tx) {
	r.expiries, r.ledgers, r.expired = expiryQueue{}, map[string]*rate.Ledger{}, newRecentKeys()
	r.keys, r.turns = loadKeyUsage(tx), loadTurnUsage(tx)
	for _, key := range tx.Keys(operationKeyPrefix) {
		if k, ok := read[storedKey](tx, key); ok {
			r.expiries.add(key, k.Until)
		}
	}
	for _, key := range tx.Keys(turnPrefix) {
		if t, ok := read[storedTurn](tx, key); ok {
			r.expiries.add(key, t.Until)
		}
	}
	for _, key := range tx.Keys(accountPrefix) {
		if b, ok := read[storedAccount](tx, key); ok {
			r.expiries.add(key, b.Until)
		}
	}
	for _, key := range tx.Keys(acceptedPrefix) {
		if o, ok := read[acceptedOrder](tx, key); ok {
			r.expiries.add(key, o.Until)
		}
	}
}

func (r *rules) sweepExpired(tx *partition.Tx) {
	clock := tx.Clock()
	for _, planned := range r.expiries.due(clock) {
		var until time.Duration
		if b, ok := readWithPrefix[storedAccount](tx, planned.key, accountPrefix); ok {
			until = b.Until
		} else if t, ok := readWithPrefix[storedTurn](tx, planned.key, turnPrefix); ok {
			until = t.Until
			if clock >= until {
				r.turns.add(t.Tenant, -t.size(planned.key))
			}
		} else if o, ok := readWithPrefix[acceptedOrder](tx, planned.key, acceptedPrefix); ok {
			until = o.Until
		} else if k, ok := readWithPrefix[storedKey](tx, planned.key, operationKeyPrefix); ok {
			until = k.Until
			if clock >= until {
				tenant, _, _ := ParseOperationKey(planned.key)
				r.keys.add(tenant, -k.size(planned.key))
			}
		} else {
			continue
		}
		if clock < until {
			r.expiries.add(planned.key, until)
			continue
		}
		tx.Delete(planned.key)
		if strings.HasPrefix(planned.key, turnPrefix) {
			r.expired.add(planned.key)
		}
	}
}

func readWithPrefix[T any](tx *partition.Tx, key, prefix string) (T, bool) {
	var none T
	if !strings.HasPrefix(key, prefix) {
		return none, false
	}
	return read[T](tx, key)
}
