package node

import (
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/partition"
)

// TestJoinNeedsFreshConfiguration guards against a restarted process joining with a configuration
// older than the one that an earlier process of this node had.
func TestJoinNeedsFreshConfiguration(t *testing.T) {
	m := New(Options{
		Params: Params{
			Core: core.Params{
				MemberLease:    2 * time.Second,
				AttemptTimeout: 150 * time.Millisecond,
				PullInterval:   150 * time.Millisecond,
			},
			AnnouncementMaxAge: time.Second,
		},
		ID:          "n",
		Incarnation: "a",
		Address:     "10.0.0.9:1",
		Random:      func() float64 { return 0.5 },
	})
	joins := func(now time.Duration) (n int) {
		for _, s := range m.Tick(now).Sends {
			if c, ok := s.Body.(core.Command); ok {
				if body, _ := message.Open(c.Raw); body != nil {
					if _, ok := body.(core.JoinMember); ok {
						n++
					}
				}
			}
		}
		return n
	}
	m.Receive(time.Second, "10.0.0.1:1", core.Topology{
		Fleet:   "f",
		Cores:   map[string]core.Core{"c": {ID: "c", Incarnation: "1", Peer: "10.0.0.1:1"}},
		Groups:  make([]partition.Group, 2),
		Leaders: make([]partition.Term, 2),
	})
	at := partition.Version{Seq: 4}
	m.Receive(time.Second, "10.0.0.2:1", core.Update{Partition: core.ConfigurationPartition, UpTo: at, Snapshot: true, Entries: []partition.Entry{{Key: "configuration",
		Value: message.Marshal(core.CurrentConfiguration{Version: 1, Text: []byte(`{"roles":{"viewer":{}},"tenants":{"t":{}},"services":{"model":{"kind":"model"}}}`)})}}})
	if m.ConfigurationVersion() != 1 {
		t.Fatal("the configuration was not applied")
	}
	if joins(1100*time.Millisecond) != 0 {
		t.Error("joined with a configuration known from another node only")
	}
	m.Receive(1200*time.Millisecond, "10.0.0.1:1", core.Freshness{SentAt: 1100 * time.Millisecond, UpTo: partition.Version{Seq: 5}})
	if joins(1300*time.Millisecond) != 0 {
		t.Error("joined although the leader has a newer configuration")
	}
	m.Receive(1400*time.Millisecond, "10.0.0.1:1", core.Freshness{SentAt: 1100 * time.Millisecond, UpTo: at})
	if joins(1500*time.Millisecond) != 1 {
		t.Error("did not join with a fresh configuration")
	}
}
