package relay

import (
	"strings"
	"testing"
	"time"

	"saffronfall/peer/registry"
	"saffronfall/rule/route"
)

func tableOf(t *testing.T, number uint64) *route.Table {
	t.Helper()
	parsed, faults := route.Parse(tableJSON(number, nil))
	if faults != nil {
		t.Fatal(faults)
	}
	return parsed
}

func lastSubscribe(t *testing.T, o Output) registry.Subscribe {
	t.Helper()
	for _, s := range o.Sends {
		if f, ok := s.Body.(registry.Subscribe); ok {
			return f
		}
	}
	t.Fatal("no request for updates was sent")
	return registry.Subscribe{}
}

// TestUnreadableTableIsReported guards against a table of a newer version that is dropped silently.
func TestUnreadableTableIsReported(t *testing.T) {
	h := newHarness(t)
	newer := strings.Replace(string(tableJSON(4, nil)), `"mode":"once"`, `"mode":"lazily"`, 1)
	send := func(number uint64, text string) Output {
		h.version++
		return h.node.Receive(h.now, "d1:1", registry.Update{Incarnation: "l", Version: h.version, TableNumber: number, Table: []byte(text), NodeCount: 1})
	}
	send(3, string(tableJSON(3, nil)))
	dropped := send(4, newer).UnreadableTable
	if dropped == nil || dropped.Number != 4 || dropped.Cause() != registry.CauseUnknownWord || dropped.Faults[0].Value != "lazily" {
		t.Errorf("reported %+v", dropped)
	}
	if count := h.node.Status(h.now)["tables_unreadable"]; count != 1 || h.node.TableNumber() != 3 {
		t.Errorf("%d unreadable tables, table %d", count, h.node.TableNumber())
	}
	if again := send(5, string(tableJSON(5, nil))).UnreadableTable; again != nil || h.node.TableNumber() != 5 {
		t.Errorf("reported %+v, table %d", again, h.node.TableNumber())
	}
}

// TestNodeAppliesTableDifferences: a difference to another base is ignored, and one whose base has
// other content makes the node ask for the full table.
func TestNodeAppliesTableDifferences(t *testing.T) {
	h := newHarness(t)
	digests := map[uint64]string{3: "three", 5: "five", 6: "six", 9: "nine"}
	step := func(from, to uint64) route.Difference {
		return route.Compare(tableOf(t, from), digests[from], tableOf(t, to), digests[to])
	}
	tell := func(b registry.Update) {
		h.version++
		b.Incarnation, b.Version, b.ConfirmationAge, b.NodeCount = "l", h.version, time.Millisecond, 1
		h.apply(h.node.Receive(h.now, "d1:1", b))
	}
	want := func(number uint64) {
		t.Helper()
		if h.node.TableNumber() != number {
			t.Fatalf("table %d is in force, want %d", h.node.TableNumber(), number)
		}
	}
	tell(registry.Update{TableNumber: 3, TableDigest: "three", Table: tableJSON(3, nil)})
	want(3)
	tell(registry.Update{TableNumber: 6, TableDigest: "six", Differences: []route.Difference{step(3, 5), step(5, 6)}})
	want(6)
	// The same differences from another registry, and from one that is behind.
	tell(registry.Update{TableNumber: 6, TableDigest: "six", Differences: []route.Difference{step(3, 5), step(5, 6)}})
	tell(registry.Update{TableNumber: 5, TableDigest: "five", Differences: []route.Difference{step(3, 5)}})
	want(6)
	// A difference to a table that this node does not have.
	tell(registry.Update{TableNumber: 9, TableDigest: "nine", Differences: []route.Difference{step(5, 9)}})
	want(6)
	h.now += time.Second
	if f := lastSubscribe(t, h.node.Tick(h.now)); f.Table != 6 || !f.AcceptsDifferences {
		t.Fatalf("request for updates %+v", f)
	}
	// The base has the same number but other content.
	other := step(6, 9)
	other.BaseDigest = "another six"
	tell(registry.Update{TableNumber: 9, TableDigest: "nine", Differences: []route.Difference{other}})
	want(6)
	if f := lastSubscribe(t, h.node.Tick(h.now)); f.Table != 0 {
		t.Fatalf("request for updates %+v", f)
	}
	tell(registry.Update{TableNumber: 9, TableDigest: "nine", Table: tableJSON(9, nil)})
	want(9)
	if h.node.Counters.BadDifferences != 1 {
		t.Errorf("%d bad differences counted", h.node.Counters.BadDifferences)
	}
}
