package simulator

import (
	"fmt"
	"testing"
	"time"

	"saffronfall/peer/core"
)

// apply hands a description over at one core and waits for the outcome.
func apply(w *World, at int, hand core.Hand) core.Taking {
	var got core.Taking
	w.Operate(w.cores[at], func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.Apply(now, ticket, hand)
	}, func(body any) { got = body.(core.Taking) })
	w.Pass(3 * time.Second)
	return got
}

// TestAcceptedDescriptionComesAgain: a description whose answer was lost is
// acknowledged when it comes again through another core after many others, also
// where rehearsal would refuse it by now; a different one on its base is not.
func TestAcceptedDescriptionComesAgain(t *testing.T) {
	w := judged(small(nil))
	hand := func(version uint64, digest string) core.Hand {
		return core.Hand{BasedOn: version, Text: w.Params.Describe(digest), Digest: digest, Within: 5 * time.Second}
	}
	const descriptions = 20
	for version := uint64(1); version <= descriptions; version++ {
		if got := apply(w, 0, hand(version, fmt.Sprint("v", version))); !got.Taken || got.Version != version+1 {
			t.Fatalf("description %d: %+v", version, got)
		}
	}
	for version := uint64(1); version <= descriptions; version += 6 {
		if got := apply(w, 1, hand(version, fmt.Sprint("v", version))); !got.Taken || got.Version != version+1 {
			t.Errorf("description %d came again: %+v", version, got)
		}
		if got := apply(w, 2, hand(version, "another")); got.Taken || got.Code != "race_lost" {
			t.Errorf("another one on %d: %+v", version, got)
		}
	}
	if got := apply(w, 1, hand(descriptions+9, "ahead")); got.Taken || got.Code != "race_lost" {
		t.Errorf("one on a version that never was: %+v", got)
	}
}
