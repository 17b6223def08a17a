package simulator

import (
	"fmt"
	"testing"
	"time"

	"saffronfall/peer/core"
)

func apply(w *World, at int, request core.ApplyRequest) core.ApplyResult {
	var got core.ApplyResult
	w.Operate(w.cores[at], func(m *core.Machine, now time.Duration, ticket uint64) core.Output {
		return m.ApplyConfiguration(now, ticket, request)
	}, func(body any) { got = body.(core.ApplyResult) })
	w.Advance(3 * time.Second)
	return got
}

// A repeated submission of the configuration in force is acknowledged, even if a replay would now
// refuse it. A different one on the same base is refused.
func TestRepeatedConfiguration(t *testing.T) {
	w := withLimits(smallWorld(nil))
	request := func(version uint64, digest string) core.ApplyRequest {
		return core.ApplyRequest{BasedOn: version, Text: w.Params.Configuration(digest), Digest: digest, Timeout: 5 * time.Second}
	}
	const configurations = 20
	for version := uint64(1); version <= configurations; version++ {
		if got := apply(w, 0, request(version, fmt.Sprint("v", version))); !got.InForce || got.Version != version+1 {
			t.Fatalf("configuration %d: %+v", version, got)
		}
	}
	for version := uint64(1); version <= configurations; version += 6 {
		if got := apply(w, 1, request(version, fmt.Sprint("v", version))); !got.InForce || got.Version != version+1 {
			t.Errorf("repeated configuration %d: %+v", version, got)
		}
		if got := apply(w, 2, request(version, "another")); got.InForce || got.Code != "race_lost" {
			t.Errorf("another configuration on version %d: %+v", version, got)
		}
	}
	if got := apply(w, 1, request(configurations+9, "ahead")); got.InForce || got.Code != "race_lost" {
		t.Errorf("configuration on a version that does not exist: %+v", got)
	}
}
