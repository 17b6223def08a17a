package node

import (
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/partition"
	"saffronfall/rule/program"
)

// FuzzReceive guards against a panic of a node or a core on a malformed message.
func FuzzReceive(f *testing.F) {
	for _, body := range []any{
		core.Topology{
			Fleet:   "f",
			Cores:   map[string]core.Core{"c": {ID: "c"}},
			Groups:  make([]partition.Group, 3),
			Leaders: make([]partition.Term, 3),
		},
		core.Update{
			Partition: 1,
			UpTo:      partition.Version{Seq: 1},
			Snapshot:  true,
			Entries:   []partition.Entry{{Key: "member/n", Value: message.Marshal(core.Member{ID: "n"})}},
		},
		core.PullUpdates{Versions: map[int]partition.Version{0: {}}},
		core.Freshness{},
		core.Command{Partition: 1, Raw: message.Pack(core.JoinMember{Member: core.Member{ID: "x"}})},
		core.CommandResult{ID: 1},
		core.ReplicaMessage{Partition: 1, Raw: message.Pack(partition.Prepare{})},
		ForwardRequest{ID: 1, Request: Request{Kind: KindTurn, Key: "k", Program: "p"}},
		CancelForward{ID: 2},
		ForwardedFrame{ID: 3},
		CopyProgram{Record: program.Record{ID: "p", Tenant: "t"}},
		CopyAck{},
		CopyQuery{Tenant: "t", Program: "p"},
		CopyAnswer{},
		Announcements{List: []Announcement{{Replica: Replica{Service: "s", ID: "r"}}}},
		core.ReadSamples{},
		core.Samples{},
	} {
		f.Add(message.Pack(body))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, err := message.Open(raw)
		if err != nil {
			return
		}
		params := core.Params{
			Partition: partition.Params{
				LeaseDuration:        600 * time.Millisecond,
				Drift:                0.1,
				RenewalsPerLease:     5,
				LeasesPerSweep:       8,
				LeasesBeforeTransfer: 20,
			},
			MemberLease:    2 * time.Second,
			AttemptTimeout: 150 * time.Millisecond,
			PullInterval:   150 * time.Millisecond,
		}
		random := func() float64 { return 0.3 }
		n := New(Options{
			Params:      Params{Core: params, AnnouncementMaxAge: time.Second, QueueLimit: 8},
			ID:          "n",
			Incarnation: "a",
			Address:     "10.0.0.9:1",
			Random:      random,
		})
		self := core.Core{ID: "c", Incarnation: "i", Peer: "10.0.0.1:1"}
		plan := core.FailureDomains{}.PlanFleet("f", 3, 1, []core.Core{self})
		stored := core.Stored{Incarnation: "i"}
		stored.Apply(core.Change{Founding: &plan})
		c := core.New(core.Options{Params: params, ID: "c", Address: self.Peer, Stored: stored, Random: random})
		for i := range 3 {
			now := time.Duration(i+1) * time.Second
			n.Receive(now, "10.0.0.1:1", body)
			n.Tick(now)
			c.Receive(now, "10.0.0.9:1", body)
			c.Tick(now)
		}
	})
}
