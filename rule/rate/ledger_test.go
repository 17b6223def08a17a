package rate

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// holder spends as a node does: only what it was granted, and only while its
// term, counted from the sending of its last answered draw, lasts.
type holder struct {
	name                     string
	births                   int
	granted, spent, returned int64
	until                    time.Duration
	recent                   []time.Duration
}

type message struct {
	at     time.Duration
	holder int
	births int
	sent   time.Duration
	draw   Draw
}

type answer struct {
	at     time.Duration
	holder int
	births int
	sent   time.Duration
	drawn  Drawn
}

// TestNoWindowEverHoldsMore lets holders draw over a network that loses, delays
// and repeats, and die, and counts what was really spent in every window.
func TestNoWindowEverHoldsMore(t *testing.T) {
	const window, term, step = 5 * time.Second, 2500 * time.Millisecond, 10 * time.Millisecond
	for seed := uint64(0); seed < 40; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		limit := Limit{Window: window, Most: int64(5 + random.IntN(200))}
		ledger := Open(0, Reserve{}, term)
		holders := make([]holder, 1+random.IntN(6))
		for i := range holders {
			holders[i].name = fmt.Sprint("n", i)
		}
		var draws []message
		var answers []answer
		var spends []time.Duration
		var lasting Reserve
		for now := time.Duration(0); now < 40*time.Second; now += step {
			if random.IntN(1000) == 0 {
				// Another takes the part over: it knows only what lasts.
				ledger = Open(now, lasting, term)
			}
			for i := range holders {
				h := &holders[i]
				if random.IntN(3000) == 0 {
					// It dies: what it holds is known to nobody.
					*h = holder{name: h.name, births: h.births + 1}
				}
				if now >= h.until && h.granted > 0 {
					*h = holder{name: h.name, births: h.births + 1}
				}
				if now < h.until && h.granted-h.spent-h.returned > 0 && random.IntN(2) == 0 {
					h.spent++
					h.recent = append(h.recent, now)
					spends = append(spends, now)
				}
				if random.IntN(20) == 0 {
					if free := h.granted - h.spent - h.returned; free > 3 && random.IntN(4) == 0 {
						h.returned += free / 2
					}
					d := Draw{Holder: fmt.Sprint(h.name, "+", h.births), Granted: h.granted, Spent: h.spent, Returned: h.returned, Want: int64(random.IntN(40)), Limit: limit, Term: term}
					d.Ahead = int64(random.IntN(int(d.Want) + 1))
					for _, at := range h.recent {
						d.Recent = append(d.Recent, Spend{Age: now - at, Count: 1})
					}
					for copies := random.IntN(3); copies > 0; copies-- {
						draws = append(draws, message{at: now + time.Duration(random.IntN(600))*time.Millisecond, holder: i, births: h.births, sent: now, draw: d})
					}
				}
			}
			var later []message
			for _, d := range draws {
				if d.at > now {
					later = append(later, d)
					continue
				}
				drawn, changed := ledger.Take(now, d.draw)
				if changed {
					lasting = ledger.Reserve
				}
				if random.IntN(5) > 0 {
					answers = append(answers, answer{at: now + time.Duration(random.IntN(600))*time.Millisecond, holder: d.holder, births: d.births, sent: d.sent, drawn: drawn})
				}
			}
			draws = later
			var waiting []answer
			for _, a := range answers {
				h := &holders[a.holder]
				if a.at > now {
					waiting = append(waiting, a)
				} else if h.births == a.births && a.drawn.Expired {
					*h = holder{name: h.name, births: h.births + 1}
				} else if h.births == a.births && h.granted > 0 && now >= h.until {
					// What it had ended before the answer came.
					*h = holder{name: h.name, births: h.births + 1}
				} else if h.births == a.births {
					h.granted, h.until = max(h.granted, a.drawn.Granted), max(h.until, a.sent+term)
				}
			}
			answers = waiting
		}
		sort.Slice(spends, func(i, j int) bool { return spends[i] < spends[j] })
		if int64(len(spends)) < limit.Most {
			t.Errorf("seed %d: only %d of a window's %d were spent in all", seed, len(spends), limit.Most)
		}
		first := 0
		for last, at := range spends {
			for spends[first] <= at-window {
				first++
			}
			if n := int64(last - first + 1); n > limit.Most {
				t.Fatalf("seed %d: %d spent in the window up to %v; the limit is %d", seed, n, at, limit.Most)
			}
		}
	}
}

// TestNothingIsHeldBeforehandWhereTight: what is wanted beforehand is granted while the
// window has plenty, and what is needed as long as it has room.
func TestNothingIsHeldBeforehandWhereTight(t *testing.T) {
	l := Open(0, Reserve{}, time.Second)
	limit := Limit{Window: 5 * time.Second, Most: 100}
	draw := func(holder string, want, beforehand int64) Drawn {
		got, _ := l.Take(0, Draw{Holder: holder, Want: want, Ahead: beforehand, Limit: limit, Term: time.Second})
		return got
	}
	for _, c := range []struct {
		holder           string
		want, beforehand int64
		granted          int64
		tight, waits     bool
	}{
		{"a", 50, 50, 50, false, false},
		{"b", 30, 20, 10, true, false},
		{"c", 5, 5, 0, true, false},
		{"d", 35, 5, 30, true, false},
		{"e", 15, 0, 10, true, true},
	} {
		if got := draw(c.holder, c.want, c.beforehand); got.Granted != c.granted || got.Tight != c.tight || got.Retry > 0 != c.waits {
			t.Errorf("%s: %+v", c.holder, got)
		}
	}
	if l.used() != limit.Most || l.Exceeded {
		t.Errorf("%d of %d are out", l.used(), limit.Most)
	}
}

