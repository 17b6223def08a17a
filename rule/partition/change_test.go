package partition

import (
	"fmt"
	"testing"
	"time"
)

// other is a seat of a group that does not own the part.
func (b *bench) other(than ...string) string {
	for _, s := range b.order {
		if b.seats[s] != nil && s != b.owner() && !holds(than, s) && b.seats[b.owner()].copy.Group.Has(s) {
			return s
		}
	}
	return ""
}

func (b *bench) change(add, remove string) uint64 {
	b.next++
	b.take(b.owner(), b.seats[b.owner()].Change(b.now, b.next, add, remove))
	b.settle()
	return b.next
}

// changed makes a change that must come about.
func (b *bench) changed(add, remove string) {
	b.t.Helper()
	ticket := b.change(add, remove)
	b.pass(300 * time.Millisecond)
	if r := b.got[ticket]; r.Body != true {
		b.t.Fatalf("+%s -%s: %+v", add, remove, r)
	}
}

// A seat that leaves and comes back under the same owner must not bring back
// what was removed meanwhile.
func TestReturningSeatBringsNothingBack(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	b.pass(300 * time.Millisecond)
	owner := b.owner()
	gone := b.other()
	b.run(owner, put{"old", "v"})
	b.changed("d", gone)
	b.run(owner, put{"old", ""})
	b.pass(time.Second)
	b.run(owner, put{"new", "v"})
	b.changed(gone, "d")
	if b.owner() != owner {
		t.Fatal("the owner changed")
	}
	if e, there := b.seats[gone].Copied().Entries["old"]; there && !e.Gone {
		t.Error("a removed entry is back in a copy")
	}
	b.seats[owner] = nil
	b.pass(time.Second)
	b.want("old", "")
	b.want("new", "v")
}

func TestChangeWithDeadNewcomerEnds(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c", "d", "e")
	b.pass(300 * time.Millisecond)
	b.run(b.owner(), put{"k", "v"})
	b.seats["d"] = nil
	gone := b.other()
	ticket := b.change("d", gone)
	if _, changing := b.seats[b.owner()].Changing(); !changing {
		t.Error("no change is under way")
	}
	b.pass(1200 * time.Millisecond)
	if r, ok := b.got[ticket]; !ok || r.Body != false {
		t.Errorf("the change ended as %+v, %v", r, ok)
	}
	b.changed("e", gone)
	b.want("k", "v")
	// One that is given up by whoever asked ends at once.
	ticket = b.change("d", "e")
	b.take(b.owner(), b.seats[b.owner()].GiveUp(b.now))
	if r, ok := b.got[ticket]; !ok || r.Body != false {
		t.Errorf("given up: %+v, %v", r, ok)
	}
	b.changed(gone, "e")
	b.want("k", "v")
}

// A newcomer that dies while old and new group must agree leaves two majorities,
// with which the next owner serves, ends the change and makes another.
func TestJointGroupWithDeadNewcomerServes(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c", "d", "e")
	b.pass(300 * time.Millisecond)
	b.run(b.owner(), put{"k", "v"})
	first := b.owner()
	gone := b.other()
	b.lost = func(from, to string, body any) bool {
		w, write := body.(Write)
		return write && len(w.Group.Former) == 0 && w.Group.Epoch > 2
	}
	b.change("d", gone)
	b.pass(20 * time.Millisecond)
	if g, _ := b.seats[first].Agreed(); len(g.Former) == 0 {
		t.Fatalf("not joint: %+v", g)
	}
	b.lost = func(string, string, any) bool { return false }
	b.seats["d"] = nil
	b.pass(500 * time.Millisecond)
	if g, ok := b.seats[b.owner()].Agreed(); !ok || len(g.Former) > 0 || !holds(g.Seats, "d") {
		t.Fatalf("%+v", g)
	}
	b.want("k", "v")
	b.changed("e", "d")
	b.want("k", "v")

	b.lost = func(from, to string, body any) bool {
		w, write := body.(Write)
		return write && len(w.Group.Former) == 0 && holds(w.Group.Seats, gone)
	}
	first = b.owner()
	b.change(gone, "e")
	b.pass(20 * time.Millisecond)
	b.lost = func(string, string, any) bool { return false }
	b.seats[first] = nil
	b.pass(800 * time.Millisecond)
	g, ok := b.seats[b.owner()].Agreed()
	if !ok || len(g.Former) > 0 || !holds(g.Seats, gone) {
		t.Fatalf("after the owner's death: %+v", g)
	}
	b.want("k", "v")
	b.changed("e", first)
	b.want("k", "v")
}

