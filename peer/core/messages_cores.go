package core

// Commands that change the fleet's cores and the groups of partitions.
type (
	// PutCore writes a core's entry.
	PutCore struct {
		Core Core `msgpack:"Core"`
	}
	// ChangeGroup adds and removes a member of a partition's group; either may be
	// empty. It is repeated until its result is OK.
	ChangeGroup struct {
		Partition int    `msgpack:"Part"`
		Add       string `msgpack:"Add"`
		Remove    string `msgpack:"Remove"`
	}
)

// Messages and commands by which cores join, found and leave a fleet without an
// operator.
type (
	// AnnounceCore introduces a core to another one, which answers with a Topology if
	// it belongs to a fleet.
	AnnounceCore struct {
		Core Core `msgpack:"Core"`
		// MayFound is set if the core may found a fleet.
		MayFound bool `msgpack:"Cold"`
		// Fleet is empty as long as the core belongs to none.
		Fleet string `msgpack:"Fleet"`
		// KnownDigest is the digest of the topology that the core knows, so that it is
		// not sent again; zero if not given.
		KnownDigest uint64 `msgpack:"Known"`
	}
	// FoundFleet makes cores that may found a fleet, and belong to none, members of a
	// new one. They pass it on.
	FoundFleet struct {
		Founding Founding `msgpack:"Founding"`
	}
	// RetireCore marks a core as permanently retired: it joins no more groups, and the
	// leaders of its partitions replace it.
	RetireCore struct {
		ID string `msgpack:"ID"`
	}
	// RetireCoreResult answers RetireCore. Found is set if the core is known,
	// EnoughRemain if enough others are not retired, and Done if it is marked as retired.
	RetireCoreResult struct {
		Found        bool `msgpack:"Known"`
		EnoughRemain bool `msgpack:"Enough"`
		Done         bool `msgpack:"Done"`
	}
	// PutCoreRejected answers a PutCore of a retired core or of a superseded
	// incarnation with the entry that is stored.
	PutCoreRejected struct {
		Core Core `msgpack:"Core"`
	}
	// ReadGroup requests the committed group from a partition's leader.
	ReadGroup struct {
		Partition int `msgpack:"Part"`
	}
	// GroupMembers answers ReadGroup.
	GroupMembers struct {
		Members []string `msgpack:"Seats"`
		Former  []string `msgpack:"Former"`
	}
)
