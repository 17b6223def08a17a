package registry

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/partition"
	"saffronfall/rule/route"
)

const heartbeat = time.Second

func newRegistry(change func(o *Options)) *Machine {
	o := Options{
		ID: "d1", Incarnation: "l1", Address: "d1:1", Seeds: []string{"d1:1", "d2:1"}, Random: func() float64 { return 0.5 },
		Params: Params{
			Core:              core.Params{MemberLease: time.Second, AttemptTimeout: 100 * time.Millisecond, PullInterval: 100 * time.Millisecond},
			HeartbeatInterval: heartbeat,
			GroupSize:         3,
			PartitionsPerCore: 2,
			OperationTimeout:  time.Second,
		},
	}
	if change != nil {
		change(&o)
	}
	return New(o)
}

// sentTo returns the messages of type T that were sent to an address.
func sentTo[T any](o Output, to string) []T {
	var list []T
	for _, s := range o.Sends {
		if body, ok := s.Body.(T); ok && s.To == to {
			list = append(list, body)
		}
	}
	return list
}

func replica(sequence int64, leaving bool) Replica {
	return Replica{ID: "r1", Service: "app", Address: "r1:1", Slots: 4, Sequence: sequence, Leaving: leaving}
}

// TestChangeIsSentAtOnce also checks that a change is sent again if a renewal shows its loss.
func TestChangeIsSentAtOnce(t *testing.T) {
	m := newRegistry(nil)
	first := sentTo[Update](m.Receive(0, "n1:1", Subscribe{Node: "n1"}), "n1:1")
	if len(first) != 1 {
		t.Fatalf("%d updates for a new subscriber", len(first))
	}
	o := m.Heartbeat(time.Millisecond, 0, replica(1, false))
	if b := sentTo[Update](o, "n1:1"); len(b) != 1 || len(b[0].Replicas) != 1 || len(o.ChangedReplicas) != 1 {
		t.Fatalf("%+v, changes %+v", b, o.ChangedReplicas)
	}
	if o := m.Heartbeat(2*time.Millisecond, 0, replica(2, false)); len(o.Sends)+len(o.ChangedReplicas) != 0 {
		t.Fatalf("a heartbeat without a change is sent: %+v", o)
	}
	if b := sentTo[Update](m.Heartbeat(3*time.Millisecond, 0, replica(3, true)), "n1:1"); len(b) != 1 || !b[0].Replicas[0].Replica.Leaving {
		t.Fatalf("leaving: %+v", b)
	}
	// The updates were lost, and the node reports the version that it has.
	if b := sentTo[Update](m.Receive(4*time.Millisecond, "n1:1", Subscribe{Node: "n1", Incarnation: first[0].Incarnation, Version: first[0].Version}), "n1:1"); len(b) != 1 || len(b[0].Replicas) != 1 {
		t.Fatalf("after a loss: %+v", b)
	}
}

// TestDepartureIsFinal guards against a later or delayed heartbeat that reverts a departure.
func TestDepartureIsFinal(t *testing.T) {
	m := newRegistry(nil)
	m.Heartbeat(0, 0, replica(5, true))
	m.Heartbeat(1, 0, replica(4, false))
	m.Heartbeat(2, 0, replica(6, false))
	if l := m.List(); !l[0].Replica.Leaving {
		t.Fatalf("after later heartbeats: %+v", l)
	}
	m.Leave(3, 0, "r1")
	m.Heartbeat(4, 0, replica(7, false))
	if l := m.List(); !l[0].Removed || !l[0].Final {
		t.Fatalf("after Leave: %+v", l)
	}
}

// TestSilentReplicaExpiresAndReturns checks that only a newer heartbeat brings a replica back.
func TestSilentReplicaExpiresAndReturns(t *testing.T) {
	m := newRegistry(nil)
	m.Heartbeat(0, 0, replica(1, false))
	m.Tick(3 * heartbeat)
	if m.List()[0].Removed {
		t.Fatal("gone after three heartbeat intervals")
	}
	m.Tick(5 * heartbeat)
	if l := m.List()[0]; !l.Removed || l.Final {
		t.Fatalf("after five heartbeat intervals: %+v", l)
	}
	m.Heartbeat(6*heartbeat, 0, replica(1, false))
	if !m.List()[0].Removed {
		t.Fatal("an old heartbeat brought it back")
	}
	m.Heartbeat(6*heartbeat, 0, replica(2, false))
	if m.List()[0].Removed {
		t.Fatal("a newer heartbeat does not bring it back")
	}
}

func TestRestoredReplicaExpiresAfterTwoHeartbeats(t *testing.T) {
	m := newRegistry(func(o *Options) { o.KnownReplicas, o.Now = []ReplicaEntry{{Replica: replica(1, false)}}, 100*heartbeat })
	m.Tick(101 * heartbeat)
	if m.List()[0].Removed {
		t.Fatal("gone after one heartbeat interval")
	}
	m.Tick(103 * heartbeat)
	if !m.List()[0].Removed {
		t.Fatal("not gone after three heartbeat intervals")
	}
}

