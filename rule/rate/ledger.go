// Package rate is a tenant's rate over all nodes: a ledger of what nodes have
// drawn beforehand, such that no window ever holds more requests than allowed.
package rate

import "time"

// Limit is how many requests any window may hold.
type Limit struct {
	Window time.Duration `msgpack:"w"`
	Most   int64         `msgpack:"m"`
}

// Reserve is what must last of a ledger: what was spent up to a time, what was
// out then, and how many may be granted since. Whoever takes a part over knows
// no more, and counts all of the last two as granted and spent late.
type Reserve struct {
	Version uint64  `msgpack:"v"`
	Limit   Limit   `msgpack:"l"`
	Open    int64   `msgpack:"o"`
	Spent   []Slice `msgpack:"s"`
}

// Holding is what one life of a node has drawn. All counts only grow, so a
// draw that is heard twice does no harm.
type Holding struct {
	Granted, Spent, Returned int64
	Until                    time.Duration
}

func (h Holding) out() int64 { return h.Granted - h.Spent - h.Returned }

// Slice is what was spent in a short time.
type Slice struct {
	//lint:ignore U1000 read by the encoder: a slice goes without field names
	_msgpack struct{}      `msgpack:",as_array"`
	End      time.Duration `msgpack:"End"`
	Count    int64         `msgpack:"Count"`
}

// Ledger is a tenant's books. What is out counts as though it were spent now,
// and what was out when its time ended as though it were spent at that end.
type Ledger struct {
	Reserve
	Holdings map[string]Holding
	Slices   []Slice
	// Exceeded says that the last grant went beyond the limit. It must never be set.
	Exceeded bool
	// left is what is still to be granted of what was reserved.
	left int64
	// pool is what may be out since before this ledger was taken over, unless its
	// holders have told of it since, and poolEnd when that has surely ended.
	pool    int64
	poolEnd time.Duration
}

// Open makes a ledger of what lasted. What was open may have been granted up to
// now, and used for a term after that.
func Open(now time.Duration, r Reserve, term time.Duration) *Ledger {
	return &Ledger{Reserve: r, Holdings: map[string]Holding{}, Slices: append([]Slice(nil), r.Spent...), pool: r.Open, poolEnd: now + term}
}

// blocks is into how many blocks a window's limit is reserved.
const blocks = 8

// Draw is one node's report and wish.
type Draw struct {
	Holder string `msgpack:"h"`
	// Granted is all that this holder knows to have been granted, Spent all that
	// it has spent, Returned all that it gave back.
	Granted  int64 `msgpack:"g"`
	Spent    int64 `msgpack:"s"`
	Returned int64 `msgpack:"r"`
	// Recent tells how long ago the newest of Spent were spent, oldest first.
	Recent []Spend `msgpack:"e"`
	// Want is how many requests the node wants to be able to send from now on, Ahead how
	// many of them have not come yet.
	Want  int64 `msgpack:"w"`
	Ahead int64 `msgpack:"b"`
	// Version is that of the configuration that Limit is from.
	Version uint64 `msgpack:"v"`
	Limit   Limit  `msgpack:"l"`
	// Term is how long what is drawn may be used.
	Term time.Duration `msgpack:"t"`
}

// need is how many requests wait for what is drawn.
func (d Draw) need() int64 { return d.Want - d.Ahead }

// Spend is how many requests were spent, and how long ago at the least.
type Spend struct {
	Age   time.Duration `msgpack:"a"`
	Count int64         `msgpack:"c"`
}

// Drawn answers: Granted is all that this holder was ever granted, and Retry
// after what time more may be had where less than needed was granted. Expired
// says that what the holder has counts as spent; it begins anew by another name.
// Tight says that nothing should be held beforehand: others need it.
type Drawn struct {
	Granted int64         `msgpack:"g"`
	Retry   time.Duration `msgpack:"r"`
	Expired bool          `msgpack:"x"`
	Tight   bool          `msgpack:"t"`
}

// ahead is the part of a window's limit up to which holders get more than they need at
// once. Beyond it, what one holds idle another is refused.
const ahead = 0.6

