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
func TestNodeGoesByDifferences(t *testing.T) {
	g := newRig(t)
	digests := map[uint64]string{3: "three", 5: "five", 6: "six", 9: "nine"}
	step := func(from, to uint64) route.Difference {
		return route.Compare(tableOf(t, from), digests[from], tableOf(t, to), digests[to])
	}
	tell := func(b desk.Bulletin) {
		g.version++
		b.Life, b.Version, b.Confirmed, b.Nodes = "l", g.version, time.Millisecond, 1
		g.take(g.m.Receive(g.now, "d1:1", b))
	}
	want := func(number uint64) {
		t.Helper()
		if g.m.Number() != number {
			t.Fatalf("table %d is in force, want %d", g.m.Number(), number)
		}
	}
	tell(desk.Bulletin{Number: 3, Digest: "three", Table: table(3, nil)})
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
	g.now += time.Second
	if f := lastFollow(t, g.m.Tick(g.now)); f.Table != 6 || !f.Differs {
		t.Fatalf("asked with %+v", f)
	}
	// The same number with another content: the whole is asked for.
	other := step(6, 9)
	other.BaseDigest = "another six"
	tell(desk.Bulletin{Number: 9, Digest: "nine", Differences: []route.Difference{other}})
	want(6)
	if f := lastFollow(t, g.m.Tick(g.now)); f.Table != 0 {
		t.Fatalf("asked with %+v", f)
	}
	tell(desk.Bulletin{Number: 9, Digest: "nine", Table: table(9, nil)})
	want(9)
	if g.m.Counters.BadDifferences != 1 {
		t.Errorf("%d bad differences counted", g.m.Counters.BadDifferences)
	}
}
