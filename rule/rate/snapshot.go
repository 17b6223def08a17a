package rate

import (
	"sort"
	"time"
)

// Snapshot is a ledger as operators see it.
type Snapshot struct {
	Limit   Limit  `json:"limit" msgpack:"l"`
	Version uint64 `json:"version" msgpack:"v"`
	// Spent counts the requests of the current window that were spent, or may have been under
	// leases that have expired.
	Spent int64 `json:"spent" msgpack:"s"`
	// Unconfirmed requests may be outstanding under leases from before a restore. They can be
	// used for the Remaining time, and then count as spent for one window.
	Unconfirmed          int64         `json:"unconfirmed" msgpack:"u"`
	UnconfirmedRemaining time.Duration `json:"unconfirmed_left" msgpack:"r"`
	Shares               []Share       `json:"shares" msgpack:"h"`
}

// Share is what one holder may still spend, for the Remaining time.
type Share struct {
	Holder      string        `json:"holder" msgpack:"h"`
	Outstanding int64         `json:"outstanding" msgpack:"o"`
	Remaining   time.Duration `json:"left" msgpack:"r"`
}

// Snapshot returns what is spent and who holds the rest, by holder. It changes nothing.
func (l *Ledger) Snapshot(now time.Duration) Snapshot {
	s := Snapshot{Limit: l.Limit, Version: l.Version}
	if now < l.poolExpiresAt+l.Limit.Window {
		s.Unconfirmed, s.UnconfirmedRemaining = l.pool, max(l.poolExpiresAt-now, 0)
	}
	for _, bucket := range l.Buckets {
		if now < bucket.End+l.Limit.Window {
			s.Spent += bucket.Count
		}
	}
	for holder, lease := range l.Leases {
		switch outstanding := lease.outstanding(); {
		case now < lease.ExpiresAt:
			s.Shares = append(s.Shares, Share{Holder: holder, Outstanding: outstanding, Remaining: lease.ExpiresAt - now})
		case now < lease.ExpiresAt+l.Limit.Window:
			s.Spent += outstanding
		}
	}
	sort.Slice(s.Shares, func(i, j int) bool { return s.Shares[i].Holder < s.Shares[j].Holder })
	return s
}
