package registry

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/partition"
	"saffronfall/rule/route"
)

// largeTable returns a table with one route that depends on the number, among many others.
func largeTable(number uint64) []byte {
	routes := ""
	for i := range 50 {
		timeout := 1000
		if uint64(i) == number%50 {
			timeout = 2000
		}
		routes += fmt.Sprintf(`{"host":"h","prefix":"/p%d/","mode":"once","timeout_ms":%d,"targets":[{"service":"s"}]},`, i, timeout)
	}
	return fmt.Appendf(nil, `{"number":%d,"source":"what the operator sent","routes":[%s],"services":[{"name":"s"}]}`, number, routes[:len(routes)-1])
}

func deliverTable(m *Machine, now time.Duration, number uint64) Output {
	value := message.Marshal(core.CurrentTable{Number: number, Text: largeTable(number), Digest: fmt.Sprint("digest ", number)})
	at := partition.Version{Term: partition.Term{Round: 1, Leader: "c.1"}, Seq: number}
	return m.Receive(now, "c:1", core.Update{Partition: core.ConfigurationPartition, UpTo: at, Entries: []partition.Entry{{Key: core.TableKey, Value: value, Version: at}}})
}

// TestUnreadableTableIsReported guards against a table of a newer version that is dropped silently.
func TestUnreadableTableIsReported(t *testing.T) {
	m := newRegistry(nil)
	foundFleet(m)
	deliverTable(m, 0, 2)
	newer := bytes.Replace(largeTable(3), []byte(`"once"`), []byte(`"lazily"`), 1)
	dropped := m.Receive(0, "d2:1", Update{Incarnation: "l", TableNumber: 3, Table: newer}).UnreadableTable
	if dropped == nil || dropped.Number != 3 || dropped.Cause() != CauseUnknownWord || dropped.Faults[0].Value != "lazily" {
		t.Errorf("reported %+v", dropped)
	}
	if count := m.Status(0)["tables_unreadable"]; count != 1 || m.TableNumber() != 2 {
		t.Errorf("%d unreadable tables, table %d", count, m.TableNumber())
	}
	if again := deliverTable(m, 0, 4).UnreadableTable; again != nil || m.TableNumber() != 4 {
		t.Errorf("reported %+v, table %d", again, m.TableNumber())
	}
}

// TestSubscribersGetDifferences checks that only subscribers with a recent table get differences,
// and none the table's source.
func TestSubscribersGetDifferences(t *testing.T) {
	m := newRegistry(nil)
	foundFleet(m)
	deliverTable(m, 0, 2)
	onlyUpdate := func(o Output, to string) Update {
		t.Helper()
		list := sentTo[Update](o, to)
		if len(list) != 1 {
			t.Fatalf("%s got %d updates", to, len(list))
		}
		return list[0]
	}
	first := onlyUpdate(m.Receive(0, "n1:1", Subscribe{Node: "n1", AcceptsDifferences: true}), "n1:1")
	plain, faults := route.Parse(first.Table)
	if faults != nil || plain.Number != 2 || plain.Source != "" || len(first.Differences) != 0 || first.TableDigest != "digest 2" {
		t.Fatalf("the first table: %v, %d bytes", faults, len(first.Table))
	}
	second := onlyUpdate(deliverTable(m, 0, 4), "n1:1")
	if second.Table != nil || len(second.Differences) != 1 || second.Differences[0].BaseNumber != 2 || second.Differences[0].Size() != 2 {
		t.Fatalf("a change: %d bytes, %d differences", len(second.Table), len(second.Differences))
	}
	next, ok := second.Differences[0].Apply(plain, first.TableDigest)
	if !ok || next.Number != 4 || second.Differences[0].Digest != "digest 4" {
		t.Fatal("the difference does not fit the table before it")
	}
	// The node missed an update and reports its last table.
	deliverTable(m, 0, 5)
	if b := onlyUpdate(m.Receive(0, "n1:1", Subscribe{Node: "n1", AcceptsDifferences: true, Table: 4}), "n1:1"); len(b.Differences) != 1 || b.Differences[0].Number != 5 {
		t.Fatalf("after a lost update: %+v", b)
	}
	for name, f := range map[string]Subscribe{"none": {AcceptsDifferences: true}, "unknown": {AcceptsDifferences: true, Table: 3}, "a node that can't apply differences": {Table: 4}} {
		if b := onlyUpdate(m.Receive(0, "n2:1", f), "n2:1"); b.Table == nil || b.Differences != nil {
			t.Errorf("%s: %d bytes, %d differences", name, len(b.Table), len(b.Differences))
		}
	}
	for number := uint64(6); number < 6+2*maxDifferences; number++ {
		deliverTable(m, 0, number)
	}
	if got := len(m.table.differences); got != maxDifferences {
		t.Errorf("%d differences are kept", got)
	}
	if b := onlyUpdate(m.Receive(0, "n3:1", Subscribe{Node: "n3", AcceptsDifferences: true, Table: 4}), "n3:1"); b.Table == nil {
		t.Errorf("a subscriber that is far behind: %+v", b)
	}
}

func TestKnownTableIsNotParsedAgain(t *testing.T) {
	m := newRegistry(nil)
	foundFleet(m)
	deliverTable(m, 0, 2)
	again := message.Marshal(core.CurrentTable{Number: 2, Text: []byte("not a table"), Digest: "digest 2"})
	at := partition.Version{Term: partition.Term{Round: 1, Leader: "c.1"}, Seq: 9}
	m.Receive(0, "c:1", core.Update{Partition: core.ConfigurationPartition, UpTo: at, Entries: []partition.Entry{{Key: core.TableKey, Value: again, Version: at}}})
	if m.Counters.BadMessages != 0 || m.TableNumber() != 2 {
		t.Errorf("%d bad messages, table %d", m.Counters.BadMessages, m.TableNumber())
	}
}