// TestFounding guards against founding too early, by several registries, or differently in a
// retry.
func TestFounding(t *testing.T) {
	announce := func(m *Machine, now time.Duration, ids ...string) {
		for _, id := range ids {
			m.Receive(now, id+":1", core.AnnounceCore{Core: core.Core{ID: id, Incarnation: "i", Zone: id, Peer: id + ":1"}, MayFound: true})
		}
	}
	m := newRegistry(func(o *Options) { o.FoundingDuty.MayFound = true })
	announce(m, 0, "a", "b")
	if o := m.Tick(5 * heartbeat); len(sentTo[core.FoundFleet](o, "a:1")) != 0 {
		t.Fatal("founded with two of three")
	}
	announce(m, 5*heartbeat, "c")
	if o := m.Tick(5*heartbeat + heartbeat/2); len(sentTo[core.FoundFleet](o, "a:1")) != 0 {
		t.Fatal("founded before other cores had time to announce themselves")
	}
	first := sentTo[core.FoundFleet](m.Tick(6*heartbeat+heartbeat/2), "a:1")
	announce(m, 7*heartbeat, "d")
	again := sentTo[core.FoundFleet](m.Tick(9*heartbeat), "a:1")
	if len(first) != 1 || len(again) != 1 || !reflect.DeepEqual(first[0], again[0]) {
		t.Fatalf("%d and %d foundings, or different ones", len(first), len(again))
	}
	if f := first[0].Founding; f.Partitions != 7 || len(f.Cores) != 3 || len(f.Groups[0].Members) != 3 {
		t.Fatalf("founding: %+v", f)
	}
	other := newRegistry(nil)
	announce(other, 0, "a", "b", "c")
	for now := time.Duration(0); now < 10*heartbeat; now += heartbeat / 4 {
		if o := other.Tick(now); len(sentTo[core.FoundFleet](o, "a:1")) != 0 {
			t.Fatal("a registry founds a fleet without permission")
		}
	}
}

func foundFleet(m *Machine) core.Topology {
	topology := core.Topology{
		Fleet:     "f",
		GroupSize: 1,
		Cores:     map[string]core.Core{"c": {ID: "c", Incarnation: "1", Peer: "c:1", Version: 1}},
		Leaders:   []partition.Term{{Round: 1, Leader: "c.1"}, {Round: 1, Leader: "c.1"}},
		Groups:    make([]partition.Group, 2),
	}
	m.Receive(0, "c:1", topology)
	return topology
}

func table(number uint64) []byte {
	text, _ := json.Marshal(route.Table{
		Number:   number,
		Limits:   route.Limits{HeaderBytes: 1000, BodyBytes: 1000},
		Routes:   []route.Route{},
		Services: []route.Service{},
		Tenants:  []route.Tenant{},
	})
	return text
}

// TestApply checks that only valid tables are proposed, and that an accepted one is sent to
// subscribers in the same step.
func TestApply(t *testing.T) {
	for _, c := range []struct {
		name   string
		text   []byte
		answer any
		want   OrderResult
		sent   bool
	}{
		{"faulty", []byte(`{"number":1,"routes":[{"host":"h","prefix":"nowhere","mode":"once","timeout_ms":1}]}`), nil, OrderResult{}, false},
		{"taken", table(3), core.AcceptTableResult{OK: true, Number: 3}, OrderResult{Accepted: true, Number: 3}, true},
		{"another current table", table(3), core.AcceptTableResult{Number: 2}, OrderResult{RaceLost: true, Number: 2}, false},
		{"no answer", table(3), nil, OrderResult{Uncertain: true}, false},
	} {
		m := newRegistry(nil)
		foundFleet(m)
		m.Receive(0, "n1:1", Subscribe{Node: "n1"})
		o := m.Apply(time.Millisecond, 7, 1, c.text, "digest")
		commands := sentTo[core.Command](o, "c:1")
		if c.name == "faulty" {
			if len(commands) != 0 || len(o.Answers) != 1 || o.Answers[0].Body.(OrderResult).Faults == nil {
				t.Errorf("%s: %+v", c.name, o)
			}
			continue
		}
		if len(commands) != 1 || len(o.Answers) != 0 {
			t.Fatalf("%s: %+v", c.name, o)
		}
		if c.answer != nil {
			o = m.Receive(2*time.Millisecond, "c:1", core.CommandResult{ID: commands[0].ID, Partition: commands[0].Partition, Raw: message.Pack(c.answer)})
		} else {
			o = m.Tick(2 * time.Second)
		}
		if len(o.Answers) != 1 {
			t.Fatalf("%s: %+v", c.name, o)
		}
		got := o.Answers[0].Body.(OrderResult)
		if got.Accepted != c.want.Accepted || got.RaceLost != c.want.RaceLost || got.Uncertain != c.want.Uncertain || got.Number != c.want.Number {
			t.Errorf("%s: %+v", c.name, got)
		}
		if b := sentTo[Update](o, "n1:1"); (len(b) == 1 && len(b[0].Table) > 0) != c.sent {
			t.Errorf("%s: sent %+v", c.name, b)
		}
	}
}

