package rate

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

// holder spends only what it was granted, and only until its lease ends, counted from the sending
// of its last answered draw.
type holder struct {
	name                     string
	incarnation              int
	granted, spent, returned int64
	expiresAt                time.Duration
	recent                   []time.Duration
}

func (h *holder) outstanding() int64 { return h.granted - h.spent - h.returned }

func (h *holder) restart() { *h = holder{name: h.name, incarnation: h.incarnation + 1} }

type pendingDraw struct {
	arrivesAt   time.Duration
	holder      int
	incarnation int
	sentAt      time.Duration
	draw        DrawRequest
}

type pendingAnswer struct {
	arrivesAt   time.Duration
	holder      int
	incarnation int
	sentAt      time.Duration
	answer      DrawResponse
}

// TestNoWindowExceedsLimit runs with lost, delayed and repeated messages, crashes of holders and
// restores of the ledger.
func TestNoWindowExceedsLimit(t *testing.T) {
	const window, leaseDuration, step = 5 * time.Second, 2500 * time.Millisecond, 10 * time.Millisecond
	for seed := uint64(0); seed < 40; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		limit := Limit{Window: window, Max: int64(5 + random.IntN(200))}
		ledger := Restore(0, DurableState{}, leaseDuration)
		holders := make([]holder, 1+random.IntN(6))
		for i := range holders {
			holders[i].name = fmt.Sprint("n", i)
		}
		var draws []pendingDraw
		var answers []pendingAnswer
		var spends []time.Duration
		var durable DurableState
		for now := time.Duration(0); now < 40*time.Second; now += step {
			if random.IntN(1000) == 0 {
				// A new leader knows only the durable state.
				ledger = Restore(now, durable, leaseDuration)
			}
			for i := range holders {
				h := &holders[i]
				if random.IntN(3000) == 0 {
					// A crash: what the holder has spent since its last draw is never reported.
					h.restart()
				}
				if now >= h.expiresAt && h.granted > 0 {
					h.restart()
				}
				if now < h.expiresAt && h.outstanding() > 0 && random.IntN(2) == 0 {
					h.spent++
					h.recent = append(h.recent, now)
					spends = append(spends, now)
				}
				if random.IntN(20) == 0 {
					if unused := h.outstanding(); unused > 3 && random.IntN(4) == 0 {
						h.returned += unused / 2
					}
					d := DrawRequest{Holder: fmt.Sprint(h.name, "+", h.incarnation), Granted: h.granted, Spent: h.spent, Returned: h.returned, Want: int64(random.IntN(40)), Limit: limit, LeaseDuration: leaseDuration}
					d.Prefetch = int64(random.IntN(int(d.Want) + 1))
					for _, at := range h.recent {
						d.Recent = append(d.Recent, RecentSpend{Age: now - at, Count: 1})
					}
					for copies := random.IntN(3); copies > 0; copies-- {
						draws = append(draws, pendingDraw{arrivesAt: now + time.Duration(random.IntN(600))*time.Millisecond, holder: i, incarnation: h.incarnation, sentAt: now, draw: d})
					}
				}
			}
			var laterDraws []pendingDraw
			for _, d := range draws {
				if d.arrivesAt > now {
					laterDraws = append(laterDraws, d)
					continue
				}
				answer, changed := ledger.Draw(now, d.draw)
				if changed {
					durable = ledger.DurableState
				}
				if random.IntN(5) > 0 {
					answers = append(answers, pendingAnswer{arrivesAt: now + time.Duration(random.IntN(600))*time.Millisecond, holder: d.holder, incarnation: d.incarnation, sentAt: d.sentAt, answer: answer})
				}
			}
			draws = laterDraws
			var laterAnswers []pendingAnswer
			for _, a := range answers {
				h := &holders[a.holder]
				if a.arrivesAt > now {
					laterAnswers = append(laterAnswers, a)
				} else if h.incarnation == a.incarnation && a.answer.Expired {
					h.restart()
				} else if h.incarnation == a.incarnation && h.granted > 0 && now >= h.expiresAt {
					// The lease expired before the answer arrived.
					h.restart()
				} else if h.incarnation == a.incarnation {
					h.granted, h.expiresAt = max(h.granted, a.answer.Granted), max(h.expiresAt, a.sentAt+leaseDuration)
				}
			}
			answers = laterAnswers
		}
		sort.Slice(spends, func(i, j int) bool { return spends[i] < spends[j] })
		if int64(len(spends)) < limit.Max {
			t.Errorf("seed %d: only %d requests were spent in all; a window allows %d", seed, len(spends), limit.Max)
		}
		first := 0
		for last, at := range spends {
			for spends[first] <= at-window {
				first++
			}
			if n := int64(last - first + 1); n > limit.Max {
				t.Fatalf("seed %d: %d requests were spent in the window up to %v; the limit is %d", seed, n, at, limit.Max)
			}
		}
	}
}

