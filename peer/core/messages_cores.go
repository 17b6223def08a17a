package core

type (
	// PutCore writes a core's entry.
	PutCore struct {
		Core Core `msgpack:"Core"`
	}
	// ChangeGroup adds and removes a member of a group; either may be empty. It is repeated until
	// its result is OK.
	ChangeGroup struct {
		Partition int    `msgpack:"Part"`
		Add       string `msgpack:"Add"`
		Remove    string `msgpack:"Remove"`
	}
)

type (
	// AnnounceCore introduces a core to another one. A core of a fleet answers with a Topology.
	AnnounceCore struct {
		Core     Core `msgpack:"Core"`
		MayFound bool `msgpack:"Cold"`
		// Fleet is empty if the core belongs to none.
		Fleet string `msgpack:"Fleet"`
		// KnownDigest is the digest of the known topology, which is not sent again; zero if not
		// given.
		KnownDigest uint64 `msgpack:"Known"`
	}
	// FoundFleet makes cores that may found a fleet, and belong to none, members of a new one. They
	// pass it on.
	FoundFleet struct {
		Founding Founding `msgpack:"Founding"`
	}
	// RetireCore permanently retires a core: it joins no more groups and is replaced in its own.
	RetireCore struct {
		ID string `msgpack:"ID"`
	}
	// RetireCoreResult answers RetireCore. EnoughRemain is set if enough other cores are heard and
	// not retired.
	RetireCoreResult struct {
		Found        bool `msgpack:"Known"`
		EnoughRemain bool `msgpack:"Enough"`
		Done         bool `msgpack:"Done"`
	}
	// PutCoreRejected answers a PutCore of a retired core or superseded incarnation with the stored
	// entry.
	PutCoreRejected struct {
		Core Core `msgpack:"Core"`
	}
	// ReadGroup requests the committed group.
	ReadGroup struct {
		Partition int `msgpack:"Part"`
	}
	// GroupMembers answers ReadGroup.
	GroupMembers struct {
		Members []string `msgpack:"Seats"`
		Former  []string `msgpack:"Former"`
	}
)
