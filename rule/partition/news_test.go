package partition

import (
	"testing"
	"time"
)

// TestNewsWhileAWriteIsUnderWay wants news to have what is agreed, and not to
// leave it out while a newer value of the same entry is not agreed yet: whoever
// gets it goes by the stamp that it is told up to.
func TestNewsWhileAWriteIsUnderWay(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
	b.pass(300 * time.Millisecond)
	owner := b.seats[b.owner()]
	told := func() string {
		upto, _ := owner.Committed()
		news := owner.News(Stamp{}, []string{"table"})
		if len(news) == 0 {
			return ""
		}
		if upto.Less(news[0].Stamp) {
			t.Errorf("news up to %v have %+v", upto, news[0])
		}
		return string(news[0].Value)
	}
	b.run(b.owner(), put{"table", "one"})
	b.run(b.owner(), put{"table", "two"})
	if got := told(); got != "two" {
		t.Errorf("the news are %q, want what is agreed: two", got)
	}
	b.lost = func(from, to string, body any) bool { return true }
	b.run(b.owner(), put{"table", "three"})
	if got := told(); got != "two" {
		t.Errorf("the news are %q while three is under way, want two", got)
	}
	b.run(b.owner(), put{"table", "four"})
	if got := told(); got != "two" {
		t.Errorf("the news are %q while three is under way and four waits, want two", got)
	}
	b.lost = func(from, to string, body any) bool {
		w, ok := body.(Write)
		return ok && w.Seq > owner.owning.flight.seq
	}
	b.pass(30 * time.Millisecond)
	if got := told(); got != "four" {
		t.Errorf("the news are %q once all is agreed, want four", got)
	}
	b.run(b.owner(), put{"table", ""})
	b.run(b.owner(), put{"fresh", "x"})
	if n := len(owner.owning.superseded); n != 0 {
		t.Errorf("%d former values are kept once all is agreed", n)
	}
}

// TestNewsBetweenTwoWrites wants the value of a write that was just agreed to be
// told while the next one of the same entry, which had waited for it, is under
// way.
func TestNewsBetweenTwoWrites(t *testing.T) {
	b := newBench(t, []string{"a", "b", "c"}, "a", "b", "c")
	b.pass(300 * time.Millisecond)
	owner := b.seats[b.owner()]
	b.run(b.owner(), put{"table", "one"})
	b.lost = func(from, to string, body any) bool { _, ok := body.(Write); return ok }
	b.run(b.owner(), put{"table", "two"})
	b.run(b.owner(), put{"table", "three"})
	two := owner.owning.flight.seq
	b.lost = func(from, to string, body any) bool {
		w, ok := body.(Write)
		return ok && w.Seq > two
	}
	for i := 0; i < 20 && owner.owning.committed < two; i++ {
		b.pass(5 * time.Millisecond)
	}
	news := owner.News(Stamp{}, []string{"table"})
	if len(news) != 1 || string(news[0].Value) != "two" {
		t.Errorf("the news are %v, want two", news)
	}
}
