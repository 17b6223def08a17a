package allowance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestWindowRunsLong: a window never holds less than an exact one would, and
// forgets all in the end.
func TestWindowRunsLong(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	w := Window{Width: time.Minute}
	type one struct {
		at     time.Duration
		amount int64
	}
	var all []one
	now := time.Duration(0)
	for i := 0; i < 5000; i++ {
		now += time.Duration(random.Int64N(int64(time.Second)))
		amount := random.Int64N(10)
		w.Add(now, amount)
		all = append(all, one{now, amount})
		var exact, slack int64
		for _, a := range all {
			if a.at+w.Width > now {
				exact += a.amount
			}
			if a.at+w.Width+w.Width/SlotsPerWindow > now {
				slack += a.amount
			}
		}
		if sum := w.Sum(now); sum < exact || sum > slack {
			t.Fatalf("step %d: %d, exactly %d, with a slot's slack %d", i, sum, exact, slack)
		}
		if n := len(w.Slots); n > SlotsPerWindow+2 {
			t.Fatalf("%d slots", n)
		}
	}
	if w.Sum(now+2*w.Width) != 0 {
		t.Error("something is never forgotten")
	}
}

// TestUntil: who waits as long as told finds room, and not much sooner.
func TestUntil(t *testing.T) {
	w := Window{Width: time.Hour}
	for i := 0; i < 4; i++ {
		w.Add(time.Duration(i)*10*time.Minute, 1)
	}
	now := 35 * time.Minute
	wait := w.WaitTime(now, 1, 4)
	if w.Sum(now+wait-time.Second)+1 <= 4 || w.Sum(now+wait)+1 > 4 {
		t.Errorf("wait %v", wait)
	}
	if w.WaitTime(now, 1, 5) != 0 {
		t.Error("a wait where there is room")
	}
}

// TestEndedHolderStaysEnded: a late message of a holder whose books were
// closed must not make room.
func TestEndedHolderStaysEnded(t *testing.T) {
	l := Ledger{Windows: []Window{{Width: time.Hour}}}
	limits := []int64{100}
	if l.Grant(0, "a", 80, limits) != 80 {
		t.Fatal("not granted")
	}
	l.Report(0, "a", 30, 40)
	l.CloseAccount(0, "a")
	room := l.Available(0, limits)
	l.Report(0, "a", 30, 40)
	if l.Available(0, limits) != room {
		t.Errorf("a late message made %d of room into %d", room, l.Available(0, limits))
	}
	l.Grant(0, "b", 100, limits)
	if out := l.Outstanding(); out != room {
		t.Errorf("%d are out of %d", out, room)
	}
}

// TestDivision: parts come to no more than the whole, everybody that wants has
// one while there are enough, and room is kept for those who did not ask yet.
func TestDivision(t *testing.T) {
	for _, c := range []struct {
		wants   []int64
		holders int64
		whole   int64
	}{{[]int64{1}, 1, 10}, {[]int64{32, 32, 320}, 3, 48}, {[]int64{32}, 13, 48}, {[]int64{5, 5, 5, 5, 5}, 5, 3}, {[]int64{1000, 1}, 2, 2}} {
		var l Ledger
		names := []string{"a", "b", "c", "d", "e"}
		d := Division{Total: c.whole, Holders: c.holders, IdleDemand: 32}
		for i, w := range c.wants {
			l.SetDemand(names[i], w, d)
		}
		var sum, none int64
		for i, w := range c.wants {
			got := l.SetDemand(names[i], w, d)
			sum += got
			if got == 0 {
				none++
			}
		}
		if sum > c.whole || (none > 0 && int64(len(c.wants)) <= c.whole) {
			t.Errorf("%+v: %d given out, %d with none", c, sum, none)
		}
	}
}
