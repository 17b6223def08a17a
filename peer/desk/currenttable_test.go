package desk

import (
	"fmt"
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/message"
	"saffronfall/rule/partition"
	"saffronfall/rule/route"
)

// largeTable is a table with many routes, one of which changes with the number.
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

// agree brings a desk the news of an agreed table.
func deliverTable(m *Machine, now time.Duration, number uint64) Output {
	value := message.Marshal(core.AgreedTable{Number: number, Text: largeTable(number), Digest: fmt.Sprint("digest ", number)})
	at := partition.Version{Term: partition.Term{Round: 1, Leader: "c.1"}, Seq: number}
	return m.Receive(now, "c:1", core.News{Part: core.ConfigurationPart, Upto: at, Entries: []partition.Entry{{Key: core.TableKey, Value: value, Version: at}}})
}

// TestSubscribersGetDifferences: who has a table gets what changed since, who has
// none, or one that is too old or not known here, the whole, and never the text
// that only the operator reads.
func TestSubscribersGetDifferences(t *testing.T) {
	m := newDesk(nil)
	foundFleet(m)
	deliverTable(m, 0, 2)
	onlyUpdate := func(o Output, to string) Update {
		t.Helper()
		list := sentTo[Update](o, to)
		if len(list) != 1 {
			t.Fatalf("%s was told %d times", to, len(list))
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
	// It missed one, and says so.
	deliverTable(m, 0, 5)
	if b := onlyUpdate(m.Receive(0, "n1:1", Subscribe{Node: "n1", AcceptsDifferences: true, Table: 4}), "n1:1"); len(b.Differences) != 1 || b.Differences[0].Number != 5 {
		t.Fatalf("told again: %+v", b)
	}
	for name, f := range map[string]Subscribe{"none": {AcceptsDifferences: true}, "unknown": {AcceptsDifferences: true, Table: 3}, "a former version's node": {Table: 4}} {
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
		t.Errorf("one that is far behind: %+v", b)
	}
}

// TestKnownTableIsNotParsedAgain: the cores' news of a table that an operator just
// brought here, or that a difference led to, costs no second reading of its text.
func TestKnownTableIsNotParsedAgain(t *testing.T) {
	m := newDesk(nil)
	foundFleet(m)
	deliverTable(m, 0, 2)
	again := message.Marshal(core.AgreedTable{Number: 2, Text: []byte("not a table"), Digest: "digest 2"})
	at := partition.Version{Term: partition.Term{Round: 1, Leader: "c.1"}, Seq: 9}
	m.Receive(0, "c:1", core.News{Part: core.ConfigurationPart, Upto: at, Entries: []partition.Entry{{Key: core.TableKey, Value: again, Version: at}}})
	if m.Counters.BadMessages != 0 || m.TableNumber() != 2 {
		t.Errorf("%d texts were found bad, table %d", m.Counters.BadMessages, m.TableNumber())
	}
}
