package core

import (
	"saffronfall/rule/rehearsal"
)

// Messages that collect recent requests for rehearsals.
type (
	// ReadSamples requests a node's recent requests for a rehearsal.
	ReadSamples struct {
		ID uint64 `msgpack:"ID"`
	}
	// Samples answers ReadSamples.
	Samples struct {
		ID   uint64             `msgpack:"ID"`
		List []rehearsal.Sample `msgpack:"List"`
	}
)