func TestRepeatedDrawGrantsOnce(t *testing.T) {
	l := Open(0, Reserve{}, time.Second)
	d := Draw{Holder: "a", Want: 10, Limit: Limit{Window: 5 * time.Second, Most: 100}, Term: time.Second}
	first, _ := l.Take(0, d)
	again, changed := l.Take(time.Millisecond, d)
	if first.Granted != 10 || again.Granted != 10 || l.used() != 10 || changed {
		t.Fatalf("%+v, %+v, used %d, changed %v", first, again, l.used(), changed)
	}
	d.Granted, d.Returned, d.Want = 10, 4, 0
	l.Take(2*time.Millisecond, d)
	l.Take(3*time.Millisecond, d)
	if l.used() != 6 {
		t.Fatalf("after 4 of 10 were returned, told twice, %d are used", l.used())
	}
}

func TestLowerLimitBindsAndOlderVersionDoesNotLiftIt(t *testing.T) {
	l := Open(0, Reserve{}, time.Second)
	high, low := Limit{Window: 5 * time.Second, Most: 100}, Limit{Window: 5 * time.Second, Most: 20}
	l.Take(0, Draw{Holder: "a", Want: 10, Version: 1, Limit: high, Term: time.Second})
	if _, changed := l.Take(0, Draw{Holder: "b", Want: 5, Version: 2, Limit: low, Term: time.Second}); !changed {
		t.Fatal("a lower limit does not last")
	}
	got, _ := l.Take(0, Draw{Holder: "a", Granted: 10, Want: 50, Version: 1, Limit: high, Term: time.Second})
	if got.Granted != 15 || got.Retry <= 0 {
		t.Fatalf("a node that still has the older version was granted %+v", got)
	}
}

// TestSpentThoughLate: what was out when a holder's time ended was counted as
// spent then; the holder may not go on with it.
func TestSpentThoughLate(t *testing.T) {
	l := Open(0, Reserve{}, time.Second)
	limit := Limit{Window: 5 * time.Second, Most: 100}
	l.Take(0, Draw{Holder: "a", Want: 10, Limit: limit, Term: time.Second})
	got, _ := l.Take(2*time.Second, Draw{Holder: "a", Granted: 10, Spent: 3, Want: 10, Limit: limit, Term: time.Second})
	if !got.Expired || got.Granted != 0 {
		t.Fatalf("%+v", got)
	}
}

// TestWritesAreFew: a window's worth of draws changes what must last a few times
// and not with every draw.
func TestWritesAreFew(t *testing.T) {
	l := Open(0, Reserve{}, time.Second)
	d := Draw{Holder: "a", Limit: Limit{Window: 5 * time.Second, Most: 80}, Term: time.Second}
	writes := 0
	for now := time.Duration(0); now < 10*time.Second; now += 50 * time.Millisecond {
		d.Spent = d.Granted
		d.Want = 1
		got, changed := l.Take(now, d)
		d.Granted = got.Granted
		if changed {
			writes++
		}
	}
	if d.Granted < 140 || writes > 24 || len(l.Spent) > 2*slices {
		t.Fatalf("%d granted, %d writes, %d slices", d.Granted, writes, len(l.Spent))
	}
}

// TestTakenOverKnowsWhatWasSpent: a successor counts as spent hardly more than
// was, so that a tenant within its limit is not refused after a loss.
func TestTakenOverKnowsWhatWasSpent(t *testing.T) {
	const window, term = 5 * time.Second, 2500 * time.Millisecond
	limit := Limit{Window: window, Most: 100}
	l, lasting := Open(0, Reserve{}, term), Reserve{}
	d := Draw{Holder: "a", Limit: limit, Term: term}
	now := time.Duration(0)
	for ; now < 20*time.Second; now += 100 * time.Millisecond {
		d.Spent = d.Granted
		d.Want = 1
		got, changed := l.Take(now, d)
		d.Granted = got.Granted
		if changed {
			lasting = l.Reserve
		}
	}
	// Ten a second are spent: 50 of 100 in a window.
	if used := Open(now, lasting, term).used(); used > 80 || used < 50 {
		t.Fatalf("a successor counts %d as used, of 50", used)
	}
	// A holder that goes on tells what is still out, and keeps it.
	d.Want = 5
	got, _ := l.Take(now, d)
	lasting = l.Reserve
	successor := Open(now, lasting, term)
	d.Granted = got.Granted
	successor.turn(now)
	before := successor.used()
	again, _ := successor.Take(now, d)
	if again.Expired || again.Granted != got.Granted || successor.used() != before {
		t.Fatalf("%+v, %d used before, %d after", again, before, successor.used())
	}
}