// TestRetirementNeedsEveryPartition checks that a retirement is not done while the core is in some
// group, old or new, or while a partition does not answer.
func TestRetirementNeedsEveryPartition(t *testing.T) {
	for _, c := range []struct {
		name    string
		members []core.GroupMembers
		done    bool
	}{
		{"no member", []core.GroupMembers{{Members: []string{"a.1"}}, {Members: []string{"b.1"}}}, true},
		{"a member", []core.GroupMembers{{Members: []string{"a.1"}}, {Members: []string{"c.1"}}}, false},
		{"a former member", []core.GroupMembers{{Members: []string{"a.1"}}, {Members: []string{"a.1"}, Former: []string{"c.1"}}}, false},
		{"one partition silent", []core.GroupMembers{{Members: []string{"a.1"}}}, false},
	} {
		m := newRegistry(nil)
		topology := foundFleet(m)
		retired := topology.Cores["c"]
		retired.Retired, retired.Version = true, 2
		m.Receive(0, "x:1", core.Topology{
			Fleet:   "f",
			Cores:   map[string]core.Core{"c": retired, "x": {ID: "x", Incarnation: "1", Peer: "x:1", Version: 1}},
			Leaders: []partition.Term{{Round: 2, Leader: "x.1"}, {Round: 2, Leader: "x.1"}},
		})
		o := m.RetirementStatus(time.Millisecond, 9, "c")
		answers := o.Answers
		for i, command := range sentTo[core.Command](o, "x:1") {
			if i < len(c.members) {
				answers = append(answers, m.Receive(2*time.Millisecond, "x:1", core.CommandResult{ID: command.ID, Partition: command.Partition, Raw: message.Pack(c.members[i])}).Answers...)
			}
		}
		if len(answers) == 0 {
			answers = m.Tick(3 * time.Second).Answers
		}
		if len(answers) != 1 || answers[0].Body.(RetirementStatus).Done != c.done {
			t.Errorf("%s: %+v", c.name, answers)
		}
	}
}

// TestRegistriesReplicateDepartures guards against the loss of a departure with the registry that
// acknowledged it, and against sending it twice needlessly.
func TestRegistriesReplicateDepartures(t *testing.T) {
	for name, leave := range map[string]func(m *Machine) Output{
		"leaving": func(m *Machine) Output { return m.Heartbeat(time.Second, 0, replica(2, true)) },
		"gone":    func(m *Machine) Output { return m.Leave(time.Second, 0, "r1") },
	} {
		first, second := newRegistry(nil), newRegistry(func(o *Options) { o.ID, o.Address, o.Incarnation = "d2", "d2:1", "l2" })
		subscribe := func(now time.Duration) Output {
			first.subscribeAt, second.subscribeAt = now, now
			for _, f := range sentTo[Subscribe](second.Tick(now), "d1:1") {
				return first.Receive(now, "d2:1", f)
			}
			t.Fatalf("%s: the second registry does not subscribe to the first", name)
			return Output{}
		}
		// The second registry knows the replica, and a node subscribes to it.
		second.Heartbeat(0, 0, replica(1, false))
		second.Receive(0, "n1:1", Subscribe{Node: "n1"})
		first.Heartbeat(0, 0, replica(1, false))
		for _, b := range sentTo[Update](subscribe(0), "d2:1") {
			if len(b.Replicas) != 0 {
				t.Fatalf("%s: a registry is sent replicas that stay: %+v", name, b.Replicas)
			}
			second.Receive(0, "d1:1", b)
		}
		sent := sentTo[Update](leave(first), "d2:1")
		if len(sent) != 1 || len(sent[0].Replicas) != 1 {
			t.Fatalf("%s: the other registry is sent %+v", name, sent)
		}
		o := second.Receive(time.Second, "d1:1", sent[0])
		if len(o.ChangedReplicas) != 1 {
			t.Errorf("%s: the other registry saves %+v", name, o.ChangedReplicas)
		}
		forwarded := sentTo[Update](o, "n1:1")
		if len(forwarded) != 1 || len(forwarded[0].Replicas) != 1 || !forwarded[0].Replicas[0].Replica.Leaving && !forwarded[0].Replicas[0].Final {
			t.Errorf("%s: the other registry's node is sent %+v", name, forwarded)
		}
		// A late heartbeat does not bring the replica back.
		second.Heartbeat(2*time.Second, 0, replica(1, false))
		if l := second.replicas["r1"]; !l.Replica.Leaving && !l.Final {
			t.Errorf("%s: the other registry has %+v after a late heartbeat", name, l.ReplicaEntry)
		}
		for _, b := range sentTo[Update](subscribe(3*time.Second), "d2:1") {
			if len(b.Replicas) != 0 {
				t.Errorf("%s: sent again: %+v", name, b.Replicas)
			}
		}
	}
}
