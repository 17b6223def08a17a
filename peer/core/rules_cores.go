package core

import (
	"saffronfall/rule/partition"
)

func putCore(tx *partition.Tx, c PutCore) any {
	old, ok := read[Core](tx, corePrefix+c.Core.ID)
	_, outlived := tx.Get(supersededPrefix + c.Core.MemberID())
	switch {
	case outlived, ok && old.Retired && !c.Core.Retired:
		return PutCoreRejected{Core: old}
	case ok && old == c.Core:
		return Done{OK: true}
	case ok && old.Version >= c.Core.Version:
		return Done{}
	}
	if ok && old.Incarnation != c.Core.Incarnation {
		write(tx, supersededPrefix+old.MemberID(), true)
	}
	write(tx, corePrefix+c.Core.ID, c.Core)
	return Done{OK: true}
}

func (r *rules) retireCore(tx *partition.Tx, c RetireCore) any {
	cores, enough := r.fleet()
	for _, key := range tx.Keys(corePrefix) {
		if one, _ := read[Core](tx, key); cores[one.ID].Version <= one.Version {
			cores[one.ID] = one
		}
	}
	one, ok := cores[c.ID]
	staying := 0
	for _, other := range cores {
		if !other.Retired && other.ID != c.ID {
			staying++
		}
	}
	switch {
	case !ok:
		return RetireCoreResult{}
	case one.Retired:
	case staying < enough:
		return RetireCoreResult{Found: true}
	default:
		one.Retired = true
		one.Version++
		write(tx, corePrefix+c.ID, one)
	}
	return RetireCoreResult{Found: true, EnoughRemain: true, Done: true}
}
