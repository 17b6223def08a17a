package account

import (
	"fmt"
	"testing"
)

func TestBudget(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(a *Account) bool
		want  bool
	}{
		{"a turn within the budget", func(a *Account) bool { return a.Reserve("a", 100, 100) }, true},
		{"a turn beyond the budget", func(a *Account) bool { return a.Reserve("a", 101, 100) }, false},
		{"the second of two concurrent turns exceeds the budget", func(a *Account) bool { a.Reserve("a", 60, 100); return a.Reserve("b", 60, 100) }, false},
		{"the second turn fits after the first used little", func(a *Account) bool { a.Reserve("a", 60, 100); a.Settle("a", 10); return a.Reserve("b", 60, 100) }, true},
		{"a lost turn keeps its reservation", func(a *Account) bool { a.Reserve("lost", 60, 100); return a.Reserve("b", 41, 100) }, false},
		{"a repeated reservation counts once", func(a *Account) bool {
			a.Reserve("a", 60, 100)
			a.Reserve("a", 60, 100)
			return a.Reserve("b", 40, 100)
		}, true},
		{"a repeated settlement counts once", func(a *Account) bool {
			a.Reserve("a", 60, 100)
			a.Settle("a", 40)
			a.Settle("a", 40)
			return a.Reserve("b", 60, 100)
		}, true},
		{"a reservation after its settlement reserves nothing", func(a *Account) bool { a.Settle("a", 0); a.Reserve("a", 60, 100); return a.Reserve("b", 100, 100) }, true},
	} {
		if got := c.steps(&Account{}); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestEndedAttemptsAreBounded(t *testing.T) {
	var a Account
	for i := 0; i < 1000; i++ {
		id := fmt.Sprint(i)
		a.Reserve(id, 5, 1<<40)
		a.Settle(id, 3)
	}
	if a.Charged != 3000 || len(a.Running) != 0 || len(a.Ended) > maxEnded {
		t.Fatalf("charged %d, %d running, %d ended remembered", a.Charged, len(a.Running), len(a.Ended))
	}
}
