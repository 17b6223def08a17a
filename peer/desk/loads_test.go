package desk

import (
	"testing"
	"time"
)

// TestBadLoadReportChangesNothing: a report that names a place which there is not is
// dropped whole.
func TestBadLoadReportChangesNothing(t *testing.T) {
	m := newDesk(func(o *Options) { o.Params.LoadPeriod = 100 * time.Millisecond })
	m.Beat(0, 0, replica(1, false))
	good := ReplicaLoad{Place: 0, Outstanding: 3, Served: 5}
	m.Receive(1, "n1:1", LoadReport{Life: m.life, Version: m.version, List: []ReplicaLoad{good, {Place: 1}}})
	if len(m.loads.nodes) != 0 || len(m.loads.records) != 0 || m.Counters.BadMessages != 1 {
		t.Errorf("%d nodes, %d records, %d bad messages", len(m.loads.nodes), len(m.loads.records), m.Counters.BadMessages)
	}
	m.Receive(2, "n1:1", LoadReport{Life: m.life, Version: m.version, List: []ReplicaLoad{good}})
	if len(m.loads.nodes) != 1 || len(m.loads.records) != 1 {
		t.Errorf("a good report: %d nodes, %d records", len(m.loads.nodes), len(m.loads.records))
	}
}
