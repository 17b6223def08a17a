package allowance

import (
	"time"

	"saffronfall/rule/ordered"
)

// Account holds the cumulative counts of one holder. They only grow, so repeated, late and
// reordered reports do no harm.
type Account struct {
	Granted  int64 `msgpack:"g"`
	Spent    int64 `msgpack:"s"`
	Returned int64 `msgpack:"r"`
}

// Held returns the amount that the holder may still spend.
func (a Account) Held() int64 { return a.Granted - a.Spent - a.Returned }

// Ledger divides an allowance into shares. A granted amount counts as used until it is returned,
// or was reported spent and has left every window. The keys of its maps are names of holders.
type Ledger struct {
	Windows []Window           `msgpack:"w"`
	Holders map[string]Account `msgpack:"h"`
	Demands map[string]int64   `msgpack:"t"`
}

// Outstanding returns the sum of the shares that are held.
func (l *Ledger) Outstanding() int64 {
	var outstanding int64
	for _, account := range l.Holders {
		outstanding += account.Held()
	}
	return outstanding
}

// Report records a holder's cumulative counts. For a closed account it returns false and changes
// nothing.
func (l *Ledger) Report(now time.Duration, holder string, spent, returned int64) bool {
	if l.Holders == nil {
		l.Holders = map[string]Account{}
	}
	account, known := l.Holders[holder]
	if !known && (spent > 0 || returned > 0) {
		// A holder can't spend or return before a grant, so this account was closed and its
		// counts are already included.
		return false
	}
	if spent > account.Spent {
		for i := range l.Windows {
			l.Windows[i].Add(now, spent-account.Spent)
		}
		account.Spent = spent
	}
	if returned > account.Returned {
		account.Returned = returned
	}
	l.Holders[holder] = account
	return true
}

// Available returns how much may still be granted under the limits, one for each window. Without
// windows, the first limit bounds the outstanding shares.
func (l *Ledger) Available(now time.Duration, limits []int64) int64 {
	outstanding := l.Outstanding()
	if len(l.Windows) == 0 {
		return max(0, limits[0]-outstanding)
	}
	available := int64(-1)
	for i := range l.Windows {
		left := max(0, limits[i]-outstanding-l.Windows[i].Sum(now))
		if available < 0 || left < available {
			available = left
		}
	}
	return available
}

// Grant raises the holder's share towards target within the limits, and returns the cumulative
// amount granted.
func (l *Ledger) Grant(now time.Duration, holder string, target int64, limits []int64) int64 {
	if l.Holders == nil {
		l.Holders = map[string]Account{}
	}
	account := l.Holders[holder]
	if shortfall := target - account.Held(); shortfall > 0 {
		account.Granted += min(shortfall, l.Available(now, limits))
		l.Holders[holder] = account
	}
	return account.Granted
}

// CloseAccount closes the account of a holder that can no longer spend, and reports whether there
// was one. Its share counts as spent in every window, as it may have been spent unreported.
func (l *Ledger) CloseAccount(now time.Duration, holder string) bool {
	account, ok := l.Holders[holder]
	if !ok {
		return false
	}
	for i := range l.Windows {
		l.Windows[i].Add(now, account.Held())
	}
	delete(l.Holders, holder)
	delete(l.Demands, holder)
	return true
}

// Division describes how to divide a total in proportion to demands.
type Division struct {
	Total int64
	// Holders is the expected number. Those without a reported demand count with IdleDemand.
	Holders    int64
	IdleDemand int64
}

// SetDemand records a holder's demand and returns the share that it should hold. Each holder with
// a demand gets at least one unit while there are enough.
func (l *Ledger) SetDemand(holder string, demand int64, division Division) int64 {
	if l.Demands == nil {
		l.Demands = map[string]int64{}
	}
	if demand > 0 {
		l.Demands[holder] = demand
	} else {
		delete(l.Demands, holder)
	}
	if demand <= 0 || division.Total <= 0 {
		return 0
	}
	var sum int64
	for _, holderDemand := range l.Demands {
		sum += holderDemand
	}
	count := int64(len(l.Demands))
	if missing := division.Holders - count; missing > 0 {
		count, sum = division.Holders, sum+missing*division.IdleDemand
	}
	if count >= division.Total {
		for i, name := range ordered.Keys(l.Demands) {
			if name == holder && int64(i) < division.Total {
				return 1
			}
		}
		return 0
	}
	return 1 + (division.Total-count)*demand/sum
}
