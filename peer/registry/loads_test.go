package registry

import (
	"testing"
	"time"
)

// TestBadLoadReportChangesNothing guards against a partly applied report.
func TestBadLoadReportChangesNothing(t *testing.T) {
	m := newRegistry(func(o *Options) { o.Params.LoadInterval = 100 * time.Millisecond })
	m.Heartbeat(0, 0, replica(1, false))
	good := ReplicaLoad{Index: 0, Outstanding: 3, Served: 5}
	m.Receive(1, "n1:1", LoadReport{Incarnation: m.incarnation, Version: m.version, Replicas: []ReplicaLoad{good, {Index: 1}}})
	if len(m.loads.reports) != 0 || len(m.loads.histories) != 0 || m.Counters.BadMessages != 1 {
		t.Errorf("%d nodes, %d records, %d bad messages", len(m.loads.reports), len(m.loads.histories), m.Counters.BadMessages)
	}
	m.Receive(2, "n1:1", LoadReport{Incarnation: m.incarnation, Version: m.version, Replicas: []ReplicaLoad{good}})
	if len(m.loads.reports) != 1 || len(m.loads.histories) != 1 {
		t.Errorf("a good report: %d nodes, %d records", len(m.loads.reports), len(m.loads.histories))
	}
}
