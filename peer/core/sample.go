package core

import (
	"saffronfall/rule/rehearsal"
)

// Messages of rehearsal.
type (
	// AskSamples asks a node for its recent inquiries.
	AskSamples struct{ ID uint64 }
	// Samples answers it.
	Samples struct {
		ID   uint64
		List []rehearsal.Sample
	}
)
