package core

import (
	"saffronfall/rule/partition"
)

// claimOnce stores a claim unless the key has one, and returns the stored claim.
func (r *rules) claimOnce(tx *partition.Tx, c ClaimOnce) any {
	key := oncePrefix + c.Tenant + "/" + c.Service + "/" + c.Key
	o, ok := read[OnceRecord](tx, key)
	if !ok {
		o = OnceRecord{Claim: c.Claim, Digest: c.Digest, State: OnceIntent, Until: tx.Clock() + c.Retention}
		write(tx, key, o)
	}
	return o
}

// endOnce ends a claim if it is the stored one and has no outcome yet.
func (r *rules) endOnce(tx *partition.Tx, c EndOnce) any {
	key := oncePrefix + c.Tenant + "/" + c.Service + "/" + c.Key
	o, ok := read[OnceRecord](tx, key)
	if !ok || o.Claim != c.Claim || o.State != OnceIntent {
		return o
	}
	if c.State == OnceReleased {
		tx.Delete(key)
		return OnceRecord{State: OnceReleased}
	}
	o.State, o.Status, o.Body = c.State, c.Status, c.Body
	write(tx, key, o)
	return o
}
