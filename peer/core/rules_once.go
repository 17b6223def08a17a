package core

import (
	"saffronfall/rule/partition"
)

// claimOnce returns the stored claim, which is an earlier one if there is any.
func (r *rules) claimOnce(tx *partition.Tx, c ClaimOnce) any {
	key := oncePrefix + c.Tenant + "/" + c.Service + "/" + c.Key
	record, ok := read[OnceRecord](tx, key)
	if !ok {
		record = OnceRecord{Claim: c.Claim, Digest: c.Digest, State: OnceIntent, Until: tx.Clock() + c.Retention}
		write(tx, key, record)
	}
	return record
}

// endOnce ends a claim if it is the stored one and has no outcome yet.
func (r *rules) endOnce(tx *partition.Tx, command EndOnce) any {
	key := oncePrefix + command.Tenant + "/" + command.Service + "/" + command.Key
	record, ok := read[OnceRecord](tx, key)
	if !ok || record.Claim != command.Claim || record.State != OnceIntent {
		return record
	}
	if command.State == OnceReleased {
		tx.Delete(key)
		return OnceRecord{State: OnceReleased}
	}
	record.State, record.Status, record.Body = command.State, command.Status, command.Body
	write(tx, key, record)
	return record
}
