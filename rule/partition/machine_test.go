package partition

import (
	"fmt"
	"testing"
	"time"
)

type put struct{ key, value string }
type get struct{ key string }

type registers struct{}

func (registers) Seated(time.Duration, *Tx) {}
func (registers) Apply(now time.Duration, tx *Tx, command any) any {
	switch c := command.(type) {
	case put:
		if c.value == "" {
			tx.Remove(c.key)
		} else {
			tx.Put(c.key, []byte(c.value))
		}
	case get:
		raw, _ := tx.Get(c.key)
		return string(raw)
	}
	return nil
}

// bench is a group on a table: messages are carried by hand, so that a test
// says which arrive.
type bench struct {
	t     *testing.T
	now   time.Duration
	seats map[string]*Machine
	order []string
	box   []parcel
	lost  func(from, to string, body any) bool
	got   map[uint64]Return
	next  uint64
}

type parcel struct {
	from, to string
	body     any
}

func newBench(t *testing.T, group []string, all ...string) *bench {
	b := &bench{t: t, seats: map[string]*Machine{}, got: map[uint64]Return{}, lost: func(string, string, any) bool { return false }, order: all}
	for i, s := range all {
		c := Copy{}
		if holds(group, s) {
			c.Group = Group{Epoch: 1, Seats: group}
		}
		b.seats[s] = New(Options{Params: Params{OwnerTerm: 100 * time.Millisecond, Drift: 0.1, Renewals: 5, Sweeps: 4}, Seat: s, Rules: registers{}, Copy: c,
			Random: func() float64 { return float64(i) / float64(len(all)) }})
	}
	return b
}

func (b *bench) take(from string, o Output) {
	for _, s := range o.Sends {
		// A candidate's own promise must be on its disk before it asks for
		// others', or its next life could own the part under the same term.
		if stand, ok := s.Body.(Stand); ok && !stand.Ask && s.To != from && (!s.Synced || b.seats[from].copy.Promised != stand.Term) {
			b.t.Errorf("%s stands for %v with no durable promise of its own", from, stand.Term)
		}
		b.box = append(b.box, parcel{from, s.To, s.Body})
	}
	for _, r := range o.Returns {
		b.got[r.Ticket] = r
	}
}

func (b *bench) settle() {
	for len(b.box) > 0 {
		p := b.box[0]
		b.box = b.box[1:]
		if m := b.seats[p.to]; m != nil && !b.lost(p.from, p.to, p.body) {
			b.take(p.to, m.Receive(b.now, p.from, p.body))
		}
	}
}

func (b *bench) pass(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now += 5 * time.Millisecond
		for _, s := range b.order {
			if m := b.seats[s]; m != nil {
				b.take(s, m.Tick(b.now))
			}
			b.settle()
		}
	}
}

func (b *bench) owner() string {
	for _, s := range b.order {
		if m := b.seats[s]; m != nil {
			if _, ok := m.Owns(b.now); ok {
				return s
			}
		}
	}
	return ""
}

func (b *bench) run(seat string, command any) Return {
	b.next++
	b.take(seat, b.seats[seat].Propose(b.now, b.next, command))
	b.settle()
	if r, ok := b.got[b.next]; ok {
		return r
	}
	return Return{Unsure: true}
}

func (b *bench) want(key, value string) {
	b.t.Helper()
	if r := b.run(b.owner(), get{key}); r.Body != value {
		b.t.Errorf("%s is %v, want %q", key, r.Body, value)
	}
}

func TestOwnerChangeKeepsWhatWasAgreed(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
	b.pass(300 * time.Millisecond)
	first := b.owner()
	for i := 0; i < 5; i++ {
		if r := b.run(first, put{fmt.Sprint(i), "x"}); r.Unsure || r.Moved {
			t.Fatalf("write %d: %+v", i, r)
		}
	}
	b.seats[first] = nil
	b.pass(500 * time.Millisecond)
	if b.owner() == "" || b.owner() == first {
		t.Fatalf("owner after the loss of %s: %q", first, b.owner())
	}
	for i := 0; i < 5; i++ {
		b.want(fmt.Sprint(i), "x")
	}
}

// A write that one seat took and that no owner ever agreed must not come back
// when a later owner, who never saw it, has served without it.
func TestLeftOverWriteStaysGone(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
	b.pass(300 * time.Millisecond)
	first := b.owner()
	b.lost = func(from, to string, body any) bool { return from == first && to != first }
	if r := b.run(first, put{"ghost", "boo"}); !r.Unsure {
		t.Fatal("a write without a majority was answered")
	}
	holder := b.seats[first]
	b.seats[first] = nil
	b.lost = func(string, string, any) bool { return false }
	b.pass(500 * time.Millisecond)
	second := b.owner()
	b.want("ghost", "")
	// The seat with the leftover returns and the owner that never saw it goes.
	b.seats[first] = New(Options{Params: holder.params, Seat: first, Rules: registers{}, Copy: holder.copy, Now: b.now, Random: func() float64 { return 0 }})
	b.lost = func(from, to string, body any) bool { return to == first }
	b.seats[second] = nil
	b.lost = func(string, string, any) bool { return false }
	b.pass(800 * time.Millisecond)
	if b.owner() == "" {
		t.Fatal("no owner")
	}
	b.want("ghost", "")
}

