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
	parsed, faults := route.Parse(table(number, nil))
	if faults != nil {
		t.Fatal(faults)
	}
	return parsed
}

// lastFollow is what the node says of its table to a desk.
func lastFollow(t *testing.T, o Output) desk.Subscribe {
	t.Helper()
	for _, s := range o.Sends {
		if f, ok := s.Body.(desk.Subscribe); ok {
			return f
		}
	}
	t.Fatal("nothing is asked of the desk")
	return desk.Subscribe{}
}

// TestNodeGoesByDifferences: they bring it forward, one by one; those that build
// on another table are passed over, and one that does not fit in content makes it
// ask for the whole.
func TestNodeGoesByDifferences(t *testing.T) {
	g := newRig(t)
	digests := map[uint64]string{3: "three", 5: "five", 6: "six", 9: "nine"}
	step := func(from, to uint64) route.Difference {
		return route.Compare(tableOf(t, from), digests[from], tableOf(t, to), digests[to])
	}
	tell := func(b desk.Update) {
		g.version++
		b.Incarnation, b.Version, b.ConfirmationAge, b.NodeCount = "l", g.version, time.Millisecond, 1
		g.take(g.m.Receive(g.now, "d1:1", b))
	}
	want := func(number uint64) {
		t.Helper()
		if g.m.Number() != number {
			t.Fatalf("table %d is in force, want %d", g.m.Number(), number)
		}
	}
	tell(desk.Update{TableNumber: 3, TableDigest: "three", Table: table(3, nil)})
	want(3)
	tell(desk.Update{TableNumber: 6, TableDigest: "six", Differences: []route.Difference{step(3, 5), step(5, 6)}})
	want(6)
	// Told again by another desk, and by one that is behind.
	tell(desk.Update{TableNumber: 6, TableDigest: "six", Differences: []route.Difference{step(3, 5), step(5, 6)}})
	tell(desk.Update{TableNumber: 5, TableDigest: "five", Differences: []route.Difference{step(3, 5)}})
	want(6)
	// One that builds on a table that this node never had.
	tell(desk.Update{TableNumber: 9, TableDigest: "nine", Differences: []route.Difference{step(5, 9)}})
	want(6)
	g.now += time.Second
	if f := lastFollow(t, g.m.Tick(g.now)); f.Table != 6 || !f.AcceptsDifferences {
		t.Fatalf("asked with %+v", f)
	}
	// The same number with another content: the whole is asked for.
	other := step(6, 9)
	other.BaseDigest = "another six"
	tell(desk.Update{TableNumber: 9, TableDigest: "nine", Differences: []route.Difference{other}})
	want(6)
	if f := lastFollow(t, g.m.Tick(g.now)); f.Table != 0 {
		t.Fatalf("asked with %+v", f)
	}
	tell(desk.Update{TableNumber: 9, TableDigest: "nine", Table: table(9, nil)})
	want(9)
	if g.m.Counters.BadDifferences != 1 {
		t.Errorf("%d bad differences counted", g.m.Counters.BadDifferences)
	}
}
