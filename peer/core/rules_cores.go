package core

import (
	"saffronfall/rule/partition"
)

// putCore writes a newer entry. From then on it rejects the replaced incarnation, and any change
// that would undo a retirement.
func putCore(tx *partition.Tx, command PutCore) any {
	old, ok := read[Core](tx, corePrefix+command.Core.ID)
	_, superseded := tx.Get(supersededPrefix + command.Core.MemberID())
	switch {
	case superseded, ok && old.Retired && !command.Core.Retired:
		return PutCoreRejected{Core: old}
	case ok && old == command.Core:
		return Done{OK: true}
	case ok && old.Version >= command.Core.Version:
		return Done{}
	}
	if ok && old.Incarnation != command.Core.Incarnation {
		write(tx, supersededPrefix+old.MemberID(), true)
	}
	write(tx, corePrefix+command.Core.ID, command.Core)
	return Done{OK: true}
}
