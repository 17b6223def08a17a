package registry

import (
	"fmt"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/partition"
)

// connectedRegistry returns a registry with one core, which confirmed the table at the given time.
func connectedRegistry(t *testing.T, now time.Duration) *Machine {
	t.Helper()
	m := newRegistry(nil)
	leader := partition.Term{Round: 1, Leader: "c1.x"}
	m.Receive(now, "c1:1", core.Topology{Fleet: "f", GroupSize: 1, Cores: map[string]core.Core{"c1": {ID: "c1", Incarnation: "x", Peer: "c1:1", Version: 1}},
		Leaders: []partition.Term{leader, leader}, Groups: []partition.Group{{Epoch: 1, Members: []string{"c1.x"}}, {Epoch: 1, Members: []string{"c1.x"}}}})
	confirm(m, now)
	return m
}

func confirm(m *Machine, now time.Duration) {
	m.Receive(now, "c1:1", core.Update{Partition: core.ConfigurationPartition, UpTo: partition.Version{Term: partition.Term{Round: 1, Leader: "c1.x"}, Seq: 1}})
	m.Receive(now, "c1:1", core.Freshness{SentAt: now, UpTo: partition.Version{Term: partition.Term{Round: 1, Leader: "c1.x"}, Seq: 1}})
}

// tickUntilAnswered ticks a registry until it answers a ticket, or for two seconds. It returns the
// time that took and the answer.
func tickUntilAnswered(m *Machine, start time.Duration, ticket uint64) (time.Duration, any) {
	for now := start; now < start+2*time.Second; now += 5 * time.Millisecond {
		for _, a := range m.Tick(now).Answers {
			if a.Ticket == ticket {
				return now - start, a.Body
			}
		}
	}
	return 2 * time.Second, nil
}

// TestDisconnectedRegistryAnswersInTime checks that each call is answered as uncertain in 250 ms.
func TestDisconnectedRegistryAnswersInTime(t *testing.T) {
	const disconnectedAt = 10 * time.Second
	calls := map[string]func(m *Machine, now time.Duration) Output{
		"order":         func(m *Machine, now time.Duration) Output { return m.Apply(now, 1, 0, table(3), "d") },
		"read":          func(m *Machine, now time.Duration) Output { return m.Read(now, 1) },
		"retire":        func(m *Machine, now time.Duration) Output { return m.Retire(now, 1, "c1") },
		"retire status": func(m *Machine, now time.Duration) Output { return m.RetirementStatus(now, 1, "c1") },
	}
	for name, call := range calls {
		for _, after := range []time.Duration{0, time.Second, 20 * time.Second} {
			m := connectedRegistry(t, disconnectedAt)
			now := disconnectedAt
			for ; now < disconnectedAt+after; now += 5 * time.Millisecond {
				m.Tick(now)
			}
			o := call(m, now)
			if len(o.Answers) != 0 {
				t.Fatalf("%s is answered without asking a core: %+v", name, o.Answers)
			}
			took, body := tickUntilAnswered(m, now, 1)
			allowed := 250 * time.Millisecond
			if after == 0 {
				// The registry can't know yet that it is disconnected.
				allowed += maxUnconfirmedPulls * m.params.Core.PullInterval
			}
			if took > allowed {
				t.Errorf("%s, %v after the disconnection: answered after %v", name, after, took)
			}
			switch b := body.(type) {
			case OrderResult:
				if !b.Uncertain || b.Accepted || b.RaceLost || b.Faults != nil {
					t.Errorf("%s: %+v", name, b)
				}
			case core.CurrentTable:
				if b.Number != 0 {
					t.Errorf("%s: an old table: %+v", name, b)
				}
			case RetirementStatus:
				if !b.Uncertain {
					t.Errorf("%s: %+v", name, b)
				}
			default:
				t.Errorf("%s: %T", name, body)
			}
		}
	}
}

// TestAnsweredOnce guards against a second answer to an expired call, and against the loss of its
// table.
func TestAnsweredOnce(t *testing.T) {
	m := connectedRegistry(t, 0)
	o := m.Apply(5*time.Second, 1, 0, table(3), "d")
	asked := sentTo[core.Command](o, "c1:1")
	if len(asked) != 1 {
		t.Fatalf("%d commands", len(asked))
	}
	if took, _ := tickUntilAnswered(m, 5*time.Second, 1); took > 250*time.Millisecond {
		t.Fatalf("answered after %v", took)
	}
	late := m.Receive(5*time.Second+300*time.Millisecond, "c1:1", core.CommandResult{ID: asked[0].ID, Partition: asked[0].Partition, Raw: message.Pack(core.AcceptTableResult{OK: true, Number: 3})})
	if len(late.Answers) != 0 {
		t.Errorf("answered twice: %+v", late.Answers)
	}
	if m.TableNumber() != 3 {
		t.Errorf("the accepted table is not installed: table %d", m.TableNumber())
	}
}

func TestConnectedRegistryWaits(t *testing.T) {
	m := connectedRegistry(t, 0)
	m.Apply(0, 1, 0, table(3), "d")
	for now := time.Duration(0); now < 900*time.Millisecond; now += 5 * time.Millisecond {
		confirm(m, now)
		if o := m.Tick(now); len(o.Answers) != 0 {
			t.Fatalf("expired after %v although the cores are reachable", now)
		}
	}
}