// A newcomer that once promised somebody else a later term must not be refused
// for ever.
func TestNewcomerWithLaterPromise(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	b.pass(300 * time.Millisecond)
	b.run(b.owner(), put{"k", "v"})
	b.seats["d"].record(Record{Promised: Term{Round: 50, Owner: "x"}})
	gone := b.other()
	for i := 0; i < 5; i++ {
		ticket := b.change("d", gone)
		b.pass(300 * time.Millisecond)
		if r := b.got[ticket]; r.Body == true {
			b.want("k", "v")
			return
		}
	}
	t.Errorf("%+v", b.seats[b.owner()].Group())
}

// Writes that never pause must not keep a slow newcomer out.
func TestChangeUnderLoad(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	b.pass(300 * time.Millisecond)
	owner, gone := b.owner(), b.other()
	// What goes to the newcomer and comes from it takes a step longer.
	var late []parcel
	b.lost = func(from, to string, body any) bool {
		if to == "d" || from == "d" {
			late = append(late, parcel{from, to, body})
			return true
		}
		return false
	}
	ticket := b.change("d", gone)
	for i := 0; i < 200; i++ {
		if r, ok := b.got[ticket]; ok {
			if r.Body != true {
				t.Fatalf("%+v", r)
			}
			if i > 60 {
				t.Errorf("it took %d steps", i)
			}
			return
		}
		b.now += 5 * time.Millisecond
		ready := late
		late = nil
		b.next++
		b.take(owner, b.seats[owner].Propose(b.now, b.next, put{fmt.Sprint("k", i), "v"}))
		b.settle()
		for _, p := range ready {
			b.take(p.to, b.seats[p.to].Receive(b.now, p.from, p.body))
		}
		b.next++
		b.take(owner, b.seats[owner].Propose(b.now, b.next, put{fmt.Sprint("l", i), "v"}))
		b.settle()
		for _, s := range b.order {
			b.take(s, b.seats[s].Tick(b.now))
			b.settle()
		}
	}
	t.Error("the newcomer never came in")
}

// An owner that is no seat of its group any more hands the part to one.
func TestOwnerThatLeavesItsGroupHandsOver(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	b.pass(300 * time.Millisecond)
	b.run(b.owner(), put{"k", "v"})
	first := b.owner()
	b.changed("d", first)
	b.pass(50 * time.Millisecond)
	if b.owner() == first || b.owner() == "" {
		t.Errorf("%q owns the part", b.owner())
	}
	b.want("k", "v")
	if g := b.seats[first].Group(); g.Has(first) {
		t.Errorf("the former owner thinks it is a seat: %+v", g)
	}
}

// A change keeps the places of the others, asked again does nothing more, and
// the order can be changed by itself.
func TestPlacesInGroup(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	b.pass(300 * time.Millisecond)
	b.changed("d", "b")
	b.changed("d", "b")
	if g, _ := b.seats[b.owner()].Agreed(); fmt.Sprint(g.Seats) != "[a d c]" {
		t.Errorf("%v", g.Seats)
	}
	b.take(b.owner(), b.seats[b.owner()].Order(b.now, []string{"c", "a", "d"}))
	b.settle()
	if g, _ := b.seats[b.owner()].Agreed(); fmt.Sprint(g.Seats) != "[c a d]" {
		t.Errorf("%v", g.Seats)
	}
}

// Seats that take writes are not renewed besides.
func TestWritesRenew(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
	b.pass(300 * time.Millisecond)
	owner := b.owner()
	renews := 0
	b.lost = func(from, to string, body any) bool {
		if _, ok := body.(Renew); ok {
			renews++
		}
		return false
	}
	for i := 0; i < 200; i++ {
		b.run(owner, put{"k", fmt.Sprint(i)})
		b.pass(5 * time.Millisecond)
	}
	// Only sweeps renew: one of all three every four terms.
	if renews > 3*4 {
		t.Errorf("%d renewals in ten terms full of writes", renews)
	}
	if b.owner() != owner {
		t.Error("the owner changed")
	}
}

