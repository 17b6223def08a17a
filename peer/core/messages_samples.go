package core

import (
	"saffronfall/rule/replay"
)

type (
	// ReadSamples requests a node's recent requests. The answer repeats ID.
	ReadSamples struct {
		ID uint64 `msgpack:"ID"`
	}
	// Samples answers ReadSamples.
	Samples struct {
		ID   uint64          `msgpack:"ID"`
		List []replay.Sample `msgpack:"List"`
	}
)
