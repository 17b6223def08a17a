package core

import (
	"saffronfall/rule/rehearsal"
)

// Messages that collect recent requests for rehearsals.
type (
	// ReadSamples asks a node for its recent requests.
	ReadSamples struct {
		ID uint64 `msgpack:"ID"`
	}
	// Samples answers ReadSamples.
	Samples struct {
		ID   uint64             `msgpack:"ID"`
		List []rehearsal.Sample `msgpack:"List"`
	}
)
