package core

import (
	"fmt"
	"testing"
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/partition"
)

func numberedTable(base, number uint64) AcceptTable {
	return AcceptTable{Base: base, Number: number, Text: fmt.Appendf(nil, `{"number":%d}`, number), Digest: fmt.Sprint("digest of ", number)}
}

// An operator may repeat an accepted order after hundreds of others.
func TestRepeatedTableOrder(t *testing.T) {
	single := newSingleCore(t)
	const orders = 400
	for number := uint64(1); number <= orders; number++ {
		if got := single.run(numberedTable(number-1, number)).(AcceptTableResult); !got.OK {
			t.Fatalf("order %d: %+v", number, got)
		}
	}
	for number := uint64(1); number <= orders; number += 7 {
		find := FindOrder{Base: number - 1, Number: number, Digest: numberedTable(0, number).Digest}
		if got := single.run(find).(AcceptTableResult); !got.OK || got.Number != number {
			t.Fatalf("accepted order %d not found: %+v", number, got)
		}
		for _, other := range []FindOrder{{Base: number, Number: number, Digest: find.Digest}, {Base: number - 1, Number: number, Digest: "another"}, {Base: orders, Number: orders + 1, Digest: "none"}} {
			if got := single.run(other).(AcceptTableResult); got.OK || got.Number != orders {
				t.Fatalf("order %+v was never accepted, but found: %+v", other, got)
			}
		}
		if got := single.run(numberedTable(number-1, number)).(AcceptTableResult); !got.OK || got.Number != number {
			t.Fatalf("order %d repeated: %+v", number, got)
		}
		other := numberedTable(number-1, number)
		other.Digest = "another"
		if got := single.run(other).(AcceptTableResult); got.OK {
			t.Fatalf("a different order under number %d was acknowledged", number)
		}
		otherBase := numberedTable(number, number)
		if got := single.run(otherBase).(AcceptTableResult); got.OK {
			t.Fatalf("order %d on another base was acknowledged", number)
		}
	}
	if got := single.run(ReadTable{}).(CurrentTable); got.Number != orders {
		t.Fatalf("table %d is in force", got.Number)
	}
}

func TestRepeatedConfigurationOrder(t *testing.T) {
	single := newSingleCore(t)
	const orders = 200
	for base := uint64(0); base < orders; base++ {
		if got := single.run(AcceptConfiguration{BasedOn: base, Text: []byte("{}"), Digest: fmt.Sprint(base)}).(AcceptConfigurationResult); !got.Accepted {
			t.Fatalf("order on %d: %+v", base, got)
		}
	}
	if got := single.run(AcceptConfiguration{BasedOn: 3, Text: []byte("{}"), Digest: "3"}).(AcceptConfigurationResult); !got.Accepted || got.Version != 4 {
		t.Fatalf("repeated order: %+v", got)
	}
	if got := single.run(AcceptConfiguration{BasedOn: 3, Text: []byte("{}"), Digest: "another"}).(AcceptConfigurationResult); got.Accepted {
		t.Fatal("a different order on the same base was acknowledged")
	}
}

func TestOrderRecordsExpire(t *testing.T) {
	const retention = 10 * time.Minute
	single := newSingleCore(t, func(p *Params) { p.OrderRetention = retention })
	size := func() int { return len(single.m.Partition(ConfigurationPartition).State().Entries[TableKey].Value) }
	single.run(numberedTable(0, 1))
	first := size()
	for number := uint64(2); number <= 60; number++ {
		single.run(numberedTable(number-1, number))
	}
	if size() > first+16 {
		t.Fatalf("the table's entry grew from %d to %d bytes", first, size())
	}
	records := func() int {
		n := 0
		for key, e := range single.m.Partition(ConfigurationPartition).State().Entries {
			if !e.Deleted && len(key) > len(acceptedPrefix) && key[:len(acceptedPrefix)] == acceptedPrefix {
				n++
			}
		}
		return n
	}
	if records() != 60 {
		t.Fatalf("%d records of 60 orders", records())
	}
	single.advance(retention - time.Minute)
	if records() != 60 {
		t.Fatalf("%d of 60 records are left before their retention ends", records())
	}
	single.advance(2 * time.Minute)
	if records() != 0 {
		t.Fatalf("%d records are left after their retention", records())
	}
}

// Orders in the list that an earlier release stored in the table's entry must still be
// acknowledged.
func TestOrdersOfEarlierRelease(t *testing.T) {
	founder := newSingleCore(t)
	founding := founder.m.Founding()
	stored := Stored{Incarnation: "1"}
	stored.Apply(Change{Founding: &founding})
	replica := stored.Replicas[ConfigurationPartition]
	version := partition.Version{Term: partition.Term{Round: 1, Leader: "c.1"}, Seq: 1}
	table := CurrentTable{Number: 7, Text: []byte(`{"number":7}`), Digest: "seven", Past: []PastTable{{Base: 0, Number: 4, Digest: "four"}, {Base: 4, Number: 7, Digest: "seven"}}}
	replica.Entries = map[string]partition.Entry{TableKey: {Key: TableKey, Value: message.Marshal(table), Version: version}}
	replica.Promised, replica.Base = version.Term, version.Term
	stored.Replicas[ConfigurationPartition] = replica
	single := &singleCore{t: t, results: map[uint64]CommandResult{}}
	single.m = New(Options{Params: founder.m.params, ID: "c", Address: "c", Stored: stored, Random: func() float64 { return 0.5 }})
	single.advance(3 * time.Second)
	checkAcknowledged := func() {
		t.Helper()
		for _, past := range table.Past {
			if got := single.run(AcceptTable{Base: past.Base, Number: past.Number, Digest: past.Digest}).(AcceptTableResult); !got.OK || got.Number != past.Number {
				t.Fatalf("order %d: %+v", past.Number, got)
			}
		}
	}
	checkAcknowledged()
	if got := single.run(numberedTable(7, 9)).(AcceptTableResult); !got.OK {
		t.Fatalf("the next order: %+v", got)
	}
	checkAcknowledged()
}
