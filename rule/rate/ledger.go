// Package rate is a tenant's rate over all nodes: a ledger of what nodes have
// drawn beforehand, such that no window ever holds more requests than allowed.
package rate

import "time"

// Limit is how many requests any window may hold.
type Limit struct {
	Window time.Duration `msgpack:"w"`
	Most   int64         `msgpack:"m"`
}

// Holding is what one life of a node has drawn. All counts only grow, so a
// draw that is heard twice does no harm.
type Holding struct {
	Granted  int64         `msgpack:"g"`
	Spent    int64         `msgpack:"s"`
	Returned int64         `msgpack:"r"`
	Until    time.Duration `msgpack:"u"`
}

func (h Holding) out() int64 { return h.Granted - h.Spent - h.Returned }

// Slice is what was spent in a short time.
type Slice struct {
	End   time.Duration `msgpack:"e"`
	Count int64         `msgpack:"c"`
}

// Ledger is a tenant's books. What is out counts as though it were spent now,
// and what was out when its time ended as though it were spent at that end.
type Ledger struct {
	Version  uint64             `msgpack:"v"`
	Limit    Limit              `msgpack:"l"`
	Holdings map[string]Holding `msgpack:"h"`
	Slices   []Slice            `msgpack:"s"`
}

// Draw is one node's report and wish.
type Draw struct {
	Holder string `msgpack:"h"`
	// Spent is all that this holder has spent, Returned all that it gave back.
	Spent    int64 `msgpack:"s"`
	Returned int64 `msgpack:"r"`
	// Want is how many requests the node wants to be able to send from now on.
	Want int64 `msgpack:"w"`
	// Version is that of the configuration that Limit is from.
	Version uint64 `msgpack:"v"`
	Limit   Limit  `msgpack:"l"`
	// Term is how long what is drawn may be used.
	Term time.Duration `msgpack:"t"`
}

// Drawn answers: Granted is all that this holder was ever granted, and Retry
// after what time more may be had where less than wanted was granted.
type Drawn struct {
	Granted int64         `msgpack:"g"`
	Retry   time.Duration `msgpack:"r"`
}

// slices is into how many parts a window's spending is told apart.
const slices = 20

// Take books one draw. The term's end at the holder is earlier than here, as it
// counts from sending.
func (l *Ledger) Take(now time.Duration, d Draw) Drawn {
	if l.Holdings == nil {
		l.Holdings = map[string]Holding{}
	}
	if d.Version >= l.Version {
		l.Version, l.Limit = d.Version, d.Limit
	}
	l.turn(now)
	h := l.Holdings[d.Holder]
	if spent := min(d.Spent-h.Spent, h.out()); spent > 0 {
		l.spend(now, spent)
		h.Spent += spent
	}
	if returned := min(d.Returned-h.Returned, h.out()); returned > 0 {
		h.Returned += returned
	}
	h.Until = now + d.Term
	l.Holdings[d.Holder] = h
	if extra := d.Want - h.out(); extra > 0 {
		room := l.Limit.Most - l.used()
		h.Granted += max(0, min(extra, room))
		l.Holdings[d.Holder] = h
	}
	answer := Drawn{Granted: h.Granted}
	if h.out() < d.Want {
		answer.Retry = l.frees(now)
	}
	return answer
}

func (l *Ledger) spend(now time.Duration, count int64) {
	width := max(1, l.Limit.Window/slices)
	end := (now/width + 1) * width
	if n := len(l.Slices); n > 0 && l.Slices[n-1].End >= end {
		l.Slices[n-1].Count += count
		return
	}
	l.Slices = append(l.Slices, Slice{End: end, Count: count})
}

// turn ends what has run out. What a holder had out at its term's end may have
// been spent up to then.
func (l *Ledger) turn(now time.Duration) {
	var late []Slice
	for name, h := range l.Holdings {
		if now < h.Until {
			continue
		}
		if out := h.out(); out > 0 {
			late = append(late, Slice{End: h.Until, Count: out})
			h.Spent += out
		}
		l.Holdings[name] = h
		if now >= h.Until+4*l.Limit.Window {
			delete(l.Holdings, name)
		}
	}
	var kept []Slice
	for _, s := range append(late, l.Slices...) {
		if now < s.End+l.Limit.Window {
			kept = append(kept, s)
		}
	}
	// Those of lost holders may stand out of order; only the last is added to.
	for i := 1; i < len(kept); i++ {
		for j := i; j > 0 && kept[j].End < kept[j-1].End; j-- {
			kept[j], kept[j-1] = kept[j-1], kept[j]
		}
	}
	l.Slices = kept
}

func (l *Ledger) used() int64 {
	var sum int64
	for _, s := range l.Slices {
		sum += s.Count
	}
	for _, h := range l.Holdings {
		sum += h.out()
	}
	return sum
}

// frees is when the next of what was spent leaves the window.
func (l *Ledger) frees(now time.Duration) time.Duration {
	if len(l.Slices) == 0 {
		return l.Limit.Window / slices
	}
	return max(l.Slices[0].End+l.Limit.Window-now, l.Limit.Window/slices)
}