// TestIsolatedRegistryAcknowledgesNoHeartbeat guards against replicas that stay with a registry
// that can't pass their reports on.
func TestIsolatedRegistryAcknowledgesNoHeartbeat(t *testing.T) {
	m := connectedRegistry(t, 0)
	nodes := []string{"n1:1", "n2:1", "n3:1"}
	for _, n := range nodes {
		m.Receive(0, n, Subscribe{Node: n})
	}
	if m.Isolated(0) {
		t.Error("isolated at once")
	}
	if m.Isolated(20 * time.Second) {
		t.Log("isolated after 20 s of silence")
	} else {
		t.Error("not isolated after 20 s of silence")
	}
	later := 20 * time.Second
	for _, n := range nodes[:2] {
		m.Receive(later, n, Subscribe{Node: n})
	}
	if m.Isolated(later) {
		t.Error("isolated although it reaches most nodes")
	}
	later += 10 * time.Second
	confirm(m, later)
	if m.Isolated(later) {
		t.Error("isolated although the cores answer")
	}
	if newRegistry(nil).Isolated(time.Hour) {
		t.Error("a registry that never had a node is isolated")
	}
}

// TestRestartedRegistryUsesSavedPeers checks a restart without reachable seeds. Neither leaders
// nor the table may be restored.
func TestRestartedRegistryUsesSavedPeers(t *testing.T) {
	previous := connectedRegistry(t, 0)
	previous.Receive(0, "d3:1", Subscribe{Node: "d3", IsRegistry: true})
	var saved *Peers
	for now := time.Duration(0); now < time.Second; now += 50 * time.Millisecond {
		if o := previous.Tick(now); o.Peers != nil {
			saved = o.Peers
		}
	}
	if saved == nil {
		t.Fatal("no addresses were saved")
	}
	if o := previous.Tick(2 * time.Second); o.Peers != nil {
		t.Error("the same addresses are saved again")
	}
	m := newRegistry(func(o *Options) { o.Incarnation, o.Seeds, o.KnownPeers = "l2", []string{"unreachable:1"}, saved })
	o := m.Tick(0)
	if len(sentTo[core.PullUpdates](o, "c1:1")) != 1 || len(sentTo[Subscribe](o, "d3:1")) != 1 {
		t.Errorf("neither cores nor registries are asked: %+v", o.Sends)
	}
	if m.TableNumber() != 0 || m.Ready() || m.coresReachable(0) {
		t.Error("a leader or a table was restored")
	}
	b := sentTo[Update](m.Receive(0, "n1:1", Subscribe{Node: "n1"}), "n1:1")
	if len(b) != 1 || b[0].Topology == nil || len(b[0].Topology.Cores) != 1 || len(b[0].Registries) < 2 {
		t.Errorf("a node is sent %+v", b)
	}
}

// TestRestartedRegistryWaitsForTheCores guards against answering unsure while all processes have just started:
// the operator's pauses grow with each failure.
func TestRestartedRegistryWaitsForTheCores(t *testing.T) {
	saved := Peers{Fleet: "f", GroupSize: 1, Partitions: 2, Registries: []string{"d1:1"},
		Cores: map[string]core.Core{"c1": {ID: "c1", Incarnation: "x", Peer: "c1:1", Version: 1}}}
	for name, peers := range map[string]*Peers{"with saved peers": &saved, "of a former release": {Fleet: "f", GroupSize: 1, Cores: saved.Cores, Registries: saved.Registries}} {
		m := newRegistry(func(o *Options) { o.KnownPeers = peers })
		o := m.Read(0, 1)
		sent := sentTo[core.Command](o, "c1:1")
		if len(sent) != 1 || sent[0].Partition != core.ConfigurationPartition || len(o.Answers) != 0 {
			t.Fatalf("%s: a read sends %+v, answers %+v", name, o.Sends, o.Answers)
		}
		waited, answer := tickUntilAnswered(m, 0, 1)
		if most := (startPulls + 1) * m.params.Core.PullInterval; waited < startPulls*m.params.Core.PullInterval || waited > most {
			t.Errorf("%s: answered %+v after %v", name, answer, waited)
		}
	}
}

// TestTopologyIsRequestedFromOneCore guards against the whole topology from every core at each pull.
func TestTopologyIsRequestedFromOneCore(t *testing.T) {
	m := newRegistry(nil)
	changes := core.TopologyChanges{Fleet: "f", Partitions: 2}
	for i := range 12 {
		changes.AddCore(core.Core{ID: fmt.Sprint(i), Incarnation: "x", Peer: fmt.Sprintf("c%d:1", i), Version: 1})
	}
	m.Receive(0, "c0:1", changes)
	o := m.Tick(time.Second)
	pulls, requests := 0, 0
	for _, s := range o.Sends {
		if pull, ok := s.Body.(core.PullUpdates); ok {
			pulls++
			if pull.WantTopology {
				requests++
			}
			if pull.KnownDigest != m.topology.Digest() {
				t.Errorf("%s is told another digest", s.To)
			}
		}
	}
	if pulls != 12 || requests != 1 {
		t.Errorf("%d of %d pulls request the topology", requests, pulls)
	}
}
