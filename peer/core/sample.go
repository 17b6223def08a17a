package core

import (
	"saffronfall/rule/rehearsal"
)

// Messages of rehearsal.
type (
	// AskSamples asks a node for its recent inquiries.
	ReadSamples struct {
		ID uint64 `msgpack:"ID"`
	}
	// Samples answers it.
	Samples struct {
		ID   uint64             `msgpack:"ID"`
		List []rehearsal.Sample `msgpack:"List"`
	}
)
