package partition

import (
	"fmt"
	"testing"
	"time"
)

// carried counts the entries that messages carried since it was last asked.
func (b *bench) carrying(count *int) {
	lost := b.lost
	b.lost = func(from, to string, body any) bool {
		if from != to {
			switch m := body.(type) {
			case Promise:
				*count += len(m.Entries)
			case Write:
				*count += len(m.Entries)
			}
		}
		return lost(from, to, body)
	}
}

// TestTakeoverOfEqualCopiesCarriesNoEntries: where a majority's copies are alike,
// a new owner needs none of them sent, and all that was agreed is there.
func TestTakeoverOfEqualCopiesCarriesNoEntries(t *testing.T) {
	group := []string{"a", "b", "c"}
	b := newBench(t, group, group...)
	b.pass(500 * time.Millisecond)
	for i := 0; i < 50; i++ {
		b.run(b.owner(), put{fmt.Sprint("k", i), "v"})
	}
	b.run(b.owner(), put{"k7", ""})
	b.pass(100 * time.Millisecond)
	former := b.owner()
	var carried int
	b.carrying(&carried)
	b.take(former, b.seats[former].Leave(b.now))
	for end := b.now + time.Second; b.now < end && (b.owner() == "" || b.owner() == former); {
		b.pass(5 * time.Millisecond)
	}
	if b.owner() == former || b.owner() == "" {
		t.Fatalf("%q owns", b.owner())
	}
	if carried != 0 {
		t.Errorf("%d entries were carried", carried)
	}
	b.want("k49", "v")
	b.want("k7", "")
	b.run(b.owner(), put{"k50", "v"})
	// All copies are whole under the new term: another takeover keeps all.
	b.pass(300 * time.Millisecond)
	b.seats[former] = nil
	b.take(b.owner(), b.seats[b.owner()].Leave(b.now))
	b.pass(600 * time.Millisecond)
	b.want("k50", "v")
	b.want("k7", "")
}

// TestTakeoverOfUnequalCopies: one seat lacks a write that a majority has; whoever
// takes over, the write is there, and every seat ends with it.
func TestTakeoverOfUnequalCopies(t *testing.T) {
	group := []string{"a", "b", "c"}
	for _, lacking := range group {
		for _, dies := range []bool{false, true} {
			b := newBench(t, group, group...)
			b.pass(500 * time.Millisecond)
			former := b.owner()
			if lacking == former {
				continue
			}
			b.run(former, put{"k", "old"})
			b.pass(100 * time.Millisecond)
			b.lost = func(from, to string, body any) bool { _, write := body.(Write); return write && to == lacking }
			b.run(former, put{"k", "new"})
			b.run(former, put{"l", "new"})
			b.lost = func(string, string, any) bool { return false }
			if dies {
				b.seats[former] = nil
			} else {
				b.restart(former)
			}
			b.pass(time.Second)
			b.want("k", "new")
			b.want("l", "new")
			b.pass(time.Second)
			for _, s := range group {
				if m := b.seats[s]; m != nil && string(m.copy.Entries["k"].Value) != "new" {
					t.Errorf("%s lacked a write, former owner dead %v: %s ends with %q", lacking, dies, s, m.copy.Entries["k"].Value)
				}
			}
		}
	}
}

// TestRestampReachesALateSeat: a seat that promises late, with the same entries or
// with others, becomes whole.
func TestRestampReachesALateSeat(t *testing.T) {
	group := []string{"a", "b", "c"}
	for _, other := range []bool{false, true} {
		b := newBench(t, group, group...)
		b.pass(500 * time.Millisecond)
		former := b.owner()
		b.run(former, put{"k", "v"})
		b.pass(100 * time.Millisecond)
		late := "c"
		if former == "c" {
			late = "b"
		}
		b.lost = func(from, to string, body any) bool { return from == late || to == late }
		if other {
			b.run(former, put{"k", "w"})
		}
		b.restart(former)
		b.pass(60 * time.Millisecond)
		if b.owner() != former {
			t.Fatalf("%q owns", b.owner())
		}
		b.lost = func(string, string, any) bool { return false }
		b.pass(time.Second)
		want := map[bool]string{false: "v", true: "w"}[other]
		if got := string(b.seats[late].copy.Entries["k"].Value); got != want {
			t.Errorf("the late seat has %q and not %q", got, want)
		}
		if b.seats[late].sum != b.seats[former].sum {
			t.Errorf("the late seat's copy differs")
		}
	}
}
