package core

// Commands that change who the cores are.
type (
	// PutCore makes a core, or what changed of it, known to the fleet.
	PutCore struct {
		Core Core `msgpack:"Core"`
	}
	// ChangeSeat moves a part's group: one seat comes, one goes, either may be
	// empty. It is asked again until the answer is OK.
	ChangeGroup struct {
		Partition int    `msgpack:"Part"`
		Add       string `msgpack:"Add"`
		Remove    string `msgpack:"Remove"`
	}
)

// Messages and commands by which cores come, are founded and go with nobody
// operating.
type (
	// Present says who a core is and where. It is answered with a Topology by
	// whoever knows the fleet.
	AnnounceCore struct {
		Core Core `msgpack:"Core"`
		// Cold says that the core may found a fleet.
		MayFound bool `msgpack:"Cold"`
		// Fleet is empty as long as the core belongs to none.
		Fleet string `msgpack:"Fleet"`
		// Known is the digest of the topology that the core knows, so that it need
		// not be told what it has; zero: it does not say.
		KnownDigest uint64 `msgpack:"Known"`
	}
	// FoundFleet makes cores that belong to no fleet, and are allowed to, a new
	// one. Those that are founded pass it on.
	FoundFleet struct {
		Founding Founding `msgpack:"Founding"`
	}
	// RetireCore marks a core as one that gets no seats any more, for good. The
	// owners of parts then move its seats to others.
	RetireCore struct {
		ID string `msgpack:"ID"`
	}
	// Retiring answers it: whether there is such a core, whether enough others
	// remain, and whether it is marked now.
	RetireCoreResult struct {
		Found        bool `msgpack:"Known"`
		EnoughRemain bool `msgpack:"Enough"`
		Done         bool `msgpack:"Done"`
	}
	// CoreEnded answers a PutCore of a retired core, or of an incarnation that has
	// a successor, with what is known.
	PutCoreRejected struct {
		Core Core `msgpack:"Core"`
	}
	// ReadSeats asks a part's owner for its agreed group.
	ReadGroup struct {
		Partition int `msgpack:"Part"`
	}
	// Seated answers it.
	GroupMembers struct {
		Members []string `msgpack:"Seats"`
		Former  []string `msgpack:"Former"`
	}
)
