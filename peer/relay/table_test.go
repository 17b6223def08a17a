package relay

import (
	"testing"
	"time"

	"saffronfall/peer/desk"
	"saffronfall/rule/route"
)

// tableOf reads a table that a test made.
func tableOf(t *testing.T, number uint64) *route.Table {
	t.Helper()
	parsed, faults := route.Parse(tableJSON(number, nil))
	if faults != nil {
		t.Fatal(faults)
	}
	return parsed
}

// lastFollow is what the node says of its table to a desk.
func lastFollow(t *testing.T, o Output) desk.Follow {
	t.Helper()
	for _, s := range o.Sends {
		if f, ok := s.Body.(desk.Follow); ok {
			return f
		}
	}
	t.Fatal("nothing is asked of the desk")
	return desk.Follow{}
}

// TestNodeGoesByDifferences: they bring it forward, one by one; those that build
// on another table are passed over, and one that does not fit in content makes it
// ask for the whole.
func TestNodeAppliesTableDifferences(t *testing.T) {
	h := newHarness(t)
	digests := map[uint64]string{3: "three", 5: "five", 6: "six", 9: "nine"}
	step := func(from, to uint64) route.Difference {
		return route.Compare(tableOf(t, from), digests[from], tableOf(t, to), digests[to])
	}
	tell := func(b desk.Bulletin) {
		h.version++
		b.Life, b.Version, b.Confirmed, b.Nodes = "l", h.version, time.Millisecond, 1
		h.apply(h.m.Receive(h.now, "d1:1", b))
	}
	want := func(number uint64) {
		t.Helper()
		if h.m.TableNumber() != number {
			t.Fatalf("table %d is in force, want %d", h.m.TableNumber(), number)
		}
	}
	tell(desk.Bulletin{Number: 3, Digest: "three", Table: tableJSON(3, nil)})
	want(3)
	tell(desk.Bulletin{Number: 6, Digest: "six", Differences: []route.Difference{step(3, 5), step(5, 6)}})
	want(6)
	// Told again by another desk, and by one that is behind.
	tell(desk.Bulletin{Number: 6, Digest: "six", Differences: []route.Difference{step(3, 5), step(5, 6)}})
	tell(desk.Bulletin{Number: 5, Digest: "five", Differences: []route.Difference{step(3, 5)}})
	want(6)
	// One that builds on a table that this node never had.
	tell(desk.Bulletin{Number: 9, Digest: "nine", Differences: []route.Difference{step(5, 9)}})
	want(6)
	h.now += time.Second
	if f := lastFollow(t, h.m.Tick(h.now)); f.Table != 6 || !f.Differs {
		t.Fatalf("asked with %+v", f)
	}
	// The same number with another content: the whole is asked for.
	other := step(6, 9)
	other.BaseDigest = "another six"
	tell(desk.Bulletin{Number: 9, Digest: "nine", Differences: []route.Difference{other}})
	want(6)
	if f := lastFollow(t, h.m.Tick(h.now)); f.Table != 0 {
		t.Fatalf("asked with %+v", f)
	}
	tell(desk.Bulletin{Number: 9, Digest: "nine", Table: tableJSON(9, nil)})
	want(9)
	if h.m.Counters.BadDifferences != 1 {
		t.Errorf("%d bad differences counted", h.m.Counters.BadDifferences)
	}
}
