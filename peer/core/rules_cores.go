package core

import (
	"saffronfall/rule/partition"
)

// putCore writes a core's entry if its version is newer. From then on it rejects the replaced
// incarnation, and any change that would undo a retirement.
func putCore(tx *partition.Tx, c PutCore) any {
	old, ok := read[Core](tx, corePrefix+c.Core.ID)
	_, superseded := tx.Get(supersededPrefix + c.Core.MemberID())
	switch {
	case superseded, ok && old.Retired && !c.Core.Retired:
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
		if core, _ := read[Core](tx, key); cores[core.ID].Version <= core.Version {
			cores[core.ID] = core
		}
	}
	core, ok := cores[c.ID]
	remaining := 0
	for _, other := range cores {
		if !other.Retired && other.ID != c.ID {
			remaining++
		}
	}
	switch {
	case !ok:
		return RetireCoreResult{}
	case core.Retired:
	case remaining < enough:
		return RetireCoreResult{Found: true}
	default:
		core.Retired = true
		core.Version++
		write(tx, corePrefix+c.ID, core)
	}
	return RetireCoreResult{Found: true, EnoughRemain: true, Done: true}
}
