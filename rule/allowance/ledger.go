package allowance

import (
	"time"

	"saffronfall/rule/ordered"
)

// Books are the cumulative counts of one holder of shares. They only grow, so
// repeated, late and reordered copies do no harm.
type Account struct {
	Granted  int64 `msgpack:"g"`
	Spent    int64 `msgpack:"s"`
	Returned int64 `msgpack:"r"`
}

// Held is what the holder may still spend.
func (b Account) Held() int64 { return b.Granted - b.Spent - b.Returned }

// Ledger divides an allowance into shares. What is out counts as used until it
// was returned, or was reported spent and has left every window.
type Ledger struct {
	Windows []Window           `msgpack:"w"`
	Holders map[string]Account `msgpack:"h"`
	Demands map[string]int64   `msgpack:"t"`
}

// Out is the sum of the shares that are held.
func (l *Ledger) Outstanding() int64 {
	var out int64
	for _, b := range l.Holders {
		out += b.Held()
	}
	return out
}

// Report takes a holder's cumulative counts. A holder with counts and no books
// has ended before.
func (l *Ledger) Report(now time.Duration, holder string, spent, returned int64) bool {
	if l.Holders == nil {
		l.Holders = map[string]Account{}
	}
	b, known := l.Holders[holder]
	if !known && (spent > 0 || returned > 0) {
		// Nobody spends or returns before a grant: this holder's books were
		// closed, and what was in them is counted already.
		return false
	}
	if spent > b.Spent {
		for i := range l.Windows {
			l.Windows[i].Add(now, spent-b.Spent)
		}
		b.Spent = spent
	}
	if returned > b.Returned {
		b.Returned = returned
	}
	l.Holders[holder] = b
	return true
}

// Room is how much may still be granted under the limits, one for each window.
// With no windows the single limit is one on the shares that are out.
func (l *Ledger) Available(now time.Duration, limits []int64) int64 {
	out := l.Outstanding()
	if len(l.Windows) == 0 {
		return max(0, limits[0]-out)
	}
	room := int64(-1)
	for i := range l.Windows {
		left := max(0, limits[i]-out-l.Windows[i].Sum(now))
		if room < 0 || left < room {
			room = left
		}
	}
	return room
}

// Draw raises what a holder has to a target, as far as there is room, and
// returns what the holder was granted in all.
func (l *Ledger) Grant(now time.Duration, holder string, target int64, limits []int64) int64 {
	if l.Holders == nil {
		l.Holders = map[string]Account{}
	}
	b := l.Holders[holder]
	if lack := target - b.Held(); lack > 0 {
		b.Granted += min(lack, l.Available(now, limits))
		l.Holders[holder] = b
	}
	return b.Granted
}

// End closes the books of a holder that surely spends no more. What it held
// counts as spent where there are windows.
func (l *Ledger) CloseAccount(now time.Duration, holder string) bool {
	b, ok := l.Holders[holder]
	if !ok {
		return false
	}
	for i := range l.Windows {
		l.Windows[i].Add(now, b.Held())
	}
	delete(l.Holders, holder)
	delete(l.Demands, holder)
	return true
}

// Division says how a whole is divided among holders by what they want.
type Division struct {
	// Whole is in the units that are divided.
	Total int64
	// Holders is how many there may be; those that have not asked yet are kept
	// room for, as if each wanted Idle.
	Holders    int64
	IdleDemand int64
}

// Want notes what a holder would like to hold and returns what it should hold.
// While there are enough units, each holder that wants anything has one.
func (l *Ledger) SetDemand(holder string, want int64, d Division) int64 {
	if l.Demands == nil {
		l.Demands = map[string]int64{}
	}
	if want > 0 {
		l.Demands[holder] = want
	} else {
		delete(l.Demands, holder)
	}
	if want <= 0 || d.Total <= 0 {
		return 0
	}
	var sum int64
	for _, w := range l.Demands {
		sum += w
	}
	count := int64(len(l.Demands))
	if missing := d.Holders - count; missing > 0 {
		count, sum = d.Holders, sum+missing*d.IdleDemand
	}
	if count >= d.Total {
		for i, name := range ordered.Keys(l.Demands) {
			if name == holder && int64(i) < d.Total {
				return 1
			}
		}
		return 0
	}
	return 1 + (d.Total-count)*want/sum
}