// A copy that differs from the owner's is found by the sweep and made whole.
func TestSweepFindsDifferentCopy(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
	b.pass(300 * time.Millisecond)
	for i := 0; i < 10; i++ {
		b.run(b.owner(), put{fmt.Sprint(i), "v"})
	}
	b.run(b.owner(), put{"3", ""})
	seat := b.other()
	held, _ := b.seats[b.owner()].Owns(b.now)
	b.seats[seat].record(Record{Entries: []Entry{{Key: "stray", Value: []byte("x"), Stamp: Stamp{Term: held, Seq: 2}}}})
	b.pass(time.Second)
	if _, there := b.seats[seat].Copied().Entries["stray"]; there {
		t.Error("a stray entry stays")
	}
	mended := b.seats[b.owner()].Counters.Mended
	b.pass(2 * time.Second)
	if got := b.seats[b.owner()].Counters.Mended; got != mended {
		t.Errorf("%d copies mended at rest", got-mended)
	}
	if got := b.seats[seat].digestKey.sum(b.seats[seat].copy.Entries); got != b.seats[seat].sum {
		t.Error("the running digest is not that of the copy")
	}
}

// Seats that all stand at the same moment, again and again, must get an owner.
func TestAllStandAtOnce(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
	for i := 0; i < 100; i++ {
		b.now += 5 * time.Millisecond
		if b.now == 100*time.Millisecond {
			for _, s := range b.order {
				b.seats[s].standAt = b.now
			}
		}
		if b.now < 100*time.Millisecond {
			continue
		}
		for _, s := range b.order {
			b.take(s, b.seats[s].Tick(b.now))
		}
		b.settle()
		if b.owner() != "" {
			return
		}
	}
	t.Error("no owner")
}

// What is sent whole while writes wait must not differ from what is written.
func TestFillWhileWritesWait(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
	b.pass(300 * time.Millisecond)
	owner, behind := b.owner(), b.other()
	b.run(owner, put{"k", "0"})
	held := true
	var kept []parcel
	b.lost = func(from, to string, body any) bool {
		_, taken := body.(Taken)
		if taken && held {
			kept = append(kept, parcel{from, to, body})
		}
		return taken && held
	}
	b.run(owner, put{"x", "1"})
	b.run(owner, put{"k", "1"})
	// The seat behind says that it has nothing, while a write is on its way and
	// another waits for it.
	term, _ := b.seats[owner].Owns(b.now)
	b.seats[behind].whole = 0
	b.take(owner, b.seats[owner].Receive(b.now, behind, Renewed{Term: term, Sent: b.now}))
	b.settle()
	b.run(owner, put{"k", "2"})
	held = false
	b.box = append(b.box, kept...)
	b.settle()
	b.pass(300 * time.Millisecond)
	if e := b.seats[behind].Copied().Entries["k"]; string(e.Value) != "2" {
		t.Errorf("k is %q in the copy", e.Value)
	}
	b.seats[owner] = nil
	b.pass(600 * time.Millisecond)
	b.want("k", "2")
	b.want("x", "1")
}

// TestInheritedChangeComesFirst: a leader that took over in the middle of a change
// ends that one first. Another change, asked for meanwhile, is not begun before the
// group without former members is agreed: no write names its newcomer until then.
func TestInheritedChangeComesFirst(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c", "d", "e")
	b.pass(300 * time.Millisecond)
	b.run(b.owner(), put{"k", "v"})
	first, gone := b.owner(), b.other()
	agreeable, early := false, 0
	b.lost = func(from, to string, body any) bool {
		w, write := body.(Write)
		if write && !agreeable && w.Group.Has("e") {
			early++
		}
		return write && !agreeable && len(w.Group.Former) == 0 && w.Group.Epoch > 2
	}
	b.change("d", gone)
	b.pass(20 * time.Millisecond)
	b.seats[first] = nil
	b.pass(500 * time.Millisecond)
	leader := b.owner()
	if leader == "" || leader == first {
		t.Fatalf("%q leads", leader)
	}
	if g, ok := b.seats[leader].Agreed(); !ok || len(g.Former) == 0 {
		t.Fatalf("the change was not inherited: %+v", g)
	}
	ticket := b.change("e", first)
	b.pass(200 * time.Millisecond)
	if r, ok := b.got[ticket]; early > 0 || ok && r.Body != false {
		t.Errorf("begun before the first change was done: %d writes, answered %+v", early, r)
	}
	agreeable = true
	b.pass(500 * time.Millisecond)
	b.want("k", "v")
	if g, ok := b.seats[b.owner()].Agreed(); !ok || len(g.Former) > 0 || !holds(g.Seats, "d") {
		t.Errorf("after both: %+v", g)
	}
}