func TestSeatWithoutPlaceNeverVotes(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c", "b2")
	b.pass(300 * time.Millisecond)
	b.run(b.owner(), put{"k", "v"})
	// b lost its disk and is back as b2, a new seat; c is down.
	b.seats["b"], b.seats["c"] = nil, nil
	o := b.seats["b2"].Receive(b.now, "a", Stand{Term: Term{Round: 99, Owner: "a"}, Group: Group{Epoch: 1, Seats: []string{"a", "b", "c"}}})
	if len(o.Sends) > 0 || len(o.Records) > 0 {
		t.Errorf("a seat outside the group answered: %+v", o)
	}
	b.pass(600 * time.Millisecond)
	if b.owner() != "" {
		t.Errorf("%s owns the part with one of three seats", b.owner())
	}
}

func TestFrozenOwnerRefusesAfterItsTerm(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
	b.pass(300 * time.Millisecond)
	first := b.owner()
	frozen := b.seats[first]
	b.seats[first] = nil
	b.pass(500 * time.Millisecond)
	second := b.owner()
	b.run(second, put{"k", "new"})
	o := frozen.Propose(b.now, 77, get{"k"})
	if len(o.Returns) != 1 || !o.Returns[0].Moved {
		t.Errorf("a woken owner answered: %+v", o.Returns)
	}
}

// A write of an owner whose term is over must not count, even for an entry
// that nobody else ever wrote.
func TestLateWriteOfOldTermRefused(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
	b.pass(300 * time.Millisecond)
	first := b.owner()
	old, _ := b.seats[first].Owns(b.now)
	b.seats[first] = nil
	b.pass(500 * time.Millisecond)
	second := b.owner()
	o := b.seats[second].Receive(b.now, first, Write{Term: old, Seq: 9, Group: b.seats[second].copy.Group, Entries: []Entry{{Key: "late", Value: []byte("x"), Stamp: Stamp{Term: old, Seq: 9}}}})
	if _, refused := o.Sends[0].Body.(Refuse); !refused || len(o.Records) > 0 {
		t.Errorf("taken: %+v", o)
	}
	b.want("late", "")
}

func TestRestartedSeatKeepsItsPromise(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
	b.pass(300 * time.Millisecond)
	first := b.owner()
	for _, s := range b.order {
		if s != first {
			b.seats[s] = New(Options{Params: b.seats[s].params, Seat: s, Rules: registers{}, Copy: b.seats[s].copy, Now: b.now, Random: func() float64 { return 0 }})
		}
	}
	other := "a"
	if first == "a" {
		other = "b"
	}
	o := b.seats[other].Receive(b.now, "x", Stand{Term: Term{Round: 50, Owner: other + "'"}, Group: b.seats[other].copy.Group})
	if r, ok := o.Sends[0].Body.(Refuse); !ok || r.Wait <= 0 {
		t.Errorf("a restarted seat may have renewed an owner's hold and must wait: %+v", o.Sends)
	}
}

func TestGroupChange(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c", "d")
	b.pass(300 * time.Millisecond)
	for i := 0; i < 20; i++ {
		b.run(b.owner(), put{fmt.Sprint(i), "x"})
	}
	gone := "c"
	if b.owner() == "c" {
		gone = "b"
	}
	b.seats[gone] = nil
	b.take(b.owner(), b.seats[b.owner()].Change(b.now, 1000, "d", gone))
	b.pass(300 * time.Millisecond)
	if r := b.got[1000]; r.Body != true {
		t.Fatalf("change: %+v", r)
	}
	if g := b.seats["d"].Group(); !same(g.Seats, b.seats[b.owner()].Group().Seats) || g.Has(gone) || len(g.Former) > 0 {
		t.Fatalf("group: %+v", g)
	}
	for i := 0; i < 20; i++ {
		if e := b.seats["d"].Copied().Entries[fmt.Sprint(i)]; string(e.Value) != "x" {
			t.Errorf("the new seat lacks %d", i)
		}
	}
	// The new seat counts: with one of the old ones gone too it makes a majority.
	b.seats[b.owner()] = nil
	b.pass(600 * time.Millisecond)
	if b.owner() == "" {
		t.Fatal("no owner after the change")
	}
	b.want("7", "x")
}

func TestMendsAndDropsMarks(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
	b.pass(300 * time.Millisecond)
	behind := "c"
	if b.owner() == "c" {
		behind = "b"
	}
	b.lost = func(from, to string, body any) bool { _, write := body.(Write); return write && to == behind }
	b.run(b.owner(), put{"k", "v"})
	b.run(b.owner(), put{"gone", "v"})
	b.run(b.owner(), put{"gone", ""})
	b.lost = func(string, string, any) bool { return false }
	b.pass(100 * time.Millisecond)
	if e := b.seats[behind].Copied().Entries["k"]; string(e.Value) != "v" {
		t.Error("an old copy was not mended")
	}
	b.pass(2 * time.Second)
	for _, s := range b.order {
		if _, there := b.seats[s].Copied().Entries["gone"]; there {
			t.Errorf("%s still keeps the mark of a removal", s)
		}
	}
}