// TestNoPrefetchWhenScarce guards against prefetching that takes the room of needed requests.
func TestNoPrefetchWhenScarce(t *testing.T) {
	l := Restore(0, DurableState{}, time.Second)
	limit := Limit{Window: 5 * time.Second, Max: 100}
	draw := func(holder string, want, prefetch int64) DrawResponse {
		got, _ := l.Draw(0, DrawRequest{Holder: holder, Want: want, Prefetch: prefetch, Limit: limit, LeaseDuration: time.Second})
		return got
	}
	for _, c := range []struct {
		holder         string
		want, prefetch int64
		granted        int64
		scarce, retry  bool
	}{
		{"a", 50, 50, 50, false, false},
		{"b", 30, 20, 10, true, false},
		{"c", 5, 5, 0, true, false},
		{"d", 35, 5, 30, true, false},
		{"e", 15, 0, 10, true, true},
	} {
		if got := draw(c.holder, c.want, c.prefetch); got.Granted != c.granted || got.Scarce != c.scarce || got.RetryAfter > 0 != c.retry {
			t.Errorf("holder %s: got %+v, want %+v", c.holder, got, c)
		}
	}
	if l.used() != limit.Max || l.Exceeded {
		t.Errorf("%d of %d used, exceeded %v", l.used(), limit.Max, l.Exceeded)
	}
}

func TestRepeatedDrawGrantsOnce(t *testing.T) {
	l := Restore(0, DurableState{}, time.Second)
	d := DrawRequest{Holder: "a", Want: 10, Limit: Limit{Window: 5 * time.Second, Max: 100}, LeaseDuration: time.Second}
	first, _ := l.Draw(0, d)
	again, changed := l.Draw(time.Millisecond, d)
	if first.Granted != 10 || again.Granted != 10 || l.used() != 10 || changed {
		t.Fatalf("first %+v, again %+v, used %d, changed %v", first, again, l.used(), changed)
	}
	d.Granted, d.Returned, d.Want = 10, 4, 0
	l.Draw(2*time.Millisecond, d)
	l.Draw(3*time.Millisecond, d)
	if l.used() != 6 {
		t.Fatalf("%d used after 4 of 10 were returned and reported twice, want 6", l.used())
	}
}

func TestLowerLimitAppliesDespiteOlderVersion(t *testing.T) {
	l := Restore(0, DurableState{}, time.Second)
	high, low := Limit{Window: 5 * time.Second, Max: 100}, Limit{Window: 5 * time.Second, Max: 20}
	l.Draw(0, DrawRequest{Holder: "a", Want: 10, Version: 1, Limit: high, LeaseDuration: time.Second})
	if _, changed := l.Draw(0, DrawRequest{Holder: "b", Want: 5, Version: 2, Limit: low, LeaseDuration: time.Second}); !changed {
		t.Fatal("a new limit does not change the durable state")
	}
	got, _ := l.Draw(0, DrawRequest{Holder: "a", Granted: 10, Want: 50, Version: 1, Limit: high, LeaseDuration: time.Second})
	if got.Granted != 15 || got.RetryAfter <= 0 {
		t.Fatalf("holder with an older version got %+v", got)
	}
}

// TestExpiredLeaseIsNotRenewed guards against using requests that already count as spent.
func TestExpiredLeaseIsNotRenewed(t *testing.T) {
	l := Restore(0, DurableState{}, time.Second)
	limit := Limit{Window: 5 * time.Second, Max: 100}
	l.Draw(0, DrawRequest{Holder: "a", Want: 10, Limit: limit, LeaseDuration: time.Second})
	got, _ := l.Draw(2*time.Second, DrawRequest{Holder: "a", Granted: 10, Spent: 3, Want: 10, Limit: limit, LeaseDuration: time.Second})
	if !got.Expired || got.Granted != 0 {
		t.Fatalf("got %+v", got)
	}
}

func TestDurableStateChangesRarely(t *testing.T) {
	l := Restore(0, DurableState{}, time.Second)
	d := DrawRequest{Holder: "a", Limit: Limit{Window: 5 * time.Second, Max: 80}, LeaseDuration: time.Second}
	writes := 0
	for now := time.Duration(0); now < 10*time.Second; now += 50 * time.Millisecond {
		d.Spent = d.Granted
		d.Want = 1
		got, changed := l.Draw(now, d)
		d.Granted = got.Granted
		if changed {
			writes++
		}
	}
	if d.Granted < 140 || writes > 24 || len(l.Spent) > 2*bucketsPerWindow {
		t.Fatalf("%d granted, %d writes, %d buckets", d.Granted, writes, len(l.Spent))
	}
}

// TestRestoredLedgerCountsSpentRequests guards against refusing a tenant within its limit after a
// restore, and against ending the leases of live holders.
func TestRestoredLedgerCountsSpentRequests(t *testing.T) {
	const window, leaseDuration = 5 * time.Second, 2500 * time.Millisecond
	limit := Limit{Window: window, Max: 100}
	l, durable := Restore(0, DurableState{}, leaseDuration), DurableState{}
	d := DrawRequest{Holder: "a", Limit: limit, LeaseDuration: leaseDuration}
	now := time.Duration(0)
	for ; now < 20*time.Second; now += 100 * time.Millisecond {
		d.Spent = d.Granted
		d.Want = 1
		got, changed := l.Draw(now, d)
		d.Granted = got.Granted
		if changed {
			durable = l.DurableState
		}
	}
	// Ten requests per second are spent: 50 of 100 in a window.
	if used := Restore(now, durable, leaseDuration).used(); used > 80 || used < 50 {
		t.Fatalf("the restored ledger counts %d requests as used; 50 are", used)
	}
	d.Want = 5
	got, _ := l.Draw(now, d)
	durable = l.DurableState
	restored := Restore(now, durable, leaseDuration)
	d.Granted = got.Granted
	restored.expire(now)
	before := restored.used()
	again, _ := restored.Draw(now, d)
	if again.Expired || again.Granted != got.Granted || restored.used() != before {
		t.Fatalf("answer %+v; %d used before, %d after", again, before, restored.used())
	}
}