// slices is into how many parts a window's spending is told apart.
const slices = 20

// Take books one draw, and reports whether what must last has changed: then the
// answer must wait until it does. The term's end at the holder is earlier than
// here, as it counts from sending.
func (l *Ledger) Take(now time.Duration, d Draw) (answer Drawn, changed bool) {
	if l.Holdings == nil {
		l.Holdings = map[string]Holding{}
	}
	if d.Version > l.Version || l.Limit.Window == 0 {
		changed = l.Limit != d.Limit
		l.Version, l.Limit = d.Version, d.Limit
	}
	l.turn(now)
	h, known := l.Holdings[d.Holder]
	if !known && d.Granted > 0 {
		// What it holds may be of the pool. Either way the sum stays the same.
		out := d.Granted - d.Spent - d.Returned
		if out < 0 || out > l.pool || now >= l.poolEnd {
			return Drawn{Expired: true}, changed
		}
		l.pool -= out
		h = Holding{Granted: d.Granted, Spent: d.Spent, Returned: d.Returned}
	}
	if spent := min(d.Spent-h.Spent, h.out()); spent > 0 {
		h.Spent += spent
		l.book(now, d.Recent, spent)
	}
	if returned := min(d.Returned-h.Returned, h.out()); returned > 0 {
		h.Returned += returned
	}
	h.Until = now + d.Term
	l.Holdings[d.Holder] = h
	if granted := l.grantable(d, h); granted > 0 {
		h.Granted += granted
		l.Holdings[d.Holder] = h
		l.Exceeded = l.used() > l.Limit.Most
		if l.left -= granted; l.left < 0 {
			l.left = max(l.Limit.Most/blocks, 1)
			changed = true
		}
	}
	if changed {
		l.Open, l.Spent = l.left, append([]Slice(nil), l.Slices...)
		if l.pool > 0 {
			l.Spent = append(l.Spent, Slice{End: l.poolEnd, Count: l.pool})
		}
		for _, h := range l.Holdings {
			l.Open += h.out()
		}
	}
	answer.Granted, answer.Tight = h.Granted, l.used() >= l.aheadMost()
	if h.out() < d.need() {
		answer.Retry = l.frees(now)
	}
	return answer, changed
}

// grantable is how much a holder gets: what it needs as long as the window has room, and
// what it wants beforehand while there is plenty.
func (l *Ledger) grantable(d Draw, h Holding) int64 {
	room := l.Limit.Most - l.used()
	needed := min(max(d.need()-h.out(), 0), max(room, 0))
	beforehand := min(d.Want-h.out()-needed, l.aheadMost()-l.used()-needed)
	return needed + max(beforehand, 0)
}

// aheadMost is how much may be out and spent when something is granted beforehand.
func (l *Ledger) aheadMost() int64 { return int64(ahead * float64(l.Limit.Most)) }

// book counts what was spent when it was: the newest first, as an earlier report
// may have told the older.
func (l *Ledger) book(now time.Duration, recent []Spend, count int64) {
	for i := len(recent) - 1; i >= 0 && count > 0; i-- {
		if one := min(count, recent[i].Count); one > 0 {
			l.spend(now-max(0, recent[i].Age), one)
			count -= one
		}
	}
	if count > 0 {
		l.spend(now, count)
	}
}

func (l *Ledger) spend(at time.Duration, count int64) {
	width := max(1, l.Limit.Window/slices)
	end := (at/width + 1) * width
	i := len(l.Slices)
	for i > 0 && l.Slices[i-1].End > end {
		i--
	}
	if i > 0 && l.Slices[i-1].End == end {
		l.Slices[i-1].Count += count
		return
	}
	l.Slices = append(l.Slices, Slice{})
	copy(l.Slices[i+1:], l.Slices[i:])
	l.Slices[i] = Slice{End: end, Count: count}
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
		}
		delete(l.Holdings, name)
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
	if now >= l.poolEnd+l.Limit.Window {
		l.pool = 0
	}
}

func (l *Ledger) used() int64 {
	sum := l.pool
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
