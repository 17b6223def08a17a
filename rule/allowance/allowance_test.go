package allowance

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestWindowNeverUndercounts also checks that amounts leave the window.
func TestWindowNeverUndercounts(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	w := Window{Width: time.Minute}
	type addition struct {
		at     time.Duration
		amount int64
	}
	var all []addition
	now := time.Duration(0)
	for i := 0; i < 5000; i++ {
		now += time.Duration(random.Int64N(int64(time.Second)))
		amount := random.Int64N(10)
		w.Add(now, amount)
		all = append(all, addition{now, amount})
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
			t.Fatalf("step %d: sum %d, want between %d (exact) and %d (one slot longer)", i, sum, exact, slack)
		}
		if n := len(w.Slots); n > SlotsPerWindow+2 {
			t.Fatalf("%d slots", n)
		}
	}
	if w.Sum(now+2*w.Width) != 0 {
		t.Error("an amount never leaves the window")
	}
}

func TestWaitTime(t *testing.T) {
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
		t.Error("nonzero wait although the amount fits")
	}
}

// TestClosedAccountStaysClosed guards against a late report of a closed account freeing part of the
// allowance.
func TestClosedAccountStaysClosed(t *testing.T) {
	l := Ledger{Windows: []Window{{Width: time.Hour}}}
	limits := []int64{100}
	if l.Grant(0, "a", 80, limits) != 80 {
		t.Fatal("the share was not granted")
	}
	l.Report(0, "a", 30, 40)
	l.CloseAccount(0, "a")
	room := l.Available(0, limits)
	l.Report(0, "a", 30, 40)
	if l.Available(0, limits) != room {
		t.Errorf("a late report changed the available amount from %d to %d", room, l.Available(0, limits))
	}
	l.Grant(0, "b", 100, limits)
	if outstanding := l.Outstanding(); outstanding != room {
		t.Errorf("%d outstanding, want %d", outstanding, room)
	}
}

// TestDivision guards against shares above the total, and holders left without a share.
func TestDivision(t *testing.T) {
	for _, c := range []struct {
		demands []int64
		holders int64
		total   int64
	}{{[]int64{1}, 1, 10}, {[]int64{32, 32, 320}, 3, 48}, {[]int64{32}, 13, 48}, {[]int64{5, 5, 5, 5, 5}, 5, 3}, {[]int64{1000, 1}, 2, 2}} {
		var l Ledger
		names := []string{"a", "b", "c", "d", "e"}
		d := Division{Total: c.total, Holders: c.holders, IdleDemand: 32}
		for i, demand := range c.demands {
			l.SetDemand(names[i], demand, d)
		}
		var sum, none int64
		for i, demand := range c.demands {
			got := l.SetDemand(names[i], demand, d)
			sum += got
			if got == 0 {
				none++
			}
		}
		if sum > c.total || (none > 0 && int64(len(c.demands)) <= c.total) {
			t.Errorf("%+v: %d granted in total, %d holders without a share", c, sum, none)
		}
	}
}
