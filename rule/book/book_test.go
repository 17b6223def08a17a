package book

import (
	"fmt"
	"testing"
)

func TestBudget(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(b *Book) bool
		want  bool
	}{
		{"a turn within the budget", func(b *Book) bool { return b.Reserve("a", 100, 100) }, true},
		{"a turn beyond the budget", func(b *Book) bool { return b.Reserve("a", 101, 100) }, false},
		{"the second of two concurrent turns exceeds the budget", func(b *Book) bool { b.Reserve("a", 60, 100); return b.Reserve("b", 60, 100) }, false},
		{"the second turn fits after the first used little", func(b *Book) bool { b.Reserve("a", 60, 100); b.Settle("a", 10); return b.Reserve("b", 60, 100) }, true},
		{"a lost turn keeps its reservation", func(b *Book) bool { b.Reserve("lost", 60, 100); return b.Reserve("b", 41, 100) }, false},
		{"a repeated reservation counts once", func(b *Book) bool { b.Reserve("a", 60, 100); b.Reserve("a", 60, 100); return b.Reserve("b", 40, 100) }, true},
		{"a repeated settlement counts once", func(b *Book) bool {
			b.Reserve("a", 60, 100)
			b.Settle("a", 40)
			b.Settle("a", 40)
			return b.Reserve("b", 60, 100)
		}, true},
		{"a reservation after its settlement reserves nothing", func(b *Book) bool { b.Settle("a", 0); b.Reserve("a", 60, 100); return b.Reserve("b", 100, 100) }, true},
	} {
		if got := c.steps(&Book{}); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestEndedAttemptsAreBounded(t *testing.T) {
	var b Book
	for i := 0; i < 1000; i++ {
		id := fmt.Sprint(i)
		b.Reserve(id, 5, 1<<40)
		b.Settle(id, 3)
	}
	if b.Charged != 3000 || len(b.Running) != 0 || len(b.Ended) > maxEnded {
		t.Fatalf("charged %d, %d running, %d ended remembered", b.Charged, len(b.Running), len(b.Ended))
	}
}
